/// What the cases share: playing a scenario, and adding figures and bounds.
#pragma once

#include "cases.h"

namespace ebonypin::bench {

/// A refused or unanswered request counts with the default deadline.
inline constexpr double kPenaltyMs = 10'000.0;

/// Plays `scenario` and adds the common figures.
[[nodiscard]] RunResult PlayAndCount(Report& report, const Scenario& scenario,
                                     const std::string& policy, MakePolicy make,
                                     std::uint64_t seed);

void Add(Report& report, const Scenario& scenario, const std::string& policy,
         const std::string& metric, const std::string& unit, double value);

/// Adds the median and the 99th and 99.9th percentiles of a class's latency.
void AddLatency(Report& report, const Scenario& scenario, const std::string& policy,
                const std::string& metric, const RunResult& result, std::uint32_t index);

/// Adds the 99th percentile of the waits of short work behind long work.
void AddHol(Report& report, const Scenario& scenario, const std::string& policy,
            const RunResult& result);

void AddAtMost(Report& report, const std::string& scenario, const std::string& text, double value,
               double limit);
void AddAtLeast(Report& report, const std::string& scenario, const std::string& text, double value,
                double limit);

/// Customer-facing requests of 80 ms that start within 150 ms and end within 500 ms.
[[nodiscard]] WorkClass PreviewClass();

}  // namespace ebonypin::bench
