#include "ebonypin/core/agent_ledger.h"

#include <algorithm>
#include <utility>

#include "agent_ledger_internal.h"

namespace ebonypin::core {
namespace {

using namespace std::chrono_literals;

/// Time after which the peak of resources committed to requests is halved.
constexpr Duration kPeakHalfLife = 30s;

constexpr Duration kMaxTickInterval = 1s;

void DecayPeak(AgentLedger& ledger, const Time now) {
  if (now - ledger.m_request_peak_decayed < kPeakHalfLife) return;
  ledger.m_request_peak_decayed = now;
  auto& peak = ledger.m_request_peak;
  peak = {.m_cpu_millis = peak.m_cpu_millis / 2,
          .m_memory_mb = peak.m_memory_mb / 2,
          .m_accelerators = peak.m_accelerators / 2};
}

std::uint32_t MedianLatency(const AgentLedger& ledger) {
  if (ledger.m_recent_run_us.empty()) return 0;
  std::vector<std::uint32_t> sorted(ledger.m_recent_run_us.begin(), ledger.m_recent_run_us.end());
  const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
  std::nth_element(sorted.begin(), middle, sorted.end());
  return *middle;
}

}  // namespace

namespace agent {

bool IsNegative(const Resources& size) noexcept {
  return size.m_cpu_millis < 0 || size.m_memory_mb < 0 || size.m_accelerators < 0;
}

Resources BatchCommitted(const AgentLedger& ledger) noexcept {
  Resources sum;
  for (const auto& [id, reservation] : ledger.m_reservations) sum = sum + reservation.m_spec.m_size;
  for (const auto& [id, attempt] : ledger.m_attempts) {
    sum = sum + attempt.m_spec.m_size;
    if (!HoldsSlot(attempt)) sum.m_cpu_millis -= attempt.m_spec.m_size.m_cpu_millis;
  }
  return sum;
}

std::uint32_t BatchSlots(const AgentLedger& ledger) noexcept {
  const auto holding = std::count_if(ledger.m_attempts.begin(), ledger.m_attempts.end(),
                                     [](const auto& item) { return HoldsSlot(item.second); });
  return static_cast<std::uint32_t>(ledger.m_reservations.size()) +
         static_cast<std::uint32_t>(holding);
}

Resources RunsCommitted(const AgentLedger& ledger) noexcept {
  Resources sum;
  for (const auto& [call, run] : ledger.m_runs)
    if (run.m_started) sum = sum + run.m_request.m_size;
  return sum;
}

bool HoldsSlot(const LedgerAttempt& attempt) noexcept {
  const bool suspension_confirmed = attempt.m_share_wanted == 0 && attempt.m_share_applied == 0 &&
                                    !attempt.m_share_sent.has_value();
  return !attempt.m_preempted.has_value() || !suspension_confirmed;
}

}  // namespace agent

AgentLedger MakeAgentLedger(AgentOptions options) {
  AgentLedger ledger;
  ledger.m_options = std::move(options);
  // The worker ignores throttle versions below those of an earlier agent. Versions start at the
  // incarnation, which is larger than that of any earlier agent.
  ledger.m_last_throttle_version = ledger.m_options.m_incarnation;
  // There are no requests yet, so batch work may start with all slots but one.
  ledger.m_slot_plan.m_limit = std::max(ledger.m_options.m_slots, 1U) - 1;
  return ledger;
}

AgentActions OnMessage(AgentLedger& ledger, const CallId call, const Message& message,
                       const Time now) {
  AgentActions out;
  if (!ledger.m_ready) {
    out.emplace_back(
        ReplyToCall{call, Error{.m_kind = ErrorKind::kNoCapacity,
                                .m_message = "the agent has not yet listed its worker's tasks; "
                                             "nothing was run, try another worker or retry in 1 s",
                                .m_retry_after = 1s}});
  } else if (const auto* const run = std::get_if<RunRequest>(&message)) {
    agent::OnRun(ledger, call, *run, now, out);
  } else if (const auto* const reserve = std::get_if<ReserveRequest>(&message)) {
    agent::OnReserve(ledger, call, *reserve, now, out);
  } else if (const auto* const start = std::get_if<StartRequest>(&message)) {
    agent::OnStart(ledger, call, *start, now, out);
  } else if (const auto* const cancel = std::get_if<CancelRequest>(&message)) {
    if (cancel->m_job.IsEmpty()) {
      agent::CancelRun(ledger, call, *cancel, now, out);
    } else {
      agent::CancelJob(ledger, call, *cancel, now, out);
    }
  } else if (const auto* const fence = std::get_if<FenceRequest>(&message)) {
    agent::OnFence(ledger, call, *fence, now, out);
  } else {
    out.emplace_back(ReplyToCall{
        call,
        Error{.m_kind = ErrorKind::kBadMessage,
              .m_message = "an agent does not handle this message; check that the versions of the "
                           "processes match"}});
  }
  return out;
}

AgentActions OnStop(AgentLedger& ledger, const Time now) {
  AgentActions out;
  if (ledger.m_stopping) return out;
  ledger.m_stopping = true;
  ledger.m_drain_began = now;
  agent::BeginHandOver(ledger, now, out);
  agent::StartQueued(ledger, now, out);
  return out;
}

AgentActions OnTick(AgentLedger& ledger, const Time now) {
  AgentActions out;
  if (!ledger.m_ready) return out;
  agent::ExpireReservations(ledger, now);
  agent::TickAttempts(ledger, now, out);
  agent::SyncShares(ledger, now, out);
  agent::SendDueReports(ledger, now, out);
  agent::StartQueued(ledger, now, out);
  agent::RefuseLate(ledger, now, out);
  if (agent::NextPlan(ledger) <= now) agent::PlanBatch(ledger, now, out);
  agent::ForgetOld(ledger, now);
  DecayPeak(ledger, now);
  return out;
}

Time NextTick(const AgentLedger& ledger, const Time now) {
  auto next = now + kMaxTickInterval;
  const auto consider = [&next](const Time time) { next = std::min(next, time); };
  for (const auto& [id, reservation] : ledger.m_reservations) consider(reservation.m_expires);
  if (!ledger.m_queue.empty()) consider(ledger.m_queue.begin()->first + Duration{1});
  for (const auto& [id, attempt] : ledger.m_attempts) {
    const bool confirmed = attempt.m_state == AttemptState::kRunning;
    consider((confirmed ? attempt.m_last_renewed : attempt.m_last_sent) + agent::kResendInterval);
    if (attempt.m_share_sent) consider(attempt.m_share_sent->m_sent + agent::kResendInterval);
    if (!attempt.m_spec.m_exclusive || attempt.m_state == AttemptState::kStopping) continue;
    if (!attempt.m_suspended) {
      consider(attempt.m_grant_until - kSuspendLead);
    } else if (!attempt.m_cannot_checkpoint) {
      consider(*attempt.m_suspended + kSuspendedLimit);
    }
  }
  for (const auto& [task, report] : ledger.m_reports) consider(report.m_next_send);
  consider(agent::NextPlan(ledger));
  return std::max(next, now);
}

bool IsDraining(const AgentLedger& ledger) noexcept {
  return ledger.m_stopping || ledger.m_drained_by_operator;
}

bool IsDrained(const AgentLedger& ledger) noexcept {
  return ledger.m_stopping && ledger.m_runs.empty() && ledger.m_attempts.empty() &&
         ledger.m_reports.empty();
}

Resources CommittedResources(const AgentLedger& ledger) noexcept {
  return agent::RunsCommitted(ledger) + agent::BatchCommitted(ledger);
}

std::uint32_t SlotsBusy(const AgentLedger& ledger) noexcept {
  return static_cast<std::uint32_t>(ledger.m_runs.size() - ledger.m_queue.size()) +
         agent::BatchSlots(ledger);
}

AgentLoad LoadOf(const AgentLedger& ledger) {
  return {.m_committed = CommittedResources(ledger),
          .m_slots_busy = SlotsBusy(ledger),
          .m_queued = static_cast<std::uint32_t>(ledger.m_queue.size()),
          .m_latency_us = MedianLatency(ledger),
          .m_draining = IsDraining(ledger)};
}

Heartbeat BuildHeartbeat(const AgentLedger& ledger, std::vector<EntryInfo> known_entries,
                         const std::string& to) {
  const auto& options = ledger.m_options;
  Heartbeat heartbeat{.m_agent = options.m_agent,
                      .m_incarnation = options.m_incarnation,
                      .m_domain = options.m_domain,
                      .m_rpc_address = options.m_rpc_address,
                      .m_capacity = options.m_capacity,
                      .m_slots = options.m_slots,
                      .m_load = LoadOf(ledger),
                      .m_config_offset = ledger.m_config_offset,
                      .m_known_entries = std::move(known_entries)};
  for (const auto& [id, attempt] : ledger.m_attempts) {
    if (!attempt.m_spec.m_exclusive || attempt.m_state == AttemptState::kStopping) continue;
    const auto& owner = ledger.m_owners[ShardOf(id.m_job)];
    if (!to.empty() && !owner.empty() && owner != to) continue;
    heartbeat.m_attempts.push_back(
        {.m_job = id.m_job, .m_attempt = id.m_attempt, .m_epoch = attempt.m_spec.m_epoch});
  }
  return heartbeat;
}

}  // namespace ebonypin::core
