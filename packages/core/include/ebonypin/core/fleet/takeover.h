/// Takeover: until when grants of earlier epochs may last.
///
/// A coordinator acts for at most its authority after its last confirmation by the store, and the
/// fence of a later epoch precludes further confirmations. So all grants of earlier epochs have
/// ended an authority and a grant after the fence of the new epoch. What is known of the
/// predecessor alone shortens this only when no grant of an epoch before it is left: its
/// coordinator has recorded so (see SettledRecord) or says how long they may last.
#pragma once

#include <cstdint>
#include <string_view>

#include "ebonypin/core/fleet/messages.h"
#include "ebonypin/core/ids.h"
#include "ebonypin/core/time.h"

namespace ebonypin::core::fleet {

/// Times that every version of a coordinator keeps.
struct GrantTimes {
  Duration m_authority{};  ///< LeadershipOptions::m_authority.
  Duration m_grant{};      ///< Grant and the margin after it.

  friend bool operator==(const GrantTimes&, const GrantTimes&) = default;
};

/// What a new coordinator has read about the epochs before its own.
struct EarlierEpochs {
  Epoch m_previous = 0;  ///< Newest one that was claimed; zero: none is known.
  /// Newest epoch whose coordinator recorded that no grant of an epoch before it was left; zero:
  /// none did.
  Epoch m_settled = 0;
  bool m_previous_ended = false;  ///< The process of the newest one has ended.

  friend bool operator==(const EarlierEpochs&, const EarlierEpochs&) = default;
};

enum class WaitCause : std::uint8_t {
  kPreviousEnded,    ///< Only grants of the previous epoch are left, whose process has ended.
  kPreviousStepped,  ///< Only grants of the previous epoch are left, which has stepped down.
  kPreviousMayAct,   ///< The previous coordinator may still give grants.
  kEarlierMayAct,    ///< A coordinator before the previous one may still give grants.
};

[[nodiscard]] std::string_view WaitCauseName(WaitCause cause) noexcept;

/// Wait for members that do not report.
struct SilentWait {
  Time m_until;  ///< All grants of earlier epochs have ended by this time.
  WaitCause m_cause = WaitCause::kEarlierMayAct;

  friend bool operator==(const SilentWait&, const SilentWait&) = default;
};

/// Returns the wait of a coordinator that becomes active at `now`, after its fence.
[[nodiscard]] SilentWait WaitAfterFence(const GrantTimes& times, Time now,
                                        const EarlierEpochs& earlier) noexcept;

/// Returns the wait after the answer of the previous coordinator to StepDown. It is never longer
/// than `wait`, whatever the answer says.
[[nodiscard]] SilentWait WaitAfterStepDown(const GrantTimes& times, Time now,
                                           const EarlierEpochs& earlier, const SilentWait& wait,
                                           const StepDownReply& reply) noexcept;

}  // namespace ebonypin::core::fleet
