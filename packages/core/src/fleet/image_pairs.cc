#include "ebonypin/core/fleet/image_pairs.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace ebonypin::core::fleet {
namespace {

/// Assumed growth of the utilisation by a worker full of filling tasks of an image that was not
/// measured yet.
constexpr double kPriorGrowth = 1.9;
/// Half-life of the difference from the prior. Much longer than a burst, so that a pair that was
/// not measured for a while need not be learned again.
constexpr auto kHalfLife = std::chrono::minutes{5};
/// Age at which a pair is removed: after three half-lives an eighth of the difference from the
/// prior is left.
constexpr auto kForgetAfter = std::chrono::minutes{15};
constexpr double kMaxGrowth = 100.0;
/// Variance of a pair that another process learned; records and messages do not contain it.
constexpr double kAdoptedVariance = kPriorVariance / 4;
/// Factor from the lowest latency to the idle latency: figures are rounded to whole milliseconds,
/// so the lowest one may be too high.
constexpr double kIdleFraction = 0.95;
constexpr double kMaxLoad = 0.98;  // The model has no latency for a utilisation of 1.
/// Least own load of a serving task; utilisation above it may be caused by filling tasks.
constexpr double kMinOwnLoad = 0.25;
/// Increase of a pair's variance per second without a measurement, since the interference changes
/// with the phases of the work.
constexpr double kVariancePerSecond = 0.05;
/// Errors of a figure: relative, and from rounding to whole milliseconds.
constexpr double kFigureError = 0.05;
constexpr double kRoundingErrorMs = 0.3;
/// Above this utilisation a latency is only a lower bound of the growth.
constexpr double kSaturationThreshold = 0.9;
constexpr double kSaturatedLoad = 1.05;  // Utilisation assumed in this case.
/// Weights of a measurement in the own load, with a small and a large predicted growth.
constexpr double kCleanWeight = 0.5;
constexpr double kDisturbedWeight = 0.1;
constexpr double kSmallGrowth = 0.25;
/// Limits on the rise of the own load within half a second; a larger rise has another cause.
constexpr double kMaxRise = 1.25;
constexpr double kMaxRiseBy = 0.08;  // Allows for the error of a figure, about a tenth.

/// Weights of a new figure in the tracked own load and in its slope.
constexpr double kFollowWeight = 0.7;
constexpr double kSlopeWeight = 0.4;
/// Time without a figure after which the slope is not known.
constexpr double kMaxGapSeconds = 2.0;

}  // namespace

double LoadFromLatency(const double latency_ms, const double idle_ms) noexcept {
  if (latency_ms <= 0.0) return 0.0;
  return std::clamp(1.0 - idle_ms / latency_ms, 0.0, kMaxLoad);
}

void ObserveLatency(ImagePairs& pairs, const ImageName& serving, const double latency_ms) {
  if (latency_ms <= 0.0) return;
  const double idle = kIdleFraction * latency_ms;
  const auto [found, added] = pairs.m_idle_ms.try_emplace(serving, idle);
  if (!added) found->second = std::min(found->second, idle);
}

double IdleLatency(const ImagePairs& pairs, const ImageName& serving) noexcept {
  const auto found = pairs.m_idle_ms.find(serving);
  return found != pairs.m_idle_ms.end() ? found->second : 0.0;
}

double GrowthWhenFull(const ImagePairs& pairs, const ImageName& serving, const ImageName& filling,
                      const Time now) {
  const auto found = pairs.m_pairs.find({serving, filling});
  if (found == pairs.m_pairs.end()) return kPriorGrowth;
  const auto age = now - found->second.m_learned;
  const double keep = std::exp2(-std::chrono::duration<double>(age) / kHalfLife);
  return kPriorGrowth + (found->second.m_growth - kPriorGrowth) * keep;
}

double PredictedGrowth(const ImagePairs& pairs, const ImageName& serving,
                       const std::vector<FillingLoad>& filling, const Time now) {
  double growth = 0.0;
  for (const auto& load : filling) {
    growth += (load.m_min + load.m_max) / 2 * GrowthWhenFull(pairs, serving, load.m_image, now);
  }
  return growth;
}

std::vector<FillingLoad> LoadRanges(const std::map<ImageName, double>& before,
                                    const std::map<ImageName, double>& now) {
  std::vector<FillingLoad> loads;
  loads.reserve(now.size());
  for (const auto& [image, used] : now) {
    const auto found = before.find(image);
    const double last = found != before.end() ? found->second : 0.0;
    loads.push_back(
        {.m_image = image, .m_min = std::min(used, last), .m_max = std::max(used, last)});
  }
  return loads;
}

void UpdateOwnLoad(OwnLoadEstimate& own_load, const ImagePairs& pairs, const ImageName& serving,
                   const double latency_ms, const double growth) noexcept {
  const double load = LoadFromLatency(latency_ms, IdleLatency(pairs, serving));
  const double implied_load = load / (1.0 + growth);
  if (own_load.m_load <= 0.0) {
    own_load.m_load = implied_load;
    return;
  }
  const bool jumped = load > kMaxRise * (1.0 + growth) * own_load.m_load + kMaxRiseBy;
  const double weight = growth < kSmallGrowth && !jumped ? kCleanWeight : kDisturbedWeight;
  own_load.m_load = std::min(own_load.m_load + weight * (implied_load - own_load.m_load), load);
}

