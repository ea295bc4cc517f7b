/// Agents, as the agent's role of the daemon runs them.
#include <algorithm>

#include "simulation.h"

namespace ebonypin::core::fleet {
namespace {

using namespace std::chrono_literals;

constexpr auto kReportInterval = 500ms;
constexpr auto kReportDeadline = 700ms;
constexpr auto kReportRetryDelay = 120ms;

}  // namespace

void Simulation::ToAgent(const std::size_t i, const std::uint64_t process, const Time time,
                         std::function<void(SimulatedAgent&)> action) {
  m_agenda.At(time, [this, i, process, action = std::move(action)] {
    auto& agent = m_agents[i];
    if (agent.m_process != process || agent.m_down) return;
    if (m_now >= agent.m_stopped_until) return action(agent);
    // A frozen process handles what has arrived when it goes on.
    ToAgent(i, process, agent.m_stopped_until, action);
  });
}

void Simulation::StepAgent(const std::size_t i) {
  auto& agent = m_agents[i];
  if (m_now < agent.m_stopped_until) return;
  if (agent.m_down) {
    agent.m_down = false;
    agent.m_state.m_fence = static_cast<std::uint64_t>(WallOf(agent.m_wall_offset)) << 10U;
    agent.m_last_report = agent.m_next_report = agent.m_next_record = {};
    Begin(agent.m_state, m_now);
    SendHeartbeat(i, true);
  } else if (m_now >= agent.m_next_heartbeat) {
    SendHeartbeat(i, false);
  }
  auto& state = agent.m_state;
  Tick(state, m_now);
  if (agent.m_reaches_store && m_now >= agent.m_next_record) {
    agent.m_next_record = m_now + m_dice.Between(100ms, 1s);
    const bool found = m_store.m_claim.m_epoch > 0;
    OnCoordinatorRead(state, m_now, found ? std::optional{m_store.m_claim} : std::nullopt);
  }
  SendHold(i);
  SendCalls(i);
  const bool due = state.m_report_due || m_now - agent.m_last_report >= kReportInterval;
  if (due && !state.m_coordinator.empty() && m_now >= agent.m_next_report) SendReport(i);
}

void Simulation::SendHeartbeat(const std::size_t i, const bool first) {
  auto& agent = m_agents[i];
  agent.m_next_heartbeat = m_now + 900ms;
  if (!m_workers.IsUp(i)) return;
  auto worker = m_workers.Describe(i);
  const auto sequence = ++m_workers.Beat(i);
  if (first && m_dice.Fault(0.4, Event::kStaleFirstHeartbeat)) {
    // Sent by a former incarnation, and delayed by a partition.
    worker.m_born -= m_dice.Between(1s, 20s) / 1ms;
    (void)OnHeartbeat(agent.m_state, m_now, worker, 1000);
    agent.m_next_heartbeat = m_now + m_dice.Between(20ms, 2s);
    return;
  }
  if (m_dice.Fault(0.05, Event::kHeartbeatDelayed)) {
    return ToAgent(i, agent.m_process, m_now + m_dice.Between(100ms, 5s),
                   [this, worker, sequence](SimulatedAgent& receiver) {
                     (void)OnHeartbeat(receiver.m_state, m_now, worker, sequence);
                   });
  }
  (void)OnHeartbeat(agent.m_state, m_now, worker, sequence);
}

void Simulation::SendHold(const std::size_t i) {
  auto& agent = m_agents[i];
  const auto hold = NextHold(agent.m_state, m_now);
  if (!hold) return;
  const auto sent = m_now;
  const auto fence = agent.m_state.m_fence;
  const auto target = agent.m_state.m_worker.m_id;
  const auto process = agent.m_process;
  const auto fail = [this, i, sent, process](const Duration after, const bool fenced) {
    ToAgent(i, process, m_now + after, [this, sent, fenced](SimulatedAgent& caller) {
      if (fenced) RaiseFence(caller.m_state);
      OnHold(caller.m_state, sent, m_now, std::nullopt);
    });
  };
  if (m_dice.Fault(m_mix.m_message_faults)) {
    const auto born = m_workers.At(i).m_born;
    if (m_dice.Fault(0.3, Event::kHoldCarriedOutLate)) {
      m_agenda.At(m_now + m_dice.Between(100ms, 8s), [this, i, fence, born, call = *hold] {
        // Calls that a worker has not carried out yet are lost when it restarts.
        if (m_workers.At(i).m_born == born) (void)m_workers.Hold(i, fence, call);
      });
    }
    return fail(m_dice.Between(20ms, 1s), false);
  }
  if (!m_workers.IsUp(i) || target != m_workers.At(i).m_id) return fail(Lag(), false);
  if (!m_workers.Hold(i, fence, *hold)) return fail(Lag(), true);
  if (m_dice.Fault(m_mix.m_message_faults)) return fail(m_dice.Between(20ms, 1s), false);
  const auto wait = std::min(hold->m_wait, m_dice.Between(1ms, 450ms));
  m_agenda.At(m_now + wait + 1us, [this, i, sent, process, fail, born = m_workers.At(i).m_born] {
    // The call failed with its worker, which the agent may notice late.
    if (born != m_workers.At(i).m_born) {
      return fail(m_dice.Fault(0.1) ? m_dice.Between(20ms, 2s) : Lag(), false);
    }
    m_workers.Advance();
    const auto answer = m_workers.List(i);
    const auto lag = m_dice.Fault(0.05) ? m_dice.Between(50ms, 2s) : m_dice.Between(1us, 10ms);
    ToAgent(i, process, m_now + lag, [this, sent, answer](SimulatedAgent& caller) {
      OnHold(caller.m_state, sent, std::max(m_now, sent + 1us), answer);
    });
  });
}

void Simulation::SendCalls(const std::size_t i) {
  auto& agent = m_agents[i];
  const auto process = agent.m_process;
  for (const auto& call : NextCalls(agent.m_state, m_now)) {
    const auto answer = [this, i, process, call](const Duration after, const RunAnswer how) {
      ToAgent(i, process, m_now + after, [this, call, how](SimulatedAgent& caller) {
        OnRunAnswer(caller.m_state, m_now, call, how);
      });
    };
    if (call.m_kind == RunCallKind::kPace) {
      answer(Lag(), RunAnswer::kOk);
      continue;
    }
    if (m_dice.Fault(m_mix.m_message_faults)) {
      answer(m_dice.Between(20ms, 1s),
             m_dice.Chance(0.5) ? RunAnswer::kNotSent : RunAnswer::kNoAnswer);
      continue;
    }
    const auto carry_out = [this, i, call, fence = agent.m_state.m_fence,
                            target = agent.m_state.m_worker.m_id] {
      return call.m_kind == RunCallKind::kStart ? m_workers.Start(i, target, fence, call)
                                                : m_workers.Stop(i, target, fence, call);
    };
    if (m_dice.Fault(1.5 * m_mix.m_message_faults, Event::kCallCarriedOutLate)) {
      m_agenda.At(m_now + m_dice.Between(20ms, 8s),
                  [this, i, carry_out, born = m_workers.At(i).m_born] {
                    // Assumption in docs/questions.md: calls that a worker has not carried out yet
                    // are lost when it restarts.
                    if (m_workers.At(i).m_born == born) (void)carry_out();
                  });
      answer(m_dice.Between(20ms, 1s), RunAnswer::kNoAnswer);
      continue;
    }
    auto how = carry_out();
    if (m_mix.m_false_answers > 0.0 && call.m_kind == RunCallKind::kStart &&
        how == RunAnswer::kOk &&
        m_dice.Fault(m_mix.m_false_answers, Event::kStartAnsweredFalsely)) {
      how = RunAnswer::kBusy;
    }
    answer(Lag(), m_dice.Fault(m_mix.m_message_faults) ? RunAnswer::kNoAnswer : how);
  }
}

void Simulation::SendReport(const std::size_t i) {
  auto& agent = m_agents[i];
  agent.m_state.m_report_due = false;
  agent.m_last_report = m_now;
  // One report at a time is in flight, until its reply or its deadline.
  agent.m_next_report = m_now + kReportDeadline + kReportRetryDelay;
  const auto report = MakeReport(agent.m_state, m_now);
  const auto e = FindEntry(agent.m_state.m_coordinator);
  if (!e || !m_to_entry[i][*e] || m_dice.Fault(m_mix.m_message_faults)) {
    return;
  }
  const bool late = m_dice.Fault(m_mix.m_message_faults, Event::kReportDelayed);
  const auto lag = late ? m_dice.Between(100ms, 3s) : Lag();
  ToEntry(*e, m_entries[*e].m_process, m_now + lag,
          [this, i, e = *e, sent = m_now, report, process = agent.m_process](auto& entry) {
            const auto reply = AnswerReport(entry, report);
            if (!m_to_agent[i][e] || m_dice.Fault(m_mix.m_message_faults)) return;
            ToAgent(i, process, m_now + Lag(), [this, sent, reply](SimulatedAgent& receiver) {
              if (m_now - sent > kReportDeadline) return;
              OnReportReply(receiver.m_state, sent, reply);
              receiver.m_next_report = m_now;
              if (reply.m_accepted) return;
              receiver.m_next_report = m_now + kReportRetryDelay;
              receiver.m_state.m_report_due = true;
            });
          });
}

AgentReportReply Simulation::AnswerReport(SimulatedEntry& entry, const AgentReport& report) {
  Observe(entry, report.m_epoch, {});
  if (MayAct(entry.m_leadership, m_now)) return OnReport(entry.m_state, m_now, report);
  const bool active = entry.m_leadership.m_stage == LeadershipStage::kActive;
  return {.m_epoch = entry.m_known.m_epoch,
          .m_coordinator = active ? std::string{} : entry.m_known.m_rpc_address};
}

}  // namespace ebonypin::core::fleet
