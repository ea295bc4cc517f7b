/// Tasks at the worker: leases, grants, shares and task events.
#include <algorithm>
#include <limits>
#include <utility>

#include "agent_ledger_internal.h"

namespace ebonypin::core {
namespace {

using agent::BeginStop;

/// Removes an attempt, which frees its capacity, and reports its end.
void EndAttempt(AgentLedger& ledger, const TaskId& task, TaskReport report, const Time now,
                AgentActions& out) {
  ledger.m_attempts.erase(task);
  agent::AddReport(ledger, std::move(report), now, out);
  agent::StartQueued(ledger, now, out);
}

TaskReport ReportOf(const AgentLedger& ledger, const TaskEvent& event, const AttemptPhase phase) {
  return {.m_agent = ledger.m_options.m_agent,
          .m_incarnation = ledger.m_options.m_incarnation,
          .m_job = event.m_task.m_job,
          .m_attempt = event.m_task.m_attempt,
          .m_phase = phase,
          .m_outcome = JobOutcome::kUnknown,
          .m_run_time = event.m_run_time,
          .m_used = event.m_used};
}

TaskReport ReportOfEnd(const AgentLedger& ledger, const TaskEvent& event, const bool cancelled) {
  switch (event.m_kind) {
    case TaskEventKind::kStartRefused:
      return ReportOf(ledger, event, AttemptPhase::kNeverStarted);
    case TaskEventKind::kEnded: {
      auto report = ReportOf(ledger, event, AttemptPhase::kEnded);
      report.m_outcome = event.m_outcome;
      report.m_result = event.m_result;
      if (report.m_result.size() > kMaxResultBytes) {
        report.m_outcome = JobOutcome::kFailed;
        report.m_result = "the result of " + std::to_string(event.m_result.size()) +
                          " bytes is too large; return at most " + std::to_string(kMaxResultBytes) +
                          " bytes";
      }
      return report;
    }
    default: {
      auto report = ReportOf(ledger, event, AttemptPhase::kStopped);
      if (cancelled) report.m_outcome = JobOutcome::kCancelled;
      // A lost task went on after its last checkpoint, so resuming from there would repeat work.
      if (event.m_kind == TaskEventKind::kStopped && event.m_checkpoint.size() <= kMaxResultBytes)
        report.m_checkpoint = event.m_checkpoint;
      return report;
    }
  }
}

/// Handles an event of a task whose attempt holds no capacity here.
void OnEventWithoutAttempt(AgentLedger& ledger, const TaskEvent& event, const Time now,
                           AgentActions& out) {
  if (ledger.m_reports.contains(event.m_task)) return;
  if (ledger.m_ended_attempts.contains(event.m_task)) {
    if (event.m_kind != TaskEventKind::kStarted) out.emplace_back(ForgetTask{event.m_task});
    return;
  }
  switch (event.m_kind) {
    case TaskEventKind::kStarted:
      // A start that an earlier agent sent arrived after this agent listed the tasks.
      out.emplace_back(StopTask{.m_task = event.m_task});
      return;
    case TaskEventKind::kEnded:
    case TaskEventKind::kStopped:
    case TaskEventKind::kLost:
      agent::AddReport(ledger, ReportOfEnd(ledger, event, false), now, out);
      return;
    default:
      return;
  }
}

void AdoptTask(AgentLedger& ledger, const TaskSpec& spec, const Time now, AgentActions& out) {
  const auto free = ledger.m_options.m_capacity - CommittedResources(ledger);
  if (agent::IsNegative(spec.m_size) || !Fits(spec.m_size, free) ||
      SlotsBusy(ledger) >= ledger.m_options.m_slots) {
    out.emplace_back(StopTask{.m_task = spec.m_task});
    return;
  }
  LedgerAttempt attempt{.m_spec = spec,
                        .m_state = AttemptState::kRunning,
                        .m_started = now,
                        .m_last_sent = now,
                        .m_last_renewed = now,
                        .m_grant_until = now,
                        .m_may_have_run = true};
  // The grant that the earlier agent held is not known, so exclusive tasks stay suspended.
  if (spec.m_exclusive) {
    attempt.m_suspended = now;
    attempt.m_share_wanted = 0;
  } else {
    // The earlier agent may have left the task throttled. An applied share of 0 makes
    // SyncShares send the current one.
    attempt.m_share_applied = 0;
  }
  if (const auto lease = agent::LeaseOf(attempt, now); lease > Duration::zero())
    out.emplace_back(RenewTask{.m_task = spec.m_task, .m_lease = lease});
  // An older epoch needs no handling here: the newer owner decides by a grant or a fence.
  [[maybe_unused]] const bool current = agent::RaiseEpoch(ledger, spec.m_task.m_job, spec.m_epoch);
  ledger.m_attempts.emplace(spec.m_task, std::move(attempt));
}

std::uint32_t WantedShare(const AgentLedger& ledger, const LedgerAttempt& attempt) {
  return attempt.m_suspended || attempt.m_preempted ? 0 : ledger.m_batch_share;
}

void ApplyGrant(AgentLedger& ledger, const Grant& grant, const std::string& from, const Time asked,
                const Time now, AgentActions& out) {
  if (!agent::RaiseEpoch(ledger, grant.m_job, grant.m_epoch)) return;
  ledger.m_owners[ShardOf(grant.m_job)] = from;
  for (auto& [task, attempt] : ledger.m_attempts) {
    if (task.m_job != grant.m_job) continue;
    if (grant.m_granted && task.m_attempt == grant.m_attempt) {
      attempt.m_spec.m_epoch = grant.m_epoch;
      attempt.m_grant_until = std::max(attempt.m_grant_until, asked + kGrantLifetime);
      if (now < attempt.m_grant_until - kSuspendLead) attempt.m_suspended.reset();
    } else if (!grant.m_granted && task.m_attempt <= grant.m_attempt &&
               (task.m_attempt < grant.m_attempt || attempt.m_spec.m_epoch < grant.m_epoch)) {
      attempt.m_result_ignored = true;
      BeginStop(attempt, now, out);
    }
  }
}

/// Repeats an unconfirmed start or stop, and renews the lease.
void TickAttempt(LedgerAttempt& attempt, const Time now, AgentActions& out) {
  const auto& task = attempt.m_spec.m_task;
  const auto lease = agent::LeaseOf(attempt, now);
  const bool repeat = now - attempt.m_last_sent >= agent::kResendInterval;
  if (attempt.m_state == AttemptState::kStarting && repeat) {
    attempt.m_last_sent = now;
    if (lease > Duration::zero()) {
      out.emplace_back(StartTask{.m_spec = attempt.m_spec,
                                 .m_lease = lease,
                                 .m_checkpoint = attempt.m_checkpoint,
                                 .m_payload = attempt.m_payload});
    }
  } else if (attempt.m_state == AttemptState::kStopping && repeat) {
    attempt.m_last_sent = now;
    out.emplace_back(StopTask{.m_task = task, .m_checkpoint = !attempt.m_result_ignored});
  }
  if (attempt.m_state == AttemptState::kStarting ||
      now - attempt.m_last_renewed < kLeaseRenewInterval)
    return;
  attempt.m_last_renewed = now;
  if (lease > Duration::zero()) out.emplace_back(RenewTask{.m_task = task, .m_lease = lease});
}

}  // namespace

namespace agent {

void BeginStop(LedgerAttempt& attempt, const Time now, AgentActions& out) {
  if (attempt.m_state == AttemptState::kStopping) return;
  if (attempt.m_cannot_checkpoint && !attempt.m_result_ignored) return;
  attempt.m_state = AttemptState::kStopping;
  attempt.m_last_sent = now;
  out.emplace_back(
      StopTask{.m_task = attempt.m_spec.m_task, .m_checkpoint = !attempt.m_result_ignored});
}

void BeginHandOver(AgentLedger& ledger, const Time now, AgentActions& out) {
  ledger.m_reservations.clear();
  for (auto& [task, attempt] : ledger.m_attempts) {
    const Duration left = attempt.m_spec.m_expected_run - (now - attempt.m_started);
    if (left > Duration::zero() && left <= kDrainGracePeriod) continue;
    BeginStop(attempt, now, out);
  }
}

Duration LeaseOf(const LedgerAttempt& attempt, const Time now) noexcept {
  const bool suspension_confirmed = attempt.m_share_wanted == 0 && attempt.m_share_applied == 0 &&
                                    !attempt.m_share_sent.has_value();
  if (!attempt.m_spec.m_exclusive || suspension_confirmed) return kTaskLease;
  // The lease ends with the grant, so that the task stops even when no throttle reaches the worker.
  return std::min<Duration>(kTaskLease, attempt.m_grant_until - now);
}

void SyncShares(AgentLedger& ledger, const Time now, AgentActions& out) {
  for (auto& [task, attempt] : ledger.m_attempts) {
    attempt.m_share_wanted = WantedShare(ledger, attempt);
    if (attempt.m_state != AttemptState::kRunning) continue;
    const auto& sent = attempt.m_share_sent;
    const auto pending_share = sent ? sent->m_share : attempt.m_share_applied;
    const bool overdue = sent && now - sent->m_sent >= kResendInterval;
    if (pending_share == attempt.m_share_wanted && !overdue) continue;
    attempt.m_share_sent = SentShare{.m_share = attempt.m_share_wanted,
                                     .m_version = ++ledger.m_last_throttle_version,
                                     .m_sent = now};
    ++ledger.m_counters.m_throttles;
    out.emplace_back(ThrottleTask{.m_task = task,
                                  .m_share = attempt.m_share_wanted,
                                  .m_version = ledger.m_last_throttle_version});
  }
}

void TickAttempts(AgentLedger& ledger, const Time now, AgentActions& out) {
  const bool grace_period_over =
      IsDraining(ledger) && now - ledger.m_drain_began >= kDrainGracePeriod;
  for (auto& [task, attempt] : ledger.m_attempts) {
    if (attempt.m_spec.m_exclusive && !attempt.m_suspended &&
        now >= attempt.m_grant_until - kSuspendLead) {
      attempt.m_suspended = now;
      ++ledger.m_counters.m_suspensions;
    }
    const bool suspended_too_long =
        attempt.m_suspended && now - *attempt.m_suspended >= kSuspendedLimit;
    if (suspended_too_long || grace_period_over) BeginStop(attempt, now, out);
    TickAttempt(attempt, now, out);
  }
}

}  // namespace agent

AgentActions OnTaskList(AgentLedger& ledger, const TaskList& list, const Time now) {
  AgentActions out;
  ledger.m_ready = true;
  const auto handle = [&](TaskEvent event) {
    for (auto& action : OnTaskEvent(ledger, event, now)) out.push_back(std::move(action));
  };
  std::set<TaskId> listed;
  for (const auto& task : list.m_tasks) {
    const auto& id = task.m_spec.m_task;
    listed.insert(id);
    if (!task.m_running) {
      auto end = task.m_end;
      end.m_task = id;
      handle(std::move(end));
    } else if (ledger.m_attempts.contains(id)) {
      handle({.m_kind = TaskEventKind::kStarted, .m_task = id});
    } else {
      AdoptTask(ledger, task.m_spec, now, out);
    }
  }
  std::vector<TaskId> missing;
  for (auto& [id, attempt] : ledger.m_attempts) {
    if (listed.contains(id)) continue;
    const bool confirmed = attempt.m_state != AttemptState::kStarting;
    const bool before = attempt.m_started < list.m_asked;
    // A start that was sent to the worker before its restart may have taken effect, so it is not
    // repeated.
    if (before && (list.m_restarted || confirmed)) {
      missing.push_back(id);
    } else if (list.m_restarted) {
      // The start may have reached the worker before or after its restart. The worker is told to
      // stop the task; a worker that does not know the task refuses later starts of it.
      attempt.m_may_have_run = attempt.m_result_ignored = true;
      BeginStop(attempt, now, out);
    }
  }
  for (const auto& id : missing) handle({.m_kind = TaskEventKind::kLost, .m_task = id});
  agent::SyncShares(ledger, now, out);
  return out;
}

AgentActions OnTaskEvent(AgentLedger& ledger, const TaskEvent& event, const Time now) {
  AgentActions out;
  const auto found = ledger.m_attempts.find(event.m_task);
  if (found == ledger.m_attempts.end()) {
    OnEventWithoutAttempt(ledger, event, now, out);
    return out;
  }
  auto& attempt = found->second;
  switch (event.m_kind) {
    case TaskEventKind::kStarted:
      if (attempt.m_state != AttemptState::kStarting) break;
      attempt.m_state = AttemptState::kRunning;
      attempt.m_may_have_run = true;
      attempt.m_started = now;
      attempt.m_payload.clear();
      attempt.m_checkpoint.clear();
      agent::SyncShares(ledger, now, out);
      break;
    case TaskEventKind::kCheckpointFailed:
      if (attempt.m_state != AttemptState::kStopping) break;
      attempt.m_state = AttemptState::kRunning;
      attempt.m_cannot_checkpoint = true;
      if (attempt.m_result_ignored) BeginStop(attempt, now, out);
      break;
    case TaskEventKind::kStartRefused:
      // A late refusal of a repeated start does not concern a task that runs.
      if (attempt.m_state == AttemptState::kRunning) break;
      // A worker that restarted may refuse a task that ran before, which is reported as lost.
      EndAttempt(ledger, event.m_task,
                 ReportOfEnd(ledger,
                             attempt.m_may_have_run
                                 ? TaskEvent{.m_kind = TaskEventKind::kLost, .m_task = event.m_task}
                                 : event,
                             attempt.m_cancelled),
                 now, out);
      break;
    case TaskEventKind::kStopped:
    case TaskEventKind::kEnded:
    case TaskEventKind::kLost:
      if (event.m_kind == TaskEventKind::kStopped) ++ledger.m_counters.m_evictions;
      EndAttempt(ledger, event.m_task, ReportOfEnd(ledger, event, attempt.m_cancelled), now, out);
      break;
  }
  return out;
}

AgentActions OnTaskThrottled(AgentLedger& ledger, const TaskId& task, const std::uint32_t share,
                             const std::uint64_t version, const Time now) {
  AgentActions out;
  const auto found = ledger.m_attempts.find(task);
  if (found == ledger.m_attempts.end()) return out;
  auto& attempt = found->second;
  if (!attempt.m_share_sent || attempt.m_share_sent->m_version != version) return out;
  attempt.m_share_applied = share;
  attempt.m_share_sent.reset();
  agent::SyncShares(ledger, now, out);
  // A preempted attempt may have released its slot.
  agent::StartQueued(ledger, now, out);
  return out;
}

AgentActions OnHeartbeatReply(AgentLedger& ledger, const HeartbeatReply& reply,
                              const std::string& from, const Time asked, const Time now) {
  AgentActions out;
  for (const auto& grant : reply.m_grants) ApplyGrant(ledger, grant, from, asked, now, out);
  if (reply.m_config_offset > ledger.m_config_offset) {
    ledger.m_classes = reply.m_classes;
    ledger.m_config_offset = reply.m_config_offset;
  }
  // Entries that have read less of the log may not know the current drain state.
  if (reply.m_config_offset >= ledger.m_config_offset) {
    if (reply.m_drain && !IsDraining(ledger)) {
      ledger.m_drain_began = now;
      agent::BeginHandOver(ledger, now, out);
    }
    ledger.m_drained_by_operator = reply.m_drain;
  }
  agent::SyncShares(ledger, now, out);
  agent::StartQueued(ledger, now, out);
  return out;
}

}  // namespace ebonypin::core
