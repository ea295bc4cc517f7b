/// An entry's view of the agents it may send work to.
///
/// Usable agents are kept in pools of one failure domain and one capacity each, so that a placement
/// samples agents in time that depends on the number of pools and not on the number of agents.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "ebonypin/core/messages.h"
#include "ebonypin/core/time.h"

namespace ebonypin::core {

/// Position of an agent in `FleetView::m_agents`; stays the same until the agent is removed.
using AgentIndex = std::uint32_t;

/// What an entry knows of one agent.
struct AgentView {
  AgentId m_agent;
  Incarnation m_incarnation = 0;
  DomainName m_domain;
  std::string m_rpc_address;
  Resources m_capacity;
  std::uint32_t m_slots = 0;
  AgentLoad m_load;                       ///< As last reported.
  Time m_last_heard{};                    ///< Last message of any kind from this agent.
  std::uint32_t m_in_flight = 0;          ///< Own requests without an answer.
  std::uint32_t m_sent_since_report = 0;  ///< Own requests sent after the last report.
  Resources m_sent_size;                  ///< Sum of the sizes sent after the last report.
  bool m_suspected = false;
  bool m_ejected = false;
  bool m_drained = false;  ///< Drained by an operator.
  bool m_present = false;  ///< False for a free position.
  std::uint32_t m_pool = 0;
  std::uint32_t m_pool_position = 0;  ///< Meaningful while the agent is usable.
  bool m_pooled = false;
};

/// Usable agents of one failure domain with one capacity.
struct AgentPool {
  DomainName m_domain;
  Resources m_capacity;
  std::vector<AgentIndex> m_members;
  std::uint32_t m_agent_count = 0;  ///< Agents of this pool, usable or not.
};

/// Times after which a silent agent is suspected and removed.
struct FleetOptions {
  Duration m_suspect_after = std::chrono::seconds{3};
  Duration m_remove_after = std::chrono::seconds{10};
};

struct FleetView {
  std::vector<AgentView> m_agents;
  std::vector<AgentIndex> m_free;
  std::unordered_map<AgentId, AgentIndex> m_index;
  std::vector<AgentPool> m_pools;
  /// Worker sizes told by other entries of the region.
  std::unordered_map<EntryId, std::vector<Resources>> m_peer_sizes;
};

/// Outcome of SweepFleet.
struct SweepResult {
  std::vector<AgentId> m_suspected;  ///< Suspected by this sweep.
  std::vector<AgentId> m_removed;
  bool m_isolated = false;  ///< More than half are silent: nothing was suspected or removed.
};

/// Adds or refreshes the agent of `heartbeat`. A new incarnation starts without requests in flight.
/// A heartbeat of an older incarnation is ignored.
AgentIndex ObserveHeartbeat(FleetView& fleet, const Heartbeat& heartbeat, Time now);

/// Takes over the load in a reply of `agent`; ignored when the agent is unknown.
void ObserveLoad(FleetView& fleet, const AgentId& agent, const AgentLoad& load, Time now);

/// Counts a request or job sent to the agent at `index`.
void CountSent(FleetView& fleet, AgentIndex index, const Resources& size);

/// Counts the end of a request sent to `agent` in its life `incarnation`.
void CountEnded(FleetView& fleet, const AgentId& agent, Incarnation incarnation);

/// Sets or clears ejection; an ejected agent gets no new work.
void SetEjected(FleetView& fleet, const AgentId& agent, bool ejected);

/// Sets or clears an operator's drain of `agent`.
void SetDrained(FleetView& fleet, const AgentId& agent, bool drained);

/// Takes the agent out of use at once, until it is heard from again (broken connection).
void SuspectAgent(FleetView& fleet, const AgentId& agent);

void RemoveAgent(FleetView& fleet, const AgentId& agent);

/// Suspects and removes silent agents. Call about once a second: its cost grows with the fleet.
/// When more than half of the agents are silent, this entry is taken for the isolated one.
SweepResult SweepFleet(FleetView& fleet, const FleetOptions& options, Time now);

/// Replaces the sizes that the entry `peer` knows.
void SetPeerSizes(FleetView& fleet, const EntryId& peer, std::vector<Resources> sizes);

/// Returns the distinct capacities of the agents of this view, for EntryHeartbeat.
[[nodiscard]] std::vector<Resources> OwnWorkerSizes(const FleetView& fleet);

/// Returns the agent, or nullptr when it is unknown.
[[nodiscard]] const AgentView* FindAgent(const FleetView& fleet, const AgentId& agent);

/// Returns whether new work may be sent to the agent.
[[nodiscard]] bool IsUsable(const AgentView& agent) noexcept;

/// Returns the requests expected at the agent: the larger of what this entry has there and what the
/// agent reported plus what was sent to it since.
[[nodiscard]] std::uint32_t Outstanding(const AgentView& agent) noexcept;

/// Returns the capacity that is neither committed nor sent since the last report.
[[nodiscard]] Resources FreeCapacity(const AgentView& agent) noexcept;

}  // namespace ebonypin::core
