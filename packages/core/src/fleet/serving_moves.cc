/// Moves of serving tasks, one at a time or two against each other, that leave more room for
/// filling tasks.
///
/// Answers the load at which all workers serve and filling work waits. Which images disturb each
/// other is learned while they run, so the first placement of serving tasks mixes images that leave
/// no filling image undisturbed.
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
  std::vector<TaskRef> m_tasks;
  std::int64_t m_cpu_millis = 0;
  /// Room for filling tasks, in processors, that the worker gains when all of them leave, for each
  /// task.
  double m_gain = 0.0;
};

/// Serving tasks of one worker.
struct ServingMix {
  const Agent* m_agent = nullptr;
  std::map<ImageName, ImageTasks> m_images;
  std::set<ImageName> m_names;
  std::int64_t m_cpu_millis = 0;
  double m_room = 0.0;  ///< For filling tasks, in processors.
};

/// Tasks of one image on one of the workers that are compared.
struct Source {
  const ServingMix* m_mix = nullptr;
  const ImageName* m_image = nullptr;
  const ImageTasks* m_tasks = nullptr;
};

/// Stop of one task, or of two tasks that take each other's place.
struct Move {
  std::vector<TaskRef> m_tasks;
  double m_gain = 0.0;  ///< Room for filling tasks, in processors, for each task.
};

ServingMix DescribeMix(const Coordinator& state, const Agent& agent) {
  ServingMix mix{.m_agent = &agent};
  for (const auto& [ref, placed] : agent.m_placed_runs) {
    if (!placed.m_serving || placed.m_stopping) continue;
    auto& image = mix.m_images[placed.m_image];
    image.m_tasks.push_back(ref);
    image.m_cpu_millis += placed.m_size.m_cpu_millis;
    mix.m_names.insert(placed.m_image);
    mix.m_cpu_millis += placed.m_size.m_cpu_millis;
  }
  mix.m_room = RoomBeside(state, agent, mix.m_names, mix.m_cpu_millis);
  for (auto& [name, image] : mix.m_images) {
    auto others = mix.m_names;
    others.erase(name);
    const double without = RoomBeside(state, agent, others, mix.m_cpu_millis - image.m_cpu_millis);
    image.m_gain = (without - mix.m_room) / static_cast<double>(image.m_tasks.size());
  }
  return mix;
}

/// Returns whether a stop would leave all other tasks of the step at work.
bool MayMove(const Coordinator& state, const Time now, const TaskRef& ref) {
  const TaskNeed need = NeedToMove(state, ref);
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
                                    const Source& from, const std::vector<ServingMix>& mixes) {
  const TaskNeed need = NeedToMove(state, ref);
  std::optional<double> least;
  for (const auto& mix : mixes) {
    const Agent& agent = *mix.m_agent;
    if (&mix == from.m_mix || IsPaused(agent.m_health, now)) continue;
    if (!IsEligible(need, agent) || !HasRoom(need, agent, now)) continue;
    auto names = mix.m_names;
    names.insert(*from.m_image);
    const auto cpu_millis = mix.m_cpu_millis + need.m_spec.m_size.m_cpu_millis;
    const double lost = mix.m_room - RoomBeside(state, agent, names, cpu_millis);
    if (!least || lost < *least) least = lost;
  }
  return least;
}

/// Returns whether the task fits on the worker once `leaving` has left it.
bool FitsInPlaceOf(const Coordinator& state, const TaskRef& ref, const Agent& agent,
                   const TaskRef& leaving) {
  const TaskNeed need = NeedToMove(state, ref);
  if (!IsEligible(need, agent)) return false;
  const auto room =
      agent.m_worker.m_capacity - agent.m_used + agent.m_placed_runs.at(leaving).m_size;
  return Fits(need.m_spec.m_size, room);
}

