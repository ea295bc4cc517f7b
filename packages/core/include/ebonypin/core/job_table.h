/// Jobs and shard ownership of a region, determined by the order of records in its log stream.
///
/// Every entry applies the same records and reaches the same table. A record that conflicts with an
/// earlier one is void: it changes nothing and yields an event with the reason.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "ebonypin/core/records.h"

namespace ebonypin::core {

/// Closed jobs and their idempotency keys are kept for this many offsets after the close. About
/// four days at 22,000 jobs a day in a region with four appends per job.
inline constexpr LogOffset kClosedJobRetentionOffsets = 400'000;

/// Batch ids are kept for this many offsets: more than ten minutes at 100 appends/s. An appender
/// repeats an append only for seconds.
inline constexpr LogOffset kBatchIdOffsets = 65'536;

/// Results of closed jobs are kept up to this total in bytes; the oldest are dropped first. A
/// quarter of the 64 MB that an entry may use.
inline constexpr std::size_t kClosedResultBytes = 16U << 20U;

enum class JobEventKind : std::uint8_t {
  kAccepted,
  kAssigned,
  kRequeued,
  kFinished,  ///< Closed by JobFinished.
  /// Closed by JobCancelled, or by the requeue of a job whose cancellation was requested.
  kCancelled,
  kCancelRequested,  ///< JobCancelled of a job with a current attempt.
  kSnapshot,
  kShardClaimed,
  kShardReleased,
  kVoid,  ///< The record has no effect; `m_reason` gives the reason.
};

enum class VoidReason : std::uint8_t {
  kNone,
  kDuplicateKey,    ///< The key maps to `m_existing`.
  kDuplicateJob,    ///< The job id is known; `m_existing` is that job.
  kUnknownJob,      ///< No accepted job with this id is in the table.
  kStaleEpoch,      ///< The epoch is not the shard's current one, or the shard is released.
  kStaleAttempt,    ///< The record may not change this attempt.
  kClosed,          ///< The job is closed.
  kChangedSince,    ///< Another record of the job follows the snapshot's offset.
  kNotOwner,        ///< A release by an entry that does not own the shard.
  kDuplicateBatch,  ///< The batch was applied before.
};

/// Effect of one record of a batch. Identifying members are copied from the record.
struct JobEvent {
  JobEventKind m_kind = JobEventKind::kVoid;
  VoidReason m_reason = VoidReason::kNone;
  std::size_t m_record = 0;  ///< Index of the record in its batch.
  JobId m_job;               ///< Empty for shard records.
  JobId m_existing;          ///< For kDuplicateKey and kDuplicateJob.
  Attempt m_attempt = 0;
  Epoch m_epoch = 0;
  ShardIndex m_shard = 0;
  EntryId m_entry;  ///< Writer of the batch.
  LogOffset m_offset = 0;
  friend bool operator==(const JobEvent&, const JobEvent&) = default;
};

/// Open job with the offsets that snapshots need.
struct OpenJob {
  JobState m_state;
  LogOffset m_last_reference = 0;  ///< Last record that refers to the job, void or not.
  /// Last accept or snapshot, from which a partial table can restore the job.
  LogOffset m_recorded = 0;
  friend bool operator==(const OpenJob&, const OpenJob&) = default;
};

/// Part of a closed job's state that is kept after the close.
struct ClosedJob {
  ClassName m_class;
  RequestId m_request;
  std::string m_key;
  std::string m_result;
  LogOffset m_accepted_offset = 0;
  LogOffset m_closed_offset = 0;
  LogOffset m_last_reference = 0;
  LogOffset m_recorded = 0;
  WallMillis m_accepted_wall = 0;
  Attempt m_attempt = 0;
  JobOutcome m_outcome = JobOutcome::kUnknown;
  bool m_result_dropped = false;  ///< The result is in the log only; see kClosedResultBytes.
  friend bool operator==(const ClosedJob&, const ClosedJob&) = default;
};

/// Ownership of one shard and its jobs.
struct ShardState {
  Epoch m_epoch = 0;
  EntryId m_owner;  ///< Empty when no entry owns the shard.
  Incarnation m_owner_incarnation = 0;
  LogOffset m_claimed_offset = 0;
  std::unordered_map<JobId, OpenJob> m_open;
  std::unordered_map<JobId, ClosedJob> m_closed;
};

struct JobTable {
  /// Set before the first Apply when the table does not start at the stream's first record. Records
  /// of jobs whose accept was truncated are then expected, and the largest epoch seen of a shard is
  /// taken as its current one.
  bool m_partial = false;
  LogOffset m_first_offset = 0;  ///< Offset of the first batch applied.
  LogOffset m_offset = 0;        ///< Offset of the last batch applied.
  std::array<ShardState, kShardCount> m_shards;
  std::unordered_map<std::string, JobId> m_keys;
  /// Last references to truncated jobs; partial tables only.
  std::unordered_map<JobId, LogOffset> m_unknown_references;
  std::unordered_set<std::uint64_t> m_batches;  ///< Hashes of batch ids.
  std::deque<std::pair<LogOffset, std::uint64_t>> m_batch_order;
  std::deque<std::pair<LogOffset, JobId>> m_closed_order;
  std::deque<JobId> m_result_order;
  std::size_t m_result_bytes = 0;
};

/// Applies `batch`, read at `offset`, to the table and appends one event for each job or shard
/// record to `events`. Records of other streams are skipped. A batch at or before `m_offset` is
/// ignored without events.
///
/// Example: `Apply(table, tail.m_offset, tail.m_batch, events);`
void Apply(JobTable& table, LogOffset offset, const LogBatch& batch, std::vector<JobEvent>& events);

/// Returns the open job `job`, or nullptr.
[[nodiscard]] const JobState* FindOpen(const JobTable& table, const JobId& job) noexcept;

/// Returns the closed job `job`, or nullptr when it is open, unknown or removed after its expiry.
[[nodiscard]] const ClosedJob* FindClosed(const JobTable& table, const JobId& job) noexcept;

/// Returns whether a job closed at `closed_offset` has expired at `offset`. An expired job may
/// still be in the table, but no longer has any effect.
[[nodiscard]] bool IsExpired(LogOffset closed_offset, LogOffset offset) noexcept;

/// Returns the job of the idempotency key `key`, or nothing.
[[nodiscard]] std::optional<JobId> FindByKey(const JobTable& table, const std::string& key);

/// Returns the number of open jobs of all shards.
[[nodiscard]] std::size_t OpenCount(const JobTable& table) noexcept;

/// Returns snapshots of at most `limit` jobs of `shard`, open or closed, whose last accept or
/// snapshot lies before `before`. Appending them preserves the jobs beyond the log's retention.
[[nodiscard]] std::vector<JobSnapshot> SnapshotsBefore(const JobTable& table, ShardIndex shard,
                                                       LogOffset before, std::size_t limit);

}  // namespace ebonypin::core
