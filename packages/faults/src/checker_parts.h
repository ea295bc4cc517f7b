/// Parts of the checker, one for each group of invariants.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "ebonypin/faults/checker.h"

namespace ebonypin::faults {

void Report(Verdict& verdict, const std::string& invariant, const std::string& what);
std::string At(const Event& event);

/// What the order of the job records says, folded independently of the scheduler.
struct JudgedJob {
  std::string m_request;
  std::string m_key;
  std::string m_class;
  bool m_non_idempotent = false;
  bool m_closed = false;
  std::string m_outcome;
  std::string m_result;
  std::uint64_t m_attempt = 0;
  bool m_assigned = false;
  bool m_cancel_requested = false;
  std::int64_t m_closed_us = 0;
};
struct JudgedLog {
  std::map<std::string, JudgedJob> m_jobs;
  std::map<std::string, std::string> m_keys;
  std::size_t m_void = 0;
};
[[nodiscard]] JudgedLog JudgeLog(const History& history);

/// I1: no worker holds more than it has.
void CheckCapacity(const History& history, Verdict& verdict);
/// I2, I3, I6: exclusive work in one place, resumed once, not repeated.
void CheckTasks(const History& history, Verdict& verdict);
/// I4, I5: answers are the request's own and true.
void CheckAnswers(const History& history, Verdict& verdict);
/// Accepted jobs are neither lost nor duplicated; outcomes are true.
void CheckJobs(const History& history, Verdict& verdict);
/// I7, I8: leaving endpoints get no work, planned stops cut none.
void CheckDrains(const History& history, Verdict& verdict);
/// I9: configuration in force everywhere, never reverted, one winner.
void CheckConfig(const History& history, Verdict& verdict);
/// Watch updates neither dropped nor duplicated.
void CheckWatches(const History& history, Verdict& verdict);

}  // namespace ebonypin::faults
