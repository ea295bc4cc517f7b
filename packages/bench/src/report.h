/// Figures of the runs, the bounds on them, and their output.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "world.h"

namespace ebonypin::bench {

struct Figure {
  std::string m_scenario;
  std::string m_policy;
  std::string m_metric;
  std::string m_unit;
  double m_value = 0.0;
};

/// Bound of one figure: met when `m_value <= m_limit`, or `>=` when `m_at_least`.
struct Bound {
  std::string m_scenario;
  std::string m_text;
  double m_value = 0.0;
  double m_limit = 0.0;
  bool m_at_least = false;
};

struct Report {
  std::vector<Figure> m_figures;
  std::vector<Bound> m_bounds;
  double m_breaches = 0.0;
  Without m_without;
  std::uint32_t m_entries = 0;  ///< Zero: one in each failure domain.
  Duration m_throttle_delay = std::chrono::milliseconds{5};
};

[[nodiscard]] bool IsMet(const Bound& bound) noexcept;

/// Returns the figure's value; NaN when it was not measured.
[[nodiscard]] double ValueOf(const Report& report, const std::string& scenario,
                             const std::string& policy, const std::string& metric);

/// Adds the figures that every run has: starts, evictions, throttles, breaches.
void AddCommonFigures(Report& report, const std::string& scenario, const std::string& policy,
                      const RunResult& result);

void PrintReport(const Report& report);
/// Writes `scenario,policy,seed,metric,unit,value`; returns false when the file cannot be written.
[[nodiscard]] bool WriteCsv(const Report& report, std::uint64_t seed, const std::string& file);

/// Value at `percent` of the sorted samples; 0 without samples.
[[nodiscard]] double Percentile(std::vector<double> samples, double percent);

/// Latencies of a class in ms, from the caller's sending to its receiving. A request that is
/// refused or not answered counts with `penalty_ms`.
[[nodiscard]] std::vector<double> Latencies(const Scenario& scenario, const RunResult& result,
                                            std::uint32_t index, double penalty_ms);

/// Waits in ms of short work that found long work holding slots.
[[nodiscard]] std::vector<double> WaitsBehindLong(const Scenario& scenario,
                                                  const RunResult& result);

/// Successful ends per second of a class until the end of the trace.
[[nodiscard]] double DoneRate(const Scenario& scenario, const RunResult& result,
                              std::uint32_t mask);

}  // namespace ebonypin::bench
