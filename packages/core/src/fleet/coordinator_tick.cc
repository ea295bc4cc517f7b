/// Periodic work of the coordinator: expired grants, runs that have to leave their worker, and
/// closed jobs.
#include <algorithm>
#include <utility>

#include "coordinator_internal.h"
#include "ebonypin/core/fleet/worker_choice.h"

namespace ebonypin::core::fleet {
namespace {

void DropMember(Coordinator& state, const AgentId& agent) {
  state.m_removed_keys.push_back(MemberKey(agent));
}

void RemoveSilentMember(Coordinator& state, const AgentId& member, std::string reason) {
  DropMember(state, member);
  auto& agent = state.m_agents[member];
  agent.m_recorded = false;
  agent.m_record_request = 0;
  LogFailure(state, "member removed", {}, 0, member, std::move(reason));
}

/// Returns whether the agent's last grant, and each lease that comes from it, had ended by `time`.
[[nodiscard]] bool HadGrantEnded(const Coordinator& state, const Agent& agent,
                                 const Time time) noexcept {
  return agent.m_session != 0 &&
         time - agent.m_granted > state.m_options.m_grant + state.m_options.m_lapse_slack;
}

/// Returns whether members are silent whose grants of earlier epochs had ended by `time`.
[[nodiscard]] bool HasSilentWaitEnded(const Coordinator& state, const Time time) noexcept {
  return !state.m_silent_members.empty() && time >= state.m_silent_wait.m_until;
}

void EndGrant(Coordinator& state, const Time now, Agent& agent) {
  agent.m_session = 0;
  agent.m_orders.clear();
  DropStrays(state, agent);
  std::vector<TaskRef> placed;
  for (const auto& [ref, run] : agent.m_placed_runs) placed.push_back(ref);
  for (const auto& ref : placed) {
    if (Task* const task = FindTask(state, ref)) OnLost(state, now, ref, *task, "grant ended");
  }
  state.m_unwritten_members.erase(agent.m_id);
  if (agent.m_recorded) DropMember(state, agent.m_id);
  agent.m_recorded = false;
  agent.m_record_request = 0;
}

/// Logs once when the agent, whose reports arrive, takes no orders: its runs then cannot be stopped
/// while its reports keep their leases alive.
void CheckOrders(Coordinator& state, const Time now, Agent& agent) {
  const std::uint64_t oldest = agent.m_orders.empty() ? 0 : agent.m_orders.front().m_number;
  if (oldest != agent.m_waiting_order) {
    agent.m_waiting_order = oldest;
    agent.m_waiting_since = now;
    agent.m_waiting_logged = false;
  }
  const bool waits = oldest != 0 && now - agent.m_waiting_since >= state.m_options.m_order_patience;
  if (!waits || agent.m_waiting_logged) return;
  agent.m_waiting_logged = true;
  LogFailure(state, "orders not taken", {}, 0, agent.m_id,
             std::to_string(agent.m_orders.size()) +
                 " orders wait while the agent reports; check " + "the way from this entry to " +
                 agent.m_rpc_address);
}

/// Stops a run that makes no progress, so that its task is placed elsewhere.
void CheckStall(Coordinator& state, const Time now, const TaskRef& ref, Task& task) {
  const Job& job = state.m_jobs.at(ref.m_job);
  const auto& spec = job.m_spec.m_steps[ref.m_step];
  if (task.m_stopping) return;
  if (spec.m_long_running && task.m_percent >= 100) return;
  constexpr std::uint32_t kMaxDoublings = 6;
  const auto limit = spec.m_fills ? state.m_options.m_filling_stall_limit
                                  : std::max(state.m_options.m_stall_limit, spec.m_estimate);
  if (now - task.m_progressed < limit * (1U << std::min(task.m_stalls, kMaxDoublings))) return;
  ++task.m_stalls;
  OnStall(state.m_agents.at(task.m_agent).m_health, now, state.m_options.m_health);
  task.m_failed_on.push_back(task.m_agent);
  OrderStop(state, ref, task, "no progress at " + std::to_string(task.m_percent) + " %");
}

/// Stops a run on a draining worker that would not end before the worker leaves, if it loses no
/// progress by moving.
void CheckDrain(Coordinator& state, const Agent& agent, const TaskRef& ref, Task& task) {
  if (!agent.m_worker.m_draining || task.m_stopping) return;
  const auto& spec = state.m_jobs.at(ref.m_job).m_spec.m_steps[ref.m_step];
  if (!spec.m_long_running && !spec.m_checkpointing) return;
  const Duration left = spec.m_estimate * (100 - std::min(task.m_percent, 100U)) / 100;
  if (!spec.m_long_running && left < agent.m_worker.m_remaining) return;
  OrderStop(state, ref, task, "its worker leaves");
}

/// Stops a slow filling task if a worker that would give it a larger share has room.
void CheckPlacement(Coordinator& state, const Time now, const Agent& agent, const TaskRef& ref,
                    Task& task) {
  if (task.m_stopping || task.m_slow_since == Time{}) return;
  const auto& options = state.m_options;
  if (now - std::max(task.m_slow_since, task.m_placed) < options.m_move_after) return;
  if (now - task.m_placement_checked < options.m_placement_check_interval) return;
  task.m_placement_checked = now;
  const TaskNeed need = NeedToMove(state, ref);
  if (!need.m_spec.m_checkpointing && task.m_percent > options.m_movable_percent) return;
  if (!HasBetterWorker(state, need, agent, now)) return;
  OrderStop(state, ref, task, "slow here, and a better place is free");
}

/// Lets it be recorded that no grant of an earlier epoch is left, once no member is silent.
void NoteSettled(Coordinator& state, const Time now) {
  if (state.m_restored_at == Time{} || state.m_settled_epoch == state.m_epoch) return;
  if (!state.m_silent_members.empty()) return;
  state.m_settled_epoch = state.m_epoch;
  state.m_settled_unwritten = true;
  const auto waited =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - state.m_restored_at).count();
  LogDecision(state, "takeover settled", {}, 0, {},
              "no grant of an earlier epoch is left after " + std::to_string(waited) + " ms");
}

void DropClosedJobs(Coordinator& state, const WallMillis wall) {
  const auto keep =
      std::chrono::duration_cast<std::chrono::milliseconds>(state.m_options.m_closed_retention)
          .count();
  for (auto job = state.m_jobs.begin(); job != state.m_jobs.end();) {
    const bool old = job->second.m_closed && job->second.m_closed_at > 0 &&
                     job->second.m_closed_at + keep < wall;
    if (!old) {
      ++job;
      continue;
    }
    // The submission goes first: without its progress the job would be run again by a successor.
    state.m_removed_keys.push_back(JobKey(job->first));
    for (const auto part : job->second.m_stored_parts) {
      state.m_removed_keys.push_back(ProgressKey(job->first, part));
    }
    state.m_removed_keys.push_back(ProgressKey(job->first, 0));
    job = state.m_jobs.erase(job);
  }
}

}  // namespace

