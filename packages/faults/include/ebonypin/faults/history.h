/// What happened in one simulated run, as the outside sees it. Plain values only: the checker that
/// reads a history shares no code with the scheduler.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace ebonypin::faults {

enum class EventKind : std::uint8_t {
  kLogRecord,       ///< A record took effect in a log stream, at an offset of a batch.
  kWorkerSize,      ///< cpu and memory of a worker, once.
  kTaskBegin,       ///< A worker began a task: job, attempt, checkpoint it began from.
  kTaskActive,      ///< The task makes progress from now on.
  kTaskInactive,    ///< The task is suspended or over.
  kTaskEnd,         ///< The task is over: m_text is "ended", "stopped" or "lost".
  kRunBegin,        ///< An endpoint began a synchronous request.
  kRunEnd,          ///< It ended: m_text is "done", or "cut" when its process went away.
  kRunCut,          ///< A planned stop cut off a request in progress.
  kDrainBegan,      ///< The agent of a worker began to leave.
  kDrainEnded,      ///< The agent of a worker takes work again.
  kAsked,           ///< A caller sent a request.
  kAnswered,        ///< It was answered: m_text is "accepted", "done", "not_run" or "unknown".
  kStatus,          ///< A status call was answered: m_text is the outcome, or "open".
  kCancelAnswered,  ///< m_text is "cancelled", "requested", "closed" or "unknown".
  kChangeAnswered,  ///< An operator's change: m_text is "in_force", "conflict" or "unknown".
  kConfigInForce,   ///< A process put a revision of a class in force.
  kProcessStarted,  ///< A process began without memory.
  kProcessStopped,  ///< It ended, planned or not.
  kWatchPosted,     ///< An update was answered as accepted.
  kWatchRead,       ///< A watcher received an update.
  kWatchGap,        ///< A watcher was told that updates are missing.
  kFaultsOver,      ///< No fault begins or lasts after this.
};

struct Event {
  EventKind m_kind = EventKind::kLogRecord;
  std::int64_t m_at_us = 0;  ///< True time, which no process can read.
  std::string m_place;       ///< Process, worker, or log stream.
  std::string m_job;
  std::uint64_t m_attempt = 0;
  std::string m_request;  ///< Request id; change id of operators; update id of watches.
  std::string m_key;      ///< Idempotency key; topic of watches.
  std::string m_class;
  std::string m_text;
  std::string m_result;  ///< Result or checkpoint.
  std::string m_record;  ///< Type of a log record.
  std::string m_batch;   ///< Batch id of a log record.
  std::uint64_t m_offset = 0;
  std::uint64_t m_epoch = 0;
  std::uint64_t m_shard = 0;
  std::uint64_t m_revision = 0;  ///< Of a class; base revision in a record.
  std::int64_t m_cpu = 0;
  std::int64_t m_memory = 0;
  std::int64_t m_slots = 0;
  std::int64_t m_progress_us = 0;
  bool m_exclusive = false;
  bool m_non_idempotent = false;
};

using History = std::vector<Event>;

}  // namespace ebonypin::faults
