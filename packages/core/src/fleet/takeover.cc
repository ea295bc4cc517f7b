#include "ebonypin/core/fleet/takeover.h"

#include <algorithm>

namespace ebonypin::core::fleet {
namespace {

/// Returns whether the previous epoch is the only one of which grants may be left.
bool IsSettled(const EarlierEpochs& earlier) noexcept {
  return earlier.m_previous != 0 && earlier.m_settled == earlier.m_previous;
}

}  // namespace

std::string_view WaitCauseName(const WaitCause cause) noexcept {
  switch (cause) {
    case WaitCause::kPreviousEnded:
      return "previous_ended";
    case WaitCause::kPreviousStepped:
      return "previous_stepped_down";
    case WaitCause::kPreviousMayAct:
      return "previous_may_act";
    case WaitCause::kEarlierMayAct:
      return "earlier_may_act";
  }
  return "";
}

SilentWait WaitAfterFence(const GrantTimes& times, const Time now,
                          const EarlierEpochs& earlier) noexcept {
  const Time longest = now + times.m_authority + times.m_grant;
  if (!IsSettled(earlier)) return {.m_until = longest, .m_cause = WaitCause::kEarlierMayAct};
  if (!earlier.m_previous_ended) {
    return {.m_until = longest, .m_cause = WaitCause::kPreviousMayAct};
  }
  return {.m_until = now + times.m_grant, .m_cause = WaitCause::kPreviousEnded};
}

SilentWait WaitAfterStepDown(const GrantTimes& times, const Time now, const EarlierEpochs& earlier,
                             const SilentWait& wait, const StepDownReply& reply) noexcept {
  if (!reply.m_stepped_down) return wait;
  // A process that does not know the previous epoch, such as a restarted one, does not know how
  // long grants of epochs before it last.
  const bool told = earlier.m_previous != 0 && reply.m_epoch == earlier.m_previous;
  if (!IsSettled(earlier) && !told) return wait;
  const Duration left =
      IsSettled(earlier) ? times.m_grant : std::max(times.m_grant, reply.m_earlier_grants_left);
  if (left >= wait.m_until - now) return wait;
  return {.m_until = now + left, .m_cause = WaitCause::kPreviousStepped};
}

}  // namespace ebonypin::core::fleet
