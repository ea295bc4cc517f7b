#include "ebonypin/core/fleet/worker_choice.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

namespace ebonypin::core::fleet {
namespace {

// Costs by which workers with room are ordered; the lowest sum wins. They are relative to the
// committed share of a worker, 0 to 1.
constexpr double kFailedThereCost = 1000.0;  // The task failed on this worker before.
constexpr double kPausedCost = 200.0;        // Paused: used only when there is no other worker.
constexpr double kSuspectCost = 50.0;        // Another run may be the one that crashes the worker.
constexpr double kExposedCost = 10.0;        // For a full worker that a suspect may crash.
constexpr double kRackCost = 4.0;            // On another rack than the data or the gang.
constexpr double kOtherImageCost = 0.3;      // Runs serving tasks of other images.
constexpr double kRoomCost = 0.3;            // For each processor of room for filling tasks.
constexpr double kFreeWorkerCost = 3.0;      // Runs no serving task: left free for filling tasks.
constexpr double kShareCost = 8.0;           // For a filling task's share of zero.
constexpr double kGrowthUsedCost = 4.0;      // For all of a serving image's allowed growth.
constexpr double kPairCost = 2.0;            // Per growth of a serving task's utilisation by 1.
constexpr double kSlownessCost = 1.0;        // Per multiple of the estimated run time.

std::uint32_t CountOfStep(const Agent& agent, const TaskRef& ref) noexcept {
  TaskRef first = ref;
  first.m_index = 0;
  std::uint32_t count = 0;
  for (auto placed = agent.m_placed_runs.lower_bound(first); placed != agent.m_placed_runs.end();
       ++placed) {
    const TaskRef& other = placed->first;
    if (other.m_job != ref.m_job || other.m_occurrence != ref.m_occurrence ||
        other.m_step != ref.m_step) {
      break;
    }
    ++count;
  }
  return count;
}

double CommittedShare(const Agent& agent) noexcept {
  return ShareOf(agent, agent.m_used.m_cpu_millis);
}

double ServingShare(const Agent& agent) noexcept {
  return ShareOf(agent, agent.m_serving_cpu_millis);
}

/// Returns the rack of the first placed task of the step; empty when no task is placed.
std::string RackOfStep(const TaskNeed& need) {
  for (const auto& task : need.m_step.m_tasks) {
    if (task.m_phase != TaskPhase::kPlaced) continue;
    const auto agent = need.m_state.m_agents.find(task.m_agent);
    if (agent != need.m_state.m_agents.end()) return agent->second.m_worker.m_rack;
  }
  return {};
}

/// Returns the largest growth of the serving task's utilisation by any one filling task on the
/// worker.
double Disturbance(const TaskNeed& need, const Agent& agent, const Time now) {
  double worst = 0.0;
  for (const auto& [ref, placed] : agent.m_placed_runs) {
    if (!placed.m_fills) continue;
    const double load = ShareOf(agent, placed.m_size.m_cpu_millis);
    worst = std::max(worst, load * GrowthWhenFull(need.m_state.m_pairs, need.m_spec.m_image,
                                                  placed.m_image, now));
  }
  return worst;
}

bool ServesOtherImages(const Agent& agent, const ImageName& image) noexcept {
  return std::any_of(agent.m_placed_runs.begin(), agent.m_placed_runs.end(),
                     [&](const auto& placed) {
                       return placed.second.m_serving && placed.second.m_image != image;
                     });
}

double Cost(const TaskNeed& need, const Agent& agent, const std::string& rack,
            const PlacementEstimate& placement, const Time now) {
  const auto& spec = need.m_spec;
  const bool serving = spec.m_latency_target > Duration{};
  const auto& failed_on = need.m_task.m_failed_on;
  // Serving tasks are packed onto few workers, so that the others stay free of them.
  double cost = serving ? -ServingShare(agent) : CommittedShare(agent);
  if (!spec.m_fills && agent.m_serving == 0) cost += kFreeWorkerCost;
  if (serving) cost += kRoomCost * RoomLost(need, agent);
  if (std::find(failed_on.begin(), failed_on.end(), agent.m_id) != failed_on.end()) {
    cost += kFailedThereCost;
  }
  if (IsPaused(agent.m_health, now)) cost += kPausedCost;
  if (agent.m_suspects > 0) cost += kSuspectCost;
  if (need.m_task.m_suspect) {
    if (now - agent.m_last_start < need.m_state.m_options.m_crash_window) cost += kSuspectCost;
    cost += kExposedCost * (CommittedShare(agent) + ShareOf(agent, agent.m_filling_cpu_millis));
  }
  cost += kSlownessCost * (Slowness(agent.m_health, now, need.m_state.m_options.m_health) - 1.0);
  if (!rack.empty() && agent.m_worker.m_rack != rack) cost += kRackCost;
  if (serving && ServesOtherImages(agent, spec.m_image)) cost += kOtherImageCost;
  if (spec.m_fills) cost += ShareOf(agent, agent.m_filling_cpu_millis);
  if (spec.m_fills)
    cost += kShareCost * (1.0 - placement.m_share) + kGrowthUsedCost * placement.m_growth_used;
  if (serving) cost += kPairCost * Disturbance(need, agent, now);
  return cost;
}

/// Returns the processors, in thousandths, that tasks with a reservation are expected to leave
/// unused.
std::int64_t LeftOverCpu(const Coordinator& state, const Agent& agent) noexcept {
  const auto unused = static_cast<std::int64_t>((1.0 - state.m_options.m_serving_use) *
                                                static_cast<double>(agent.m_serving_cpu_millis));
  return agent.m_worker.m_capacity.m_cpu_millis - agent.m_used.m_cpu_millis + unused;
}

/// Returns whether this filling task and those on the worker, at their declared sizes, need more
/// processors than are left unused.
bool IsOversubscribed(const TaskNeed& need, const Agent& agent) noexcept {
  const auto wanted = agent.m_filling_cpu_millis + need.m_spec.m_size.m_cpu_millis;
  return need.m_spec.m_fills && agent.m_filling_cpu_millis > 0 &&
         wanted > LeftOverCpu(need.m_state, agent);
}

}  // namespace

double ShareOf(const Agent& agent, const std::int64_t cpu_millis) noexcept {
  const auto capacity = std::max<std::int64_t>(agent.m_worker.m_capacity.m_cpu_millis, 1);
  return static_cast<double>(cpu_millis) / static_cast<double>(capacity);
}

double RoomBeside(const Coordinator& state, const Agent& agent, const std::set<ImageName>& serving,
                  const std::int64_t serving_cpu_millis) {
  const double reserved = state.m_options.m_serving_use * static_cast<double>(serving_cpu_millis);
  const double unused = static_cast<double>(agent.m_worker.m_capacity.m_cpu_millis) - reserved;
  // With the part itself a worker of three images would gain nothing by the leaving of one, because
  // the other two leave hardly more room. With its root each image counts about alike.
  return unused / 1000.0 * std::sqrt(UsablePart(state.m_filling_room, serving));
}

double RoomLost(const TaskNeed& need, const Agent& agent) {
  std::set<ImageName> images;
  std::int64_t cpu_millis = 0;
  for (const auto& [ref, placed] : agent.m_placed_runs) {
    if (!placed.m_serving || placed.m_stopping) continue;
    images.insert(placed.m_image);
    cpu_millis += placed.m_size.m_cpu_millis;
  }
  const double before = RoomBeside(need.m_state, agent, images, cpu_millis);
  images.insert(need.m_spec.m_image);
  return before -
         RoomBeside(need.m_state, agent, images, cpu_millis + need.m_spec.m_size.m_cpu_millis);
}

bool IsEligible(const TaskNeed& need, const Agent& agent) noexcept {
  const auto& spec = need.m_spec;
  const auto& worker = agent.m_worker;
  if (agent.m_session == 0 || !agent.m_recorded || worker.m_draining || !worker.m_reachable) {
    return false;
  }
  if (agent.m_evacuated) return false;
  if (worker.m_service != need.m_job.m_spec.m_policy.m_service) return false;
  if (spec.m_required_label.empty()) return true;
  return std::find(worker.m_labels.begin(), worker.m_labels.end(), spec.m_required_label) !=
         worker.m_labels.end();
}

bool HasCapacity(const TaskNeed& need, const Agent& agent) noexcept {
  const auto& spec = need.m_spec;
  if (agent.m_orders.size() >= need.m_state.m_options.m_max_unconfirmed) return false;
  if (!agent.m_strays.empty()) return false;
  Resources size = spec.m_size;
  Resources room = agent.m_worker.m_capacity - agent.m_used;
  if (spec.m_fills) {
    // With more filling tasks than unused processors all would be slow, so they are limited to the
    // processors and the first ones run fast.
    if (IsOversubscribed(need, agent) &&
        agent.m_filling_cpu_millis - agent.m_filling_idle_millis + size.m_cpu_millis >
            LeftOverCpu(need.m_state, agent)) {
      return false;
    }
    size.m_cpu_millis = 0;
  } else if (need.m_job.m_spec.m_policy.m_priority > 0 && agent.m_used.m_cpu_millis > 0) {
    // On an empty worker the headroom would keep out only tasks that fit nowhere else either.
    room.m_cpu_millis -=
        static_cast<std::int64_t>(need.m_state.m_options.m_headroom *
                                  static_cast<double>(agent.m_worker.m_capacity.m_cpu_millis));
  }
  if (!Fits(size, room)) return false;
  return spec.m_max_per_worker == 0 || CountOfStep(agent, need.m_ref) < spec.m_max_per_worker;
}

const WorkerAdvice* FindAdvice(const StepState& step, const WorkerInfo& worker) noexcept {
  const auto advice = step.m_advice.find(worker.m_id);
  if (advice == step.m_advice.end() || advice->second.m_born != worker.m_born) return nullptr;
  return &advice->second;
}

bool IsTicketValid(const WorkerAdvice& advice, const Time now) noexcept {
  return advice.m_allowed && now < advice.m_until;
}

const std::string* FindTicket(const StepState& step, const WorkerInfo& worker,
                              const Time now) noexcept {
  const auto* const advice = FindAdvice(step, worker);
  return advice != nullptr && IsTicketValid(*advice, now) ? &advice->m_ticket : nullptr;
}

bool IsAdvised(const TaskNeed& need, const Agent& agent, const Time now) noexcept {
  if (!need.m_job.m_spec.m_policy.m_advised) return true;
  if (need.m_tickets == TicketUse::kValid) {
    return FindTicket(need.m_step, agent.m_worker, now) != nullptr;
  }
  const auto* const advice = FindAdvice(need.m_step, agent.m_worker);
  if (advice == nullptr) return need.m_tickets == TicketUse::kPossible;
  return advice->m_allowed;
}

bool HasRoom(const TaskNeed& need, const Agent& agent, const Time now) noexcept {
  return HasCapacity(need, agent) && IsAdvised(need, agent, now);
}

namespace {

/// Calls `visit` for workers with room until it returns false. For a filling task the number of
/// workers is limited, and the search begins where the last one ended.
template <typename F>
void VisitWorkers(Coordinator& state, const TaskNeed& need, const Time now, PassedOver& passed_over,
                  F visit) {
  if (state.m_agents.empty()) return;
  const bool bounded = need.m_spec.m_fills;
  auto candidate =
      bounded ? state.m_agents.lower_bound(state.m_next_compared) : state.m_agents.begin();
  std::size_t compared = 0;
  for (std::size_t i = 0; i < state.m_agents.size(); ++i, ++candidate) {
    if (candidate == state.m_agents.end()) candidate = state.m_agents.begin();
    Agent& agent = candidate->second;
    if (!IsEligible(need, agent)) {
      ++passed_over.m_ineligible;
      continue;
    }
    if (!HasCapacity(need, agent)) {
      ++passed_over.m_full;
      continue;
    }
    if (!IsAdvised(need, agent, now)) {
      ++passed_over.m_unadvised;
      continue;
    }
    if (bounded && compared++ == state.m_options.m_max_compared_workers) {
      state.m_next_compared = candidate->first;
      return;
    }
    if (!visit(agent)) return;
  }
}

}  // namespace

bool HasBetterWorker(Coordinator& state, const TaskNeed& need, const Agent& agent, const Time now) {
  bool found = false;
  PassedOver passed_over;
  VisitWorkers(state, need, now, passed_over, [&](const Agent& other) {
    found = other.m_id != agent.m_id && !IsPaused(other.m_health, now) &&
            EstimatePlacement(need, other, now).m_share >= state.m_options.m_min_share_to_move;
    return !found;
  });
  return found;
}

Agent* ChooseWorker(Coordinator& state, const TaskNeed& need, const Time now,
                    PassedOver& passed_over) {
  std::string rack = need.m_spec.m_data_rack;
  if (rack.empty() && need.m_spec.m_same_rack) rack = RackOfStep(need);
  // Waiting for the next free worker is better than a small share, but a job must not be left
  // without any running task.
  const auto& options = state.m_options;
  const bool waits =
      need.m_spec.m_fills && now - need.m_job.m_last_ran < options.m_max_placement_wait;
  Agent* best = nullptr;
  double best_cost = std::numeric_limits<double>::infinity();
  // The members of a gang have to start together.
  const bool apart = need.m_task.m_suspect && !need.m_spec.m_gang;
  VisitWorkers(state, need, now, passed_over, [&](Agent& agent) {
    if (apart && agent.m_suspects > 0) {
      ++passed_over.m_on_probation;
      return true;
    }
    const auto placement = EstimatePlacement(need, agent, now);
    // Processors that throttled tasks leave unused only help a task that would not be throttled.
    if ((waits || IsOversubscribed(need, agent)) && placement.m_share < options.m_min_share) {
      ++passed_over.m_small_share;
      return true;
    }
    const double cost = Cost(need, agent, rack, placement, now);
    if (cost < best_cost) {
      best_cost = cost;
      best = &agent;
    }
    return true;
  });
  return best;
}

}  // namespace ebonypin::core::fleet
