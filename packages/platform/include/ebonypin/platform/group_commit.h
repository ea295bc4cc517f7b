/// Group commit as a state machine without threads or clocks; log_writer.h drives it.
///
/// Records are queued and leave in batches, one append at a time. A batch without an answer is
/// repeated under the same batch id. Only the read-back of a batch counts as success, because an
/// answer may be lost and an answered append may be dropped.
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
  /// A record of which no append can have taken effect by then is reported as not appended.
  core::Duration m_unsent_limit = std::chrono::seconds{1};
  /// A batch that may have been written and was not read back by then is reported as unknown.
  core::Duration m_give_up = std::chrono::seconds{5};
  core::Duration m_retry_delay = std::chrono::milliseconds{100};
  /// An answered append that was not read back by then is repeated.
  core::Duration m_read_back_limit = std::chrono::seconds{1};
};

/// How the append of a record ended.
enum class AppendEnd : std::uint8_t {
  kAppended,     ///< Read back.
  kNotAppended,  ///< Certainly not in the log, now or later.
  kUnknown,      ///< May be in the log or appear there later.
};

struct AppendOutcome {
  AppendEnd m_end = AppendEnd::kUnknown;
  core::LogOffset m_offset = 0;        ///< Of the batch, when appended.
  std::optional<core::Error> m_error;  ///< Set unless appended.
  friend bool operator==(const AppendOutcome&, const AppendOutcome&) = default;
};

/// Outcome of the record submitted under `m_ticket`.
struct AppendCompletion {
  std::uint64_t m_ticket = 0;
  AppendOutcome m_outcome;
  friend bool operator==(const AppendCompletion&, const AppendCompletion&) = default;
};

/// Batch that was formed and not yet read back.
struct OpenBatch {
  std::string m_batch_id;
  std::string m_bytes;
  std::vector<std::uint64_t> m_tickets;
  core::Time m_formed;
  core::Time m_next_try;
  bool m_maybe_sent = false;  ///< Some append of it may have taken effect.
  bool m_failing = false;     ///< The last append of it had no good answer.
};

struct QueuedRecord {
  std::uint64_t m_ticket = 0;
  core::Time m_submitted;
  std::size_t m_bytes = 0;
  core::LogRecord m_record;
};

struct GroupCommitCounters {
  std::uint64_t m_appends = 0;
  std::uint64_t m_records = 0;       ///< Records in first appends.
  std::uint64_t m_repeats = 0;       ///< Appends under a batch id used before.
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

/// Append to carry out now.
struct AppendAction {
  std::string m_batch_id;
  std::string m_bytes;
};

/// How an append ended, as the log service answered.
enum class AppendAnswer : std::uint8_t { kOk, kNotWritten, kNoAnswer };

/// Queues `record` and returns its ticket, or nothing when the queue is full.
[[nodiscard]] std::optional<std::uint64_t> Submit(GroupCommit& state, core::Time now,
                                                  core::LogRecord record);

/// Returns the append to start now, if any. OnAppendAnswer must follow it.
[[nodiscard]] std::optional<AppendAction> NextAppend(GroupCommit& state, core::Time now);

/// Returns when to call NextAppend or Expire next; at most 100 ms later.
[[nodiscard]] core::Time NextWake(const GroupCommit& state, core::Time now);

/// Takes the answer to the append in progress.
void OnAppendAnswer(GroupCommit& state, core::Time now, AppendAnswer answer);

/// Takes a batch that the tail has read and returns the completions of its records, in order.
[[nodiscard]] std::vector<AppendCompletion> OnReadBack(GroupCommit& state,
                                                       const std::string& batch_id,
                                                       core::LogOffset offset);

/// Gives up on what is overdue.
[[nodiscard]] std::vector<AppendCompletion> Expire(GroupCommit& state, core::Time now);

}  // namespace ebonypin::platform
