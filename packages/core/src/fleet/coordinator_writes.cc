#include <algorithm>
#include <iterator>
#include <utility>

#include "coordinator_internal.h"

namespace ebonypin::core::fleet {
namespace {

/// Records of one append that are being collected.
struct BatchInProgress {
  WriteBatch m_batch;
  std::size_t m_bytes = 0;  ///< Upper bound.
  std::size_t m_max_bytes = 0;
  bool m_full = false;  ///< A record did not fit: what follows it has to wait for the next append.
};

/// Adds all changes or, when they do not fit, none. The first ones of an append always fit.
bool AddAll(BatchInProgress& append, std::vector<RecordChange> changes) {
  std::size_t bytes = 0;
  for (const auto& change : changes) bytes += MaxRecordBytes(change);
  auto& records = append.m_batch.m_records;
  if (append.m_full || (!records.empty() && append.m_bytes + bytes > append.m_max_bytes)) {
    append.m_full = true;
    return false;
  }
  append.m_bytes += bytes;
  records.insert(records.end(), std::make_move_iterator(changes.begin()),
                 std::make_move_iterator(changes.end()));
  return true;
}

bool Add(BatchInProgress& append, RecordChange change) {
  return AddAll(append, {std::move(change)});
}

std::optional<TaskProgress> ProgressOf(const Task& task, const TaskRef& ref) {
  const bool done = task.m_phase == TaskPhase::kDone;
  const bool placed = task.m_phase == TaskPhase::kPlaced;
  const bool initial =
      !done && task.m_failures == 0 && task.m_checkpoint.empty() && task.m_crashes.empty();
  if (initial) return std::nullopt;
  return TaskProgress{.m_occurrence = ref.m_occurrence,
                      .m_step = ref.m_step,
                      .m_index = ref.m_index,
                      .m_done = done,
                      .m_failures = task.m_failures,
                      .m_run = placed ? task.m_run - 1 : task.m_run,
                      .m_checkpoint = task.m_checkpoint,
                      .m_crashes = task.m_crashes};
}

/// Returns the progress of the tasks in `part` that are not in their initial state.
std::vector<TaskProgress> TasksOf(const Job& job, const std::uint32_t part) {
  std::vector<TaskProgress> progress;
  const auto parts = std::max(FirstPart(job.m_spec, 1), 1U);
  const auto found = job.m_occurrences.find(part / parts);
  if (found == job.m_occurrences.end()) return progress;
  const std::uint32_t begin = part % parts * kTasksPerPart;
  const std::uint32_t end = begin + kTasksPerPart;
  std::uint32_t first = 0;  // Position of the step's first task in the occurrence.
  const auto& steps = found->second.m_steps;
  for (std::uint32_t step = 0; step < steps.size() && first < end; ++step) {
    const auto& tasks = steps[step].m_tasks;
    const auto count = static_cast<std::uint32_t>(tasks.size());
    const auto last = std::min(end - first, count);
    for (std::uint32_t i = begin > first ? begin - first : 0; i < last; ++i) {
      auto task = ProgressOf(
          tasks[i],
          {.m_job = job.m_spec.m_id, .m_occurrence = found->first, .m_step = step, .m_index = i});
      if (task) progress.push_back(std::move(*task));
    }
    first += count;
  }
  return progress;
}

JobProgress PartRecord(const Job& job, const std::uint32_t part, const RecordLimits& limits) {
  JobProgress progress{.m_job = job.m_spec.m_id,
                       .m_cancelled = job.m_cancelled,
                       .m_phase = job.m_phase,
                       .m_begun = job.m_begun,
                       .m_tasks = TasksOf(job, part),
                       .m_part = part};
  if (part == 0) {
    progress.m_closed_occurrences = {job.m_closed_occurrences.begin(),
                                     job.m_closed_occurrences.end()};
  }
  FitStates(progress, limits);
  return progress;
}

/// Adds the record of a closed job and the removals of its parts, which a successor has to see
/// together.
bool AddClosed(BatchInProgress& append, Job& job, const WallMillis wall) {
  if (job.m_closed_at == 0) job.m_closed_at = wall;
  std::vector<RecordChange> changes{JobProgress{.m_job = job.m_spec.m_id,
                                                .m_cancelled = job.m_cancelled,
                                                .m_closed = true,
                                                .m_phase = job.m_phase,
                                                .m_closed_at = job.m_closed_at,
                                                .m_begun = job.m_begun}};
  for (const auto part : job.m_stored_parts) {
    changes.emplace_back(RemovedRecord{.m_key = ProgressKey(job.m_spec.m_id, part)});
  }
  if (!AddAll(append, std::move(changes))) return false;
  job.m_stored_parts.clear();
  job.m_unwritten_parts.clear();
  append.m_batch.m_recorded_phases.emplace_back(job.m_spec.m_id, job.m_phase);
  return true;
}

/// Adds the parts of an open job that have changed. A successor may see the first of these records
/// only, so part 0 follows those that take over tasks from it, and the parts of a closed occurrence
/// are removed after part 0 has recorded that it is closed.
bool AddParts(BatchInProgress& append, Job& job, const RecordLimits& limits) {
  const std::vector<std::uint32_t> parts(job.m_unwritten_parts.rbegin(),
                                         job.m_unwritten_parts.rend());
  for (const auto part : parts) {
    auto record = PartRecord(job, part, limits);
    if (part > 0 && record.m_tasks.empty()) continue;
    if (!Add(append, std::move(record))) return false;
    if (part > 0) job.m_stored_parts.insert(part);
    job.m_unwritten_parts.erase(part);
  }
  for (const auto part : parts) {
    if (job.m_unwritten_parts.count(part) == 0) continue;
    if (job.m_stored_parts.count(part) > 0) {
      if (!Add(append, RemovedRecord{.m_key = ProgressKey(job.m_spec.m_id, part)})) return false;
      job.m_stored_parts.erase(part);
    }
    job.m_unwritten_parts.erase(part);
  }
  return true;
}

void AddRemovals(BatchInProgress& append, Coordinator& state) {
  auto& keys = state.m_removed_keys;
  std::size_t taken = 0;
  while (taken < keys.size() && Add(append, RemovedRecord{.m_key = keys[taken]})) ++taken;
  keys.erase(keys.begin(), keys.begin() + static_cast<std::ptrdiff_t>(taken));
}

void AddSubmissions(BatchInProgress& append, Coordinator& state) {
  auto& jobs = state.m_unwritten_jobs;
  while (!jobs.empty()) {
    const auto id = *jobs.begin();
    if (const Job* const job = FindJob(state, id)) {
      if (!Add(append, job->m_spec)) return;
      append.m_batch.m_accepted.push_back(id);
    }
    jobs.erase(jobs.begin());
  }
}

void AddProgress(BatchInProgress& append, Coordinator& state, const WallMillis wall) {
  auto& jobs = state.m_unwritten_progress;
  while (!jobs.empty() && !append.m_full) {
    Job* const job = FindJob(state, *jobs.begin());
    if (job != nullptr) {
      const bool added = job->m_closed ? AddClosed(append, *job, wall)
                                       : AddParts(append, *job, state.m_options.m_record_limits);
      if (!added) return;
    }
    jobs.erase(jobs.begin());
  }
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
  BatchInProgress append{.m_max_bytes = state.m_options.m_record_limits.m_append_bytes};
  // Removals come first, so that the record of a member that was removed and came back remains.
  // Submissions come before progress, which is nothing without its submission.
  AddRemovals(append, state);
  AddSubmissions(append, state);
  AddProgress(append, state, wall);
  auto& members = state.m_unwritten_members;
  while (!members.empty()) {
    const auto& agent = state.m_agents.at(*members.begin());
    const auto record = RecordOf(agent);
    if (!Add(append, record)) break;
    append.m_batch.m_members.push_back({.m_record = record, .m_request = agent.m_record_request});
    members.erase(members.begin());
  }
  if (state.m_settled_unwritten && Add(append, SettledRecord{.m_epoch = state.m_epoch})) {
    state.m_settled_unwritten = false;
  }
  if (state.m_unwritten_pairs && Add(append, *state.m_unwritten_pairs)) {
    state.m_unwritten_pairs.reset();
  }
  // A worker may forget an end only when all records that the end changed are in the store.
  if (append.m_full) return std::move(append.m_batch);
  WriteBatch& batch = append.m_batch;
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
  return std::move(append.m_batch);
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
