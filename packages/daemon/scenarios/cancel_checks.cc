#include "cancel_checks.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace ebonypin::daemon {
namespace {

constexpr std::int64_t kMillisecond = 1000;
/// The platform's cancel_ms.
constexpr std::int64_t kCancelTime = 3000 * kMillisecond;
/// The platform's StopMs.
constexpr std::int64_t kStopTime = 400 * kMillisecond;
/// The platform's ContactMs.
constexpr std::int64_t kCalmTime = 3000 * kMillisecond;
constexpr std::int64_t kNever = std::numeric_limits<std::int64_t>::max();

using TimeOfJob = std::map<std::string, std::int64_t>;

/// Returns when each job was first answered 200 to a submission.
TimeOfJob AcceptTimes(const std::vector<ObservedCall>& calls) {
  TimeOfJob times;
  for (const auto& call : calls) {
    if (call.m_kind != CallKind::kSubmit || call.m_status != 200) continue;
    const auto [found, added] = times.emplace(call.m_job, call.m_answered);
    found->second = std::min(found->second, call.m_answered);
  }
  return times;
}

std::int64_t TimeOr(const TimeOfJob& times, const std::string& job, const std::int64_t otherwise) {
  const auto found = times.find(job);
  return found == times.end() ? otherwise : found->second;
}

std::string Describe(const ObservedCall& call) {
  return fmt::format("sent to entry-{} at {} us, answered {} '{}' at {} us", call.m_entry,
                     call.m_sent, call.m_status, call.m_error, call.m_answered);
}

std::string Describe(const ObservedRun& run) {
  return fmt::format("{} run {} at {} from {} us to {} us, {}", run.m_task, run.m_run, run.m_worker,
                     run.m_started, run.m_ended ? std::to_string(*run.m_ended) : "now",
                     run.m_how.empty() ? "at work" : run.m_how);
}

}  // namespace

bool IsAcknowledgedCancel(const ObservedCall& call) noexcept {
  return call.m_kind == CallKind::kCancel && (call.m_status == 200 || call.m_status == 410);
}

bool IsRefusedByEntryAlone(const ObservedCall& call) {
  return call.m_error == "no configuration is known yet" ||
         call.m_error == "the listener has closed";
}

std::int64_t NextCalm(std::int64_t time, const std::vector<Disturbance>& disturbances) {
  for (bool moved = true; moved;) {
    moved = false;
    for (const auto& [from, to] : disturbances) {
      if (from > time || to <= time - kCalmTime) continue;
      time = to + kCalmTime;
      moved = true;
    }
  }
  return time;
}

std::vector<std::string> FindRunsAfterCancel(const std::vector<ObservedCall>& calls,
                                             const std::vector<ObservedRun>& runs,
                                             const std::vector<Disturbance>& disturbances) {
  std::map<std::string, const ObservedCall*> first;
  for (const auto& call : calls) {
    if (!IsAcknowledgedCancel(call)) continue;
    auto& known = first[call.m_job];
    if (known == nullptr || call.m_answered < known->m_answered) known = &call;
  }
  const auto accepted = AcceptTimes(calls);
  std::vector<std::string> found;
  for (const auto& run : runs) {
    const auto cancel = first.find(run.m_task.substr(0, run.m_task.find('.')));
    if (cancel == first.end()) continue;
    const auto& call = *cancel->second;
    const bool late = run.m_started > call.m_answered + kCancelTime;
    const auto gone_by = NextCalm(call.m_answered + kCancelTime + kStopTime, disturbances);
    const bool lasts = run.m_started <= gone_by && run.m_ended.value_or(kNever) > gone_by;
    if (!late && !lasts) continue;
    const bool before = TimeOr(accepted, call.m_job, kNever) <= call.m_sent;
    found.push_back(fmt::format("{} after a cancel {}, {}; gone by {} us: {}",
                                late ? "a start" : "a run at work", Describe(call),
                                before ? "of a job accepted before" : "before the job was accepted",
                                gone_by, Describe(run)));
  }
  return found;
}

std::vector<std::string> FindLostJobs(const std::vector<ObservedCall>& calls) {
  TimeOfJob cancelled;
  for (const auto& call : calls) {
    if (call.m_kind != CallKind::kCancel) continue;
    const auto [known, added] = cancelled.emplace(call.m_job, call.m_sent);
    known->second = std::min(known->second, call.m_sent);
  }
  const auto accepted = AcceptTimes(calls);
  std::vector<std::string> found;
  for (const auto& call : calls) {
    if (call.m_kind != CallKind::kRead || call.m_status != 410) continue;
    if (TimeOr(accepted, call.m_job, kNever) > call.m_sent) continue;
    if (TimeOr(cancelled, call.m_job, kNever) <= call.m_answered) continue;
    found.push_back(fmt::format("job {} is unknown to a read {}", call.m_job, Describe(call)));
  }
  return found;
}

RefusedRepeats FindRefusedRepeats(const std::vector<ObservedCall>& calls) {
  const auto accepted = AcceptTimes(calls);
  RefusedRepeats found;
  for (const auto& call : calls) {
    if (call.m_kind != CallKind::kSubmit || call.m_status != 503) continue;
    if (TimeOr(accepted, call.m_job, kNever) > call.m_sent) continue;
    if (IsRefusedByEntryAlone(call)) {
      ++found.m_by_entry_alone[call.m_error];
    } else {
      found.m_faults.push_back(
          fmt::format("accepted job {} is refused, {}", call.m_job, Describe(call)));
    }
  }
  return found;
}

}  // namespace ebonypin::daemon
