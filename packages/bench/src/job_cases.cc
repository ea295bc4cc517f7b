/// Stragglers, impossible jobs, cancellations and wrong declarations.
#include <cmath>

#include "case_tools.h"

namespace ebonypin::bench {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

constexpr std::uint32_t kJobs = 0b10;

WorkClass JobClass(const std::string& name, const Duration run) {
  return {.m_spec = {.m_name = {name}, .m_kind = core::ClassKind::kJob},
          .m_size = {.m_cpu_millis = 1500, .m_memory_mb = 3000},
          .m_median_run = run};
}

/// Previews at a steady rate and jobs, both well below what fits.
Scenario Steady(const std::string& name, const double previews, const double jobs,
                const Duration run, std::mt19937_64& random, const Duration length = 180s) {
  Scenario scenario{.m_name = name, .m_length = length};
  scenario.m_classes = {PreviewClass(), JobClass("job", run)};
  AddArrivals(scenario, 0, previews, nullptr, random);
  AddArrivals(scenario, 1, jobs, nullptr, random);
  SortByTime(scenario);
  return scenario;
}

/// Waits in ms from arrival to first start of the items of class `index` that were started.
std::vector<double> StartWaits(const Scenario& scenario, const RunResult& result,
                               const std::uint32_t index) {
  std::vector<double> waits;
  for (std::size_t i = 0; i < scenario.m_items.size(); ++i) {
    if (scenario.m_items[i].m_class != index || scenario.m_items[i].m_cancel_after) continue;
    const ItemOutcome& outcome = result.m_items[i];
    waits.push_back(outcome.m_starts > 0 ? core::ToMillis(outcome.m_wait) : kPenaltyMs);
  }
  return waits;
}

}  // namespace

void RunStragglers(Report& report, const std::uint64_t seed) {
  std::mt19937_64 random{seed};
  Scenario scenario = Steady("stragglers", 200.0, 6.0, 5s, random);
  std::uniform_real_distribution<double> chance{0.0, 1.0};
  for (TraceItem& item : scenario.m_items) {
    if (item.m_class == 1 && chance(random) < 0.03) item.m_run *= 50;
  }
  const auto measure = [&](const std::string& policy, const MakePolicy make) {
    const RunResult result = PlayAndCount(report, scenario, policy, make, seed);
    AddLatency(report, scenario, policy, "preview", result, 0);
    AddHol(report, scenario, policy, result);
    Add(report, scenario, policy, "job_rate", "1/s", DoneRate(scenario, result, kJobs));
    const auto finish = Latencies(scenario, result, 1, kPenaltyMs);
    Add(report, scenario, policy, "job_finish_p50", "ms", Percentile(finish, 50.0));
    Add(report, scenario, policy, "job_finish_p90", "ms", Percentile(finish, 90.0));
  };
  measure("naive", MakeNaive);
  measure("ebonypin", MakeEbonypin);
  const Scenario alone = Only(scenario, 0b01);
  AddLatency(report, alone, "alone", "preview",
             PlayAndCount(report, alone, "alone", MakeEbonypin, seed), 0);
  const double hol = ValueOf(report, scenario.m_name, "ebonypin", "hol_p99");
  AddAtMost(report, scenario.m_name, "hol_p99 <= 10 ms", hol, 10.0);
  AddAtLeast(report, scenario.m_name, "hol_p99 of naive >= 10 x",
             ValueOf(report, scenario.m_name, "naive", "hol_p99"), 10.0 * hol);
}

