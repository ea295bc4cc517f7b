#include "advice_site.h"

#include <utility>

namespace ebonypin::core::fleet {
namespace {

using namespace std::chrono_literals;

constexpr Duration kStep = 5ms;
constexpr Duration kLag = 5ms;  ///< Of a call or its answer.
constexpr std::size_t kMaxWaitingCalls = 32;

std::string TicketText(const Time until) {
  return std::to_string(until.time_since_epoch().count());
}

}  // namespace

AdviceSite::AdviceSite(const std::size_t workers, const std::size_t good, AdviceService service)
    : m_service(std::move(service)) {
  for (std::size_t i = 0; i < workers; ++i) {
    const auto agent = "a" + std::to_string(100 + i);
    m_site.Join(agent);
    if (i < good) m_service.m_good.insert({"w-" + agent});
  }
}

JobSpec AdviceSite::MakeAdvisedJob(const std::string& id, const std::uint32_t tasks) const {
  auto job = MakeJob(id, tasks);
  job.m_policy.m_advised = true;
  job.m_policy.m_advice_call_time = m_service.m_call_time;
  job.m_policy.m_advice_worker_time = m_service.m_worker_time;
  return job;
}

std::string AdviceSite::Submit(const AdvisedWork& work, const std::uint32_t priority) {
  auto id = "j" + std::to_string(1000 + m_submitted++);
  auto job = MakeAdvisedJob(id, work.m_tasks);
  job.m_policy.m_priority = priority;
  job.m_steps[0].m_size.m_cpu_millis = 500;
  job.m_steps[0].m_estimate = work.m_run_time;
  for (std::uint32_t step = 1; step < work.m_steps; ++step) {
    job.m_steps.push_back(job.m_steps[0]);
    job.m_steps.back().m_after = {step - 1};
  }
  m_run_times[id] = work.m_run_time;
  m_site.Accept(job);
  return id;
}

Duration AdviceSite::Play(const AdvisedWork& work, const Duration limit) {
  const Time began = m_site.m_now;
  int submitted = 0;
  while (submitted < work.m_jobs || !AllDone()) {
    for (; submitted < work.m_jobs && m_site.m_now >= began + submitted * work.m_interval;
         ++submitted) {
      (void)Submit(work);
    }
    if (m_site.m_now - began > limit) break;
    Step();
  }
  return m_site.m_now - began;
}

void AdviceSite::RunFor(const Duration time) {
  for (const Time until = m_site.m_now + time; m_site.m_now < until;) Step();
}

bool AdviceSite::IsDone(const std::string& job) const {
  return m_site.m_state.m_open_jobs.count({job}) == 0;
}

void AdviceSite::Step() {
  m_site.Advance(kStep);
  EndWork();
  StepService();
  StartWork();
}

void AdviceSite::StepService() {
  const Time now = m_site.m_now;
  for (auto& call : m_calls) {
    if (call.m_given_up || now < call.m_deadline) continue;
    call.m_given_up = true;
    OnAdviceFailed(m_site.m_state, now, call.m_request.m_number);
  }
  const bool silent = now >= m_service.m_silent_from && now < m_service.m_silent_until;
  if (m_calls.empty() || silent || now < m_calls.front().m_arrived) return;
  if (m_busy_until == Time{}) {
    const auto workers = static_cast<std::int64_t>(m_calls.front().m_request.m_workers.size());
    m_busy_until = now + m_service.m_call_time + workers * m_service.m_worker_time;
  }
  if (now < m_busy_until) return;
  m_busy_until = {};
  const WaitingCall call = m_calls.front();
  m_calls.pop_front();
  ++m_answered;
  if (call.m_given_up) return;
  std::map<WorkerId, std::string> tickets;
  for (const auto& worker : call.m_request.m_workers) {
    if (m_service.m_good.count(worker) > 0) tickets[worker] = TicketText(now + m_service.m_valid);
  }
  OnAdvice(m_site.m_state, now + kLag, call.m_request.m_number, tickets, m_service.m_valid);
}

void AdviceSite::StartWork() {
  const Time now = m_site.m_now;
  for (const auto& [agent, start] : m_site.Starts()) {
    const bool valid =
        start.m_ticket > TicketText(now + kLag) && m_service.m_good.count({"w-" + agent}) > 0;
    if (!valid) ++m_rejected;
    m_runs[start.m_task] = {.m_agent = agent,
                            .m_ends = now + m_run_times.at(start.m_task.m_job.m_value)};
  }
  for (auto& [id, agent] : m_site.m_state.m_agents) {
    OnOrdersTaken(m_site.m_state, id, agent.m_session, agent.m_next_order - 1);
  }
  for (auto& request : std::exchange(m_site.m_state.m_advice_requests, {})) {
    if (m_calls.size() >= kMaxWaitingCalls) {
      ++m_refused;
      OnAdviceFailed(m_site.m_state, now, request.m_number);
      continue;
    }
    m_calls.push_back(
        {.m_request = request, .m_arrived = now + kLag, .m_deadline = now + request.m_deadline});
  }
}

void AdviceSite::EndWork() {
  std::map<std::string, std::vector<TaskRef>> ended;
  for (const auto& [task, run] : m_runs) {
    if (m_site.m_now >= run.m_ends) ended[run.m_agent].push_back(task);
  }
  for (const auto& [agent, tasks] : ended) {
    auto report = m_site.Report(agent);
    for (const auto& [task, run] : m_runs) {
      if (run.m_agent != agent) continue;
      const auto& steps = m_site.m_state.m_jobs.at(task.m_job).m_occurrences.at(0).m_steps;
      const auto number = steps[task.m_step].m_tasks[task.m_index].m_run;
      if (m_site.m_now >= run.m_ends) {
        report.m_ends.push_back({.m_number = ++m_ends[agent],
                                 .m_task = task,
                                 .m_run = number,
                                 .m_outcome = RunOutcome::kDone});
      } else {
        report.m_runs.push_back({.m_task = task, .m_run = number});
      }
    }
    (void)OnReport(m_site.m_state, m_site.m_now, report);
    for (const auto& task : tasks) m_runs.erase(task);
  }
  if (!ended.empty()) m_site.Write();
}

}  // namespace ebonypin::core::fleet
