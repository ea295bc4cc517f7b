#include "worker/worker_sim.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace ebonypin::standin {
namespace {

using namespace std::chrono_literals;

constexpr Time kStart{1000s};

class WorkerSimTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkerSimTest);
  CPPUNIT_TEST(TaskStopsWhenItsLeaseLapses);
  CPPUNIT_TEST(TaskIdStartsOnlyOnce);
  CPPUNIT_TEST(ThrottledTaskStandsStillAndResumesFromItsCheckpoint);
  CPPUNIT_TEST(LateThrottleChangesNothing);
  CPPUNIT_TEST(RequestsBeyondTheSlotsAreRefused);
  CPPUNIT_TEST(UsageIsReportedWithItsLag);
  CPPUNIT_TEST_SUITE_END();

  WorkerSim m_sim{.m_now = kStart};

  SimStart Begin(const SimId& id, const std::string& payload, const Duration lease,
                 const std::string& checkpoint = "") {
    return StartTask(m_sim, id, {.m_work = ParseWork(payload)}, checkpoint, lease);
  }

  [[nodiscard]] std::ptrdiff_t Count(const std::string& what) const {
    return std::count_if(m_sim.m_history.begin(), m_sim.m_history.end(),
                         [&](const auto& item) { return item.m_what == what; });
  }

 public:
  /// Guards against a stand-in on which the tasks of a dead agent run on, which would hide a second
  /// run elsewhere.
  void TaskStopsWhenItsLeaseLapses() {
    CPPUNIT_ASSERT(Begin({"j", 1}, R"({"run_ms":9000})", 5s) == SimStart::kStarted);
    (void)Advance(m_sim, kStart + 3s);
    CPPUNIT_ASSERT(RenewTask(m_sim, {"j", 1}, 5s));
    (void)Advance(m_sim, kStart + 8500ms);
    CPPUNIT_ASSERT(m_sim.m_tasks.at({"j", 1}).m_state == SimState::kLost);
    CPPUNIT_ASSERT(m_sim.m_tasks.at({"j", 1}).m_ended == kStart + 8s);
    CPPUNIT_ASSERT(!RenewTask(m_sim, {"j", 1}, 5s));
  }

  /// Guards against a second run by a repeated or delayed start.
  void TaskIdStartsOnlyOnce() {
    (void)Begin({"j", 1}, R"({"run_ms":10})", 5s);
    CPPUNIT_ASSERT(Begin({"j", 1}, R"({"run_ms":10})", 5s) == SimStart::kAlreadyStarted);
    (void)Advance(m_sim, kStart + 1s);
    ForgetTask(m_sim, {"j", 1});
    CPPUNIT_ASSERT(Begin({"j", 1}, R"({"run_ms":10})", 5s) == SimStart::kRefused);
    CPPUNIT_ASSERT(StopTask(m_sim, {"k", 1}, true) == SimStop::kNeverStarted);
    CPPUNIT_ASSERT(Begin({"k", 1}, R"({"run_ms":10})", 5s) == SimStart::kRefused);
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, Count("start"));
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, Count("end"));
  }

  /// Guards against progress while suspended, and against work that is lost by a checkpoint.
  void ThrottledTaskStandsStillAndResumesFromItsCheckpoint() {
    (void)Begin({"j", 1}, R"({"run_ms":1000})", 60s);
    (void)Advance(m_sim, kStart + 400ms);
    CPPUNIT_ASSERT_EQUAL(0U, ThrottleTask(m_sim, {"j", 1}, 0, 1));
    (void)Advance(m_sim, kStart + 10s);
    CPPUNIT_ASSERT(StopTask(m_sim, {"j", 1}, true) == SimStop::kStopped);
    const auto token = m_sim.m_tasks.at({"j", 1}).m_checkpoint;
    (void)Begin({"j", 2}, R"({"run_ms":1000})", 60s, token);
    (void)Advance(m_sim, kStart + 20s);
    CPPUNIT_ASSERT(m_sim.m_tasks.at({"j", 2}).m_ended == kStart + 10600ms);
  }

  /// Guards against a delayed resume that undoes a later suspension.
  void LateThrottleChangesNothing() {
    (void)Begin({"j", 1}, R"({"run_ms":1000})", 60s);
    (void)ThrottleTask(m_sim, {"j", 1}, 0, 2);
    CPPUNIT_ASSERT_EQUAL(0U, ThrottleTask(m_sim, {"j", 1}, 1000, 1));
  }

  /// Guards against an endpoint without limit, on which overcommitment would go unnoticed.
  void RequestsBeyondTheSlotsAreRefused() {
    for (std::uint64_t i = 0; i < 8; ++i) CPPUNIT_ASSERT(Serve(m_sim, i, "r", R"({"run_ms":50})"));
    CPPUNIT_ASSERT(!Serve(m_sim, 8, "r", R"({"run_ms":50})"));
    m_sim.m_faults.m_slow = 2;
    CPPUNIT_ASSERT(Advance(m_sim, kStart + 99ms).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, Advance(m_sim, kStart + 100ms).size());
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{8}, Count("serve"));
  }

  /// Guards against measurements that are fresher than those of the platform.
  void UsageIsReportedWithItsLag() {
    (void)Begin({"j", 1}, R"({"run_ms":60000,"cpu_millis":3000})", 600s);
    (void)Advance(m_sim, kStart + 1900ms);
    CPPUNIT_ASSERT(LaggedUsage(m_sim) == core::Resources{});
    (void)Advance(m_sim, kStart + 2s);
    CPPUNIT_ASSERT(LaggedUsage(m_sim) == core::Resources{.m_cpu_millis = 3000});
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerSimTest);

}  // namespace
}  // namespace ebonypin::standin
