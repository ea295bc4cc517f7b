/// Calls that the coordinator holds while the store is unavailable; see core/fleet/held_calls.h.
#include <algorithm>
#include <utility>

#include "boot_clock.h"
#include "coordinator_service.h"
#include "ebonypin/daemon/events.h"

namespace ebonypin::daemon {
namespace {

using core::fleet::GiveUpCause;
using core::fleet::JobCallKind;
using core::fleet::JobCallReply;
using core::fleet::JobCallStatus;
using namespace std::chrono_literals;

/// Interval at which held calls are examined. A call is answered up to this time after its give-up
/// time, which the sender of the call allows for.
constexpr auto kHoldInterval = 50ms;

}  // namespace

bool CoordinatorService::HoldsCalls() const noexcept { return m_options.m_hold > core::Duration{}; }

void CoordinatorService::StartHold() {
  if (HoldsCalls()) m_events->Every(kHoldInterval, [this] { UpdateHold(); });
}

core::Duration CoordinatorService::WaitOf(const core::fleet::JobCall& call,
                                          const core::Duration deadline) const noexcept {
  if (!HoldsCalls()) return deadline;
  return std::min(m_options.m_hold, call.m_wait > core::Duration{} ? call.m_wait : deadline);
}

JobCallReply CoordinatorService::GivenUpReply(const core::JobId& job) const {
  auto reply = StoreSilentReply();
  if (HoldsCalls()) reply.m_retry_after = core::fleet::SpreadRetryAfter(job);
  return reply;
}

void CoordinatorService::HoldCall(Waiter waiter) {
  const auto now = BootNow();
  if (m_held.m_calls.empty() && !std::exchange(m_holding, true)) {
    LogEvent(kHoldBegan, {{"epoch", m_leadership.m_epoch},
                          {"jobs", m_state.m_jobs.size()},
                          {"appends_open", m_appends.m_open.size()}});
  }
  waiter.m_held = std::nullopt;
  const auto kept = waiter.m_call;
  const auto& call = *kept;
  if (call.m_kind == JobCallKind::kSubmit) {
    const auto same = m_held.m_submissions.find(call.m_job.m_id);
    if (same != m_held.m_submissions.end()) {
      waiter.m_call = m_held_waiters.at(*same->second.m_numbers.begin()).m_call;
    }
  }
  const auto result = core::fleet::Hold(m_held, now,
                                        {.m_kind = call.m_kind,
                                         .m_job = call.m_job.m_id,
                                         .m_priority = call.m_job.m_policy.m_priority,
                                         .m_bytes = core::fleet::JobBytes(call),
                                         .m_arrived = waiter.m_arrived,
                                         .m_give_up = waiter.m_deadline});
  m_held_waiters.emplace(result.m_number, std::move(waiter));
  GiveUpHeld(result.m_displaced, JobCallStatus::kUnknown);
  ConfirmHeldAnswers();
}

void CoordinatorService::GiveUpHeld(const std::vector<std::uint64_t>& numbers,
                                    const JobCallStatus status) {
  for (const auto number : numbers) {
    auto node = m_held_waiters.extract(number);
    const auto& waiter = node.mapped();
    auto reply = GivenUpReply(waiter.m_call->m_job.m_id);
    if (status == JobCallStatus::kNotCoordinator) {
      reply = {.m_status = status, .m_reason = "the coordinator changed"};
    }
    waiter.m_done(std::move(reply));
  }
}

void CoordinatorService::DropHeldSubmissions(const core::fleet::JobCall& cancel) {
  const auto& job = cancel.m_job.m_id;
  GiveUpHeld(TakeCancelled(m_held, BootNow(), job), JobCallStatus::kUnknown);
}

void CoordinatorService::HoldWaiters() {
  const auto withdrawn = WithdrawUnwritten(m_state, core::fleet::Withdrawal::kHeld);
  std::vector<Waiter> held;
  for (auto waiter = m_waiters.begin(); waiter != m_waiters.end();) {
    const auto& call = *waiter->m_call;
    const bool submits = call.m_kind == JobCallKind::kSubmit;
    if (waiter->m_held || (submits && withdrawn.count(call.m_job.m_id) > 0)) {
      held.push_back(std::move(*waiter));
      waiter = m_waiters.erase(waiter);
    } else {
      ++waiter;
    }
  }
  for (auto& waiter : held) HoldCall(std::move(waiter));
  LogDecisions();
}

void CoordinatorService::UpdateHold() {
  if (!IsActive()) return;
  const auto now = BootNow();
  ExpireWaiters(now);
  if (IsStoreSilent(now)) HoldWaiters();
  GiveUpHeld(TakeExpired(m_held, now), JobCallStatus::kUnknown);
  ConfirmHeldAnswers();
  if (!IsStoreSilent(now)) EndHoldEpisode();
}

void CoordinatorService::ReleaseHeld() {
  if (m_held.m_calls.empty()) return;
  const auto now = BootNow();
  // In a store that answers slowly, an answer shows that it works although younger appends are
  // overdue. Writes are released only if an append may carry them now, or they would be held again.
  const bool writable = !IsStoreSilent(now) || MayBegin(m_appends, now);
  const auto most = writable ? m_held.m_options.m_batch_calls : 0;
  const auto unwritten = std::min(most, m_state.m_unwritten_jobs.size());
  const core::fleet::ReleaseRoom room{.m_calls = most - unwritten,
                                      .m_bytes = m_held.m_options.m_batch_bytes};
  for (const auto number : Release(m_held, now, room)) {
    Serve(std::move(m_held_waiters.extract(number).mapped()), /*released=*/true);
  }
  ScheduleCycle();
}

void CoordinatorService::EndHold() {
  GiveUpHeld(TakeAll(m_held, BootNow()), JobCallStatus::kNotCoordinator);
  EndHoldEpisode();
}

void CoordinatorService::EndHoldEpisode() {
  if (!m_held.m_calls.empty() || !std::exchange(m_holding, false)) return;
  const auto counts = EndEpisode(m_held);
  LogEvent(kHoldEnded, {{"epoch", m_leadership.m_epoch},
                        {"held", counts.m_held},
                        {"most", counts.m_most},
                        {"released", counts.m_released},
                        {"expired", GivenUp(counts, GiveUpCause::kExpired)},
                        {"displaced", GivenUp(counts, GiveUpCause::kDisplaced)},
                        {"cancelled", GivenUp(counts, GiveUpCause::kCancelled)},
                        {"ended", GivenUp(counts, GiveUpCause::kEnded)},
                        {"longest_wait_ms", core::ToMillis(counts.m_longest_wait)}});
}

}  // namespace ebonypin::daemon
