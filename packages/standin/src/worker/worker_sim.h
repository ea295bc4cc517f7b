/// Simulated worker: tasks under leases, requests at its endpoint, usage with a lag, events and
/// faults. Time is passed in.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "ebonypin/core/resources.h"
#include "ebonypin/core/time.h"

namespace ebonypin::standin {

using core::Duration;
using core::Time;

struct SimOptions {
  std::uint32_t m_slots = 8;  ///< Requests that the endpoint serves at once.
  Duration m_usage_lag = std::chrono::seconds{2};
  double m_interference = 0.0;  ///< By how much one task at full share stretches requests.
};

struct SimFaults {
  bool m_fail = false;               ///< Requests and tasks fail.
  bool m_silent = false;             ///< Nothing is done and nothing is answered.
  double m_slow = 1.0;               ///< All work takes this many times as long.
  std::uint32_t m_lose_answers = 0;  ///< This many next answers are not sent, though the call acts.
};

/// Work described by a payload such as {"run_ms":50,"fail":false,"cpu_millis":1000}. Any other
/// payload takes no time.
struct SimWork {
  Duration m_run{};
  bool m_fail = false;
  bool m_can_checkpoint = true;
  std::int64_t m_cpu_millis = 1000;
  std::string m_result;
};

/// Job and attempt; requests at the endpoint have attempt 0.
using SimId = std::pair<std::string, std::uint32_t>;

enum class SimState : std::uint8_t { kRunning, kEnded, kStopped, kLost, kNeverStarted };

struct SimTask {
  SimWork m_work;
  std::string m_spec;  ///< Opaque text of the agent, given back by the list.
  SimState m_state = SimState::kRunning;
  Duration m_done{};
  Time m_started;
  Time m_ended;
  Time m_lease_until;
  std::uint32_t m_share = 1000;
  std::uint64_t m_share_version = 0;
  std::string m_checkpoint;
  bool m_failed = false;
};

struct SimRequest {
  std::string m_request;
  SimWork m_work;
  Duration m_done{};
};

/// Kind, time and id of something that happened, for tests that count runs.
struct SimHistoryItem {
  Time m_at;
  std::string m_what;  ///< "start", "end", "stop", "lost", "serve", "served" or "serve_failed".
  SimId m_id;
};

struct SimEvent {
  std::uint64_t m_number = 0;
  std::string m_kind;  ///< "started", "ended", "stopped" or "lost".
  SimId m_task;
};

struct WorkerSim {
  SimOptions m_options;
  SimFaults m_faults;
  Time m_now;
  std::map<SimId, SimTask> m_tasks;  ///< Also ended ones until forgotten.
  /// Ids that never start again, and whether they had started. Kept for good, so that no delayed
  /// call can start a task twice.
  std::map<SimId, bool> m_closed;
  std::map<std::uint64_t, SimRequest> m_requests;
  std::deque<SimEvent> m_events;
  std::uint64_t m_last_event = 0;
  std::deque<SimHistoryItem> m_history;
  std::deque<std::pair<Time, core::Resources>> m_usage;  ///< Changes, oldest first.
};

/// A request whose work ended.
struct SimServed {
  std::uint64_t m_number = 0;
  bool m_failed = false;
  std::string m_result;
};

enum class SimStart : std::uint8_t { kStarted, kAlreadyStarted, kRefused };

enum class SimStop : std::uint8_t { kStopped, kAlreadyOver, kNeverStarted, kCannotCheckpoint };

[[nodiscard]] SimWork ParseWork(const std::string& payload);

/// Moves the simulation to `now` and returns the requests that ended.
[[nodiscard]] std::vector<SimServed> Advance(WorkerSim& sim, Time now);

/// Returns when something ends next without further calls, or nothing.
[[nodiscard]] std::optional<Time> NextChange(const WorkerSim& sim);

/// Starts a task, or refuses one that was stopped or forgotten before. A checkpoint "done:N" starts
/// it after N microseconds of its work.
[[nodiscard]] SimStart StartTask(WorkerSim& sim, const SimId& id, SimTask task,
                                 const std::string& checkpoint, Duration lease);

/// Returns whether the task runs and its lease was renewed.
[[nodiscard]] bool RenewTask(WorkerSim& sim, const SimId& id, Duration lease);

/// Returns the share in force; an older version than the last changes nothing.
[[nodiscard]] std::uint32_t ThrottleTask(WorkerSim& sim, const SimId& id, std::uint32_t share,
                                         std::uint64_t version);

/// Returns a checkpoint of a running task, or nothing when it cannot take one.
[[nodiscard]] std::optional<std::string> CheckpointTask(const WorkerSim& sim, const SimId& id);

/// Stops a task where it stands; one that is not known never starts later.
[[nodiscard]] SimStop StopTask(WorkerSim& sim, const SimId& id, bool checkpoint);

void ForgetTask(WorkerSim& sim, const SimId& id);

/// Returns whether the endpoint has a slot and took the request.
[[nodiscard]] bool Serve(WorkerSim& sim, std::uint64_t number, const std::string& request,
                         const std::string& payload);

/// Returns the usage as it was the lag ago.
[[nodiscard]] core::Resources LaggedUsage(const WorkerSim& sim);

}  // namespace ebonypin::standin
