#include "demo_traffic.h"

#include <fmt/format.h>

#include <charconv>
#include <utility>

namespace ebonypin::bench::demo {
namespace {

using namespace std::chrono_literals;
using web::json::value;

constexpr auto kRetryPause = 200ms;
constexpr auto kTick = 1ms;
constexpr int kRequestDeadlineMs = 2000;
constexpr int kLongPollMs = 2000;

bool Answers(const HttpOutcome& outcome, const std::string& answer) {
  return TextOf(outcome.m_body, "answer") == answer;
}

std::string ErrorKind(const HttpOutcome& outcome) {
  if (!outcome.m_body.is_object() || !outcome.m_body.has_object_field("error")) return "";
  return TextOf(outcome.m_body.at("error"), "kind");
}

}  // namespace

Traffic::Traffic(TrafficOptions options)
    : m_options(std::move(options)), m_http(m_options.m_entries), m_random(m_options.m_seed) {}

Traffic::~Traffic() {
  m_stopping = true;
  if (m_watcher.joinable()) m_watcher.join();
  // Every call ends at its timeout; its outcome refers to this object.
  while (m_calls > 0) std::this_thread::sleep_for(kTick);
}

void Traffic::Run(const std::function<void(const Progress&)>& show) {
  m_watcher = std::thread([this] { Watch(); });
  const auto start = Clock::now();
  const auto send_until = start + m_options.m_length;
  const auto give_up = send_until + m_options.m_patience;
  std::vector<Clock::time_point> due(m_options.m_flows.size(), start);
  auto show_at = start + 1s;
  while (true) {
    const auto now = Clock::now();
    for (std::size_t flow = 0; flow < due.size(); ++flow) {
      std::exponential_distribution<double> gap(m_options.m_flows[flow].m_per_second);
      while (due[flow] <= now && due[flow] < send_until) {
        Send(flow);
        due[flow] += std::chrono::duration_cast<Clock::duration>(
            std::chrono::duration<double>(gap(m_random)));
      }
    }
    {
      std::unique_lock lock(m_mutex);
      RunDue(lock);
    }
    const auto progress = Count();
    const bool is_over = now >= send_until && progress.m_ended == progress.m_sent;
    if (now >= show_at || is_over) {
      show(progress);
      show_at += 1s;
    }
    if (is_over || now >= give_up) break;
    std::this_thread::sleep_for(kTick);
  }
  m_stopping = true;
  m_watcher.join();
}

std::vector<Item> Traffic::Items() {
  const std::lock_guard lock(m_mutex);
  std::vector<Item> items;
  for (const auto& entry : m_items) items.push_back(entry.m_item);
  return items;
}

void Traffic::Send(const std::size_t flow) {
  const auto& options = m_options.m_flows[flow];
  std::size_t index = 0;
  {
    const std::lock_guard lock(m_mutex);
    index = m_items.size();
    const int run_ms =
        std::uniform_int_distribution<int>(options.m_min_run_ms, options.m_max_run_ms)(m_random);
    // Numbered payloads tell the results of different items apart.
    const auto payload = fmt::format(R"({{"item":{},"run_ms":{}}})", index, run_ms);
    Entry entry{.m_item = {.m_flow = flow, .m_id = fmt::format("demo-{}", index)},
                .m_sent = Clock::now()};
    entry.m_item.m_expected = "served:" + payload;
    m_items.push_back(std::move(entry));
  }
  const auto server = index % m_http.Size();
  switch (options.m_kind) {
    case Flow::Kind::kRequest:
      return SendRequest(index, server, 0);
    case Flow::Kind::kJob:
      return SubmitJob(index, server);
    case Flow::Kind::kWatch:
      return PostUpdate(index, server);
  }
}

void Traffic::SendRequest(const std::size_t index, const std::size_t server,
                          const std::size_t refusals) {
  Call(server, "POST", "/v1/requests", WorkBody(index),
       [this, index, server, refusals](const HttpOutcome& outcome) {
         const bool is_here_only =
             outcome.m_not_sent || (outcome.m_status == 503 && Answers(outcome, "not_run"));
         if (is_here_only && refusals + 1 < m_http.Size())
           return SendRequest(index, Next(server), refusals + 1);
         if (outcome.m_not_sent || Answers(outcome, "not_run"))
           return End(index, Told::kNotRun, ErrorKind(outcome));
         if (!Answers(outcome, "done") || TextOf(outcome.m_body, "id") != IdOf(index))
           return End(index, Told::kUnknown, ErrorKind(outcome));
         EndWithResult(index, TextOf(outcome.m_body, "result"));
       });
}

void Traffic::SubmitJob(const std::size_t index, const std::size_t server) {
  Call(server, "POST", "/v1/jobs", WorkBody(index),
       [this, index, server](const HttpOutcome& outcome) {
         std::unique_lock lock(m_mutex);
         auto& entry = m_items[index];
         if (Answers(outcome, "accepted")) {
           entry.m_item.m_told = Told::kAccepted;
           entry.m_item.m_job = TextOf(outcome.m_body, "job");
           lock.unlock();
           return PollJob(index, server);
         }
         // The key makes a repeat safe. A refusal is final only when no earlier answer was lost.
         if (Answers(outcome, "not_run") && !entry.m_may_have_run) {
           lock.unlock();
           return End(index, Told::kNotRun, ErrorKind(outcome));
         }
         entry.m_may_have_run = entry.m_may_have_run || !outcome.m_not_sent;
         lock.unlock();
         Later([this, index, server] { SubmitJob(index, Next(server)); });
       });
}

void Traffic::PollJob(const std::size_t index, const std::size_t server) {
  std::string job;
  {
    const std::lock_guard lock(m_mutex);
    job = m_items[index].m_item.m_job;
  }
  const auto path =
      fmt::format("/v1/jobs/{}?wait_ms={}", web::uri::encode_data_string(job), kLongPollMs);
  Call(server, "GET", path, value::null(), [this, index, server](const HttpOutcome& outcome) {
    if (outcome.m_status == 200 && TextOf(outcome.m_body, "state") == "closed") {
      const auto how = TextOf(outcome.m_body, "outcome");
      if (how == "succeeded") return EndWithResult(index, TextOf(outcome.m_body, "result"));
      return End(index, how == "unknown" ? Told::kUnknown : Told::kNotRun, how);
    }
    if (outcome.m_status == 200) return PollJob(index, server);
    Later([this, index, server] { PollJob(index, Next(server)); });
  });
}

void Traffic::PostUpdate(const std::size_t index, const std::size_t server) {
  auto body = value::object();
  {
    const std::lock_guard lock(m_mutex);
    body["update_id"] = value::string(m_items[index].m_item.m_id);
    body["value"] = value::string(m_items[index].m_item.m_expected);
  }
  Call(server, "POST", "/v1/watches/" + m_options.m_topic, body,
       [this, index, server](const HttpOutcome& outcome) {
         std::unique_lock lock(m_mutex);
         auto& entry = m_items[index];
         if (Answers(outcome, "accepted")) {
           if (entry.m_item.m_told == Told::kNothing) entry.m_item.m_told = Told::kAccepted;
           return;
         }
         if (Answers(outcome, "not_run") && !entry.m_may_have_run) {
           lock.unlock();
           return End(index, Told::kNotRun, ErrorKind(outcome));
         }
         entry.m_may_have_run = entry.m_may_have_run || !outcome.m_not_sent;
         lock.unlock();
         // A repeated update id has no further effect.
         Later([this, index, server] { PostUpdate(index, Next(server)); });
       });
}

void Traffic::Watch() {
  std::uint64_t cursor = 0;
  std::size_t server = 0;
  while (!m_stopping) {
    const auto outcome = m_http.CallAndWait(
        server, "GET",
        fmt::format("/v1/watches/{}?cursor={}&wait_ms={}", m_options.m_topic, cursor, kLongPollMs),
        value::null());
    if (outcome.m_status != 200 || !outcome.m_body.has_array_field("updates")) {
      server = Next(server);
      std::this_thread::sleep_for(kRetryPause);
      continue;
    }
    for (const auto& update : outcome.m_body.at("updates").as_array()) {
      constexpr std::string_view kPrefix = "demo-";
      const auto id = TextOf(update, "update_id");
      std::size_t index = 0;
      if (!id.starts_with(kPrefix)) continue;
      std::from_chars(id.data() + kPrefix.size(), id.data() + id.size(), index);
      {
        const std::lock_guard lock(m_mutex);
        if (index >= m_items.size()) continue;
        ++m_items[index].m_item.m_received;
      }
      EndWithResult(index, TextOf(update, "value"));
    }
    cursor = outcome.m_body.at("cursor").as_number().to_uint64();
  }
}

void Traffic::Call(const std::size_t server, const std::string& method, const std::string& path,
                   const value& body, std::function<void(const HttpOutcome&)> done) {
  ++m_calls;
  m_http.Call(server, method, path, body,
              [this, done = std::move(done)](const HttpOutcome& outcome) {
                if (!m_stopping) done(outcome);
                --m_calls;
              });
}

void Traffic::Later(std::function<void()> action) {
  const std::lock_guard lock(m_mutex);
  m_later.emplace_back(Clock::now() + kRetryPause, std::move(action));
}

void Traffic::RunDue(std::unique_lock<std::mutex>& lock) {
  while (!m_later.empty() && m_later.front().first <= Clock::now()) {
    const auto action = std::move(m_later.front().second);
    m_later.pop_front();
    lock.unlock();
    action();
    lock.lock();
  }
}

value Traffic::WorkBody(const std::size_t index) {
  const std::lock_guard lock(m_mutex);
  const auto& item = m_items[index].m_item;
  const auto& flow = m_options.m_flows[item.m_flow];
  auto body = value::object();
  body["id"] = value::string(item.m_id);
  body["class"] = value::string(flow.m_class);
  constexpr std::string_view kPrefix = "served:";
  body["payload"] = value::string(item.m_expected.substr(kPrefix.size()));
  if (flow.m_kind == Flow::Kind::kJob) body["key"] = value::string(item.m_id);
  if (flow.m_kind == Flow::Kind::kRequest) body["deadline_ms"] = value::number(kRequestDeadlineMs);
  return body;
}

std::string Traffic::IdOf(const std::size_t index) {
  const std::lock_guard lock(m_mutex);
  return m_items[index].m_item.m_id;
}

std::size_t Traffic::Next(const std::size_t server) const { return (server + 1) % m_http.Size(); }

void Traffic::End(const std::size_t index, const Told told, const std::string& problem) {
  const std::lock_guard lock(m_mutex);
  auto& entry = m_items[index];
  if (entry.m_item.m_told != Told::kNothing && entry.m_item.m_told != Told::kAccepted) return;
  entry.m_item.m_told = told;
  entry.m_item.m_problem = problem;
  entry.m_item.m_millis =
      std::chrono::duration<double, std::milli>(Clock::now() - entry.m_sent).count();
}

void Traffic::EndWithResult(const std::size_t index, const std::string& result) {
  {
    const std::lock_guard lock(m_mutex);
    auto& item = m_items[index].m_item;
    if (result != item.m_expected) item.m_wrong_result = true;
  }
  End(index, Told::kDone);
}

Progress Traffic::Count() {
  const std::lock_guard lock(m_mutex);
  Progress progress{.m_sent = m_items.size()};
  for (const auto& entry : m_items) {
    const auto told = entry.m_item.m_told;
    if (told != Told::kNothing && told != Told::kAccepted) ++progress.m_ended;
  }
  return progress;
}

}  // namespace ebonypin::bench::demo
