#include "ebonypin/core/job_table.h"

namespace ebonypin::core {
namespace {

JobState ClosedJobState(const JobId& job, const ClosedJob& closed_job) {
  return {.m_job = job,
          .m_request = {.m_id = closed_job.m_request,
                        .m_class = closed_job.m_class,
                        .m_key = closed_job.m_key},
          .m_accepted_wall = closed_job.m_accepted_wall,
          .m_accepted_offset = closed_job.m_accepted_offset,
          .m_last_offset = closed_job.m_closed_offset,
          .m_attempt = closed_job.m_attempt,
          .m_closed = true,
          .m_outcome = closed_job.m_outcome,
          .m_result = closed_job.m_result};
}

}  // namespace

bool IsExpired(const LogOffset closed_offset, const LogOffset offset) noexcept {
  return closed_offset + kClosedJobRetentionOffsets < offset;
}

const JobState* FindOpen(const JobTable& table, const JobId& job) noexcept {
  const auto& open = table.m_shards[ShardOf(job)].m_open;
  const auto found = open.find(job);
  return found == open.end() ? nullptr : &found->second.m_state;
}

const ClosedJob* FindClosed(const JobTable& table, const JobId& job) noexcept {
  const auto& closed = table.m_shards[ShardOf(job)].m_closed;
  const auto found = closed.find(job);
  return found == closed.end() ? nullptr : &found->second;
}

std::optional<JobId> FindByKey(const JobTable& table, const std::string& key) {
  const auto found = table.m_keys.find(key);
  if (found == table.m_keys.end()) return std::nullopt;
  return found->second;
}

std::size_t OpenCount(const JobTable& table) noexcept {
  std::size_t count = 0;
  for (const ShardState& shard : table.m_shards) count += shard.m_open.size();
  return count;
}

std::vector<JobSnapshot> SnapshotsBefore(const JobTable& table, const ShardIndex shard,
                                         const LogOffset before, const std::size_t limit) {
  std::vector<JobSnapshot> snapshots;
  for (const auto& [job, open] : table.m_shards[shard].m_open) {
    if (snapshots.size() >= limit) return snapshots;
    if (open.m_recorded < before)
      snapshots.push_back({.m_state = open.m_state, .m_as_of = table.m_offset});
  }
  for (const auto& [job, closed_job] : table.m_shards[shard].m_closed) {
    if (snapshots.size() >= limit) return snapshots;
    if (closed_job.m_recorded < before && !IsExpired(closed_job.m_closed_offset, table.m_offset))
      snapshots.push_back({.m_state = ClosedJobState(job, closed_job), .m_as_of = table.m_offset});
  }
  return snapshots;
}

}  // namespace ebonypin::core
