#include "ebonypin/platform/worker_client.h"

#include <arpa/inet.h>
#include <cpprest/http_client.h>
#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <future>

#include "worker/worker_server.h"

namespace ebonypin::standin {
namespace {

using namespace std::chrono_literals;
using platform::WorkerDone;

/// Returns a loopback address whose port was free a moment ago.
std::string FreeAddress() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{.sin_family = AF_INET, .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)}};
  socklen_t size = sizeof(address);
  auto* const generic = reinterpret_cast<sockaddr*>(&address);
  CPPUNIT_ASSERT(bind(fd, generic, size) == 0 && getsockname(fd, generic, &size) == 0);
  close(fd);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

/// Calls `start` with a callback and waits for the outcome; each call has its own deadline.
template <typename T, typename F>
core::Captured<T> Await(F start) {
  auto promise = std::make_shared<std::promise<core::Captured<T>>>();
  start(WorkerDone<T>([promise](core::Captured<T> outcome) { promise->set_value(outcome); }));
  auto future = promise->get_future();
  CPPUNIT_ASSERT(future.wait_for(20s) == std::future_status::ready);
  return future.get();
}

class WorkerClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkerClientTest);
  CPPUNIT_TEST(TaskIsStartedListedStoppedAndForgotten);
  CPPUNIT_TEST(StartMeantForAnEarlierProcessIsNotCarriedOut);
  CPPUNIT_TEST(EndpointTellsNotRunFromFailed);
  CPPUNIT_TEST(SilentConnectionEndsAtTheDeadlineAndIsReplaced);
  CPPUNIT_TEST(CallsBeyondTheConnectionsAreNotSent);
  CPPUNIT_TEST(AServerStopsWhileItAnswersCalls);
  CPPUNIT_TEST_SUITE_END();

  std::string m_address;
  std::unique_ptr<WorkerServer> m_server;
  std::unique_ptr<platform::Worker> m_worker;

  void Faults(const std::string& json) {
    web::http::client::http_client client("http://" + m_address);
    web::http::http_request request(web::http::methods::POST);
    request.set_request_uri("/faults");
    request.set_body(json, "application/json");
    client.request(request).wait();
  }

  platform::WorkerTasks List() {
    const auto tasks = Await<platform::WorkerTasks>([&](auto done) { m_worker->List(done); });
    CPPUNIT_ASSERT(tasks.Ok());
    return *tasks.m_value;
  }

  core::Captured<core::TaskEvent> Start(const core::TaskSpec& spec, const std::uint64_t boot) {
    return Await<core::TaskEvent>([&](auto done) {
      m_worker->Start({.m_spec = spec, .m_lease = 5s, .m_payload = R"({"run_ms":60000})"}, boot,
                      done);
    });
  }

  core::Captured<std::string> Serve(const std::string& payload, const core::Duration deadline) {
    return Await<std::string>([&](auto done) {
      m_worker->Serve({.m_request = {"r"}, .m_payload = payload, .m_deadline = deadline}, done);
    });
  }

 public:
  void setUp() override {
    m_address = FreeAddress();
    m_server = std::make_unique<WorkerServer>(m_address, SimOptions{.m_slots = 1});
    m_server->Start();
    m_worker = platform::MakeHttpWorker(
        {.m_url = "http://" + m_address, .m_deadline = 10s, .m_max_connections = 2});
  }

  void tearDown() override {
    m_worker = nullptr;
    m_server = nullptr;
  }

  /// Guards against a task whose identity a later agent cannot read back, and against lost ends.
  void TaskIsStartedListedStoppedAndForgotten() {
    const core::TaskSpec spec{.m_task = {{"j"}, 2},
                              .m_epoch = 7,
                              .m_class = {"render"},
                              .m_size = {1000, 200, 1},
                              .m_expected_run = 3s,
                              .m_exclusive = true};
    const auto empty = List();
    const auto started = Start(spec, empty.m_position.m_boot);
    CPPUNIT_ASSERT(started.Ok() && started.m_value->m_kind == core::TaskEventKind::kStarted);
    const auto running = List();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, running.m_tasks.size());
    CPPUNIT_ASSERT(running.m_tasks[0].m_running && running.m_tasks[0].m_spec == spec);

    const auto share = Await<std::uint32_t>([&](auto done) {
      m_worker->Throttle({.m_task = spec.m_task, .m_share = 250, .m_version = 1}, done);
    });
    CPPUNIT_ASSERT(share.Ok() && *share.m_value == 250);
    const auto gone = Await<std::vector<core::TaskId>>([&](auto done) {
      m_worker->Renew({{.m_task = spec.m_task, .m_lease = 5s}, {.m_task = {{"x"}, 1}}}, done);
    });
    CPPUNIT_ASSERT(gone.Ok() && gone.m_value->size() == 1);
    CPPUNIT_ASSERT_EQUAL(std::string{"x"}, gone.m_value->front().m_job.m_value);

    const auto stopped =
        Await<core::TaskEvent>([&](auto done) { m_worker->Stop({.m_task = spec.m_task}, done); });
    CPPUNIT_ASSERT(stopped.Ok() && stopped.m_value->m_kind == core::TaskEventKind::kStopped);
    CPPUNIT_ASSERT(stopped.m_value->m_checkpoint.starts_with("done:"));
    const auto events = Await<platform::WorkerEvents>(
        [&](auto done) { m_worker->PollEvents(running.m_position.m_event, 5s, done); });
    CPPUNIT_ASSERT(events.Ok() && events.m_value->m_events.size() == 1);
    CPPUNIT_ASSERT(events.m_value->m_events[0].m_checkpoint == stopped.m_value->m_checkpoint);
    CPPUNIT_ASSERT(
        Await<core::Unit>([&](auto done) { m_worker->Forget({spec.m_task}, done); }).Ok());
    CPPUNIT_ASSERT(List().m_tasks.empty());
    const auto again = Start(spec, empty.m_position.m_boot);
    CPPUNIT_ASSERT(again.Ok() && again.m_value->m_kind == core::TaskEventKind::kStartRefused);
  }

  /// Guards against a repeated start that runs a task again after the worker restarted.
  void StartMeantForAnEarlierProcessIsNotCarriedOut() {
    const auto started = Start({.m_task = {{"j"}, 1}}, List().m_position.m_boot - 1);
    CPPUNIT_ASSERT(!started.Ok());
    CPPUNIT_ASSERT(started.m_error->m_kind == core::ErrorKind::kStaleIncarnation);
    CPPUNIT_ASSERT(List().m_tasks.empty());
  }

  /// Guards against "not run" for a request that ran and failed.
  void EndpointTellsNotRunFromFailed() {
    CPPUNIT_ASSERT_EQUAL(std::string{"served:plate"}, *Serve("plate", 10s).m_value);
    CPPUNIT_ASSERT(Serve(R"({"fail":true})", 10s).m_error->m_kind == core::ErrorKind::kTaskFailed);
    std::promise<void> first;
    m_worker->Serve({.m_payload = R"({"run_ms":1000})", .m_deadline = 10s},
                    [&](const core::Captured<std::string>&) { first.set_value(); });
    core::Captured<std::string> refused;
    // The first request may not have arrived when the second is sent.
    for (int i = 0; i < 50 && (refused = Serve("x", 10s)).Ok(); ++i) {
    }
    CPPUNIT_ASSERT(!refused.Ok());
    CPPUNIT_ASSERT(refused.m_error->m_kind == core::ErrorKind::kNoCapacity);
    first.get_future().wait();

    m_server = nullptr;
    // On a connection that was open before, the outcome would be unknown.
    m_worker = platform::MakeHttpWorker({.m_url = "http://" + m_address});
    CPPUNIT_ASSERT(Serve("x", 10s).m_error->m_kind == core::ErrorKind::kNoCapacity);
  }

  /// Guards against calls that hang on a connection that went silent, and against connections that
  /// are used up by such calls.
  void SilentConnectionEndsAtTheDeadlineAndIsReplaced() {
    for (int i = 0; i < 3; ++i) {
      Faults(R"({"silent":true})");
      const auto silent = Serve("x", 100ms);
      CPPUNIT_ASSERT(!silent.Ok());
      CPPUNIT_ASSERT(silent.m_error->m_kind == core::ErrorKind::kTimeout);
      Faults(R"({"silent":false})");
      CPPUNIT_ASSERT(Serve("x", 10s).Ok());
    }
  }

  /// Guards against more connections than the worker allows.
  void CallsBeyondTheConnectionsAreNotSent() {
    std::vector<std::promise<void>> held(2);
    for (auto& promise : held) {
      m_worker->PollEvents(0, 300ms, [&promise](const core::Captured<platform::WorkerEvents>&) {
        promise.set_value();
      });
    }
    const auto third = Serve("x", 10s);
    CPPUNIT_ASSERT(!third.Ok());
    CPPUNIT_ASSERT(third.m_error->m_kind == core::ErrorKind::kNoCapacity);
    for (auto& promise : held) promise.get_future().wait();
  }

  /// Guards against the crash of a whole test program when a stand-in is destroyed while it answers
  /// long polls.
  void AServerStopsWhileItAnswersCalls() {
    constexpr int kStops = 300;
    constexpr std::uint32_t kPolls = 16;
    m_server = nullptr;
    for (int i = 0; i < kStops; ++i) {
      WorkerServer server(m_address, {});
      server.Start();
      const auto worker = platform::MakeHttpWorker(
          {.m_url = "http://" + m_address, .m_deadline = 10s, .m_max_connections = kPolls + 1});
      for (std::uint32_t poll = 0; poll < kPolls; ++poll) {
        worker->PollEvents(0, 10s, [](const core::Captured<platform::WorkerEvents>&) {});
      }
      // The polls that were sent before have mostly arrived when this call is answered.
      CPPUNIT_ASSERT(Await<platform::WorkerTasks>([&](auto done) { worker->List(done); }).Ok());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerClientTest);

}  // namespace
}  // namespace ebonypin::standin
