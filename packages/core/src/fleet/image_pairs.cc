#include "ebonypin/core/fleet/image_pairs.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace ebonypin::core::fleet {
namespace {

/// Growth of the utilisation by a worker full of filling tasks before anything was measured.
constexpr double kPrior = 1.9;
/// Half-life of the distance from the prior. Long against a burst, so that a pair that was not seen
/// for a while need not be learned again.
constexpr auto kHalfLife = std::chrono::minutes{5};
/// Three half-lives: little is left of the distance from the prior.
constexpr auto kForgetAfter = std::chrono::minutes{15};
constexpr double kMaxGrowth = 100.0;
/// Doubt about a pair that another process learned; its record does not hold the doubt.
constexpr double kAdoptedDoubt = kPriorDoubt / 4;
/// Figures are rounded to whole ms, so the lowest one may be above the idle latency.
constexpr double kIdleShare = 0.95;
constexpr double kLargestLoad = 0.98;  // The model has no latency for a full server.
/// Utilisation of a serving task in its trough; what exceeds it may be the filling tasks' doing.
constexpr double kTroughLoad = 0.25;
/// Growth of the doubt about a pair in a second in which it is not measured: effects change with
/// the phases of the work.
constexpr double kDrift = 0.05;
/// Figures are off by a twentieth and rounded to whole milliseconds.
constexpr double kFigureError = 0.05;
constexpr double kRoundingMs = 0.3;
/// Above this utilisation a latency only tells that there is more growth than it shows.
constexpr double kFullLoad = 0.9;
constexpr double kSaturatedLoad = 1.05;  // What it counts as then.
/// Weights of a measurement in the base: with little beside it to be wrong about, or much.
constexpr double kCleanWeight = 0.5;
constexpr double kDisturbedWeight = 0.1;
constexpr double kSmallGrowth = 0.25;
/// A rise beyond these within half a second is not the load's own swing.
constexpr double kLargestRise = 1.25;
constexpr double kLargestRiseBy = 0.08;  // Figures are off by a tenth.

/// Weights of a new figure in the load that is followed and in its slope.
constexpr double kFollowWeight = 0.7;
constexpr double kSlopeWeight = 0.4;
/// Seconds without a figure after which the slope is not known.
constexpr double kLongestGap = 2.0;

}  // namespace

double LoadAt(const double latency_ms, const double idle_ms) noexcept {
  if (latency_ms <= 0.0) return 0.0;
  return std::clamp(1.0 - idle_ms / latency_ms, 0.0, kLargestLoad);
}

void NoteLatency(ImagePairs& pairs, const ImageName& serving, const double latency_ms) {
  if (latency_ms <= 0.0) return;
  const double idle = kIdleShare * latency_ms;
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
  if (found == pairs.m_pairs.end()) return kPrior;
  const auto age = now - found->second.m_learned;
  const double keep = std::exp2(-std::chrono::duration<double>(age) / kHalfLife);
  return kPrior + (found->second.m_growth - kPrior) * keep;
}

double PredictedGrowth(const ImagePairs& pairs, const ImageName& serving,
                       const std::vector<FillingLoad>& filling, const Time now) {
  double growth = 0.0;
  for (const auto& load : filling) {
    growth += (load.m_least + load.m_most) / 2 * GrowthWhenFull(pairs, serving, load.m_image, now);
  }
  return growth;
}

std::vector<FillingLoad> LoadsBetween(const std::map<ImageName, double>& before,
                                      const std::map<ImageName, double>& now) {
  std::vector<FillingLoad> loads;
  loads.reserve(now.size());
  for (const auto& [image, used] : now) {
    const auto found = before.find(image);
    const double last = found != before.end() ? found->second : 0.0;
    loads.push_back(
        {.m_image = image, .m_least = std::min(used, last), .m_most = std::max(used, last)});
  }
  return loads;
}

void UpdateBase(ServingBase& base, const ImagePairs& pairs, const ImageName& serving,
                const double latency_ms, const double growth) noexcept {
  const double load = LoadAt(latency_ms, IdleLatency(pairs, serving));
  const double alone = load / (1.0 + growth);
  if (base.m_load <= 0.0) {
    base.m_load = alone;
    return;
  }
  const bool jumped = load > kLargestRise * (1.0 + growth) * base.m_load + kLargestRiseBy;
  const double weight = growth < kSmallGrowth && !jumped ? kCleanWeight : kDisturbedWeight;
  base.m_load = std::min(base.m_load + weight * (alone - base.m_load), load);
}

