#include "ebonypin/core/fleet_view.h"

#include <algorithm>

namespace ebonypin::core {
namespace {

std::uint32_t FindOrAddPool(FleetView& fleet, const DomainName& domain, const Resources& capacity) {
  const auto found =
      std::find_if(fleet.m_pools.begin(), fleet.m_pools.end(), [&](const AgentPool& pool) {
        return pool.m_domain == domain && pool.m_capacity == capacity;
      });
  if (found != fleet.m_pools.end()) {
    return static_cast<std::uint32_t>(found - fleet.m_pools.begin());
  }
  fleet.m_pools.push_back({.m_domain = domain, .m_capacity = capacity});
  return static_cast<std::uint32_t>(fleet.m_pools.size() - 1);
}

/// Adds the agent to its pool or removes it, so that the pool holds exactly the usable agents.
void UpdatePoolMembership(FleetView& fleet, const AgentIndex index) {
  AgentView& agent = fleet.m_agents[index];
  const bool usable = agent.m_present && IsUsable(agent);
  if (usable == agent.m_pooled) return;
  auto& members = fleet.m_pools[agent.m_pool].m_members;
  if (usable) {
    agent.m_pool_position = static_cast<std::uint32_t>(members.size());
    members.push_back(index);
  } else {
    const AgentIndex last = members.back();
    members[agent.m_pool_position] = last;
    fleet.m_agents[last].m_pool_position = agent.m_pool_position;
    members.pop_back();
  }
  agent.m_pooled = usable;
}

AgentView* Find(FleetView& fleet, const AgentId& agent) {
  const auto found = fleet.m_index.find(agent);
  return found == fleet.m_index.end() ? nullptr : &fleet.m_agents[found->second];
}

void LeavePool(FleetView& fleet, const AgentIndex index) {
  AgentView& agent = fleet.m_agents[index];
  agent.m_present = false;
  UpdatePoolMembership(fleet, index);
  --fleet.m_pools[agent.m_pool].m_agent_count;
}

void ReplaceLoad(AgentView& agent, const AgentLoad& load) {
  agent.m_load = load;
  agent.m_sent_since_report = 0;
  agent.m_sent_size = {};
}

}  // namespace

bool IsUsable(const AgentView& agent) noexcept {
  return !agent.m_suspected && !agent.m_ejected && !agent.m_drained && !agent.m_load.m_draining;
}

std::uint32_t Outstanding(const AgentView& agent) noexcept {
  return std::max(agent.m_in_flight,
                  agent.m_load.m_slots_busy + agent.m_load.m_queued + agent.m_sent_since_report);
}

Resources FreeCapacity(const AgentView& agent) noexcept {
  return agent.m_capacity - agent.m_load.m_committed - agent.m_sent_size;
}

AgentIndex ObserveHeartbeat(FleetView& fleet, const Heartbeat& heartbeat, const Time now) {
  const auto found = fleet.m_index.find(heartbeat.m_agent);
  AgentIndex index = 0;
  if (found == fleet.m_index.end()) {
    if (fleet.m_free.empty()) {
      index = static_cast<AgentIndex>(fleet.m_agents.size());
      fleet.m_agents.emplace_back();
    } else {
      index = fleet.m_free.back();
      fleet.m_free.pop_back();
      fleet.m_agents[index] = {};
    }
    fleet.m_index.emplace(heartbeat.m_agent, index);
  } else {
    index = found->second;
    if (heartbeat.m_incarnation < fleet.m_agents[index].m_incarnation) return index;
  }
  AgentView& agent = fleet.m_agents[index];
  if (agent.m_incarnation != heartbeat.m_incarnation) agent.m_in_flight = 0;
  if (!agent.m_present || agent.m_domain != heartbeat.m_domain ||
      agent.m_capacity != heartbeat.m_capacity) {
    if (agent.m_present) LeavePool(fleet, index);
    agent.m_pool = FindOrAddPool(fleet, heartbeat.m_domain, heartbeat.m_capacity);
    ++fleet.m_pools[agent.m_pool].m_agent_count;
  }
  agent.m_agent = heartbeat.m_agent;
  agent.m_incarnation = heartbeat.m_incarnation;
  agent.m_domain = heartbeat.m_domain;
  agent.m_rpc_address = heartbeat.m_rpc_address;
  agent.m_capacity = heartbeat.m_capacity;
  agent.m_slots = heartbeat.m_slots;
  agent.m_last_heard = now;
  agent.m_suspected = false;
  agent.m_present = true;
  ReplaceLoad(agent, heartbeat.m_load);
  UpdatePoolMembership(fleet, index);
  return index;
}

void ObserveLoad(FleetView& fleet, const AgentId& agent, const AgentLoad& load, const Time now) {
  AgentView* const view = Find(fleet, agent);
  if (view == nullptr) return;
  view->m_last_heard = now;
  view->m_suspected = false;
  ReplaceLoad(*view, load);
  UpdatePoolMembership(fleet, fleet.m_index.at(agent));
}

void CountSent(FleetView& fleet, const AgentIndex index, const Resources& size) {
  AgentView& agent = fleet.m_agents[index];
  ++agent.m_in_flight;
  ++agent.m_sent_since_report;
  agent.m_sent_size = agent.m_sent_size + size;
}

void CountEnded(FleetView& fleet, const AgentId& agent, const Incarnation incarnation) {
  AgentView* const view = Find(fleet, agent);
  if (view != nullptr && view->m_incarnation == incarnation && view->m_in_flight > 0) {
    --view->m_in_flight;
  }
}

void SetEjected(FleetView& fleet, const AgentId& agent, const bool ejected) {
  AgentView* const view = Find(fleet, agent);
  if (view == nullptr) return;
  view->m_ejected = ejected;
  UpdatePoolMembership(fleet, fleet.m_index.at(agent));
}

void SetDrained(FleetView& fleet, const AgentId& agent, const bool drained) {
  AgentView* const view = Find(fleet, agent);
  if (view == nullptr) return;
  view->m_drained = drained;
  UpdatePoolMembership(fleet, fleet.m_index.at(agent));
}

void SuspectAgent(FleetView& fleet, const AgentId& agent) {
  AgentView* const view = Find(fleet, agent);
  if (view == nullptr) return;
  view->m_suspected = true;
  UpdatePoolMembership(fleet, fleet.m_index.at(agent));
}

void RemoveAgent(FleetView& fleet, const AgentId& agent) {
  const auto found = fleet.m_index.find(agent);
  if (found == fleet.m_index.end()) return;
  const AgentIndex index = found->second;
  LeavePool(fleet, index);
  fleet.m_agents[index] = {};
  fleet.m_free.push_back(index);
  fleet.m_index.erase(found);
}

SweepResult SweepFleet(FleetView& fleet, const FleetOptions& options, const Time now) {
  SweepResult result;
  std::vector<AgentIndex> silent;
  for (AgentIndex index = 0; index < fleet.m_agents.size(); ++index) {
    const AgentView& agent = fleet.m_agents[index];
    if (agent.m_present && now - agent.m_last_heard > options.m_suspect_after) {
      silent.push_back(index);
    }
  }
  // A single silent agent never counts as isolation: with one or two known agents it would be the
  // majority, but says nothing about the entry's own links.
  result.m_isolated = silent.size() > 1 && 2 * silent.size() > fleet.m_index.size();
  if (result.m_isolated) return result;
  for (const AgentIndex index : silent) {
    AgentView& agent = fleet.m_agents[index];
    if (now - agent.m_last_heard > options.m_remove_after) {
      result.m_removed.push_back(agent.m_agent);
    } else if (!agent.m_suspected) {
      result.m_suspected.push_back(agent.m_agent);
      agent.m_suspected = true;
      UpdatePoolMembership(fleet, index);
    }
  }
  for (const AgentId& agent : result.m_removed) RemoveAgent(fleet, agent);
  return result;
}

void SetPeerSizes(FleetView& fleet, const EntryId& peer, std::vector<Resources> sizes) {
  if (sizes.empty()) {
    fleet.m_peer_sizes.erase(peer);
  } else {
    fleet.m_peer_sizes[peer] = std::move(sizes);
  }
}

std::vector<Resources> OwnWorkerSizes(const FleetView& fleet) {
  std::vector<Resources> sizes;
  for (const AgentPool& pool : fleet.m_pools) {
    if (pool.m_agent_count > 0 &&
        std::find(sizes.begin(), sizes.end(), pool.m_capacity) == sizes.end()) {
      sizes.push_back(pool.m_capacity);
    }
  }
  return sizes;
}

const AgentView* FindAgent(const FleetView& fleet, const AgentId& agent) {
  const auto found = fleet.m_index.find(agent);
  return found == fleet.m_index.end() ? nullptr : &fleet.m_agents[found->second];
}

}  // namespace ebonypin::core
