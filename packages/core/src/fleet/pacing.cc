#include "ebonypin/core/fleet/pacing.h"

#include <algorithm>

namespace ebonypin::core::fleet {

std::uint32_t UpdatePacing(Pacing& pacing, const Time now, const double worst_ratio,
                           const PacingOptions& options) noexcept {
  const bool missed = worst_ratio >= 1.0;
  if (!missed) {
    pacing.m_missed_since = {};
  } else if (pacing.m_missed_since == Time{}) {
    pacing.m_missed_since = now;
  }
  if (missed && now - pacing.m_missed_since >= options.m_missed_limit) {
    pacing.m_percent = 0;
    pacing.m_changed = now;
    return 0;
  }
  if (now - pacing.m_changed < options.m_interval) return pacing.m_percent;
  if (worst_ratio > options.m_cut_above) {
    const auto half = pacing.m_percent / 2;
    pacing.m_percent = half < options.m_smallest_percent ? 0 : half;
    pacing.m_changed = now;
  } else if (worst_ratio < options.m_raise_below && pacing.m_percent < 100) {
    pacing.m_percent = std::min(
        100U, std::max(pacing.m_percent + options.m_raise_percent, options.m_smallest_percent));
    pacing.m_changed = now;
  }
  return pacing.m_percent;
}

bool MustRest(const Time missed_since, const Time now, const PacingOptions& options) noexcept {
  if (missed_since == Time{}) return false;
  const auto missed = now - missed_since;
  return missed >= options.m_rest_after && missed < options.m_rest_after + options.m_rest;
}

double RoomToGrow(const ImagePairs& pairs, const ServingLoad& task,
                  const PacingOptions& options) noexcept {
  const double idle_ms = IdleLatency(pairs, task.m_image);
  if (task.m_load <= 0.0 || idle_ms <= 0.0) return options.m_unknown_room;
  const double planned = LoadAt(options.m_planned_ratio * task.m_target_ms, idle_ms);
  return std::max(planned / task.m_load - 1.0, options.m_always_allowed);
}

std::map<ImageName, double> AllowedShares(const ImagePairs& pairs,
                                          const std::vector<ServingLoad>& serving,
                                          const std::map<ImageName, double>& full_cores,
                                          const Time now, const PacingOptions& options) {
  // Growth of utilisation that each serving task can take.
  std::vector<double> left;
  left.reserve(serving.size());
  for (const auto& task : serving) left.push_back(RoomToGrow(pairs, task, options));
  struct Candidate {
    ImageName m_image;
    std::vector<double> m_extra;  ///< Growth of each serving task by all processors of the image.
    double m_harm = 0.0;  ///< Largest part of a serving task's room that one processor takes.
  };
  std::vector<Candidate> candidates;
  for (const auto& [image, cores] : full_cores) {
    Candidate candidate{.m_image = image};
    candidate.m_extra.reserve(serving.size());
    for (std::size_t i = 0; i < serving.size(); ++i) {
      const double extra = ExtraPerCore(pairs, serving[i].m_image, image, now);
      candidate.m_extra.push_back(extra * cores);
      candidate.m_harm = std::max(candidate.m_harm, extra / std::max(left[i], 1e-3));
    }
    candidates.push_back(std::move(candidate));
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) { return a.m_harm < b.m_harm; });
  std::map<ImageName, double> shares;
  for (const auto& candidate : candidates) {
    double share = 1.0;
    for (std::size_t i = 0; i < serving.size(); ++i) {
      if (candidate.m_extra[i] > left[i]) share = std::min(share, left[i] / candidate.m_extra[i]);
    }
    for (std::size_t i = 0; i < serving.size(); ++i) {
      left[i] = std::max(left[i] - candidate.m_extra[i] * share, 0.0);
    }
    shares[candidate.m_image] = share;
  }
  return shares;
}

}  // namespace ebonypin::core::fleet
