/// Stand-in for the platform's log service, held in memory.
///
///     POST /v1/streams/S/entries {"data": base64}            -> {"offset": n}
///     GET  /v1/streams/S/entries?from=&max=&wait_ms=         -> {"first", "next", "entries":
///     [...]} POST /faults {"down", "slow_ms", "lose_answers", "lose_entries", "drop_oldest"} GET
///     /status                                           -> counters and faults
#include <cpprest/http_msg.h>
#include <gflags/gflags.h>

#include <condition_variable>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

#include "ebonypin/standin/standin.h"
#include "http_call.h"
#include "stream_store.h"

DEFINE_int64(log_max_age_ms, 0, "log stand-in: age after which an entry is dropped; 0: never");
DEFINE_uint64(log_max_entries, 0, "log stand-in: entries kept in each stream; 0: no limit");
DEFINE_int64(log_append_ms, 2, "log stand-in: time that each append takes");

namespace ebonypin::standin {
namespace {

using namespace std::chrono_literals;
using web::http::status_codes;
using web::json::value;

constexpr std::int64_t kMaxWaitMs = 30'000;
constexpr std::uint64_t kMaxEntriesPerRead = 1024;
using Clock = std::chrono::steady_clock;

std::int64_t WallMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

/// Faults that the stand-in plays. Counts decrease as they are used up.
struct Faults {
  bool m_down = false;               ///< Everything is refused with 503, nothing is written.
  std::int64_t m_slow_ms = 0;        ///< Added to each append and read.
  std::uint64_t m_lose_answers = 0;  ///< Appends that are written and never answered.
  std::uint64_t m_lose_entries = 0;  ///< Appends that are answered and never written.
};

/// Answer that is sent at its time.
struct Delayed {
  Clock::time_point m_due;
  std::function<void()> m_send;
};

/// Read that waits for an entry.
struct Waiting {
  Clock::time_point m_deadline;
  std::string m_stream;
  std::uint64_t m_from = 0;
  std::uint64_t m_max = 0;
  HttpCall m_call;
};

value ToJson(const StreamRead& read) {
  value entries = value::array(read.m_entries.size());
  for (std::size_t i = 0; i < read.m_entries.size(); ++i) {
    value entry = value::object();
    entry["offset"] = value::number(read.m_entries[i].m_offset);
    entry["wall_ms"] = value::number(read.m_entries[i].m_wall_ms);
    entry["data"] = value::string(read.m_entries[i].m_data);
    entries[i] = std::move(entry);
  }
  value json = value::object();
  json["first"] = value::number(read.m_first);
  json["next"] = value::number(read.m_next);
  json["entries"] = std::move(entries);
  return json;
}

std::uint64_t QueryNumber(const std::map<std::string, std::string>& query, const std::string& name,
                          const std::uint64_t otherwise) {
  const auto found = query.find(name);
  return found == query.end() ? otherwise : std::stoull(found->second);
}

class LogStandin final : public Standin {
 public:
  explicit LogStandin(std::string listen) : m_listen(std::move(listen)) {}

  ~LogStandin() override {
    {
      const std::lock_guard lock(m_mutex);
      m_stopping = true;
    }
    m_wake.notify_all();
    if (m_timer.joinable()) m_timer.join();
  }

  void Start() override {
    m_server = StartServer(m_listen, [this](const HttpCall& call) { Serve(call); });
    m_timer = std::thread([this] { RunTimer(); });
  }

 private:
  void Serve(const HttpCall& call) {
    const auto path = web::uri::split_path(call.m_request.m_path);
    const bool post = call.m_request.m_method == web::http::methods::POST;
    if (path.size() == 4 && path[0] == "v1" && path[1] == "streams" && path[3] == "entries") {
      const auto stream = web::uri::decode(path[2]);
      if (post) return ServeAppend(call, stream, JsonOf(call).at("data").as_string());
      return ServeRead(call, stream);
    }
    if (path.size() == 1 && path[0] == "faults" && post) return SetFaults(call, JsonOf(call));
    if (path.size() == 1 && path[0] == "status") return ServeStatus(call);
    Respond(call, status_codes::NotFound, value::string("no such route"));
  }

  void ServeAppend(const HttpCall& call, const std::string& stream, std::string data) {
    const std::lock_guard lock(m_mutex);
    ++m_appends;
    if (m_faults.m_down) {
      return Respond(call, status_codes::ServiceUnavailable, value::string("down"));
    }
    const bool lose_entry = m_faults.m_lose_entries > 0;
    if (lose_entry) --m_faults.m_lose_entries;
    const bool lose_answer = m_faults.m_lose_answers > 0;
    if (lose_answer) --m_faults.m_lose_answers;
    const auto due =
        Clock::now() + std::chrono::milliseconds{FLAGS_log_append_ms + m_faults.m_slow_ms};
    m_delayed.push_back({.m_due = due, .m_send = [=, this, data = std::move(data)]() mutable {
                           auto& entries = m_streams[stream];
                           const auto offset = lose_entry
                                                   ? AppendAndLose(entries)
                                                   : Append(entries, WallMs(), std::move(data));
                           Trim(entries, Limits(), WallMs());
                           if (lose_answer) return;
                           value body = value::object();
                           body["offset"] = value::number(offset);
                           Respond(call, status_codes::OK, body);
                         }});
    m_wake.notify_all();
  }

