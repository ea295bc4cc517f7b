/// Simulated callers and operators of a run.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "sim.h"
#include "sim_agent.h"
#include "sim_entry.h"

namespace ebonypin::faults {

struct World {
  Sim m_sim;
  SimLog m_log;
  std::array<SimEntry, 3> m_entries;
  std::array<SimAgent, 4> m_agents;
  std::map<std::string, bool>
      m_accepted;  ///< Jobs reported to callers as accepted; true once reported as ended.
  std::uint64_t m_watch_cursor = 0;
  std::uint64_t m_last_change = 0;

  [[nodiscard]] SimEntry* FindEntry(const std::string& name);
  [[nodiscard]] SimAgent* FindAgent(const std::string& name);
};

/// Schedules the requests of callers and the changes of operators.
void BeginWorkload(World& world);

/// Turns the drain of a worker on or off, as an operator who sends the change to every entry.
void Drain(World& world, const std::string& agent, bool on);

/// Sends two concurrent changes of the same class, as two operators through different entries.
void RaceChanges(World& world);

/// Records the state of every accepted job at every entry.
void RecordFinalStates(World& world);

}  // namespace ebonypin::faults
