#include <algorithm>
#include <map>
#include <optional>
#include <set>

#include "coordinator_internal.h"
#include "ebonypin/core/fleet/worker_choice.h"

namespace ebonypin::core::fleet {
namespace {

/// Serving tasks of one image on one worker.
struct ImageTasks {
  const Agent* m_agent = nullptr;
  ImageName m_image;
  std::vector<TaskRef> m_tasks;
  std::int64_t m_cpu_millis = 0;
  /// Room for filling tasks, in processors, that the worker gains when all of them leave, for each
  /// task.
  double m_gain = 0.0;
};

/// Stop of one task, or of two tasks that take each other's place.
struct Move {
  std::vector<TaskRef> m_tasks;
  double m_gain = 0.0;  ///< Room for filling tasks, in processors, for each task.
};

std::vector<ImageTasks> ServingImages(const Coordinator& state, const Agent& agent) {
  std::map<ImageName, ImageTasks> images;
  std::set<ImageName> names;
  std::int64_t cpu_millis = 0;
  for (const auto& [ref, placed] : agent.m_placed_runs) {
    if (!placed.m_serving || placed.m_stopping) continue;
    auto& image = images[placed.m_image];
    image.m_agent = &agent;
    image.m_image = placed.m_image;
    image.m_tasks.push_back(ref);
    image.m_cpu_millis += placed.m_size.m_cpu_millis;
    names.insert(placed.m_image);
    cpu_millis += placed.m_size.m_cpu_millis;
  }
  std::vector<ImageTasks> listed;
  if (images.empty()) return listed;
  const double room = RoomBeside(state, agent, names, cpu_millis);
  for (auto& [name, image] : images) {
    auto others = names;
    others.erase(name);
    const double without = RoomBeside(state, agent, others, cpu_millis - image.m_cpu_millis);
    image.m_gain = (without - room) / static_cast<double>(image.m_tasks.size());
    listed.push_back(std::move(image));
  }
  return listed;
}

TaskNeed NeedOf(const Coordinator& state, const TaskRef& ref) {
  const Job& job = state.m_jobs.at(ref.m_job);
  const StepState& step = job.m_occurrences.at(ref.m_occurrence).m_steps[ref.m_step];
  return {.m_state = state,
          .m_job = job,
          .m_spec = job.m_spec.m_steps[ref.m_step],
          .m_step = step,
          .m_ref = ref,
          .m_task = step.m_tasks[ref.m_index]};
}

/// Returns whether a stop would leave all other tasks of the step at work.
bool MayMove(const Coordinator& state, const Time now, const TaskRef& ref) {
  const TaskNeed need = NeedOf(state, ref);
  if (need.m_job.m_closed) return false;
  if (now - need.m_task.m_placed < state.m_options.m_min_serving_stay) return false;
  const auto& tasks = need.m_step.m_tasks;
  return std::all_of(tasks.begin(), tasks.end(), [](const Task& task) {
    return task.m_phase == TaskPhase::kPlaced && task.m_percent >= 100 && !task.m_stopping;
  });
}

const TaskRef* FindMovable(const Coordinator& state, const Time now, const ImageTasks& tasks) {
  const auto movable = std::find_if(tasks.m_tasks.begin(), tasks.m_tasks.end(),
                                    [&](const TaskRef& ref) { return MayMove(state, now, ref); });
  return movable != tasks.m_tasks.end() ? &*movable : nullptr;
}

/// Returns the least room that another worker with capacity would lose by the task.
std::optional<double> LeastRoomLost(const Coordinator& state, const Time now, const TaskRef& ref,
                                    const Agent& from) {
  const TaskNeed need = NeedOf(state, ref);
  std::optional<double> least;
  for (const auto& [id, agent] : state.m_agents) {
    if (id == from.m_id || IsPaused(agent.m_health, now)) continue;
    if (!IsEligible(need, agent) || !HasRoom(need, agent)) continue;
    const double lost = RoomLost(need, agent);
    if (!least || lost < *least) least = lost;
  }
  return least;
}

/// Returns whether the task fits on the worker once `leaving` has left it.
bool FitsInPlaceOf(const Coordinator& state, const TaskRef& ref, const Agent& agent,
                   const TaskRef& leaving) {
  const TaskNeed need = NeedOf(state, ref);
  if (!IsEligible(need, agent)) return false;
  const auto room =
      agent.m_worker.m_capacity - agent.m_used + agent.m_placed_runs.at(leaving).m_size;
  return Fits(need.m_spec.m_size, room);
}

/// Finds the task whose exchange with `ref` gains most room. Its worker runs the image of `ref`,
/// and the worker of `ref` runs its image, so that neither gets a further image.
Move BestExchange(const Coordinator& state, const Time now, const TaskRef& ref,
                  const ImageTasks& from, const std::vector<ImageTasks>& all) {
  Move best;
  std::set<const Agent*> hosts;  // Of the image.
  std::set<ImageName> images;    // On the worker.
  for (const auto& other : all) {
    if (other.m_agent == from.m_agent) images.insert(other.m_image);
    if (other.m_image == from.m_image && other.m_agent != from.m_agent) hosts.insert(other.m_agent);
  }
  for (const auto& other : all) {
    if (other.m_image == from.m_image || hosts.count(other.m_agent) == 0) continue;
    const double gain = (from.m_gain + other.m_gain) / 2;
    if (images.count(other.m_image) == 0 || gain <= best.m_gain) continue;
    const auto* const partner = FindMovable(state, now, other);
    if (partner == nullptr || partner->m_job == ref.m_job) continue;
    if (!FitsInPlaceOf(state, ref, *other.m_agent, *partner)) continue;
    if (!FitsInPlaceOf(state, *partner, *from.m_agent, ref)) continue;
    best = {.m_tasks = {ref, *partner}, .m_gain = gain};
  }
  return best;
}

/// Returns the best move that begins with one of `tasks`.
Move BestMove(const Coordinator& state, const Time now, const ImageTasks& tasks,
              const std::vector<ImageTasks>& all) {
  const auto* const ref = FindMovable(state, now, tasks);
  if (ref == nullptr) return {};
  Move best = BestExchange(state, now, *ref, tasks, all);
  const auto lost = LeastRoomLost(state, now, *ref, *tasks.m_agent);
  if (lost && tasks.m_gain - *lost > best.m_gain) {
    best = {.m_tasks = {*ref}, .m_gain = tasks.m_gain - *lost};
  }
  return best;
}

bool FillingWorkWaits(const Coordinator& state) {
  return std::any_of(state.m_open_jobs.begin(), state.m_open_jobs.end(), [&](const JobId& id) {
    const Job& job = state.m_jobs.at(id);
    for (const auto& [number, occurrence] : job.m_occurrences) {
      for (std::size_t step = 0; step < occurrence.m_steps.size(); ++step) {
        if (job.m_spec.m_steps[step].m_fills && occurrence.m_steps[step].m_waits) return true;
      }
    }
    return false;
  });
}

}  // namespace

void RefreshFillingRoom(Coordinator& state, const Time now) {
  if (state.m_filling_room_at != Time{} &&
      now - state.m_filling_room_at < state.m_options.m_filling_room_interval) {
    return;
  }
  state.m_filling_room_at = now;
  std::set<ImageName> filling;
  for (const auto& [images, pair] : state.m_pairs.m_pairs) filling.insert(images.second);
  for (const auto& id : state.m_open_jobs) {
    for (const auto& step : state.m_jobs.at(id).m_spec.m_steps) {
      if (step.m_fills) filling.insert(step.m_image);
    }
  }
  state.m_filling_room = DescribeRoom(state.m_pairs, filling, now);
}

void MoveServingTasks(Coordinator& state, const Time now) {
  if (!FillingWorkWaits(state)) return;
  RefreshFillingRoom(state, now);
  std::vector<ImageTasks> all;
  std::size_t serving = 0;
  for (const auto& [id, agent] : state.m_agents) {
    if (agent.m_session == 0) continue;
    serving += agent.m_serving;
    auto images = ServingImages(state, agent);
    std::move(images.begin(), images.end(), std::back_inserter(all));
  }
  std::vector<Move> moves;
  for (const auto& tasks : all) {
    if (tasks.m_gain < state.m_options.m_min_room_gain) continue;
    auto move = BestMove(state, now, tasks, all);
    if (move.m_gain >= state.m_options.m_min_room_gain) moves.push_back(std::move(move));
  }
  std::sort(moves.begin(), moves.end(),
            [](const Move& a, const Move& b) { return a.m_gain > b.m_gain; });
  auto left = 1 + serving / state.m_options.m_serving_tasks_per_move;
  for (const auto& move : moves) {
    if (left == 0) return;
    const bool possible = std::all_of(move.m_tasks.begin(), move.m_tasks.end(),
                                      [&](const TaskRef& ref) { return MayMove(state, now, ref); });
    if (!possible) continue;
    for (const auto& ref : move.m_tasks) {
      OrderStop(state, ref, *FindTask(state, ref),
                "it leaves more room for filling tasks elsewhere");
    }
    --left;
  }
}

}  // namespace ebonypin::core::fleet
