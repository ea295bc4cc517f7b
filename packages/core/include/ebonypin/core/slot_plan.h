/// Plans how many slots of a worker batch work may hold.
///
/// Short work has priority. Batch work may use the slots that short work is not expected to need
/// before they can be reclaimed. A slot is reclaimed by throttling its batch task to zero, which
/// frees the slot but not the task's memory. The limit falls at once and grows by one slot at a
/// time. A task that stays throttled for long is checkpointed and evicted, so that it can continue
/// on another worker.
#pragma once

#include <cstdint>
#include <limits>
#include <vector>

#include "ebonypin/core/ids.h"
#include "ebonypin/core/time.h"

namespace ebonypin::core {

struct SlotPlanOptions {
  /// Time from the decision to throttle until the slot is free. Requests that arrive in this time
  /// need other slots.
  Duration m_reclaim = std::chrono::milliseconds{10};
  /// Time span over which the slope of the demand is measured.
  Duration m_slope_span = std::chrono::seconds{1};
  /// Spare slots per square root of the predicted demand. They absorb random fluctuation.
  double m_spare_factor = 1.0;
  /// Wait after a reduction before the limit grows again, so that it does not follow every
  /// fluctuation.
  Duration m_hold = std::chrono::milliseconds{100};
  /// Time between two increases of the limit by one slot.
  Duration m_grow_every = std::chrono::milliseconds{50};
  /// A task that has been throttled for longer is evicted.
  Duration m_evict_after = std::chrono::seconds{20};
  /// Shortest time from the start of a job that was evicted before until it may be evicted again.
  Duration m_evict_again_after = std::chrono::seconds{60};
  /// Tasks resume and start only up to this share of the slowdown limit, so that the next
  /// fluctuation does not throttle them again.
  double m_resume_share = 0.7;
};

/// Slots needed by short work at one time.
struct DemandSample {
  Time m_at{};
  double m_demand = 0.0;
};

/// State that the agent keeps between calls of PlanSlots.
struct SlotPlanState {
  std::vector<DemandSample> m_samples;  ///< Samples within the slope span, oldest first.
  std::uint32_t m_limit = 0;            ///< Slots that batch work may hold.
  Time m_reduced_at{};
  Time m_grown_at{};
};

/// One batch task on the worker.
struct BatchTask {
  JobId m_job;
  Attempt m_attempt = 1;
  Time m_started{};              ///< Start of this attempt on this worker.
  bool m_throttled = false;      ///< Throttled to zero, holding no slot.
  Time m_throttled_at{};         ///< Valid when `m_throttled`.
  bool m_can_checkpoint = true;  ///< A task that cannot be checkpointed is never evicted.
  Duration m_expected_left{};    ///< Expected remaining run time; zero when unknown.
  /// Predicted extra slowdown of the worker's short work by this task; see interference.h.
  double m_extra_slowdown = 0.0;
};

struct SlotPlanInput {
  Time m_now{};
  std::uint32_t m_slots = 0;         ///< All slots of the worker.
  std::uint32_t m_short_busy = 0;    ///< Slots held by short work.
  std::uint32_t m_short_queued = 0;  ///< Short work waiting on this worker.
  /// Set when short work misses its target although it has slots, because of interference. The
  /// batch limit is then halved.
  bool m_short_target_missed = false;
  /// Wait that short work tolerates: a share of the smallest start target of its classes. When
  /// slots can be reclaimed within this wait, one spare slot is enough. Zero always keeps the full
  /// reserve.
  Duration m_short_wait_tolerance{};
  /// Extra slowdown that short work tolerates without missing its target.
  double m_slowdown_limit = std::numeric_limits<double>::infinity();
  std::vector<BatchTask> m_batch;
};

struct SlotPlan {
  std::uint32_t m_batch_limit = 0;  ///< Slots that batch work may hold now.
  std::uint32_t m_admit = 0;        ///< New batch tasks that may start now.
  /// Largest extra slowdown by a new task that may start now.
  double m_admit_slowdown = std::numeric_limits<double>::infinity();
  std::vector<JobId> m_throttle;  ///< Jobs to throttle to zero now.
  std::vector<JobId> m_resume;    ///< Jobs to resume now.
  /// Jobs to checkpoint and return to their owner; at most one per call.
  std::vector<JobId> m_evict;
};

/// Plans the slots of one worker. Call at each arrival and end of short work and about every 50 ms.
[[nodiscard]] SlotPlan PlanSlots(SlotPlanState& state, const SlotPlanOptions& options,
                                 const SlotPlanInput& input);

}  // namespace ebonypin::core
