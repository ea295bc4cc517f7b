#include <algorithm>
#include <map>

#include "ebonypin/core/fleet/worker_choice.h"

namespace ebonypin::core::fleet {
namespace {

/// Load that a place is judged by even in its trough, which lasts shorter than most filling tasks.
constexpr double kPlannedLoad = 0.45;
constexpr double kLeastRoom = 1e-3;  // Keeps the part of it finite.

}  // namespace

ExpectedPlace ExpectPlace(const TaskNeed& need, const Agent& agent, const Time now) {
  if (!need.m_spec.m_fills) return {};
  const auto& pairs = need.m_state.m_pairs;
  const ImageName& image = need.m_spec.m_image;
  std::map<ImageName, double> rooms;  // Of the serving images there, the least of their tasks.
  std::map<ImageName, double> filling;
  for (const auto& [ref, held] : agent.m_held) {
    if (held.m_fills) filling[held.m_image] += ShareOf(agent, held.m_size.m_cpu_millis);
    if (!held.m_serving) continue;
    const double room = RoomToGrow(pairs,
                                   {.m_image = held.m_image,
                                    .m_load = std::max(held.m_load, kPlannedLoad),
                                    .m_target_ms = ToMillis(held.m_latency_target)},
                                   need.m_state.m_options.m_pacing);
    const auto [found, added] = rooms.try_emplace(held.m_image, room);
    if (!added) found->second = std::min(found->second, room);
  }
  ExpectedPlace place;
  for (const auto& [serving, room] : rooms) {
    const double growth = GrowthWhenFull(pairs, serving, image, now);
    double left = room;
    const double taken = growth * ShareOf(agent, need.m_spec.m_size.m_cpu_millis);
    place.m_taken = std::max(place.m_taken, std::min(taken / std::max(room, kLeastRoom), 1.0));
    double wanted = taken;
    for (const auto& [other, load] : filling) {
      const double other_growth = GrowthWhenFull(pairs, serving, other, now);
      // The agent serves the less disturbing images first.
      if (other == image) {
        wanted += load * other_growth;
      } else if (other_growth < growth) {
        left -= load * other_growth;
      }
    }
    if (wanted > left) place.m_share = std::min(place.m_share, std::max(left, 0.0) / wanted);
  }
  return place;
}

}  // namespace ebonypin::core::fleet
