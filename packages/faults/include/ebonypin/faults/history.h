/// The events of one simulated run, as an outside observer sees them. Events hold plain values
/// only, because the checker that reads them shares no code with the scheduler.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace ebonypin::faults {

enum class EventKind : std::uint8_t {
  kLogRecord,        ///< The log stored a record; m_offset is the offset of its batch.
  kWorkerSize,       ///< CPU, memory and slots of a worker; recorded once.
  kTaskBegin,        ///< A worker began a task; m_result is the checkpoint it began from.
  kTaskActive,       ///< The task began or resumed making progress.
  kTaskInactive,     ///< The task was suspended or is over.
  kTaskEnd,          ///< The task is over: m_text is "ended", "stopped" or "lost".
  kRunBegin,         ///< An endpoint began a synchronous request.
  kRunEnd,           ///< It ended: m_text is "done", or "cut" if it was aborted.
  kRunCutByStop,     ///< A planned stop aborted a request in progress.
  kDrainBegan,       ///< The agent of a worker began to drain or to stop.
  kDrainEnded,       ///< The agent of a worker accepts work again.
  kRequestSent,      ///< A caller sent a request.
  kRequestAnswered,  ///< m_text is "accepted", "done", "not_run" or "unknown".
  kStatusAnswered,   ///< m_text is the outcome of the job, "open" or "not_found".
  kCancelAnswered,   ///< m_text is "cancelled", "requested", "closed" or "unknown".
  kChangeAnswered,   ///< Change by an operator: "in_force", "conflict" or "unknown".
  kConfigInForce,    ///< A process put a revision of a class in force.
  kProcessStarted,   ///< A process started with empty state.
  kProcessStopped,   ///< A process ended, by a crash or a planned stop.
  kWatchPosted,      ///< A watch update was answered as accepted.
  kWatchRead,        ///< A watcher received an update.
  kWatchGap,         ///< A watcher was told that updates are missing.
  kFaultsOver,       ///< No fault begins or is active after this event.
};

struct Event {
  EventKind m_kind = EventKind::kLogRecord;
  std::int64_t m_at_us = 0;  ///< Simulated true time, which no process can read.
  std::string m_source;      ///< Process, worker or log stream.
  std::string m_job;
  std::uint64_t m_attempt = 0;
  std::string m_request;  ///< Request id, change id of an operator, or id of a watch update.
  std::string m_key;      ///< Idempotency key, or topic of a watch.
  std::string m_class;
  std::string m_text;
  std::string m_result;  ///< Result or checkpoint.
  std::string m_record;  ///< Type of a log record.
  std::string m_batch;   ///< Batch id of a log record.
  std::uint64_t m_offset = 0;
  std::uint64_t m_epoch = 0;
  std::uint64_t m_shard = 0;
  std::uint64_t m_revision = 0;  ///< Revision of a class; in a log record, the base revision.
  std::int64_t m_cpu = 0;
  std::int64_t m_memory = 0;
  std::int64_t m_slots = 0;
  std::int64_t m_progress_us = 0;
  bool m_exclusive = false;
  bool m_non_idempotent = false;
};

using History = std::vector<Event>;

}  // namespace ebonypin::faults
