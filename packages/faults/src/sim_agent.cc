#include "sim_agent.h"

#include <algorithm>
#include <utility>

#include "ebonypin/core/entry_members.h"

namespace ebonypin::faults {
namespace {

using namespace std::chrono_literals;

constexpr Duration kStopTimeout = 30s;

void Perform(Sim& sim, SimAgent& agent, const core::AgentActions& actions);

Time Now(const Sim& sim, const SimAgent& agent) { return LocalTime(sim, agent.m_process); }

void RecordAgentState(Sim& sim, SimAgent& agent) {
  const bool draining = core::IsDraining(agent.m_ledger);
  if (draining != agent.m_recorded_draining)
    RecordEvent(sim, draining ? EventKind::kDrainBegan : EventKind::kDrainEnded,
                agent.m_worker.m_name);
  agent.m_recorded_draining = draining;
  if (agent.m_ledger.m_config_offset == agent.m_recorded_config) return;
  agent.m_recorded_config = agent.m_ledger.m_config_offset;
  for (const core::ClassSpec& spec : agent.m_ledger.m_classes) {
    Event& event = RecordEvent(sim, EventKind::kConfigInForce, agent.m_process.m_name);
    event.m_class = spec.m_name.m_value;
    event.m_revision = spec.m_revision;
    event.m_text = spec.m_team.m_value;
    event.m_offset = agent.m_recorded_config;
  }
}

/// Carries out an action at the worker after a short delay, unless the worker restarts in the
/// meantime.
template <typename T>
void SendToWorker(Sim& sim, SimAgent& agent, const T& action) {
  const core::Incarnation incarnation = agent.m_process.m_incarnation;
  After(sim, RandomDuration(sim, 200us, 3ms),
        [&sim, &agent, action, incarnation, worker_generation = agent.m_worker.m_generation] {
          if (agent.m_worker.m_generation != worker_generation) return;
          if constexpr (std::is_same_v<T, core::ThrottleTask>) {
            if (!Execute(sim, agent.m_worker, action)) return;
            AfterInIncarnation(sim, agent.m_process, incarnation, 1ms, [&sim, &agent, action] {
              Perform(sim, agent,
                      core::OnTaskThrottled(agent.m_ledger, action.m_task, action.m_share,
                                            action.m_version, Now(sim, agent)));
            });
          } else {
            Execute(sim, agent.m_worker, action);
          }
        });
}

void SendReport(Sim& sim, SimAgent& agent, const core::SendReport& action) {
  const std::string to =
      action.m_to.empty() ? kEntries[agent.m_next_entry++ % kEntries.size()] : action.m_to;
  const core::TaskId task{.m_job = action.m_report.m_job, .m_attempt = action.m_report.m_attempt};
  Call(sim, agent.m_process, to, action.m_report, 5s, [&sim, &agent, task, to](const auto& reply) {
    if (const auto* const answer = std::get_if<core::TaskReportReply>(&reply))
      Perform(sim, agent, core::OnReportReply(agent.m_ledger, task, *answer, to, Now(sim, agent)));
  });
}

void RunAtEndpoint(Sim& sim, SimAgent& agent, const core::CallEndpoint& action) {
  const core::Incarnation incarnation = agent.m_process.m_incarnation;
  const auto ended = [&sim, &agent, call = action.m_call,
                      incarnation](const std::optional<std::string>& result) {
    AfterInIncarnation(sim, agent.m_process, incarnation, 1ms, [&sim, &agent, call, result] {
      core::RunEnd end{.m_kind = core::AnswerKind::kUnknown,
                       .m_error = {.m_kind = core::ErrorKind::kDisconnected}};
      if (result) end = {.m_kind = core::AnswerKind::kDone, .m_result = *result};
      Perform(sim, agent, core::OnRunEnded(agent.m_ledger, call, std::move(end), Now(sim, agent)));
    });
  };
  AfterInProcess(sim, agent.m_process, 1ms,
                 [&sim, &agent, action, ended] { BeginRun(sim, agent.m_worker, action, ended); });
}

void Perform(Sim& sim, SimAgent& agent, const core::AgentActions& actions) {
  RecordAgentState(sim, agent);
  for (const core::AgentAction& action : actions) {
    std::visit(
        [&]<typename T>(const T& typed) {
          if constexpr (std::is_same_v<T, core::ReplyToCall>) {
            const auto reply = agent.m_replies.find(typed.m_call);
            if (reply == agent.m_replies.end()) return;
            reply->second(typed.m_reply);
            agent.m_replies.erase(reply);
          } else if constexpr (std::is_same_v<T, core::CallEndpoint>) {
            RunAtEndpoint(sim, agent, typed);
          } else if constexpr (std::is_same_v<T, core::SendReport>) {
            SendReport(sim, agent, typed);
          } else {
            SendToWorker(sim, agent, typed);
          }
        },
        action);
  }
}

void SendHeartbeat(Sim& sim, SimAgent& agent) {
  std::vector<core::EntryInfo> entries;
  entries.reserve(kEntries.size());
  for (const std::string& name : kEntries)
    entries.push_back({.m_entry = {name}, .m_rpc_address = name});
  const auto homes = core::HomeEntries(agent.m_ledger.m_options.m_agent, entries);
  const Time asked = Now(sim, agent);
  for (const core::EntryInfo& home : homes) {
    Call(sim, agent.m_process, home.m_rpc_address, core::BuildHeartbeat(agent.m_ledger, {}), 2s,
         [&sim, &agent, asked, from = home.m_rpc_address](const core::Message& message) {
           const auto* const reply = std::get_if<core::HeartbeatReply>(&message);
           if (reply == nullptr) return;
           core::HeartbeatReply applied_reply = *reply;
           if (sim.m_defect == Defect::kDrainIgnored) applied_reply.m_drain = false;
           Perform(
               sim, agent,
               core::OnHeartbeatReply(agent.m_ledger, applied_reply, from, asked, Now(sim, agent)));
         });
  }
  AfterInProcess(sim, agent.m_process, TrueDuration(agent.m_process, 1s),
                 [&sim, &agent] { SendHeartbeat(sim, agent); });
}

void Tick(Sim& sim, SimAgent& agent) {
  Perform(sim, agent, core::OnTick(agent.m_ledger, Now(sim, agent)));
  AfterInProcess(sim, agent.m_process, 100ms, [&sim, &agent] { Tick(sim, agent); });
}

/// Requests the list of tasks from the worker.
void RequestTaskList(Sim& sim, SimAgent& agent, const bool restarted) {
  const Time asked = Now(sim, agent);
  const core::Incarnation incarnation = agent.m_process.m_incarnation;
  After(sim, 2ms, [&sim, &agent, restarted, asked, incarnation] {
    core::TaskList list{
        .m_tasks = ListTasks(agent.m_worker), .m_asked = asked, .m_restarted = restarted};
    AfterInIncarnation(
        sim, agent.m_process, incarnation, 2ms, [&sim, &agent, list = std::move(list)] {
          Perform(sim, agent, core::OnTaskList(agent.m_ledger, list, Now(sim, agent)));
        });
  });
}

void ContinueStop(Sim& sim, SimAgent& agent, const Duration since) {
  const bool at_once = sim.m_defect == Defect::kCutOnStop;
  if (!at_once && !core::IsDrained(agent.m_ledger) && sim.m_now - since < kStopTimeout) {
    AfterInProcess(sim, agent.m_process, 100ms,
                   [&sim, &agent, since] { ContinueStop(sim, agent, since); });
    return;
  }
  Stop(sim, agent.m_process);
  AbortRuns(sim, agent.m_worker, true);
  After(sim, 3s, [&sim, &agent] { StartAgent(sim, agent); });
}

}  // namespace

void StartAgent(Sim& sim, SimAgent& agent) {
  if (agent.m_process.m_up) return;
  Start(sim, agent.m_process);
  RecordEvent(sim, EventKind::kDrainEnded, agent.m_worker.m_name);
  agent.m_recorded_draining = false;
  agent.m_recorded_config = 0;
  agent.m_replies.clear();
  const int factor = sim.m_defect == Defect::kOvercommit ? 2 : 1;
  core::Resources size = agent.m_worker.m_size;
  size.m_cpu_millis *= factor;
  size.m_memory_mb *= factor;
  agent.m_ledger = core::MakeAgentLedger({.m_agent = {agent.m_process.m_name},
                                          .m_incarnation = agent.m_process.m_incarnation,
                                          .m_domain = {"domain " + agent.m_process.m_name},
                                          .m_rpc_address = agent.m_process.m_name,
                                          .m_capacity = size,
                                          .m_slots = agent.m_worker.m_slots * factor});
  agent.m_process.m_handler = [&sim, &agent](core::Message message, ReplyFunction reply) {
    const core::CallId call = ++agent.m_last_call;
    agent.m_replies[call] = std::move(reply);
    Perform(sim, agent, core::OnMessage(agent.m_ledger, call, message, Now(sim, agent)));
  };
  agent.m_worker.m_rate = agent.m_process.m_rate;
  agent.m_worker.m_send_event = [&sim, &agent](const core::TaskEvent& event) {
    AfterInProcess(sim, agent.m_process, RandomDuration(sim, 500us, 3ms), [&sim, &agent, event] {
      Perform(sim, agent, core::OnTaskEvent(agent.m_ledger, event, Now(sim, agent)));
    });
  };
  RequestTaskList(sim, agent, false);
  AfterInProcess(sim, agent.m_process, 10ms, [&sim, &agent] { Tick(sim, agent); });
  AfterInProcess(sim, agent.m_process, RandomDuration(sim, 10ms, 1s),
                 [&sim, &agent] { SendHeartbeat(sim, agent); });
}

void CrashAgent(Sim& sim, SimAgent& agent) {
  Stop(sim, agent.m_process);
  AbortRuns(sim, agent.m_worker, false);
}

void StopAgent(Sim& sim, SimAgent& agent) {
  if (!agent.m_process.m_up || agent.m_ledger.m_stopping) return;
  AfterInProcess(sim, agent.m_process, 0ms, [&sim, &agent] {
    if (sim.m_defect == Defect::kDrainIgnored) {
      RecordEvent(sim, EventKind::kDrainBegan, agent.m_worker.m_name);
      agent.m_recorded_draining = false;
    } else {
      Perform(sim, agent, core::OnStop(agent.m_ledger, Now(sim, agent)));
    }
    ContinueStop(sim, agent, sim.m_now);
  });
}

void RestartWorkerOf(Sim& sim, SimAgent& agent) {
  RestartWorker(sim, agent.m_worker);
  if (agent.m_process.m_up) RequestTaskList(sim, agent, true);
}

}  // namespace ebonypin::faults
