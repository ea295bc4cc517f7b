/// Simulated platform worker with its endpoint.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "ebonypin/core/agent_ledger.h"
#include "sim.h"

namespace ebonypin::faults {

/// Size of every synchronous request of the workload.
inline constexpr core::Resources kRunSize{.m_cpu_millis = 500, .m_memory_mb = 500};

struct SimTask {
  core::TaskSpec m_spec;
  std::string m_payload;  ///< "request id/run time in ms".
  Duration m_progress{};
  Duration m_total{};
  Duration m_updated{};
  Duration m_lease_until{};      ///< In true time.
  std::uint32_t m_share = 1000;  ///< Share of full speed in thousandths.
  std::uint64_t m_version = 0;
  std::uint64_t m_check = 0;  ///< Number of the latest scheduled check; earlier ones do nothing.
  bool m_running = true;
  bool m_active = false;
  core::TaskEvent m_end;
};

struct SimRun {
  std::string m_request;
  std::function<void(std::optional<std::string>)> m_done;
};

struct SimWorker {
  std::string m_name;
  core::Resources m_size;
  std::uint32_t m_slots = 0;
  double m_rate = 1.0;             ///< Speed of the clock that it shares with its agent.
  std::uint64_t m_generation = 1;  ///< Incremented by each restart.
  std::map<core::TaskId, SimTask> m_tasks;
  std::set<core::TaskId> m_refused;  ///< Tasks stopped before they began; a later start is refused.
  std::map<std::uint64_t, SimRun> m_runs;  ///< Requests in progress.
  std::uint64_t m_last_run = 0;
  /// Sends an event to the agent if the agent is up.
  std::function<void(const core::TaskEvent&)> m_send_event;
};

void Execute(Sim& sim, SimWorker& worker, const core::StartTask& action);
void Execute(Sim& sim, SimWorker& worker, const core::RenewTask& action);
void Execute(Sim& sim, SimWorker& worker, const core::StopTask& action);
void Execute(Sim& sim, SimWorker& worker, const core::ForgetTask& action);
/// Returns false if the task is not running or the version of the action is outdated.
bool Execute(Sim& sim, SimWorker& worker, const core::ThrottleTask& action);

[[nodiscard]] std::vector<core::ListedTask> ListTasks(const SimWorker& worker);

/// Begins a request at the endpoint. `done` gets the result, or nothing if the request was aborted.
void BeginRun(Sim& sim, SimWorker& worker, const core::CallEndpoint& call,
              std::function<void(std::optional<std::string>)> done);

/// Aborts all requests because their agent has ended, by a planned stop or a crash.
void AbortRuns(Sim& sim, SimWorker& worker, bool planned);

/// Restarts the worker, which loses all tasks and requests.
void RestartWorker(Sim& sim, SimWorker& worker);

}  // namespace ebonypin::faults
