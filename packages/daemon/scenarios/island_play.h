/// Play of an island: the coordinator and some agents are cut from the others and from the store
/// while the coordinator among the others changes twice.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "process_site.h"

namespace ebonypin::daemon {

enum class CutDirection : std::uint8_t { kBoth, kFromIsland, kToIsland };

/// What happens in a play, drawn from its seed.
struct IslandPlan {
  std::size_t m_agents = 0;  ///< Agents on the island.
  CutDirection m_direction = CutDirection::kBoth;
  /// From the first takeover by one of the others to the end of its coordinator. The next one ends
  /// 2 s later.
  std::chrono::milliseconds m_first_change{};
  bool m_kills_second = false;         ///< SIGKILL for the second change; SIGTERM otherwise.
  std::chrono::milliseconds m_heal{};  ///< From the cut.
  std::uint64_t m_seed = 0;
};

[[nodiscard]] IslandPlan DrawIslandPlan(std::uint64_t seed);

[[nodiscard]] std::string Describe(const IslandPlan& plan);

/// Plays the plan on a site of three entries and four agents that has just come up. Returns one
/// line for each fault that was found.
[[nodiscard]] std::vector<std::string> Play(ProcessSite& site, const IslandPlan& plan);

}  // namespace ebonypin::daemon
