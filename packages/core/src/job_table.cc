#include "ebonypin/core/job_table.h"

#include <utility>

namespace ebonypin::core {
namespace {

/// Application of one batch to a table.
struct Fold {
  JobTable& m_table;
  LogOffset m_offset;
  std::vector<JobEvent>& m_events;
};

ShardState& ShardOfJob(JobTable& table, const JobId& job) { return table.m_shards[ShardOf(job)]; }

void DropOldestResults(JobTable& table) {
  while (table.m_result_bytes > kClosedResultBytes && !table.m_result_order.empty()) {
    const JobId job = std::move(table.m_result_order.front());
    table.m_result_order.pop_front();
    auto& closed = ShardOfJob(table, job).m_closed;
    const auto found = closed.find(job);
    if (found == closed.end() || found->second.m_result.empty()) continue;
    table.m_result_bytes -= found->second.m_result.size();
    found->second.m_result = {};
    found->second.m_result_dropped = true;
  }
}

/// Replaces the open job by a closed one. A closing record does not carry the key, so a partial
/// table restores the closed job from the accept or snapshot at `recorded`.
void Close(const Fold& fold, const JobState& state, const LogOffset recorded) {
  JobTable& table = fold.m_table;
  ShardState& shard = ShardOfJob(table, state.m_job);
  ClosedJob closed_job{.m_class = state.m_request.m_class,
                       .m_request = state.m_request.m_id,
                       .m_key = state.m_request.m_key,
                       .m_result = state.m_result,
                       .m_accepted_offset = state.m_accepted_offset,
                       .m_closed_offset = state.m_last_offset,
                       .m_last_reference = fold.m_offset,
                       .m_recorded = recorded,
                       .m_accepted_wall = state.m_accepted_wall,
                       .m_attempt = state.m_attempt,
                       .m_outcome = state.m_outcome};
  if (!closed_job.m_key.empty()) table.m_keys.insert_or_assign(closed_job.m_key, state.m_job);
  table.m_closed_order.emplace_back(closed_job.m_closed_offset, state.m_job);
  if (!closed_job.m_result.empty()) {
    table.m_result_bytes += closed_job.m_result.size();
    table.m_result_order.push_back(state.m_job);
  }
  const JobId job = state.m_job;  // `state` may be part of the element that is erased next.
  shard.m_closed.insert_or_assign(job, std::move(closed_job));
  shard.m_open.erase(job);
  DropOldestResults(table);
}

void EraseKey(JobTable& table, const std::string& key, const JobId& job) {
  const auto found = table.m_keys.find(key);
  if (found != table.m_keys.end() && found->second == job) table.m_keys.erase(found);
}

void EraseClosed(JobTable& table, const JobId& job) {
  auto& closed = ShardOfJob(table, job).m_closed;
  const auto found = closed.find(job);
  if (found == closed.end()) return;
  EraseKey(table, found->second.m_key, job);
  table.m_result_bytes -= found->second.m_result.size();
  closed.erase(found);
}

void ExpireClosedJobs(JobTable& table) {
  // Jobs restored from snapshots are queued late, so they are removed after jobs that closed later.
  while (!table.m_closed_order.empty() &&
         IsExpired(table.m_closed_order.front().first, table.m_offset)) {
    EraseClosed(table, table.m_closed_order.front().second);
    table.m_closed_order.pop_front();
  }
}

/// Returns whether a record of `epoch` is valid in `shard`. In a partial table, a larger epoch
/// shows that its claim was truncated, because no entry uses an epoch before it has read its claim
/// back.
bool IsValidEpoch(const JobTable& table, ShardState& shard, const Epoch epoch,
                  const EntryId& writer) {
  if (table.m_partial && epoch > shard.m_epoch) {
    shard.m_epoch = epoch;
    shard.m_owner = writer;
    return true;
  }
  return epoch == shard.m_epoch && !shard.m_owner.IsEmpty();
}

/// Records the reference to `job` and returns the job when it is open; otherwise sets the reason
/// for which the record is void.
OpenJob* FindReferenced(const Fold& fold, const JobId& job, VoidReason& reason) {
  ShardState& shard = ShardOfJob(fold.m_table, job);
  if (const auto open = shard.m_open.find(job); open != shard.m_open.end()) {
    open->second.m_last_reference = fold.m_offset;
    return &open->second;
  }
  if (const auto closed = shard.m_closed.find(job); closed != shard.m_closed.end()) {
    if (!IsExpired(closed->second.m_closed_offset, fold.m_offset)) {
      closed->second.m_last_reference = fold.m_offset;
      reason = VoidReason::kClosed;
      return nullptr;
    }
    EraseClosed(fold.m_table, job);
  }
  if (fold.m_table.m_partial) fold.m_table.m_unknown_references[job] = fold.m_offset;
  reason = VoidReason::kUnknownJob;
  return nullptr;
}

void ApplyRecord(const Fold& fold, const JobAccepted& record, const LogBatch&, JobEvent& event) {
  JobTable& table = fold.m_table;
  event.m_job = record.m_job;
  VoidReason reason = VoidReason::kNone;
  if (FindReferenced(fold, record.m_job, reason) != nullptr || reason == VoidReason::kClosed) {
    event.m_reason = VoidReason::kDuplicateJob;
    event.m_existing = record.m_job;
    return;
  }
  const std::string& key = record.m_request.m_key;
  if (!key.empty()) {
    const auto found = table.m_keys.find(key);
    if (found != table.m_keys.end()) {
      const auto* const closed_job = FindClosed(table, found->second);
      if (closed_job == nullptr || !IsExpired(closed_job->m_closed_offset, fold.m_offset)) {
        event.m_reason = VoidReason::kDuplicateKey;
        event.m_existing = found->second;
        return;
      }
    }
    table.m_keys.insert_or_assign(key, record.m_job);
  }
  ShardOfJob(table, record.m_job)
      .m_open.emplace(record.m_job, OpenJob{.m_state = {.m_job = record.m_job,
                                                        .m_request = record.m_request,
                                                        .m_accepted_wall = record.m_wall,
                                                        .m_accepted_offset = fold.m_offset,
                                                        .m_last_offset = fold.m_offset},
                                            .m_last_reference = fold.m_offset,
                                            .m_recorded = fold.m_offset});
  table.m_unknown_references.erase(record.m_job);
  event.m_kind = JobEventKind::kAccepted;
}

/// Handles the reference of a record that only the shard's owner may write and that `writer` wrote.
/// Returns the open job, or nullptr with the reason in `event` when the record is void.
template <typename Record>
OpenJob* FindForOwner(const Fold& fold, const Record& record, const EntryId& writer,
                      JobEvent& event) {
  event.m_job = record.m_job;
  event.m_attempt = record.m_attempt;
  event.m_epoch = record.m_epoch;
  ShardState& shard = ShardOfJob(fold.m_table, record.m_job);
  const bool epoch_valid = IsValidEpoch(fold.m_table, shard, record.m_epoch, writer);
  OpenJob* const job = FindReferenced(fold, record.m_job, event.m_reason);
  if (job == nullptr || epoch_valid) return job;
  event.m_reason = VoidReason::kStaleEpoch;
  return nullptr;
}

void ApplyRecord(const Fold& fold, const JobAssigned& record, const LogBatch&, JobEvent& event) {
  OpenJob* const job = FindForOwner(fold, record, record.m_entry, event);
  if (job == nullptr) return;
  JobState& state = job->m_state;
  if (state.m_assigned || record.m_attempt != state.m_attempt + 1) {
    event.m_reason = VoidReason::kStaleAttempt;
  } else {
    state.m_attempt = record.m_attempt;
    state.m_assigned = true;
    state.m_agent = record.m_agent;
    state.m_agent_incarnation = record.m_agent_incarnation;
    state.m_reservation = record.m_reservation;
    state.m_last_offset = fold.m_offset;
    event.m_kind = JobEventKind::kAssigned;
  }
}

void ApplyRecord(const Fold& fold, const JobRequeued& record, const LogBatch& batch,
                 JobEvent& event) {
  OpenJob* const job = FindForOwner(fold, record, batch.m_entry, event);
  if (job == nullptr) return;
  JobState& state = job->m_state;
  if (!state.m_assigned || record.m_attempt != state.m_attempt) {
    event.m_reason = VoidReason::kStaleAttempt;
  } else {
    state.m_assigned = false;
    if (!record.m_checkpoint.empty()) state.m_checkpoint = record.m_checkpoint;
    state.m_last_offset = fold.m_offset;
    event.m_kind = JobEventKind::kRequeued;
    if (state.m_cancel_requested) {
      state.m_closed = true;
      state.m_outcome = JobOutcome::kCancelled;
      event.m_kind = JobEventKind::kCancelled;
      Close(fold, state, job->m_recorded);
    }
  }
}

/// Returns whether a job without a current attempt may end with `outcome`.
bool MayEndWithoutAttempt(const JobOutcome outcome) {
  return outcome == JobOutcome::kCancelled || outcome == JobOutcome::kNeverFits;
}

void ApplyRecord(const Fold& fold, const JobFinished& record, const LogBatch& batch,
                 JobEvent& event) {
  OpenJob* const job = FindForOwner(fold, record, batch.m_entry, event);
  if (job == nullptr) return;
  JobState& state = job->m_state;
  if (record.m_attempt != state.m_attempt ||
      (!state.m_assigned && !MayEndWithoutAttempt(record.m_outcome))) {
    event.m_reason = VoidReason::kStaleAttempt;
  } else {
    state.m_assigned = false;
    state.m_closed = true;
    state.m_outcome = record.m_outcome;
    state.m_result = record.m_result;
    state.m_last_offset = fold.m_offset;
    event.m_kind = JobEventKind::kFinished;
    Close(fold, state, job->m_recorded);
  }
}

void ApplyRecord(const Fold& fold, const JobCancelled& record, const LogBatch&, JobEvent& event) {
  event.m_job = record.m_job;
  OpenJob* const job = FindReferenced(fold, record.m_job, event.m_reason);
  if (job == nullptr) return;
  JobState& state = job->m_state;
  event.m_attempt = state.m_attempt;
  state.m_last_offset = fold.m_offset;
  if (state.m_assigned) {
    state.m_cancel_requested = true;
    event.m_kind = JobEventKind::kCancelRequested;
  } else {
    state.m_closed = true;
    state.m_outcome = JobOutcome::kCancelled;
    event.m_kind = JobEventKind::kCancelled;
    Close(fold, state, job->m_recorded);
  }
}

void ApplyRecord(const Fold& fold, const ShardClaimed& record, const LogBatch&, JobEvent& event) {
  event.m_epoch = record.m_epoch;
  if (record.m_shard >= kShardCount) {
    event.m_reason = VoidReason::kStaleEpoch;
    return;
  }
  event.m_shard = record.m_shard;
  ShardState& shard = fold.m_table.m_shards[record.m_shard];
  // In a partial table, the first claim may be a late one that is void in a complete table.
  const bool newer = fold.m_table.m_partial && record.m_epoch > shard.m_epoch;
  if (record.m_epoch != shard.m_epoch + 1 && !newer) {
    event.m_reason = VoidReason::kStaleEpoch;
    return;
  }
  shard.m_epoch = record.m_epoch;
  shard.m_owner = record.m_entry;
  shard.m_owner_incarnation = record.m_incarnation;
  shard.m_claimed_offset = fold.m_offset;
  event.m_kind = JobEventKind::kShardClaimed;
}

void ApplyRecord(const Fold& fold, const ShardReleased& record, const LogBatch&, JobEvent& event) {
  event.m_epoch = record.m_epoch;
  if (record.m_shard >= kShardCount) {
    event.m_reason = VoidReason::kNotOwner;
    return;
  }
  event.m_shard = record.m_shard;
  ShardState& shard = fold.m_table.m_shards[record.m_shard];
  if (shard.m_owner.IsEmpty() || shard.m_owner != record.m_entry ||
      record.m_epoch != shard.m_epoch) {
    event.m_reason = VoidReason::kNotOwner;
    return;
  }
  shard.m_owner = {};
  shard.m_owner_incarnation = 0;
  event.m_kind = JobEventKind::kShardReleased;
}

/// Erases the job, open or closed, and its key.
void EraseJob(JobTable& table, const JobId& job) {
  auto& open = ShardOfJob(table, job).m_open;
  if (const auto found = open.find(job); found != open.end()) {
    EraseKey(table, found->second.m_state.m_request.m_key, job);
    open.erase(found);
  }
  EraseClosed(table, job);
}

/// Restores a job of a partial table from a snapshot. The former state is dropped, because it may
/// come from records that are void in a complete table, such as a repeated accept.
void RestoreFromSnapshot(const Fold& fold, const JobState& state) {
  JobTable& table = fold.m_table;
  table.m_unknown_references.erase(state.m_job);
  EraseJob(table, state.m_job);
  if (const auto other = FindByKey(table, state.m_request.m_key);
      other && *other != state.m_job && !state.m_request.m_key.empty()) {
    // The accept of `other` follows the truncated accept of this job, so it is a duplicate of the
    // key.
    EraseJob(table, *other);
  }
  if (state.m_closed) {
    Close(fold, state, fold.m_offset);
    return;
  }
  if (!state.m_request.m_key.empty())
    table.m_keys.insert_or_assign(state.m_request.m_key, state.m_job);
  ShardOfJob(table, state.m_job)
      .m_open.emplace(state.m_job, OpenJob{.m_state = state,
                                           .m_last_reference = fold.m_offset,
                                           .m_recorded = fold.m_offset});
}

void ApplyRecord(const Fold& fold, const JobSnapshot& record, const LogBatch&, JobEvent& event) {
  JobTable& table = fold.m_table;
  const JobState& state = record.m_state;
  event.m_job = state.m_job;
  event.m_attempt = state.m_attempt;
  if (state.m_closed && IsExpired(state.m_last_offset, fold.m_offset)) {
    event.m_reason = VoidReason::kUnknownJob;
    return;
  }
  ShardState& shard = ShardOfJob(table, state.m_job);
  LogOffset last_reference = 0;
  LogOffset* recorded = nullptr;
  if (const auto open = shard.m_open.find(state.m_job); open != shard.m_open.end()) {
    last_reference = open->second.m_last_reference;
    recorded = &open->second.m_recorded;
  } else if (const auto closed = shard.m_closed.find(state.m_job); closed != shard.m_closed.end()) {
    last_reference = closed->second.m_last_reference;
    recorded = &closed->second.m_recorded;
  } else if (const auto unknown = table.m_unknown_references.find(state.m_job);
             unknown != table.m_unknown_references.end()) {
    last_reference = unknown->second;
  }
  // Records between `m_as_of` and the first record read may refer to the job.
  const bool unseen = table.m_partial && record.m_as_of + 1 < table.m_first_offset;
  if (last_reference > record.m_as_of || unseen) {
    event.m_reason = VoidReason::kChangedSince;
  } else if (table.m_partial) {
    RestoreFromSnapshot(fold, state);
    event.m_kind = JobEventKind::kSnapshot;
    return;
  } else if (recorded != nullptr) {
    *recorded = fold.m_offset;
    event.m_kind = JobEventKind::kSnapshot;
  } else {
    event.m_reason = VoidReason::kUnknownJob;
    return;
  }
  // A snapshot is a reference too, so that of two snapshots with the same offset only one is valid.
  VoidReason ignored = VoidReason::kNone;
  static_cast<void>(FindReferenced(fold, state.m_job, ignored));
}

template <typename T>
concept JobRecord = requires(const Fold& fold, const T& record, const LogBatch& batch,
                             JobEvent& event) {
  ApplyRecord(fold, record, batch, event);
};

/// Inserts the batch id and returns whether it is new.
bool InsertBatchId(JobTable& table, const LogOffset offset, const std::string& batch_id) {
  while (!table.m_batch_order.empty() &&
         table.m_batch_order.front().first + kBatchIdOffsets < offset) {
    table.m_batches.erase(table.m_batch_order.front().second);
    table.m_batch_order.pop_front();
  }
  const std::uint64_t hash = StableHash(batch_id);
  if (!table.m_batches.insert(hash).second) return false;
  table.m_batch_order.emplace_back(offset, hash);
  return true;
}

}  // namespace

void Apply(JobTable& table, const LogOffset offset, const LogBatch& batch,
           std::vector<JobEvent>& events) {
  if (offset <= table.m_offset) return;
  table.m_offset = offset;
  if (table.m_first_offset == 0) table.m_first_offset = offset;
  const Fold fold{.m_table = table, .m_offset = offset, .m_events = events};
  const bool is_new = InsertBatchId(table, offset, batch.m_batch_id);
  for (std::size_t i = 0; i < batch.m_records.size(); ++i) {
    std::visit(
        [&]<typename T>(const T& record) {
          if constexpr (JobRecord<T>) {
            JobEvent event{.m_record = i, .m_entry = batch.m_entry, .m_offset = offset};
            if (is_new) {
              ApplyRecord(fold, record, batch, event);
            } else {
              event.m_reason = VoidReason::kDuplicateBatch;
            }
            if (!event.m_job.IsEmpty()) event.m_shard = ShardOf(event.m_job);
            events.push_back(std::move(event));
          }
        },
        batch.m_records[i]);
  }
  ExpireClosedJobs(table);
}

}  // namespace ebonypin::core
