#include "ebonypin/core/fleet/worker_agent.h"

#include <algorithm>
#include <utility>

#include "worker_agent_internal.h"

namespace ebonypin::core::fleet {
namespace {

/// Adds the runs that were, or may have been, at work when the worker crashed at `crashed`.
void AddCrashedRuns(WorkerAgent& agent, const std::map<TaskRef, LocalRun>& runs,
                    const Time crashed) {
  for (const auto& [task, run] : runs) {
    if (run.m_started == Time{} || run.m_stopped) continue;
    agent.m_crashed.push_back({.m_born = agent.m_worker.m_born,
                               .m_task = task,
                               .m_run = run.m_order.m_run,
                               .m_age = std::max(crashed - run.m_started, Duration{})});
  }
}

/// Keeps the runs of a worker that has crashed. A worker that leaves as planned drains first.
void KeepCrashedRuns(WorkerAgent& agent, const Time now) {
  if (agent.m_worker.m_draining) return;
  const Time crashed = agent.m_worker.m_reachable ? now : agent.m_silent_since;
  AddCrashedRuns(agent, agent.m_runs, crashed);
  AddCrashedRuns(agent, agent.m_lapsed_runs, crashed);
  const std::size_t limit = agent.m_options.m_max_crashed_runs;
  if (agent.m_crashed.size() <= limit) return;
  agent.m_crashed.erase(agent.m_crashed.begin(),
                        agent.m_crashed.end() - static_cast<std::ptrdiff_t>(limit));
}

/// Discards the state of the worker's previous incarnation.
void BeginIncarnation(WorkerAgent& agent, const Time now) {
  KeepCrashedRuns(agent, now);
  agent.m_runs.clear();
  agent.m_unheld_stops.clear();
  agent.m_lapsed_runs.clear();
  agent.m_ends.clear();
  agent.m_recorded_end = agent.m_forgotten_end = 0;
  agent.m_runs_known = false;
  agent.m_ends_complete = true;
  agent.m_clock_at = {};
  agent.m_sequence = 0;
  agent.m_answered = false;
  agent.m_missed_since = {};
  // Orders of the session are meant for the life of the worker that the member record stands for.
  if (agent.m_session != 0) agent.m_former_session = std::exchange(agent.m_session, 0);
  // A delayed start for the previous incarnation has an older fence and is refused.
  ++agent.m_fence;
  agent.m_next_hold = now;
  agent.m_report_due = true;
}

Duration LeaseAt(const WorkerAgent& agent, const Time now) noexcept {
  return std::min(agent.m_options.m_lease, agent.m_granted_until - now);
}

/// Takes account of leases that are as long as the worker accepts.
void ExpectLongestLease(WorkerAgent& agent, const Time now) {
  const auto bound = now +
                     std::chrono::duration_cast<Duration>(agent.m_options.m_clock_error *
                                                          agent.m_options.m_longest_lease) +
                     agent.m_options.m_lease_slack;
  agent.m_leased_until = std::max(agent.m_leased_until, bound);
}

void ApplyStart(WorkerAgent& agent, const Time now, const StartOrder& order) {
  const auto found = agent.m_runs.find(order.m_task);
  if (found != agent.m_runs.end()) {
    return;
  }
  if (agent.m_worker.m_draining) return;
  agent.m_runs[order.m_task] = {
      .m_order = order, .m_next_call = now, .m_arrival = ++agent.m_arrivals};
}

/// Handles the start order of a run that an earlier agent started.
void ApplyDescription(WorkerAgent& agent, const StartOrder& order) {
  const auto found = agent.m_runs.find(order.m_task);
  if (found == agent.m_runs.end() || found->second.m_order.m_run != order.m_run) return;
  found->second.m_order = order;
  found->second.m_order_known = true;
  agent.m_report_due = true;
}

/// Stops a run that the agent does not hold, unless the worker has listed its end.
void StopUnheldRun(WorkerAgent& agent, const Time now, const TaskRef& task, const RunNumber run) {
  const bool ended = std::any_of(agent.m_ends.begin(), agent.m_ends.end(), [&](const auto& end) {
    return end.m_task == task && end.m_run >= run;
  });
  if (ended) return;
  auto& stop = agent.m_unheld_stops[task];
  if (stop.m_run < run) stop = {.m_run = run, .m_next_call = now};
}

void ApplyStop(WorkerAgent& agent, const Time now, const StartOrder& order) {
  const auto found = agent.m_runs.find(order.m_task);
  if (found == agent.m_runs.end() || found->second.m_order.m_run != order.m_run) {
    return StopUnheldRun(agent, now, order.m_task, order.m_run);
  }
  LocalRun& run = found->second;
  if (run.m_stage == RunStage::kStopping) return;
  if (run.m_stage == RunStage::kStarting && !run.m_in_flight && !run.m_maybe_sent) {
    agent.m_runs.erase(found);
    agent.m_report_due = true;
    return;
  }
  run.m_stage = RunStage::kStopping;
  run.m_next_call = now;
}

/// Begins to track a run that the agent does not hold: it was started by an earlier agent, or by a
/// start call that was regarded as refused.
LocalRun MakeListedRun(WorkerAgent& agent, const ListedRun& run) {
  LocalRun local{.m_order = {.m_task = run.m_task, .m_run = run.m_run},
                 .m_order_known = false,
                 .m_stage = RunStage::kRunning,
                 .m_arrival = ++agent.m_arrivals,
                 // The share is not known, as an earlier agent may have reduced it.
                 .m_paced = 0};
  const auto stop = agent.m_unheld_stops.find(run.m_task);
  if (stop != agent.m_unheld_stops.end() && stop->second.m_run >= run.m_run) {
    local.m_stage = RunStage::kStopping;
    if (stop->second.m_run == run.m_run) agent.m_unheld_stops.erase(stop);
  }
  agent.m_report_due = true;
  return local;
}

/// Returns whether a saved state may be kept, and counts one that may not.
bool IsUsableState(WorkerAgent& agent, const std::string& state) noexcept {
  if (state.size() <= kMaxCheckpointBytes) return true;
  ++agent.m_states_ignored;
  return false;
}

/// Handles the worker's list of runs, which was made after `sent`.
void TakeRuns(WorkerAgent& agent, const Time sent, const Time now, const HoldAnswer& answer) {
  std::map<TaskRef, RunNumber> listed;
  for (const auto& run : answer.m_runs) {
    listed[run.m_task] = run.m_run;
    auto [found, added] = agent.m_runs.try_emplace(run.m_task);
    LocalRun& local = found->second;
    if (added || local.m_order.m_run < run.m_run) local = MakeListedRun(agent, run);
    if (local.m_order.m_run != run.m_run) {
      // The coordinator has given the task a later run, and would never hear of this one.
      StopUnheldRun(agent, now, run.m_task, run.m_run);
      continue;
    }
    if (local.m_stage == RunStage::kStarting) {
      local.m_stage = RunStage::kRunning;
      agent.m_report_due = true;
    }
    if (local.m_stage == RunStage::kRunning) local.m_confirmed = std::max(local.m_confirmed, sent);
    local.m_percent = run.m_percent;
    local.m_figure = run.m_figure;
    if (IsUsableState(agent, run.m_checkpoint)) local.m_checkpoint = run.m_checkpoint;
  }
  // A run that is not listed may have ended; its end is listed once earlier ones are acknowledged.
  const bool all_ends = answer.m_ends_complete;
  for (auto run = agent.m_runs.begin(); all_ends && run != agent.m_runs.end();) {
    const LocalRun& local = run->second;
    const auto found = listed.find(run->first);
    const bool present = found != listed.end() && found->second == local.m_order.m_run;
    const bool settled = local.m_stage == RunStage::kRunning ||
                         (local.m_stage == RunStage::kStopping && local.m_stopped);
    const bool gone = !present && settled && !local.m_in_flight && local.m_confirmed < sent;
    if (gone) {
      run = agent.m_runs.erase(run);
      agent.m_report_due = true;
    } else {
      ++run;
    }
  }
  UpdatePace(agent, now);
}

void TakeEnds(WorkerAgent& agent, const HoldAnswer& answer) {
  const bool forgotten =
      std::none_of(answer.m_ends.begin(), answer.m_ends.end(),
                   [&](const RunEnded& end) { return end.m_number <= agent.m_hold_seen_end; });
  if (forgotten) agent.m_forgotten_end = std::max(agent.m_forgotten_end, agent.m_hold_seen_end);
  for (const auto& end : answer.m_ends) {
    const bool known = std::any_of(agent.m_ends.begin(), agent.m_ends.end(),
                                   [&](const auto& e) { return e.m_number == end.m_number; });
    if (known || end.m_number <= agent.m_recorded_end) continue;
    agent.m_ends.push_back(end);
    if (!IsUsableState(agent, end.m_checkpoint)) agent.m_ends.back().m_checkpoint.clear();
    agent.m_report_due = true;
    const auto run = agent.m_runs.find(end.m_task);
    if (run != agent.m_runs.end() && run->second.m_order.m_run <= end.m_run) {
      agent.m_runs.erase(run);
    }
  }
}

}  // namespace

std::int64_t GiveLease(WorkerAgent& agent, const Time now) {
  const Duration lease = LeaseAt(agent, now);
  if (lease <= Duration{} || agent.m_clock_at == Time{}) return 0;
  const auto bound = now +
                     std::chrono::duration_cast<Duration>(agent.m_options.m_clock_error * lease) +
                     agent.m_options.m_lease_slack;
  agent.m_leased_until = std::max(agent.m_leased_until, bound);
  // The last reading stands for the worker's clock. Adding the time since then would overshoot
  // after a suspension of the machine, which the agent's clock counts and the worker's need not.
  return agent.m_clock_ms + std::chrono::duration_cast<std::chrono::milliseconds>(lease).count();
}

void GiveUpStarts(WorkerAgent& agent, const Time now) {
  std::vector<StartOrder> pending;
  for (const auto& [task, run] : agent.m_runs) {
    if (run.m_stage == RunStage::kStarting) pending.push_back(run.m_order);
  }
  for (const auto& order : pending) ApplyStop(agent, now, order);
}

void Begin(WorkerAgent& agent, const Time now) { ExpectLongestLease(agent, now); }

bool OnHeartbeat(WorkerAgent& agent, const Time now, const WorkerInfo& worker,
                 const std::uint64_t sequence) {
  const bool first = agent.m_worker.m_id.IsEmpty();
  const bool other_life =
      !first && (worker.m_id != agent.m_worker.m_id || worker.m_born != agent.m_worker.m_born);
  // An incarnation that has not answered yet may be one that another writer has announced. For the
  // same reason the leases of the former one count until the new one answers.
  // A silent one without leases may have been replaced by one whose wall clock had stepped back.
  const bool may_run = agent.m_worker.m_reachable || now < agent.m_leased_until;
  const bool later = worker.m_born > agent.m_worker.m_born;
  if (other_life && agent.m_answered && may_run && !later) return false;
  if (!first && !other_life && sequence < agent.m_sequence) return false;
  const bool reachable = agent.m_worker.m_reachable && !other_life;
  const bool draining = agent.m_worker.m_draining;
  const Resources capacity = agent.m_worker.m_capacity;
  if (other_life) BeginIncarnation(agent, now);
  agent.m_worker = worker;
  agent.m_worker.m_reachable = reachable;
  agent.m_sequence = sequence;
  if (first) agent.m_next_hold = now;
  if (first || draining != worker.m_draining || capacity != worker.m_capacity) {
    agent.m_report_due = true;
  }
  return first || other_life;
}

void OnCoordinatorRead(WorkerAgent& agent, const Time now,
                       const std::optional<CoordinatorRecord>& record) {
  agent.m_coordinator_read = true;
  if (!record) return;
  (void)OnOrders(agent, now, {.m_epoch = record->m_epoch, .m_coordinator = record->m_rpc_address});
}

AgentOrdersReply OnOrders(WorkerAgent& agent, const Time now, const AgentOrders& orders) {
  if (!agent.m_coordinator_read) return {.m_epoch = agent.m_epoch};
  if (orders.m_epoch > agent.m_epoch) {
    agent.m_epoch = orders.m_epoch;
    agent.m_coordinator = orders.m_coordinator;
    agent.m_session = 0;
    agent.m_report_due = true;
  }
  AgentOrdersReply reply{.m_epoch = agent.m_epoch, .m_last_order = agent.m_last_order};
  if (orders.m_epoch < agent.m_epoch) return reply;
  if (orders.m_orders.empty()) {
    agent.m_report_due = true;
    reply.m_accepted = true;
    return reply;
  }
  // When the grant has expired, the session has ended for the coordinator too, or will end soon. An
  // order that was delayed until then must not start anything.
  if (orders.m_session != agent.m_session || agent.m_session == 0 || now >= agent.m_granted_until) {
    return reply;
  }
  for (const auto& order : orders.m_orders) {
    if (order.m_number != agent.m_last_order + 1) continue;
    agent.m_last_order = order.m_number;
    switch (order.m_kind) {
      case OrderKind::kStart:
        ApplyStart(agent, now, order.m_start);
        break;
      case OrderKind::kStop:
        ApplyStop(agent, now, order.m_start);
        break;
      case OrderKind::kDescribe:
        ApplyDescription(agent, order.m_start);
        break;
    }
  }
  reply.m_accepted = true;
  reply.m_last_order = agent.m_last_order;
  return reply;
}

std::optional<HoldCall> NextHold(WorkerAgent& agent, const Time now) {
  if (agent.m_hold_in_flight || agent.m_worker.m_id.IsEmpty() || now < agent.m_next_hold) {
    return std::nullopt;
  }
  agent.m_hold_in_flight = true;
  agent.m_hold_fence = agent.m_fence;
  // The next incarnation of the worker numbers its ends from 1 and would forget ends that this
  // agent has not seen. So ends are acknowledged once, and only to a worker that answered just
  // before.
  const bool unforgotten = agent.m_recorded_end > agent.m_forgotten_end;
  const bool answered_now =
      agent.m_worker.m_reachable && now - agent.m_answered_hold <= agent.m_options.m_max_answer_age;
  agent.m_hold_seen_end = unforgotten && answered_now ? agent.m_recorded_end : 0;
  const bool waits = agent.m_runs_known && agent.m_ends.empty() && !unforgotten;
  // A worker that does not answer may still receive these calls, so they must not keep extending
  // its leases.
  const bool extends = agent.m_worker.m_reachable;
  return HoldCall{.m_deadline_ms = extends ? GiveLease(agent, now) : 0,
                  .m_seen_end = agent.m_hold_seen_end,
                  .m_wait = waits ? agent.m_options.m_hold_wait : Duration{}};
}

void OnHold(WorkerAgent& agent, const Time sent, const Time now,
            const std::optional<HoldAnswer>& answer) {
  agent.m_hold_in_flight = false;
  if (!answer || answer->m_born < agent.m_worker.m_born) {
    if (answer && answer->m_born != std::exchange(agent.m_earlier_born, answer->m_born)) {
      // It may have carried out starts, whose deadlines are far ahead on its own clock.
      ExpectLongestLease(agent, now);
    }
    if (agent.m_worker.m_reachable) {
      agent.m_report_due = true;
      agent.m_silent_since = now;
    }
    agent.m_worker.m_reachable = false;
    agent.m_next_hold = now + agent.m_options.m_call_retry;
    return;
  }
  if (answer->m_born > agent.m_worker.m_born) {
    BeginIncarnation(agent, now);
    agent.m_worker.m_born = answer->m_born;
    agent.m_answered = true;
    // The lease bound stays until a list shows the runs: this incarnation may have runs of a former
    // agent process, or have carried out a start that was meant for its predecessor.
    return;
  }
  agent.m_answered = true;
  agent.m_earlier_born = 0;
  // An incarnation that answers has not crashed, whatever another writer has announced.
  std::erase_if(agent.m_crashed,
                [&](const CrashedRun& run) { return run.m_born >= agent.m_worker.m_born; });
  if (agent.m_hold_fence < agent.m_fence) {
    // The worker may still accept a start that was sent with the former fence.
    agent.m_next_hold = now;
    return;
  }
  if (!agent.m_worker.m_reachable || !agent.m_runs_known) agent.m_report_due = true;
  agent.m_worker.m_reachable = true;
  agent.m_lapsed_runs.clear();
  agent.m_runs_known = true;
  if (agent.m_ends_complete != answer->m_ends_complete) agent.m_report_due = true;
  agent.m_ends_complete = answer->m_ends_complete;
  agent.m_clock_ms = answer->m_clock_ms;
  agent.m_clock_at = now;
  agent.m_answered_hold = sent;
  TakeEnds(agent, *answer);
  TakeRuns(agent, sent, now, *answer);
  agent.m_next_hold = agent.m_ends.empty() ? now : now + agent.m_options.m_hold_pause;
}

void Tick(WorkerAgent& agent, const Time now) {
  if (now >= agent.m_granted_until) GiveUpStarts(agent, now);
  if (agent.m_worker.m_reachable || now < agent.m_leased_until) return;
  if (agent.m_runs_known && agent.m_runs.empty() && agent.m_ends_complete) return;
  agent.m_lapsed_runs = std::exchange(agent.m_runs, {});
  agent.m_unheld_stops.clear();
  agent.m_runs_known = true;
  // Ends that were not acknowledged before the lease ended no longer count.
  agent.m_ends_complete = true;
  agent.m_report_due = true;
}

}  // namespace ebonypin::core::fleet
