/// Checks a history against the guarantees in docs/design.md. Shares no code with the scheduler.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "history.h"

namespace ebonypin::chaos {

/// One violation of a guarantee.
struct Violation {
  std::string m_rule;
  std::string m_detail;
};

struct Verdict {
  std::vector<Violation> m_violations;
  std::uint64_t m_checked = 0;  ///< Number of checks that were made.
};

struct CheckOptions {
  /// Classes whose tasks must never run in two places at once.
  std::vector<std::string> m_exclusive_classes;
};

/// Returns every violation in `history`.
[[nodiscard]] Verdict CheckHistory(const History& history, const CheckOptions& options);

}  // namespace ebonypin::chaos
