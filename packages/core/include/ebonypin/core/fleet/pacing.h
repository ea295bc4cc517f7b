/// Throttling of filling tasks that disturb serving tasks on the same worker.
///
/// A filling task slows the serving tasks beside it by an amount that changes within seconds and is
/// visible only in the tail latency of the last half second. From the latest figures the agent
/// estimates the own load of the serving tasks, that is, their utilisation without filling tasks.
/// The growth that their targets allow above it is distributed to the filling runs one by one. If a
/// target is missed nevertheless, filling tasks rest: they get a share of zero.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "ebonypin/core/fleet/image_pairs.h"
#include "ebonypin/core/time.h"

namespace ebonypin::core::fleet {

struct PacingOptions {
  /// Fraction of the target that the model plans for a serving task's latency.
  double m_planned_ratio = 1.0;
  /// Growth of utilisation that filling tasks may always cause, so that harmless tasks continue at
  /// the peak of a serving task's own load.
  double m_min_allowed_growth = 0.06;
  /// Allowed growth of utilisation while a serving task's load is not known.
  double m_allowed_growth_when_unknown = 0.5;
  /// Time for which a target is missed before filling tasks rest; 4 s are a breach.
  Duration m_rest_after = std::chrono::milliseconds{2000};
  /// Time for which all filling tasks rest first, in case the model suspects the wrong ones.
  Duration m_rest_duration = std::chrono::milliseconds{1200};
  /// Predicted growth of utilisation from which a run is suspected of causing a missed target. The
  /// suspects rest for as long as the target is missed.
  double m_min_suspect_growth = 0.05;
};

/// Returns whether the suspected runs have to rest, for a target missed since `missed_since`.
[[nodiscard]] bool MustRestSuspects(Time missed_since, Time now,
                                    const PacingOptions& options = {}) noexcept;

/// Returns whether all filling runs have to rest, for a target missed since `missed_since`.
[[nodiscard]] bool MustRestAll(Time missed_since, Time now,
                               const PacingOptions& options = {}) noexcept;

struct ServingLoad {
  ClassName m_image;
  double m_load = 0.0;  ///< Own load at the time when the shares take effect.
  double m_target_ms = 0.0;
};

/// Returns the relative growth of a serving task's utilisation that its planned latency allows: 0.5
/// is a growth by half.
[[nodiscard]] double AllowedGrowth(const ImagePairs& pairs, const ServingLoad& task,
                                   const PacingOptions& options = {}) noexcept;

/// Filling run on a worker.
struct FillingRun {
  ImageName m_image;
  double m_load = 0.0;  ///< Share of the worker's processors that it uses at its full share.
};

/// Returns the share of each filling run, 0 to 1, that keeps every serving task within its planned
/// latency. Runs of the images that disturb least come first, and within an image the earlier runs:
/// a few runs at full speed finish sooner than all runs at an equal share.
[[nodiscard]] std::vector<double> AllowedShares(const ImagePairs& pairs,
                                                const std::vector<ServingLoad>& serving,
                                                const std::vector<FillingRun>& runs, Time now,
                                                const PacingOptions& options = {});

}  // namespace ebonypin::core::fleet
