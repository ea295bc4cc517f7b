/// Run time and size of a class, learned from completed runs.
///
/// Run times have heavy tails, so the model keeps a histogram with logarithmic bins instead of a
/// mean. The declared run time serves as a prior, whose weight decreases with the number of runs.
#pragma once

#include <boost/histogram.hpp>
#include <vector>

#include "ebonypin/core/resources.h"
#include "ebonypin/core/time.h"

namespace ebonypin::core {

struct RunTimeOptions {
  /// Weight of the declared run time, as a number of runs.
  double m_prior_weight = 5.0;
  /// Assumed run time of a class without a declared run time and without runs.
  Duration m_default_run = std::chrono::milliseconds{100};
  /// When this many runs are in the model, their weight is halved, so that older runs fade.
  double m_window = 2000.0;
  /// A task is a straggler when it has run for more than this many times the 95th percentile.
  double m_straggler_factor = 2.0;
  /// The learned size stays between these multiples of the declared size.
  double m_min_size_factor = 0.1;
  double m_max_size_factor = 10.0;
  /// Reserved size as a multiple of the 95th percentile of measured use.
  double m_size_reserve = 1.1;
  /// Fewest runs with a measured size before measured use replaces the declared size.
  double m_min_sized_runs = 5.0;
};

using LogAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using LogHistogram =
    boost::histogram::histogram<std::tuple<LogAxis>,
                                boost::histogram::storage_adaptor<std::vector<double>>>;

/// Returns an empty histogram of values from 1 to 10^12 with 16 bins per decade (steps of 15 %).
[[nodiscard]] LogHistogram MakeLogHistogram();

/// Learned run times and sizes of one class.
struct RunTimeModel {
  LogHistogram m_run_us = MakeLogHistogram();
  LogHistogram m_cpu_millis = MakeLogHistogram();
  LogHistogram m_memory_mb = MakeLogHistogram();
  double m_runs = 0.0;        ///< Weight of the runs in the histograms.
  double m_sized_runs = 0.0;  ///< Weight of the runs with a measured size.
};

/// Updates the model with a completed run. `used` is the measured peak use; zero when not measured.
void LearnRun(RunTimeModel& model, const RunTimeOptions& options, Duration run,
              const Resources& used);

/// Returns the run time that is not exceeded with the given probability, from 0 to 1.
[[nodiscard]] Duration RunTimeQuantile(const RunTimeModel& model, const RunTimeOptions& options,
                                       double probability, Duration declared);

/// Returns the ratio of the 90th percentile to the median, increased while few runs were seen. 1
/// means that the run time is certain.
[[nodiscard]] double RunTimeUncertainty(const RunTimeModel& model, const RunTimeOptions& options,
                                        Duration declared);

/// Returns the median remaining time of a task that has run for `elapsed`. It grows with `elapsed`
/// where the tail of the distribution is heavy.
[[nodiscard]] Duration ExpectedLeft(const RunTimeModel& model, const RunTimeOptions& options,
                                    Duration elapsed, Duration declared);

/// Returns whether a task that has run for `elapsed` is a straggler of its class. Returns false
/// until 20 runs were seen.
[[nodiscard]] bool IsStraggler(const RunTimeModel& model, const RunTimeOptions& options,
                               Duration elapsed);

/// Returns the size to reserve: measured use with a reserve, within the limits relative to the
/// declared size. The number of accelerators is always the declared one.
[[nodiscard]] Resources LearnedSize(const RunTimeModel& model, const RunTimeOptions& options,
                                    const Resources& declared);

}  // namespace ebonypin::core
