#include "ebonypin/faults/checker.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "checker_parts.h"

namespace ebonypin::faults {

void AddViolation(Verdict& verdict, const std::string& invariant, const std::string& what) {
  verdict.m_violations.push_back(invariant + " " + what);
}

std::string AtTime(const Event& event) {
  return " at " + std::to_string(event.m_at_us / 1000) + " ms";
}

Verdict Check(const History& history) {
  Verdict verdict;
  CheckCapacity(history, verdict);
  CheckTasks(history, verdict);
  CheckAnswers(history, verdict);
  CheckJobs(history, verdict);
  CheckDrains(history, verdict);
  CheckConfig(history, verdict);
  CheckWatches(history, verdict);
  return verdict;
}

}  // namespace ebonypin::faults
