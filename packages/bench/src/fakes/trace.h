/// Arrival traces, generated from a seed.
#pragma once

#include <optional>
#include <random>
#include <string>
#include <vector>

#include "ebonypin/core/class_spec.h"
#include "endpoint.h"
#include "link.h"

namespace ebonypin::bench {

struct WorkClass {
  core::ClassSpec m_spec;
  bool m_short = false;
  core::Resources m_size;  ///< Really used; also declared unless the case says otherwise.
  Duration m_median_run{};
  double m_run_sigma = 0.4;  ///< Of the logarithm of the run time.
};

struct TraceItem {
  Time m_at{};
  std::uint32_t m_class = 0;
  Duration m_run{};
  core::Resources m_used;
  core::Resources m_declared;
  Duration m_declared_run{};
  std::optional<Duration> m_cancel_after;
};

/// Load swings tenfold: each crest rises, stays and falls within seconds.
struct Crests {
  std::vector<Time> m_starts;
  double m_factor = 10.0;
  Duration m_ramp = std::chrono::seconds{2};
  Duration m_hold = std::chrono::seconds{6};
};

struct Scenario {
  std::string m_name;
  std::vector<WorkClass> m_classes;
  std::vector<TraceItem> m_items;
  Duration m_length{};  ///< Arrivals end here.
  std::uint32_t m_workers = 11;
  std::uint32_t m_domains = 3;
  std::uint32_t m_entries = 0;  ///< Zero: one in each domain.
  LinkOptions m_link;
  EndpointOptions m_endpoint;
  std::optional<std::uint32_t> m_failing_worker;
  bool m_load_waves = false;  ///< Interference grows and falls with a period of 40 s.
};

inline constexpr Time kTraceStart{std::chrono::seconds{1000}};

[[nodiscard]] Crests MakeCrests(Duration length, Duration mean_gap, std::mt19937_64& random);
[[nodiscard]] double CrestFactor(const Crests& crests, Time at);

/// Adds arrivals of `index` as a Poisson process of `per_second`, multiplied by the crests if any.
void AddArrivals(Scenario& scenario, std::uint32_t index, double per_second, const Crests* crests,
                 std::mt19937_64& random);

/// Adds bursts: `size` arrivals at once on average each `every`.
void AddBursts(Scenario& scenario, std::uint32_t index, Duration every, std::uint32_t size,
               std::mt19937_64& random);

void SortByTime(Scenario& scenario);

/// Returns the scenario with only the classes whose bit is set in `mask`.
[[nodiscard]] Scenario Only(const Scenario& scenario, std::uint32_t mask);

}  // namespace ebonypin::bench
