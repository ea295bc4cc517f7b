#include "ebonypin/core/fleet/pacing.h"

#include <algorithm>
#include <numeric>

namespace ebonypin::core::fleet {
namespace {

constexpr double kMinAllowedGrowth = 1e-3;  // Avoids a division by zero.

}  // namespace

bool MustRestSuspects(const Time missed_since, const Time now,
                      const PacingOptions& options) noexcept {
  return missed_since != Time{} && now - missed_since >= options.m_rest_after;
}

bool MustRestAll(const Time missed_since, const Time now, const PacingOptions& options) noexcept {
  return MustRestSuspects(missed_since, now, options) &&
         now - missed_since < options.m_rest_after + options.m_rest_duration;
}

double AllowedGrowth(const ImagePairs& pairs, const ServingLoad& task,
                     const PacingOptions& options) noexcept {
  const double idle_ms = IdleLatency(pairs, task.m_image);
  if (task.m_load <= 0.0 || idle_ms <= 0.0) return options.m_allowed_growth_when_unknown;
  const double planned = LoadFromLatency(options.m_planned_ratio * task.m_target_ms, idle_ms);
  return std::max(planned / task.m_load - 1.0, options.m_min_allowed_growth);
}

std::vector<double> AllowedShares(const ImagePairs& pairs, const std::vector<ServingLoad>& serving,
                                  const std::vector<FillingRun>& runs, const Time now,
                                  const PacingOptions& options) {
  // Remaining allowed growth of each serving task.
  std::vector<double> left;
  left.reserve(serving.size());
  for (const auto& task : serving) left.push_back(AllowedGrowth(pairs, task, options));
  struct Image {
    std::vector<double> m_growth;  ///< Growth of each serving task by a worker full of the image.
    double m_harm = 0.0;           ///< Largest ratio of that growth to a task's allowed growth.
  };
  std::map<ImageName, Image> images;
  for (const auto& run : runs) {
    const auto [found, added] = images.try_emplace(run.m_image);
    if (!added) continue;
    Image& image = found->second;
    image.m_growth.reserve(serving.size());
    for (std::size_t i = 0; i < serving.size(); ++i) {
      const double growth = GrowthWhenFull(pairs, serving[i].m_image, run.m_image, now);
      image.m_growth.push_back(growth);
      image.m_harm = std::max(image.m_harm, growth / std::max(left[i], kMinAllowedGrowth));
    }
  }
  std::vector<std::size_t> order(runs.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(), [&](const std::size_t a, const std::size_t b) {
    return images.at(runs[a].m_image).m_harm < images.at(runs[b].m_image).m_harm;
  });
  std::vector<double> shares(runs.size(), 1.0);
  for (const auto index : order) {
    const auto& growth = images.at(runs[index].m_image).m_growth;
    const double load = runs[index].m_load;
    double& share = shares[index];
    for (std::size_t i = 0; i < serving.size(); ++i) {
      const double wanted = growth[i] * load;
      if (wanted > left[i]) share = std::min(share, left[i] / wanted);
    }
    for (std::size_t i = 0; i < serving.size(); ++i) {
      left[i] = std::max(left[i] - growth[i] * load * share, 0.0);
    }
  }
  return shares;
}

}  // namespace ebonypin::core::fleet
