/// Tasks that crash the workers that start them.
///
/// A worker's crash does not tell which of its runs caused it. Each task that was started there
/// just before is a suspect. Suspects are started on separate workers (see worker_choice.cc), so
/// that the next crash names the task, and the others are cleared as soon as they make progress.
#include <algorithm>
#include <utility>

#include "coordinator_internal.h"

namespace ebonypin::core::fleet {
namespace {

constexpr std::size_t kMaxCrashesAlone = 2;  // When no other task can have caused the last crash.
constexpr std::size_t kMaxCrashes = 3;

/// Returns whether the run was started so shortly before the crash that it may be its cause.
bool MayHaveCaused(const Coordinator& state, const CrashedRun& run) noexcept {
  return run.m_age <= state.m_options.m_crash_window;
}

/// Counts a crash for the task of a run that may have caused it. `alone`: no other run may.
void CountCrash(Coordinator& state, const Agent& agent, const CrashedRun& run, const bool alone) {
  Job* const job = FindJob(state, run.m_task.m_job);
  Task* const task = FindTask(state, run.m_task);
  if (task == nullptr || task->m_phase == TaskPhase::kDone || job->m_closed) return;
  auto& crashes = task->m_crashes;
  if (std::find(crashes.begin(), crashes.end(), run.m_run) != crashes.end()) return;
  crashes.push_back(run.m_run);
  task->m_suspect = true;
  MarkUnwritten(state, *job, run.m_task);
  const auto count = std::to_string(crashes.size());
  LogFailure(state, "worker crashed", run.m_task, run.m_run, agent.m_id,
             "the run was " + std::to_string(run.m_age.count() / 1000) + " ms old" +
                 (alone ? ", the only one as young" : "") + "; crash " + count +
                 " soon after a start of this task");
  if (crashes.size() >= (alone ? kMaxCrashesAlone : kMaxCrashes)) task->m_given_up = true;
}

}  // namespace

void OnCrashes(Coordinator& state, Agent& agent, const AgentReport& report) {
  const auto seen = agent.m_crash_seen;
  for (const auto& run : report.m_crashed) {
    agent.m_crash_seen = std::max(agent.m_crash_seen, run.m_born);
    if (run.m_born <= seen || !MayHaveCaused(state, run)) continue;
    const auto suspects = std::count_if(
        report.m_crashed.begin(), report.m_crashed.end(), [&](const CrashedRun& other) {
          return other.m_born == run.m_born && MayHaveCaused(state, other);
        });
    CountCrash(state, agent, run, suspects == 1);
  }
}

bool FailIfGivenUp(Coordinator& state, Job& job, const TaskRef& ref, const Task& task) {
  if (!task.m_given_up) return false;
  FailJob(state, job, ref, task.m_run, task.m_agent,
          std::to_string(task.m_crashes.size()) +
              " workers crashed soon after they had started the task");
  return true;
}

void ClearSuspicion(Coordinator& state, const TaskRef& ref, Task& task) {
  if (!task.m_suspect) return;
  task.m_suspect = task.m_given_up = false;
  task.m_crashes.clear();
  if (Job* const job = FindJob(state, ref.m_job)) MarkUnwritten(state, *job, ref);
  LogDecision(state, "suspicion cleared", ref, task.m_run, task.m_agent,
              "the run has not crashed its worker");
  const auto agent = state.m_agents.find(task.m_agent);
  if (agent == state.m_agents.end()) return;
  const auto placed = agent->second.m_placed_runs.find(ref);
  if (placed == agent->second.m_placed_runs.end()) return;
  if (std::exchange(placed->second.m_suspect, false)) --agent->second.m_suspects;
}

}  // namespace ebonypin::core::fleet
