/// Callers and operators of a run.
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
  std::map<std::string, bool> m_accepted;  ///< Jobs told to callers; true when told as ended.
  std::uint64_t m_watch_cursor = 0;
  std::uint64_t m_last_change = 0;

  [[nodiscard]] SimEntry* FindEntry(const std::string& name);
  [[nodiscard]] SimAgent* FindAgent(const std::string& name);
};

/// Schedules the requests of callers and the changes of operators.
void BeginWorkload(World& world);

/// An operator turns the drain of a worker on or off, through every entry.
void Drain(World& world, const std::string& agent, bool on);

/// Two operators change the same class at the same time through different entries.
void Race(World& world);

/// Asks every entry for the state of every job.
void NoteFinalStates(World& world);

}  // namespace ebonypin::faults
