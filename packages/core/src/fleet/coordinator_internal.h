/// Parts of the coordinator that its source files share.
#pragma once

#include "ebonypin/core/fleet/coordinator.h"

namespace ebonypin::core::fleet {

/// Returns the task, or null when its job, occurrence or step is not open.
[[nodiscard]] Task* FindTask(Coordinator& state, const TaskRef& ref) noexcept;

[[nodiscard]] Job* FindJob(Coordinator& state, const JobId& job) noexcept;

/// Keeps what does not change while the job is open, so that a plan need not compute it.
void NoteChains(Job& job);

/// Creates the tasks of an occurrence that has become due.
void OpenOccurrence(Job& job, std::uint32_t number);

/// Counts the run at the agent and sets the task to placed.
void Hold(Coordinator& state, Agent& agent, const TaskRef& ref, Task& task);

/// Takes the run off its agent and sets the task to waiting.
void Release(Coordinator& state, const TaskRef& ref, Task& task);

/// Returns what an agent has to know of the task's current run.
[[nodiscard]] StartOrder OrderFor(const Job& job, const TaskRef& ref, const Task& task);

/// Adds an order to stop the run unless there is one.
void OrderStop(Coordinator& state, const TaskRef& ref, Task& task, std::string reason);

/// Counts a run at the agent that no task accounts for, until the agent's next report.
void AddStray(Coordinator& state, Agent& agent, const TaskRef& ref);

/// Forgets the stray runs that the agent listed last.
void DropStrays(Coordinator& state, Agent& agent);

/// Adds an order to stop a run that no task accounts for.
void OrderStray(Coordinator& state, Agent& agent, const RunStatus& run, std::string reason);

/// Stops every run of the job, which is cancelled or failed.
void StopJob(Coordinator& state, Job& job, const std::string& reason);

/// Takes the end of a run. Repeated ends have no effect.
void OnEnd(Coordinator& state, Time now, Agent& agent, const RunEnded& end);

/// Takes the news that a run is gone without an end of its own.
void OnLost(Coordinator& state, Time now, const TaskRef& ref, Task& task, std::string reason);

/// Notes a decision by which work or a worker was lost or failed.
void DecideFailure(Coordinator& state, std::string_view what, const TaskRef& ref, RunNumber run,
                   const AgentId& agent, std::string reason);

void Decide(Coordinator& state, std::string_view what, const TaskRef& ref, RunNumber run,
            const AgentId& agent, std::string reason);

}  // namespace ebonypin::core::fleet
