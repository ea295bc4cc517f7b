/// Slots of batch work, which are taken back when requests need them; see slot_plan.h.
#include <algorithm>

#include "agent_ledger_internal.h"

namespace ebonypin::core {
namespace {

using namespace std::chrono_literals;

/// Longest time between two plans while the limit can grow or an attempt is preempted. Each plan
/// may raise the limit by one slot.
constexpr Duration kPlanInterval = 100ms;

LedgerAttempt* FindAttempt(AgentLedger& ledger, const JobId& job) {
  for (auto& [task, attempt] : ledger.m_attempts)
    if (task.m_job == job && attempt.m_state != AttemptState::kStopping) return &attempt;
  return nullptr;
}

SlotPlanInput InputOf(const AgentLedger& ledger, const Time now) {
  SlotPlanInput input{
      .m_now = now,
      .m_slots = ledger.m_options.m_slots,
      .m_short_busy = static_cast<std::uint32_t>(ledger.m_runs.size() - ledger.m_queue.size()),
      .m_short_queued = static_cast<std::uint32_t>(ledger.m_queue.size())};
  for (const auto& [task, attempt] : ledger.m_attempts) {
    if (attempt.m_state == AttemptState::kStopping) {
      // The attempt holds its slot until the worker confirms the stop, but is no longer planned.
      if (agent::HoldsSlot(attempt)) --input.m_slots;
      continue;
    }
    const Duration left = attempt.m_spec.m_expected_run - (now - attempt.m_started);
    input.m_batch.push_back({.m_job = task.m_job,
                             .m_attempt = task.m_attempt,
                             .m_started = attempt.m_started,
                             .m_throttled = attempt.m_preempted.has_value(),
                             .m_throttled_at = attempt.m_preempted.value_or(Time{}),
                             .m_can_checkpoint = !attempt.m_cannot_checkpoint,
                             .m_expected_left = std::max(left, Duration::zero())});
  }
  return input;
}

void Resume(AgentLedger& ledger, LedgerAttempt& attempt) {
  const auto free = ledger.m_options.m_capacity - CommittedResources(ledger);
  const bool holds = agent::HoldsSlot(attempt);
  if (!holds && (SlotsBusy(ledger) >= ledger.m_options.m_slots ||
                 attempt.m_spec.m_size.m_cpu_millis > free.m_cpu_millis))
    return;
  attempt.m_preempted.reset();
}

}  // namespace

namespace agent {

void PlanBatch(AgentLedger& ledger, const Time now, AgentActions& out) {
  ledger.m_planned = now;
  if (ledger.m_options.m_slots <= 1) {
    // A worker with a single slot could not run any job if that slot were kept for requests.
    ledger.m_admit = ledger.m_attempts.empty() ? 1 : 0;
    return;
  }
  const auto plan = PlanSlots(ledger.m_slot_plan, {}, InputOf(ledger, now));
  ledger.m_admit = plan.m_admit;
  for (const auto& job : plan.m_throttle) {
    auto* const attempt = FindAttempt(ledger, job);
    if (attempt == nullptr || attempt->m_preempted) continue;
    attempt->m_preempted = now;
    ++ledger.m_counters.m_preemptions;
  }
  for (const auto& job : plan.m_resume)
    if (auto* const attempt = FindAttempt(ledger, job)) Resume(ledger, *attempt);
  for (const auto& job : plan.m_evict)
    if (auto* const attempt = FindAttempt(ledger, job)) BeginStop(*attempt, now, out);
  SyncShares(ledger, now, out);
}

Time NextPlan(const AgentLedger& ledger) noexcept {
  const bool any_preempted =
      std::any_of(ledger.m_attempts.begin(), ledger.m_attempts.end(),
                  [](const auto& item) { return item.second.m_preempted.has_value(); });
  const bool can_grow = ledger.m_slot_plan.m_limit + 1 < ledger.m_options.m_slots;
  return any_preempted || can_grow ? ledger.m_planned + kPlanInterval : Time::max();
}

}  // namespace agent
}  // namespace ebonypin::core