  void ServeRead(const HttpCall& call, const std::string& stream) {
    const auto query = QueryOf(call);
    const auto wait = std::min<std::int64_t>(
        kMaxWaitMs, static_cast<std::int64_t>(QueryNumber(query, "wait_ms", 0)));
    const std::lock_guard lock(m_mutex);
    ++m_reads;
    if (m_faults.m_down) {
      return Respond(call, status_codes::ServiceUnavailable, value::string("down"));
    }
    Waiting waiting{.m_deadline = Clock::now() + std::chrono::milliseconds{wait},
                    .m_stream = stream,
                    .m_from = QueryNumber(query, "from", 1),
                    .m_max = std::min(kMaxEntriesPerRead, QueryNumber(query, "max", 256)),
                    .m_call = call};
    if (m_faults.m_slow_ms > 0) {
      m_delayed.push_back({.m_due = Clock::now() + std::chrono::milliseconds{m_faults.m_slow_ms},
                           .m_send = [this, waiting] { m_waiting.push_back(waiting); }});
    } else if (!TryAnswer(waiting)) {
      m_waiting.push_back(std::move(waiting));
    }
    m_wake.notify_all();
  }

  /// Answers a read that has entries, or whose wait is over. The lock is held.
  bool TryAnswer(const Waiting& waiting) {
    auto& entries = m_streams[waiting.m_stream];
    Trim(entries, Limits(), WallMs());
    const auto read = Read(entries, waiting.m_from, waiting.m_max);
    if (read.m_entries.empty() && Clock::now() < waiting.m_deadline) return false;
    Respond(waiting.m_call, status_codes::OK, ToJson(read));
    return true;
  }

  void AnswerReaders() {
    m_waiting.remove_if([this](const Waiting& waiting) { return TryAnswer(waiting); });
  }

  void SetFaults(const HttpCall& call, const value& body) {
    const std::lock_guard lock(m_mutex);
    if (body.has_field("down")) m_faults.m_down = body.at("down").as_bool();
    if (body.has_field("slow_ms")) m_faults.m_slow_ms = body.at("slow_ms").as_number().to_int64();
    if (body.has_field("lose_answers")) {
      m_faults.m_lose_answers = body.at("lose_answers").as_number().to_uint64();
    }
    if (body.has_field("lose_entries")) {
      m_faults.m_lose_entries = body.at("lose_entries").as_number().to_uint64();
    }
    if (body.has_field("drop_oldest")) {
      for (auto& [name, stream] : m_streams) {
        DropOldest(stream, body.at("drop_oldest").as_number().to_uint64());
      }
    }
    Respond(call, status_codes::OK, StatusJson());
  }

  void ServeStatus(const HttpCall& call) {
    const std::lock_guard lock(m_mutex);
    Respond(call, status_codes::OK, StatusJson());
  }

  [[nodiscard]] value StatusJson() const {
    value json = value::object();
    json["down"] = value::boolean(m_faults.m_down);
    json["slow_ms"] = value::number(m_faults.m_slow_ms);
    json["lose_answers"] = value::number(m_faults.m_lose_answers);
    json["lose_entries"] = value::number(m_faults.m_lose_entries);
    json["appends"] = value::number(m_appends);
    json["reads"] = value::number(m_reads);
    value streams = value::object();
    for (const auto& [name, stream] : m_streams) {
      streams[name] = value::number(static_cast<std::uint64_t>(stream.m_entries.size()));
    }
    json["streams"] = std::move(streams);
    return json;
  }

  void RunTimer() {
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
      const auto now = Clock::now();
      auto wake = now + 100ms;
      for (auto delayed = m_delayed.begin(); delayed != m_delayed.end();) {
        if (delayed->m_due <= now) {
          delayed->m_send();
          delayed = m_delayed.erase(delayed);
        } else {
          wake = std::min(wake, delayed->m_due);
          ++delayed;
        }
      }
      AnswerReaders();
      for (const auto& waiting : m_waiting) wake = std::min(wake, waiting.m_deadline);
      m_wake.wait_until(lock, wake);
    }
  }

  static Retention Limits() {
    return {.m_max_age_ms = FLAGS_log_max_age_ms, .m_max_entries = FLAGS_log_max_entries};
  }

  const std::string m_listen;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_stopping = false;
  std::map<std::string, Stream> m_streams;
  Faults m_faults;
  std::list<Delayed> m_delayed;
  std::list<Waiting> m_waiting;
  std::uint64_t m_appends = 0;
  std::uint64_t m_reads = 0;
  std::thread m_timer;
  /// Last, so that it stops before what its handler uses.
  std::unique_ptr<http::Server> m_server;
};

[[maybe_unused]] const bool kRegistered = RegisterStandin(
    "log", [](const std::string& listen) { return std::make_unique<LogStandin>(listen); });

}  // namespace
}  // namespace ebonypin::standin
