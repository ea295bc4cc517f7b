#include "ebonypin/core/admission.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace ebonypin::core {
namespace {

using namespace std::chrono_literals;

/// Simulates the queue slot by slot: busy slots become free one after the other, and each item
/// ahead holds its slot for the run time.
Duration SimulatedWait(const QueueSnapshot& queue) {
  std::vector<std::int64_t> free_at(queue.m_slots, 0);
  for (std::uint32_t i = 0; i < queue.m_busy; ++i) {
    free_at[i] = queue.m_run.count() * (i + 1) / queue.m_slots;
  }
  for (std::uint32_t ahead = 0; ahead < queue.m_queued; ++ahead) {
    *std::min_element(free_at.begin(), free_at.end()) += queue.m_run.count();
  }
  return Duration{*std::min_element(free_at.begin(), free_at.end())};
}

class AdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionTest);
  CPPUNIT_TEST(ReclaimableSlotsShortenTheWait);
  CPPUNIT_TEST(PredictedWaitAgreesWithASimulatedQueue);
  CPPUNIT_TEST(RefusalAgreesWithTheLimits);
  CPPUNIT_TEST(QuotaIsEnforcedAndReturned);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against refusing short work because batch work holds slots that can be reclaimed.
  void ReclaimableSlotsShortenTheWait() {
    QueueSnapshot queue{.m_slots = 8,
                        .m_busy = 2,
                        .m_reclaimable = 6,
                        .m_queued = 2,
                        .m_run = 80ms,
                        .m_reclaim = 10ms};
    CPPUNIT_ASSERT(PredictWait(queue) == 10ms);
    queue.m_queued = 6;
    CPPUNIT_ASSERT(PredictWait(queue) == 20ms);
    queue.m_reclaimable = 0;
    CPPUNIT_ASSERT(PredictWait(queue) == 10ms);
  }

  void PredictedWaitAgreesWithASimulatedQueue() {
    CPPUNIT_ASSERT(rc::check("the predicted wait is that of a simulated queue", [] {
      const auto slots = *rc::gen::inRange<std::uint32_t>(1, 16);
      const bool full = *rc::gen::arbitrary<bool>();
      const QueueSnapshot queue{.m_slots = slots,
                                .m_busy = full ? slots : *rc::gen::inRange<std::uint32_t>(0, slots),
                                // A queue forms only when all slots are busy.
                                .m_queued = full ? *rc::gen::inRange<std::uint32_t>(0, 60) : 0,
                                .m_run = Duration{*rc::gen::inRange(1, 1'000'000)}};
      const Duration difference = PredictWait(queue) - SimulatedWait(queue);
      // Integer division may differ by a microsecond for each of the fewer than 60 queued items.
      RC_ASSERT(std::abs(difference.count()) <= 60);
    }));
  }

  /// Compares CheckAdmission with a direct statement of the limits, and checks that work is
  /// admitted after Retry-After.
  void RefusalAgreesWithTheLimits() {
    CPPUNIT_ASSERT(rc::check("work is refused exactly when waiting makes it late", [] {
      const auto millis = [](const int from, const int to) {
        return Duration{std::chrono::milliseconds{*rc::gen::inRange(from, to)}};
      };
      AdmissionInput input{.m_wait = millis(0, 1000),
                           .m_run = millis(0, 100),
                           .m_elapsed = millis(0, 20),
                           .m_deadline = millis(1, 200)};
      if (*rc::gen::arbitrary<bool>()) input.m_target.m_start_within = millis(0, 100);
      if (*rc::gen::arbitrary<bool>()) input.m_target.m_finish_within = millis(0, 200);
      const Duration start = input.m_elapsed + input.m_wait;
      const Duration finish = start + input.m_run;
      const bool hopeless = input.m_elapsed + input.m_run > *input.m_deadline;
      const bool late =
          (input.m_target.m_start_within && start > *input.m_target.m_start_within) ||
          (input.m_wait > Duration{0} &&
           ((input.m_target.m_finish_within && finish > *input.m_target.m_finish_within) ||
            finish > *input.m_deadline));
      const auto refusal = CheckAdmission(input);
      RC_ASSERT(refusal.has_value() == (hopeless || late));
      if (!refusal) return;
      RC_ASSERT(refusal->m_kind ==
                (hopeless ? ErrorKind::kDeadlineTooShort : ErrorKind::kOverloaded));
      RC_ASSERT((refusal->m_retry_after > Duration{0}) == !hopeless);
      if (hopeless || refusal->m_retry_after > input.m_wait) return;
      // When the wait is shorter by Retry-After, the work is admitted.
      AdmissionInput again = input;
      again.m_wait -= refusal->m_retry_after;
      RC_ASSERT(!CheckAdmission(again).has_value());
    }));
  }

  void QuotaIsEnforcedAndReturned() {
    QuotaState state;
    const TeamName team{"t"};
    SetQuota(state, team, {.m_resources = {.m_cpu_millis = 1000}, .m_items = 3});
    const Resources size{.m_cpu_millis = 400};
    CPPUNIT_ASSERT(!TakeQuota(state, team, size));
    CPPUNIT_ASSERT(!TakeQuota(state, team, size));
    CPPUNIT_ASSERT(TakeQuota(state, team, size)->m_kind == ErrorKind::kQuotaExceeded);
    CPPUNIT_ASSERT(!TakeQuota(state, team, {}));
    CPPUNIT_ASSERT(TakeQuota(state, team, {}).has_value());
    CPPUNIT_ASSERT(!TakeQuota(state, {"other"}, {.m_cpu_millis = 50000}));
    ReturnQuota(state, team, size);
    CPPUNIT_ASSERT(!TakeQuota(state, team, size));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);

}  // namespace
}  // namespace ebonypin::core
