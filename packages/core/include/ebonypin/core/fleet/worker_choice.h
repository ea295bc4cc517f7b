/// Choice of the worker for a task.
///
/// At peak load the least committed worker starts urgent tasks soonest. Filling tasks disturb
/// serving tasks on the same worker, so they prefer workers without serving tasks and with the most
/// unused processor time. Tasks that reserve processors are packed onto the workers that already
/// run serving tasks, so that the other workers stay free for filling tasks. Among these, serving
/// tasks go where the images that run there leave filling tasks most room; see filling_room.h.
#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "ebonypin/core/fleet/coordinator.h"

namespace ebonypin::core::fleet {

/// Which workers may be chosen for a task whose starts need a ticket of the advice service.
enum class TicketUse : std::uint8_t {
  kValid,     ///< Those with a valid ticket.
  kAllowed,   ///< Those that may run the step, also when the ticket has expired.
  kPossible,  ///< Those, and the ones on which there is no advice.
};

/// Task to place, with the state that the choice depends on.
struct TaskNeed {
  const Coordinator& m_state;
  const Job& m_job;
  const StepSpec& m_spec;
  const StepState& m_step;
  TaskRef m_ref;
  const Task& m_task;
  TicketUse m_tickets = TicketUse::kValid;
};

/// Returns `cpu_millis` as a share of the worker's processors.
[[nodiscard]] double ShareOf(const Agent& agent, std::int64_t cpu_millis) noexcept;

/// Returns a measure, in processors, of the room for filling tasks on a worker whose serving tasks
/// are of the images in `serving` and have `serving_cpu_millis` reserved.
[[nodiscard]] double RoomBeside(const Coordinator& state, const Agent& agent,
                                const std::set<ImageName>& serving,
                                std::int64_t serving_cpu_millis);

/// Returns the room for filling tasks, in processors, that the worker loses by the serving task.
[[nodiscard]] double RoomLost(const TaskNeed& need, const Agent& agent);

/// Returns whether the worker could run the task if it were empty.
[[nodiscard]] bool IsEligible(const TaskNeed& need, const Agent& agent) noexcept;

/// Returns whether the worker has room for the task now, without regard to advice.
[[nodiscard]] bool HasCapacity(const TaskNeed& need, const Agent& agent) noexcept;

/// Returns the advice on this life of the worker, or null.
[[nodiscard]] const WorkerAdvice* FindAdvice(const StepState& step,
                                             const WorkerInfo& worker) noexcept;

/// Returns whether starts may carry the ticket now.
[[nodiscard]] bool IsTicketValid(const WorkerAdvice& advice, Time now) noexcept;

/// Returns the ticket for starts on the worker now, or null.
[[nodiscard]] const std::string* FindTicket(const StepState& step, const WorkerInfo& worker,
                                            Time now) noexcept;

/// Returns whether the task needs no ticket, or the worker is one of `TaskNeed::m_tickets`.
[[nodiscard]] bool IsAdvised(const TaskNeed& need, const Agent& agent, Time now) noexcept;

/// Returns whether the worker may run the task now.
[[nodiscard]] bool HasRoom(const TaskNeed& need, const Agent& agent, Time now) noexcept;

/// What a filling task would get and take on a worker in addition to the runs placed there.
struct PlacementEstimate {
  double m_share = 1.0;  ///< Share of its processors, 0 to 1, that pacing would allow.
  /// Largest fraction of a serving image's allowed growth that the task uses up, 0 to 1.
  double m_growth_used = 0.0;

  friend bool operator==(const PlacementEstimate&, const PlacementEstimate&) = default;
};

/// Estimates the placement of a filling task on a worker. Other tasks get their full share
/// everywhere.
[[nodiscard]] PlacementEstimate EstimatePlacement(const TaskNeed& need, const Agent& agent,
                                                  Time now);

/// Returns whether a slow filling task at `agent` is expected to get a much larger share on another
/// worker that has room.
[[nodiscard]] bool HasBetterWorker(Coordinator& state, const TaskNeed& need, const Agent& agent,
                                   Time now);

/// Number of workers passed over in a choice, by reason.
struct PassedOver {
  std::size_t m_ineligible = 0;    ///< Not ready, of another service, or without the label.
  std::size_t m_full = 0;          ///< No room.
  std::size_t m_unadvised = 0;     ///< No valid ticket of the advice service.
  std::size_t m_small_share = 0;   ///< Expected share of the filling task is too small.
  std::size_t m_on_probation = 0;  ///< Runs another task that may crash its workers.

  friend bool operator==(const PassedOver&, const PassedOver&) = default;
};

/// Returns the best worker that can run the task now, or null. Counts the workers passed over in
/// `passed_over`.
[[nodiscard]] Agent* ChooseWorker(Coordinator& state, const TaskNeed& need, Time now,
                                  PassedOver& passed_over);

}  // namespace ebonypin::core::fleet
