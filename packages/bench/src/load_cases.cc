/// Overload, interference and a worker that fails everything.
#include "case_tools.h"

namespace ebonypin::bench {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

Scenario Previews(const std::string& name, const double per_second, const Duration length,
                  std::mt19937_64& random) {
  Scenario scenario{.m_name = name, .m_length = length};
  scenario.m_classes = {PreviewClass()};
  AddArrivals(scenario, 0, per_second, nullptr, random);
  return scenario;
}

/// Requests per second that were done within the target's latency.
double Goodput(const Scenario& scenario, const RunResult& result) {
  const double limit = core::ToMillis(*scenario.m_classes[0].m_spec.m_target.m_latency);
  double good = 0.0;
  for (const double latency : Latencies(scenario, result, 0, kPenaltyMs)) {
    good += latency <= limit ? 1.0 : 0.0;
  }
  return good / (static_cast<double>(scenario.m_length.count()) / 1e6);
}

double RefusalP99(const Scenario& scenario, const RunResult& result) {
  std::vector<double> times;
  for (std::size_t i = 0; i < scenario.m_items.size(); ++i) {
    const ItemOutcome& outcome = result.m_items[i];
    if (!outcome.m_answered || outcome.m_kind == core::AnswerKind::kDone) continue;
    times.push_back(core::ToMillis(
        std::chrono::duration_cast<Duration>(*outcome.m_answered - scenario.m_items[i].m_at)));
  }
  return Percentile(times, 99.0);
}

}  // namespace

void RunOverload(Report& report, const std::uint64_t seed) {
  std::mt19937_64 random{seed};
  // 88 slots and a mean run time of 87 ms.
  constexpr double kSaturation = 1000.0;
  const Scenario saturated = Previews("overload", kSaturation, 60s, random);
  const Scenario twice = Previews("overload", 2.0 * kSaturation, 60s, random);
  const auto measure = [&](const Scenario& scenario, const std::string& policy,
                           const MakePolicy make) {
    const RunResult result = PlayAndCount(report, scenario, policy, make, seed);
    Add(report, scenario, policy, "goodput", "1/s", Goodput(scenario, result));
    Add(report, scenario, policy, "refusal_p99", "ms", RefusalP99(scenario, result));
    AddLatency(report, scenario, policy, "preview", result, 0);
  };
  measure(twice, "naive", MakeNaive);
  measure(twice, "ebonypin", MakeEbonypin);
  measure(saturated, "saturation", MakeEbonypin);
  const std::string& name = twice.m_name;
  AddAtLeast(report, name, "goodput >= 0.95 x saturation",
             ValueOf(report, name, "ebonypin", "goodput"),
             0.95 * ValueOf(report, name, "saturation", "goodput"));
  // At once: a third of the start target, and far from the deadline of 10 s.
  AddAtMost(report, name, "refusal_p99 <= 50 ms", ValueOf(report, name, "ebonypin", "refusal_p99"),
            50.0);
}

void RunNoisyWaves(Report& report, const std::uint64_t seed) {
  std::mt19937_64 random{seed};
  Scenario scenario{.m_name = "noisy_waves", .m_length = 240s, .m_load_waves = true};
  scenario.m_classes = {PreviewClass(),
                        {.m_spec = {.m_name = {"render"},
                                    .m_kind = core::ClassKind::kJob,
                                    .m_exclusive = true,
                                    .m_non_idempotent = true},
                         .m_size = {.m_cpu_millis = 1500, .m_memory_mb = 3000},
                         .m_median_run = 10s},
                        {.m_spec = {.m_name = {"archive_sync"}, .m_kind = core::ClassKind::kJob},
                         .m_size = {.m_cpu_millis = 1000, .m_memory_mb = 3000},
                         .m_median_run = 20s}};
  // Renders slow previews down; archive syncs hardly do.
  scenario.m_endpoint.m_slowdown = {{0.0, 1.0, 0.01}, {0.01, 0.0, 0.0}, {0.01, 0.0, 0.0}};
  // Previews grow fourfold, so that they cannot keep to workers without renders.
  Crests crests = MakeCrests(scenario.m_length, 15s, random);
  crests.m_factor = 4.0;
  AddArrivals(scenario, 0, 130.0, &crests, random);
  AddBursts(scenario, 1, 10s, 24, random);
  AddArrivals(scenario, 2, 0.6, nullptr, random);
  SortByTime(scenario);
  constexpr std::uint32_t kBatch = 0b110;
  const auto measure = [&](const Scenario& part, const std::string& policy, const MakePolicy make) {
    const RunResult result = PlayAndCount(report, part, policy, make, seed);
    AddLatency(report, part, policy, "preview", result, 0);
    Add(report, part, policy, "batch_rate", "1/s", DoneRate(part, result, kBatch));
  };
  measure(scenario, "naive", MakeNaive);
  measure(scenario, "ebonypin", MakeEbonypin);
  measure(Only(scenario, kBatch), "alone", MakeEbonypin);
  const std::string& name = scenario.m_name;
  AddAtLeast(report, name, "batch_rate >= 0.90 x alone",
             ValueOf(report, name, "ebonypin", "batch_rate"),
             0.90 * ValueOf(report, name, "alone", "batch_rate"));
  AddAtMost(report, name, "preview_p99 <= its target",
            ValueOf(report, name, "ebonypin", "preview_p99"),
            core::ToMillis(*scenario.m_classes[0].m_spec.m_target.m_latency));
  AddAtMost(report, name, "evictions <= 0.25 x naive",
            ValueOf(report, name, "ebonypin", "evictions"),
            0.25 * ValueOf(report, name, "naive", "evictions"));
}

void RunFailingWorker(Report& report, const std::uint64_t seed) {
  std::mt19937_64 random{seed};
  Scenario scenario{.m_name = "failing_worker", .m_length = 180s, .m_failing_worker = 4};
  scenario.m_endpoint.m_fails_from = kTraceStart + 30s;
  scenario.m_endpoint.m_fails_until = kTraceStart + 120s;
  scenario.m_classes = {PreviewClass(),
                        {.m_spec = {.m_name = {"archive_sync"}, .m_kind = core::ClassKind::kJob},
                         .m_size = {.m_cpu_millis = 1500, .m_memory_mb = 3000},
                         .m_median_run = 5s}};
  AddArrivals(scenario, 0, 200.0, nullptr, random);
  AddArrivals(scenario, 1, 4.0, nullptr, random);
  SortByTime(scenario);
  const auto measure = [&](const std::string& policy, const MakePolicy make) {
    const RunResult result = PlayAndCount(report, scenario, policy, make, seed);
    AddLatency(report, scenario, policy, "preview", result, 0);
    Add(report, scenario, policy, "wasted_starts", "%",
        100.0 * static_cast<double>(result.m_failed_starts) /
            static_cast<double>(std::max<std::uint64_t>(result.m_starts, 1)));
  };
  measure("naive", MakeNaive);
  measure("ebonypin", MakeEbonypin);
  AddAtMost(report, scenario.m_name, "wasted_starts <= 1 %",
            ValueOf(report, scenario.m_name, "ebonypin", "wasted_starts"), 1.0);
}

}  // namespace ebonypin::bench
