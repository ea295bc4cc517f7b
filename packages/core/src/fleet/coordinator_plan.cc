#include <algorithm>
#include <utility>

#include "coordinator_internal.h"
#include "ebonypin/core/fleet/worker_choice.h"

namespace ebonypin::core::fleet {
namespace {

/// Step with waiting tasks whose preceding steps are done.
struct ReadyStep {
  Job* m_job = nullptr;
  std::uint32_t m_occurrence = 0;
  std::uint32_t m_step = 0;
  std::uint32_t m_priority = 0;
  bool m_late = false;  ///< The job misses its objective in any case.
  Time m_latest_start;  ///< Latest start that meets the objective.
};

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
  const auto* const ticket = FindTicket(need.m_step, agent.m_worker);
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

void StartTasks(Coordinator& state, const Time now, const ReadyStep& ready) {
  Job& job = *ready.m_job;
  StepState& step = job.m_occurrences.at(ready.m_occurrence).m_steps[ready.m_step];
  const StepSpec& spec = job.m_spec.m_steps[ready.m_step];
  std::vector<PlacedTasks> placed;
  for (std::uint32_t i = 0; i < step.m_tasks.size(); ++i) {
    Task& task = step.m_tasks[i];
    if (task.m_phase != TaskPhase::kWaiting || task.m_not_before > now) continue;
    const TaskRef ref{.m_job = job.m_spec.m_id,
                      .m_occurrence = ready.m_occurrence,
                      .m_step = ready.m_step,
                      .m_index = i};
    if (state.m_strays.count(ref) > 0) continue;
    if (FailIfGivenUp(state, job, ref, task)) break;
    const TaskNeed need{.m_state = state,
                        .m_job = job,
                        .m_spec = spec,
                        .m_step = step,
                        .m_ref = ref,
                        .m_task = task};
    PassedOver passed_over;
    Agent* const agent = ChooseWorker(state, need, now, passed_over);
    if (agent == nullptr) {
      LogWaiting(state, step, ref, passed_over);
      if (spec.m_fills) {
        step.m_blocked_until = now + state.m_options.m_blocked_delay;
        step.m_blocked_at = state.m_workers_added;
      }
      // The tasks of a step are alike, so the others find no worker either. A task that has failed
      // before may differ, because it may have failed on the only workers with room, and a suspect
      // is kept apart from other suspects.
      if (task.m_failed_on.empty() && !task.m_suspect) break;
      continue;
    }
    Start(state, now, *agent, need, job, task, NextRun(state, task.m_run));
    AddPlaced(placed, i, task.m_run, *agent);
    step.m_waits = false;
    job.m_last_ran = now;
  }
  LogPlaced(state,
            {.m_job = job.m_spec.m_id, .m_occurrence = ready.m_occurrence, .m_step = ready.m_step},
            placed);
}

/// Starts all members of a gang or none, because some members would wait for the others in vain.
void StartGang(Coordinator& state, const Time now, const ReadyStep& ready) {
  Job& job = *ready.m_job;
  StepState& step = job.m_occurrences.at(ready.m_occurrence).m_steps[ready.m_step];
  const StepSpec& spec = job.m_spec.m_steps[ready.m_step];
  RunNumber last = 0;
  std::string checkpoint;
  const auto ref_of = [&](const std::uint32_t i) {
    return TaskRef{.m_job = job.m_spec.m_id,
                   .m_occurrence = ready.m_occurrence,
                   .m_step = ready.m_step,
                   .m_index = i};
  };
  for (std::uint32_t i = 0; i < step.m_tasks.size(); ++i) {
    const Task& task = step.m_tasks[i];
    if (task.m_phase != TaskPhase::kWaiting || task.m_not_before > now) return;
    if (state.m_strays.count(ref_of(i)) > 0) return;
    if (FailIfGivenUp(state, job, ref_of(i), task)) return;
    last = std::max(last, task.m_run);
    // The checkpoint of any member is valid for all members, and they must start from the same one.
    if (!task.m_checkpoint.empty()) checkpoint = task.m_checkpoint;
  }
  std::vector<std::pair<Agent*, TaskRef>> reserved;
  const auto need_of = [&](const std::uint32_t i) {
    return TaskNeed{.m_state = state,
                    .m_job = job,
                    .m_spec = spec,
                    .m_step = step,
                    .m_ref = ref_of(i),
                    .m_task = step.m_tasks[i]};
  };
  // Reserve room for each member first, so that each choice takes account of the previous ones.
  for (std::uint32_t i = 0; i < step.m_tasks.size(); ++i) {
    PassedOver passed_over;
    Agent* const agent = ChooseWorker(state, need_of(i), now, passed_over);
    if (agent == nullptr) {
      LogWaiting(state, step, ref_of(i), passed_over);
      break;
    }
    step.m_tasks[i].m_agent = agent->m_id;
    AddPlacedRun(state, *agent, ref_of(i), step.m_tasks[i]);
    reserved.emplace_back(agent, ref_of(i));
  }
  const bool complete = reserved.size() == step.m_tasks.size();
  for (const auto& [agent, ref] : reserved) RemovePlacedRun(state, ref, step.m_tasks[ref.m_index]);
  if (!complete) return;
  const RunNumber run = NextRun(state, last);
  std::vector<PlacedTasks> placed;
  for (const auto& [agent, ref] : reserved) {
    step.m_tasks[ref.m_index].m_checkpoint = checkpoint;
    Start(state, now, *agent, need_of(ref.m_index), job, step.m_tasks[ref.m_index], run);
    AddPlaced(placed, ref.m_index, run, *agent);
  }
  LogPlaced(state, ref_of(0), placed);
  job.m_last_ran = now;
}

/// Returns the workers to ask the advice service about next: workers with room first, without those
/// already asked about. Empty while there is a ticket for a worker with room.
std::vector<const WorkerInfo*> NextToAdvise(const Coordinator& state, const TaskNeed& need) {
  constexpr std::size_t kMaxWorkersPerRequest = 100;  // Limit of the advice service.
  std::vector<const WorkerInfo*> with_room;
  std::vector<const WorkerInfo*> full;
  for (const auto& [id, agent] : state.m_agents) {
    if (!IsEligible(need, agent)) continue;
    const bool has_room = HasCapacity(need, agent);
    if (FindTicket(need.m_step, agent.m_worker) != nullptr) {
      if (has_room) return {};
    } else if (!IsAdvised(need.m_step, agent.m_worker)) {
      (has_room ? with_room : full).push_back(&agent.m_worker);
    }
  }
  // After the first answer another call is only worth its cost for workers with room.
  if (need.m_step.m_advised.empty()) with_room.insert(with_room.end(), full.begin(), full.end());
  if (with_room.size() > kMaxWorkersPerRequest) with_room.resize(kMaxWorkersPerRequest);
  return with_room;
}

/// Returns whether the step has valid tickets or needs none. Requests advice when it has no ticket
/// for a worker with room.
bool HasAdvice(Coordinator& state, const Time now, const ReadyStep& ready) {
  Job& job = *ready.m_job;
  if (!job.m_spec.m_policy.m_advised) return true;
  StepState& step = job.m_occurrences.at(ready.m_occurrence).m_steps[ready.m_step];
  const bool valid = now < step.m_advice_until;
  if (step.m_advice_asked && now - step.m_advice_asked_at < state.m_options.m_advice_retry) {
    return valid;
  }
  if (!valid) {
    step.m_tickets.clear();
    step.m_advised.clear();
  }
  AdviceRequest request{.m_step = {.m_job = job.m_spec.m_id,
                                   .m_occurrence = ready.m_occurrence,
                                   .m_step = ready.m_step}};
  const TaskNeed need{.m_state = state,
                      .m_job = job,
                      .m_spec = job.m_spec.m_steps[ready.m_step],
                      .m_step = step,
                      .m_ref = request.m_step,
                      .m_task = step.m_tasks.front()};
  const auto workers = NextToAdvise(state, need);
  if (workers.empty()) return valid;
  for (const auto* const worker : workers) {
    request.m_workers.push_back(worker->m_id);
    step.m_advised[worker->m_id] = worker->m_born;
    // A ticket that is left is for a former life of the worker.
    step.m_tickets.erase(worker->m_id);
  }
  step.m_advice_asked = true;
  step.m_advice_asked_at = now;
  state.m_advice_requests.push_back(std::move(request));
  return valid;
}

}  // namespace

void OnAdvice(Coordinator& state, const TaskRef& step, std::map<WorkerId, std::string> tickets,
              const Time until) {
  Job* const job = FindJob(state, step.m_job);
  if (job == nullptr) return;
  const auto occurrence = job->m_occurrences.find(step.m_occurrence);
  if (occurrence == job->m_occurrences.end()) return;
  StepState& found = occurrence->second.m_steps[step.m_step];
  found.m_advice_asked = false;
  // Tickets of an earlier answer expire first, and all tickets are renewed at that time.
  found.m_advice_until = found.m_tickets.empty() ? until : std::min(found.m_advice_until, until);
  for (auto& [worker, ticket] : tickets) found.m_tickets[worker] = std::move(ticket);
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
    if (step.m_job->m_closed) continue;
    if (!HasAdvice(state, now, step)) continue;
    if (step.m_job->m_spec.m_steps[step.m_step].m_gang) {
      StartGang(state, now, step);
    } else {
      StartTasks(state, now, step);
    }
  }
}

}  // namespace ebonypin::core::fleet
