#include <algorithm>
#include <utility>

#include "coordinator_internal.h"

namespace ebonypin::core::fleet {
namespace {

/// Retry-After while the limit of jobs is reached; closed jobs are dropped steadily.
constexpr Duration kFullRetryAfter = std::chrono::seconds{2};
constexpr auto kFullReason = "the limit on jobs kept at once is reached; retry later";

JobCallReply Refused(const Duration retry_after, std::string reason) {
  return {.m_status = JobCallStatus::kRefused,
          .m_retry_after = retry_after,
          .m_reason = std::move(reason)};
}

JobCallReply StateOf(const Job& job) {
  const bool running = job.m_begun && job.m_recorded_phase == JobPhase::kQueued;
  return {.m_status = JobCallStatus::kOk,
          .m_phase = running ? JobPhase::kRunning : job.m_recorded_phase};
}

std::uint64_t CountPending(const Coordinator& state, const QueueName& queue) {
  return static_cast<std::uint64_t>(
      std::count_if(state.m_open_jobs.begin(), state.m_open_jobs.end(), [&](const JobId& id) {
        const Job& job = state.m_jobs.at(id);
        return job.m_recorded && !job.m_begun && job.m_spec.m_policy.m_queue == queue;
      }));
}

void Close(Coordinator& state, Job& job, const JobPhase phase) {
  job.m_closed = true;
  job.m_phase = phase;
  state.m_open_jobs.erase(job.m_spec.m_id);
  MarkUnwritten(state, job);
}

/// Keeps the cancel of a job whose submission has not arrived, and may arrive later: it may wait in
/// another entry, or be repeated. Without it the submission would run after its cancelling was
/// acknowledged.
void AddEarlyCancel(Coordinator& state, const JobId& id) {
  Job& job = state.m_jobs[id];
  job.m_spec.m_id = id;
  job.m_submitted = false;
  job.m_cancelled = true;
  Close(state, job, JobPhase::kCancelled);
  LogDecision(state, "job cancelled", {.m_job = id}, 0, {}, "before its submission arrived");
}

/// Takes the submission of a job that was cancelled before. It is recorded, so that callers are
/// shown the job as cancelled, for the time for which closed jobs are kept.
void SubmitCancelled(Coordinator& state, Job& job, const JobSpec& spec) {
  job.m_spec = spec;
  job.m_submitted = true;
  job.m_closed_at = 0;
  state.m_unwritten_jobs.insert(spec.m_id);
  MarkUnwritten(state, job);
  LogDecision(state, "job submitted", {.m_job = spec.m_id}, 0, {}, "after its cancel; not run");
}

void CloseOccurrence(Coordinator& state, Job& job, const std::uint32_t number) {
  job.m_occurrences.erase(number);
  job.m_closed_occurrences.insert(number);
  MarkUnwritten(state, job);
  // The parts of the occurrence are removed.
  job.m_unwritten_parts.insert(job.m_stored_parts.lower_bound(FirstPart(job.m_spec, number)),
                               job.m_stored_parts.lower_bound(FirstPart(job.m_spec, number + 1)));
  const std::uint32_t total = std::max(job.m_spec.m_times, 1U);
  if (job.m_closed_occurrences.size() == total) Close(state, job, JobPhase::kDone);
}

/// Returns the queue and each step as tasks x processors x estimate, for the log.
std::string Describe(const JobSpec& job) {
  std::string text = "queue " + job.m_policy.m_queue.m_value;
  for (const auto& step : job.m_steps) {
    text += "; " + std::to_string(step.m_count) + " x " + std::to_string(step.m_size.m_cpu_millis) +
            "m x " + std::to_string(step.m_estimate.count() / 1000) + " ms";
    if (step.m_fills) text += " fills";
    if (step.m_long_running) text += " long-running";
    if (step.m_gang) text += " gang";
    if (step.m_checkpointing) text += " checkpointing";
  }
  return text;
}

/// Logs the time that a finished job took and the waiting and run times of its tasks. A late job is
/// a failure for its caller.
void LogJobDone(Coordinator& state, const Time now, const Job& job) {
  const auto millis = [](const Duration time) { return std::to_string(time.count() / 1000); };
  Duration estimated{};
  std::uint32_t tasks = 0;
  for (const auto& step : job.m_spec.m_steps) {
    tasks += step.m_count;
    estimated += step.m_count * step.m_estimate;
  }
  const Duration took = now - job.m_accepted;
  const JobTiming& timing = job.m_timing;
  const auto first = timing.m_first_start != Time{}
                         ? millis(timing.m_first_start - job.m_accepted) + " ms"
                         : "none";
  // The objective of a scheduled job applies to each occurrence, not to the whole job.
  const bool late = job.m_spec.m_times == 0 && took > job.m_objective;
  ++state.m_counters.m_jobs_done;
  if (late) ++state.m_counters.m_jobs_late;
  const auto log = late ? &LogFailure : &LogDecision;
  log(state, late ? "job late" : "job done", {.m_job = job.m_spec.m_id}, 0, {},
      "took " + millis(took) + " ms, objective " + millis(job.m_objective) +
          " ms; first start after " + first + "; " + std::to_string(tasks) + " tasks in " +
          std::to_string(timing.m_runs) + " runs waited " + millis(timing.m_waited) +
          " ms and were held " + millis(timing.m_run_time) + " ms, estimated " + millis(estimated) +
          " ms");
}

/// Finishes all tasks of the gang of `ref`: the end of one member counts for all members of the
/// run.
void FinishGang(Coordinator& state, Job& job, const TaskRef& ref, const RunNumber run) {
  const auto count = static_cast<std::uint32_t>(
      job.m_occurrences.at(ref.m_occurrence).m_steps[ref.m_step].m_tasks.size());
  for (std::uint32_t i = 0; i < count && !job.m_closed; ++i) {
    TaskRef member = ref;
    member.m_index = i;
    Task* const task = FindTask(state, member);
    if (task == nullptr || task->m_phase == TaskPhase::kDone) continue;
    task->m_run = std::max(task->m_run, run);
    MarkUnwritten(state, job, member);
    FinishTask(state, job, member, *task);
  }
}

void FailTask(Coordinator& state, const Time now, Job& job, Agent& agent, const RunEnded& end,
              Task& task) {
  const auto& spec = job.m_spec.m_steps[end.m_task.m_step];
  ++state.m_counters.m_failed;
  const bool known_bad = task.m_failures > 0;
  const AgentId failed_on = agent.m_id;
  ++task.m_failures;
  task.m_failed_on.push_back(failed_on);
  if (!known_bad && OnFailure(agent.m_health, now, state.m_options.m_health)) {
    LogFailure(state, "worker put aside", end.m_task, end.m_run, failed_on, "its runs fail");
  }
  if (spec.m_long_running || task.m_failures < job.m_spec.m_policy.m_attempts) return;
  FailJob(state, job, end.m_task, end.m_run, failed_on,
          std::to_string(task.m_failures) + " failed attempts");
}

/// Adds the time of the task's current run, which has ended but is still placed.
void AddRunTime(Job& job, const Time now, Task& task) noexcept {
  job.m_timing.m_run_time += now - task.m_placed;
  task.m_waits_since = now;
}

}  // namespace

Job* FindJob(Coordinator& state, const JobId& job) noexcept {
  const auto found = state.m_jobs.find(job);
  return found == state.m_jobs.end() ? nullptr : &found->second;
}

StepState* FindStep(Coordinator& state, const TaskRef& ref) noexcept {
  Job* const job = FindJob(state, ref.m_job);
  if (job == nullptr) return nullptr;
  const auto found = job->m_occurrences.find(ref.m_occurrence);
  if (found == job->m_occurrences.end() || ref.m_step >= found->second.m_steps.size()) {
    return nullptr;
  }
  return &found->second.m_steps[ref.m_step];
}

Task* FindTask(Coordinator& state, const TaskRef& ref) noexcept {
  StepState* const step = FindStep(state, ref);
  return step != nullptr && ref.m_index < step->m_tasks.size() ? &step->m_tasks[ref.m_index]
                                                               : nullptr;
}

void MarkUnwritten(Coordinator& state, Job& job, const TaskRef& ref) {
  job.m_unwritten_parts.insert(PartOf(job.m_spec, ref));
  state.m_unwritten_progress.insert(job.m_spec.m_id);
}

void MarkUnwritten(Coordinator& state, Job& job) {
  job.m_unwritten_parts.insert(0);
  state.m_unwritten_progress.insert(job.m_spec.m_id);
}

void FinishTask(Coordinator& state, Job& job, const TaskRef& ref, Task& task) {
  if (task.m_phase == TaskPhase::kPlaced) {
    // Another run of the task succeeded. The current run takes up room until its agent, once it has
    // taken the orders about it, no longer lists it.
    OrderStop(state, ref, task, "another run of the task is done");
    Agent& agent = state.m_agents.at(task.m_agent);
    AddStray(state, agent, ref, agent.m_next_order - 1);
    RemovePlacedRun(state, ref, task);
  }
  task.m_phase = TaskPhase::kDone;
  task.m_checkpoint.clear();
  Occurrence& occurrence = job.m_occurrences.at(ref.m_occurrence);
  StepState& step = occurrence.m_steps[ref.m_step];
  if (--step.m_left > 0) return;
  if (--occurrence.m_steps_left == 0) CloseOccurrence(state, job, ref.m_occurrence);
}

void OpenOccurrence(Job& job, const std::uint32_t number) {
  if (job.m_closed_occurrences.count(number) > 0) return;
  auto& occurrence = job.m_occurrences[number];
  if (!occurrence.m_steps.empty()) return;
  for (const auto& spec : job.m_spec.m_steps) {
    occurrence.m_steps.push_back(
        {.m_tasks = std::vector<Task>(spec.m_count), .m_left = spec.m_count});
  }
  occurrence.m_steps_left = static_cast<std::uint32_t>(occurrence.m_steps.size());
}

void LogDecision(Coordinator& state, const std::string_view what, const TaskRef& ref,
                 const RunNumber run, const AgentId& agent, std::string reason) {
  state.m_decisions.push_back({.m_what = what,
                               .m_task = ref,
                               .m_run = run,
                               .m_agent = agent,
                               .m_reason = std::move(reason)});
}

void LogFailure(Coordinator& state, const std::string_view what, const TaskRef& ref,
                const RunNumber run, const AgentId& agent, std::string reason) {
  LogDecision(state, what, ref, run, agent, std::move(reason));
  state.m_decisions.back().m_failure = true;
}

void StopJob(Coordinator& state, Job& job, const std::string& reason) {
  for (auto& [number, occurrence] : job.m_occurrences) {
    for (std::uint32_t step = 0; step < occurrence.m_steps.size(); ++step) {
      auto& tasks = occurrence.m_steps[step].m_tasks;
      for (std::uint32_t i = 0; i < tasks.size(); ++i) {
        if (tasks[i].m_phase != TaskPhase::kPlaced) continue;
        OrderStop(state,
                  {.m_job = job.m_spec.m_id, .m_occurrence = number, .m_step = step, .m_index = i},
                  tasks[i], reason);
      }
    }
  }
}

void FailJob(Coordinator& state, Job& job, const TaskRef& ref, const RunNumber run,
             const AgentId& agent, const std::string& reason) {
  LogFailure(state, "job failed", ref, run, agent, reason);
  Close(state, job, JobPhase::kFailed);
  StopJob(state, job, "job failed");
}

void OnLost(Coordinator& state, const Time now, const TaskRef& ref, Task& task,
            std::string reason) {
  ++state.m_counters.m_lost;
  LogFailure(state, "run lost", ref, task.m_run, task.m_agent, std::move(reason));
  AddRunTime(*FindJob(state, ref.m_job), now, task);
  ExpireTicket(state, ref, task.m_agent);
  RemovePlacedRun(state, ref, task);
  task.m_not_before = now + state.m_options.m_refusal_delay;
}

void OnEnd(Coordinator& state, const Time now, Agent& agent, const RunEnded& end) {
  Job* const job = FindJob(state, end.m_task.m_job);
  Task* const task = FindTask(state, end.m_task);
  if (task == nullptr || task->m_phase == TaskPhase::kDone) return;
  // After a change of coordinator, ends of several runs may arrive in any order from several
  // agents.
  const auto& ended = task->m_ended;
  if (end.m_run <= task->m_recorded_run ||
      std::find(ended.begin(), ended.end(), end.m_run) != ended.end()) {
    return;
  }
  task->m_ended.push_back(end.m_run);
  const bool current = task->m_phase == TaskPhase::kPlaced && task->m_run == end.m_run;
  const auto& spec = job->m_spec.m_steps[end.m_task.m_step];
  const Duration run_time = current ? now - task->m_placed : Duration{};
  if (current) {
    AddRunTime(*job, now, *task);
    RemovePlacedRun(state, end.m_task, *task);
  }
  const bool newest = end.m_run >= task->m_run;
  task->m_run = std::max(task->m_run, end.m_run);
  if (newest && !end.m_checkpoint.empty()) task->m_checkpoint = end.m_checkpoint;
  if (job->m_closed) return;
  job->m_begun = true;
  MarkUnwritten(state, *job, end.m_task);
  const bool own_end = end.m_outcome == RunOutcome::kDone || end.m_outcome == RunOutcome::kFailed;
  if (newest && own_end) ClearSuspicion(state, end.m_task, *task);
  switch (end.m_outcome) {
    case RunOutcome::kDone:
      ++state.m_counters.m_done;
      if (run_time > Duration{} && !spec.m_fills) {
        OnSuccess(agent.m_health, now, run_time, spec.m_estimate, state.m_options.m_health);
      }
      if (spec.m_gang) {
        FinishGang(state, *job, end.m_task, end.m_run);
      } else {
        FinishTask(state, *job, end.m_task, *task);
      }
      if (job->m_closed) LogJobDone(state, now, *job);
      return;
    case RunOutcome::kFailed:
      return FailTask(state, now, *job, agent, end, *task);
    case RunOutcome::kStopped:
    case RunOutcome::kLapsed:
    case RunOutcome::kBroken:
    case RunOutcome::kAlone:
      ++state.m_counters.m_lost;
      return;
  }
}

void CompleteGangs(Coordinator& state) {
  std::vector<std::pair<TaskRef, RunNumber>> done;
  for (const auto& id : state.m_open_jobs) {
    const Job& job = state.m_jobs.at(id);
    for (const auto& [number, occurrence] : job.m_occurrences) {
      for (std::uint32_t step = 0; step < occurrence.m_steps.size(); ++step) {
        if (!job.m_spec.m_steps[step].m_gang) continue;
        const auto& tasks = occurrence.m_steps[step].m_tasks;
        const auto found = std::find_if(tasks.begin(), tasks.end(), [](const Task& task) {
          return task.m_phase == TaskPhase::kDone;
        });
        if (found == tasks.end() || occurrence.m_steps[step].m_left == 0) continue;
        done.emplace_back(TaskRef{.m_job = id, .m_occurrence = number, .m_step = step},
                          found->m_run);
      }
    }
  }
  for (const auto& [ref, run] : done) FinishGang(state, state.m_jobs.at(ref.m_job), ref, run);
}

std::optional<JobCallReply> OnCall(Coordinator& state, const Time now, const JobCall& call) {
  Job* const job = FindJob(state, call.m_job.m_id);
  switch (call.m_kind) {
    case JobCallKind::kSubmit: {
      if (job != nullptr) {
        if (!job->m_submitted) SubmitCancelled(state, *job, call.m_job);
        return Resume(state, call);
      }
      if (state.m_jobs.size() >= state.m_options.m_max_jobs) {
        ++state.m_counters.m_refused;
        return Refused(kFullRetryAfter, kFullReason);
      }
      ++state.m_counters.m_submitted;
      auto& added = state.m_jobs[call.m_job.m_id];
      added.m_spec = call.m_job;
      added.m_accepted = added.m_last_ran = now;
      ComputeChains(added);
      state.m_open_jobs.insert(call.m_job.m_id);
      if (added.m_spec.m_times == 0) {
        OpenOccurrence(added, 0);
        added.m_next_occurrence = 1;
      }
      state.m_unwritten_jobs.insert(call.m_job.m_id);
      LogDecision(state, "job submitted", {.m_job = call.m_job.m_id}, 0, {}, Describe(call.m_job));
      return std::nullopt;
    }
    case JobCallKind::kCancel:
      if (job == nullptr) {
        if (state.m_jobs.size() >= state.m_options.m_max_jobs) {
          return Refused(kFullRetryAfter, kFullReason);
        }
        AddEarlyCancel(state, call.m_job.m_id);
        return std::nullopt;
      }
      if (!job->m_closed) {
        job->m_cancelled = true;
        Close(state, *job, JobPhase::kCancelled);
        StopJob(state, *job, "job cancelled");
        LogDecision(state, "job cancelled", {.m_job = call.m_job.m_id}, 0, {}, "caller asked");
      }
      return Resume(state, call);
    case JobCallKind::kState:
    case JobCallKind::kPending:
      return Resume(state, call);
  }
  return JobCallReply{.m_status = JobCallStatus::kNoSuchJob};
}

std::optional<JobCallReply> Resume(const Coordinator& state, const JobCall& call) {
  if (call.m_kind == JobCallKind::kPending) {
    return JobCallReply{.m_status = JobCallStatus::kOk,
                        .m_pending = CountPending(state, call.m_job.m_policy.m_queue)};
  }
  const auto found = state.m_jobs.find(call.m_job.m_id);
  if (found == state.m_jobs.end()) return JobCallReply{.m_status = JobCallStatus::kNoSuchJob};
  const Job& job = found->second;
  if (!job.m_submitted && call.m_kind == JobCallKind::kCancel) {
    if (job.m_recorded_phase == JobPhase::kQueued) return std::nullopt;
    return JobCallReply{.m_status = JobCallStatus::kNoSuchJob};
  }
  if (!job.m_recorded) {
    // No caller was told that the job is accepted, so its state need not wait for the store.
    if (call.m_kind == JobCallKind::kState) {
      return JobCallReply{.m_status = JobCallStatus::kNoSuchJob};
    }
    return std::nullopt;
  }
  if (call.m_kind == JobCallKind::kCancel && job.m_recorded_phase == JobPhase::kQueued)
    return std::nullopt;
  return StateOf(job);
}

}  // namespace ebonypin::core::fleet
