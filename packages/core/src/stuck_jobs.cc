#include "ebonypin/core/stuck_jobs.h"

#include <algorithm>

namespace ebonypin::core {
namespace {

/// Returns why the job makes no progress, or an empty string when it is not stuck.
std::string ReasonOf(const OwnedJob& job) {
  switch (job.m_stage) {
    case OwnedStage::kWaiting:
      if (job.m_failures < kStuckFailures) return {};
      return "no worker accepts it" + (job.m_last_refusal.empty() ? "" : ": " + job.m_last_refusal);
    case OwnedStage::kProbing:
      return job.m_non_idempotent ? "unresolved: it must not run twice, and it is not known "
                                    "whether its attempt ended"
                                  : "the instance of its attempt does not answer";
    default:
      return {};
  }
}

}  // namespace

std::vector<StuckJob> StuckJobs(const JobOwner& owner, const JobTable& table,
                                const std::size_t limit) {
  std::vector<StuckJob> stuck;
  for (const auto& [id, job] : owner.m_jobs) {
    auto reason = ReasonOf(job);
    const JobState* const state = reason.empty() ? nullptr : FindOpen(table, id);
    if (state == nullptr) continue;
    stuck.push_back({.m_job = id,
                     .m_class = state->m_request.m_class,
                     .m_attempt = state->m_attempt,
                     .m_agent = state->m_agent,
                     .m_reason = std::move(reason)});
  }
  std::sort(stuck.begin(), stuck.end(),
            [](const StuckJob& a, const StuckJob& b) { return a.m_job < b.m_job; });
  if (stuck.size() > limit) stuck.resize(limit);
  return stuck;
}

}  // namespace ebonypin::core
