/// Checks of what callers were told about jobs against what workers ran.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "run_checks.h"

namespace ebonypin::daemon {

enum class CallKind : std::uint8_t { kSubmit, kRead, kCancel };

/// Call of a caller and its answer. Times are microseconds on the machine's steady clock.
struct ObservedCall {
  CallKind m_kind = CallKind::kRead;
  std::string m_job;
  std::size_t m_entry = 0;
  std::int64_t m_sent = 0;
  std::int64_t m_answered = 0;
  int m_status = 0;  ///< 0: no answer.
  std::string m_state;
  std::string m_error;
};

/// Time in which a process or a link was disturbed, in microseconds of the steady clock.
struct Disturbance {
  std::int64_t m_from = 0;
  std::int64_t m_to = 0;
};

/// Returns whether the call is a cancel that was acknowledged.
[[nodiscard]] bool IsAcknowledgedCancel(const ObservedCall& call) noexcept;

/// Returns whether a submission was refused for a reason that tells nothing about the job: the
/// entry had no configuration, or its listener had closed.
[[nodiscard]] bool IsRefusedByEntryAlone(const ObservedCall& call);

/// Returns the earliest time from `time` on that was preceded by 3 s without a disturbance.
[[nodiscard]] std::int64_t NextCalm(std::int64_t time,
                                    const std::vector<Disturbance>& disturbances);

/// Returns one line for each run that began over 3 s after a cancel of its job was acknowledged, or
/// that was at work when 3.4 s had passed since and the site was calm.
[[nodiscard]] std::vector<std::string> FindRunsAfterCancel(
    const std::vector<ObservedCall>& calls, const std::vector<ObservedRun>& runs,
    const std::vector<Disturbance>& disturbances);

/// Returns one line for each read that was answered 410 although the job had been accepted and
/// nobody had sent a cancel.
[[nodiscard]] std::vector<std::string> FindLostJobs(const std::vector<ObservedCall>& calls);

/// Submissions of jobs that had been accepted before, and that were answered 503.
struct RefusedRepeats {
  std::vector<std::string> m_faults;  ///< One line for each that is a fault.
  /// The others by the reason, which tells nothing about the job.
  std::map<std::string, std::size_t> m_by_entry_alone;
};

[[nodiscard]] RefusedRepeats FindRefusedRepeats(const std::vector<ObservedCall>& calls);

}  // namespace ebonypin::daemon
