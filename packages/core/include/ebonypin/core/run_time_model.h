/// Run time and size of a class, learned from completions.
///
/// Run times have heavy tails, so the model keeps a histogram with logarithmic bins instead of a
/// mean. Until enough runs were seen, the declared run time counts as a prior.
#pragma once

#include <boost/histogram.hpp>
#include <vector>

#include "ebonypin/core/resources.h"
#include "ebonypin/core/time.h"

namespace ebonypin::core {

struct RunTimeOptions {
  /// Weight of the declared run time, in runs.
  double m_prior_weight = 5.0;
  /// Assumed run time of a class that declares none and has no runs.
  Duration m_default_run = std::chrono::milliseconds{100};
  /// Runs remembered; older ones fade.
  double m_window = 2000.0;
  /// A task that runs this many times longer than the 95th percentile is a straggler.
  double m_straggler_factor = 2.0;
  /// The learned size stays within these factors of the declared one.
  double m_min_size_factor = 0.1;
  double m_max_size_factor = 10.0;
  /// Reserve on top of the measured 95th percentile.
  double m_size_reserve = 1.1;
  /// Runs needed before measured use replaces the declared size.
  double m_min_sized_runs = 5.0;
};

using LogAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using LogHistogram =
    boost::histogram::histogram<std::tuple<LogAxis>,
                                boost::histogram::storage_adaptor<std::vector<double>>>;

/// Returns an empty histogram of values from 1 to 10^12 with 16 bins per decade (steps of 15 %).
[[nodiscard]] LogHistogram MakeLogHistogram();

/// Kept per class.
struct RunTimeModel {
  LogHistogram m_run_us = MakeLogHistogram();
  LogHistogram m_cpu_millis = MakeLogHistogram();
  LogHistogram m_memory_mb = MakeLogHistogram();
  double m_runs = 0.0;        ///< Weight of the runs in the histograms.
  double m_sized_runs = 0.0;  ///< Weight of those with a measured size.
};

/// Learns from a completed run. `used` is the measured peak; zero when not measured.
void LearnRun(RunTimeModel& model, const RunTimeOptions& options, Duration run,
              const Resources& used);

/// Returns the run time that is not exceeded with the given probability, between 0 and 1.
[[nodiscard]] Duration RunTimeQuantile(const RunTimeModel& model, const RunTimeOptions& options,
                                       double probability, Duration declared);

/// Returns the ratio of the 90th percentile to the median: 1 means that run times are certain.
[[nodiscard]] double RunTimeUncertainty(const RunTimeModel& model, const RunTimeOptions& options,
                                        Duration declared);

/// Returns the median of the time left for a task that has run for `elapsed`. Grows with `elapsed`
/// where the tail is heavy.
[[nodiscard]] Duration ExpectedLeft(const RunTimeModel& model, const RunTimeOptions& options,
                                    Duration elapsed, Duration declared);

/// Returns whether a task that has run for `elapsed` is a straggler of its class. Never before
/// enough runs were seen to tell.
[[nodiscard]] bool IsStraggler(const RunTimeModel& model, const RunTimeOptions& options,
                               Duration elapsed);

/// Returns the size to reserve: measured use with a reserve, within limits of the declared size.
/// Accelerators are always as declared.
[[nodiscard]] Resources LearnedSize(const RunTimeModel& model, const RunTimeOptions& options,
                                    const Resources& declared);

}  // namespace ebonypin::core
