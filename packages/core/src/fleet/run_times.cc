#include "ebonypin/core/fleet/run_times.h"

#include <algorithm>
#include <cmath>

namespace ebonypin::core::fleet {
namespace {

/// Observations after which the regression is used; fewer say little about a spread.
constexpr double kLeastWeight = 12.0;
/// The statistics cover about this many recent observations, so that they follow a queue whose
/// work changes.
constexpr double kLargestWeight = 200.0;
/// Weight of the observation that estimates tell nothing, in units of their variance.
constexpr double kDoubt = 0.05;

double LogSeconds(const Duration time) noexcept {
  return std::log(std::max(std::chrono::duration<double>(time).count(), 1e-3));
}

}  // namespace

void LearnRunTime(RunTimes& times, const QueueName& queue, const Duration estimate,
                  const Duration actual) {
  if (estimate <= Duration{} || actual <= Duration{}) return;
  RunTimeStatistics& known = times[queue];
  known.m_weight = std::min(known.m_weight + 1.0, kLargestWeight);
  const double share = 1.0 / known.m_weight;
  const double x = LogSeconds(estimate) - known.m_mean_estimate;
  const double y = LogSeconds(actual) - known.m_mean_actual;
  known.m_mean_estimate += share * x;
  known.m_mean_actual += share * y;
  known.m_variance += share * ((1.0 - share) * x * x - known.m_variance);
  known.m_covariance += share * ((1.0 - share) * x * y - known.m_covariance);
}

Duration ExpectedRunTime(const RunTimes& times, const QueueName& queue, const Duration estimate) {
  const auto found = times.find(queue);
  if (found == times.end() || found->second.m_weight < kLeastWeight || estimate <= Duration{}) {
    return estimate;
  }
  const auto& known = found->second;
  const double slope = std::clamp(known.m_covariance / (known.m_variance + kDoubt), 0.0, 1.0);
  const double expected =
      known.m_mean_actual + slope * (LogSeconds(estimate) - known.m_mean_estimate);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::exp(expected)));
}

}  // namespace ebonypin::core::fleet
