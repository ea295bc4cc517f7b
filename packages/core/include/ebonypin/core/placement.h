/// Chooses the agent for a request or a job by comparing a few sampled agents of the fleet view.
#pragma once

#include <optional>
#include <random>
#include <span>
#include <vector>

#include "ebonypin/core/fleet_view.h"

namespace ebonypin::core {

struct PlacementOptions {
  DomainName m_own_domain;     ///< Failure domain of the entry.
  std::uint32_t m_probes = 8;  ///< Agents sampled in one round.
  /// Rounds of sampling for a job before it is refused with kNoCapacity.
  std::uint32_t m_rounds = 4;
  /// Slots of a worker that jobs leave free for short work. Its agent refuses a job that would take
  /// them.
  std::uint32_t m_reserved_slots = 1;
  /// Cost added for an agent in another failure domain: one round trip over a link of 5 ms.
  Duration m_domain_penalty = std::chrono::milliseconds{10};
  /// Cost added for a worker with accelerators or large memory when the work needs neither.
  Duration m_scarce_penalty = std::chrono::milliseconds{50};
};

/// Requirements of the work to be placed.
struct PlacementNeed {
  Resources m_size;
  bool m_job = false;  ///< A job needs free capacity now; a request may be queued at the agent.
  std::vector<AgentId> m_avoid;  ///< Agents not to be chosen, because they were tried before.
};

/// Chosen agent, or the reason why no agent was chosen.
struct Placement {
  std::optional<AgentIndex> m_agent;
  Error m_error;  ///< Set when no agent was chosen: kNeverFits or kNoCapacity.
};

/// Chooses an agent that is neither draining, suspected nor ejected.
///
/// Errors: kNeverFits, which names the missing resource, when no known worker size of the region is
/// large enough; kNoCapacity when no suitable agent has free capacity now.
[[nodiscard]] Placement PlaceWork(const FleetView& fleet, const PlacementOptions& options,
                                  const PlacementNeed& need, std::mt19937_64& random);

/// Returns kNeverFits, which names the missing resource, when `size` fits no worker known to this
/// entry or to its peers. Returns nothing while no worker is known.
[[nodiscard]] std::optional<Error> CheckNeverFits(const FleetView& fleet, const Resources& size);

}  // namespace ebonypin::core
