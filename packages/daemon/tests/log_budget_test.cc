#include "log_budget.h"

#include <cppunit/extensions/HelperMacros.h>

namespace ebonypin::daemon {
namespace {

using namespace std::chrono_literals;

class LogBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogBudgetTest);
  CPPUNIT_TEST(BurstIsLimitedAndDropsAreCounted);
  CPPUNIT_TEST(EventsOfClientsDisplaceNoOthers);
  CPPUNIT_TEST(FailuresAreWrittenWhenRoutineEventsAreDropped);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a burst that floods the log, and against events that are dropped uncounted.
  void BurstIsLimitedAndDropsAreCounted() {
    LogBudget budget{.m_options = {.m_per_second = 10.0, .m_burst = 20.0, .m_reserve = 0.0},
                     .m_tokens = 20.0};
    core::Time now{1h};
    budget.m_at = now;
    int written = 0;
    for (int i = 0; i < 1000; ++i)
      written += AdmitEvent(budget, now, 610, EventPriority::kRoutine) ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(20, written);
    CPPUNIT_ASSERT_EQUAL(std::string{"E610:980"}, TakeDropped(budget));
    CPPUNIT_ASSERT(budget.m_dropped.empty());
    for (int i = 0; i < 1000; ++i) {
      now += 10ms;
      written += AdmitEvent(budget, now, 610, EventPriority::kRoutine) ? 1 : 0;
    }
    CPPUNIT_ASSERT(written >= 119 && written <= 121);
  }

  /// Guards against strangers whose refused requests fill the log, or use up the budget for events
  /// that tell of the system itself.
  void EventsOfClientsDisplaceNoOthers() {
    LogBudget budget{.m_options = {.m_per_second = 10.0, .m_burst = 20.0, .m_reserve = 0.0},
                     .m_tokens = 20.0};
    LogBudget clients{.m_options = {.m_per_second = 1.0, .m_burst = 5.0, .m_reserve = 0.0},
                      .m_tokens = 5.0};
    const core::Time now{1h};
    budget.m_at = clients.m_at = now;
    int written = 0;
    for (int i = 0; i < 1000; ++i) {
      written += AdmitClientEvent(budget, clients, now, 611, EventPriority::kFailure) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(5, written);
    CPPUNIT_ASSERT(clients.m_dropped.empty());
    CPPUNIT_ASSERT_EQUAL(std::string{"E611:995"}, TakeDropped(budget));
    for (int i = 0; i < 15; ++i) {
      CPPUNIT_ASSERT(AdmitEvent(budget, now, 610, EventPriority::kRoutine));
    }
  }

  /// Guards against a failed request that cannot be explained because routine events of a load peak
  /// used up the budget for the event that names its cause.
  void FailuresAreWrittenWhenRoutineEventsAreDropped() {
    LogBudget budget{.m_options = {.m_per_second = 10.0, .m_burst = 20.0, .m_reserve = 5.0},
                     .m_tokens = 20.0};
    const core::Time now{1h};
    budget.m_at = now;
    for (int i = 0; i < 100; ++i) (void)AdmitEvent(budget, now, 610, EventPriority::kRoutine);
    for (int i = 0; i < 5; ++i) {
      CPPUNIT_ASSERT(AdmitEvent(budget, now, 614, EventPriority::kFailure));
    }
    CPPUNIT_ASSERT(!AdmitEvent(budget, now, 614, EventPriority::kFailure));
    CPPUNIT_ASSERT_EQUAL(std::string{"E610:85 E614:1"}, TakeDropped(budget));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogBudgetTest);

}  // namespace
}  // namespace ebonypin::daemon
