/// Answers of a coordinator to callers that are true only while there is no later coordinator.
///
/// A coordinator that was frozen or cut off may have a successor without knowing it. It does not
/// know the jobs that the successor has accepted, nor what the successor told callers. An answer
/// from memory is therefore given only when the store has confirmed the epoch by a call that was
/// sent late enough. An answer that waits for an append needs no confirmation, because the
/// store refuses appends of earlier epochs.
///
/// Example:
///
///     const auto needed = NeededConfirmation(call, reply, now);
///     if (leadership.m_confirmed >= needed) return done(reply);
#pragma once

#include "ebonypin/core/fleet/messages.h"
#include "ebonypin/core/time.h"

namespace ebonypin::core::fleet {

/// Largest age of the state of an open job and of the number of pending jobs. The platform's
/// documentation lets the latter be 2 s old, and requires accepted jobs to be visible after 3 s.
inline constexpr Duration kMaxAnswerAge = std::chrono::seconds{2};

/// Returns the earliest sending time of a confirmation that makes `reply`, which rests on memory,
/// true for a call that arrived at `arrived`. Time{}: it needs none, because no later coordinator
/// contradicts it.
[[nodiscard]] Time NeededConfirmation(const JobCall& call, const JobCallReply& reply,
                                      Time arrived) noexcept;

/// Calls that ask the store whether the epoch is still the latest.
struct Confirmations {
  Time m_sent;           ///< Of the newest call.
  bool m_open = false;   ///< The newest call has not been answered.
  Time m_waiting_since;  ///< Oldest call since the last confirmation; Time{}: none.
};

struct ConfirmationOptions {
  /// Time without an answer after which another call is sent. Several times what a healthy store
  /// needs for an answer.
  Duration m_overlap_after = std::chrono::milliseconds{50};
  /// Least time between two calls, so that the answers of a burst share one.
  Duration m_interval = std::chrono::milliseconds{12};
  Duration m_retry_delay = std::chrono::milliseconds{100};
};

/// Returns the earliest time of the next call for answers that wait.
[[nodiscard]] Time NextConfirmation(const Confirmations& calls,
                                    const ConfirmationOptions& options) noexcept;

void OnConfirmationSent(Confirmations& calls, Time now) noexcept;

/// Handles the end of the call that was sent at `sent`, with or without success.
void OnConfirmationAnswered(Confirmations& calls, Time sent) noexcept;

/// Handles a success of this call or of an append that was sent at `sent`: a call that was sent
/// before it and had none no longer shows that the store is silent.
void OnEpochConfirmed(Confirmations& calls, Time sent) noexcept;

/// Returns since when the store has been asked without success, where `append_began` is the
/// beginning of the oldest open append. Time{}: it has not.
[[nodiscard]] Time SilentSince(const Confirmations& calls, Time append_began) noexcept;

}  // namespace ebonypin::core::fleet
