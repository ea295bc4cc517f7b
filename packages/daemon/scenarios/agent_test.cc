#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <future>
#include <thread>

#include "site.h"

namespace ebonypin::daemon {
namespace {

using namespace std::chrono_literals;

/// Entry that grants every attempt listed in a heartbeat and collects reports.
class ScriptedEntry {
 public:
  ScriptedEntry()
      : m_address(FreeAddress()),
        m_rpc({.m_listen_ip = "127.0.0.1",
               .m_listen_port =
                   static_cast<std::uint16_t>(std::stoi(m_address.substr(m_address.find(':') + 1))),
               .m_handler = [this](const core::Message& message, const wire::ReplyFunction& reply) {
                 reply(Serve(message));
               }}) {}

  /// Calls the agent that sent the last heartbeat and returns its reply.
  template <typename T>
  std::future<T> Call(core::Message message) {
    auto promise = std::make_shared<std::promise<T>>();
    m_rpc.Call(LastHeartbeat().m_rpc_address, std::move(message), 20s,
               [promise](const wire::CallResult& result) {
                 if (const auto* const reply = result.Get<T>()) {
                   promise->set_value(*reply);
                 } else {
                   promise->set_exception(
                       std::make_exception_ptr(std::runtime_error(result.GetError()->m_message)));
                 }
               });
    return promise->get_future();
  }

  core::Heartbeat LastHeartbeat() {
    const std::lock_guard lock(m_mutex);
    return m_last_heartbeat;
  }

  std::vector<core::TaskReport> Reports() {
    const std::lock_guard lock(m_mutex);
    return m_reports;
  }

  const std::string m_address;
  std::atomic<bool> m_acknowledges{true};

 private:
  core::Message Serve(const core::Message& message) {
    const std::lock_guard lock(m_mutex);
    if (const auto* const report = std::get_if<core::TaskReport>(&message)) {
      m_reports.push_back(*report);
      return core::TaskReportReply{.m_acknowledged = m_acknowledges};
    }
    m_last_heartbeat = std::get<core::Heartbeat>(message);
    core::HeartbeatReply reply{
        .m_entries = {{.m_entry = {"e"}, .m_incarnation = 1, .m_rpc_address = m_address}}};
    for (const auto& attempt : m_last_heartbeat.m_attempts) {
      reply.m_grants.push_back({.m_job = attempt.m_job,
                                .m_attempt = attempt.m_attempt,
                                .m_epoch = attempt.m_epoch,
                                .m_granted = true});
    }
    return reply;
  }

  std::mutex m_mutex;
  core::Heartbeat m_last_heartbeat;
  std::vector<core::TaskReport> m_reports;
  wire::Rpc m_rpc;
};

class AgentScenarioTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgentScenarioTest);
  CPPUNIT_TEST(JobRunsOnceThoughAnswersAreLost);
  CPPUNIT_TEST(NewAgentTakesOverRunningTasks);
  CPPUNIT_TEST(PlannedStopFinishesRequestsAndHandsOverTasks);
  CPPUNIT_TEST(LastReplyIsSentBeforeThePlannedStopEnds);
  CPPUNIT_TEST_SUITE_END();

  std::string m_worker_address;
  std::unique_ptr<standin::Standin> m_worker;
  std::unique_ptr<ScriptedEntry> m_entry;
  std::unique_ptr<Role> m_agent;

  void StartAgent() {
    config::Settings settings;
    settings.m_role = "agent";
    settings.m_id = "a";
    settings.m_rpc_address = FreeAddress();
    settings.m_seeds = {m_entry->m_address};
    settings.m_worker_url = "http://" + m_worker_address;
    settings.m_capacity = {.m_cpu_millis = 16000, .m_memory_mb = 60000};
    m_agent = CreateRole("agent", settings);
    m_agent->Start();
    CPPUNIT_ASSERT(WaitUntil(
        [&] { return m_entry->LastHeartbeat().m_rpc_address == settings.m_rpc_address; }));
  }

  void SetFaults(const std::string& json) {
    web::http::client::http_client client("http://" + m_worker_address);
    client.request(web::http::methods::POST, "/faults", json, "application/json").wait();
  }

  /// Returns how many items of the kind `what` the worker's history contains.
  std::ptrdiff_t Count(const std::string& what) {
    web::http::client::http_client client("http://" + m_worker_address);
    const auto history =
        client.request(web::http::methods::GET, "/history").get().extract_json().get();
    const auto& items = history.at("history").as_array();
    return std::count_if(items.begin(), items.end(),
                         [&](const auto& item) { return item.at("what").as_string() == what; });
  }

  core::StartReply RunJob(const std::string& job, const std::string& payload,
                          const bool exclusive) {
    const auto incarnation = m_entry->LastHeartbeat().m_incarnation;
    auto reserved = m_entry->Call<core::ReserveReply>(core::ReserveRequest{
        .m_job = {job}, .m_attempt = 1, .m_epoch = 1, .m_incarnation = incarnation});
    return m_entry
        ->Call<core::StartReply>(core::StartRequest{.m_job = {job},
                                                    .m_attempt = 1,
                                                    .m_epoch = 1,
                                                    .m_incarnation = incarnation,
                                                    .m_reservation = reserved.get().m_reservation,
                                                    .m_exclusive = exclusive,
                                                    .m_payload = payload})
        .get();
  }

