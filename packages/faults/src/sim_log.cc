#include "sim_log.h"

#include <memory>

namespace ebonypin::faults {
namespace {

using namespace std::chrono_literals;

constexpr Duration kAnswerDeadline = 1s;

/// Copies a log record into the plain values that the checker reads.
struct RecordDescriber {
  Event& m_event;

  void SetJob(const std::string& type, const core::JobId& job, const core::Attempt attempt = 0,
              const core::Epoch epoch = 0) const {
    m_event.m_record = type;
    m_event.m_job = job.m_value;
    m_event.m_attempt = attempt;
    m_event.m_epoch = epoch;
    m_event.m_shard = core::ShardOf(job);
  }
  void operator()(const core::JobAccepted& record) const {
    SetJob("accepted", record.m_job);
    m_event.m_request = record.m_request.m_id.m_value;
    m_event.m_key = record.m_request.m_key;
    m_event.m_class = record.m_request.m_class.m_value;
    m_event.m_non_idempotent = m_event.m_class == "render" || m_event.m_class == "certificate";
  }
  void operator()(const core::JobAssigned& record) const {
    SetJob("assigned", record.m_job, record.m_attempt, record.m_epoch);
  }
  void operator()(const core::JobRequeued& record) const {
    SetJob("requeued", record.m_job, record.m_attempt, record.m_epoch);
    m_event.m_result = record.m_checkpoint;
  }
  void operator()(const core::JobFinished& record) const {
    SetJob("finished", record.m_job, record.m_attempt, record.m_epoch);
    m_event.m_text = OutcomeName(record.m_outcome);
    m_event.m_result = record.m_result;
  }
  void operator()(const core::JobCancelled& record) const { SetJob("cancelled", record.m_job); }
  void operator()(const core::ShardClaimed& record) const {
    m_event.m_record = "claimed";
    m_event.m_shard = record.m_shard;
    m_event.m_epoch = record.m_epoch;
    m_event.m_text = record.m_entry.m_value;
  }
  void operator()(const core::ShardReleased& record) const {
    m_event.m_record = "released";
    m_event.m_shard = record.m_shard;
    m_event.m_epoch = record.m_epoch;
    m_event.m_text = record.m_entry.m_value;
  }
  void operator()(const core::JobSnapshot& record) const {
    SetJob("snapshot", record.m_state.m_job);
  }
  void operator()(const core::ClassPut& record) const {
    m_event.m_record = "put";
    m_event.m_class = record.m_spec.m_name.m_value;
    m_event.m_text = record.m_spec.m_team.m_value;
    m_event.m_request = record.m_change_id;
    m_event.m_revision = record.m_base_revision;
  }
  void operator()(const core::ClassRemoved&) const { m_event.m_record = "removed"; }
  void operator()(const core::WorkerDrain& record) const {
    m_event.m_record = "drain";
    m_event.m_request = record.m_change_id;
  }
  void operator()(const core::WatchUpdated& record) const {
    m_event.m_record = "watch";
    m_event.m_key = record.m_topic.m_value;
    m_event.m_request = record.m_update_id;
  }
  void operator()(const core::EntryAlive&) const { m_event.m_record = "alive"; }
};

void StoreBatch(Sim& sim, SimLog& log, const std::string& name, const core::LogBatch& batch) {
  LogStream& stream = log.m_streams[name];
  const core::LogOffset offset =
      stream.m_batches.empty() ? stream.m_first : stream.m_batches.back().m_offset + 1;
  stream.m_batches.push_back({.m_offset = offset, .m_at = sim.m_now, .m_batch = batch});
  for (const core::LogRecord& record : batch.m_records) {
    Event& event = RecordEvent(sim, EventKind::kLogRecord, name);
    event.m_offset = offset;
    event.m_batch = batch.m_batch_id;
    std::visit(RecordDescriber{event}, record);
  }
}

bool IsLogUnreachable(const Sim& sim, const Process& process) {
  return ActiveFault(sim, FaultKind::kLogDown, {}) != nullptr ||
         ActiveFault(sim, FaultKind::kLogCutOff, process.m_name) != nullptr ||
         IsPartitioned(sim, process.m_name, "log");
}

Duration LogLatency(Sim& sim) {
  const Fault* const slow = ActiveFault(sim, FaultKind::kLogSlow, {});
  return RandomDuration(sim, 2ms, 8ms) +
         (slow == nullptr ? 0ms : RandomDuration(sim, 0ms, 60ms * (slow->m_strength + 1)));
}

}  // namespace

std::string OutcomeName(const core::JobOutcome outcome) {
  switch (outcome) {
    case core::JobOutcome::kSucceeded:
      return "succeeded";
    case core::JobOutcome::kFailed:
      return "failed";
    case core::JobOutcome::kCancelled:
      return "cancelled";
    case core::JobOutcome::kUnknown:
      return "unknown";
    case core::JobOutcome::kNeverFits:
      return "never_fits";
  }
  return "";
}

void Append(Sim& sim, SimLog& log, Process& process, const std::string& stream,
            const core::LogBatch& batch, std::function<void(bool)> done) {
  auto answered = std::make_shared<bool>(false);
  const auto answer = [answered, done = std::move(done)](const bool confirmed) {
    if (*answered) return;
    *answered = true;
    done(confirmed);
  };
  AfterInProcess(sim, process, kAnswerDeadline, [answer] { answer(false); });
  if (IsLogUnreachable(sim, process)) return;
  // Once sent, an append takes effect even if its process has ended.
  const core::Incarnation incarnation = process.m_incarnation;
  After(sim, LogLatency(sim), [&sim, &log, &process, stream, batch, answer, incarnation] {
    if (ActiveFault(sim, FaultKind::kLogDown, {}) != nullptr) return;
    StoreBatch(sim, log, stream, batch);
    const Fault* const lost = ActiveFault(sim, FaultKind::kAnswerLost, {});
    if (lost != nullptr && Chance(sim, 30 + lost->m_strength / 2)) return;
    AfterInIncarnation(sim, process, incarnation, LogLatency(sim), [answer] { answer(true); });
  });
}

void Read(Sim& sim, SimLog& log, Process& process, const std::string& stream,
          const core::LogOffset after, std::function<void(LogRead)> done) {
  if (IsLogUnreachable(sim, process)) {
    AfterInProcess(sim, process, kAnswerDeadline, [done] { done({.m_failed = true}); });
    return;
  }
  const core::Incarnation incarnation = process.m_incarnation;
  After(sim, LogLatency(sim) / 4, [&sim, &log, &process, stream, after, done, incarnation] {
    const LogStream& from = log.m_streams[stream];
    LogRead read{.m_first = from.m_first};
    // Offsets start at 1, so a batch's index is its offset minus 1.
    for (std::size_t i = std::max(after, from.m_first - 1); i < from.m_batches.size(); ++i)
      read.m_batches.push_back(from.m_batches[i]);
    AfterInIncarnation(sim, process, incarnation, LogLatency(sim) / 4,
                       [done, read = std::move(read)] { done(read); });
  });
}

void Truncate(Sim& sim, SimLog& log) {
  if (!log.m_retention) return;
  for (auto& [name, stream] : log.m_streams) {
    for (const StoredBatch& entry : stream.m_batches)
      if (sim.m_now - entry.m_at > *log.m_retention && entry.m_offset >= stream.m_first)
        stream.m_first = entry.m_offset + 1;
  }
}

}  // namespace ebonypin::faults
