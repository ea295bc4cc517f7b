/// Checks a history against the invariants I1 to I9 of docs/design.md, and checks that every answer
/// to a caller or operator was true.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "ebonypin/faults/history.h"

namespace ebonypin::faults {

struct Verdict {
  std::vector<std::string> m_violations;  ///< Each begins with the invariant, for example "I2".
  std::size_t m_operations = 0;           ///< Answers, tasks, runs and changes checked.
};

/// Returns the violations in `history`, whose events must be in order of time.
[[nodiscard]] Verdict Check(const History& history);

}  // namespace ebonypin::faults
