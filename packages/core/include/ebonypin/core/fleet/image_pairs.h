/// How much the tasks of one image, which fill, slow the tasks of another, which serve.
///
/// Load pattern: a serving task's tail latency doubles and falls with its own load within seconds,
/// beside filling tasks of several images, of which few disturb it. A latency follows the
/// utilisation of what serves, idle / (1 - utilisation), so an effect is learned as a growth of the
/// utilisation: the same filling task costs little in a trough and the target at a crest. Filling
/// tasks never make a serving task faster, so a low latency beside an image clears it at once.
///
/// Workers differ in size, and so does what one processor of filling tasks does there. So loads of
/// filling tasks are shares of the worker's processors, and a pair's effect is that of a worker
/// full of them.
///
/// Example:
///
///     NoteLatency(pairs, {"search"}, 12.0);
///     LearnPairs(pairs, {"search"}, base.m_load, 40.0, loads, now);
///     UpdateBase(base, pairs, {"search"}, 40.0, PredictedGrowth(pairs, {"search"}, loads, now));
#pragma once

#include <map>
#include <utility>
#include <vector>

#include "ebonypin/core/fleet/job.h"
#include "ebonypin/core/time.h"

namespace ebonypin::core::fleet {

/// Variance of the effect of a pair that was never measured: two images in three disturb little,
/// and the others raise the utilisation by three to ten times.
inline constexpr double kPriorDoubt = 9.0;

/// What is believed of one pair.
struct PairBelief {
  double m_growth = 0.0;         ///< Growth of the utilisation by a worker full of the other.
  double m_doubt = kPriorDoubt;  ///< Variance of `m_growth`.
  Time m_learned;

  friend bool operator==(const PairBelief&, const PairBelief&) = default;
};

struct ImagePairs {
  std::map<std::pair<ImageName, ImageName>, PairBelief> m_pairs;  ///< By serving and filling.
  std::map<ImageName, double> m_idle_ms;  ///< Tail latency of a serving image without load.

  friend bool operator==(const ImagePairs&, const ImagePairs&) = default;
};

/// Effect of a worker full of filling tasks of an image on serving tasks of another.
struct ImagePair {
  ImageName m_serving;
  ImageName m_filling;
  double m_growth = 0.0;   ///< Growth of the serving task's utilisation; negative: not known.
  double m_idle_ms = 0.0;  ///< Its latency without load; zero: not known.

  friend bool operator==(const ImagePair&, const ImagePair&) = default;
};

/// Share of one worker's processors in use by the filling tasks of an image.
struct FillingLoad {
  ImageName m_image;
  double m_least = 0.0;  ///< Throughout the time that the latencies cover.
  double m_most = 0.0;
};

/// Returns the loads between two lists of shares in use, by filling image.
[[nodiscard]] std::vector<FillingLoad> LoadsBetween(const std::map<ImageName, double>& before,
                                                    const std::map<ImageName, double>& now);

/// Estimate of a serving task's load without filling tasks beside it.
struct ServingBase {
  double m_load = 0.0;   ///< Utilisation, 0 to 1; zero: not known.
  double m_slope = 0.0;  ///< Its growth per second.

  friend bool operator==(const ServingBase&, const ServingBase&) = default;
};

/// Returns the utilisation at which a task with this idle latency has this latency.
[[nodiscard]] double LoadAt(double latency_ms, double idle_ms) noexcept;

/// Takes a latency of the image into the estimate of its idle latency.
void NoteLatency(ImagePairs& pairs, const ImageName& serving, double latency_ms);

/// Returns the idle latency of a serving image in ms, zero when it is not known.
[[nodiscard]] double IdleLatency(const ImagePairs& pairs, const ImageName& serving) noexcept;

/// Returns the growth of the serving task's utilisation by a worker full of the filling image.
[[nodiscard]] double GrowthWhenFull(const ImagePairs& pairs, const ImageName& serving,
                                    const ImageName& filling, Time now);

/// Returns the growth by all of `filling`.
[[nodiscard]] double PredictedGrowth(const ImagePairs& pairs, const ImageName& serving,
                                     const std::vector<FillingLoad>& filling, Time now);

/// Takes a latency that filling tasks are predicted to have raised by `growth`.
void UpdateBase(ServingBase& base, const ImagePairs& pairs, const ImageName& serving,
                double latency_ms, double growth) noexcept;

/// Takes a latency into the estimates of the load and its slope, `elapsed` after the last one. The
/// latency covers the same time as the figures of the filling tasks that raise it by `growth`.
void FollowBase(ServingBase& base, const ImagePairs& pairs, const ImageName& serving,
                double latency_ms, double growth, Duration elapsed) noexcept;

/// Returns the load that is expected after `ahead`; a fall is not counted on.
[[nodiscard]] double LoadAhead(const ServingBase& base, Duration ahead) noexcept;

/// Returns what is known of one pair.
[[nodiscard]] ImagePair Describe(const ImagePairs& pairs, const ImageName& serving,
                                 const ImageName& filling, Time now);

/// Returns the pairs that were learned lately, and forgets the others.
[[nodiscard]] std::vector<ImagePair> TakeRecent(ImagePairs& pairs, Time now);

/// Takes over what was learned elsewhere or earlier.
void Adopt(ImagePairs& pairs, const std::vector<ImagePair>& known, Time now);

/// What the growth that a latency shows may owe to the estimate of the load without filling tasks.
struct GrowthError {
  double m_bias = 0.0;   ///< A smaller difference says nothing.
  double m_noise = 0.0;  ///< Standard deviation.
};
/// For a load that is the task's own estimate: it lags behind the load's swing.
inline constexpr GrowthError kOwnGrowth{.m_bias = 0.15, .m_noise = 0.3};
/// For a load that the other tasks of the step show, measured within a second.
inline constexpr GrowthError kPeerDifference{.m_bias = 0.08, .m_noise = 0.22};

/// Learns from a latency beside `filling` of a task whose utilisation without it is estimated at
/// `base_load`. What the beliefs do not explain is shared out by their doubt: a pair that was often
/// measured is not blamed for an unknown one beside it.
void LearnPairs(ImagePairs& pairs, const ImageName& serving, double base_load, double latency_ms,
                const std::vector<FillingLoad>& filling, Time now,
                const GrowthError& error = kOwnGrowth);

}  // namespace ebonypin::core::fleet
