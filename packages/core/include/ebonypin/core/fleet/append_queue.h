/// Appends of a coordinator that the store has not confirmed yet.
///
/// Callers wait for the append of their change, and a change that misses an append waits for the
/// next one. While the store is fast, appends follow one another. While it is slow, a few are in
/// progress at the same time, so that a change waits for about one answer and not for up to two.
/// The store takes them in the order of their sequence numbers, but it takes any number as the
/// first one of an epoch. The first append of an epoch is therefore the only one until the store
/// has taken it.
///
/// Example:
///
///     AppendQueue queue;
///     if (MayBegin(queue, now)) Send(Begin(queue, now, TakeWrites(state, wall)));
///     const auto result = OnOutcome(queue, now, sequence, AppendOutcome::kAppended);
///     for (const auto& batch : result.m_written) OnWritten(state, batch);
#pragma once

#include <deque>
#include <vector>

#include "ebonypin/core/fleet/coordinator.h"

namespace ebonypin::core::fleet {

struct AppendQueueOptions {
  /// Interval between two appends, so that the records of a burst share one append; each append
  /// costs 2 ms at the store.
  Duration m_interval = std::chrono::milliseconds{12};
  /// Time without an answer after which the next append begins. Several times what a healthy store
  /// needs for an answer.
  Duration m_overlap_after = std::chrono::milliseconds{50};
  /// Limit on appends in progress. The store remembers the answers of five.
  std::size_t m_max_open = 4;
  Duration m_retry_delay = std::chrono::milliseconds{100};
};

struct OpenAppend {
  std::uint64_t m_sequence = 0;
  WriteBatch m_batch;
  Time m_began;
  bool m_in_flight = false;
  bool m_was_oldest = false;  ///< It was the oldest open append when it was last sent.
};

struct AppendQueue {
  AppendQueueOptions m_options;
  std::deque<OpenAppend> m_open;  ///< By sequence number.
  std::uint64_t m_last_sequence = 0;
  bool m_first_taken = false;  ///< The store has taken an append of this epoch.
  Time m_not_before;           ///< Earliest time of the next call.
  Time m_failing_since;        ///< Clock epoch while appends succeed.
};

/// How a call ended; see AppendStatus of the store.
enum class AppendOutcome : std::uint8_t {
  kAppended,
  kNotAppended,
  kUnknown,
  kOutOfSequence,  ///< The store expects another sequence number.
  kFenced,         ///< Another coordinator writes.
  kRefused,        ///< Not appended, and a repeat would be refused again.
};

/// What follows from an outcome.
struct AppendResult {
  std::vector<WriteBatch> m_written;  ///< In the store now, in order.
  /// When the append that was taken was first sent: the store may answer a repeat as it answered
  /// the first call, even if it has seen a later epoch since.
  Time m_confirmed;
  bool m_superseded = false;  ///< Another coordinator writes: step down.
  /// The store will never take the append, nor those after it: step down. The records cannot be cut
  /// into other appends in this epoch, because a former call with the same sequence number may have
  /// been carried out, or may be later.
  bool m_refused = false;
  bool m_failed = false;  ///< The call is to be repeated after the retry delay.
};

/// Returns whether another append may begin.
[[nodiscard]] bool MayBegin(const AppendQueue& queue, Time now) noexcept;

/// Adds an append, which is to be sent now.
[[nodiscard]] const OpenAppend& Begin(AppendQueue& queue, Time now, WriteBatch batch);

/// Takes a batch without records, which counts as written once all open appends are. Returns
/// whether that is so already.
[[nodiscard]] bool TakeEmpty(AppendQueue& queue, WriteBatch batch);

/// Returns the append to send again now, marked as in flight, or null. Only the oldest one is
/// repeated, because the store takes those after it only then.
[[nodiscard]] const OpenAppend* NextRepeat(AppendQueue& queue, Time now) noexcept;

/// Handles the end of a call for the append with this sequence number. An append that was taken
/// shows that those before it were taken too.
[[nodiscard]] AppendResult OnOutcome(AppendQueue& queue, Time now, std::uint64_t sequence,
                                     AppendOutcome outcome);

/// Returns when the oldest open append began; clock epoch: none is open.
[[nodiscard]] Time OldestBegan(const AppendQueue& queue) noexcept;

}  // namespace ebonypin::core::fleet
