#include "traffic.h"

#include <chrono>
#include <random>

#include "http.h"

namespace ebonypin::chaos {

/// Class of work that the callers use.
struct ClassCase {
  const char* m_name;
  const char* m_kind;
  bool m_billed;  ///< Exclusive and non-idempotent.
  int m_run_ms;
};

namespace {

using namespace std::chrono_literals;
using web::json::value;

constexpr auto kCallTimeout = 12s;
constexpr auto kTopic = "sleeve-prices";

constexpr ClassCase kRequests[] = {{"preview", "request", false, 20},
                                   {"lookup", "request", false, 5}};
constexpr ClassCase kJobs[] = {{"render", "job", true, 400},
                               {"certificate", "job", true, 50},
                               {"archive_sync", "job", false, 1500}};

Told ToldOf(const std::string& answer) {
  if (answer == "done") return Told::kDone;
  if (answer == "accepted") return Told::kAccepted;
  return answer == "not_run" ? Told::kNotRun : Told::kUnknown;
}

value ClassBody(const ClassCase& of_class, const std::uint64_t base, const std::string& change,
                const int target_ms) {
  value target = value::object();
  target["start_within_ms"] = value::number(target_ms);
  value spec = value::object();
  spec["name"] = value::string(of_class.m_name);
  spec["team"] = value::string("team-1");
  spec["kind"] = value::string(of_class.m_kind);
  spec["exclusive"] = value::boolean(of_class.m_billed);
  spec["non_idempotent"] = value::boolean(of_class.m_billed);
  spec["target"] = target;
  value body = value::object();
  body["base_revision"] = value::number(base);
  body["operator"] = value::string("chaos");
  body["change_id"] = value::string(change);
  body["spec"] = spec;
  return body;
}

bool CreateClass(const TrafficOptions& options, const ClassCase& of_class) {
  const auto give_up = std::chrono::steady_clock::now() + 20s;
  while (std::chrono::steady_clock::now() < give_up) {
    const auto answer =
        CallJson("PUT", options.m_entries[0], std::string("/v1/classes/") + of_class.m_name,
                 ClassBody(of_class, 0, std::string("create-") + of_class.m_name, 5000), 5s);
    if (answer && TextOf(answer->m_body, "answer") == "done") return true;
    std::this_thread::sleep_for(200ms);
  }
  return false;
}

}  // namespace

bool CreateClasses(const TrafficOptions& options) {
  for (const auto& of_class : kRequests) {
    if (!CreateClass(options, of_class)) return false;
  }
  for (const auto& of_class : kJobs) {
    if (!CreateClass(options, of_class)) return false;
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

Call Traffic::Ask(const std::size_t entry, const std::string& path, const ClassCase& of_class,
                  const std::string& id, const std::string& key) const {
  Call call{
      .m_id = id, .m_class = of_class.m_name, .m_key = key, .m_non_idempotent = of_class.m_billed};
  value payload = value::object();
  payload["run_ms"] = value::number(of_class.m_run_ms);
  payload["token"] = value::string(key.empty() ? id : key);
  // The stand-in answers with the payload that it got.
  call.m_expected = "served:" + payload.serialize();
  value body = value::object();
  body["id"] = value::string(id);
  body["class"] = value::string(of_class.m_name);
  if (!key.empty()) body["key"] = value::string(key);
  body["payload"] = value::string(payload.serialize());
  value size = value::object();
  size["cpu_millis"] = value::number(1000);
  size["memory_mb"] = value::number(512);
  body["size"] = size;
  body["run_ms"] = value::number(of_class.m_run_ms);

  const auto began = std::chrono::steady_clock::now();
  std::optional<HttpResponse> answer = HttpResponse{};
  for (std::size_t i = 0; i < m_options.m_entries.size() && answer && answer->m_status == 0; ++i) {
    const auto& url = m_options.m_entries[(entry + i) % m_options.m_entries.size()];
    answer = CallJson("POST", url, path, body, kCallTimeout);
  }
  call.m_millis =
      std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - began).count();
  if (!answer || TextOf(answer->m_body, "answer").empty()) return call;
  call.m_told = ToldOf(TextOf(answer->m_body, "answer"));
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
    const auto& of_class = kRequests[random() % std::size(kRequests)];
    auto call = Ask(entry, "/v1/requests", of_class, id, "");
    // A refusal while an entry leaves names its remedy: another entry.
    for (std::size_t i = 1; i < m_options.m_entries.size() && call.m_error == "draining"; ++i) {
      m_recorder.Add(call);
      call = Ask(entry + i, "/v1/requests", of_class, id + "-" + std::to_string(i), "");
    }
    m_recorder.Add(std::move(call));
    std::this_thread::sleep_for(std::chrono::milliseconds{5 + random() % 20});
  }
}

void Traffic::JobLoop(const std::uint32_t thread) {
  std::mt19937_64 random(m_options.m_seed * 1000 + 500 + thread);
  for (std::uint64_t n = 0; !m_stopping; ++n) {
    const auto& of_class = kJobs[random() % std::size(kJobs)];
    const auto name = std::to_string(thread) + "-" + std::to_string(n);
    const auto key = "key-" + name;
    // Callers repeat a call that told them nothing definite, through any entry, under the same key.
    const std::uint64_t repeats = random() % 4 == 0 ? 2 : 1;
    std::uint64_t told = 0;
    for (std::uint32_t attempt = 0; attempt < 8 && told < repeats; ++attempt) {
      const auto entry = random() % m_options.m_entries.size();
      auto call =
          Ask(entry, "/v1/jobs", of_class, "job-" + name + "-" + std::to_string(attempt), key);
      if (call.m_told == Told::kAccepted || call.m_told == Told::kDone) ++told;
      const bool wait = call.m_told == Told::kNotRun || call.m_told == Told::kBroken;
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
    // Without a definite answer the same update id is posted again, so that every update is told
    // accepted or not posted at all.
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
  std::chrono::steady_clock::time_point give_up{};
  while (true) {
    if (m_posts_done) {
      if (give_up == std::chrono::steady_clock::time_point{})
        give_up = std::chrono::steady_clock::now() + 20s;
      if (received >= m_posted || std::chrono::steady_clock::now() > give_up) return;
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
      // Two operators race with the same base revision through different entries.
      const auto& other = m_options.m_entries[random() % m_options.m_entries.size()];
      (void)CallJson("PUT", other, "/v1/classes/preview",
                     ClassBody(kRequests[0], revision, "change-" + std::to_string(++change),
                               static_cast<int>(4000 + random() % 1000)),
                     3s);
    }
    std::this_thread::sleep_for(300ms);
  }
}

}  // namespace ebonypin::chaos
