#include "ebonypin/core/slot_plan.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

namespace ebonypin::core {
namespace {

using namespace std::chrono_literals;

/// Worker with 8 slots that carries out each plan at once.
struct Worker {
  SlotPlan Plan(const Duration after, const std::uint32_t demand) {
    m_input.m_now += after;
    m_input.m_short_busy = demand;
    SlotPlan plan = PlanSlots(m_state, m_options, m_input);
    for (BatchTask& task : m_input.m_batch) {
      for (const JobId& job : plan.m_throttle) {
        if (task.m_job == job) {
          task.m_throttled = true;
          task.m_throttled_at = m_input.m_now;
        }
      }
      for (const JobId& job : plan.m_resume) {
        if (task.m_job == job) task.m_throttled = false;
      }
    }
    return plan;
  }

  void Start(const std::string& job, const Attempt attempt = 1) {
    m_input.m_batch.push_back({.m_job = {job}, .m_attempt = attempt, .m_started = m_input.m_now});
  }

  SlotPlanOptions m_options{.m_hold = 200ms, .m_grow_every = 100ms};
  SlotPlanState m_state;
  SlotPlanInput m_input{.m_now = Time{1000s}, .m_slots = 8};
};

class SlotPlanTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SlotPlanTest);
  CPPUNIT_TEST(BatchGrowsSlowlyAndIsThrottledAtOnce);
  CPPUNIT_TEST(RisingDemandIsPredicted);
  CPPUNIT_TEST(ThrottledTaskIsEvictedLateAndNotAgainWithinAMinute);
  CPPUNIT_TEST(SlotsReclaimedInTimeNeedNoReserve);
  CPPUNIT_TEST(LimitGrowsSlowlyWhenReclaimingIsSlow);
  CPPUNIT_TEST(MissedTargetHalvesTheBatchLimit);
  CPPUNIT_TEST(TaskWithLargestSlowdownIsThrottledFirst);
  CPPUNIT_TEST(StragglerIsThrottledBeforeTasksThatEndSoon);
  CPPUNIT_TEST(ShortWorkAlwaysKeepsASlot);
  CPPUNIT_TEST_SUITE_END();

 public:
  void BatchGrowsSlowlyAndIsThrottledAtOnce() {
    Worker worker;
    CPPUNIT_ASSERT_EQUAL(1U, worker.Plan(50ms, 0).m_batch_limit);
    CPPUNIT_ASSERT_EQUAL(1U, worker.Plan(50ms, 0).m_batch_limit);
    for (int i = 0; i < 20; ++i) worker.Plan(100ms, 0);
    CPPUNIT_ASSERT_EQUAL(7U, worker.Plan(50ms, 0).m_batch_limit);
    for (int i = 0; i < 7; ++i) worker.Start("j" + std::to_string(i));
    const SlotPlan peak = worker.Plan(50ms, 6);
    CPPUNIT_ASSERT(peak.m_batch_limit == 0 && peak.m_throttle.size() == 7);
    // Hysteresis: the limit does not grow at once when the demand falls.
    CPPUNIT_ASSERT_EQUAL(0U, worker.Plan(150ms, 0).m_batch_limit);
    CPPUNIT_ASSERT_EQUAL(1U, worker.Plan(150ms, 0).m_batch_limit);
  }

  void RisingDemandIsPredicted() {
    Worker rising;
    Worker steady;
    for (int i = 0; i < 30; ++i) {
      rising.Plan(100ms, 0);
      steady.Plan(100ms, 4);
    }
    rising.Plan(10ms, 2);
    CPPUNIT_ASSERT(rising.Plan(10ms, 4).m_batch_limit < steady.Plan(10ms, 4).m_batch_limit);
  }

  /// Guards against the same job being moved back and forth.
  void ThrottledTaskIsEvictedLateAndNotAgainWithinAMinute() {
    Worker worker;
    for (int i = 0; i < 30; ++i) worker.Plan(100ms, 0);
    worker.Start("first");
    worker.Start("again", 2);
    worker.Plan(10ms, 8);
    CPPUNIT_ASSERT(worker.Plan(19s, 8).m_evict.empty());
    CPPUNIT_ASSERT(worker.Plan(2s, 8).m_evict == std::vector<JobId>{{"first"}});
    std::erase_if(worker.m_input.m_batch,
                  [](const BatchTask& task) { return task.m_job == JobId{"first"}; });
    CPPUNIT_ASSERT(worker.Plan(10s, 8).m_evict.empty());
    CPPUNIT_ASSERT(worker.Plan(30s, 8).m_evict == std::vector<JobId>{{"again"}});
  }

