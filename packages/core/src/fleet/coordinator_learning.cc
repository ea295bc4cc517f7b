/// What the coordinator learns from the figures in the agents' reports.
#include <algorithm>
#include <utility>

#include "coordinator_internal.h"

namespace ebonypin::core::fleet {
namespace {

/// Returns the range of each filling image's load between the last update of the model and now.
std::vector<FillingLoad> FillingLoads(Agent& agent, const AgentReport& report, const bool learn) {
  const auto capacity = std::max<std::int64_t>(report.m_worker.m_capacity.m_cpu_millis, 1);
  std::map<ImageName, double> shares;
  for (const auto& run : report.m_runs) {
    const auto placed = agent.m_placed_runs.find(run.m_task);
    if (placed == agent.m_placed_runs.end() || !placed->second.m_fills) continue;
    shares[placed->second.m_image] += run.m_figure / static_cast<double>(capacity);
  }
  auto loads = LoadRanges(agent.m_filling_loads, shares);
  if (learn) agent.m_filling_loads = std::move(shares);
  return loads;
}

/// Estimates the own load of a task from the least disturbed other tasks of its step, since
/// requests are spread evenly over the tasks. Empty when all of them are disturbed.
std::optional<double> LoadOfPeers(const Coordinator& state, const Time now, const TaskRef& ref) {
  constexpr double kMinGrowth = 0.05;  // Keeps the weight of an undisturbed task finite.
  const Job& job = state.m_jobs.at(ref.m_job);
  const auto& tasks = job.m_occurrences.at(ref.m_occurrence).m_steps[ref.m_step].m_tasks;
  const auto& options = state.m_options;
  const auto examined = std::min(tasks.size() - 1, options.m_max_peers);
  double sum = 0.0;
  double weights = 0.0;
  for (std::size_t i = 1; i <= examined; ++i) {
    const auto& sample = tasks[(ref.m_index + i) % tasks.size()].m_sample;
    if (sample.m_at == Time{} || now - sample.m_at > options.m_max_peer_age ||
        sample.m_growth > options.m_max_peer_growth) {
      continue;
    }
    const double weight = 1.0 / ((sample.m_growth + kMinGrowth) * (sample.m_growth + kMinGrowth));
    sum += weight * sample.m_own_load;
    weights += weight;
  }
  if (weights <= 0.0) return std::nullopt;
  return sum / weights;
}

}  // namespace

std::int64_t IdleFillingCpu(Coordinator& state, const Time now, const Agent& agent,
                            const AgentReport& report) {
  std::int64_t idle = 0;
  for (const auto& run : report.m_runs) {
    const auto placed = agent.m_placed_runs.find(run.m_task);
    if (placed == agent.m_placed_runs.end() || !placed->second.m_fills) continue;
    const Task* const task = FindTask(state, run.m_task);
    if (task == nullptr || now - task->m_placed < state.m_options.m_usage_settle_time) continue;
    const auto used = static_cast<std::int64_t>(run.m_figure);
    idle += std::max<std::int64_t>(placed->second.m_size.m_cpu_millis - used, 0);
  }
  return idle;
}

std::vector<ImagePair> Learn(Coordinator& state, const Time now, Agent& agent,
                             const AgentReport& report) {
  const bool learn = now - agent.m_learned >= state.m_options.m_learn_interval;
  if (learn) agent.m_learned = now;
  const auto filling = FillingLoads(agent, report, learn);
  std::map<std::pair<ImageName, ImageName>, ImagePair> pairs;
  for (const auto& run : report.m_runs) {
    const auto placed = agent.m_placed_runs.find(run.m_task);
    if (placed == agent.m_placed_runs.end() || !placed->second.m_serving || run.m_figure <= 0.0)
      continue;
    PlacedRun& serving = placed->second;
    const auto& image = serving.m_image;
    ObserveLatency(state.m_pairs, image, run.m_figure);
    // A serving task below 100 % is still starting and serves no load.
    if (learn && run.m_percent >= 100) {
      Task& task = *FindTask(state, run.m_task);
      auto& own_load = task.m_own_load;
      const auto peers = LoadOfPeers(state, now, run.m_task);
      const double own_load_now = peers ? *peers : own_load.m_load;
      if (own_load_now > 0.0) {
        LearnPairs(state.m_pairs, image, own_load_now, run.m_figure, filling, now,
                   peers ? kPeerEstimateError : kOwnEstimateError);
        state.m_pairs_changed = true;
      }
      const double growth = PredictedGrowth(state.m_pairs, image, filling, now);
      if (peers) {
        own_load.m_load = *peers;
      } else {
        UpdateOwnLoad(own_load, state.m_pairs, image, run.m_figure, growth);
      }
      const double load = LoadFromLatency(run.m_figure, IdleLatency(state.m_pairs, image));
      task.m_sample = {.m_own_load = load / (1.0 + growth), .m_growth = growth, .m_at = now};
      serving.m_load = own_load.m_load;
    }
    for (const auto& cause : filling) {
      pairs[{image, cause.m_image}] = Describe(state.m_pairs, image, cause.m_image, now);
    }
  }
  std::vector<ImagePair> known;
  known.reserve(pairs.size());
  for (auto& [images, pair] : pairs) known.push_back(std::move(pair));
  return known;
}

}  // namespace ebonypin::core::fleet
