#include "ebonypin/core/slot_plan.h"

#include <algorithm>
#include <cmath>

namespace ebonypin::core {
namespace {

/// Returns the increase of the demand per microsecond between the older and the newer half of the
/// span. The means of the halves are compared, because single samples fluctuate by more than the
/// demand rises within the span ahead of a peak.
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

/// Returns the demand expected at the time when slots could be reclaimed by a decision made now.
double PredictDemand(SlotPlanState& state, const SlotPlanOptions& options,
                     const SlotPlanInput& input) {
  const double demand = input.m_short_busy + input.m_short_queued;
  auto& samples = state.m_samples;
  std::erase_if(samples, [&](const DemandSample& sample) {
    return input.m_now - sample.m_at > options.m_slope_span;
  });
  // Keeps at most about 100 samples. With a sample for every call, a plan would scan thousands of
  // samples under overload.
  if (samples.empty() || input.m_now - samples.back().m_at >= options.m_slope_span / 100) {
    samples.push_back({.m_at = input.m_now, .m_demand = demand});
  }
  const double slope = Slope(samples, options, input.m_now);
  return demand + std::max(0.0, slope) * static_cast<double>(options.m_reclaim.count());
}

void UpdateLimit(SlotPlanState& state, const SlotPlanOptions& options, const SlotPlanInput& input) {
  const double forecast = PredictDemand(state, options, input);
  // When slots can be reclaimed within the tolerated wait, no reserve for rising demand is kept.
  const bool in_time = options.m_reclaim <= input.m_short_wait_tolerance;
  const double predicted =
      in_time ? static_cast<double>(input.m_short_busy + input.m_short_queued) : forecast;
  // At least one spare slot is kept, because without current demand a first request cannot be
  // predicted.
  const double spare = in_time ? 1.0 : std::max(1.0, options.m_spare_factor * std::sqrt(predicted));
  const double kept = std::ceil(predicted + spare);
  std::uint32_t allowed =
      kept >= input.m_slots ? 0 : input.m_slots - static_cast<std::uint32_t>(kept);
  if (input.m_short_target_missed) allowed = std::min(allowed, state.m_limit / 2);
  // The longer it takes to reclaim a slot, the slower the limit grows.
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
  // An attempt after the first one may follow an eviction, so it must have run for a minimum time.
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
  // Tasks with the least extra slowdown continue to run. Among equals, the task with the most time
  // left is throttled first, so that a straggler does not delay tasks that end soon. Next comes the
  // task that started last, because it loses the least work when it is evicted later.
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
  // The task that has been throttled for the longest time resumes first, and all throttled tasks
  // resume before new tasks start. Resuming the task with the least time left first causes more
  // evictions and does not finish work sooner.
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