void FollowBase(ServingBase& base, const ImagePairs& pairs, const ImageName& serving,
                const double latency_ms, const double growth, const Duration elapsed) noexcept {
  const double alone = LoadAt(latency_ms, IdleLatency(pairs, serving)) / (1.0 + growth);
  const double seconds = std::chrono::duration<double>(elapsed).count();
  if (base.m_load <= 0.0 || seconds <= 0.0 || seconds > kLongestGap) {
    base = {.m_load = alone};
    return;
  }
  const double last = base.m_load;
  base.m_load += kFollowWeight * (alone - last);
  base.m_slope += kSlopeWeight * ((base.m_load - last) / seconds - base.m_slope);
}

double LoadAhead(const ServingBase& base, const Duration ahead) noexcept {
  const double rise = base.m_slope * std::chrono::duration<double>(ahead).count();
  return std::min(base.m_load + std::max(rise, 0.0), kLargestLoad);
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
  std::vector<ImagePair> recent;
  recent.reserve(pairs.m_pairs.size());
  for (const auto& [images, pair] : pairs.m_pairs) {
    recent.push_back(Describe(pairs, images.first, images.second, now));
  }
  return recent;
}

void Adopt(ImagePairs& pairs, const std::vector<ImagePair>& known, const Time now) {
  for (const auto& pair : known) {
    if (pair.m_growth < 0.0) continue;
    pairs.m_pairs[{pair.m_serving, pair.m_filling}] = {
        .m_growth = pair.m_growth, .m_doubt = kAdoptedDoubt, .m_learned = now};
    if (pair.m_idle_ms > 0.0) pairs.m_idle_ms[pair.m_serving] = pair.m_idle_ms;
  }
}

void LearnPairs(ImagePairs& pairs, const ImageName& serving, const double base_load,
                const double latency_ms, const std::vector<FillingLoad>& filling, const Time now,
                const GrowthError& error) {
  struct Cause {
    PairBelief* m_pair;
    double m_load;
  };
  // One step of a Kalman filter whose state are the pairs of the serving image, taken as
  // independent.
  const double base = std::max(base_load, kTroughLoad);
  const double load = LoadAt(latency_ms, IdleLatency(pairs, serving));
  // The load without filling tasks is not below its trough.
  const double most = std::max(0.0, load / kTroughLoad - 1.0);
  double expected = 0.0;
  double doubt = 0.0;
  std::vector<Cause> causes;
  causes.reserve(filling.size());
  for (const auto& cause : filling) {
    const double used = (cause.m_least + cause.m_most) / 2;
    if (used <= 0.0) continue;
    const double growth = GrowthWhenFull(pairs, serving, cause.m_image, now);
    auto& pair = pairs.m_pairs.try_emplace({serving, cause.m_image}).first->second;
    if (pair.m_learned != Time{}) {
      const auto unseen = std::chrono::duration<double>(now - pair.m_learned).count();
      pair.m_doubt = std::min(pair.m_doubt + kDrift * std::max(unseen, 0.0), kPriorDoubt);
    }
    pair.m_growth = cause.m_least > 0.0 ? std::min(growth, most / cause.m_least) : growth;
    pair.m_learned = now;
    expected += used * pair.m_growth;
    doubt += used * used * pair.m_doubt;
    causes.push_back({.m_pair = &pair, .m_load = used});
  }
  if (causes.empty()) return;
  const double rounding = kRoundingMs / latency_ms;
  const double error_of_load = (1.0 - load) * (kFigureError + rounding) / base;
  const double noise = error.m_noise * error.m_noise + error_of_load * error_of_load;
  const bool full = load > kFullLoad;
  double surprise = (full ? kSaturatedLoad : load) / base - 1.0 - expected;
  surprise =
      full ? std::max(surprise, 0.0) : surprise - std::clamp(surprise, -error.m_bias, error.m_bias);
  for (const auto& [pair, used] : causes) {
    const double gain = pair->m_doubt * used / (doubt + noise);
    pair->m_growth = std::clamp(pair->m_growth + gain * surprise, 0.0, kMaxGrowth);
    // A saturated latency measures nothing.
    if (!full) pair->m_doubt *= 1.0 - gain * used;
  }
}

}  // namespace ebonypin::core::fleet
