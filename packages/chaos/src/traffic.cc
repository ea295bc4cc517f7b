#include "traffic.h"

#include <chrono>
#include <random>

#include "http.h"

namespace ebonypin::chaos {

/// Class of the requests or jobs that the callers send.
struct TestClass {
  const char* m_name;
  const char* m_kind;
  bool m_at_most_once;  ///< Exclusive and non-idempotent.
  int m_run_ms;
};

namespace {

using namespace std::chrono_literals;
using web::json::value;

constexpr auto kCallTimeout = 12s;
constexpr auto kTopic = "sleeve-prices";

constexpr TestClass kRequestClasses[] = {{"preview", "request", false, 20},
                                         {"lookup", "request", false, 5}};
constexpr TestClass kJobClasses[] = {{"render", "job", true, 400},
                                     {"certificate", "job", true, 50},
                                     {"archive_sync", "job", false, 1500}};

AnswerStatus ParseAnswerStatus(const std::string& answer) {
  if (answer == "done") return AnswerStatus::kDone;
  if (answer == "accepted") return AnswerStatus::kAccepted;
  return answer == "not_run" ? AnswerStatus::kNotRun : AnswerStatus::kUnknown;
}

value ClassBody(const TestClass& test_class, const std::uint64_t base, const std::string& change,
                const int target_ms) {
  value target = value::object();
  target["start_within_ms"] = value::number(target_ms);
  value spec = value::object();
  spec["name"] = value::string(test_class.m_name);
  spec["team"] = value::string("team-1");
  spec["kind"] = value::string(test_class.m_kind);
  spec["exclusive"] = value::boolean(test_class.m_at_most_once);
  spec["non_idempotent"] = value::boolean(test_class.m_at_most_once);
  spec["target"] = target;
  value body = value::object();
  body["base_revision"] = value::number(base);
  body["operator"] = value::string("chaos");
  body["change_id"] = value::string(change);
  body["spec"] = spec;
  return body;
}

bool CreateClass(const TrafficOptions& options, const TestClass& test_class) {
  const auto deadline = std::chrono::steady_clock::now() + 20s;
  while (std::chrono::steady_clock::now() < deadline) {
    const auto answer =
        CallJson("PUT", options.m_entries[0], std::string("/v1/classes/") + test_class.m_name,
                 ClassBody(test_class, 0, std::string("create-") + test_class.m_name, 5000), 5s);
    if (answer && TextOf(answer->m_body, "answer") == "done") return true;
    std::this_thread::sleep_for(200ms);
  }
  return false;
}

}  // namespace

bool CreateClasses(const TrafficOptions& options) {
  for (const auto& test_class : kRequestClasses) {
    if (!CreateClass(options, test_class)) return false;
  }
  for (const auto& test_class : kJobClasses) {
    if (!CreateClass(options, test_class)) return false;
  }
  return true;
}

Traffic::Traffic(TrafficOptions options, Recorder& recorder)
    : m_options(std::move(options)), m_recorder(recorder) {
  for (std::uint32_t i = 0; i < m_options.m_request_threads; ++i) {
    m_callers.emplace_back([this, i] { RequestLoop(i); });
  }
  for (std::uint32_t i = 0; i < m_options.m_job_threads; ++i)
    m_callers.emplace_back([this, i] { JobLoop(i); });
  m_callers.emplace_back([this] { PostLoop(); });
  m_callers.emplace_back([this] { RevisionLoop(); });
  for (std::uint32_t i = 0; i < m_options.m_watchers; ++i)
    m_watchers.emplace_back([this, i] { WatchLoop(i); });
}

Traffic::~Traffic() { Stop(); }

void Traffic::Stop() {
  m_stopping = true;
  for (auto& caller : m_callers) {
    if (caller.joinable()) caller.join();
  }
  m_posts_done = true;
  for (auto& watcher : m_watchers) {
    if (watcher.joinable()) watcher.join();
  }
}

Call Traffic::SendWork(const std::size_t entry, const std::string& path,
                       const TestClass& test_class, const std::string& id,
                       const std::string& key) const {
  Call call{.m_id = id,
            .m_class = test_class.m_name,
            .m_key = key,
            .m_non_idempotent = test_class.m_at_most_once};
  value payload = value::object();
  payload["run_ms"] = value::number(test_class.m_run_ms);
  payload["token"] = value::string(key.empty() ? id : key);
  // The stand-in returns the payload that it received.
  call.m_expected = "served:" + payload.serialize();
  value body = value::object();
  body["id"] = value::string(id);
  body["class"] = value::string(test_class.m_name);
  if (!key.empty()) body["key"] = value::string(key);
  body["payload"] = value::string(payload.serialize());
  value size = value::object();
  size["cpu_millis"] = value::number(1000);
  size["memory_mb"] = value::number(512);
  body["size"] = size;
  body["run_ms"] = value::number(test_class.m_run_ms);

  const auto start = std::chrono::steady_clock::now();
  std::optional<HttpResponse> answer = HttpResponse{};
  for (std::size_t i = 0; i < m_options.m_entries.size() && answer && answer->m_status == 0; ++i) {
    const auto& url = m_options.m_entries[(entry + i) % m_options.m_entries.size()];
    answer = CallJson("POST", url, path, body, kCallTimeout);
  }
  call.m_millis =
      std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
  if (!answer || TextOf(answer->m_body, "answer").empty()) return call;
  call.m_answer_status = ParseAnswerStatus(TextOf(answer->m_body, "answer"));
  call.m_answer_id = TextOf(answer->m_body, "id");
  call.m_job = TextOf(answer->m_body, "job");
  call.m_result = TextOf(answer->m_body, "result");
  if (answer->m_body.has_object_field("error"))
    call.m_error = TextOf(answer->m_body.at("error"), "kind");
  return call;
}

void Traffic::RequestLoop(const std::uint32_t thread) {
  std::mt19937_64 random(m_options.m_seed * 1000 + thread);
  for (std::uint64_t n = 0; !m_stopping; ++n) {
    const auto entry = random() % m_options.m_entries.size();
    const auto id = "request-" + std::to_string(thread) + "-" + std::to_string(n);
    const auto& test_class = kRequestClasses[random() % std::size(kRequestClasses)];
    auto call = SendWork(entry, "/v1/requests", test_class, id, "");
    // A draining entry refuses requests, so the caller retries at the other entries.
    for (std::size_t i = 1; i < m_options.m_entries.size() && call.m_error == "draining"; ++i) {
      m_recorder.Add(call);
      call = SendWork(entry + i, "/v1/requests", test_class, id + "-" + std::to_string(i), "");
    }
    m_recorder.Add(std::move(call));
    std::this_thread::sleep_for(std::chrono::milliseconds{5 + random() % 20});
  }
}

void Traffic::JobLoop(const std::uint32_t thread) {
  std::mt19937_64 random(m_options.m_seed * 1000 + 500 + thread);
  for (std::uint64_t n = 0; !m_stopping; ++n) {
    const auto& test_class = kJobClasses[random() % std::size(kJobClasses)];
    const auto name = std::to_string(thread) + "-" + std::to_string(n);
    const auto key = "key-" + name;
    // Callers retry a call without a definite answer, through any entry and with the same key. One
    // job in four is submitted again after it was accepted.
    const std::uint64_t repeats = random() % 4 == 0 ? 2 : 1;
    std::uint64_t acknowledged = 0;
    for (std::uint32_t attempt = 0; attempt < 8 && acknowledged < repeats; ++attempt) {
      const auto entry = random() % m_options.m_entries.size();
      auto call = SendWork(entry, "/v1/jobs", test_class,
                           "job-" + name + "-" + std::to_string(attempt), key);
      if (call.m_answer_status == AnswerStatus::kAccepted ||
          call.m_answer_status == AnswerStatus::kDone)
        ++acknowledged;
      const bool wait = call.m_answer_status == AnswerStatus::kNotRun ||
                        call.m_answer_status == AnswerStatus::kNoAnswer;
      m_recorder.Add(std::move(call));
      if (wait) std::this_thread::sleep_for(300ms);
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{20 + random() % 60});
  }
}

void Traffic::PostLoop() {
  std::mt19937_64 random(m_options.m_seed * 1000 + 900);
  for (std::uint64_t n = 0; !m_stopping; ++n) {
    const auto update = "update-" + std::to_string(n);
    value body = value::object();
    body["update_id"] = value::string(update);
    body["value"] = value::string("value of " + update);
    bool accepted = false;
    // Without a definite answer the same update id is posted again, so that (unless 20 attempts
    // fail) every update that an entry may have stored is recorded as accepted.
    for (int attempt = 0; attempt < 20 && !accepted; ++attempt) {
      const auto& entry = m_options.m_entries[random() % m_options.m_entries.size()];
      const auto answer = CallJson("POST", entry, std::string("/v1/watches/") + kTopic, body, 5s);
      accepted = answer && TextOf(answer->m_body, "answer") == "accepted";
      if (!accepted) std::this_thread::sleep_for(200ms);
    }
    if (accepted) {
      m_recorder.AddPosted(update);
      ++m_posted;
    }
    std::this_thread::sleep_for(150ms);
  }
}

void Traffic::WatchLoop(const std::uint32_t watcher) {
  std::mt19937_64 random(m_options.m_seed * 1000 + 950 + watcher);
  const auto name = "watcher-" + std::to_string(watcher);
  std::uint64_t cursor = 0;
  std::uint64_t received = 0;
  std::chrono::steady_clock::time_point deadline{};
  while (true) {
    if (m_posts_done) {
      if (deadline == std::chrono::steady_clock::time_point{})
        deadline = std::chrono::steady_clock::now() + 20s;
      if (received >= m_posted || std::chrono::steady_clock::now() > deadline) return;
    }
    const auto& entry = m_options.m_entries[random() % m_options.m_entries.size()];
    const auto answer = CallJson("GET", entry,
                                 std::string("/v1/watches/") + kTopic +
                                     "?cursor=" + std::to_string(cursor) + "&wait_ms=1000",
                                 value::null(), 4s);
    if (!answer || answer->m_status != 200) {
      std::this_thread::sleep_for(100ms);
      continue;
    }
    for (const auto& update : answer->m_body.at("updates").as_array()) {
      m_recorder.AddUpdate(name, {.m_sequence = update.at("sequence").as_number().to_uint64(),
                                  .m_update = update.at("update_id").as_string(),
                                  .m_value = update.at("value").as_string()});
      ++received;
    }
    cursor = answer->m_body.at("cursor").as_number().to_uint64();
  }
}

void Traffic::RevisionLoop() {
  std::mt19937_64 random(m_options.m_seed * 1000 + 990);
  std::uint64_t change = 0;
  while (!m_stopping) {
    for (const auto& entry : m_options.m_entries) {
      const auto read = CallJson("GET", entry, "/v1/classes/preview", value::null(), 2s);
      if (!read || read->m_status != 200) continue;
      const auto revision = read->m_body.at("class").at("revision").as_number().to_uint64();
      m_recorder.AddRevision(entry, revision);
      // Changes by two operators with the same base revision compete through different entries.
      const auto& other = m_options.m_entries[random() % m_options.m_entries.size()];
      (void)CallJson("PUT", other, "/v1/classes/preview",
                     ClassBody(kRequestClasses[0], revision, "change-" + std::to_string(++change),
                               static_cast<int>(4000 + random() % 1000)),
                     3s);
    }
    std::this_thread::sleep_for(300ms);
  }
}

}  // namespace ebonypin::chaos
