/// Throttling of filling tasks for the sake of serving tasks on the same worker.
///
/// Load pattern: a filling task disturbs the serving tasks beside it by an amount that changes
/// within seconds and shows only in a tail latency of the last half second. So the share of filling
/// tasks is cut at once, to nothing when the target stays missed, and given back slowly.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "ebonypin/core/fleet/image_pairs.h"
#include "ebonypin/core/time.h"

namespace ebonypin::core::fleet {

struct PacingOptions {
  double m_cut_above = 1.0;    ///< Latency divided by target above which the share is halved.
  double m_raise_below = 0.9;  ///< The same, below which it is raised.
  std::uint32_t m_raise_percent = 25;
  /// Part of the target up to which the model may fill a serving task's latency.
  double m_planned_ratio = 0.86;
  /// Growth of utilisation that filling tasks may always cause, so that harmless ones go on at the
  /// crest of a serving task's own load.
  double m_always_allowed = 0.06;
  /// Growth of utilisation that is planned for while a serving task's load is not known.
  double m_unknown_room = 0.5;
  /// Growth of utilisation below which an image is not the cause of a missed target.
  double m_blame = 0.05;
  /// After a target was missed for this long, all filling tasks rest for a while, in case the model
  /// has the wrong one in suspicion; 4 s are a breach.
  Duration m_rest_after = std::chrono::milliseconds{2000};
  Duration m_rest = std::chrono::milliseconds{1200};
  std::uint32_t m_smallest_percent = 20;  ///< A smaller share is cut to nothing.
  /// Between two changes: the latency covers half a second, and a change acts after 0.1 s.
  Duration m_interval = std::chrono::milliseconds{600};
  /// The share is cut to nothing when the target was missed for this long; 4 s are a breach.
  Duration m_missed_limit = std::chrono::milliseconds{1200};
};

struct Pacing {
  std::uint32_t m_percent = 100;  ///< Share that filling tasks get.
  Time m_changed;
  Time m_missed_since;  ///< Epoch: the target is met.

  friend bool operator==(const Pacing&, const Pacing&) = default;
};

/// Takes the largest latency, divided by its target, of the serving tasks that an image disturbs;
/// zero when there is none. Returns the image's share in percent.
std::uint32_t UpdatePacing(Pacing& pacing, Time now, double worst_ratio,
                           const PacingOptions& options = {}) noexcept;

/// Returns whether all filling tasks have to rest, for a target that was missed since
/// `missed_since`.
[[nodiscard]] bool MustRest(Time missed_since, Time now,
                            const PacingOptions& options = {}) noexcept;

struct ServingLoad {
  ClassName m_image;
  double m_load = 0.0;  ///< Utilisation without filling tasks.
  double m_target_ms = 0.0;
};

/// Returns by how much the utilisation of a serving task may grow within its planned latency.
[[nodiscard]] double RoomToGrow(const ImagePairs& pairs, const ServingLoad& task,
                                const PacingOptions& options = {}) noexcept;

/// Share of each filling image, 0 to 1, that keeps every serving task within its planned latency.
/// `full_cores` holds the processors that each image uses at its full share.
[[nodiscard]] std::map<ImageName, double> AllowedShares(
    const ImagePairs& pairs, const std::vector<ServingLoad>& serving,
    const std::map<ImageName, double>& full_cores, Time now, const PacingOptions& options = {});

}  // namespace ebonypin::core::fleet
