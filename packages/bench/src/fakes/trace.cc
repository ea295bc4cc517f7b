#include "trace.h"

#include <algorithm>
#include <cmath>

namespace ebonypin::bench {
namespace {

double Seconds(const Duration duration) { return static_cast<double>(duration.count()) / 1e6; }

Duration FromSeconds(const double seconds) {
  return Duration{static_cast<std::int64_t>(seconds * 1e6)};
}

TraceItem MakeItem(const WorkClass& work, const std::uint32_t index, const Time at,
                   std::mt19937_64& random) {
  const double median = Seconds(work.m_median_run);
  const Duration run =
      FromSeconds(std::lognormal_distribution<double>{std::log(median), work.m_run_sigma}(random));
  return {.m_at = at,
          .m_class = index,
          .m_run = std::max(run, Duration{100}),
          .m_used = work.m_size,
          .m_declared = work.m_size,
          .m_declared_run = work.m_median_run};
}

}  // namespace

Crests MakeCrests(const Duration length, const Duration mean_gap, std::mt19937_64& random) {
  Crests crests;
  const Duration own = 2 * crests.m_ramp + crests.m_hold;
  Time at = kTraceStart + std::chrono::seconds{10};
  while (at + own < kTraceStart + length) {
    crests.m_starts.push_back(at);
    at += own +
          FromSeconds(Seconds(mean_gap) * std::uniform_real_distribution<double>{0.5, 1.5}(random));
  }
  return crests;
}

double CrestFactor(const Crests& crests, const Time at) {
  for (const Time start : crests.m_starts) {
    const Duration since = std::chrono::duration_cast<Duration>(at - start);
    if (since < Duration{0}) break;
    const double rise = crests.m_factor - 1.0;
    if (since < crests.m_ramp) return 1.0 + rise * Seconds(since) / Seconds(crests.m_ramp);
    const Duration after = since - crests.m_ramp - crests.m_hold;
    if (after < Duration{0}) return crests.m_factor;
    if (after < crests.m_ramp) {
      return crests.m_factor - rise * Seconds(after) / Seconds(crests.m_ramp);
    }
  }
  return 1.0;
}

void AddArrivals(Scenario& scenario, const std::uint32_t index, const double per_second,
                 const Crests* const crests, std::mt19937_64& random) {
  const double largest = crests != nullptr ? per_second * crests->m_factor : per_second;
  std::exponential_distribution<double> gap{largest};
  std::uniform_real_distribution<double> accept{0.0, largest};
  for (Time at = kTraceStart + FromSeconds(gap(random)); at < kTraceStart + scenario.m_length;
       at += FromSeconds(gap(random)) + Duration{1}) {
    const double rate = crests != nullptr ? per_second * CrestFactor(*crests, at) : per_second;
    if (accept(random) > rate) continue;
    scenario.m_items.push_back(MakeItem(scenario.m_classes[index], index, at, random));
  }
}

void AddBursts(Scenario& scenario, const std::uint32_t index, const Duration every,
               const std::uint32_t size, std::mt19937_64& random) {
  std::uniform_real_distribution<double> spread{0.5, 1.5};
  for (Time at = kTraceStart + std::chrono::seconds{1}; at < kTraceStart + scenario.m_length;
       at += FromSeconds(Seconds(every) * spread(random))) {
    for (std::uint32_t i = 0; i < size; ++i) {
      scenario.m_items.push_back(MakeItem(scenario.m_classes[index], index, at, random));
    }
  }
}

void SortByTime(Scenario& scenario) {
  std::stable_sort(scenario.m_items.begin(), scenario.m_items.end(),
                   [](const TraceItem& a, const TraceItem& b) { return a.m_at < b.m_at; });
}

Scenario Only(const Scenario& scenario, const std::uint32_t mask) {
  Scenario part = scenario;
  std::erase_if(part.m_items,
                [mask](const TraceItem& item) { return ((mask >> item.m_class) & 1U) == 0; });
  return part;
}

}  // namespace ebonypin::bench
