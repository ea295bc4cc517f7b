/// Log access of an entry: group commit, reading of the streams, and the answers that wait until
/// their record is read back.
#include <algorithm>
#include <utility>

#include "sim_entry.h"

namespace ebonypin::faults {
namespace {

using namespace std::chrono_literals;

void Flush(Sim& sim, SimEntry& entry, Appender& appender) {
  if (appender.m_append_pending) return;
  if (!appender.m_batch) {
    if (appender.m_queue.empty()) return;
    core::LogBatch batch{
        .m_batch_id = entry.m_process.m_name + "." + std::to_string(entry.m_process.m_incarnation) +
                      "." + appender.m_stream + "." + std::to_string(++appender.m_last_batch),
        .m_entry = {entry.m_process.m_name}};
    while (!appender.m_queue.empty() && batch.m_records.size() < 256) {
      batch.m_records.push_back(std::move(appender.m_queue.front()));
      appender.m_queue.pop_front();
    }
    appender.m_batch = std::move(batch);
  }
  appender.m_append_pending = true;
  const std::string id = appender.m_batch->m_batch_id;
  Append(sim, *entry.m_log, entry.m_process, appender.m_stream, *appender.m_batch,
         [&sim, &entry, &appender, id](const bool confirmed) {
           appender.m_append_pending = false;
           if (confirmed && appender.m_batch && appender.m_batch->m_batch_id == id)
             appender.m_batch.reset();
           AfterInProcess(sim, entry.m_process, 10ms,
                          [&sim, &entry, &appender] { Flush(sim, entry, appender); });
         });
}

void AnswerWaiting(std::map<core::JobId, TextFunction>& waiting, const core::JobId& job,
                   const std::string& kind, const std::string& text) {
  const auto found = waiting.find(job);
  if (found == waiting.end()) return;
  const TextFunction answer = std::move(found->second);
  waiting.erase(found);
  answer(kind, text);
}

/// Answers the callers whose records were read back.
void AnswerJobs(SimEntry& entry, const std::vector<core::JobEvent>& events) {
  for (const core::JobEvent& event : events) {
    switch (event.m_kind) {
      case core::JobEventKind::kAccepted:
        AnswerWaiting(entry.m_submits, event.m_job, "accepted", event.m_job.m_value);
        break;
      case core::JobEventKind::kCancelled:
        AnswerWaiting(entry.m_cancels, event.m_job, "cancelled", {});
        break;
      case core::JobEventKind::kCancelRequested:
        AnswerWaiting(entry.m_cancels, event.m_job, "requested", {});
        break;
      case core::JobEventKind::kVoid:
        if (event.m_reason == core::VoidReason::kDuplicateKey)
          AnswerWaiting(entry.m_submits, event.m_job, "accepted", event.m_existing.m_value);
        if (event.m_reason == core::VoidReason::kClosed)
          AnswerWaiting(entry.m_cancels, event.m_job, "closed", {});
        break;
      default:
        break;
    }
  }
}

/// Returns the batch as the entry applies it. Some defects make it differ from the batch in the
/// log.
core::LogBatch ApplyDefects(const Sim& sim, const SimEntry& entry, const StoredBatch& read) {
  core::LogBatch batch = read.m_batch;
  const std::string mark = "#" + std::to_string(read.m_offset);
  if (sim.m_defect == Defect::kDuplicateBatch) {
    batch.m_batch_id += mark;
    for (core::LogRecord& record : batch.m_records)
      if (auto* const update = std::get_if<core::WatchUpdated>(&record))
        update->m_update_id += mark;
  }
  if (sim.m_defect == Defect::kEpochIgnored) {
    const auto current = [&entry](const core::JobId& job) {
      return entry.m_jobs.m_shards[core::ShardOf(job)].m_epoch;
    };
    for (core::LogRecord& record : batch.m_records) {
      if (auto* const assigned = std::get_if<core::JobAssigned>(&record))
        assigned->m_epoch = current(assigned->m_job);
      if (auto* const requeued = std::get_if<core::JobRequeued>(&record))
        requeued->m_epoch = current(requeued->m_job);
      if (auto* const finished = std::get_if<core::JobFinished>(&record))
        finished->m_epoch = current(finished->m_job);
    }
  }
  return batch;
}

void CompleteBatch(Sim& sim, SimEntry& entry, Appender& appender, const core::LogBatch& batch) {
  if (appender.m_batch && appender.m_batch->m_batch_id == batch.m_batch_id) {
    appender.m_batch.reset();
    AfterInProcess(sim, entry.m_process, 1ms,
                   [&sim, &entry, &appender] { Flush(sim, entry, appender); });
  }
}

/// Applies the result of a read of the job stream.
void ApplyJobRead(Sim& sim, SimEntry& entry, const LogRead& read, const Time asked) {
  const Time now = LocalTime(sim, entry.m_process);
  std::vector<core::JobEvent> events;
  std::vector<core::TopicName> topics;
  for (const StoredBatch& item : read.m_batches) {
    const core::LogBatch batch = ApplyDefects(sim, entry, item);
    core::Apply(entry.m_jobs, item.m_offset, batch, events);
    core::Apply(entry.m_watches, item.m_offset, batch, topics);
    CompleteBatch(sim, entry, entry.m_job_appends, item.m_batch);
    for (const core::LogRecord& record : batch.m_records) {
      if (const auto* const alive = std::get_if<core::EntryAlive>(&record))
        core::OnEntryMentioned(entry.m_members,
                               {.m_entry = alive->m_entry,
                                .m_incarnation = alive->m_incarnation,
                                .m_rpc_address = alive->m_rpc_address,
                                .m_leaving = alive->m_leaving},
                               !entry.m_job_tail.m_caught_up, now);
      if (const auto* const update = std::get_if<core::WatchUpdated>(&record)) {
        const auto post = entry.m_posts.find(update->m_update_id);
        if (post == entry.m_posts.end()) continue;
        post->second("accepted", {});
        entry.m_posts.erase(post);
      }
    }
    entry.m_job_tail.m_offset = item.m_offset;
  }
  if (!entry.m_job_tail.m_caught_up)
    entry.m_job_clock =
        core::MakeOffsetClock(entry.m_jobs.m_offset, entry.m_log->m_retention.value_or(24h), now);
  core::NoteOffset(entry.m_job_clock, entry.m_jobs.m_offset, now);
  entry.m_job_tail.m_caught_up = true;
  AnswerJobs(entry, events);
  Perform(sim, entry, core::OnJobEvents(entry.m_owner, OwnerContextOf(sim, entry), events));
  if (entry.m_config_tail.m_caught_up) core::OnLogRead(entry.m_owner, asked);
}

void ApplyConfigRead(Sim& sim, SimEntry& entry, const LogRead& read) {
  const Time now = LocalTime(sim, entry.m_process);
  std::vector<core::AuditEntry> changes;
  for (const StoredBatch& item : read.m_batches) {
    core::Apply(entry.m_config, item.m_offset, item.m_batch, changes);
    CompleteBatch(sim, entry, entry.m_config_appends, item.m_batch);
    entry.m_config_tail.m_offset = item.m_offset;
  }
  if (!entry.m_config_tail.m_caught_up)
    entry.m_config_clock = core::MakeOffsetClock(entry.m_config.m_read_offset,
                                                 entry.m_log->m_retention.value_or(24h), now);
  core::NoteOffset(entry.m_config_clock, entry.m_config.m_read_offset, now);
  entry.m_config_tail.m_caught_up = true;
  RecordConfigInForce(sim, entry);
  for (const core::AuditEntry& change : changes) {
    const auto waiting = entry.m_changes.find(change.m_change_id);
    if (waiting == entry.m_changes.end()) continue;
    const core::AuditEntry* const first = core::FindChange(entry.m_config, change.m_change_id);
    waiting->second(first->m_outcome == core::ChangeOutcome::kInForce ? "in_force" : "conflict",
                    {});
    entry.m_changes.erase(waiting);
  }
}

void ReadTail(Sim& sim, SimEntry& entry, Tail& tail, const std::string& stream) {
  if (tail.m_reading) return;
  tail.m_reading = true;
  const Time asked = LocalTime(sim, entry.m_process);
  Read(sim, *entry.m_log, entry.m_process, stream, tail.m_offset,
       [&sim, &entry, &tail, stream, asked](const LogRead& read) {
         tail.m_reading = false;
         if (read.m_failed) {
           if (sim.m_defect == Defect::kAuthorityForever && entry.m_owner.m_caught_up)
             core::OnLogRead(entry.m_owner, asked);
           return;
         }
         if (read.m_first > tail.m_offset + 1) {
           if (tail.m_offset != 0) {  // The log dropped records before this process read them.
             CrashEntry(sim, entry);
             After(sim, 1s, [&sim, &entry] { StartEntry(sim, entry); });
             return;
           }
           (stream == "jobs" ? entry.m_jobs.m_partial : entry.m_config.m_partial) = true;
           if (stream == "jobs") entry.m_watches.m_partial = true;
         }
         if (stream == "jobs") {
           ApplyJobRead(sim, entry, read, asked);
         } else {
           ApplyConfigRead(sim, entry, read);
         }
       });
}

}  // namespace

void QueueRecord(Sim& sim, SimEntry& entry, Appender& appender, core::LogRecord record) {
  appender.m_queue.push_back(std::move(record));
  AfterInProcess(sim, entry.m_process, 10ms,
                 [&sim, &entry, &appender] { Flush(sim, entry, appender); });
}

void ReadTails(Sim& sim, SimEntry& entry) {
  ReadTail(sim, entry, entry.m_config_tail, "config");
  ReadTail(sim, entry, entry.m_job_tail, "jobs");
  AfterInProcess(sim, entry.m_process, 100ms, [&sim, &entry] { ReadTails(sim, entry); });
}

}  // namespace ebonypin::faults
