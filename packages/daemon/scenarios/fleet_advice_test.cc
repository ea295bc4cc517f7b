/// Scenarios of a queue whose starts need tickets of the advice service.
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <thread>

#include "ebonypin/standin/users_messages.h"
#include "fleet_site.h"

DECLARE_int64(advice_decide_ms);
DECLARE_int64(advice_period_ms);
DECLARE_int64(advice_valid_ms);

namespace ebonypin::daemon {
namespace {

using namespace std::chrono_literals;

std::string JobId(const int number) { return fmt::format("{:016x}", number + 1); }

class FleetAdviceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetAdviceTest);
  CPPUNIT_TEST(ABurstOfJobsIsDone);
  CPPUNIT_TEST(JobsAreDoneAfterASilenceOfTheService);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against calls that wait at the service for longer than their answers are used, so that
  /// jobs of a burst never start. The service needs 120 ms a call, and 16 calls take longer than
  /// half of the tickets' validity. With a second entry the leadership may change, and the new
  /// coordinator asks again about the steps of open calls.
  void ABurstOfJobsIsDone() {
    const gflags::FlagSaver flags;
    SetServiceFigures();
    FleetSite site(1, 2);
    RequireAdvice(site, 1);
    Submit(site, 1, 40);
    CPPUNIT_ASSERT(AreDone(site, 40));
    CPPUNIT_ASSERT_EQUAL(40, site.AdviceCount("answered"));
    CPPUNIT_ASSERT_EQUAL(0, site.AdviceCount("refused"));
    CPPUNIT_ASSERT_EQUAL(0, site.RefusedTickets());
  }

  /// Guards against calls that were given up during the silence and keep the service busy after it.
  void JobsAreDoneAfterASilenceOfTheService() {
    const gflags::FlagSaver flags;
    SetServiceFigures();
    FleetSite site(2, 2);
    RequireAdvice(site, 2);
    site.SetAdviceSilent(true);
    Submit(site, 2, 12);
    std::this_thread::sleep_for(4s);  // The deadline of the first calls passes.
    site.SetAdviceSilent(false);
    CPPUNIT_ASSERT(AreDone(site, 12));
  }

 private:
  static void SetServiceFigures() {
    FLAGS_advice_decide_ms = 100;
    FLAGS_advice_period_ms = 10;
    FLAGS_advice_valid_ms = 3000;
  }

  static void RequireAdvice(const FleetSite& site, const std::size_t entries) {
    site.PutConfig(2, "/advised/", R"({"DecideMs":100,"PeriodMs":10,"ValidMs":3000})");
    for (std::size_t entry = 0; entry < entries; ++entry) {
      CPPUNIT_ASSERT(
          WaitUntil([&] { return site.Call(entry, "GET", "/advised/").m_status == 200; }));
    }
  }

  static void Submit(const FleetSite& site, const int entries, const int jobs) {
    for (int i = 0; i < jobs; ++i) {
      const auto job = standin::UsersJob("run 50", 2, false);
      const auto entry = static_cast<std::size_t>(i % entries);
      CPPUNIT_ASSERT_EQUAL(200, site.Call(entry, "POST", "/advised/" + JobId(i), job).m_status);
    }
  }

  static bool AreDone(const FleetSite& site, const int jobs) {
    return WaitUntil([&] {
      for (int i = 0; i < jobs; ++i) {
        const auto state =
            site.Call(0, "GET", "/advised/" + JobId(i)).Text(standin::kUsersJobState);
        if (state != "done") return false;
      }
      return true;
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetAdviceTest);

}  // namespace
}  // namespace ebonypin::daemon
