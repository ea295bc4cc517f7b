/// Reports from an agent to the coordinator, and their answers.
#include <algorithm>
#include <iterator>

#include "worker_agent_internal.h"

namespace ebonypin::core::fleet {
namespace {

[[nodiscard]] bool HasGrantEnded(const WorkerAgent& agent, const Time now) noexcept {
  return agent.m_session_granted && now >= agent.m_granted_until;
}

/// Adds the ends to the report, in their order, as many as its states leave room for. Returns the
/// bytes of their states.
std::size_t AddEnds(WorkerAgent& agent, AgentReport& report) {
  std::size_t bytes = 0;
  for (const auto& end : agent.m_ends) {
    bytes += end.m_checkpoint.size();
    if (bytes > agent.m_options.m_max_report_states) break;
    report.m_ends.push_back(end);
  }
  agent.m_ends_left_out = report.m_ends.size() < agent.m_ends.size();
  // Without all ends, a run that is not listed may have ended.
  if (agent.m_ends_left_out) report.m_ends_complete = false;
  return bytes;
}

/// Adds the runs to the report. States for which there is no room come first in the next report;
/// until then the coordinator keeps those that it knows.
void AddRuns(WorkerAgent& agent, AgentReport& report, std::size_t bytes) {
  const auto limit = agent.m_options.m_max_report_states;
  for (const auto& [task, run] : agent.m_runs) {
    report.m_runs.push_back({.m_task = task,
                             .m_run = run.m_order.m_run,
                             .m_percent = run.m_percent,
                             .m_figure = run.m_figure,
                             .m_order_known = run.m_order_known});
  }
  auto run = agent.m_runs.lower_bound(agent.m_next_state);
  auto listed = report.m_runs.begin() + std::distance(agent.m_runs.begin(), run);
  for (std::size_t i = 0; i < agent.m_runs.size(); ++i, ++run, ++listed) {
    if (run == agent.m_runs.end()) {
      run = agent.m_runs.begin();
      listed = report.m_runs.begin();
    }
    const auto& state = run->second.m_checkpoint;
    bytes += state.size();
    if (bytes > limit) {
      agent.m_next_state = run->first;
      return;
    }
    listed->m_checkpoint = state;
  }
}

}  // namespace

AgentReport MakeReport(WorkerAgent& agent, const Time now) {
  const bool session_over = HasGrantEnded(agent, now);
  if (now >= agent.m_granted_until) GiveUpStarts(agent, now);
  AgentReport report{.m_agent = agent.m_id,
                     .m_rpc_address = agent.m_rpc_address,
                     .m_epoch = agent.m_epoch,
                     .m_number = ++agent.m_reports,
                     .m_session = session_over ? 0 : agent.m_session,
                     .m_last_order = agent.m_last_order,
                     .m_runs_known = agent.m_runs_known,
                     .m_worker = agent.m_worker,
                     .m_crashed = agent.m_answered ? agent.m_crashed : std::vector<CrashedRun>{},
                     .m_ends_complete = agent.m_ends_complete};
  const auto bytes = AddEnds(agent, report);
  AddRuns(agent, report, bytes);
  return report;
}

void OnReportReply(WorkerAgent& agent, const Time sent, const AgentReportReply& reply) {
  if (reply.m_epoch < agent.m_epoch) return;
  if (reply.m_epoch > agent.m_epoch) {
    agent.m_epoch = reply.m_epoch;
    agent.m_session = 0;
  }
  if (!reply.m_coordinator.empty()) agent.m_coordinator = reply.m_coordinator;
  if (!reply.m_accepted) return;
  // Answers a report that was made before the worker changed.
  if (reply.m_session != 0 && reply.m_session == agent.m_former_session) return;
  if (reply.m_session != agent.m_session) {
    // A coordinator that changes adopts the starts that are reported to it.
    if (agent.m_session != 0) GiveUpStarts(agent, sent);
    agent.m_session = reply.m_session;
    agent.m_last_order = 0;
    agent.m_session_granted = false;
    agent.m_report_due = true;
  }
  if (reply.m_grant > Duration{}) {
    agent.m_session_granted = true;
    agent.m_granted_until = std::max(agent.m_granted_until, sent + reply.m_grant);
  }
  Adopt(agent.m_pairs, reply.m_pairs, sent);
  std::erase_if(agent.m_crashed,
                [&](const CrashedRun& run) { return run.m_born <= reply.m_recorded_crash; });
  if (reply.m_worker_born != agent.m_worker.m_born) return;
  agent.m_recorded_end = std::max(agent.m_recorded_end, reply.m_recorded_end);
  const auto erased = std::erase_if(
      agent.m_ends, [&](const RunEnded& end) { return end.m_number <= agent.m_recorded_end; });
  if (erased > 0 && agent.m_ends_left_out) agent.m_report_due = true;
}

}  // namespace ebonypin::core::fleet
