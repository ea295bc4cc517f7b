/// Generates schedules, runs and checks them, and shrinks one that fails.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "ebonypin/faults/schedule.h"

namespace ebonypin::faults {

struct Exploration {
  std::size_t m_rounds = 0;      ///< Schedules run, without those of shrinking.
  std::size_t m_operations = 0;  ///< Judged by the checker.
  std::array<std::size_t, kFaultKinds> m_faults{};
  std::vector<std::string> m_violations;  ///< Of the smallest failing schedule.
  std::string m_schedule;                 ///< The smallest failing schedule; empty when none fails.
};

struct ExploreOptions {
  std::uint64_t m_seed = 1;
  int m_rounds = 200;
  Defect m_defect = Defect::kNone;
  std::optional<FaultKind> m_always;  ///< A long fault of this kind is part of every schedule.
  bool m_shrink = true;               ///< Look for a smaller failing schedule.
};

/// Runs generated schedules and stops at the first that fails. Round i of a seed is always the
/// same.
[[nodiscard]] Exploration Explore(const ExploreOptions& options);

}  // namespace ebonypin::faults
