/// Model of the slowdown of one class by a running task of another class.
///
/// A measurement gives the slowdown of a class during a past window, relative to running alone, and
/// the tasks that ran beside it. The estimate of each pair of classes starts at a prior, is updated
/// by each measurement and decays back to the prior, because interference changes with the load.
#pragma once

#include <map>
#include <utility>
#include <vector>

#include "ebonypin/core/ids.h"
#include "ebonypin/core/time.h"

namespace ebonypin::core {

struct InterferenceOptions {
  double m_prior = 0.05;         ///< Extra slowdown by one task without any measurement.
  double m_learning_rate = 0.2;  ///< Share of the error corrected by one measurement.
  double m_max_extra = 10.0;     ///< Largest extra slowdown by one task.
  Duration m_half_life = std::chrono::minutes{5};  ///< Half-life of the difference from the prior.
};

/// Extra slowdown of the victim by one running task of the cause: 0.5 means that the victim takes
/// 1.5 times as long as alone.
struct PairEstimate {
  double m_extra = 0.0;
  Time m_updated_at{};

  friend bool operator==(const PairEstimate&, const PairEstimate&) = default;
};

struct InterferenceModel {
  std::map<std::pair<ClassName, ClassName>, PairEstimate> m_pairs;  ///< By victim and cause.
};

/// Mean number of running tasks of one class.
struct RunningClass {
  ClassName m_class;
  double m_tasks = 0.0;
};

/// Updates the estimates with a measurement: beside `running`, `victim` took `slowdown` times as
/// long as alone. `running` must not contain the victim's own class.
void LearnInterference(InterferenceModel& model, const InterferenceOptions& options,
                       const ClassName& victim, double slowdown,
                       const std::vector<RunningClass>& running, Time now);

/// Returns the extra slowdown of `victim` by one task of `cause`.
[[nodiscard]] double PairSlowdown(const InterferenceModel& model,
                                  const InterferenceOptions& options, const ClassName& victim,
                                  const ClassName& cause, Time now);

}  // namespace ebonypin::core
