#include <algorithm>
#include <utility>

#include "coordinator_internal.h"

namespace ebonypin::core::fleet {
namespace {

/// Returns the estimated time of the longest chain of steps that starts with `first`.
Duration ChainFrom(const JobSpec& spec, const std::uint32_t first) {
  std::vector<Duration> until(spec.m_steps.size());
  Duration longest{};
  for (std::size_t step = first; step < spec.m_steps.size(); ++step) {
    const auto& steps = spec.m_steps[step];
    bool follows = step == first;
    Duration before{};
    for (const auto earlier : steps.m_after) {
      if (earlier < first || until[earlier] == Duration{}) continue;
      follows = true;
      before = std::max(before, until[earlier]);
    }
    if (!follows) continue;
    until[step] = before + std::max(steps.m_estimate, Duration{1});
    longest = std::max(longest, until[step]);
  }
  return longest;
}

Duration LongestChain(const JobSpec& spec) {
  Duration longest{};
  for (std::uint32_t step = 0; step < spec.m_steps.size(); ++step) {
    if (spec.m_steps[step].m_after.empty()) longest = std::max(longest, ChainFrom(spec, step));
  }
  return longest;
}

bool IsStepReady(const JobSpec& spec, const Occurrence& occurrence, const std::uint32_t step) {
  const auto& after = spec.m_steps[step].m_after;
  return std::all_of(after.begin(), after.end(), [&](const std::uint32_t earlier) {
    return occurrence.m_steps[earlier].m_left == 0;
  });
}

/// Opens the occurrences of scheduled jobs that have become due. The tasks of all open occurrences
/// are limited, because each takes memory and a place in the record of the job's progress.
void OpenDue(Job& job, const WallMillis wall) {
  std::size_t tasks = 0;
  for (const auto& step : job.m_spec.m_steps) tasks += step.m_count;
  while (job.m_next_occurrence < job.m_spec.m_times &&
         (job.m_occurrences.size() + 1) * tasks <= kMaxTasksPerJob &&
         job.m_spec.m_first_due + job.m_next_occurrence * job.m_spec.m_interval_ms <= wall) {
    OpenOccurrence(job, job.m_next_occurrence++);
  }
}

void AddReady(std::vector<ReadyStep>& ready, Job& job, const Time now,
              const std::uint64_t workers_added) {
  for (auto& [number, occurrence] : job.m_occurrences) {
    for (std::uint32_t step = 0; step < occurrence.m_steps.size(); ++step) {
      if (occurrence.m_steps[step].m_left == 0) continue;
      const auto& tasks = occurrence.m_steps[step].m_tasks;
      const bool runs = std::any_of(tasks.begin(), tasks.end(), [](const Task& task) {
        return task.m_phase == TaskPhase::kPlaced;
      });
      if (runs) job.m_last_ran = now;
      const bool waits = std::any_of(tasks.begin(), tasks.end(), [now](const Task& task) {
        return task.m_phase == TaskPhase::kWaiting && task.m_not_before <= now;
      });
      if (!waits || !IsStepReady(job.m_spec, occurrence, step)) continue;
      StepState& state_of_step = occurrence.m_steps[step];
      if (state_of_step.m_ready == Time{}) state_of_step.m_ready = now;
      if (state_of_step.m_blocked_until > now && state_of_step.m_blocked_at == workers_added) {
        continue;
      }
      const Duration remaining = job.m_remaining_chains[step];
      const Time due = job.m_accepted + job.m_objective;
      ready.push_back({.m_job = &job,
                       .m_occurrence = number,
                       .m_step = step,
                       .m_priority = job.m_spec.m_policy.m_priority,
                       .m_late = !job.m_spec.m_steps[step].m_long_running &&
                                 job.m_spec.m_times == 0 && now + remaining > due,
                       .m_latest_start = due - remaining});
    }
  }
}

bool ComesBefore(const ReadyStep& a, const ReadyStep& b) {
  if (a.m_priority != b.m_priority) return a.m_priority < b.m_priority;
  if (a.m_late != b.m_late) return b.m_late;
  return a.m_latest_start < b.m_latest_start;
}

void Start(Coordinator& state, const Time now, Agent& agent, const TaskNeed& need, Job& job,
           Task& task, const RunNumber run) {
  auto& timing = job.m_timing;
  if (timing.m_first_start == Time{}) timing.m_first_start = now;
  timing.m_waited += now - std::max(need.m_step.m_ready, task.m_waits_since);
  ++timing.m_runs;
  task.m_run = run;
  task.m_agent = agent.m_id;
  task.m_placed = task.m_progressed = agent.m_last_start = now;
  Order order{.m_number = agent.m_next_order++};
  order.m_start = OrderFor(need.m_job, need.m_ref, task);
  const auto* const ticket = FindTicket(need.m_step, agent.m_worker, now);
  if (ticket != nullptr) order.m_start.m_ticket = *ticket;
  task.m_order = order.m_number;
  agent.m_orders.push_back(std::move(order));
  AddPlacedRun(state, agent, need.m_ref, task);
  ++state.m_counters.m_starts;
}

/// Tasks of a step with consecutive indices that were placed on one worker, for the log.
struct PlacedTasks {
  std::uint32_t m_first = 0;
  std::uint32_t m_last = 0;
  RunNumber m_run = 0;
  const Agent* m_agent = nullptr;
};

void AddPlaced(std::vector<PlacedTasks>& placed, const std::uint32_t index, const RunNumber run,
               const Agent& agent) {
  if (!placed.empty() && placed.back().m_last + 1 == index && placed.back().m_run == run &&
      placed.back().m_agent == &agent) {
    placed.back().m_last = index;
    return;
  }
  placed.push_back({.m_first = index, .m_last = index, .m_run = run, .m_agent = &agent});
}

/// Logs all tasks of a step that one plan placed as one decision. One line per task would be more
/// than the log accepts on a site of hundreds of workers.
void LogPlaced(Coordinator& state, TaskRef step, const std::vector<PlacedTasks>& placed) {
  if (placed.empty()) return;
  std::uint32_t count = 0;
  std::string where;
  for (const auto& tasks : placed) {
    count += tasks.m_last - tasks.m_first + 1;
    where += (where.empty() ? "" : ", ") + std::to_string(tasks.m_first);
    if (tasks.m_last > tasks.m_first) where += "-" + std::to_string(tasks.m_last);
    where += " run " + std::to_string(tasks.m_run) + " at " + tasks.m_agent->m_id.m_value +
             " (committed " + std::to_string(tasks.m_agent->m_used.m_cpu_millis) + " of " +
             std::to_string(tasks.m_agent->m_worker.m_capacity.m_cpu_millis) + ")";
  }
  const auto& first = placed.front();
  step.m_index = first.m_first;
  LogDecision(state, "runs placed", step, first.m_run, first.m_agent->m_id,
              std::to_string(count) + " tasks: " + where);
}

/// Logs that a step starts to wait for room, and why.
void LogWaiting(Coordinator& state, StepState& step, const TaskRef& ref,
                const PassedOver& passed_over) {
  if (std::exchange(step.m_waits, true)) return;
  const auto waiting =
      std::count_if(step.m_tasks.begin(), step.m_tasks.end(),
                    [](const Task& task) { return task.m_phase == TaskPhase::kWaiting; });
  LogDecision(state, "step waits", ref, 0, {},
              std::to_string(waiting) +
                  " tasks; workers passed over: " + std::to_string(passed_over.m_full) + " full, " +
                  std::to_string(passed_over.m_unadvised) + " without a ticket, " +
                  std::to_string(passed_over.m_small_share) + " with too small a share, " +
                  std::to_string(passed_over.m_on_probation) + " with a suspect, " +
                  std::to_string(passed_over.m_ineligible) + " not eligible");
}

/// Returns the next run number. Run numbers of an epoch are larger than those of all earlier
/// epochs, because an earlier coordinator may have used a number that no agent reports.
RunNumber NextRun(const Coordinator& state, const RunNumber last) {
  constexpr RunNumber kRunsPerEpoch = 4096;
  return std::max(last, (state.m_epoch - 1) * kRunsPerEpoch) + 1;
}

/// Returns whether the task waits for nothing but a worker.
bool MayStart(const Coordinator& state, const Time now, const TaskRef& ref, const Task& task) {
  return task.m_phase == TaskPhase::kWaiting && task.m_not_before <= now &&
         state.m_strays.count(ref) == 0;
}

/// Returns whether the other tasks of the step may find a worker where this one finds none. The
/// tasks of a step are alike, except for one that has failed before, perhaps on the only workers
/// with room, and for a suspect, which is kept apart from other suspects.
bool MayDiffer(const Task& task) noexcept { return !task.m_failed_on.empty() || task.m_suspect; }

void StartTasks(Coordinator& state, const Time now, const ReadyStep& ready) {
  Job& job = *ready.m_job;
  StepState& step = StepOf(ready);
  std::vector<PlacedTasks> placed;
  for (std::uint32_t i = 0; i < step.m_tasks.size(); ++i) {
    Task& task = step.m_tasks[i];
    const TaskRef ref = RefOf(ready, i);
    if (!MayStart(state, now, ref, task)) continue;
    if (FailIfGivenUp(state, job, ref, task)) break;
    const TaskNeed need = NeedOf(state, ready, i, TicketUse::kValid);
    PassedOver passed_over;
    Agent* const agent = ChooseWorker(state, need, now, passed_over);
    if (agent == nullptr) {
      LogWaiting(state, step, ref, passed_over);
      if (need.m_spec.m_fills) {
        step.m_blocked_until = now + state.m_options.m_blocked_delay;
        step.m_blocked_at = state.m_workers_added;
      }
      if (!MayDiffer(task)) break;
      continue;
    }
    Start(state, now, *agent, need, job, task, NextRun(state, task.m_run));
    AddPlaced(placed, i, task.m_run, *agent);
    step.m_waits = false;
    job.m_last_ran = now;
  }
  LogPlaced(state, RefOf(ready, 0), placed);
}

/// Returns a worker for each member of the gang, or nothing when there is none for one of them.
/// Each choice takes account of the previous ones.
std::vector<Agent*> ReserveGang(Coordinator& state, const Time now, const ReadyStep& ready,
                                const TicketUse tickets, PassedOver& passed_over) {
  StepState& step = StepOf(ready);
  std::vector<Agent*> reserved;
  for (std::uint32_t i = 0; i < step.m_tasks.size(); ++i) {
    Task& task = step.m_tasks[i];
    if (!MayStart(state, now, RefOf(ready, i), task)) break;
    passed_over = {};
    Agent* const agent = ChooseWorker(state, NeedOf(state, ready, i, tickets), now, passed_over);
    if (agent == nullptr) break;
    task.m_agent = agent->m_id;
    AddPlacedRun(state, *agent, RefOf(ready, i), task);
    reserved.push_back(agent);
  }
  for (std::uint32_t i = 0; i < reserved.size(); ++i) {
    RemovePlacedRun(state, RefOf(ready, i), step.m_tasks[i]);
  }
  if (reserved.size() < step.m_tasks.size()) reserved.clear();
  return reserved;
}

/// Starts all members of a gang or none, because some members would wait for the others in vain.
void StartGang(Coordinator& state, const Time now, const ReadyStep& ready) {
  Job& job = *ready.m_job;
  StepState& step = StepOf(ready);
  RunNumber last = 0;
  std::string checkpoint;
  for (std::uint32_t i = 0; i < step.m_tasks.size(); ++i) {
    const Task& task = step.m_tasks[i];
    if (!MayStart(state, now, RefOf(ready, i), task)) return;
    if (FailIfGivenUp(state, job, RefOf(ready, i), task)) return;
    last = std::max(last, task.m_run);
    // The checkpoint of any member is valid for all members, and they must start from the same one.
    if (!task.m_checkpoint.empty()) checkpoint = task.m_checkpoint;
  }
  PassedOver passed_over;
  const auto reserved = ReserveGang(state, now, ready, TicketUse::kValid, passed_over);
  if (reserved.empty()) return LogWaiting(state, step, RefOf(ready, 0), passed_over);
  const RunNumber run = NextRun(state, last);
  std::vector<PlacedTasks> placed;
  for (std::uint32_t i = 0; i < reserved.size(); ++i) {
    step.m_tasks[i].m_checkpoint = checkpoint;
    Start(state, now, *reserved[i], NeedOf(state, ready, i, TicketUse::kValid), job,
          step.m_tasks[i], run);
    AddPlaced(placed, i, run, *reserved[i]);
  }
  LogPlaced(state, RefOf(ready, 0), placed);
  job.m_last_ran = now;
}

}  // namespace

StepState& StepOf(const ReadyStep& ready) {
  return ready.m_job->m_occurrences.at(ready.m_occurrence).m_steps[ready.m_step];
}

TaskRef RefOf(const ReadyStep& ready, const std::uint32_t index) {
  return {.m_job = ready.m_job->m_spec.m_id,
          .m_occurrence = ready.m_occurrence,
          .m_step = ready.m_step,
          .m_index = index};
}

TaskNeed NeedOf(const Coordinator& state, const ReadyStep& ready, const std::uint32_t index,
                const TicketUse tickets) {
  const StepState& step = StepOf(ready);
  return {.m_state = state,
          .m_job = *ready.m_job,
          .m_spec = ready.m_job->m_spec.m_steps[ready.m_step],
          .m_step = step,
          .m_ref = RefOf(ready, index),
          .m_task = step.m_tasks[index],
          .m_tickets = tickets};
}

TaskNeed NeedToMove(const Coordinator& state, const TaskRef& ref) {
  const Job& job = state.m_jobs.at(ref.m_job);
  const StepState& step = job.m_occurrences.at(ref.m_occurrence).m_steps[ref.m_step];
  return {.m_state = state,
          .m_job = job,
          .m_spec = job.m_spec.m_steps[ref.m_step],
          .m_step = step,
          .m_ref = ref,
          .m_task = step.m_tasks[ref.m_index],
          .m_tickets = TicketUse::kAllowed};
}

bool CouldStart(Coordinator& state, const Time now, const ReadyStep& ready,
                const TicketUse tickets) {
  if (ready.m_job->m_spec.m_steps[ready.m_step].m_gang) {
    PassedOver passed_over;
    return !ReserveGang(state, now, ready, tickets, passed_over).empty();
  }
  const auto& tasks = StepOf(ready).m_tasks;
  for (std::uint32_t i = 0; i < tasks.size(); ++i) {
    const TaskRef ref = RefOf(ready, i);
    if (!MayStart(state, now, ref, tasks[i])) continue;
    PassedOver passed_over;
    if (ChooseWorker(state, NeedOf(state, ready, i, tickets), now, passed_over) != nullptr) {
      return true;
    }
    if (!MayDiffer(tasks[i])) return false;
  }
  return false;
}

void ComputeChains(Job& job) {
  const auto& policy = job.m_spec.m_policy;
  job.m_objective =
      std::chrono::duration_cast<Duration>(policy.m_stretch * LongestChain(job.m_spec)) +
      policy.m_objective;
  job.m_remaining_chains.clear();
  for (std::uint32_t step = 0; step < job.m_spec.m_steps.size(); ++step) {
    job.m_remaining_chains.push_back(ChainFrom(job.m_spec, step));
  }
}

void Plan(Coordinator& state, const Time now, const WallMillis wall) {
  std::vector<ReadyStep> ready;
  for (const auto& id : state.m_open_jobs) {
    Job& job = state.m_jobs.at(id);
    if (!job.m_recorded) continue;
    OpenDue(job, wall);
    // A task of an inherited job may be running at a member that has not reported yet.
    if (job.m_inherited && !state.m_silent_members.empty()) continue;
    AddReady(ready, job, now, state.m_workers_added);
  }
  std::stable_sort(ready.begin(), ready.end(), ComesBefore);
  const bool serves = std::any_of(ready.begin(), ready.end(), [](const ReadyStep& step) {
    return step.m_job->m_spec.m_steps[step.m_step].m_latency_target > Duration{};
  });
  if (serves) RefreshFillingRoom(state, now);
  for (const auto& step : ready) {
    if (step.m_job->m_closed || !HasTicket(step, now)) continue;
    if (step.m_job->m_spec.m_steps[step.m_step].m_gang) {
      StartGang(state, now, step);
    } else {
      StartTasks(state, now, step);
    }
  }
  RequestAdvice(state, now, ready);
}

}  // namespace ebonypin::core::fleet
