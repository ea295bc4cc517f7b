/// Coordinator with agents whose reports are written by the test.
#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "ebonypin/core/fleet/coordinator.h"

namespace ebonypin::core::fleet {

inline constexpr WallMillis kWall = 1'800'000'000'000;

/// Returns a job with one step of `count` tasks that take one processor for one second each.
inline JobSpec MakeJob(const std::string& id, const std::uint32_t count = 1) {
  return {.m_id = {id},
          .m_policy = {.m_queue = {"renders"},
                       .m_service = {"desk"},
                       .m_attempts = 3,
                       .m_stretch = 2.0,
                       .m_objective = std::chrono::seconds{1}},
          .m_payload = "plate",
          .m_steps = {{.m_count = count,
                       .m_size = {.m_cpu_millis = 1000, .m_memory_mb = 100},
                       .m_estimate = std::chrono::seconds{1}}}};
}

/// Returns a job whose tasks serve with a latency target of 18 ms until it is cancelled.
inline JobSpec MakeServingJob(const std::string& id, const std::uint32_t count,
                              const ImageName& image) {
  JobSpec job = MakeJob(id, count);
  job.m_steps[0].m_long_running = true;
  job.m_steps[0].m_latency_target = std::chrono::milliseconds{18};
  job.m_steps[0].m_image = image;
  return job;
}

/// Returns a job of filling tasks.
inline JobSpec MakeFillingJob(const std::string& id, const std::uint32_t count,
                              const ImageName& image) {
  JobSpec job = MakeJob(id, count);
  job.m_steps[0].m_fills = true;
  job.m_steps[0].m_image = image;
  return job;
}

inline TaskRef Ref(const std::string& job, const std::uint32_t index = 0,
                   const std::uint32_t step = 0, const std::uint32_t occurrence = 0) {
  return {.m_job = {job}, .m_occurrence = occurrence, .m_step = step, .m_index = index};
}

class Site {
 public:
  Coordinator m_state{.m_epoch = 1, .m_rpc_address = "c"};
  Time m_now{std::chrono::hours{1}};
  WallMillis m_wall = kWall;

  void Advance(const Duration time) {
    m_now += time;
    m_wall += std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
  }

  /// Writes all outstanding records to the store.
  void Write() { OnWritten(m_state, TakeWrites(m_state, m_wall)); }

  std::optional<JobCallReply> Submit(const JobSpec& job) {
    return OnCall(m_state, m_now, {.m_kind = JobCallKind::kSubmit, .m_job = job});
  }

  /// Submits a job and writes its record.
  void Accept(const JobSpec& job) {
    (void)Submit(job);
    Write();
  }

  JobPhase PhaseOf(const std::string& id) {
    const auto reply =
        OnCall(m_state, m_now, {.m_kind = JobCallKind::kState, .m_job = {.m_id = {id}}});
    return reply->m_phase;
  }

  /// Returns a report of an agent that knows its runs and has taken every order so far.
  AgentReport Report(const std::string& agent) {
    AgentReport report{.m_agent = {agent},
                       .m_rpc_address = agent,
                       .m_epoch = m_state.m_epoch,
                       .m_number = ++m_reports,
                       .m_runs_known = true,
                       .m_worker = {.m_id = {"w-" + agent},
                                    .m_born = 7,
                                    .m_service = {"desk"},
                                    .m_capacity = {.m_cpu_millis = 4000, .m_memory_mb = 4000},
                                    .m_reachable = true}};
    const auto found = m_state.m_agents.find({agent});
    if (found == m_state.m_agents.end()) return report;
    report.m_session = found->second.m_session;
    report.m_last_order = found->second.m_next_order - 1;
    return report;
  }

  /// Sends `report` without a session, and then again with the session that was offered.
  AgentReportReply ReportInNewSession(AgentReport report) {
    report.m_session = 0;
    report.m_last_order = 0;
    report.m_number = ++m_reports;
    report.m_session = OnReport(m_state, m_now, report).m_session;
    report.m_number = ++m_reports;
    return OnReport(m_state, m_now, report);
  }

  /// Adds an agent: sends its first reports, writes its record, and sends the report that gets a
  /// grant.
  void Join(const std::string& agent) {
    if (Report(agent).m_session == 0) (void)ReportInNewSession(Report(agent));
    Write();
    (void)OnReport(m_state, m_now, Report(agent));
  }

  /// Sends a report in which `agent` lists all runs that are placed there.
  void ListPlacedRuns(const std::string& agent) {
    auto report = Report(agent);
    for (const auto& [ref, run] : m_state.m_agents.at({agent}).m_placed_runs) {
      const auto& steps = m_state.m_jobs.at(ref.m_job).m_occurrences.at(ref.m_occurrence).m_steps;
      report.m_runs.push_back(
          {.m_task = ref, .m_run = steps[ref.m_step].m_tasks[ref.m_index].m_run});
    }
    (void)OnReport(m_state, m_now, report);
  }

  /// Makes a plan and returns the starts that it ordered, with their agents.
  std::vector<std::pair<std::string, StartOrder>> Starts() {
    std::vector<std::uint64_t> before;
    for (const auto& [id, agent] : m_state.m_agents) before.push_back(agent.m_next_order);
    Plan(m_state, m_now, m_wall);
    std::vector<std::pair<std::string, StartOrder>> starts;
    std::size_t i = 0;
    for (const auto& [id, agent] : m_state.m_agents) {
      for (const auto& order : agent.m_orders) {
        if (order.m_number >= before[i] && order.m_kind == OrderKind::kStart) {
          starts.emplace_back(id.m_value, order.m_start);
        }
      }
      ++i;
    }
    return starts;
  }

  /// Returns the tasks with unconfirmed stop orders.
  std::vector<TaskRef> Stops() const {
    std::vector<TaskRef> stops;
    for (const auto& [id, agent] : m_state.m_agents) {
      for (const auto& order : agent.m_orders) {
        if (order.m_kind == OrderKind::kStop) stops.push_back(order.m_start.m_task);
      }
    }
    return stops;
  }

  /// Reports the end of a run at `agent`, which lists no other runs.
  AgentReportReply End(const std::string& agent, const std::uint64_t number, const TaskRef& task,
                       const RunNumber run, const RunOutcome outcome) {
    auto report = Report(agent);
    report.m_ends = {{.m_number = number, .m_task = task, .m_run = run, .m_outcome = outcome}};
    return report.m_session == 0 ? ReportInNewSession(report) : OnReport(m_state, m_now, report);
  }

 private:
  std::uint64_t m_reports = 0;
};

}  // namespace ebonypin::core::fleet
