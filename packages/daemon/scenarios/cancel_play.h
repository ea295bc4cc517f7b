/// Play of callers that submit, read and cancel jobs at all entries while entries are paused, cut
/// off, stopped and killed.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "disruptor.h"
#include "process_site.h"

namespace ebonypin::daemon {

/// What callers do with a job of one task. Times count from the beginning of the play.
struct PlannedJob {
  std::string m_id;
  bool m_lasts = false;  ///< The task runs until the job is cancelled; for 3 s otherwise.
  bool m_cancelled = false;
  /// The cancel is sent to a paused entry just before it goes on, or when the disruptions are over.
  bool m_cancelled_at_pause = false;
  std::chrono::milliseconds m_submit_at{};
  std::chrono::milliseconds m_cancel_at{};  ///< May be that of the submission, or before it.
  std::chrono::milliseconds m_repeat_at{};
  std::chrono::milliseconds m_read_at{};
  std::size_t m_submit_entry = 0;
  std::size_t m_cancel_entry = 0;
  std::size_t m_repeat_entry = 0;
  std::size_t m_read_entry = 0;
};

struct CancelPlan {
  std::uint64_t m_seed = 0;
  std::vector<Disruption> m_disruptions;
  std::vector<PlannedJob> m_jobs;
};

[[nodiscard]] CancelPlan DrawCancelPlan(std::uint64_t seed, std::size_t entries);

[[nodiscard]] std::string Describe(const CancelPlan& plan);
[[nodiscard]] std::string Describe(const std::vector<Disruption>& disruptions);

struct CancelPlayResult {
  std::vector<std::string> m_faults;  ///< One line for each fault that was found.
  std::size_t m_calls = 0;
  std::size_t m_cancels = 0;  ///< That were acknowledged.
  std::size_t m_starts = 0;
  /// Submissions of accepted jobs that an entry refused without asking a coordinator, by reason.
  std::map<std::string, std::size_t> m_refused_by_entry_alone;
};

/// Plays the plan on a site that has just come up.
[[nodiscard]] CancelPlayResult Play(ProcessSite& site, const CancelPlan& plan);

}  // namespace ebonypin::daemon
