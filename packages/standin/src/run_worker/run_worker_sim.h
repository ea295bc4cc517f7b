/// Worker of the users' platform that runs tasks under one lease. No I/O; time is an argument.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ebonypin::standin {

using WorkerTime = std::chrono::steady_clock::time_point;

struct SimRun {
  std::uint64_t m_run = 0;
  WorkerTime m_started;
  std::chrono::milliseconds m_length{};
  bool m_lasts = false;
  std::string m_end;  ///< How it will end: "done" or "failed".
};

struct SimEnd {
  std::uint64_t m_number = 0;
  std::string m_task;
  std::uint64_t m_run = 0;
  std::string m_how;
};

/// Times of a run, for checks of what ran when.
struct SimRunTimes {
  std::string m_task;
  std::uint64_t m_run = 0;
  WorkerTime m_started;
  std::optional<WorkerTime> m_ended;
  std::string m_how;
  /// The end was acknowledged, and the lease did not lapse between the two.
  bool m_acknowledged = false;
};

/// One life of a worker. A task's payload says what it does: "run MILLISECONDS", "fail", or
/// "last" for a task that runs until it is stopped.
struct RunWorkerSim {
  WorkerTime m_born;
  WorkerTime m_deadline;
  std::uint64_t m_fence = 0;
  std::uint64_t m_next_end = 1;
  std::map<std::string, SimRun> m_runs;
  std::map<std::string, std::uint64_t> m_closed;  ///< Highest run that was stopped or ended.
  std::vector<SimEnd> m_ends;
  std::uint64_t m_starts = 0;
  WorkerTime m_last_lapse;          ///< When the lease last lapsed.
  std::deque<SimRunTimes> m_times;  ///< Of the newest runs, in the order of their starts.
};

[[nodiscard]] std::int64_t ClockMs(const RunWorkerSim& worker, WorkerTime now);

/// Returns how much of its work a run has done; a task that lasts is at work at 100.
[[nodiscard]] std::uint32_t Percent(const SimRun& run, WorkerTime now);

/// Ends what is over at `now`.
void Advance(RunWorkerSim& worker, WorkerTime now);

/// Raises the fence, or returns false when `fence` is older.
bool TakeFence(RunWorkerSim& worker, std::uint64_t fence);

/// Extends the lease to `deadline_ms` on the worker's clock, at most 6 s from now.
void Extend(RunWorkerSim& worker, WorkerTime now, std::int64_t deadline_ms);

/// Starts a run; returns the reason of a refusal, or an empty string.
[[nodiscard]] std::string Start(RunWorkerSim& worker, WorkerTime now, const std::string& task,
                                std::uint64_t run, const std::string& payload,
                                std::int64_t deadline_ms);

void Stop(RunWorkerSim& worker, WorkerTime now, const std::string& task, std::uint64_t run);

void Forget(RunWorkerSim& worker, std::uint64_t seen_end);

}  // namespace ebonypin::standin