void RunImpossibleJobs(Report& report, const std::uint64_t seed) {
  std::mt19937_64 random{seed};
  // Long enough that the 99th percentile of two runs differs by little of itself.
  const Scenario without = Steady("impossible_jobs", 150.0, 8.0, 4s, random, 900s);
  Scenario with = without;
  with.m_classes.push_back(JobClass("impossible", 4s));
  AddArrivals(with, 2, 0.5, nullptr, random);
  for (TraceItem& item : with.m_items) {
    if (item.m_class != 2) continue;
    // Too much memory, too many processors, or an accelerator that no worker has.
    const auto kind = random() % 3;
    if (kind == 0) item.m_declared.m_memory_mb = 100'000;
    if (kind == 1) item.m_declared.m_cpu_millis = 32'000;
    if (kind == 2) item.m_declared.m_accelerators = 1;
  }
  SortByTime(with);
  const auto measure = [&](const Scenario& scenario, const std::string& policy,
                           const MakePolicy make) {
    const RunResult result = PlayAndCount(report, scenario, policy, make, seed);
    Add(report, scenario, policy, "blocked_p99", "ms",
        Percentile(StartWaits(scenario, result, 1), 99.0));
    std::vector<double> told;
    for (std::size_t i = 0; i < scenario.m_items.size(); ++i) {
      const ItemOutcome& outcome = result.m_items[i];
      if (scenario.m_items[i].m_class != 2) continue;
      told.push_back(outcome.m_answered && outcome.m_error == core::ErrorKind::kNeverFits
                         ? core::ToMillis(std::chrono::duration_cast<Duration>(
                               *outcome.m_answered - scenario.m_items[i].m_at))
                         : kPenaltyMs);
    }
    if (!told.empty()) Add(report, scenario, policy, "told_p99", "ms", Percentile(told, 99.0));
  };
  measure(with, "naive", MakeNaive);
  measure(with, "ebonypin", MakeEbonypin);
  measure(without, "alone", MakeEbonypin);
  AddAtMost(report, with.m_name, "blocked_p99 <= 1.10 x without them",
            ValueOf(report, with.m_name, "ebonypin", "blocked_p99"),
            1.10 * ValueOf(report, with.m_name, "alone", "blocked_p99"));
}

void RunCancelBurst(Report& report, const std::uint64_t seed) {
  std::mt19937_64 random{seed};
  Scenario scenario = Steady("cancel_burst", 150.0, 4.0, 4s, random);
  // An order of 3,000 jobs is withdrawn 20 s later at one moment.
  for (int i = 0; i < 3000; ++i) {
    scenario.m_items.push_back({.m_at = kTraceStart + 30s,
                                .m_class = 1,
                                .m_run = 4s,
                                .m_used = scenario.m_classes[1].m_size,
                                .m_declared = scenario.m_classes[1].m_size,
                                .m_declared_run = 4s,
                                .m_cancel_after = 20s});
  }
  SortByTime(scenario);
  const auto measure = [&](const std::string& policy, const MakePolicy make) {
    const RunResult result = PlayAndCount(report, scenario, policy, make, seed);
    AddLatency(report, scenario, policy, "preview", result, 0);
    Add(report, scenario, policy, "start_wait_p99", "ms",
        Percentile(StartWaits(scenario, result, 1), 99.0));
    double cancelled = 0.0;
    for (const ItemOutcome& outcome : result.m_items) {
      cancelled += outcome.m_error == core::ErrorKind::kCancelled ? 1.0 : 0.0;
    }
    Add(report, scenario, policy, "cancelled", "count", cancelled);
  };
  measure("naive", MakeNaive);
  measure("ebonypin", MakeEbonypin);
}

void RunMisdeclared(Report& report, const std::uint64_t seed) {
  std::mt19937_64 random{seed};
  Scenario scenario = Steady("misdeclared", 150.0, 8.0, 4s, random);
  std::uniform_real_distribution<double> decades{-1.0, 1.0};
  for (TraceItem& item : scenario.m_items) {
    if (item.m_class != 1) continue;
    const auto off = [&](const auto value) {
      return static_cast<std::int64_t>(static_cast<double>(value) *
                                       std::pow(10.0, decades(random)));
    };
    item.m_declared = {.m_cpu_millis = off(item.m_used.m_cpu_millis),
                       .m_memory_mb = off(item.m_used.m_memory_mb)};
    item.m_declared_run = Duration{off(item.m_declared_run.count())};
  }
  const auto measure = [&](const Scenario& part, const std::string& policy, const MakePolicy make) {
    const RunResult result = PlayAndCount(report, part, policy, make, seed);
    AddLatency(report, part, policy, "preview", result, 0);
    Add(report, part, policy, "job_rate", "1/s", DoneRate(part, result, kJobs));
    Add(report, part, policy, "start_wait_p99", "ms",
        Percentile(StartWaits(part, result, 1), 99.0));
  };
  measure(scenario, "naive", MakeNaive);
  measure(scenario, "ebonypin", MakeEbonypin);
  measure(Only(scenario, kJobs), "alone", MakeEbonypin);
}

}  // namespace ebonypin::bench
