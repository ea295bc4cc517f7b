/// Calls that the coordinator holds while the store is unavailable.
///
/// A held submission has not entered the state of the coordinator, and no append has carried it.
/// Calls are released when the store responds again, and given up when their time has passed or
/// when more urgent ones need the room.
///
/// Example:
///
///     const auto result = Hold(held, now, call);           // the store does not respond
///     for (const auto number : result.m_displaced) GiveUp(number);
///     for (const auto number : TakeExpired(held, now)) GiveUp(number);
///     for (const auto number : Release(held, now, room)) Serve(number);  // it has responded
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <vector>

#include "ebonypin/core/fleet/messages.h"
#include "ebonypin/core/ids.h"
#include "ebonypin/core/time.h"

namespace ebonypin::core::fleet {

struct HeldCallsOptions {
  /// Several times the calls that arrive in the largest hold time on the largest known site.
  std::size_t m_max_calls = 4'000;
  /// A tenth of the memory of the smallest entry.
  std::size_t m_max_bytes = std::size_t{16} << 20U;
  /// Writes that enter the state for one append, with those that are there already.
  std::size_t m_batch_calls = 200;
  /// A quarter of what one append may carry.
  std::size_t m_batch_bytes = std::size_t{512} << 10U;
};

struct HeldCall {
  JobCallKind m_kind = JobCallKind::kState;
  JobId m_job;
  std::uint32_t m_priority = 0;  ///< Of the queue; 0 is the most urgent.
  std::size_t m_bytes = 0;       ///< Of a submission's job; see JobBytes.
  Time m_arrived;
  Time m_give_up;  ///< The call is not released from this time on.

  friend bool operator==(const HeldCall&, const HeldCall&) = default;
};

/// Why a call left the hold without being released.
enum class GiveUpCause : std::uint8_t {
  kExpired,    ///< Its give-up time has passed.
  kDisplaced,  ///< The hold was full of more urgent calls.
  kCancelled,  ///< A cancel of the held submission arrived.
  kEnded,      ///< The leadership ended.
};

struct HeldCounts {
  std::uint64_t m_held = 0;  ///< A call that is held again after its release counts again.
  std::uint64_t m_released = 0;
  std::map<GiveUpCause, std::uint64_t> m_given_up;
  std::size_t m_most = 0;  ///< Largest number of calls at one time.
  Duration m_longest_wait{};

  friend bool operator==(const HeldCounts&, const HeldCounts&) = default;
};

struct HeldCalls {
  /// Submissions of one job, which share its memory.
  struct Submission {
    std::set<std::uint64_t> m_numbers;
    std::size_t m_bytes = 0;
  };
  /// Order of urgency: writes before reads, then by priority, then by give-up time.
  using Urgency = std::tuple<bool, std::uint32_t, Time, std::uint64_t>;

  HeldCallsOptions m_options;
  std::map<std::uint64_t, HeldCall> m_calls;  ///< By number.
  std::set<Urgency> m_order;                  ///< The most urgent call first.
  std::map<JobId, Submission> m_submissions;
  std::size_t m_bytes = 0;
  std::uint64_t m_last_number = 0;
  HeldCounts m_total;    ///< Since the process started.
  HeldCounts m_episode;  ///< Since the hold was last empty and EndEpisode was called.
};

/// Room for writes in the next append.
struct ReleaseRoom {
  std::size_t m_calls = 0;
  std::size_t m_bytes = 0;
};

struct HoldResult {
  std::uint64_t m_number = 0;
  std::vector<std::uint64_t> m_displaced;  ///< May contain the new call.
};

/// Returns how long a call is held: at most `hold`, and at most half of the caller's wait, so that
/// the caller has time to ask another entry.
[[nodiscard]] Duration HoldTime(Duration hold, Duration caller_wait) noexcept;

/// Returns the Retry-After of a call that was given up: 1 or 2 s by the job, so that the repeats of
/// a burst do not arrive together.
[[nodiscard]] Duration SpreadRetryAfter(const JobId& job) noexcept;

/// Returns the approximate memory of the job of a call, in bytes; zero if it is not a submission.
[[nodiscard]] std::size_t JobBytes(const JobCall& call) noexcept;

/// Adds a call. A repeat of a held submission joins it: the memory of its job counts once.
[[nodiscard]] HoldResult Hold(HeldCalls& held, Time now, HeldCall call);

/// Removes and returns the calls whose give-up time has passed.
[[nodiscard]] std::vector<std::uint64_t> TakeExpired(HeldCalls& held, Time now);

/// Removes and returns the calls to serve now, in this order: all reads, then writes by priority
/// and give-up time while there is room. One write is released whatever its size if there is room
/// for a call.
[[nodiscard]] std::vector<std::uint64_t> Release(HeldCalls& held, Time now, ReleaseRoom room);

/// Removes and returns the submissions of a job that is cancelled.
[[nodiscard]] std::vector<std::uint64_t> TakeCancelled(HeldCalls& held, Time now, const JobId& job);

/// Removes and returns all calls, because the leadership ends.
[[nodiscard]] std::vector<std::uint64_t> TakeAll(HeldCalls& held, Time now);

/// Returns the number of calls that were given up for `cause`.
[[nodiscard]] std::uint64_t GivenUp(const HeldCounts& counts, GiveUpCause cause);

/// Returns the counts of the episode that ends, and begins a new one.
HeldCounts EndEpisode(HeldCalls& held);

}  // namespace ebonypin::core::fleet
