#include "ebonypin/core/fleet/worker_health.h"

#include <algorithm>
#include <cmath>

namespace ebonypin::core::fleet {
namespace {

double Decay(const Time since, const Time now, const Duration constant) noexcept {
  const double elapsed = ToMillis(now - since);
  return std::exp(-std::max(elapsed, 0.0) / ToMillis(constant));
}

void Pause(WorkerHealth& health, const Time now, const WorkerHealthOptions& options) noexcept {
  health.m_pause = health.m_pause == Duration{}
                       ? options.m_first_pause
                       : std::min(health.m_pause * 2, options.m_longest_pause);
  health.m_paused_until = now + health.m_pause;
}

}  // namespace

bool OnFailure(WorkerHealth& health, const Time now, const WorkerHealthOptions& options) noexcept {
  health.m_failures =
      health.m_failures * Decay(health.m_failures_at, now, options.m_failure_decay) + 1.0;
  health.m_failures_at = now;
  if (IsPaused(health, now) || health.m_failures < options.m_failure_limit) return false;
  Pause(health, now, options);
  // One more failure after the pause pauses the worker again.
  health.m_failures = options.m_failure_limit - 0.5;
  return true;
}

void OnSuccess(WorkerHealth& health, const Time now, const Duration run_time,
               const Duration estimate, const WorkerHealthOptions& options) noexcept {
  health.m_failures /= 2.0;
  if (!IsPaused(health, now)) health.m_pause = Duration{};
  if (estimate <= Duration{}) return;
  const double ratio = std::clamp(ToMillis(run_time) / ToMillis(estimate), 0.2, 20.0);
  const double slowness = Slowness(health, now, options);
  health.m_slowness = slowness + options.m_slowness_weight * (ratio - slowness);
  health.m_slowness_at = now;
}

void OnStall(WorkerHealth& health, const Time now, const WorkerHealthOptions& options) noexcept {
  if (!IsPaused(health, now)) Pause(health, now, options);
}

bool IsPaused(const WorkerHealth& health, const Time now) noexcept {
  return now < health.m_paused_until;
}

double Slowness(const WorkerHealth& health, const Time now,
                const WorkerHealthOptions& options) noexcept {
  return 1.0 +
         (health.m_slowness - 1.0) * Decay(health.m_slowness_at, now, options.m_slowness_decay);
}

}  // namespace ebonypin::core::fleet
