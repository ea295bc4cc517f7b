#include <utility>

#include "coordinator_internal.h"

namespace ebonypin::core::fleet {
namespace {

JobProgress ProgressOf(Job& job, const WallMillis wall) {
  JobProgress progress{.m_job = job.m_spec.m_id,
                       .m_cancelled = job.m_cancelled,
                       .m_closed = job.m_closed,
                       .m_phase = job.m_phase,
                       .m_begun = job.m_begun};
  if (job.m_closed) {
    if (job.m_closed_at == 0) job.m_closed_at = wall;
    progress.m_closed_at = job.m_closed_at;
    return progress;
  }
  progress.m_closed_occurrences = {job.m_closed_occurrences.begin(),
                                   job.m_closed_occurrences.end()};
  for (const auto& [number, occurrence] : job.m_occurrences) {
    for (std::uint32_t step = 0; step < occurrence.m_steps.size(); ++step) {
      const auto& tasks = occurrence.m_steps[step].m_tasks;
      for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        const Task& task = tasks[i];
        const bool done = task.m_phase == TaskPhase::kDone;
        const bool placed = task.m_phase == TaskPhase::kPlaced;
        const bool initial =
            !done && task.m_failures == 0 && task.m_checkpoint.empty() && task.m_crashes.empty();
        if (initial) continue;
        progress.m_tasks.push_back({.m_occurrence = number,
                                    .m_step = step,
                                    .m_index = i,
                                    .m_done = done,
                                    .m_failures = task.m_failures,
                                    .m_run = placed ? task.m_run - 1 : task.m_run,
                                    .m_checkpoint = task.m_checkpoint,
                                    .m_crashes = task.m_crashes});
      }
    }
  }
  return progress;
}

MemberRecord RecordOf(const Agent& agent) {
  return {
      .m_agent = agent.m_id, .m_rpc_address = agent.m_rpc_address, .m_worker = agent.m_worker.m_id};
}

}  // namespace

bool HasWrites(const Coordinator& state) noexcept {
  if (!state.m_unwritten_jobs.empty() || !state.m_unwritten_progress.empty()) return true;
  if (!state.m_unwritten_members.empty() || !state.m_removed_keys.empty()) return true;
  // Without agents there are no grants: the record waits for another append.
  if (state.m_settled_unwritten && !state.m_agents.empty()) return true;
  for (const auto& [id, agent] : state.m_agents) {
    if (agent.m_ends_seen > agent.m_ends_taken) return true;
    if (agent.m_crash_seen > agent.m_crash_taken) return true;
  }
  return false;
}

WriteBatch TakeWrites(Coordinator& state, const WallMillis wall) {
  WriteBatch batch;
  // Removals come first, so that the record of a member that was removed and came back remains.
  for (auto& key : std::exchange(state.m_removed_keys, {})) {
    batch.m_records.emplace_back(RemovedRecord{.m_key = std::move(key)});
  }
  for (const auto& id : std::exchange(state.m_unwritten_jobs, {})) {
    const Job* const job = FindJob(state, id);
    if (job == nullptr) continue;
    batch.m_records.emplace_back(job->m_spec);
    batch.m_accepted.push_back(id);
  }
  for (const auto& id : std::exchange(state.m_unwritten_progress, {})) {
    Job* const job = FindJob(state, id);
    if (job == nullptr) continue;
    batch.m_records.emplace_back(ProgressOf(*job, wall));
    if (job->m_closed) batch.m_recorded_phases.emplace_back(id, job->m_phase);
  }
  for (const auto& id : std::exchange(state.m_unwritten_members, {})) {
    const auto& agent = state.m_agents.at(id);
    batch.m_members.push_back({.m_record = RecordOf(agent), .m_request = agent.m_record_request});
    batch.m_records.emplace_back(batch.m_members.back().m_record);
  }
  if (std::exchange(state.m_settled_unwritten, false)) {
    batch.m_records.emplace_back(SettledRecord{.m_epoch = state.m_epoch});
  }
  if (state.m_unwritten_pairs) {
    batch.m_records.emplace_back(*std::exchange(state.m_unwritten_pairs, std::nullopt));
  }
  for (auto& [id, agent] : state.m_agents) {
    const bool has_new =
        agent.m_ends_seen > agent.m_ends_taken || agent.m_crash_seen > agent.m_crash_taken;
    if (!has_new) continue;
    agent.m_ends_taken = agent.m_ends_seen;
    agent.m_crash_taken = agent.m_crash_seen;
    batch.m_ends.push_back({.m_agent = id,
                            .m_born = agent.m_ends_born,
                            .m_number = agent.m_ends_seen,
                            .m_crash = agent.m_crash_seen});
  }
  return batch;
}

bool IsStoreSilent(const Coordinator& state, const Time since, const Time now) noexcept {
  return since != Time{} && now - since > state.m_options.m_append_patience;
}

std::set<JobId> WithdrawUnwritten(Coordinator& state, const Withdrawal withdrawal) {
  auto withdrawn = std::exchange(state.m_unwritten_jobs, {});
  for (const auto& id : withdrawn) {
    Job& job = state.m_jobs.at(id);
    if (withdrawal == Withdrawal::kHeld && !job.m_cancelled) --state.m_counters.m_submitted;
    if (job.m_cancelled) {
      job.m_spec = {.m_id = id};
      job.m_submitted = false;
      job.m_occurrences.clear();
    } else {
      state.m_jobs.erase(id);
      state.m_open_jobs.erase(id);
      state.m_unwritten_progress.erase(id);
    }
    if (withdrawal == Withdrawal::kHeld) {
      LogDecision(state, "submission held", {.m_job = id}, 0, {},
                  "the store does not take records, and this one was not sent");
      continue;
    }
    ++state.m_counters.m_refused;
    LogFailure(state, "submission withdrawn", {.m_job = id}, 0, {},
               "the store does not take records, and this one was not sent");
  }
  return withdrawn;
}

void OnWritten(Coordinator& state, const WriteBatch& batch) {
  for (const auto& id : batch.m_accepted) {
    if (Job* const job = FindJob(state, id)) job->m_recorded = true;
  }
  for (const auto& [id, phase] : batch.m_recorded_phases) {
    if (Job* const job = FindJob(state, id)) job->m_recorded_phase = phase;
  }
  for (const auto& member : batch.m_members) {
    auto& agent = state.m_agents.at(member.m_record.m_agent);
    // While the record was written the member may have been removed, or have reported another
    // address or worker.
    if (member.m_request == agent.m_record_request) agent.m_recorded = true;
    ++state.m_workers_added;
  }
  for (const auto& ends : batch.m_ends) {
    auto& agent = state.m_agents.at(ends.m_agent);
    if (agent.m_ends_born == ends.m_born) agent.m_ends_recorded = ends.m_number;
    agent.m_crash_recorded = ends.m_crash;
  }
}

}  // namespace ebonypin::core::fleet
