#include <algorithm>
#include <map>

#include "ebonypin/core/fleet/worker_choice.h"

namespace ebonypin::core::fleet {
namespace {

/// Least own load assumed for a serving task: periods of low load are shorter than most filling
/// tasks.
constexpr double kPlannedLoad = 0.45;
constexpr double kMinAllowedGrowth = 1e-3;  // Avoids a division by zero.

}  // namespace

PlacementEstimate EstimatePlacement(const TaskNeed& need, const Agent& agent, const Time now) {
  if (!need.m_spec.m_fills) return {};
  const auto& pairs = need.m_state.m_pairs;
  const ImageName& image = need.m_spec.m_image;
  // Least allowed growth of the tasks of each serving image.
  std::map<ImageName, double> allowed_growths;
  std::map<ImageName, double> filling;
  for (const auto& [ref, placed] : agent.m_placed_runs) {
    if (placed.m_fills) filling[placed.m_image] += ShareOf(agent, placed.m_size.m_cpu_millis);
    if (!placed.m_serving) continue;
    const double allowed = AllowedGrowth(pairs,
                                         {.m_image = placed.m_image,
                                          .m_load = std::max(placed.m_load, kPlannedLoad),
                                          .m_target_ms = ToMillis(placed.m_latency_target)},
                                         need.m_state.m_options.m_pacing);
    const auto [found, added] = allowed_growths.try_emplace(placed.m_image, allowed);
    if (!added) found->second = std::min(found->second, allowed);
  }
  PlacementEstimate result;
  for (const auto& [serving, allowed] : allowed_growths) {
    const double growth = GrowthWhenFull(pairs, serving, image, now);
    double left = allowed;
    const double used = growth * ShareOf(agent, need.m_spec.m_size.m_cpu_millis);
    result.m_growth_used =
        std::max(result.m_growth_used, std::min(used / std::max(allowed, kMinAllowedGrowth), 1.0));
    double wanted = used;
    for (const auto& [other, load] : filling) {
      const double other_growth = GrowthWhenFull(pairs, serving, other, now);
      // The agent gives shares to the less disturbing images first.
      if (other == image) {
        wanted += load * other_growth;
      } else if (other_growth < growth) {
        left -= load * other_growth;
      }
    }
    if (wanted > left) result.m_share = std::min(result.m_share, std::max(left, 0.0) / wanted);
  }
  return result;
}

}  // namespace ebonypin::core::fleet
