/// Scenarios of jobs with many tasks: their progress in the store, and their stops.
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <string>
#include <thread>

#include "fleet_site.h"
#include "process_site.h"

namespace ebonypin::daemon {
namespace {

using namespace std::chrono_literals;

const std::string kLarge = "00000000000000b1";
const std::string kOther = "00000000000000c1";

/// Returns a job of `count` small tasks that each take `millis`.
std::string ManySmallTasks(const int count, const int millis) {
  return fmt::format(
      R"({{"Spec":"run {}","Steps":[{{"Count":{},"Cpu":10,"MemMb":1,"EstMs":{},"Checkpointing":true}}]}})",
      millis, count, millis);
}

class FleetLargeJobTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetLargeJobTest);
  CPPUNIT_TEST(AJobWithMuchSavedStateIsDone);
  CPPUNIT_TEST(ASuccessorStartsNoTaskAgain);
  CPPUNIT_TEST(AStoreWithLowerLimitsThanKnownIsServed);
  CPPUNIT_TEST(AJobThatNoRecordHoldsIsRefusedAtOnce);
  CPPUNIT_TEST(ManySlowStopsEndInTimeAndDisturbNoOtherJob);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against progress that the store refuses for good: nothing behind it was stored, so no
  /// job was accepted any more, and none shown as done.
  void AJobWithMuchSavedStateIsDone() {
    FleetSite site(2, 2);
    for (std::size_t i = 0; i < 2; ++i) site.SetWorkerFaults(i, R"({"state_bytes":1200})");
    const auto path = "/renders/" + kLarge;
    CPPUNIT_ASSERT_EQUAL(200, site.Call(0, "POST", path, ManySmallTasks(400, 3000)).m_status);
    CPPUNIT_ASSERT(WaitUntil([&] { return site.StateOf(0, kLarge) == "done"; }));
    CPPUNIT_ASSERT_EQUAL(200, site.Submit(1, kOther, "run 1").m_status);
    CPPUNIT_ASSERT(WaitUntil([&] { return site.StateOf(1, kOther) == "done"; }));
    CPPUNIT_ASSERT_EQUAL(0, site.RefusedAppends());
  }

  /// Guards against parts of a job's progress that replace each other in the store, so that a
  /// successor starts tasks again that are done.
  void ASuccessorStartsNoTaskAgain() {
    FleetSite site(2, 2);
    constexpr int kTasks = 400;  // Forty run at a time.
    const auto job = fmt::format(
        R"({{"Spec":"run 400","Steps":[{{"Count":{},"Cpu":200,"MemMb":1,"EstMs":400}}]}})", kTasks);
    const auto first = site.Starts();
    CPPUNIT_ASSERT_EQUAL(200, site.Call(0, "POST", "/renders/" + kLarge, job).m_status);
    CPPUNIT_ASSERT(WaitUntil([&] { return site.Starts() >= first + kTasks / 2; }));
    const auto coordinator = site.Coordinator();
    site.StopEntry(coordinator);
    CPPUNIT_ASSERT(WaitUntil([&] { return site.StateOf(1 - coordinator, kLarge) == "done"; }));
    CPPUNIT_ASSERT_EQUAL(first + kTasks, site.Starts());
  }

  /// Guards against the same with a store that takes less than the settings say.
  void AStoreWithLowerLimitsThanKnownIsServed() {
    FleetSite site(1, 2);
    site.SetStoreFaults(R"({"record_bytes":40000,"append_bytes":70000})");
    for (std::size_t i = 0; i < 2; ++i) site.SetWorkerFaults(i, R"({"state_bytes":1200})");
    const auto path = "/renders/" + kLarge;
    CPPUNIT_ASSERT_EQUAL(200, site.Call(0, "POST", path, ManySmallTasks(400, 3000)).m_status);
    CPPUNIT_ASSERT(WaitUntil([&] { return site.StateOf(0, kLarge) == "done"; }));
    CPPUNIT_ASSERT(WaitUntil([&] { return site.Submit(0, kOther, "run 1").m_status == 200; }));
    CPPUNIT_ASSERT(WaitUntil([&] { return site.StateOf(0, kOther) == "done"; }));
  }

  /// Guards against a submission that is accepted and that the store then refuses: its caller waits
  /// for the deadline, and everything behind it waits for good.
  void AJobThatNoRecordHoldsIsRefusedAtOnce() {
    const auto folder =
        std::filesystem::temp_directory_path() / fmt::format("ebonypin-large-{}", ::getpid());
    std::filesystem::create_directories(folder);
    {
      ProcessSite site(1, 1, folder.string(), "record_bytes = 4096\n");
      const auto submit = [&](const std::string& id, const std::size_t payload) {
        return site.Submit(0, id, "run 1 " + std::string(payload, 'p'), 1);
      };
      CPPUNIT_ASSERT_EQUAL(413, submit(kLarge, 3980));
      CPPUNIT_ASSERT_EQUAL(std::string{}, site.StateOf(0, kLarge));
      CPPUNIT_ASSERT_EQUAL(200, submit(kOther, 3000));
      CPPUNIT_ASSERT(WaitUntil([&] { return site.StateOf(0, kOther) == "done"; }));
    }
    std::filesystem::remove_all(folder);
  }

  /// Guards against runs of cancelled jobs that work on longer than they may, because their stops
  /// wait for each other; and against stops that take the connections of the calls that renew the
  /// leases of all runs there. The platform's pages allow 3 s and the time of one stop, 0.4 s.
  void ManySlowStopsEndInTimeAndDisturbNoOtherJob() {
    constexpr auto kLimit = 3s + 400ms;
    constexpr int kTasks = 300;
    constexpr int kOthers = 4;
    FleetSite site(2, 2);
    CPPUNIT_ASSERT_EQUAL(
        200, site.Call(0, "POST", "/renders/" + kOther, ManySmallTasks(kOthers, 60'000)).m_status);
    CPPUNIT_ASSERT_EQUAL(
        200, site.Call(0, "POST", "/renders/" + kLarge, ManySmallTasks(kTasks, 60'000)).m_status);
    CPPUNIT_ASSERT(WaitUntil([&] { return site.Running() == kTasks + kOthers; }));
    std::this_thread::sleep_for(1s);  // The agents report what runs.
    for (std::size_t i = 0; i < 2; ++i) site.SetWorkerFaults(i, R"({"stop_ms":390})");
    const auto starts = site.Starts();
    CPPUNIT_ASSERT_EQUAL(200, site.Call(0, "DELETE", "/renders/" + kLarge).m_status);
    const auto cancelled = std::chrono::steady_clock::now();
    CPPUNIT_ASSERT(WaitUntil([&] { return site.Running() == kOthers; }));
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - cancelled <= kLimit);
    // A run of the other job whose lease had lapsed would have been started again.
    std::this_thread::sleep_for(1s);
    CPPUNIT_ASSERT_EQUAL(kOthers, site.Running());
    CPPUNIT_ASSERT_EQUAL(starts, site.Starts());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetLargeJobTest);

}  // namespace
}  // namespace ebonypin::daemon
