#include "report.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <limits>

namespace ebonypin::bench {

bool IsMet(const Bound& bound) noexcept {
  return bound.m_at_least ? bound.m_value >= bound.m_limit : bound.m_value <= bound.m_limit;
}

double ValueOf(const Report& report, const std::string& scenario, const std::string& policy,
               const std::string& metric) {
  const auto found =
      std::find_if(report.m_figures.begin(), report.m_figures.end(), [&](const Figure& figure) {
        return figure.m_scenario == scenario && figure.m_policy == policy &&
               figure.m_metric == metric;
      });
  return found == report.m_figures.end() ? std::numeric_limits<double>::quiet_NaN()
                                         : found->m_value;
}

void AddCommonFigures(Report& report, const std::string& scenario, const std::string& policy,
                      const RunResult& result) {
  const auto add = [&](const char* metric, const double value) {
    report.m_figures.push_back({scenario, policy, metric, "count", value});
  };
  add("starts", static_cast<double>(result.m_starts));
  add("failed_starts", static_cast<double>(result.m_failed_starts));
  add("evictions", static_cast<double>(result.m_evictions));
  add("throttles", static_cast<double>(result.m_throttles));
  add("breaches", static_cast<double>(result.m_breaches));
  report.m_breaches += static_cast<double>(result.m_breaches);
}

void PrintReport(const Report& report) {
  fmt::print("{:<16} {:<10} {:<20} {:>14} {}\n", "scenario", "policy", "metric", "value", "unit");
  for (const Figure& figure : report.m_figures) {
    fmt::print("{:<16} {:<10} {:<20} {:>14.3f} {}\n", figure.m_scenario, figure.m_policy,
               figure.m_metric, figure.m_value, figure.m_unit);
  }
  fmt::print("\nbounds\n");
  std::size_t met = 0;
  for (const Bound& bound : report.m_bounds) {
    met += IsMet(bound) ? 1 : 0;
    fmt::print("{:<8} {:<16} {:<52} {:>10.3f} {} {:.3f}\n", IsMet(bound) ? "met" : "not met",
               bound.m_scenario, bound.m_text, bound.m_value,
               bound.m_at_least ? ">=" : "<=", bound.m_limit);
  }
  fmt::print("{} of {} bounds met; {} breaches of rules\n", met, report.m_bounds.size(),
             report.m_breaches);
}

bool WriteCsv(const Report& report, const std::uint64_t seed, const std::string& file) {
  std::ofstream out(file);
  out << "scenario,policy,seed,metric,unit,value\n";
  for (const Figure& figure : report.m_figures) {
    out << fmt::format("{},{},{},{},{},{:.6g}\n", figure.m_scenario, figure.m_policy, seed,
                       figure.m_metric, figure.m_unit, figure.m_value);
  }
  return out.flush().good();
}

double Percentile(std::vector<double> samples, const double percent) {
  if (samples.empty()) return 0.0;
  const auto rank =
      static_cast<std::size_t>(std::ceil(percent / 100.0 * static_cast<double>(samples.size())));
  const std::size_t index = std::clamp<std::size_t>(rank, 1, samples.size()) - 1;
  std::nth_element(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(index),
                   samples.end());
  return samples[index];
}

std::vector<double> Latencies(const Scenario& scenario, const RunResult& result,
                              const std::uint32_t index, const double penalty_ms) {
  std::vector<double> samples;
  for (std::size_t i = 0; i < scenario.m_items.size(); ++i) {
    const ItemOutcome& outcome = result.m_items[i];
    if (scenario.m_items[i].m_class != index || scenario.m_items[i].m_cancel_after) continue;
    const bool done = outcome.m_answered && outcome.m_kind == core::AnswerKind::kDone;
    samples.push_back(done ? core::ToMillis(std::chrono::duration_cast<Duration>(
                                 *outcome.m_answered - scenario.m_items[i].m_at))
                           : penalty_ms);
  }
  return samples;
}

std::vector<double> WaitsBehindLong(const Scenario& scenario, const RunResult& result) {
  std::vector<double> samples;
  for (std::size_t i = 0; i < scenario.m_items.size(); ++i) {
    const ItemOutcome& outcome = result.m_items[i];
    if (!scenario.m_classes[scenario.m_items[i].m_class].m_short) continue;
    if (outcome.m_starts == 0 || !outcome.m_behind_long) continue;
    samples.push_back(std::max(0.0, core::ToMillis(outcome.m_wait)));
  }
  return samples;
}

double DoneRate(const Scenario& scenario, const RunResult& result, const std::uint32_t mask) {
  double done = 0.0;
  for (std::size_t i = 0; i < scenario.m_items.size(); ++i) {
    const ItemOutcome& outcome = result.m_items[i];
    if (((mask >> scenario.m_items[i].m_class) & 1U) == 0) continue;
    if (outcome.m_answered && outcome.m_kind == core::AnswerKind::kDone &&
        *outcome.m_answered <= kTraceStart + scenario.m_length) {
      done += 1.0;
    }
  }
  return done / (static_cast<double>(scenario.m_length.count()) / 1e6);
}

}  // namespace ebonypin::bench
