/// Runs an agent ledger next to its worker in the simulation.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "sim.h"
#include "sim_worker.h"

namespace ebonypin::faults {

struct SimAgent {
  Process m_process;
  SimWorker m_worker;
  core::AgentLedger m_ledger;
  std::map<core::CallId, ReplyFunction> m_replies;
  core::CallId m_last_call = 0;
  std::size_t m_next_entry = 0;
  core::LogOffset m_recorded_config = 0;
  bool m_recorded_draining = false;
};

/// Starts a new agent process, which first asks the worker for its tasks. Does nothing if the agent
/// is up.
void StartAgent(Sim& sim, SimAgent& agent);
/// Ends the process immediately and aborts its requests.
void CrashAgent(Sim& sim, SimAgent& agent);
/// Begins a planned stop, after which a new process starts.
void StopAgent(Sim& sim, SimAgent& agent);
/// Restarts the worker but not the agent.
void RestartWorkerOf(Sim& sim, SimAgent& agent);

}  // namespace ebonypin::faults
