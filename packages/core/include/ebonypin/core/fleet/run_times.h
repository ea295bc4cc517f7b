/// Run times learned per queue, from callers' rough estimates and what the tasks took.
///
/// Load pattern: at a crest the order of jobs depends on which can still meet their objective.
/// Estimates are off by a factor of two and more, so an order by them alone puts jobs aside that
/// could have been in time. What a queue's tasks took, regressed on the estimates, corrects them:
/// the estimate counts as far as it has told anything.
#pragma once

#include <cstdint>
#include <map>

#include "ebonypin/core/fleet/job.h"
#include "ebonypin/core/time.h"

namespace ebonypin::core::fleet {

/// Regression of the logarithm of run times on that of estimates.
struct RunTimeStatistics {
  double m_weight = 0.0;  ///< Of the observations so far; recent ones count more.
  double m_mean_estimate = 0.0;
  double m_mean_actual = 0.0;
  double m_variance = 0.0;    ///< Of the estimates.
  double m_covariance = 0.0;  ///< Of both.

  friend bool operator==(const RunTimeStatistics&, const RunTimeStatistics&) = default;
};

using RunTimes = std::map<QueueName, RunTimeStatistics>;

/// Learns that a task with this estimate took `actual` on a sound worker at its full share.
void LearnRunTime(RunTimes& times, const QueueName& queue, Duration estimate, Duration actual);

/// Returns the expected run time of a task; the estimate itself until enough is known.
[[nodiscard]] Duration ExpectedRunTime(const RunTimes& times, const QueueName& queue,
                                       Duration estimate);

}  // namespace ebonypin::core::fleet
