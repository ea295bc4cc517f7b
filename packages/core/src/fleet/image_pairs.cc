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
constexpr double kLargestExtra = 100.0;
/// Figures are rounded to whole ms, so the lowest one may be above the idle latency.
constexpr double kIdleShare = 0.95;
constexpr double kLargestLoad = 0.98;  // The model has no latency for a full server.
/// Utilisation of a serving task in its trough; what exceeds it may be the filling tasks' doing.
constexpr double kTroughLoad = 0.25;
/// A smaller share of the worker's processors says little about all of them.
constexpr double kTellingShare = 0.03;
/// Part of the unexplained growth that one measurement corrects.
constexpr double kRate = 0.4;
/// Suspicion of a pair that is estimated to be harmless, so that a wrong estimate can rise again.
constexpr double kLeastSuspicion = 0.3;
/// Above this utilisation a latency only tells that there is more growth than it shows.
constexpr double kFullLoad = 0.9;
constexpr double kHiddenGrowth = 0.5;
/// Weights of a measurement in the base: with little beside it to be wrong about, or much.
constexpr double kCleanWeight = 0.5;
constexpr double kDisturbedWeight = 0.1;
constexpr double kLittleExtra = 0.25;
/// A rise beyond these within half a second is not the load's own swing.
constexpr double kLargestRise = 1.25;
constexpr double kLargestRiseBy = 0.08;  // Figures are off by a tenth.

/// Weights of a new figure in the load that is followed and in its slope.
constexpr double kFollowWeight = 0.7;
constexpr double kSlopeWeight = 0.4;
/// Seconds without a figure after which the slope is not known.
constexpr double kLongestGap = 2.0;

/// Weight of a pair in the search for the cause of a growth or a decline. Squared, so that the
/// harmless many do not share the blame of one.
double Suspicion(const double extra) noexcept {
  return (extra + kLeastSuspicion) * (extra + kLeastSuspicion);
}

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

double ExtraWhenFull(const ImagePairs& pairs, const ImageName& serving, const ImageName& filling,
                     const Time now) {
  const auto found = pairs.m_pairs.find({serving, filling});
  if (found == pairs.m_pairs.end()) return kPrior;
  const auto age = now - found->second.m_learned;
  const double keep = std::exp2(-std::chrono::duration<double>(age) / kHalfLife);
  return kPrior + (found->second.m_extra - kPrior) * keep;
}

double PredictedExtra(const ImagePairs& pairs, const ImageName& serving,
                      const std::vector<FillingLoad>& filling, const Time now) {
  double extra = 0.0;
  for (const auto& load : filling) {
    extra += (load.m_least + load.m_most) / 2 * ExtraWhenFull(pairs, serving, load.m_image, now);
  }
  return extra;
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
                const double latency_ms, const double extra) noexcept {
  const double load = LoadAt(latency_ms, IdleLatency(pairs, serving));
  const double alone = load / (1.0 + extra);
  if (base.m_load <= 0.0) {
    base.m_load = alone;
    return;
  }
  const bool jumped = load > kLargestRise * (1.0 + extra) * base.m_load + kLargestRiseBy;
  const double weight = extra < kLittleExtra && !jumped ? kCleanWeight : kDisturbedWeight;
  base.m_load = std::min(base.m_load + weight * (alone - base.m_load), load);
}

void FollowBase(ServingBase& base, const ImagePairs& pairs, const ImageName& serving,
                const double latency_ms, const double extra, const Duration elapsed) noexcept {
  const double alone = LoadAt(latency_ms, IdleLatency(pairs, serving)) / (1.0 + extra);
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
          .m_extra = ExtraWhenFull(pairs, serving, filling, now),
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
    if (pair.m_extra < 0.0) continue;
    pairs.m_pairs[{pair.m_serving, pair.m_filling}] = {.m_extra = pair.m_extra, .m_learned = now};
    if (pair.m_idle_ms > 0.0) pairs.m_idle_ms[pair.m_serving] = pair.m_idle_ms;
  }
}

void LearnPairs(ImagePairs& pairs, const ImageName& serving, const double base_load,
                const double latency_ms, const std::vector<FillingLoad>& filling, const Time now,
                const double uncertainty) {
  const double load = LoadAt(latency_ms, IdleLatency(pairs, serving));
  const double growth = load / std::max(base_load, kTroughLoad) - 1.0;
  const double most = std::max(0.0, load / kTroughLoad - 1.0);
  double least_expected = 0.0;
  double most_expected = 0.0;
  double suspicion = 0.0;
  for (const auto& cause : filling) {
    double extra = ExtraWhenFull(pairs, serving, cause.m_image, now);
    if (cause.m_least >= kTellingShare && extra * cause.m_least > most) {
      extra = most / cause.m_least;
      pairs.m_pairs[{serving, cause.m_image}] = {.m_extra = extra, .m_learned = now};
    }
    least_expected += cause.m_least * extra;
    most_expected += cause.m_most * extra;
    if (cause.m_most >= kTellingShare) suspicion += cause.m_most * Suspicion(extra);
  }
  if (suspicion <= 0.0) return;
  double error = 0.0;
  if (growth > most_expected + uncertainty) error = growth - most_expected - uncertainty;
  if (load > kFullLoad) error = std::max(error, kHiddenGrowth);
  if (growth < least_expected - uncertainty) error = growth - least_expected + uncertainty;
  for (const auto& cause : filling) {
    // A short or small presence explains little, and would be credited with too much for a full
    // worker.
    if (cause.m_most < kTellingShare) continue;
    const double extra = ExtraWhenFull(pairs, serving, cause.m_image, now);
    const double step = kRate * error * Suspicion(extra) / suspicion;
    pairs.m_pairs[{serving, cause.m_image}] = {
        .m_extra = std::clamp(extra + step, 0.0, kLargestExtra), .m_learned = now};
  }
}

}  // namespace ebonypin::core::fleet
