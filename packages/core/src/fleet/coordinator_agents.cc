#include <algorithm>
#include <limits>
#include <utility>

#include "coordinator_internal.h"

namespace ebonypin::core::fleet {
namespace {

PlacedRun MakePlacedRun(const Coordinator& state, const TaskRef& ref) {
  const auto& spec = state.m_jobs.at(ref.m_job).m_spec.m_steps[ref.m_step];
  return {.m_size = spec.m_size,
          .m_fills = spec.m_fills,
          .m_serving = spec.m_latency_target > Duration{},
          .m_image = spec.m_image,
          .m_latency_target = spec.m_latency_target};
}

void Count(Agent& agent, const PlacedRun& run, const int sign) {
  Resources size = run.m_size;
  if (run.m_fills) {
    agent.m_filling_cpu_millis += sign * size.m_cpu_millis;
    size.m_cpu_millis = 0;
  }
  agent.m_used = sign > 0 ? agent.m_used + size : agent.m_used - size;
  if (run.m_suspect) agent.m_suspects += static_cast<std::size_t>(sign);
  if (!run.m_serving) return;
  agent.m_serving += static_cast<std::size_t>(sign);
  agent.m_serving_cpu_millis += sign * run.m_size.m_cpu_millis;
}

Order& AddOrder(Agent& agent) {
  agent.m_orders.push_back({.m_number = agent.m_next_order++});
  return agent.m_orders.back();
}

/// Returns whether an order about the task has not been confirmed.
[[nodiscard]] bool HasOrder(const Agent& agent, const TaskRef& ref) noexcept {
  return std::any_of(agent.m_orders.begin(), agent.m_orders.end(),
                     [&](const Order& order) { return order.m_start.m_task == ref; });
}

/// Sends the start order of a run that an earlier agent started. Without its target and image a
/// serving run would not be protected from filling runs.
void DescribeRun(Agent& agent, const Job& job, const TaskRef& ref, const Task& task) {
  if (HasOrder(agent, ref)) return;
  Order& order = AddOrder(agent);
  order.m_kind = OrderKind::kDescribe;
  order.m_start = OrderFor(job, ref, task);
}

/// Offers a new session. It begins with the first report that names it: a report of the former
/// session, or without a session, may have been delayed for seconds and says nothing about the
/// orders taken since.
std::uint64_t OfferSession(Coordinator& state, Agent& agent) {
  agent.m_offered = (state.m_epoch << 24U) | state.m_next_session++;
  return agent.m_offered;
}

/// Begins the offered session. Orders of the former session are void, because the agent has lost
/// it.
void BeginSession(Coordinator& state, Agent& agent) {
  agent.m_session = std::exchange(agent.m_offered, 0);
  ++state.m_workers_added;
  agent.m_next_order = 1;
  agent.m_orders.clear();
  agent.m_waiting_order = 0;
  for (const auto& [ref, placed] : agent.m_placed_runs) {
    if (Task* const task = FindTask(state, ref)) {
      task->m_order = 0;
      task->m_stopping = false;
    }
    agent.m_placed_runs.at(ref).m_stopping = false;
  }
}

/// Orders the stop of a listed run again if the agent has taken the order and goes on listing the
/// run, which it may have begun to track after it had taken the order.
void RepeatStop(Coordinator& state, const Time now, Agent& agent, const TaskRef& ref, Task& task) {
  if (!task.m_stopping || HasOrder(agent, ref)) return;
  if (task.m_stop_taken == Time{}) task.m_stop_taken = now;
  if (now - task.m_stop_taken < state.m_options.m_stop_repeat) return;
  task.m_stopping = false;
  OrderStop(state, ref, task, "its agent has taken a stop and still lists the run");
}

/// Updates since when a filling task has been slow, from the processors that it uses.
void UpdateSlowSince(const Coordinator& state, const Time now, const RunStatus& run,
                     const StepSpec& spec, Task& task) {
  const double full = static_cast<double>(spec.m_size.m_cpu_millis);
  if (!spec.m_fills || run.m_figure >= state.m_options.m_slow_share * full) {
    task.m_slow_since = {};
  } else if (task.m_slow_since == Time{}) {
    task.m_slow_since = now;
  }
}

/// Returns whether a report names another life of the worker than the one known. A worker that
/// comes back under its id needs a new member record: a successor may have dropped the member
/// because the platform did not list the worker meanwhile.
bool IsOtherLife(const WorkerInfo& known, const WorkerInfo& reported) noexcept {
  if (known.m_id != reported.m_id) return true;
  return known.m_born != 0 && known.m_born != reported.m_born;  // Zero: restored from a record.
}

/// Opens the occurrences that the report names and that are not due yet by this clock. The former
/// coordinator, whose clock was ahead, has started them: otherwise their runs would be stopped and
/// their ends dropped as unknown, and their tasks started again.
void OpenReported(Coordinator& state, const AgentReport& report) {
  const auto open = [&](const TaskRef& task) {
    Job* const job = FindJob(state, task.m_job);
    if (job == nullptr || job->m_closed || task.m_occurrence >= job->m_spec.m_times) return;
    OpenOccurrence(*job, task.m_occurrence);
  };
  for (const auto& run : report.m_runs) open(run.m_task);
  for (const auto& end : report.m_ends) open(end.m_task);
  for (const auto& crash : report.m_crashed) open(crash.m_task);
}

/// Handles a listed run: adopts it, updates its progress, or stops it when it is a stray run.
void OnRun(Coordinator& state, const Time now, Agent& agent, const RunStatus& run) {
  Job* const job = FindJob(state, run.m_task.m_job);
  Task* const task = FindTask(state, run.m_task);
  if (task == nullptr || task->m_phase == TaskPhase::kDone) {
    return StopStrayRun(state, agent, run, "its task is done or not known");
  }
  if (task->m_phase == TaskPhase::kWaiting && run.m_run >= task->m_run && !job->m_closed) {
    task->m_run = run.m_run;
    task->m_agent = agent.m_id;
    task->m_placed = now;
    task->m_progressed = now;
    task->m_order = 0;
    AddPlacedRun(state, agent, run.m_task, *task);
    LogDecision(state, "run adopted", run.m_task, run.m_run, agent.m_id, "listed by its agent");
  }
  if (task->m_phase != TaskPhase::kPlaced || task->m_agent != agent.m_id ||
      task->m_run != run.m_run) {
    return StopStrayRun(state, agent, run, "another run of the task is current");
  }
  job->m_begun = true;
  if (run.m_percent != task->m_percent) {
    task->m_percent = run.m_percent;
    task->m_progressed = now;
  }
  if (!run.m_checkpoint.empty()) task->m_checkpoint = run.m_checkpoint;
  const bool works = agent.m_worker.m_reachable && (run.m_percent > 0 || run.m_figure > 0.0);
  if (works && now - task->m_placed >= state.m_options.m_crash_probation) {
    ClearSuspicion(state, run.m_task, *task);
  }
  UpdateSlowSince(state, now, run, job->m_spec.m_steps[run.m_task.m_step], *task);
  if (!run.m_order_known) DescribeRun(agent, *job, run.m_task, *task);
  if (job->m_closed) OrderStop(state, run.m_task, *task, "its job is closed");
  RepeatStop(state, now, agent, run.m_task, *task);
}

/// Removes the placed runs that the agent would have listed if they were running.
void EndMissing(Coordinator& state, const Time now, Agent& agent, const AgentReport& report,
                const bool new_session) {
  const auto by_task = [](const RunStatus* a, const RunStatus* b) { return a->m_task < b->m_task; };
  std::vector<const RunStatus*> listed;
  listed.reserve(report.m_runs.size());
  for (const auto& run : report.m_runs) listed.push_back(&run);
  std::sort(listed.begin(), listed.end(), by_task);
  const auto lists = [&](const TaskRef& ref, const RunNumber run) {
    const RunStatus wanted{.m_task = ref};
    const auto range = std::equal_range(listed.begin(), listed.end(), &wanted, by_task);
    return std::any_of(range.first, range.second,
                       [run](const RunStatus* status) { return status->m_run == run; });
  };
  std::vector<TaskRef> missing;
  for (const auto& [ref, placed] : agent.m_placed_runs) {
    const Task* const task = FindTask(state, ref);
    if (task != nullptr && lists(ref, task->m_run)) continue;
    if (task == nullptr || new_session || task->m_order <= report.m_last_order) {
      missing.push_back(ref);
    }
  }
  for (const auto& ref : missing) {
    Task* const task = FindTask(state, ref);
    if (task != nullptr) {
      OnLost(state, now, ref, *task, "its agent does not list it");
      continue;
    }
    const auto placed = agent.m_placed_runs.find(ref);
    Count(agent, placed->second, -1);
    agent.m_placed_runs.erase(placed);
  }
}

void OnEnds(Coordinator& state, const Time now, Agent& agent, const AgentReport& report) {
  if (agent.m_ends_born != report.m_worker.m_born) {
    agent.m_ends_born = report.m_worker.m_born;
    agent.m_ends_seen = agent.m_ends_taken = agent.m_ends_recorded = 0;
  }
  for (const auto& end : report.m_ends) {
    OnEnd(state, now, agent, end);
    agent.m_ends_seen = std::max(agent.m_ends_seen, end.m_number);
  }
}

}  // namespace

void AddPlacedRun(Coordinator& state, Agent& agent, const TaskRef& ref, Task& task) {
  task.m_phase = TaskPhase::kPlaced;
  task.m_stopping = false;
  task.m_slow_since = {};
  auto run = MakePlacedRun(state, ref);
  run.m_suspect = task.m_suspect;
  Count(agent, run, 1);
  agent.m_placed_runs.emplace(ref, run);
}

void RemovePlacedRun(Coordinator& state, const TaskRef& ref, Task& task) {
  task.m_phase = TaskPhase::kWaiting;
  task.m_stopping = false;
  task.m_percent = 0;
  const auto agent = state.m_agents.find(task.m_agent);
  if (agent == state.m_agents.end()) return;
  const auto placed = agent->second.m_placed_runs.find(ref);
  if (placed == agent->second.m_placed_runs.end()) return;
  Count(agent->second, placed->second, -1);
  agent->second.m_placed_runs.erase(placed);
}

StartOrder OrderFor(const Job& job, const TaskRef& ref, const Task& task) {
  const StepSpec& spec = job.m_spec.m_steps[ref.m_step];
  return {.m_task = ref,
          .m_run = task.m_run,
          .m_payload = job.m_spec.m_payload,
          .m_checkpoint = task.m_checkpoint,
          .m_latency_target = spec.m_latency_target,
          .m_fills = spec.m_fills,
          .m_image = spec.m_image,
          .m_cpu_millis = spec.m_size.m_cpu_millis};
}

void OrderStop(Coordinator& state, const TaskRef& ref, Task& task, std::string reason) {
  if (task.m_stopping) return;
  Agent& agent = state.m_agents.at(task.m_agent);
  task.m_stopping = true;
  task.m_stop_taken = {};
  if (const auto placed = agent.m_placed_runs.find(ref); placed != agent.m_placed_runs.end()) {
    placed->second.m_stopping = true;
  }
  ++state.m_counters.m_stops;
  Order& order = AddOrder(agent);
  order.m_kind = OrderKind::kStop;
  order.m_start.m_task = ref;
  order.m_start.m_run = task.m_run;
  LogDecision(state, "run stopped", ref, task.m_run, task.m_agent, std::move(reason));
}

void StopStrayRun(Coordinator& state, Agent& agent, const RunStatus& run, std::string reason) {
  AddStray(state, agent, run.m_task, 0);
  const bool ordered =
      std::any_of(agent.m_orders.begin(), agent.m_orders.end(), [&](const Order& order) {
        return order.m_kind == OrderKind::kStop && order.m_start.m_task == run.m_task &&
               order.m_start.m_run == run.m_run;
      });
  if (ordered || agent.m_session == 0) return;
  Order& order = AddOrder(agent);
  order.m_kind = OrderKind::kStop;
  order.m_start.m_task = run.m_task;
  order.m_start.m_run = run.m_run;
  LogDecision(state, "stray run stopped", run.m_task, run.m_run, agent.m_id, std::move(reason));
}

void AddStray(Coordinator& state, Agent& agent, const TaskRef& ref, const std::uint64_t order) {
  agent.m_strays.push_back({.m_task = ref, .m_order = order});
  ++state.m_strays[ref];
}

void DropStrays(Coordinator& state, Agent& agent, const std::uint64_t last_order) {
  std::erase_if(agent.m_strays, [&](const StrayRun& run) {
    if (run.m_order > last_order) return false;
    const auto found = state.m_strays.find(run.m_task);
    if (--found->second == 0) state.m_strays.erase(found);
    return true;
  });
}

void DropStrays(Coordinator& state, Agent& agent) {
  DropStrays(state, agent, std::numeric_limits<std::uint64_t>::max());
}

AgentReportReply OnReport(Coordinator& state, const Time now, const AgentReport& report) {
  AgentReportReply reply{
      .m_accepted = true, .m_epoch = state.m_epoch, .m_coordinator = state.m_rpc_address};
  Agent& agent = state.m_agents[report.m_agent];
  agent.m_id = report.m_agent;
  if (agent.m_rpc_address.empty()) agent.m_rpc_address = report.m_rpc_address;
  if (!report.m_runs_known) return reply;
  const bool in_session = agent.m_session != 0 && report.m_session == agent.m_session;
  const bool new_session = agent.m_offered != 0 && report.m_session == agent.m_offered;
  if (!in_session && !new_session) {
    reply.m_session = OfferSession(state, agent);
    return reply;
  }
  if (in_session && report.m_number <= agent.m_last_report) {
    // Overtaken by a newer report: runs that this one does not list may have been started since.
    reply.m_session = agent.m_session;
    return reply;
  }
  agent.m_last_report = report.m_number;
  if (agent.m_rpc_address != report.m_rpc_address || IsOtherLife(agent.m_worker, report.m_worker)) {
    agent.m_recorded = false;
    agent.m_record_request = 0;
  }
  agent.m_rpc_address = report.m_rpc_address;
  agent.m_worker = report.m_worker;
  agent.m_evacuated = state.m_evacuated_domains.count(agent.m_worker.m_domain) > 0;
  // A member recorded in an earlier epoch may have runs, so its report counts before a new record
  // is written. A new member has no runs.
  if (report.m_ends_complete) state.m_silent_members.erase(report.m_agent);
  if (!agent.m_recorded) {
    if (agent.m_record_request == 0) {
      agent.m_record_request = ++state.m_record_requests;
      state.m_unwritten_members.insert(agent.m_id);
    }
  }
  if (new_session) {
    BeginSession(state, agent);
    DropStrays(state, agent);
  }
  // The reply to a call with orders may be lost, or come too late at every attempt.
  OnOrdersTaken(state, agent.m_id, agent.m_session, report.m_last_order);
  OpenReported(state, report);
  OnEnds(state, now, agent, report);
  OnCrashes(state, agent, report);
  DropStrays(state, agent, report.m_last_order);
  for (const auto& run : report.m_runs) OnRun(state, now, agent, run);
  if (report.m_ends_complete) EndMissing(state, now, agent, report, new_session);
  agent.m_filling_idle_millis = IdleFillingCpu(state, now, agent, report);
  reply.m_pairs = Learn(state, now, agent, report);
  agent.m_granted = now;
  reply.m_session = agent.m_session;
  // Without a member record a succeeding coordinator would not wait for this agent's runs.
  if (agent.m_recorded) reply.m_grant = state.m_options.m_grant;
  reply.m_recorded_end = agent.m_ends_recorded;
  reply.m_worker_born = agent.m_ends_born;
  reply.m_recorded_crash = agent.m_crash_recorded;
  return reply;
}

std::vector<Order> NextOrders(const Coordinator& state, const Agent& agent) {
  std::vector<Order> orders;
  std::size_t bytes = 0;
  for (const auto& order : agent.m_orders) {
    bytes += TextBytes(order);
    const bool full = orders.size() >= state.m_options.m_max_orders_sent ||
                      bytes > state.m_options.m_max_order_bytes;
    if (full && !orders.empty()) break;
    orders.push_back(order);
  }
  return orders;
}

void OnOrdersTaken(Coordinator& state, const AgentId& agent, const std::uint64_t session,
                   const std::uint64_t last_order) {
  const auto found = state.m_agents.find(agent);
  if (found == state.m_agents.end() || found->second.m_session != session) return;
  auto& orders = found->second.m_orders;
  while (!orders.empty() && orders.front().m_number <= last_order) orders.pop_front();
}

void Restore(Coordinator& state, const MemberRecord& member) {
  state.m_silent_members[member.m_agent] = {.m_rpc_address = member.m_rpc_address,
                                            .m_worker = member.m_worker};
  Agent& agent = state.m_agents[member.m_agent];
  agent.m_id = member.m_agent;
  agent.m_rpc_address = member.m_rpc_address;
  agent.m_worker.m_id = member.m_worker;
  agent.m_recorded = true;
}

void Restore(Coordinator& state, const Time now, const ImagePairsRecord& pairs) {
  Adopt(state.m_pairs, pairs.m_pairs, now);
}

void Restore(Coordinator& state, const SettledRecord& settled) {
  if (settled.m_epoch >= state.m_epoch) {
    return LogFailure(state, "stored record ignored", {}, 0, {},
                      "it names a later epoch as settled; check what else writes to the topic");
  }
  state.m_settled_epoch = settled.m_epoch;
}

void FinishRestore(Coordinator& state, const Time now, const SilentWait& wait) {
  state.m_silent_wait = wait;
  state.m_restored_at = now;
  CompleteGangs(state);
  for (auto& [id, job] : state.m_jobs) job.m_accepted = job.m_last_ran = now;
}

Duration EarlierGrantsLeft(const Coordinator& state, const Time now) noexcept {
  if (state.m_silent_members.empty()) return {};
  return std::max(state.m_silent_wait.m_until - now, Duration{});
}

}  // namespace ebonypin::core::fleet
