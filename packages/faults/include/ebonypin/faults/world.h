/// Runs one schedule: three entries and four workers with their agents, a log, callers and
/// operators on virtual time.
#pragma once

#include "ebonypin/faults/checker.h"
#include "ebonypin/faults/history.h"
#include "ebonypin/faults/schedule.h"

namespace ebonypin::faults {

/// Faults begin after this, when the classes are in force.
inline constexpr std::uint32_t kFirstFaultMs = 5'000;
/// Faults and new work end here; then the run goes on until all jobs have ended.
inline constexpr std::uint32_t kFaultsOverMs = 62'000;

/// Returns the history of `schedule`. The same arguments give the same history.
[[nodiscard]] History Run(const Schedule& schedule, Defect defect = Defect::kNone);

}  // namespace ebonypin::faults
