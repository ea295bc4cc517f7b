/// Judges a history against the promises of docs/design.md. Shares no code with the scheduler.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "history.h"

namespace ebonypin::chaos {

/// One broken promise.
struct Violation {
  std::string m_rule;
  std::string m_detail;
};

struct Verdict {
  std::vector<Violation> m_violations;
  std::uint64_t m_checked = 0;  ///< Facts that were judged.
};

/// Classes whose tasks never run in two places at once.
struct JudgeOptions {
  std::vector<std::string> m_exclusive_classes;
};

/// Returns every violation in `history`.
[[nodiscard]] Verdict Judge(const History& history, const JudgeOptions& options);

}  // namespace ebonypin::chaos
