/// Throttling of filling tasks for the sake of serving tasks on the same worker.
///
/// Load pattern: a filling task disturbs the serving tasks beside it by an amount that changes
/// within seconds and shows only in a tail latency of the last half second. The latest figure gives
/// the load that serving tasks have without filling ones; what their targets leave above it is
/// dealt out run by run, and everything rests when a target stays missed all the same.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "ebonypin/core/fleet/image_pairs.h"
#include "ebonypin/core/time.h"

namespace ebonypin::core::fleet {

struct PacingOptions {
  /// Part of the target up to which the model may fill a serving task's latency.
  double m_planned_ratio = 1.0;
  /// Growth of utilisation that filling tasks may always cause, so that harmless ones go on at the
  /// crest of a serving task's own load.
  double m_always_allowed = 0.06;
  /// Growth of utilisation that is planned for while a serving task's load is not known.
  double m_unknown_room = 0.5;
  /// After a target was missed for this long, all filling tasks rest for a while, in case the model
  /// has the wrong one in suspicion; 4 s are a breach.
  Duration m_rest_after = std::chrono::milliseconds{2000};
  Duration m_rest = std::chrono::milliseconds{1200};
  /// Growth of utilisation below which a run is not the cause of a missed target. The others rest
  /// for as long as the target stays missed.
  double m_blame = 0.05;
};

/// Returns whether the runs that may be the cause have to rest, for a target that was missed since
/// `missed_since`.
[[nodiscard]] bool MustRestSuspects(Time missed_since, Time now,
                                    const PacingOptions& options = {}) noexcept;

/// Returns whether all filling tasks have to rest, for a target that was missed since
/// `missed_since`.
[[nodiscard]] bool MustRestAll(Time missed_since, Time now,
                               const PacingOptions& options = {}) noexcept;

struct ServingLoad {
  ClassName m_image;
  double m_load = 0.0;  ///< Utilisation without filling tasks, when the shares take effect.
  double m_target_ms = 0.0;
};

/// Returns by how much the utilisation of a serving task may grow within its planned latency.
[[nodiscard]] double RoomToGrow(const ImagePairs& pairs, const ServingLoad& task,
                                const PacingOptions& options = {}) noexcept;

/// Filling run on a worker.
struct FillingRun {
  ImageName m_image;
  double m_load = 0.0;  ///< Share of the worker's processors that it uses when it is not paced.
};

/// Share of each filling run, 0 to 1, that keeps every serving task within its planned latency.
/// Runs of the images that disturb least come first, and within an image the earlier ones: a few
/// runs at full speed end sooner than all at an equal share.
[[nodiscard]] std::vector<double> AllowedShares(const ImagePairs& pairs,
                                                const std::vector<ServingLoad>& serving,
                                                const std::vector<FillingRun>& runs, Time now,
                                                const PacingOptions& options = {});

}  // namespace ebonypin::core::fleet
