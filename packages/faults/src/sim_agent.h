/// Driver of an agent ledger in virtual time, beside its worker.
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
  core::LogOffset m_noted_config = 0;
  bool m_noted_draining = false;
};

/// Starts a new process of the agent, which first asks the worker what it runs.
void StartAgent(Sim& sim, SimAgent& agent);
/// Ends the process at once and cuts its requests.
void CrashAgent(Sim& sim, SimAgent& agent);
/// Begins a planned stop; a new process starts when it is done.
void StopAgent(Sim& sim, SimAgent& agent);
/// Restarts the worker while the agent lives.
void RestartWorkerOf(Sim& sim, SimAgent& agent);

}  // namespace ebonypin::faults
