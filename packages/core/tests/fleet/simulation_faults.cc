/// Faults of the site: takeovers, links, restarts and clocks.
#include <algorithm>

#include "fleet_fixture.h"
#include "simulation.h"

namespace ebonypin::core::fleet {
namespace {

using namespace std::chrono_literals;

/// The group assigns the partition to another entry when its holder has not joined for this time.
constexpr auto kMembership = 1100ms;

}  // namespace

void Simulation::DrawFaults() {
  if (m_next_takeover != Time{} && m_now >= m_next_takeover) {
    m_next_takeover = {};
    DrawTakeover();
  } else if (m_dice.Fault(m_mix.m_takeovers)) {
    DrawTakeover();
  }
  if (m_now - m_holder_seen > kMembership) {
    // The next entry that joins is assigned the partition.
    for (std::size_t n = 1; n <= m_entries.size(); ++n) {
      const auto e = (m_holder + n) % m_entries.size();
      const auto& entry = m_entries[e];
      if (m_now < entry.m_stopped_until || !entry.m_reaches_store) continue;
      m_holder = e;
      m_holder_seen = m_now;
      break;
    }
  }
  DrawLinks();
  for (std::size_t i = 0; i < m_agents.size(); ++i) {
    if (m_dice.Fault(m_mix.m_agent_restarts, Event::kAgentRestarted)) RestartAgent(i);
    if (m_dice.Fault(0.0005, Event::kAgentFrozen)) {
      m_agents[i].m_stopped_until = m_now + m_dice.Between(200ms, 8s);
    }
    if (m_dice.Fault(m_mix.m_worker_restarts)) {
      const bool renamed = m_dice.Chance(0.3);
      m_dice.Count(renamed ? Event::kWorkerRenamed : Event::kWorkerRestarted);
      m_workers.Restart(i, m_dice.Between(150ms, 2s), renamed,
                        m_dice.Fault(m_mix.m_born_back, Event::kBornSteppedBack));
    }
    if (m_dice.Fault(m_mix.m_many_ends, Event::kManyEnds)) m_workers.AddManyEnds(i);
  }
  if (m_dice.Fault(0.0005, Event::kEvacuated)) {
    for (auto& entry : m_entries) SetEvacuations(entry.m_state, {"d0"});
    m_agenda.At(m_now + m_dice.Between(1s, 5s), [this] {
      for (auto& entry : m_entries) SetEvacuations(entry.m_state, {});
    });
  }
}

void Simulation::StopEntry(const std::size_t e, const Duration time, const bool ends) {
  auto& entry = m_entries[e];
  entry.m_stopped_until = m_now + time;
  if (!ends) return;
  // A new process at the same address, which remembers nothing.
  const auto process = entry.m_process + 1;
  const auto address = entry.m_address;
  const auto stopped_until = entry.m_stopped_until;
  const auto reaches_store = entry.m_reaches_store;
  entry = {};
  entry.m_address = address;
  entry.m_process = process;
  entry.m_stopped_until = stopped_until;
  entry.m_down = true;
  entry.m_reaches_store = reaches_store;
  // Wall clocks of entries differ by up to 2 s.
  entry.m_wall_offset = m_dice.Between(-1s, 1s);
}

void Simulation::DrawTakeover() {
  const auto former = m_holder;
  const auto next = (m_holder + 1 + m_dice.Index(m_entries.size() - 1)) % m_entries.size();
  const auto assign = [&](const std::size_t e) {
    m_holder = e;
    m_holder_seen = m_now;
  };
  if (m_last_takeover != Time{} && m_now - m_last_takeover < 5s) {
    m_dice.Count(Event::kTakeoverInSeries);
  }
  m_last_takeover = m_now;
  switch (m_dice.Index(7)) {
    case 0:
      m_dice.Count(Event::kTakeoverPlanned);
      assign(next);
      break;
    case 1:
      m_dice.Count(Event::kTakeoverKilled);
      StopEntry(former, m_dice.Between(300ms, 6s), true);
      break;
    case 2:
      m_dice.Count(Event::kTakeoverFrozen);
      StopEntry(former, m_dice.Between(500ms, 12s), false);
      break;
    case 3:
      m_dice.Count(Event::kTakeoverSameAddress);
      StopEntry(former, m_dice.Between(100ms, 900ms), true);
      break;
    case 4:
      m_dice.Count(Event::kTakeoverStoreCut);
      m_entries[former].m_reaches_store = false;
      m_agenda.At(m_now + m_dice.Between(500ms, 14s),
                  [this, former] { m_entries[former].m_reaches_store = true; });
      break;
    case 5:
      // The claim is made, and its process ends before it becomes active.
      m_dice.Count(Event::kClaimNotActive);
      assign(next);
      m_agenda.At(m_now + m_dice.Between(300ms, 700ms), [this, next] {
        if (m_entries[next].m_leadership.m_stage != LeadershipStage::kClaiming) return;
        if (m_dice.Chance(0.5)) return BecomeFollower(m_entries[next]);
        StopEntry(next, m_dice.Between(300ms, 3s), true);
      });
      break;
    default:
      // The group's assignment comes back to a coordinator that was replaced meanwhile.
      assign(next);
      m_agenda.At(m_now + m_dice.Between(300ms, 3s), [this, former] {
        const bool acts = m_entries[former].m_leadership.m_stage == LeadershipStage::kActive;
        if (m_dice.FaultsOver() || !acts || m_holder == former) return;
        m_dice.Count(Event::kPartitionReturned);
        m_holder = former;
        m_holder_seen = m_now;
      });
      break;
  }
  if (m_dice.Fault(0.5)) m_next_takeover = m_now + m_dice.Between(200ms, 5s);
}

void Simulation::DrawLinks() {
  for (std::size_t i = 0; i < m_agents.size(); ++i) {
    for (std::size_t e = 0; e < m_entries.size(); ++e) {
      if (!m_dice.Fault(m_mix.m_link_changes)) continue;
      const bool cut = m_to_entry[i][e] && m_to_agent[i][e];
      if (!cut) {
        m_to_entry[i][e] = m_to_agent[i][e] = true;
      } else if (m_dice.Chance(0.4)) {
        m_dice.Count(Event::kLinkCutOneWay);
        (m_dice.Chance(0.5) ? m_to_entry : m_to_agent)[i][e] = false;
      } else {
        m_dice.Count(Event::kLinkCutBothWays);
        m_to_entry[i][e] = m_to_agent[i][e] = false;
      }
    }
    auto& agent = m_agents[i];
    if (!m_dice.Fault(agent.m_reaches_store ? 0.5 * m_mix.m_link_changes : 0.004)) continue;
    agent.m_reaches_store = !agent.m_reaches_store;
    if (!agent.m_reaches_store) m_dice.Count(Event::kAgentStoreCut);
  }
}

void Simulation::RestartAgent(const std::size_t i) {
  auto& agent = m_agents[i];
  const bool first = agent.m_process == 0;
  agent.m_down = true;
  agent.m_stopped_until = m_now + (first ? Duration{} : m_dice.Between(100ms, 1500ms));
  if (m_dice.Fault(first ? 0.0 : 0.3, Event::kAgentClockStepped)) {
    agent.m_wall_offset += m_dice.Between(-10s, 10s);
  }
  ++agent.m_process;
  agent.m_state = {.m_id = {"a" + std::to_string(i)}, .m_rpc_address = std::to_string(i)};
  m_workers.AddTrace("agent " + std::to_string(i) + " restarts");
}

}  // namespace ebonypin::core::fleet
