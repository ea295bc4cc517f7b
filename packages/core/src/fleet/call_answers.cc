#include "ebonypin/core/fleet/call_answers.h"

#include <algorithm>

namespace ebonypin::core::fleet {
namespace {

/// Returns whether the phase is shown until the job changes, which a successor may do.
bool MayChange(const JobPhase phase) noexcept {
  return phase == JobPhase::kQueued || phase == JobPhase::kRunning;
}

}  // namespace

Time NeededConfirmation(const JobCall& call, const JobCallReply& reply,
                        const Time arrived) noexcept {
  switch (call.m_kind) {
    case JobCallKind::kSubmit:
      // A repeated submission may have been accepted by a successor.
      return reply.m_status == JobCallStatus::kRefused ? arrived : Time{};
    case JobCallKind::kCancel:
      // An answer that acknowledges the cancel rests on a record.
      return {};
    case JobCallKind::kState:
      if (reply.m_status == JobCallStatus::kNoSuchJob) return arrived;
      return MayChange(reply.m_phase) ? arrived - kMaxAnswerAge : Time{};
    case JobCallKind::kPending:
      return arrived - kMaxAnswerAge;
  }
  return arrived;
}

Time NextConfirmation(const Confirmations& calls, const ConfirmationOptions& options) noexcept {
  if (calls.m_sent == Time{}) return {};
  if (calls.m_open) return calls.m_sent + options.m_overlap_after;
  const bool failed = calls.m_waiting_since != Time{};
  return calls.m_sent + (failed ? options.m_retry_delay : options.m_interval);
}

void OnConfirmationSent(Confirmations& calls, const Time now) noexcept {
  calls.m_sent = now;
  calls.m_open = true;
  if (calls.m_waiting_since == Time{}) calls.m_waiting_since = now;
}

void OnConfirmationAnswered(Confirmations& calls, const Time sent) noexcept {
  if (sent == calls.m_sent) calls.m_open = false;
}

void OnEpochConfirmed(Confirmations& calls, const Time sent) noexcept {
  if (sent < calls.m_waiting_since) return;
  calls.m_waiting_since = calls.m_open && calls.m_sent > sent ? calls.m_sent : Time{};
}

Time SilentSince(const Confirmations& calls, const Time append_began) noexcept {
  if (calls.m_waiting_since == Time{}) return append_began;
  if (append_began == Time{}) return calls.m_waiting_since;
  return std::min(calls.m_waiting_since, append_began);
}

}  // namespace ebonypin::core::fleet
