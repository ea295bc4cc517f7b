/// Group commit as a state machine without threads or clocks. LogWriter (log_writer.h) drives it.
///
/// Records are queued and appended in batches, one append at a time. A batch whose append got no
/// answer is appended again under the same batch id. A batch counts as appended only once the tail
/// has read it back, because the log service may lose an answer and may drop an append that it has
/// answered.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "ebonypin/core/records.h"

namespace ebonypin::platform {

struct GroupCommitOptions {
  core::EntryId m_entry;
  core::Incarnation m_incarnation = 0;  ///< Makes batch ids unique across restarts.
  core::Duration m_batch_delay = std::chrono::milliseconds{10};
  std::size_t m_max_records = 256;
  std::size_t m_max_bytes = 768U << 10U;  ///< Leaves room below the message limit of 1 MiB.
  std::uint32_t m_max_appends_per_second = 100;
  std::size_t m_queue_limit = 8192;
  /// Age at which a record is reported as not appended, if no append of it can have taken effect.
  core::Duration m_unsent_timeout = std::chrono::seconds{1};
  /// Age at which a batch that may have been written but was not read back is reported as unknown.
  core::Duration m_confirm_timeout = std::chrono::seconds{5};
  core::Duration m_retry_delay = std::chrono::milliseconds{100};
  /// Time after an answered append at which the batch is appended again unless it was read back.
  core::Duration m_read_back_timeout = std::chrono::seconds{1};
};

/// Final outcome of the append of a record.
enum class AppendOutcomeKind : std::uint8_t {
  kAppended,     ///< The tail has read the record back.
  kNotAppended,  ///< The record is not in the log and will not appear there.
  kUnknown,      ///< The record may be in the log or appear there later.
};

struct AppendOutcome {
  AppendOutcomeKind m_kind = AppendOutcomeKind::kUnknown;
  core::LogOffset m_offset = 0;        ///< Offset of the batch, when appended.
  std::optional<core::Error> m_error;  ///< Set unless appended.
  friend bool operator==(const AppendOutcome&, const AppendOutcome&) = default;
};

/// Outcome of the record submitted under `m_ticket`.
struct AppendCompletion {
  std::uint64_t m_ticket = 0;
  AppendOutcome m_outcome;
  friend bool operator==(const AppendCompletion&, const AppendCompletion&) = default;
};

/// Batch that was formed and has not been read back yet.
struct OpenBatch {
  std::string m_batch_id;
  std::string m_bytes;
  std::vector<std::uint64_t> m_tickets;
  core::Time m_formed;
  core::Time m_next_try;
  bool m_maybe_sent = false;  ///< An append of this batch may have taken effect.
  bool m_failing = false;     ///< The last append of this batch was not confirmed.
};

struct QueuedRecord {
  std::uint64_t m_ticket = 0;
  core::Time m_submitted;
  std::size_t m_bytes = 0;
  core::LogRecord m_record;
};

struct GroupCommitCounters {
  std::uint64_t m_appends = 0;
  std::uint64_t m_records = 0;       ///< Records in batches that were appended for the first time.
  std::uint64_t m_repeats = 0;       ///< Appends of a batch that was appended before.
  std::uint64_t m_answers_lost = 0;  ///< Appends without an answer.
  std::uint64_t m_refused = 0;       ///< Records refused because the queue was full.
};

struct GroupCommit {
  GroupCommitOptions m_options;
  std::deque<QueuedRecord> m_queue;
  std::deque<OpenBatch> m_open;
  std::optional<std::string> m_in_flight;  ///< Batch id of the append in progress.
  core::Time m_next_append;                ///< Earliest time of the next append.
  std::uint64_t m_last_ticket = 0;
  std::uint64_t m_last_batch = 0;
  GroupCommitCounters m_counters;
};

/// Append that the caller must carry out now.
struct AppendAction {
  std::string m_batch_id;
  std::string m_bytes;
};

/// Answer of the log service to one append.
enum class AppendAnswer : std::uint8_t { kOk, kNotWritten, kNoAnswer };

/// Queues `record` and returns its ticket, or nothing when the queue is full.
[[nodiscard]] std::optional<std::uint64_t> Submit(GroupCommit& state, core::Time now,
                                                  core::LogRecord record);

/// Returns the append to start now, if any. OnAppendAnswer must follow it.
[[nodiscard]] std::optional<AppendAction> NextAppend(GroupCommit& state, core::Time now);

/// Returns when to call NextAppend or Expire next; at most 100 ms later.
[[nodiscard]] core::Time NextWake(const GroupCommit& state, core::Time now);

/// Processes the answer to the append in progress.
void OnAppendAnswer(GroupCommit& state, core::Time now, AppendAnswer answer);

/// Processes a batch that the tail has read. Returns the completions of its records, in order.
[[nodiscard]] std::vector<AppendCompletion> OnReadBack(GroupCommit& state,
                                                       const std::string& batch_id,
                                                       core::LogOffset offset);

/// Ends queued records and open batches whose time limit has passed, and returns their completions.
[[nodiscard]] std::vector<AppendCompletion> Expire(GroupCommit& state, core::Time now);

}  // namespace ebonypin::platform
