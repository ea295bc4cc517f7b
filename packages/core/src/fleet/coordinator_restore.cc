/// Restores jobs and their progress from the records of the store.
#include <algorithm>
#include <string>
#include <utility>

#include "coordinator_internal.h"
#include "ebonypin/core/fleet/queue_table.h"

namespace ebonypin::core::fleet {
namespace {

/// Restores what part 0 says about the job as a whole.
void RestoreJob(Coordinator& state, Job& job, const JobProgress& progress) {
  job.m_cancelled = progress.m_cancelled;
  if (progress.m_closed) {
    job.m_closed = true;
    state.m_open_jobs.erase(progress.m_job);
    job.m_closed_at = progress.m_closed_at;
    job.m_phase = job.m_recorded_phase = progress.m_phase;
    job.m_occurrences.clear();
    return;
  }
  const std::uint32_t total = std::max(job.m_spec.m_times, 1U);
  for (const auto number : progress.m_closed_occurrences) {
    if (number >= total) continue;
    job.m_occurrences.erase(number);
    job.m_closed_occurrences.insert(number);
  }
}

/// Restores a task from a record of `part`. Coordinators of earlier versions write all tasks into
/// part 0, so a task may be found in two records; the one with the later run is newer.
void RestoreTask(Coordinator& state, Job& job, const std::uint32_t part, TaskProgress& stored) {
  if (stored.m_occurrence >= std::max(job.m_spec.m_times, 1U)) return;
  OpenOccurrence(job, stored.m_occurrence);
  const TaskRef ref{.m_job = job.m_spec.m_id,
                    .m_occurrence = stored.m_occurrence,
                    .m_step = stored.m_step,
                    .m_index = stored.m_index};
  Task* const task = FindTask(state, ref);
  if (task == nullptr || task->m_phase == TaskPhase::kDone) return;
  const bool older = !stored.m_done && stored.m_run < task->m_recorded_run;
  if (older) return;
  if (PartOf(job.m_spec, ref) != part) {
    // The task moves from part 0, which is written without it, to its own part.
    MarkUnwritten(state, job, ref);
    MarkUnwritten(state, job);
  }
  task->m_run = task->m_recorded_run = std::max(task->m_recorded_run, stored.m_run);
  task->m_failures = std::max(task->m_failures, stored.m_failures);
  task->m_checkpoint = std::move(stored.m_checkpoint);
  task->m_crashes = std::move(stored.m_crashes);
  task->m_suspect = !task->m_crashes.empty();
  if (stored.m_done) FinishTask(state, job, ref, *task);
}

}  // namespace

void Restore(Coordinator& state, const Time now, JobSpec job) {
  if (const auto error = CheckSteps(job); !error.empty()) {
    return LogFailure(state, "stored job ignored", {.m_job = job.m_id}, 0, {}, error);
  }
  auto& restored = state.m_jobs[job.m_id];
  restored.m_spec = std::move(job);
  restored.m_accepted = restored.m_last_ran = now;
  restored.m_recorded = true;
  restored.m_inherited = true;
  ComputeChains(restored);
  state.m_open_jobs.insert(restored.m_spec.m_id);
  if (restored.m_spec.m_times == 0) {
    OpenOccurrence(restored, 0);
    restored.m_next_occurrence = 1;
  }
}

void Restore(Coordinator& state, JobProgress progress) {
  Job* job = FindJob(state, progress.m_job);
  const bool leftover = job == nullptr ? !progress.m_cancelled || progress.m_part > 0
                                       : job->m_closed && progress.m_part > 0;
  if (leftover) {
    // Progress without a submission, and parts of a closed job, remain from a removal that was not
    // completed.
    return state.m_removed_keys.push_back(ProgressKey(progress.m_job, progress.m_part));
  }
  if (job == nullptr) {
    job = &state.m_jobs[progress.m_job];
    job->m_spec.m_id = progress.m_job;
    job->m_submitted = false;
  }
  job->m_begun = job->m_begun || progress.m_begun;
  if (progress.m_part == 0) {
    RestoreJob(state, *job, progress);
  } else {
    job->m_stored_parts.insert(progress.m_part);
  }
  if (job->m_closed) return;
  for (auto& stored : progress.m_tasks) RestoreTask(state, *job, progress.m_part, stored);
}

}  // namespace ebonypin::core::fleet
