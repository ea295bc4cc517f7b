/// Finds the jobs of an owner that make no progress, with the reason of each.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "ebonypin/core/job_owner.h"

namespace ebonypin::core {

/// A job that makes no progress for a reason other than its position in the queue.
struct StuckJob {
  JobId m_job;
  ClassName m_class;
  Attempt m_attempt = 0;
  AgentId m_agent;  ///< Agent of the attempt; empty before the first attempt.
  std::string m_reason;
  friend bool operator==(const StuckJob&, const StuckJob&) = default;
};

/// Number of failed placements and reservations since a job's last progress at which it counts as
/// stuck. Single refusals are normal under load.
inline constexpr std::uint32_t kStuckFailures = 3;

/// Returns at most `limit` stuck jobs of the shards that `owner` owns, in the order of their ids.
///
/// Example: `for (const auto& job : StuckJobs(owner, table, 20)) Print(job.m_reason);`
[[nodiscard]] std::vector<StuckJob> StuckJobs(const JobOwner& owner, const JobTable& table,
                                              std::size_t limit);

}  // namespace ebonypin::core
