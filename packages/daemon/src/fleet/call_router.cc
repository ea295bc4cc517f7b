#include "call_router.h"

#include <algorithm>
#include <utility>

#include "boot_clock.h"
#include "ebonypin/core/fleet/held_calls.h"

namespace ebonypin::daemon {

using core::fleet::JobCallReply;
using core::fleet::JobCallStatus;

namespace {

/// Interval at which the router looks for calls that wait for a former coordinator.
constexpr auto kNewCoordinatorInterval = std::chrono::milliseconds{100};
/// Time after the end of `m_wait` within which the answer of a coordinator that holds the call
/// arrives: it examines its held calls every 50 ms.
constexpr core::Duration kHeldAnswerTime = std::chrono::milliseconds{150};

}  // namespace

/// Call that has not been answered yet.
struct CallRouter::PendingCall {
  core::fleet::JobCall m_call;
  core::Time m_deadline;
  JobCallDone m_done;
  bool m_may_have_run = false;  ///< An earlier attempt may have taken effect.
  std::uint64_t m_attempt = 0;  ///< Number of the newest attempt.
  core::Time m_latest;          ///< Latest time of an answer that a coordinator is waited for.
  core::Time m_give_up;         ///< Until when the call is held; Time{}: it is not.
  std::string m_asked;          ///< Address of the coordinator that is to answer; empty: none.
};

CallRouter::CallRouter(std::shared_ptr<EventThread> events, wire::Rpc& rpc,
                       CoordinatorService& coordinator, const CallRouterOptions options)
    : m_events(std::move(events)), m_rpc(rpc), m_coordinator(coordinator), m_options(options) {
  if (m_options.m_holds) m_events->Every(kNewCoordinatorInterval, [this] { AskNewCoordinator(); });
}

void CallRouter::Call(core::fleet::JobCall call, const core::Duration budget, JobCallDone done) {
  const auto now = BootNow();
  const auto wait = m_options.m_holds ? call.m_wait : core::Duration{};
  const auto time = std::max(std::min(budget, m_options.m_budget), wait);
  auto pending = std::make_shared<PendingCall>(
      PendingCall{.m_call = std::move(call),
                  .m_deadline = now + time,
                  .m_done = std::move(done),
                  .m_latest = now + std::max(budget, time),
                  .m_give_up = wait > core::Duration{} ? now + wait : core::Time{}});
  m_open.insert(pending);
  Attempt(pending);
}

void CallRouter::GiveUpAll(const std::string& reason) {
  const auto open = m_open;
  for (const auto& pending : open) GiveUp(pending, {.m_reason = reason});
}

void CallRouter::Attempt(const std::shared_ptr<PendingCall>& pending) {
  if (m_open.count(pending) == 0) return;
  const auto now = BootNow();
  const auto left = std::max<core::Duration>(pending->m_deadline - now, m_options.m_retry_delay);
  const auto attempt = ++pending->m_attempt;
  auto timeout = std::min(left, m_options.m_attempt_timeout);
  if (pending->m_give_up != core::Time{}) {
    // A call that is to be given up at once still says that it may be held.
    pending->m_call.m_wait = std::max<core::Duration>(pending->m_give_up - now, core::Duration{1});
    timeout = std::max(left, std::min(left + kHeldAnswerTime, pending->m_latest - now));
  }
  pending->m_asked.clear();
  const auto& known = m_coordinator.Known();
  if (m_coordinator.IsActive()) {
    return m_coordinator.Call(
        pending->m_call, left,
        [this, pending, attempt](const JobCallReply& reply) { OnReply(pending, attempt, reply); });
  }
  if (known.m_rpc_address.empty()) {
    return OnReply(
        pending, attempt,
        {.m_status = JobCallStatus::kNotCoordinator, .m_reason = "no coordinator is known"});
  }
  pending->m_asked = known.m_rpc_address;
  m_rpc.Call(
      known.m_rpc_address, pending->m_call, timeout,
      [this, pending, attempt](const wire::CallResult& result) {
        JobCallReply reply;
        if (const auto* const r = result.Get<JobCallReply>()) {
          reply = *r;
        } else if (const auto* const error = result.GetError()) {
          const bool not_sent = error->m_kind == core::ErrorKind::kNoCapacity;
          reply.m_status = not_sent ? JobCallStatus::kNotCoordinator : JobCallStatus::kUnknown;
          reply.m_reason = error->m_message;
        }
        m_events->Post([this, pending, attempt, reply] { OnReply(pending, attempt, reply); });
      });
}

void CallRouter::AskNewCoordinator() {
  const auto open = m_open;
  for (const auto& pending : open) {
    const bool waits = pending->m_give_up != core::Time{} && !pending->m_asked.empty();
    if (!waits || pending->m_asked == m_coordinator.Known().m_rpc_address) continue;
    pending->m_may_have_run = true;
    Attempt(pending);
  }
}

void CallRouter::OnReply(const std::shared_ptr<PendingCall>& pending, const std::uint64_t attempt,
                         const JobCallReply& reply) {
  if (reply.m_epoch > 0 && !reply.m_coordinator.empty()) {
    m_coordinator.ObserveCoordinator(reply.m_epoch, reply.m_coordinator);
  }
  if (m_open.count(pending) == 0 || attempt != pending->m_attempt) return;
  pending->m_asked.clear();
  const bool retryable =
      reply.m_status == JobCallStatus::kNotCoordinator || reply.m_status == JobCallStatus::kUnknown;
  if (reply.m_status == JobCallStatus::kUnknown) pending->m_may_have_run = true;
  if (!retryable) {
    JobCallReply final_reply = reply;
    // An earlier attempt may still be under way, and be accepted after this one was refused.
    if (reply.m_status == JobCallStatus::kRefused && pending->m_may_have_run) {
      final_reply.m_status = JobCallStatus::kUnknown;
    }
    return Finish(pending, final_reply);
  }
  // The coordinator has given the call up, unless a later one is known by now.
  const bool given_up =
      reply.m_retry_after > core::Duration{} && reply.m_epoch >= m_coordinator.Known().m_epoch;
  const auto now = BootNow();
  if (given_up || now >= pending->m_deadline) return GiveUp(pending, reply);
  if (now + m_options.m_retry_delay >= pending->m_deadline) {
    if (pending->m_give_up == core::Time{}) return GiveUp(pending, reply);
    m_events->At(Now() + (pending->m_deadline - now),
                 [this, pending, reply] { GiveUp(pending, reply); });
    return;
  }
  m_events->At(Now() + m_options.m_retry_delay, [this, pending] { Attempt(pending); });
}

void CallRouter::GiveUp(const std::shared_ptr<PendingCall>& pending, JobCallReply last) {
  last.m_status = JobCallStatus::kUnknown;
  last.m_retry_after = m_options.m_holds ? core::fleet::SpreadRetryAfter(pending->m_call.m_job.m_id)
                                         : m_options.m_retry_after;
  Finish(pending, last);
}

void CallRouter::Finish(const std::shared_ptr<PendingCall>& pending, const JobCallReply& reply) {
  if (m_open.erase(pending) > 0) pending->m_done(reply);
}

}  // namespace ebonypin::daemon
