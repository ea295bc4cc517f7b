/// What callers asked and were told, and what workers ran, during a chaos run.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace ebonypin::chaos {

/// What a caller was told.
enum class Told : std::uint8_t {
  kDone,
  kAccepted,
  kNotRun,
  kUnknown,
  kBroken,  ///< The connection broke or nothing came: the caller was told nothing.
};

/// One HTTP call that asks for work.
struct Call {
  std::string m_id;
  std::string m_class;
  std::string m_key;       ///< Empty when there is none.
  std::string m_expected;  ///< Result of its payload; unique for each key.
  Told m_told = Told::kBroken;
  std::string m_job;        ///< When told.
  std::string m_result;     ///< For kDone.
  std::string m_answer_id;  ///< Request id in the answer.
  std::string m_error;      ///< Kind of the error, when told.
  double m_millis = 0;      ///< Until the answer.
  bool m_non_idempotent = false;
};

/// Item of a worker's history.
struct WorkerEvent {
  std::string m_worker;
  std::int64_t m_at_us = 0;  ///< Monotonic clock of this machine.
  std::string m_what;        ///< "start", "end", "stop", "lost", "serve", "served", "serve_failed".
  std::string m_id;          ///< Job, or request for the endpoint.
  std::uint32_t m_attempt = 0;
};

/// Final state of a job as an entry tells it.
struct FinalJob {
  std::string m_job;
  std::string m_request;
  std::string m_class;
  std::string m_state;
  std::string m_outcome;
  std::string m_result;
};

/// Update as a watcher received it.
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
  std::vector<std::string> m_posted_updates;  ///< Told accepted.
  /// Revisions of one class as read from each entry, in the order of reading.
  std::map<std::string, std::vector<std::uint64_t>> m_revisions;
  std::uint64_t m_unfinished_jobs = 0;  ///< Accepted, but not closed at the end.
};

/// History that several threads add to.
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
  /// Returns the history; call when no thread adds any more.
  [[nodiscard]] History& Get() noexcept { return m_history; }

 private:
  std::mutex m_mutex;
  History m_history;
};

}  // namespace ebonypin::chaos