 public:
  void setUp() override {
    m_worker_address = FreeAddress();
    m_worker = standin::CreateStandin("worker", m_worker_address);
    m_worker->Start();
    m_entry = std::make_unique<ScriptedEntry>();
    StartAgent();
  }

  void tearDown() override {
    m_agent = nullptr;
    m_worker = nullptr;
    m_entry = nullptr;
  }

  /// Guards against a second run when the worker's answer to a start is lost, and against a result
  /// that is lost because a report was not acknowledged.
  void JobRunsOnceThoughAnswersAreLost() {
    m_entry->m_acknowledges = false;
    SetFaults(R"({"lose_answers":1})");
    CPPUNIT_ASSERT(RunJob("j", R"({"run_ms":2500})", true).m_started);
    CPPUNIT_ASSERT(WaitUntil([&] { return m_entry->Reports().size() >= 2; }));
    m_entry->m_acknowledges = true;
    const auto report = m_entry->Reports().front();
    CPPUNIT_ASSERT(report.m_phase == core::AttemptPhase::kEnded);
    CPPUNIT_ASSERT(report.m_outcome == core::JobOutcome::kSucceeded);
    CPPUNIT_ASSERT_EQUAL(std::string{R"(served:{"run_ms":2500})"}, report.m_result);
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, Count("start"));
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, Count("end"));
  }

  /// Guards against tasks that stop when their lease ends, or run without reports, after an agent
  /// was replaced.
  void NewAgentTakesOverRunningTasks() {
    CPPUNIT_ASSERT(RunJob("plain", R"({"run_ms":6000})", false).m_started);
    CPPUNIT_ASSERT(RunJob("exclusive", R"({"run_ms":6000})", true).m_started);
    CPPUNIT_ASSERT(WaitUntil([&] { return Count("start") == 2; }));
    m_agent = nullptr;  // Without a planned stop, like a crash of the process.
    StartAgent();
    CPPUNIT_ASSERT(WaitUntil([&] { return m_entry->Reports().size() >= 2; }));
    for (const auto& report : m_entry->Reports())
      CPPUNIT_ASSERT(report.m_phase == core::AttemptPhase::kEnded);
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0}, Count("lost"));
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2}, Count("end"));
  }

  /// Guards against a planned stop that cuts off a request or loses the work of a task.
  void PlannedStopFinishesRequestsAndHandsOverTasks() {
    CPPUNIT_ASSERT(RunJob("long", R"({"run_ms":600000})", false).m_started);
    auto running = m_entry->Call<core::RunReply>(
        core::RunRequest{.m_request = {"r"}, .m_payload = R"({"run_ms":500})"});
    CPPUNIT_ASSERT(WaitUntil([&] { return Count("serve") == 1 && Count("start") == 1; }));
    m_agent->BeginDrain();
    const auto refused =
        m_entry->Call<core::RunReply>(core::RunRequest{.m_request = {"late"}}).get();
    CPPUNIT_ASSERT(refused.m_kind == core::AnswerKind::kNotRun);
    CPPUNIT_ASSERT(refused.m_error.m_kind == core::ErrorKind::kDraining);
    CPPUNIT_ASSERT(WaitUntil([&] { return m_agent->IsDrained(); }));
    m_agent = nullptr;
    const auto reply = running.get();
    CPPUNIT_ASSERT(reply.m_kind == core::AnswerKind::kDone);
    CPPUNIT_ASSERT_EQUAL(std::string{R"(served:{"run_ms":500})"}, reply.m_result);
    CPPUNIT_ASSERT(m_entry->LastHeartbeat().m_load.m_draining);
    const auto report = m_entry->Reports().at(0);
    CPPUNIT_ASSERT(report.m_phase == core::AttemptPhase::kStopped);
    CPPUNIT_ASSERT(report.m_checkpoint.starts_with("done:"));
  }

  /// Guards against a process that ends before its last reply was sent.
  void LastReplyIsSentBeforeThePlannedStopEnds() {
    auto running = m_entry->Call<core::RunReply>(
        core::RunRequest{.m_request = {"r"}, .m_payload = R"({"run_ms":1500})"});
    CPPUNIT_ASSERT(WaitUntil([&] { return Count("serve") == 1; }));
    m_agent->BeginDrain();
    const auto deadline = std::chrono::steady_clock::now() + 20s;
    while (!m_agent->IsDrained() && std::chrono::steady_clock::now() < deadline)
      std::this_thread::sleep_for(100us);
    m_agent = nullptr;
    CPPUNIT_ASSERT(running.get().m_kind == core::AnswerKind::kDone);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentScenarioTest);

}  // namespace
}  // namespace ebonypin::daemon
