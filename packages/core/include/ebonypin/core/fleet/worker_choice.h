/// Choice of the worker that runs a task next.
///
/// Load patterns: at a crest the least committed worker starts urgent tasks soonest; filling tasks
/// beside serving ones disturb them, so they go where nobody serves and most processor time is
/// left; a job's serving tasks are spread, so that the loss of a worker takes down few of them.
#pragma once

#include <cstdint>
#include <vector>

#include "ebonypin/core/fleet/coordinator.h"

namespace ebonypin::core::fleet {

/// What a task asks of a worker.
struct TaskNeed {
  const Coordinator& m_state;
  const Job& m_job;
  const StepSpec& m_spec;
  const StepState& m_step;
  TaskRef m_ref;
  const Task& m_task;
};

/// Returns whether the worker may run the task at all, were it empty.
[[nodiscard]] bool IsEligible(const TaskNeed& need, const Agent& agent) noexcept;

/// Returns whether it may run the task now.
[[nodiscard]] bool HasRoom(const TaskNeed& need, const Agent& agent) noexcept;

/// Returns the share of its processors, 0 to 1, that pacing would leave a filling task there, in
/// addition to the runs that are held; 1 for other tasks.
[[nodiscard]] double ExpectedShare(const TaskNeed& need, const Agent& agent, Time now);

/// Returns whether a filling task that is slow at `agent` would get a far larger share on another
/// worker that has room.
[[nodiscard]] bool HasBetterPlace(Coordinator& state, const TaskNeed& need, const Agent& agent,
                                  Time now);

/// Returns the best worker that can take the task now, or null.
[[nodiscard]] Agent* ChooseWorker(Coordinator& state, const TaskNeed& need, Time now);

}  // namespace ebonypin::core::fleet
