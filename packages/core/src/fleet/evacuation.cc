#include "ebonypin/core/fleet/evacuation.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "coordinator_internal.h"

namespace ebonypin::core::fleet {
namespace {

/// Returns the placed tasks whose start orders the agent has not confirmed.
std::vector<TaskRef> UnconfirmedStarts(const Agent& agent) {
  std::vector<TaskRef> starts;
  for (const auto& order : agent.m_orders) {
    const TaskRef& ref = order.m_start.m_task;
    if (order.m_kind == OrderKind::kStart && agent.m_placed_runs.count(ref) > 0) {
      starts.push_back(ref);
    }
  }
  return starts;
}

/// Stops the current runs of all members of a gang, because the others would wait for the withdrawn
/// member in vain.
void StopGang(Coordinator& state, const TaskRef& member, const std::string& reason) {
  auto& tasks = FindJob(state, member.m_job)
                    ->m_occurrences.at(member.m_occurrence)
                    .m_steps[member.m_step]
                    .m_tasks;
  for (std::uint32_t i = 0; i < tasks.size(); ++i) {
    TaskRef ref = member;
    ref.m_index = i;
    if (tasks[i].m_phase == TaskPhase::kPlaced) OrderStop(state, ref, tasks[i], reason);
  }
}

void WithdrawStarts(Coordinator& state, const Agent& agent) {
  static const std::string kReason = "its failure domain is under evacuation";
  for (const auto& ref : UnconfirmedStarts(agent)) {
    Task* const task = FindTask(state, ref);
    if (task == nullptr) continue;
    if (FindJob(state, ref.m_job)->m_spec.m_steps[ref.m_step].m_gang) {
      StopGang(state, ref, kReason);
    } else {
      OrderStop(state, ref, *task, kReason);
    }
  }
}

}  // namespace

bool Apply(Evacuations& evacuations, const std::string& domain, const bool requested) {
  if (domain.empty()) return false;
  if (requested) return evacuations.m_domains.insert(domain).second;
  return evacuations.m_domains.erase(domain) > 0;
}

std::vector<std::string> KeepOnly(Evacuations& evacuations, const std::set<std::string>& domains) {
  std::vector<std::string> ended;
  std::set_difference(evacuations.m_domains.begin(), evacuations.m_domains.end(), domains.begin(),
                      domains.end(), std::back_inserter(ended));
  for (const auto& domain : ended) evacuations.m_domains.erase(domain);
  evacuations.m_known = true;
  return ended;
}

void SetEvacuations(Coordinator& state, std::set<std::string> domains) {
  state.m_evacuated_domains = std::move(domains);
  for (auto& [id, agent] : state.m_agents) {
    const bool evacuated = state.m_evacuated_domains.count(agent.m_worker.m_domain) > 0;
    const bool begins = evacuated && !agent.m_evacuated;
    agent.m_evacuated = evacuated;
    if (begins) WithdrawStarts(state, agent);
    // Steps that found no worker try again at once when a failure domain is taken back.
    if (!evacuated) ++state.m_workers_added;
  }
}

}  // namespace ebonypin::core::fleet