void TrackOwnLoad(OwnLoadEstimate& own_load, const ImagePairs& pairs, const ImageName& serving,
                  const double latency_ms, const double growth, const Duration elapsed) noexcept {
  const double implied_load =
      LoadFromLatency(latency_ms, IdleLatency(pairs, serving)) / (1.0 + growth);
  const double seconds = std::chrono::duration<double>(elapsed).count();
  if (own_load.m_load <= 0.0 || seconds <= 0.0 || seconds > kMaxGapSeconds) {
    own_load = {.m_load = implied_load};
    return;
  }
  const double last = own_load.m_load;
  own_load.m_load += kFollowWeight * (implied_load - last);
  own_load.m_slope += kSlopeWeight * ((own_load.m_load - last) / seconds - own_load.m_slope);
}

double ForecastLoad(const OwnLoadEstimate& own_load, const Duration ahead) noexcept {
  const double rise = own_load.m_slope * std::chrono::duration<double>(ahead).count();
  return std::min(own_load.m_load + std::max(rise, 0.0), kMaxLoad);
}

ImagePair Describe(const ImagePairs& pairs, const ImageName& serving, const ImageName& filling,
                   const Time now) {
  return {.m_serving = serving,
          .m_filling = filling,
          .m_growth = GrowthWhenFull(pairs, serving, filling, now),
          .m_idle_ms = IdleLatency(pairs, serving)};
}

std::vector<ImagePair> TakeRecent(ImagePairs& pairs, const Time now) {
  std::erase_if(pairs.m_pairs,
                [now](const auto& pair) { return now - pair.second.m_learned > kForgetAfter; });
  using Entry = decltype(pairs.m_pairs)::value_type;
  std::vector<const Entry*> entries;
  entries.reserve(pairs.m_pairs.size());
  for (const auto& entry : pairs.m_pairs) entries.push_back(&entry);
  std::stable_sort(entries.begin(), entries.end(), [](const Entry* a, const Entry* b) {
    return a->second.m_learned > b->second.m_learned;
  });
  std::vector<ImagePair> recent;
  recent.reserve(entries.size());
  for (const auto* const entry : entries) {
    recent.push_back(Describe(pairs, entry->first.first, entry->first.second, now));
  }
  return recent;
}

void Adopt(ImagePairs& pairs, const std::vector<ImagePair>& known, const Time now) {
  for (const auto& pair : known) {
    if (pair.m_growth < 0.0) continue;
    pairs.m_pairs[{pair.m_serving, pair.m_filling}] = {
        .m_growth = pair.m_growth, .m_variance = kAdoptedVariance, .m_learned = now};
    if (pair.m_idle_ms > 0.0) pairs.m_idle_ms[pair.m_serving] = pair.m_idle_ms;
  }
}

void LearnPairs(ImagePairs& pairs, const ImageName& serving, const double own_load,
                const double latency_ms, const std::vector<FillingLoad>& filling, const Time now,
                const GrowthError& error) {
  struct Cause {
    PairEstimate* m_pair;
    double m_load;
  };
  // One step of a Kalman filter whose state is the growth of each pair of the serving image. The
  // pairs are assumed to be independent.
  const double base = std::max(own_load, kMinOwnLoad);
  const double load = LoadFromLatency(latency_ms, IdleLatency(pairs, serving));
  // Largest possible growth, since the own load is at least kMinOwnLoad.
  const double max_growth = std::max(0.0, load / kMinOwnLoad - 1.0);
  double expected = 0.0;
  double variance = 0.0;
  std::vector<Cause> causes;
  causes.reserve(filling.size());
  for (const auto& cause : filling) {
    const double used = (cause.m_min + cause.m_max) / 2;
    if (used <= 0.0) continue;
    const double growth = GrowthWhenFull(pairs, serving, cause.m_image, now);
    auto& pair = pairs.m_pairs.try_emplace({serving, cause.m_image}).first->second;
    if (pair.m_learned != Time{}) {
      const auto unseen = std::chrono::duration<double>(now - pair.m_learned).count();
      pair.m_variance =
          std::min(pair.m_variance + kVariancePerSecond * std::max(unseen, 0.0), kPriorVariance);
    }
    pair.m_growth = cause.m_min > 0.0 ? std::min(growth, max_growth / cause.m_min) : growth;
    pair.m_learned = now;
    expected += used * pair.m_growth;
    variance += used * used * pair.m_variance;
    causes.push_back({.m_pair = &pair, .m_load = used});
  }
  if (causes.empty()) return;
  const double rounding = kRoundingErrorMs / latency_ms;
  const double error_of_load = (1.0 - load) * (kFigureError + rounding) / base;
  const double noise = error.m_noise * error.m_noise + error_of_load * error_of_load;
  const bool full = load > kSaturationThreshold;
  double residual = (full ? kSaturatedLoad : load) / base - 1.0 - expected;
  residual =
      full ? std::max(residual, 0.0) : residual - std::clamp(residual, -error.m_bias, error.m_bias);
  for (const auto& [pair, used] : causes) {
    const double gain = pair->m_variance * used / (variance + noise);
    pair->m_growth = std::clamp(pair->m_growth + gain * residual, 0.0, kMaxGrowth);
    // A saturated latency does not reduce the variance, as it is only a bound.
    if (!full) pair->m_variance *= 1.0 - gain * used;
  }
}

}  // namespace ebonypin::core::fleet
