/// The checks of each group of invariants, and what they share.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "ebonypin/faults/checker.h"

namespace ebonypin::faults {

void AddViolation(Verdict& verdict, const std::string& invariant, const std::string& what);
/// Returns the time of `event` as the end of a message.
std::string AtTime(const Event& event);

/// State of a job as replayed from the order of its log records, independently of the scheduler.
struct ReplayedJob {
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
struct ReplayedLog {
  std::map<std::string, ReplayedJob> m_jobs;
  std::map<std::string, std::string> m_keys;  ///< Job of each idempotency key.
  std::size_t m_void = 0;                     ///< Records without effect.
};
[[nodiscard]] ReplayedLog ReplayJobLog(const History& history);

/// I1: no worker is committed beyond its size.
void CheckCapacity(const History& history, Verdict& verdict);
/// I2, I3, I6: an exclusive job runs on one worker at a time, an attempt begins once and resumes
/// only from a checkpoint of its own job, and non-idempotent work is not repeated.
void CheckTasks(const History& history, Verdict& verdict);
/// I4, I5, I6: each answer belongs to its request and is true, and non-idempotent requests run
/// once.
void CheckAnswers(const History& history, Verdict& verdict);
/// Accepted jobs all end, and reported outcomes are true.
void CheckJobs(const History& history, Verdict& verdict);
/// I7, I8: draining endpoints get no new work, and planned stops abort no requests.
void CheckDrains(const History& history, Verdict& verdict);
/// I9: each change comes into force at every process and is never reverted; of conflicting changes
/// only one wins.
void CheckConfig(const History& history, Verdict& verdict);
/// Watch updates are neither dropped nor duplicated.
void CheckWatches(const History& history, Verdict& verdict);

}  // namespace ebonypin::faults
