/// Runs one schedule in virtual time, with three entries, four workers with their agents, a log,
/// callers and operators.
#pragma once

#include "ebonypin/faults/checker.h"
#include "ebonypin/faults/history.h"
#include "ebonypin/faults/schedule.h"

namespace ebonypin::faults {

/// Faults begin at this time at the earliest, when the classes are in force.
inline constexpr std::uint32_t kFirstFaultMs = 5'000;
/// No faults and no new work after this time; the run goes on until all jobs have ended.
inline constexpr std::uint32_t kFaultsOverMs = 62'000;

/// Returns the history of `schedule`. The same arguments give the same history.
[[nodiscard]] History Run(const Schedule& schedule, Defect defect = Defect::kNone);

}  // namespace ebonypin::faults
