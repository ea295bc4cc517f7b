/// Functions shared by the source files of the coordinator.
#pragma once

#include "ebonypin/core/fleet/coordinator.h"
#include "ebonypin/core/fleet/worker_choice.h"

namespace ebonypin::core::fleet {

/// Step with waiting tasks whose preceding steps are done.
struct ReadyStep {
  Job* m_job = nullptr;
  std::uint32_t m_occurrence = 0;
  std::uint32_t m_step = 0;
  std::uint32_t m_priority = 0;
  bool m_late = false;  ///< The job misses its objective in any case.
  Time m_latest_start;  ///< Latest start that meets the objective.
};

/// Returns the state of the ready step.
[[nodiscard]] StepState& StepOf(const ReadyStep& ready);

[[nodiscard]] TaskRef RefOf(const ReadyStep& ready, std::uint32_t index);

/// Describes the task with this index for the choice of its worker.
[[nodiscard]] TaskNeed NeedOf(const Coordinator& state, const ReadyStep& ready, std::uint32_t index,
                              TicketUse tickets);

/// Describes a placed task for the search of a better worker. A worker that may run the task counts
/// without a valid ticket, which is asked for before the next start.
[[nodiscard]] TaskNeed NeedToMove(const Coordinator& state, const TaskRef& ref);

/// Returns whether tasks of the step could start now on workers with the given kind of ticket.
[[nodiscard]] bool CouldStart(Coordinator& state, Time now, const ReadyStep& ready,
                              TicketUse tickets);

/// Returns whether the step needs no tickets or has one that is valid.
[[nodiscard]] bool HasTicket(const ReadyStep& ready, Time now);

/// Opens calls to the advice service about steps that wait for tickets, which come in the order in
/// which they are to start.
void RequestAdvice(Coordinator& state, Time now, const std::vector<ReadyStep>& ready);

/// Ends the use of the step's ticket for the agent's worker, which may have refused it.
void ExpireTicket(Coordinator& state, const TaskRef& ref, const AgentId& agent);

/// Returns the step of the task, or null when its job, occurrence or step is not open.
[[nodiscard]] StepState* FindStep(Coordinator& state, const TaskRef& ref) noexcept;

/// Returns the task, or null when its job, occurrence or step is not open.
[[nodiscard]] Task* FindTask(Coordinator& state, const TaskRef& ref) noexcept;

[[nodiscard]] Job* FindJob(Coordinator& state, const JobId& job) noexcept;

/// Computes the objective and the longest chains, which do not change while the job is open, so
/// that a plan need not compute them.
void ComputeChains(Job& job);

/// Creates the tasks of an occurrence, unless it is open or closed.
void OpenOccurrence(Job& job, std::uint32_t number);

/// Adds the task's run to its agent and sets the task to placed.
void AddPlacedRun(Coordinator& state, Agent& agent, const TaskRef& ref, Task& task);

/// Removes the task's run from its agent and sets the task to waiting.
void RemovePlacedRun(Coordinator& state, const TaskRef& ref, Task& task);

/// Returns the start order for the task's current run, without a ticket.
[[nodiscard]] StartOrder OrderFor(const Job& job, const TaskRef& ref, const Task& task);

/// Adds an order to stop the task's current run unless one was given.
void OrderStop(Coordinator& state, const TaskRef& ref, Task& task, std::string reason);

/// Counts a stray run at the agent until the agent's next report that was made after it had taken
/// the order; zero: the next report.
void AddStray(Coordinator& state, Agent& agent, const TaskRef& ref, std::uint64_t order);

/// Removes the stray runs about which a report with `last_order` tells.
void DropStrays(Coordinator& state, Agent& agent, std::uint64_t last_order);

/// Removes all stray runs of the agent.
void DropStrays(Coordinator& state, Agent& agent);

/// Counts a stray run and adds an order to stop it unless one is unconfirmed.
void StopStrayRun(Coordinator& state, Agent& agent, const RunStatus& run, std::string reason);

/// Stops every run of a job that was cancelled or has failed.
void StopJob(Coordinator& state, Job& job, const std::string& reason);

/// Returns the processors, in thousandths, that the listed filling tasks leave unused.
[[nodiscard]] std::int64_t IdleFillingCpu(Coordinator& state, Time now, const Agent& agent,
                                          const AgentReport& report);

/// Updates the interference model from the figures of a worker, and returns the estimates of the
/// pairs of images that run there.
[[nodiscard]] std::vector<ImagePair> Learn(Coordinator& state, Time now, Agent& agent,
                                           const AgentReport& report);

/// Stops serving tasks that take much room for filling tasks where they run and little elsewhere,
/// so that they are placed again.
void MoveServingTasks(Coordinator& state, Time now);

/// Describes the room for the filling images of open jobs and of measured pairs, unless that was
/// done just before.
void RefreshFillingRoom(Coordinator& state, Time now);

/// Lets the part of the job's progress be written that holds the task.
void MarkUnwritten(Coordinator& state, Job& job, const TaskRef& ref);

/// Lets part 0 of the job's progress be written, which describes the job as a whole.
void MarkUnwritten(Coordinator& state, Job& job);

/// Sets the task to done, and closes the occurrence and the job if that completes them.
void FinishTask(Coordinator& state, Job& job, const TaskRef& ref, Task& task);

/// Finishes gangs that an earlier coordinator has recorded as done in part: the end of one member
/// counts for all members.
void CompleteGangs(Coordinator& state);

/// Handles the end of a run. Repeated ends have no effect.
void OnEnd(Coordinator& state, Time now, Agent& agent, const RunEnded& end);

/// Closes a job as failed because of a run, and stops its runs.
void FailJob(Coordinator& state, Job& job, const TaskRef& ref, RunNumber run, const AgentId& agent,
             const std::string& reason);

/// Handles the crashes in an agent's report. Repeated reports have no effect.
void OnCrashes(Coordinator& state, Agent& agent, const AgentReport& report);

/// Closes the job as failed if its task, which is about to be started, was given up.
[[nodiscard]] bool FailIfGivenUp(Coordinator& state, Job& job, const TaskRef& ref,
                                 const Task& task);

/// Ends the suspicion against a task whose current run has not crashed its worker.
void ClearSuspicion(Coordinator& state, const TaskRef& ref, Task& task);

/// Handles a run that is gone without a reported end.
void OnLost(Coordinator& state, Time now, const TaskRef& ref, Task& task, std::string reason);

/// Adds a decision to the log in which work or a worker was lost or has failed.
void LogFailure(Coordinator& state, std::string_view what, const TaskRef& ref, RunNumber run,
                const AgentId& agent, std::string reason);

/// Adds a decision to the log.
void LogDecision(Coordinator& state, std::string_view what, const TaskRef& ref, RunNumber run,
                 const AgentId& agent, std::string reason);

}  // namespace ebonypin::core::fleet
