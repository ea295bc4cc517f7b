/// Generates schedules, runs and checks them, and shrinks the first one that fails.
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
  std::size_t m_rounds = 0;      ///< Schedules run, not counting the runs made while shrinking.
  std::size_t m_operations = 0;  ///< Operations that the checker checked.
  std::array<std::size_t, kFaultKinds> m_faults{};  ///< Generated faults of each kind.
  std::vector<std::string> m_violations;  ///< Violations of the smallest failing schedule.
  std::string m_schedule;                 ///< The smallest failing schedule; empty when none fails.
};

struct ExploreOptions {
  std::uint64_t m_seed = 1;
  int m_rounds = 200;
  Defect m_defect = Defect::kNone;
  std::optional<FaultKind> m_always;  ///< If set, every schedule has a long fault of this kind.
  bool m_shrink = true;               ///< Search for a smaller failing schedule.
};

/// Runs generated schedules and stops at the first one that fails. Round i of a given seed always
/// runs the same schedule.
[[nodiscard]] Exploration Explore(const ExploreOptions& options);

}  // namespace ebonypin::faults
