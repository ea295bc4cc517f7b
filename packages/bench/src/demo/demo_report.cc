#include "demo_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

namespace ebonypin::bench::demo {
namespace {

constexpr double kMedian = 0.50;
constexpr double kTail = 0.99;

/// Returns the smallest of `sorted` that is not exceeded by `share` of them.
double Percentile(const std::vector<double>& sorted, const double share) {
  if (sorted.empty()) return 0.0;
  const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
  return sorted[std::max<std::size_t>(rank, 1) - 1];
}

/// Runs of one job over all workers, in the order of time.
struct Runs {
  std::uint32_t m_running = 0;
  std::uint32_t m_over = 0;  ///< Ended or lost, so that the work took effect or may have.
  bool m_doubled = false;
};

std::map<std::string, Runs> CollectRuns(const std::vector<WorkerEvent>& history) {
  std::map<std::string, Runs> runs;
  for (const auto& event : history) {
    auto& job = runs[event.m_id];
    if (event.m_what == "start") {
      // A stop at a checkpoint leaves the rest of the work to the next attempt; other ends do not.
      job.m_doubled = job.m_doubled || job.m_running > 0 || job.m_over > 0;
      ++job.m_running;
    } else if (event.m_what == "end" || event.m_what == "lost") {
      if (job.m_running > 0) --job.m_running;
      ++job.m_over;
    } else if (event.m_what == "stop") {
      if (job.m_running > 0) --job.m_running;
    }
  }
  return runs;
}

bool HasRun(const std::map<std::string, Runs>& runs, const std::set<std::string>& served,
            const Item& item) {
  return served.contains(item.m_id) || (!item.m_job.empty() && runs.contains(item.m_job));
}

std::string PromiseLine(const std::string& name, const std::vector<std::string>& broken) {
  constexpr std::size_t kShown = 5;
  auto line = fmt::format("{}: {}", name, broken.size());
  for (std::size_t i = 0; i < std::min(broken.size(), kShown); ++i) line += "  " + broken[i];
  return line + '\n';
}

}  // namespace

bool Result::PromisesHeld() const noexcept {
  return m_lost.empty() && m_doubled.empty() && m_ran_anyway.empty() && m_wrong.empty() &&
         m_without_end.empty();
}

Result Judge(const std::vector<Flow>& flows, const std::vector<Item>& items,
             std::vector<WorkerEvent> history) {
  std::stable_sort(history.begin(), history.end(), [](const WorkerEvent& a, const WorkerEvent& b) {
    return a.m_at_us < b.m_at_us;
  });
  const auto runs = CollectRuns(history);
  std::set<std::string> served;
  for (const auto& event : history) {
    if (event.m_what == "serve") served.insert(event.m_id);
  }
  Result result;
  std::vector<std::vector<double>> millis(flows.size());
  for (const auto& flow : flows) result.m_classes.push_back({.m_class = flow.m_class});
  for (const auto& item : items) {
    const auto& flow = flows[item.m_flow];
    auto& figures = result.m_classes[item.m_flow];
    const auto name = flow.m_class + "/" + item.m_id;
    ++figures.m_sent;
    if (item.m_told == Told::kDone) {
      ++figures.m_done;
      millis[item.m_flow].push_back(item.m_millis);
    }
    if (item.m_told == Told::kNotRun) {
      ++figures.m_not_run;
      if (HasRun(runs, served, item)) result.m_ran_anyway.push_back(name);
    }
    if (item.m_told == Told::kUnknown) ++figures.m_unknown;
    if (item.m_told == Told::kAccepted || item.m_told == Told::kNothing)
      result.m_lost.push_back(name);
    if (item.m_wrong_result) result.m_wrong.push_back(name);
    const auto run = runs.find(item.m_job);
    const bool ran_twice = flow.m_non_idempotent && run != runs.end() && run->second.m_doubled;
    if (ran_twice || item.m_received > 1) result.m_doubled.push_back(name);
  }
  for (std::size_t i = 0; i < flows.size(); ++i) {
    std::sort(millis[i].begin(), millis[i].end());
    result.m_classes[i].m_p50_ms = Percentile(millis[i], kMedian);
    result.m_classes[i].m_p99_ms = Percentile(millis[i], kTail);
    if (result.m_classes[i].m_done == 0) result.m_without_end.push_back(flows[i].m_class);
  }
  return result;
}

std::string FormatResult(const Result& result) {
  auto text = fmt::format("{:<14}{:>7}{:>7}{:>9}{:>9}{:>12}{:>12}\n", "class", "sent", "done",
                          "not run", "unknown", "p50 ms", "p99 ms");
  for (const auto& row : result.m_classes) {
    text += fmt::format("{:<14}{:>7}{:>7}{:>9}{:>9}{:>12.1f}{:>12.1f}\n", row.m_class, row.m_sent,
                        row.m_done, row.m_not_run, row.m_unknown, row.m_p50_ms, row.m_p99_ms);
  }
  text += PromiseLine("lost", result.m_lost);
  text += PromiseLine("doubled", result.m_doubled);
  text += PromiseLine("told not run, but ran", result.m_ran_anyway);
  text += PromiseLine("wrong results", result.m_wrong);
  text += PromiseLine("classes without a result", result.m_without_end);
  text += result.PromisesHeld() ? "promises held\n" : "promises broken\n";
  return text;
}

}  // namespace ebonypin::bench::demo
