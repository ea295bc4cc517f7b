/// History of a chaos run: the calls and their answers, and the work that ran on the workers.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace ebonypin::chaos {

/// Answer that a caller received.
enum class AnswerStatus : std::uint8_t {
  kDone,
  kAccepted,
  kNotRun,
  kUnknown,
  kNoAnswer,  ///< The connection broke, or no answer arrived.
};

/// One HTTP call that sends a request or a job.
struct Call {
  std::string m_id;
  std::string m_class;
  std::string m_key;       ///< Empty for a call without a key.
  std::string m_expected;  ///< Expected result of the payload; unique for each key.
  AnswerStatus m_answer_status = AnswerStatus::kNoAnswer;
  std::string m_job;        ///< Job id in the answer, if any.
  std::string m_result;     ///< For kDone.
  std::string m_answer_id;  ///< Request id in the answer.
  std::string m_error;      ///< Kind of the error in the answer, if any.
  double m_millis = 0;      ///< Time until the answer, in ms.
  bool m_non_idempotent = false;
};

/// Event in the history of a worker.
struct WorkerEvent {
  std::string m_worker;
  std::int64_t m_at_us = 0;  ///< Monotonic clock of this machine.
  std::string m_what;        ///< "start", "end", "stop", "lost", "serve", "served", "serve_failed".
  std::string m_id;          ///< Id of the job, or of a request that the endpoint served.
  std::uint32_t m_attempt = 0;
};

/// Final state of a job as an entry reports it.
struct FinalJob {
  std::string m_job;
  std::string m_request;
  std::string m_class;
  std::string m_state;
  std::string m_outcome;
  std::string m_result;
};

/// Update that a watcher received.
struct WatchItem {
  std::uint64_t m_sequence = 0;
  std::string m_update;
  std::string m_value;
};

struct History {
  std::vector<Call> m_calls;
  std::vector<WorkerEvent> m_worker_events;
  std::vector<FinalJob> m_jobs;
  std::map<std::string, std::vector<WatchItem>> m_watchers;
  std::vector<std::string> m_posted_updates;  ///< Updates that an entry accepted.
  /// For each entry, the revisions of one class in the order in which they were read.
  std::map<std::string, std::vector<std::uint64_t>> m_revisions;
  std::uint64_t m_unfinished_jobs = 0;  ///< Jobs that were not closed when the run ended.
};

/// Thread-safe recorder of a history.
class Recorder {
 public:
  void Add(Call call) {
    const std::lock_guard lock(m_mutex);
    m_history.m_calls.push_back(std::move(call));
  }
  void AddUpdate(const std::string& watcher, WatchItem item) {
    const std::lock_guard lock(m_mutex);
    m_history.m_watchers[watcher].push_back(std::move(item));
  }
  void AddPosted(std::string update) {
    const std::lock_guard lock(m_mutex);
    m_history.m_posted_updates.push_back(std::move(update));
  }
  void AddRevision(const std::string& entry, const std::uint64_t revision) {
    const std::lock_guard lock(m_mutex);
    m_history.m_revisions[entry].push_back(revision);
  }
  /// Returns the history without locking; call it only after all recording threads have stopped.
  [[nodiscard]] History& Get() noexcept { return m_history; }

 private:
  std::mutex m_mutex;
  History m_history;
};

}  // namespace ebonypin::chaos
