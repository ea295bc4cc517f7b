/// Health of one worker, estimated from the ends and the progress of its runs.
///
/// A worker whose runs fail, stall or are slow while its heartbeats stay good attracts work,
/// because it is always the least loaded one. Failures of tasks that also failed elsewhere do not
/// count, so that jobs which can never succeed do not make healthy workers look bad.
#pragma once

#include "ebonypin/core/time.h"

namespace ebonypin::core::fleet {

struct WorkerHealthOptions {
  /// Decayed number of failures that pauses a worker. Two failures can be chance, because some
  /// tasks fail on any worker.
  double m_failure_limit = 2.5;
  /// Time constant of the decay: a counted failure loses two thirds of its weight in it.
  Duration m_failure_decay = std::chrono::seconds{4};
  /// First pause of a worker; doubles while its runs after a pause fail.
  Duration m_first_pause = std::chrono::seconds{2};
  Duration m_longest_pause = std::chrono::seconds{8};
  /// Weight of a new run time in the moving average.
  double m_slowness_weight = 0.25;
  /// Time constant with which the slowness of a worker without finished runs decays to 1.
  Duration m_slowness_decay = std::chrono::seconds{6};
};

struct WorkerHealth {
  double m_failures = 0.0;  ///< Decayed count.
  Time m_failures_at;
  double m_slowness = 1.0;  ///< Moving average of run time divided by estimate.
  Time m_slowness_at;
  Duration m_pause{};
  Time m_paused_until;

  friend bool operator==(const WorkerHealth&, const WorkerHealth&) = default;
};

/// Counts a failed run. Returns whether it pauses the worker.
bool OnFailure(WorkerHealth& health, Time now, const WorkerHealthOptions& options) noexcept;

/// Counts a successful run with this run time and estimate.
void OnSuccess(WorkerHealth& health, Time now, Duration run_time, Duration estimate,
               const WorkerHealthOptions& options) noexcept;

/// Pauses a worker for a run that makes no progress.
void OnStall(WorkerHealth& health, Time now, const WorkerHealthOptions& options) noexcept;

/// Returns whether the worker is paused: it gets tasks only when no other worker has room.
[[nodiscard]] bool IsPaused(const WorkerHealth& health, Time now) noexcept;

/// Returns the ratio of run times to estimates on the worker; decays to 1 without finished runs.
[[nodiscard]] double Slowness(const WorkerHealth& health, Time now,
                              const WorkerHealthOptions& options) noexcept;

}  // namespace ebonypin::core::fleet