/// Finds the task whose exchange with `ref` gains most room. Its worker runs the image of `ref`,
/// and the worker of `ref` runs its image, so that neither gets a further image.
Move BestExchange(const Coordinator& state, const Time now, const TaskRef& ref, const Source& from,
                  const std::vector<ServingMix>& mixes) {
  Move best;
  for (const auto& mix : mixes) {
    if (&mix == from.m_mix || mix.m_names.count(*from.m_image) == 0) continue;
    for (const auto& [name, image] : mix.m_images) {
      const double gain = (from.m_tasks->m_gain + image.m_gain) / 2;
      if (name == *from.m_image || from.m_mix->m_names.count(name) == 0) continue;
      if (gain <= best.m_gain) continue;
      const auto* const partner = FindMovable(state, now, image);
      if (partner == nullptr || partner->m_job == ref.m_job) continue;
      if (!FitsInPlaceOf(state, ref, *mix.m_agent, *partner)) continue;
      if (!FitsInPlaceOf(state, *partner, *from.m_mix->m_agent, ref)) continue;
      best = {.m_tasks = {ref, *partner}, .m_gain = gain};
    }
  }
  return best;
}

/// Returns the best move that begins with a task of `from`.
Move BestMove(const Coordinator& state, const Time now, const Source& from,
              const std::vector<ServingMix>& mixes) {
  const auto* const ref = FindMovable(state, now, *from.m_tasks);
  if (ref == nullptr) return {};
  Move best = BestExchange(state, now, *ref, from, mixes);
  const auto lost = LeastRoomLost(state, now, *ref, from, mixes);
  if (lost && from.m_tasks->m_gain - *lost > best.m_gain) {
    best = {.m_tasks = {*ref}, .m_gain = from.m_tasks->m_gain - *lost};
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

/// Describes the workers to compare. Their number is limited, and the next call begins where this
/// one ended.
std::vector<ServingMix> NextMixes(Coordinator& state) {
  std::vector<ServingMix> mixes;
  auto next = state.m_agents.lower_bound(state.m_next_moved);
  const auto count = std::min(state.m_agents.size(), state.m_options.m_max_move_workers);
  mixes.reserve(count);
  for (std::size_t i = 0; i < count; ++i, ++next) {
    if (next == state.m_agents.end()) next = state.m_agents.begin();
    if (next->second.m_session != 0) mixes.push_back(DescribeMix(state, next->second));
  }
  state.m_next_moved = next != state.m_agents.end() ? next->first : AgentId{};
  return mixes;
}

/// Returns the tasks whose worker gains most by their leaving, best first.
std::vector<Source> BestSources(const Coordinator& state, const std::vector<ServingMix>& mixes) {
  std::vector<Source> sources;
  for (const auto& mix : mixes) {
    for (const auto& [name, image] : mix.m_images) {
      if (image.m_gain < state.m_options.m_min_room_gain) continue;
      sources.push_back({.m_mix = &mix, .m_image = &name, .m_tasks = &image});
    }
  }
  std::stable_sort(sources.begin(), sources.end(), [](const Source& a, const Source& b) {
    return a.m_tasks->m_gain > b.m_tasks->m_gain;
  });
  if (sources.size() > state.m_options.m_max_move_sources) {
    sources.resize(state.m_options.m_max_move_sources);
  }
  return sources;
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
  if (state.m_agents.empty() || !FillingWorkWaits(state)) return;
  RefreshFillingRoom(state, now);
  const auto mixes = NextMixes(state);
  std::vector<Move> moves;
  for (const auto& source : BestSources(state, mixes)) {
    auto move = BestMove(state, now, source, mixes);
    if (move.m_gain >= state.m_options.m_min_room_gain) moves.push_back(std::move(move));
  }
  std::stable_sort(moves.begin(), moves.end(),
                   [](const Move& a, const Move& b) { return a.m_gain > b.m_gain; });
  std::size_t serving = 0;
  for (const auto& mix : mixes) serving += mix.m_agent->m_serving;
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
