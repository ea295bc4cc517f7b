/// Shares of the filling runs of a worker.
#include <algorithm>
#include <map>
#include <vector>

#include "worker_agent_internal.h"

namespace ebonypin::core::fleet {
namespace {

/// Returns `cpu_millis` as a share of the worker's processors.
double ShareOf(const WorkerAgent& agent, const double cpu_millis) noexcept {
  const auto capacity = std::max<std::int64_t>(agent.m_worker.m_capacity.m_cpu_millis, 1);
  return cpu_millis / static_cast<double>(capacity);
}

/// Returns the current load of each filling image.
std::vector<FillingLoad> FillingLoads(const WorkerAgent& agent) {
  std::map<ImageName, double> shares;
  for (const auto& [task, run] : agent.m_runs) {
    if (run.m_order.m_fills) shares[run.m_order.m_image] += ShareOf(agent, run.m_figure);
  }
  return LoadRanges(shares, shares);
}

/// Updates the processors that filling runs use at their full share.
void UpdateFullCpu(WorkerAgent& agent, const Time now) {
  for (auto& [task, run] : agent.m_runs) {
    if (!run.m_order.m_fills || run.m_paced == 0 || run.m_figure <= 0.0) continue;
    if (now - run.m_paced_changed < agent.m_options.m_usage_settle_time) continue;
    run.m_full_cpu = run.m_figure * 100.0 / run.m_paced;
  }
}

/// Updates the own loads of the serving runs from their latencies.
void UpdateOwnLoads(WorkerAgent& agent, const Time now) {
  const Duration elapsed = now - agent.m_own_loads_updated;
  if (elapsed < agent.m_options.m_own_load_interval) return;
  agent.m_own_loads_updated = now;
  const auto filling = FillingLoads(agent);
  for (auto& [task, run] : agent.m_runs) {
    if (run.m_order.m_latency_target <= Duration{} || run.m_figure <= 0.0) continue;
    const auto& image = run.m_order.m_image;
    ObserveLatency(agent.m_pairs, image, run.m_figure);
    if (run.m_percent < 100) continue;
    TrackOwnLoad(run.m_own_load, agent.m_pairs, image, run.m_figure,
                 PredictedGrowth(agent.m_pairs, image, filling, now), elapsed);
  }
}

/// Returns the processors, in thousandths, that the run uses at its full share.
double FullCpu(const LocalRun& run) noexcept {
  constexpr double kDefaultCpuMillis = 1000.0;  // Usual size of a task.
  const auto declared = static_cast<double>(run.m_order.m_cpu_millis);
  const double cpu = std::max(run.m_full_cpu > 0.0 ? run.m_full_cpu : declared, run.m_figure);
  return cpu > 0.0 ? cpu : kDefaultCpuMillis;
}

/// Returns whether the run may be the cause of a missed target.
bool IsSuspect(const WorkerAgent& agent, const FillingRun& run,
               const std::vector<ServingLoad>& serving, const Time now) {
  return std::any_of(serving.begin(), serving.end(), [&](const ServingLoad& task) {
    return run.m_load * GrowthWhenFull(agent.m_pairs, task.m_image, run.m_image, now) >=
           agent.m_options.m_pacing.m_min_suspect_growth;
  });
}

}  // namespace

void UpdatePace(WorkerAgent& agent, const Time now) {
  UpdateOwnLoads(agent, now);
  UpdateFullCpu(agent, now);
  std::vector<ServingLoad> serving;
  double worst = 0.0;
  std::vector<LocalRun*> filling;
  for (auto& [task, run] : agent.m_runs) {
    if (run.m_order.m_fills) filling.push_back(&run);
    const double target = ToMillis(run.m_order.m_latency_target);
    if (target <= 0.0 || run.m_figure <= 0.0) continue;
    serving.push_back({.m_image = run.m_order.m_image,
                       .m_load = ForecastLoad(run.m_own_load, agent.m_options.m_pace_ahead),
                       .m_target_ms = target});
    worst = std::max(worst, run.m_figure / target);
  }
  agent.m_worst_ratio = worst;
  if (worst < 1.0) {
    agent.m_missed_since = {};
  } else if (agent.m_missed_since == Time{}) {
    agent.m_missed_since = now;
  }
  std::sort(filling.begin(), filling.end(),
            [](const LocalRun* a, const LocalRun* b) { return a->m_arrival < b->m_arrival; });
  std::vector<FillingRun> runs;
  runs.reserve(filling.size());
  for (const auto* run : filling) {
    runs.push_back({.m_image = run->m_order.m_image, .m_load = ShareOf(agent, FullCpu(*run))});
  }
  const auto shares = AllowedShares(agent.m_pairs, serving, runs, now, agent.m_options.m_pacing);
  const auto& options = agent.m_options.m_pacing;
  const bool rest_all = MustRestAll(agent.m_missed_since, now, options);
  const bool rest_suspects = MustRestSuspects(agent.m_missed_since, now, options);
  for (std::size_t i = 0; i < filling.size(); ++i) {
    // Rounded to steps of 10 %, so that small changes of the estimates cause no calls.
    const auto percent = static_cast<std::uint32_t>(shares[i] * 100.0);
    const bool rests = rest_all || (rest_suspects && IsSuspect(agent, runs[i], serving, now));
    filling[i]->m_allowed = rests ? 0 : std::min(100U, (percent + 5) / 10 * 10);
  }
}

}  // namespace ebonypin::core::fleet
