#include "ebonypin/core/run_time_model.h"

#include <algorithm>
#include <cmath>

namespace ebonypin::core {
namespace {

constexpr int kDecades = 12;
constexpr int kBinsPerDecade = 16;
constexpr double kStragglerQuantile = 0.95;
/// Fewest runs before a straggler can be distinguished from an ordinary run.
constexpr double kStragglerRuns = 20.0;

/// Returns the quantile `probability` of the values from `from` upwards, or 0 when there are none.
double Quantile(const LogHistogram& histogram, const double probability, const double from = 0.0) {
  const auto& axis = histogram.axis();
  const int first = from > 1.0 ? std::clamp(axis.index(from), 0, axis.size() - 1) : 0;
  double total = 0.0;
  for (int bin = first; bin < axis.size(); ++bin) total += histogram.at(bin);
  if (total <= 0.0) return 0.0;
  double left = probability * total;
  for (int bin = first; bin < axis.size(); ++bin) {
    const double weight = histogram.at(bin);
    if (weight > 0.0 && left <= weight) return axis.value(bin + left / weight);
    left -= weight;
  }
  return axis.value(axis.size());
}

void Add(LogHistogram& histogram, const double value) { histogram(std::max(value, 1.0)); }

double Limit(const double learned, const std::int64_t declared, const RunTimeOptions& options) {
  if (declared <= 0) return learned;
  const auto base = static_cast<double>(declared);
  return std::clamp(learned, base * options.m_min_size_factor, base * options.m_max_size_factor);
}

}  // namespace

LogHistogram MakeLogHistogram() {
  return boost::histogram::make_histogram_with(
      std::vector<double>{}, LogAxis{kDecades * kBinsPerDecade, 1.0, std::pow(10.0, kDecades)});
}

void LearnRun(RunTimeModel& model, const RunTimeOptions& options, const Duration run,
              const Resources& used) {
  if (model.m_runs >= options.m_window) {
    for (LogHistogram* const histogram :
         {&model.m_run_us, &model.m_cpu_millis, &model.m_memory_mb}) {
      *histogram *= 0.5;
    }
    model.m_runs *= 0.5;
    model.m_sized_runs *= 0.5;
  }
  Add(model.m_run_us, static_cast<double>(run.count()));
  model.m_runs += 1.0;
  if (used.m_cpu_millis > 0 || used.m_memory_mb > 0) {
    Add(model.m_cpu_millis, static_cast<double>(used.m_cpu_millis));
    Add(model.m_memory_mb, static_cast<double>(used.m_memory_mb));
    model.m_sized_runs += 1.0;
  }
}

Duration RunTimeQuantile(const RunTimeModel& model, const RunTimeOptions& options,
                         const double probability, const Duration declared) {
  const Duration prior = declared > Duration{0} ? declared : options.m_default_run;
  const double learned = Quantile(model.m_run_us, probability);
  if (learned <= 0.0) return prior;
  // A weighted geometric mean, because the error of declared run times is a factor.
  const double share = options.m_prior_weight / (options.m_prior_weight + model.m_runs);
  const double log_mixed =
      share * std::log(static_cast<double>(prior.count())) + (1.0 - share) * std::log(learned);
  return Duration{static_cast<std::int64_t>(std::exp(log_mixed))};
}

double RunTimeUncertainty(const RunTimeModel& model, const RunTimeOptions& options,
                          const Duration declared) {
  const auto median = RunTimeQuantile(model, options, 0.5, declared);
  const auto high = RunTimeQuantile(model, options, 0.9, declared);
  // A declared run time without runs is assumed to be wrong by up to the largest size factor.
  const double share = options.m_prior_weight / (options.m_prior_weight + model.m_runs);
  const double learned =
      static_cast<double>(high.count()) / std::max(1.0, static_cast<double>(median.count()));
  return std::pow(options.m_max_size_factor, share) * std::max(1.0, learned);
}

Duration ExpectedLeft(const RunTimeModel& model, const RunTimeOptions& options,
                      const Duration elapsed, const Duration declared) {
  const Duration median = RunTimeQuantile(model, options, 0.5, declared);
  if (elapsed <= Duration{0}) return median;
  const double end = Quantile(model.m_run_us, 0.5, static_cast<double>(elapsed.count()));
  // A task that has run for longer than all earlier runs is expected to need as much time again,
  // which is typical of a heavy tail.
  if (end <= static_cast<double>(elapsed.count())) {
    return model.m_runs > 0.0 ? elapsed : std::max(median - elapsed, elapsed);
  }
  return Duration{static_cast<std::int64_t>(end)} - elapsed;
}

bool IsStraggler(const RunTimeModel& model, const RunTimeOptions& options, const Duration elapsed) {
  if (model.m_runs < kStragglerRuns) return false;
  return static_cast<double>(elapsed.count()) >
         options.m_straggler_factor * Quantile(model.m_run_us, kStragglerQuantile);
}

Resources LearnedSize(const RunTimeModel& model, const RunTimeOptions& options,
                      const Resources& declared) {
  if (model.m_sized_runs < options.m_min_sized_runs) return declared;
  const double cpu = Quantile(model.m_cpu_millis, 0.95) * options.m_size_reserve;
  const double memory = Quantile(model.m_memory_mb, 0.95) * options.m_size_reserve;
  return {.m_cpu_millis = std::llround(Limit(cpu, declared.m_cpu_millis, options)),
          .m_memory_mb = std::llround(Limit(memory, declared.m_memory_mb, options)),
          .m_accelerators = declared.m_accelerators};
}

}  // namespace ebonypin::core
