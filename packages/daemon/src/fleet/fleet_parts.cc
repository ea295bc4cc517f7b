#include "fleet_parts.h"

#include <set>
#include <stdexcept>
#include <utility>

#include "../address.h"
#include "../listener_limits.h"
#include "../rpc_metrics.h"
#include "ebonypin/daemon/events.h"
#include "ebonypin/wire/fleet_codec.h"

namespace ebonypin::daemon {

using platform::JobApiStatus;

std::string TaskText(const core::fleet::TaskRef& ref) {
  return fmt::format("{}.{}.{}.{}", ref.m_job.m_value, ref.m_occurrence, ref.m_step, ref.m_index);
}

std::string_view FrontStatusName(const JobApiStatus status) noexcept {
  switch (status) {
    case JobApiStatus::kAccepted:
      return "accepted";
    case JobApiStatus::kState:
      return "state";
    case JobApiStatus::kPending:
      return "pending";
    case JobApiStatus::kCancelled:
      return "cancelled";
    case JobApiStatus::kNoSuchQueue:
      return "no_such_queue";
    case JobApiStatus::kNoSuchJob:
      return "no_such_job";
    case JobApiStatus::kInvalid:
      return "invalid";
    case JobApiStatus::kTooLarge:
      return "too_large";
    case JobApiStatus::kRefused:
      return "not_run";
    case JobApiStatus::kOverloaded:
      return "overloaded";
    case JobApiStatus::kUnknown:
      return "unknown";
  }
  return "unknown";
}

bool IsStorable(const core::fleet::JobSpec& job, const core::fleet::RecordLimits& limits) {
  return core::fleet::FitsRecord(
      job, limits, [](const core::fleet::JobSpec& spec) { return wire::Encode(spec).size(); });
}

void FleetMetrics::RecordCall(const JobApiStatus status, const core::Duration took) {
  const std::lock_guard lock(m_mutex);
  ++m_calls[std::string{FrontStatusName(status)}];
  ++m_count;
  for (std::size_t i = 0; i < kBoundsMs.size(); ++i) {
    if (core::ToMillis(took) <= kBoundsMs[i]) ++m_latency[i];
  }
}

void FleetMetrics::Set(const std::string& name, const double value) {
  const std::lock_guard lock(m_mutex);
  m_values[name] = value;
}

void FleetMetrics::SetListener(const std::string& listener, const http::ServerCounters& counters) {
  Set(listener + "_connections", static_cast<double>(counters.m_open));
  Set(listener + "_connections_total", static_cast<double>(counters.m_accepted));
  Set(listener + "_buffered_bytes", static_cast<double>(counters.m_buffered_bytes));
  for (const auto& [reason, count] : counters.m_closed) {
    Set(listener + "_closed_" + reason + "_total", static_cast<double>(count));
  }
}

std::vector<Metric> FleetMetrics::Read(const wire::Rpc& rpc) const {
  std::vector<Metric> metrics;
  {
    const std::lock_guard lock(m_mutex);
    Metric calls{.m_name = "ebonypin_fleet_calls_total",
                 .m_help = "Calls from callers, by status of the answer."};
    for (const auto& [status, count] : m_calls) {
      calls.m_samples.push_back(
          {.m_labels = {{"status", status}}, .m_value = static_cast<double>(count)});
    }
    Metric latency{.m_name = "ebonypin_fleet_call_within_ms_total",
                   .m_help = "Calls that were answered within the bound."};
    for (std::size_t i = 0; i < kBoundsMs.size(); ++i) {
      latency.m_samples.push_back({.m_labels = {{"le", fmt::format("{}", kBoundsMs[i])}},
                                   .m_value = static_cast<double>(m_latency[i])});
    }
    latency.m_samples.push_back(
        {.m_labels = {{"le", "+Inf"}}, .m_value = static_cast<double>(m_count)});
    metrics.push_back(std::move(calls));
    metrics.push_back(std::move(latency));
    for (const auto& [name, value] : m_values) {
      metrics.push_back(SingleMetric("ebonypin_fleet_" + name, "See docs/OPERATIONS.md.", value));
    }
  }
  AddRpcMetrics(rpc, metrics);
  return metrics;
}

void SetHoldMetrics(FleetMetrics& metrics, const core::fleet::HeldCalls& held) {
  using core::fleet::GivenUp;
  using core::fleet::GiveUpCause;
  const auto& total = held.m_total;
  const auto set = [&metrics](const std::string& name, const auto value) {
    metrics.Set("held_calls_" + name, static_cast<double>(value));
  };
  metrics.Set("held_calls", static_cast<double>(held.m_calls.size()));
  set("bytes", held.m_bytes);
  set("total", total.m_held);
  set("released_total", total.m_released);
  set("expired_total", GivenUp(total, GiveUpCause::kExpired));
  set("displaced_total", GivenUp(total, GiveUpCause::kDisplaced));
  set("cancelled_total", GivenUp(total, GiveUpCause::kCancelled));
  set("ended_total", GivenUp(total, GiveUpCause::kEnded));
  set("longest_wait_ms", core::ToMillis(total.m_longest_wait));
}

std::unique_ptr<wire::Rpc> StartRpc(
    const config::Settings& settings, const std::shared_ptr<EventThread>& events,
    std::function<void(const core::Message&, wire::ReplyFunction)> serve) {
  const auto address = settings.m_rpc_listen_address.empty()
                           ? ParseAddress(settings.m_rpc_address, "process.rpc")
                           : ParseAddress(settings.m_rpc_listen_address, "process.rpc_listen");
  auto options = RpcLimits(settings);
  options.m_listen_ip = address.m_ip;
  options.m_listen_port = address.m_port;
  options.m_handler = [events, serve = std::move(serve)](const core::Message& message,
                                                         wire::ReplyFunction reply) {
    events->Post(
        [serve, message, reply = std::move(reply)]() mutable { serve(message, std::move(reply)); });
  };
  return std::make_unique<wire::Rpc>(std::move(options));
}

std::unique_ptr<MetricsServer> StartMetrics(const config::Settings& settings,
                                            const FleetMetrics& counters, const wire::Rpc& rpc) {
  if (settings.m_metrics_address.empty()) return nullptr;
  return std::make_unique<MetricsServer>(settings.m_metrics_address,
                                         SideLimits(settings, kMaxProbeBodyBytes),
                                         [&counters, &rpc] { return counters.Read(rpc); });
}

const platform::PlatformPlugin& RequirePlatform() {
  const auto* const platform = platform::GetPlatformPlugin();
  if (platform == nullptr) {
    throw std::runtime_error(
        "the program was built without a platform adapter; build the target ebonypind, which "
        "links platform/");
  }
  return *platform;
}

std::shared_ptr<TopicWatch> WatchCoordinator(
    std::shared_ptr<EventThread> events, platform::KeyedStore& store, const std::string& topic,
    const core::Duration wait, std::function<void(const core::fleet::CoordinatorRecord&)> on_record,
    std::function<void()> on_none) {
  auto watch = std::make_shared<TopicWatch>(
      std::move(events), store,
      TopicWatchOptions{
          .m_topic = topic,
          .m_poll_wait = wait,
          .m_on_record =
              [on_record = std::move(on_record)](const platform::KeyedRecord& record) {
                auto decoded =
                    core::Capture([&] { return wire::DecodeCoordinator(record.m_value); });
                if (decoded.Ok()) return on_record(*decoded.m_value);
                LogEvent(kRecordNotDecoded,
                         {{"key", record.m_key}, {"reason", decoded.m_error->m_message}});
              },
          .m_on_all_read =
              [on_none = std::move(on_none)](const std::set<std::string>& keys) {
                if (keys.empty() && on_none) on_none();
              },
          .m_on_state =
              [](const bool available, const std::string& reason) {
                LogEvent(available ? kLogAvailable : kLogUnavailable,
                         {{"topic", "coordinator"}, {"reason", reason}});
              }});
  watch->Start();
  return watch;
}

}  // namespace ebonypin::daemon
