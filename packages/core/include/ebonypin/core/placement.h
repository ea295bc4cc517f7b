/// Chooses the agent for a request or a job with few probes of the fleet view.
#pragma once

#include <optional>
#include <random>
#include <span>
#include <vector>

#include "ebonypin/core/fleet_view.h"

namespace ebonypin::core {

struct PlacementOptions {
  DomainName m_own_domain;     ///< Failure domain of the entry.
  std::uint32_t m_probes = 8;  ///< Agents compared in one round.
  /// Rounds of probes for a job before it is said that no capacity was found.
  std::uint32_t m_rounds = 4;
  /// Slots of a worker that jobs leave to short work; its agent refuses a job that would take them.
  std::uint32_t m_reserved_slots = 1;
  /// Price of another failure domain: one round trip over a link of 5 ms.
  Duration m_domain_penalty = std::chrono::milliseconds{10};
  /// Price of using a worker with accelerators or large memory for work that needs neither.
  Duration m_scarce_penalty = std::chrono::milliseconds{50};
};

/// What is to be placed.
struct PlacementNeed {
  Resources m_size;
  bool m_job = false;  ///< A job needs free capacity now; a request may be queued at the agent.
  std::vector<AgentId> m_avoid;  ///< Agents already tried.
};

/// Chosen agent, or the reason why there is none.
struct Placement {
  std::optional<AgentIndex> m_agent;
  Error m_error;  ///< Meaningful without an agent: kNeverFits or kNoCapacity.
};

/// Chooses an agent. Never one that is draining, suspected or ejected.
///
/// Errors: kNeverFits when no known worker size of the region is large enough, with the missing
/// resource; kNoCapacity when there is no suitable agent now.
[[nodiscard]] Placement PlaceWork(const FleetView& fleet, const PlacementOptions& options,
                                  const PlacementNeed& need, std::mt19937_64& random);

/// Returns kNeverFits with the missing resource when `size` fits no worker known to this entry or
/// to its peers. Returns nothing while no worker is known.
[[nodiscard]] std::optional<Error> CheckNeverFits(const FleetView& fleet, const Resources& size);

}  // namespace ebonypin::core
