/// Stand-in of a platform worker with its endpoint, in virtual time.
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
  std::string m_payload;  ///< "request/run in ms".
  Duration m_progress{};
  Duration m_total{};
  Duration m_updated{};
  Duration m_lease_until{};  ///< True time.
  std::uint32_t m_share = 1000;
  std::uint64_t m_version = 0;
  std::uint64_t m_watch = 0;  ///< Latest look that is scheduled.
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
  double m_rate = 1.0;  ///< Of the clock that it shares with its agent.
  std::uint64_t m_life = 1;
  std::map<core::TaskId, SimTask> m_tasks;
  std::set<core::TaskId> m_refused;
  std::map<std::uint64_t, SimRun> m_runs;  ///< Requests in progress.
  std::uint64_t m_last_run = 0;
  /// Passes an event to the agent, if it lives.
  std::function<void(const core::TaskEvent&)> m_push;
};

void Carry(Sim& sim, SimWorker& worker, const core::StartTask& action);
void Carry(Sim& sim, SimWorker& worker, const core::RenewTask& action);
void Carry(Sim& sim, SimWorker& worker, const core::StopTask& action);
void Carry(Sim& sim, SimWorker& worker, const core::ForgetTask& action);
/// Throttles; returns whether the version is not outdated.
bool Carry(Sim& sim, SimWorker& worker, const core::ThrottleTask& action);

[[nodiscard]] std::vector<core::ListedTask> ListTasks(const SimWorker& worker);

/// Begins a request at the endpoint; `done` gets the result, or nothing when it was cut off.
void BeginRun(Sim& sim, SimWorker& worker, const core::CallEndpoint& call,
              std::function<void(std::optional<std::string>)> done);

/// Cuts off requests whose agent went away.
void CutRuns(Sim& sim, SimWorker& worker, bool planned);

/// Loses all tasks.
void RestartWorker(Sim& sim, SimWorker& worker);

}  // namespace ebonypin::faults
