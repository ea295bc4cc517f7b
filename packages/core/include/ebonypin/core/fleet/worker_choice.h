/// Choice of the worker that runs a task next.
///
/// Load patterns: at a crest the least committed worker starts urgent tasks soonest; filling tasks
/// beside serving ones disturb them, so they go where nobody serves and most processor time is
/// left; tasks with a reservation fill up the workers that serve, so that others stay free of them.
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

/// Returns the share of the worker's processors that `cpu_millis` is.
[[nodiscard]] double ShareOf(const Agent& agent, std::int64_t cpu_millis) noexcept;

/// Returns whether the worker may run the task at all, were it empty.
[[nodiscard]] bool IsEligible(const TaskNeed& need, const Agent& agent) noexcept;

/// Returns whether it has room for the task now, were it advised.
[[nodiscard]] bool HasCapacity(const TaskNeed& need, const Agent& agent) noexcept;

/// Returns whether it may run the task now.
[[nodiscard]] bool HasRoom(const TaskNeed& need, const Agent& agent) noexcept;

/// What a filling task would get and take at a worker, in addition to the runs that are held.
struct ExpectedPlace {
  double m_share = 1.0;  ///< Share of its processors, 0 to 1, that pacing would leave it.
  double m_taken = 0.0;  ///< Largest part of a serving image's room that it takes, 0 to 1.

  friend bool operator==(const ExpectedPlace&, const ExpectedPlace&) = default;
};

/// Tasks that do not fill get their whole share anywhere.
[[nodiscard]] ExpectedPlace ExpectPlace(const TaskNeed& need, const Agent& agent, Time now);

/// Returns whether a filling task that is slow at `agent` would get a far larger share on another
/// worker that has room.
[[nodiscard]] bool HasBetterPlace(Coordinator& state, const TaskNeed& need, const Agent& agent,
                                  Time now);

/// Why workers were passed over in a choice.
struct PassedOver {
  std::size_t m_ineligible = 0;   ///< Not ready, of another service, or without the label.
  std::size_t m_full = 0;         ///< Without room.
  std::size_t m_small_share = 0;  ///< Would give a filling task too small a share.

  friend bool operator==(const PassedOver&, const PassedOver&) = default;
};

/// Returns the best worker that can take the task now, or null; counts the others in `passed_over`.
[[nodiscard]] Agent* ChooseWorker(Coordinator& state, const TaskNeed& need, Time now,
                                  PassedOver& passed_over);

}  // namespace ebonypin::core::fleet
