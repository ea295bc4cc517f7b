/// Which jobs of an owner make no progress, and why.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "ebonypin/core/job_owner.h"

namespace ebonypin::core {

/// A job that waits for something other than its turn.
struct StuckJob {
  JobId m_job;
  ClassName m_class;
  Attempt m_attempt = 0;
  AgentId m_agent;  ///< Of the attempt; empty before the first.
  std::string m_reason;
  friend bool operator==(const StuckJob&, const StuckJob&) = default;
};

/// Placements and reservations of a job that failed since its last progress, from which on it
/// counts as stuck. Single refusals are ordinary under load.
inline constexpr std::uint32_t kStuckFailures = 3;

/// Returns at most `limit` stuck jobs of the shards that `owner` owns, in the order of their ids.
///
/// Example: `for (const auto& job : StuckJobs(owner, table, 20)) Print(job.m_reason);`
[[nodiscard]] std::vector<StuckJob> StuckJobs(const JobOwner& owner, const JobTable& table,
                                              std::size_t limit);

}  // namespace ebonypin::core
