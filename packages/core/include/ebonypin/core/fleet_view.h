/// An entry's view of the agents to which it can send work.
///
/// Usable agents are kept in pools by failure domain and capacity, so that the time of a placement
/// depends on the number of pools and not on the number of agents.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "ebonypin/core/messages.h"
#include "ebonypin/core/time.h"

namespace ebonypin::core {

/// Position of an agent in `FleetView::m_agents`; stays the same until the agent is removed.
using AgentIndex = std::uint32_t;

/// State of one agent as known to an entry.
struct AgentView {
  AgentId m_agent;
  Incarnation m_incarnation = 0;
  DomainName m_domain;
  std::string m_rpc_address;
  Resources m_capacity;
  std::uint32_t m_slots = 0;
  AgentLoad m_load;                       ///< Load in the agent's last report.
  Time m_last_heard{};                    ///< Time of the last message of any kind from this agent.
  std::uint32_t m_in_flight = 0;          ///< Requests of this entry without an answer.
  std::uint32_t m_sent_since_report = 0;  ///< Requests that this entry sent after the last report.
  Resources m_sent_size;                  ///< Sum of the sizes of those requests.
  bool m_suspected = false;               ///< Assumed to have failed until it is heard from again.
  bool m_ejected = false;                 ///< Excluded because its work fails; see ejection.h.
  bool m_drained = false;                 ///< Drained by an operator.
  bool m_present = false;    ///< False when this position of `FleetView::m_agents` is free.
  std::uint32_t m_pool = 0;  ///< Index into `FleetView::m_pools`.
  std::uint32_t m_pool_position = 0;  ///< Position among the pool's members, valid when `m_pooled`.
  bool m_pooled = false;              ///< True while the agent is a member of its pool.
};

/// Usable agents of one failure domain with one capacity.
struct AgentPool {
  DomainName m_domain;
  Resources m_capacity;
  std::vector<AgentIndex> m_members;
  std::uint32_t m_agent_count = 0;  ///< Known agents of this domain and capacity, usable or not.
};

/// Times without a message after which an agent is suspected and removed.
struct FleetOptions {
  Duration m_suspect_after = std::chrono::seconds{3};
  Duration m_remove_after = std::chrono::seconds{10};
};

struct FleetView {
  std::vector<AgentView> m_agents;
  std::vector<AgentIndex> m_free;
  std::unordered_map<AgentId, AgentIndex> m_index;
  std::vector<AgentPool> m_pools;
  /// Worker sizes reported by the other entries of the region.
  std::unordered_map<EntryId, std::vector<Resources>> m_peer_sizes;
};

/// Outcome of SweepFleet.
struct SweepResult {
  std::vector<AgentId> m_suspected;  ///< Suspected by this sweep.
  std::vector<AgentId> m_removed;
  bool m_isolated = false;  ///< More than half are silent, so none was suspected or removed.
};

/// Adds or refreshes the agent of `heartbeat`. A new incarnation starts without requests in flight.
/// A heartbeat of an older incarnation is ignored.
AgentIndex ObserveHeartbeat(FleetView& fleet, const Heartbeat& heartbeat, Time now);

/// Updates the load of `agent` from its reply; ignored when the agent is unknown.
void ObserveLoad(FleetView& fleet, const AgentId& agent, const AgentLoad& load, Time now);

/// Counts a request or job sent to the agent at `index`.
void CountSent(FleetView& fleet, AgentIndex index, const Resources& size);

/// Counts the end of a request sent to `incarnation` of `agent`.
void CountEnded(FleetView& fleet, const AgentId& agent, Incarnation incarnation);

/// Sets or clears ejection; an ejected agent gets no new work.
void SetEjected(FleetView& fleet, const AgentId& agent, bool ejected);

/// Sets or clears an operator's drain of `agent`.
void SetDrained(FleetView& fleet, const AgentId& agent, bool drained);

/// Marks the agent as suspected, for example after its connection broke. It gets no new work until
/// it is heard from again.
void SuspectAgent(FleetView& fleet, const AgentId& agent);

void RemoveAgent(FleetView& fleet, const AgentId& agent);

/// Suspects and removes silent agents. Call about once a second, because its cost grows with the
/// fleet. When more than half of the agents are silent, the entry assumes that it is isolated
/// itself and changes nothing.
SweepResult SweepFleet(FleetView& fleet, const FleetOptions& options, Time now);

/// Replaces the worker sizes reported by the entry `peer`.
void SetPeerSizes(FleetView& fleet, const EntryId& peer, std::vector<Resources> sizes);

/// Returns the distinct capacities of the agents of this view, for EntryHeartbeat.
[[nodiscard]] std::vector<Resources> OwnWorkerSizes(const FleetView& fleet);

/// Returns the agent, or nullptr when it is unknown.
[[nodiscard]] const AgentView* FindAgent(const FleetView& fleet, const AgentId& agent);

/// Returns whether new work may be sent to the agent.
[[nodiscard]] bool IsUsable(const AgentView& agent) noexcept;

/// Returns the expected number of requests at the agent: the larger of this entry's requests in
/// flight, and the requests that the agent last reported plus those sent to it since.
[[nodiscard]] std::uint32_t Outstanding(const AgentView& agent) noexcept;

/// Returns the capacity of the agent minus what it last reported as committed and the sizes sent to
/// it since. Components may be negative.
[[nodiscard]] Resources FreeCapacity(const AgentView& agent) noexcept;

}  // namespace ebonypin::core
