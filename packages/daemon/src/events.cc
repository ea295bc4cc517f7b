#include "ebonypin/daemon/events.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <mutex>
#include <thread>
#include <utility>

#include "log_budget.h"

namespace ebonypin::daemon {
namespace {

/// Capacity of the queue of events to be written, of about 200 bytes each.
constexpr std::size_t kLogQueueCapacity = 4096;

std::vector<Event>& Registry() {
  static std::vector<Event> registry;
  return registry;
}

spdlog::level::level_enum ToSpdlog(const EventLevel level) noexcept {
  switch (level) {
    case EventLevel::kDebug:
      return spdlog::level::debug;
    case EventLevel::kInfo:
      return spdlog::level::info;
    case EventLevel::kWarn:
      return spdlog::level::warn;
    case EventLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

bool NeedsQuotes(const std::string& value) {
  return value.empty() || std::any_of(value.begin(), value.end(), [](const unsigned char c) {
           return c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f;
         });
}

std::string Quoted(const std::string& value) {
  std::string quoted = "\"";
  for (const unsigned char c : value) {
    if (c == '"' || c == '\\') {
      quoted += '\\';
      quoted += static_cast<char>(c);
    } else if (c < ' ' || c == 0x7f) {
      quoted += fmt::format("\\x{:02x}", c);
    } else {
      quoted += static_cast<char>(c);
    }
  }
  return quoted + '"';
}

void Write(const Event& event, const std::initializer_list<EventField> fields,
           const bool is_caused_by_client) {
  const auto level = ToSpdlog(event.m_level);
  if (!spdlog::should_log(level)) return;
  static std::mutex mutex;
  static LogBudget budget;
  static LogBudget clients{.m_options = kClientEvents, .m_tokens = kClientEvents.m_burst};
  std::string dropped;
  {
    const std::lock_guard lock(mutex);
    const auto now = std::chrono::time_point_cast<core::Duration>(std::chrono::steady_clock::now());
    const auto priority =
        event.m_level >= EventLevel::kWarn ? EventPriority::kFailure : EventPriority::kRoutine;
    const bool admitted = is_caused_by_client
                              ? AdmitClientEvent(budget, clients, now, event.m_number, priority)
                              : AdmitEvent(budget, now, event.m_number, priority);
    if (!admitted) return;
    dropped = TakeDropped(budget);
  }
  if (!dropped.empty()) {
    spdlog::log(ToSpdlog(kEventsDropped.m_level), "{}",
                FormatEvent(kEventsDropped, {{"events", dropped}}));
  }
  spdlog::log(level, "{}", FormatEvent(event, fields));
}

}  // namespace

Event DefineEvent(const std::uint32_t number, const EventLevel level,
                  const std::string_view message) {
  const Event event{.m_number = number, .m_level = level, .m_message = message};
  Registry().push_back(event);
  return event;
}

std::vector<Event> AllEvents() {
  auto events = Registry();
  std::stable_sort(events.begin(), events.end(),
                   [](const Event& a, const Event& b) { return a.m_number < b.m_number; });
  return events;
}

std::string_view EventLevelName(const EventLevel level) noexcept {
  switch (level) {
    case EventLevel::kDebug:
      return "debug";
    case EventLevel::kInfo:
      return "info";
    case EventLevel::kWarn:
      return "warn";
    case EventLevel::kError:
      return "error";
  }
  return "info";
}

std::string FormatEvent(const Event& event, const std::initializer_list<EventField> fields) {
  std::string text = fmt::format("E{} {}", event.m_number, event.m_message);
  for (const auto& field : fields) {
    fmt::format_to(std::back_inserter(text), " {}={}", field.m_key,
                   NeedsQuotes(field.m_value) ? Quoted(field.m_value) : field.m_value);
  }
  return text;
}

void LogEvent(const Event& event, const std::initializer_list<EventField> fields) {
  Write(event, fields, false);
}

void LogClientEvent(const Event& event, const std::initializer_list<EventField> fields) {
  Write(event, fields, true);
}

void ConfigureLogging(const std::string_view level) {
  spdlog::init_thread_pool(kLogQueueCapacity, 1);
  auto logger = std::make_shared<spdlog::async_logger>(
      "ebonypin", std::make_shared<spdlog::sinks::stdout_sink_mt>(), spdlog::thread_pool(),
      spdlog::async_overflow_policy::overrun_oldest);
  logger->set_pattern("[%Y-%m-%d %H:%M:%S.%e] [%l] %v");
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(logger));
  SetLogLevel(level);
}

void FlushLog() {
  constexpr std::chrono::milliseconds kLongestWait{100};
  constexpr std::chrono::milliseconds kPoll{2};
  const auto pool = spdlog::thread_pool();
  if (pool == nullptr) return;
  const auto until = std::chrono::steady_clock::now() + kLongestWait;
  while (pool->queue_size() > 0 && std::chrono::steady_clock::now() < until) {
    std::this_thread::sleep_for(kPoll);
  }
  // The last event has left the queue and is being written.
  std::this_thread::sleep_for(kPoll);
}

void SetLogLevel(const std::string_view level) {
  auto minimum = spdlog::level::info;
  for (const auto candidate :
       {EventLevel::kDebug, EventLevel::kInfo, EventLevel::kWarn, EventLevel::kError}) {
    if (EventLevelName(candidate) == level) minimum = ToSpdlog(candidate);
  }
  spdlog::default_logger()->set_level(minimum);
}

}  // namespace ebonypin::daemon