void OnLiveWorkers(Coordinator& state, const Time asked, const std::set<WorkerId>& workers) {
  for (auto entry = state.m_silent_members.begin(); entry != state.m_silent_members.end();) {
    auto& [id, member] = *entry;
    const bool ended = !member.m_worker.IsEmpty() && workers.count(member.m_worker) == 0;
    if (!ended) {
      member.m_unlisted_since = {};
    } else if (member.m_unlisted_since == Time{}) {
      member.m_unlisted_since = asked;
    }
    if (!ended || asked - member.m_unlisted_since < state.m_options.m_unlisted_time) {
      ++entry;
      continue;
    }
    RemoveSilentMember(state, id, "the platform does not list its worker any more");
    entry = state.m_silent_members.erase(entry);
  }
}

bool NeedsConfirmation(const Coordinator& state, const Time now, const Time confirmed) noexcept {
  if (HasSilentWaitEnded(state, now) && !HasSilentWaitEnded(state, confirmed)) return true;
  return std::any_of(state.m_agents.begin(), state.m_agents.end(), [&](const auto& entry) {
    const Agent& agent = entry.second;
    return HadGrantEnded(state, agent, now) && !HadGrantEnded(state, agent, confirmed);
  });
}

void Tick(Coordinator& state, const Time now, const WallMillis wall, const Time confirmed) {
  for (auto& [id, agent] : state.m_agents) {
    if (agent.m_session == 0) continue;
    if (HadGrantEnded(state, agent, now)) {
      if (HadGrantEnded(state, agent, confirmed)) EndGrant(state, now, agent);
      continue;
    }
    CheckOrders(state, now, agent);
    // A run that is ordered to stop stays placed until its end is reported.
    for (const auto& [ref, run] : agent.m_placed_runs) {
      Task* const task = FindTask(state, ref);
      if (task == nullptr) continue;
      CheckStall(state, now, ref, *task);
      CheckDrain(state, agent, ref, *task);
      CheckPlacement(state, now, agent, ref, *task);
    }
  }
  if (HasSilentWaitEnded(state, now) && HasSilentWaitEnded(state, confirmed)) {
    for (const auto& [id, member] : state.m_silent_members) {
      RemoveSilentMember(state, id, "silent since the coordinator changed");
    }
    state.m_silent_members.clear();
  }
  NoteSettled(state, now);
  MoveServingTasks(state, now);
  DropClosedJobs(state, wall);
  if (state.m_pairs_changed && now - state.m_pairs_written >= state.m_options.m_pairs_interval) {
    state.m_pairs_changed = false;
    state.m_pairs_written = now;
    state.m_unwritten_pairs = {.m_pairs = TakeRecent(state.m_pairs, now)};
    FitPairs(*state.m_unwritten_pairs, state.m_options.m_record_limits);
  }
}

}  // namespace ebonypin::core::fleet
