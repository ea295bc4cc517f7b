/// How many slots of a worker batch work may hold.
///
/// Short work owns the slots. Batch work borrows those that short work is not expected to need
/// before they can be taken back by throttling the batch task to zero, which frees its slot but not
/// its memory. The limit falls at once and grows one slot at a time. A task that stays throttled
/// for long is checkpointed and evicted, so that it can go on elsewhere.
#pragma once

#include <cstdint>
#include <limits>
#include <vector>

#include "ebonypin/core/ids.h"
#include "ebonypin/core/time.h"

namespace ebonypin::core {

struct SlotPlanOptions {
  /// Time from the decision to throttle until the slot is free. Requests that arrive meanwhile need
  /// slots of their own.
  Duration m_reclaim = std::chrono::milliseconds{10};
  /// Span over which the slope of the demand is measured.
  Duration m_slope_span = std::chrono::seconds{1};
  /// Spare slots per square root of the predicted demand, for random fluctuation.
  double m_spare_factor = 1.0;
  /// Wait after a reduction before the limit grows, so that it does not follow each fluctuation.
  Duration m_hold = std::chrono::milliseconds{100};
  /// Time between two growths of one slot.
  Duration m_grow_every = std::chrono::milliseconds{50};
  /// A task throttled for longer is evicted.
  Duration m_evict_after = std::chrono::seconds{20};
  /// A job is not evicted within this time after its start following an eviction.
  Duration m_evict_again_after = std::chrono::seconds{60};
  /// Tasks resume and start only up to this share of the harm limit, so that they are not throttled
  /// again by the next fluctuation.
  double m_resume_share = 0.7;
};

/// Demand of short work at one time.
struct DemandSample {
  Time m_at{};
  double m_demand = 0.0;
};

/// Kept by the agent between calls.
struct SlotPlanState {
  std::vector<DemandSample> m_samples;  ///< Within the slope span, oldest first.
  std::uint32_t m_limit = 0;            ///< Slots that batch work may hold.
  Time m_reduced_at{};
  Time m_grown_at{};
};

/// One batch task on the worker.
struct BatchTask {
  JobId m_job;
  Attempt m_attempt = 1;
  Time m_started{};              ///< Start of this attempt here.
  bool m_throttled = false;      ///< Throttled to zero, holding no slot.
  Time m_throttled_at{};         ///< Meaningful when throttled.
  bool m_can_checkpoint = true;  ///< False: never evicted.
  Duration m_expected_left{};    ///< Zero when not known.
  /// Predicted extra slowdown of the short work here by this task; see interference.h.
  double m_extra_slowdown = 0.0;
};

struct SlotPlanInput {
  Time m_now{};
  std::uint32_t m_slots = 0;         ///< All slots of the worker.
  std::uint32_t m_short_busy = 0;    ///< Slots held by short work.
  std::uint32_t m_short_queued = 0;  ///< Short work waiting here.
  /// Short work misses its target here although it has slots (interference): batch shrinks.
  bool m_short_target_missed = false;
  /// Wait that short work bears: a share of the smallest start target of its classes. Slots that
  /// are taken back within it need no spare ones. Zero keeps spare slots always.
  Duration m_short_wait_tolerance{};
  /// Extra slowdown that short work bears without missing its target.
  double m_slowdown_limit = std::numeric_limits<double>::infinity();
  std::vector<BatchTask> m_batch;
};

struct SlotPlan {
  std::uint32_t m_batch_limit = 0;  ///< Slots that batch work may hold now.
  std::uint32_t m_admit = 0;        ///< New batch tasks that may start now.
  /// Largest harm of a new task that may start now.
  double m_admit_slowdown = std::numeric_limits<double>::infinity();
  std::vector<JobId> m_throttle;  ///< To be throttled to zero now.
  std::vector<JobId> m_resume;    ///< To be released from throttling now.
  std::vector<JobId> m_evict;     ///< To be checkpointed and handed back; at most one per call.
};

/// Plans the slots of one worker. Call at each arrival and end of short work and about each 50 ms.
[[nodiscard]] SlotPlan PlanSlots(SlotPlanState& state, const SlotPlanOptions& options,
                                 const SlotPlanInput& input);

}  // namespace ebonypin::core
