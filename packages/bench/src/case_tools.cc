#include "case_tools.h"

namespace ebonypin::bench {

using std::chrono_literals::operator""ms;

RunResult PlayAndCount(Report& report, const Scenario& scenario, const std::string& policy,
                       const MakePolicy make, const std::uint64_t seed) {
  Scenario played = scenario;
  played.m_entries = report.m_entries;
  played.m_endpoint.m_throttle_delay = report.m_throttle_delay;
  World world(played, seed, report.m_without);
  RunResult result = world.Play(make);
  AddCommonFigures(report, scenario.m_name, policy, result);
  return result;
}

void Add(Report& report, const Scenario& scenario, const std::string& policy,
         const std::string& metric, const std::string& unit, const double value) {
  report.m_figures.push_back({scenario.m_name, policy, metric, unit, value});
}

void AddLatency(Report& report, const Scenario& scenario, const std::string& policy,
                const std::string& metric, const RunResult& result, const std::uint32_t index) {
  const auto samples = Latencies(scenario, result, index, kPenaltyMs);
  Add(report, scenario, policy, metric + "_p50", "ms", Percentile(samples, 50.0));
  Add(report, scenario, policy, metric + "_p99", "ms", Percentile(samples, 99.0));
  Add(report, scenario, policy, metric + "_p999", "ms", Percentile(samples, 99.9));
}

void AddHol(Report& report, const Scenario& scenario, const std::string& policy,
            const RunResult& result) {
  const auto waits = WaitsBehindLong(scenario, result);
  Add(report, scenario, policy, "hol_p99", "ms", Percentile(waits, 99.0));
}

void AddAtMost(Report& report, const std::string& scenario, const std::string& text,
               const double value, const double limit) {
  report.m_bounds.push_back({scenario, text, value, limit, false});
}

void AddAtLeast(Report& report, const std::string& scenario, const std::string& text,
                const double value, const double limit) {
  report.m_bounds.push_back({scenario, text, value, limit, true});
}

WorkClass PreviewClass() {
  return {.m_spec = {.m_name = {"preview"},
                     .m_kind = core::ClassKind::kRequest,
                     .m_target = {.m_start_within = 150ms, .m_latency = 500ms}},
          .m_short = true,
          .m_size = {.m_cpu_millis = 1000, .m_memory_mb = 1000},
          .m_median_run = 80ms};
}

}  // namespace ebonypin::bench
