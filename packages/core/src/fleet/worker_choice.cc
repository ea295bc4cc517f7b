#include "ebonypin/core/fleet/worker_choice.h"

#include <algorithm>
#include <limits>

namespace ebonypin::core::fleet {
namespace {

// Weights of the order among workers with room. Each outweighs what stands below it; the committed
// share of a worker, 0 to 1, decides the rest.
constexpr double kFailedThereCost = 1000.0;  // The task failed on this worker before.
constexpr double kPausedCost = 200.0;        // Put aside: used only when there is no other.
constexpr double kRackCost = 4.0;            // Away from the data or from the gang's rack.
constexpr double kOtherImageCost = 0.3;      // Serving tasks of other images are there.
constexpr double kFreeWorkerCost = 3.0;      // No serving task is there: a place for filling ones.
constexpr double kShareCost = 8.0;           // The whole share of a filling task.
constexpr double kTakenCost = 4.0;           // The whole room of a serving image there.
constexpr double kPairCost = 2.0;            // Each multiple of a serving task's utilisation.
constexpr double kSlownessCost = 1.0;        // Each multiple of the estimated run time.

std::uint32_t CountOfStep(const Agent& agent, const TaskRef& ref) noexcept {
  TaskRef first = ref;
  first.m_index = 0;
  std::uint32_t count = 0;
  for (auto held = agent.m_held.lower_bound(first); held != agent.m_held.end(); ++held) {
    const TaskRef& other = held->first;
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

/// Rack on which the first placed task of the step runs; empty when none is placed.
std::string RackOfStep(const TaskNeed& need) {
  for (const auto& task : need.m_step.m_tasks) {
    if (task.m_phase != TaskPhase::kPlaced) continue;
    const auto agent = need.m_state.m_agents.find(task.m_agent);
    if (agent != need.m_state.m_agents.end()) return agent->second.m_worker.m_rack;
  }
  return {};
}

/// Returns by how much the filling tasks there would raise the utilisation of a serving task: the
/// largest pair's growth.
double Disturbance(const TaskNeed& need, const Agent& agent, const Time now) {
  double worst = 0.0;
  for (const auto& [ref, held] : agent.m_held) {
    if (!held.m_fills) continue;
    const double load = ShareOf(agent, held.m_size.m_cpu_millis);
    worst = std::max(
        worst, load * GrowthWhenFull(need.m_state.m_pairs, need.m_spec.m_image, held.m_image, now));
  }
  return worst;
}

bool ServesOtherImages(const Agent& agent, const ImageName& image) noexcept {
  return std::any_of(agent.m_held.begin(), agent.m_held.end(), [&](const auto& held) {
    return held.second.m_serving && held.second.m_image != image;
  });
}

double Cost(const TaskNeed& need, const Agent& agent, const std::string& rack,
            const ExpectedPlace& place, const Time now) {
  const auto& spec = need.m_spec;
  const bool serving = spec.m_latency_target > Duration{};
  const auto& failed_on = need.m_task.m_failed_on;
  // Serving tasks fill up workers, so that others stay free of them.
  double cost = serving ? -ServingShare(agent) : CommittedShare(agent);
  if (!spec.m_fills && agent.m_serving == 0) cost += kFreeWorkerCost;
  if (std::find(failed_on.begin(), failed_on.end(), agent.m_id) != failed_on.end()) {
    cost += kFailedThereCost;
  }
  if (IsPaused(agent.m_health, now)) cost += kPausedCost;
  cost += kSlownessCost * (Slowness(agent.m_health, now, need.m_state.m_options.m_health) - 1.0);
  if (!rack.empty() && agent.m_worker.m_rack != rack) cost += kRackCost;
  if (serving && ServesOtherImages(agent, spec.m_image)) cost += kOtherImageCost;
  if (spec.m_fills) cost += ShareOf(agent, agent.m_filling_cpu_millis);
  if (spec.m_fills) cost += kShareCost * (1.0 - place.m_share) + kTakenCost * place.m_taken;
  if (serving) cost += kPairCost * Disturbance(need, agent, now);
  return cost;
}

/// Returns the thousandths of processors that tasks with a reservation are expected to leave.
std::int64_t LeftOverCpu(const Coordinator& state, const Agent& agent) noexcept {
  const auto unused = static_cast<std::int64_t>((1.0 - state.m_options.m_serving_use) *
                                                static_cast<double>(agent.m_serving_cpu_millis));
  return agent.m_worker.m_capacity.m_cpu_millis - agent.m_used.m_cpu_millis + unused;
}

/// Returns whether the filling tasks there and this one, at their declared sizes, need more
/// processors than are left over.
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

bool IsEligible(const TaskNeed& need, const Agent& agent) noexcept {
  const auto& spec = need.m_spec;
  const auto& worker = agent.m_worker;
  if (agent.m_session == 0 || !agent.m_recorded || worker.m_draining || !worker.m_reachable) {
    return false;
  }
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
    // More filling tasks than processors are left would all be slow; the first in order run fast.
    if (IsOversubscribed(need, agent) &&
        agent.m_filling_cpu_millis - agent.m_filling_idle_millis + size.m_cpu_millis >
            LeftOverCpu(need.m_state, agent)) {
      return false;
    }
    size.m_cpu_millis = 0;
  } else if (need.m_job.m_spec.m_policy.m_priority > 0) {
    room.m_cpu_millis -=
        static_cast<std::int64_t>(need.m_state.m_options.m_headroom *
                                  static_cast<double>(agent.m_worker.m_capacity.m_cpu_millis));
  }
  if (!Fits(size, room)) return false;
  return spec.m_max_per_worker == 0 || CountOfStep(agent, need.m_ref) < spec.m_max_per_worker;
}

bool HasRoom(const TaskNeed& need, const Agent& agent) noexcept {
  if (!HasCapacity(need, agent)) return false;
  return !need.m_job.m_spec.m_policy.m_advised ||
         need.m_step.m_tickets.count(agent.m_worker.m_id) > 0;
}

namespace {

/// Calls `visit` with places that have room, until it returns false. For a filling task these are
/// at most the places that one comparison may cost, beginning after those of the last one.
template <typename F>
void VisitPlaces(Coordinator& state, const TaskNeed& need, PassedOver& passed_over, F visit) {
  if (state.m_agents.empty()) return;
  const bool bounded = need.m_spec.m_fills;
  auto place = bounded ? state.m_agents.lower_bound(state.m_next_compared) : state.m_agents.begin();
  std::size_t compared = 0;
  for (std::size_t i = 0; i < state.m_agents.size(); ++i, ++place) {
    if (place == state.m_agents.end()) place = state.m_agents.begin();
    Agent& agent = place->second;
    if (!IsEligible(need, agent)) {
      ++passed_over.m_ineligible;
      continue;
    }
    if (!HasRoom(need, agent)) {
      ++passed_over.m_full;
      continue;
    }
    if (bounded && compared++ == state.m_options.m_compared_places) {
      state.m_next_compared = place->first;
      return;
    }
    if (!visit(agent)) return;
  }
}

}  // namespace

bool HasBetterPlace(Coordinator& state, const TaskNeed& need, const Agent& agent, const Time now) {
  bool found = false;
  PassedOver passed_over;
  VisitPlaces(state, need, passed_over, [&](const Agent& other) {
    found = other.m_id != agent.m_id && !IsPaused(other.m_health, now) &&
            ExpectPlace(need, other, now).m_share >= state.m_options.m_good_share;
    return !found;
  });
  return found;
}

Agent* ChooseWorker(Coordinator& state, const TaskNeed& need, const Time now,
                    PassedOver& passed_over) {
  std::string rack = need.m_spec.m_data_rack;
  if (rack.empty() && need.m_spec.m_same_rack) rack = RackOfStep(need);
  // A place with a small share is worse than the next one that comes free, but a job must not be
  // left without any task running.
  const auto& options = state.m_options;
  const bool waits = need.m_spec.m_fills && now - need.m_job.m_last_ran < options.m_patience;
  Agent* best = nullptr;
  double best_cost = std::numeric_limits<double>::infinity();
  VisitPlaces(state, need, passed_over, [&](Agent& agent) {
    const auto place = ExpectPlace(need, agent, now);
    // What paced tasks leave unused is of use only to a task that disturbs nothing there.
    if ((waits || IsOversubscribed(need, agent)) && place.m_share < options.m_least_share) {
      ++passed_over.m_small_share;
      return true;
    }
    const double cost = Cost(need, agent, rack, place, now);
    if (cost < best_cost) {
      best_cost = cost;
      best = &agent;
    }
    return true;
  });
  return best;
}

}  // namespace ebonypin::core::fleet
