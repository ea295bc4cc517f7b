#include "ebonypin/core/slot_plan.h"

#include <algorithm>
#include <cmath>

namespace ebonypin::core {
namespace {

/// Returns the rise per microsecond between the older and the newer half of the span. Means of
/// halves are compared, because single samples fluctuate by more than a crest rises within the
/// span.
double Slope(const std::vector<DemandSample>& samples, const SlotPlanOptions& options,
             const Time now) {
  const Duration half = options.m_slope_span / 2;
  double older = 0.0;
  double newer = 0.0;
  double older_count = 0.0;
  double newer_count = 0.0;
  for (const DemandSample& sample : samples) {
    const bool is_newer = now - sample.m_at < half;
    (is_newer ? newer : older) += sample.m_demand;
    (is_newer ? newer_count : older_count) += 1.0;
  }
  if (older_count == 0.0 || newer_count == 0.0) return 0.0;
  return (newer / newer_count - older / older_count) / static_cast<double>(half.count());
}

/// Returns the demand expected once slots decided on now could be taken back.
double PredictDemand(SlotPlanState& state, const SlotPlanOptions& options,
                     const SlotPlanInput& input) {
  const double demand = input.m_short_busy + input.m_short_queued;
  auto& samples = state.m_samples;
  std::erase_if(samples, [&](const DemandSample& sample) {
    return input.m_now - sample.m_at > options.m_slope_span;
  });
  // At most 100 samples: one for each call made a plan cost thousands of steps in an overload.
  if (samples.empty() || input.m_now - samples.back().m_at >= options.m_slope_span / 100) {
    samples.push_back({.m_at = input.m_now, .m_demand = demand});
  }
  const double slope = Slope(samples, options, input.m_now);
  return demand + std::max(0.0, slope) * static_cast<double>(options.m_reclaim.count());
}

void UpdateLimit(SlotPlanState& state, const SlotPlanOptions& options, const SlotPlanInput& input) {
  const double forecast = PredictDemand(state, options, input);
  // Slots that are taken back in time are lent without a reserve for a rise.
  const bool in_time = options.m_reclaim <= input.m_short_wait_tolerance;
  const double predicted =
      in_time ? static_cast<double>(input.m_short_busy + input.m_short_queued) : forecast;
  // At least one slot is kept: a first request finds no demand to be predicted from.
  const double spare = in_time ? 1.0 : std::max(1.0, options.m_spare_factor * std::sqrt(predicted));
  const double kept = std::ceil(predicted + spare);
  std::uint32_t allowed =
      kept >= input.m_slots ? 0 : input.m_slots - static_cast<std::uint32_t>(kept);
  if (input.m_short_target_missed) allowed = std::min(allowed, state.m_limit / 2);
  // The slower slots come back, the slower they are lent.
  const Duration hold = std::max(options.m_hold, options.m_reclaim);
  const Duration grow_every = std::max(options.m_grow_every, options.m_reclaim / 2);
  if (allowed < state.m_limit) {
    state.m_limit = allowed;
    state.m_reduced_at = input.m_now;
  } else if (allowed > state.m_limit && input.m_now - state.m_reduced_at >= hold &&
             input.m_now - state.m_grown_at >= grow_every) {
    ++state.m_limit;
    state.m_grown_at = input.m_now;
  }
}

bool MayEvict(const BatchTask& task, const SlotPlanOptions& options, const Time now) {
  if (!task.m_throttled || !task.m_can_checkpoint) return false;
  if (now - task.m_throttled_at < options.m_evict_after) return false;
  // A later attempt follows an eviction that was before its start.
  return task.m_attempt <= 1 || now - task.m_started >= options.m_evict_again_after;
}

}  // namespace

SlotPlan PlanSlots(SlotPlanState& state, const SlotPlanOptions& options,
                   const SlotPlanInput& input) {
  UpdateLimit(state, options, input);
  SlotPlan plan{.m_batch_limit = state.m_limit};
  std::vector<const BatchTask*> running;
  std::vector<const BatchTask*> throttled;
  for (const BatchTask& task : input.m_batch) {
    (task.m_throttled ? throttled : running).push_back(&task);
  }
  // The least harmful go on. Among equals the one with most time left is throttled, so that a
  // straggler does not hold back tasks that end soon, then the latest started, because it has lost
  // least when it has to be evicted later.
  std::sort(running.begin(), running.end(), [](const BatchTask* a, const BatchTask* b) {
    if (a->m_extra_slowdown != b->m_extra_slowdown)
      return a->m_extra_slowdown < b->m_extra_slowdown;
    if (a->m_expected_left != b->m_expected_left) return a->m_expected_left < b->m_expected_left;
    return a->m_started != b->m_started ? a->m_started < b->m_started : a->m_job < b->m_job;
  });
  const double limit = input.m_slowdown_limit;
  double harm = 0.0;
  std::size_t kept = 0;
  for (const BatchTask* const task : running) {
    if (kept < state.m_limit &&
        (task->m_extra_slowdown <= 0.0 || harm + task->m_extra_slowdown <= limit)) {
      harm += task->m_extra_slowdown;
      ++kept;
    } else {
      plan.m_throttle.push_back(task->m_job);
    }
  }
  if (!plan.m_throttle.empty()) {
    plan.m_admit_slowdown = 0.0;
    return plan;
  }
  // The longest throttled resumes first, and all of them before new tasks start. Resuming the one
  // with least time left first was measured: it evicts more and finishes no sooner.
  std::sort(throttled.begin(), throttled.end(), [](const BatchTask* a, const BatchTask* b) {
    return a->m_throttled_at != b->m_throttled_at ? a->m_throttled_at < b->m_throttled_at
                                                  : a->m_job < b->m_job;
  });
  const double resume_limit = options.m_resume_share * limit;
  std::size_t free = state.m_limit - kept;
  std::vector<const BatchTask*> waiting;
  for (const BatchTask* const task : throttled) {
    if (free > 0 &&
        (task->m_extra_slowdown <= 0.0 || harm + task->m_extra_slowdown <= resume_limit)) {
      plan.m_resume.push_back(task->m_job);
      harm += task->m_extra_slowdown;
      --free;
    } else {
      waiting.push_back(task);
    }
  }
  plan.m_admit = static_cast<std::uint32_t>(free);
  plan.m_admit_slowdown = std::max(0.0, resume_limit - harm);
  for (const BatchTask* const task : waiting) {
    if (MayEvict(*task, options, input.m_now)) {
      plan.m_evict.push_back(task->m_job);
      break;
    }
  }
  return plan;
}

}  // namespace ebonypin::core
