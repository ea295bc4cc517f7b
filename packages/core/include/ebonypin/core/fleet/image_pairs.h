/// Interference model: how much filling tasks of one image slow serving tasks of another.
///
/// The tail latency of a serving task doubles and falls within seconds with its own load, and only
/// few of the filling images beside it disturb it. The latency follows the utilisation of the
/// serving task as idle latency / (1 - utilisation), so the interference is learned as a relative
/// growth of the utilisation: the same filling task costs little at low load and the target at peak
/// load. Filling tasks never make a serving task faster, so one low latency beside an image shows
/// that the image is harmless.
///
/// Workers differ in size, and so does the effect of one processor of filling tasks. Therefore
/// loads of filling tasks are shares of the worker's processors, and the growth of a pair is that
/// caused by a worker full of the filling image.
///
/// Example:
///
///     ObserveLatency(pairs, {"search"}, 12.0);
///     LearnPairs(pairs, {"search"}, own_load.m_load, 40.0, loads, now);
///     const double growth = PredictedGrowth(pairs, {"search"}, loads, now);
///     UpdateOwnLoad(own_load, pairs, {"search"}, 40.0, growth);
#pragma once

#include <map>
#include <utility>
#include <vector>

#include "ebonypin/core/fleet/job.h"
#include "ebonypin/core/time.h"

namespace ebonypin::core::fleet {

/// Variance of the growth of a pair that was never measured: two images in three disturb little,
/// and the others raise the utilisation by a factor of three to ten.
inline constexpr double kPriorVariance = 9.0;

/// Estimate of the interference of one pair.
struct PairEstimate {
  double m_growth = 0.0;  ///< Growth of the utilisation by a worker full of the filling image.
  double m_variance = kPriorVariance;  ///< Variance of `m_growth`.
  Time m_learned;

  friend bool operator==(const PairEstimate&, const PairEstimate&) = default;
};

struct ImagePairs {
  /// By serving and filling image.
  std::map<std::pair<ImageName, ImageName>, PairEstimate> m_pairs;
  std::map<ImageName, double> m_idle_ms;  ///< Tail latency of a serving image without load.

  friend bool operator==(const ImagePairs&, const ImagePairs&) = default;
};

/// Interference of one pair of images, for messages and records.
struct ImagePair {
  ImageName m_serving;
  ImageName m_filling;
  double m_growth = 0.0;   ///< Growth of the serving image's utilisation; negative: not known.
  double m_idle_ms = 0.0;  ///< Latency of the serving image without load; zero: not known.

  friend bool operator==(const ImagePair&, const ImagePair&) = default;
};

/// Share of one worker's processors in use by the filling tasks of an image.
struct FillingLoad {
  ImageName m_image;
  double m_min = 0.0;  ///< Smallest share while the latencies were measured.
  double m_max = 0.0;  ///< Largest share while the latencies were measured.
};

/// Returns the range of the load of each filling image between two lists of shares in use.
[[nodiscard]] std::vector<FillingLoad> LoadRanges(const std::map<ImageName, double>& before,
                                                  const std::map<ImageName, double>& now);

/// Estimate of a serving task's own load, that is, without filling tasks beside it.
struct OwnLoadEstimate {
  double m_load = 0.0;   ///< Utilisation, 0 to 1; zero: not known.
  double m_slope = 0.0;  ///< Change of `m_load` per second.

  friend bool operator==(const OwnLoadEstimate&, const OwnLoadEstimate&) = default;
};

/// Returns the utilisation, 0 to 1, that a latency shows for a task with this idle latency.
[[nodiscard]] double LoadFromLatency(double latency_ms, double idle_ms) noexcept;

/// Updates the estimate of the image's idle latency from a measured latency.
void ObserveLatency(ImagePairs& pairs, const ImageName& serving, double latency_ms);

/// Returns the idle latency of a serving image in ms, zero when it is not known.
[[nodiscard]] double IdleLatency(const ImagePairs& pairs, const ImageName& serving) noexcept;

/// Returns the growth of a serving task's utilisation by a worker full of the filling image.
[[nodiscard]] double GrowthWhenFull(const ImagePairs& pairs, const ImageName& serving,
                                    const ImageName& filling, Time now);

/// Returns the growth of a serving task's utilisation by all of `filling`.
[[nodiscard]] double PredictedGrowth(const ImagePairs& pairs, const ImageName& serving,
                                     const std::vector<FillingLoad>& filling, Time now);

/// Updates the own load from a latency, measured while filling tasks are predicted to raise the
/// utilisation by `growth`.
void UpdateOwnLoad(OwnLoadEstimate& own_load, const ImagePairs& pairs, const ImageName& serving,
                   double latency_ms, double growth) noexcept;

/// Updates the own load and its slope from a latency that was read `elapsed` after the last one.
/// The latency covers the same time as the figures from which `growth` was predicted.
void TrackOwnLoad(OwnLoadEstimate& own_load, const ImagePairs& pairs, const ImageName& serving,
                  double latency_ms, double growth, Duration elapsed) noexcept;

/// Returns the load expected after `ahead`. A rising load is extrapolated, a falling one is not.
[[nodiscard]] double ForecastLoad(const OwnLoadEstimate& own_load, Duration ahead) noexcept;

/// Returns the current estimate of one pair.
[[nodiscard]] ImagePair Describe(const ImagePairs& pairs, const ImageName& serving,
                                 const ImageName& filling, Time now);

/// Returns the pairs that were updated recently, the newest first, and removes the others.
[[nodiscard]] std::vector<ImagePair> TakeRecent(ImagePairs& pairs, Time now);

/// Takes over estimates of another process or of an earlier epoch.
void Adopt(ImagePairs& pairs, const std::vector<ImagePair>& known, Time now);

/// Error that the estimate of the own load causes in the growth that a latency shows.
struct GrowthError {
  double m_bias = 0.0;   ///< Smaller differences are ignored.
  double m_noise = 0.0;  ///< Standard deviation.
};
/// For an own load estimated from the task's own figures, which lags behind changes of the load.
inline constexpr GrowthError kOwnEstimateError{.m_bias = 0.15, .m_noise = 0.3};
/// For an own load estimated from other tasks of the step, measured within a second.
inline constexpr GrowthError kPeerEstimateError{.m_bias = 0.08, .m_noise = 0.22};

/// Updates the pairs from a latency measured beside `filling`, for a task whose own load is
/// estimated as `own_load`. The difference from the predicted growth is distributed over the pairs
/// by their variance, so that a well-known pair does not change because of an unknown one beside
/// it.
void LearnPairs(ImagePairs& pairs, const ImageName& serving, double own_load, double latency_ms,
                const std::vector<FillingLoad>& filling, Time now,
                const GrowthError& error = kOwnEstimateError);

}  // namespace ebonypin::core::fleet