  /// Guards against slots that stay idle although throttling is fast enough, and against slots that
  /// are reclaimed too late.
  void SlotsReclaimedInTimeNeedNoReserve() {
    Worker worker;
    worker.m_input.m_short_wait_tolerance = worker.m_options.m_reclaim;
    for (int i = 0; i < 30; ++i) worker.Plan(100ms, 4);
    CPPUNIT_ASSERT_EQUAL(3U, worker.Plan(100ms, 4).m_batch_limit);
    worker.m_input.m_short_wait_tolerance -= 1us;
    CPPUNIT_ASSERT_EQUAL(2U, worker.Plan(100ms, 4).m_batch_limit);
  }

  void LimitGrowsSlowlyWhenReclaimingIsSlow() {
    Worker worker;
    worker.m_options.m_reclaim = 1s;
    worker.Plan(10ms, 0);
    worker.Plan(10ms, 8);
    CPPUNIT_ASSERT_EQUAL(0U, worker.Plan(990ms, 0).m_batch_limit);
    CPPUNIT_ASSERT_EQUAL(1U, worker.Plan(10ms, 0).m_batch_limit);
    CPPUNIT_ASSERT_EQUAL(1U, worker.Plan(490ms, 0).m_batch_limit);
    CPPUNIT_ASSERT_EQUAL(2U, worker.Plan(10ms, 0).m_batch_limit);
  }

  void MissedTargetHalvesTheBatchLimit() {
    Worker worker;
    for (int i = 0; i < 30; ++i) worker.Plan(100ms, 0);
    worker.m_input.m_short_target_missed = true;
    CPPUNIT_ASSERT_EQUAL(3U, worker.Plan(100ms, 0).m_batch_limit);
    CPPUNIT_ASSERT_EQUAL(1U, worker.Plan(100ms, 0).m_batch_limit);
  }

  /// Guards against throttling harmless work because of interference by another class.
  void TaskWithLargestSlowdownIsThrottledFirst() {
    Worker worker;
    for (int i = 0; i < 30; ++i) worker.Plan(100ms, 0);
    for (const std::string job : {"harmless", "harmful", "mild"}) worker.Start(job);
    worker.m_input.m_batch[1].m_extra_slowdown = 0.9;
    worker.m_input.m_batch[2].m_extra_slowdown = 0.3;
    worker.m_input.m_slowdown_limit = 1.0;
    CPPUNIT_ASSERT(worker.Plan(100ms, 1).m_throttle == std::vector<JobId>{{"harmful"}});
    const SlotPlan later = worker.Plan(100ms, 1);
    CPPUNIT_ASSERT(later.m_resume.empty() && later.m_admit > 0);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.4, later.m_admit_slowdown, 0.001);
    worker.m_input.m_batch[1].m_extra_slowdown = 0.3;
    CPPUNIT_ASSERT(worker.Plan(100ms, 1).m_resume == std::vector<JobId>{{"harmful"}});
  }

  void StragglerIsThrottledBeforeTasksThatEndSoon() {
    Worker worker;
    for (int i = 0; i < 30; ++i) worker.Plan(100ms, 4);
    for (const std::string job : {"straggler", "ordinary", "latest"}) worker.Start(job);
    worker.m_input.m_batch[0].m_expected_left = 100s;
    worker.m_input.m_batch[1].m_expected_left = 2s;
    worker.m_input.m_batch[2].m_expected_left = 2s;
    CPPUNIT_ASSERT(worker.Plan(100ms, 4).m_throttle == std::vector<JobId>{{"straggler"}});
  }

  void ShortWorkAlwaysKeepsASlot() {
    CPPUNIT_ASSERT(
        rc::check("batch work never holds slots of short work or the last free slot", [] {
          Worker worker;
          const auto demands = *rc::gen::container<std::vector<std::uint32_t>>(
              rc::gen::inRange<std::uint32_t>(0, 12));
          for (const std::uint32_t demand : demands) {
            const SlotPlan plan = worker.Plan(100ms, demand);
            RC_ASSERT(plan.m_batch_limit + std::min(demand + 1, 8U) <= 8);
            for (std::uint32_t i = 0; i < plan.m_admit; ++i) {
              worker.Start("j" + std::to_string(worker.m_input.m_batch.size()));
            }
          }
        }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlotPlanTest);

}  // namespace
}  // namespace ebonypin::core
