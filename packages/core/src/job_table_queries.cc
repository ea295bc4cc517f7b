#include "ebonypin/core/job_table.h"

namespace ebonypin::core {
namespace {

JobState TraceState(const JobId& job, const ClosedTrace& trace) {
  return {.m_job = job,
          .m_request = {.m_id = trace.m_request, .m_class = trace.m_class, .m_key = trace.m_key},
          .m_accepted_wall = trace.m_accepted_wall,
          .m_accepted_offset = trace.m_accepted_offset,
          .m_last_offset = trace.m_closed_offset,
          .m_attempt = trace.m_attempt,
          .m_closed = true,
          .m_outcome = trace.m_outcome,
          .m_result = trace.m_result};
}

}  // namespace

bool IsExpired(const LogOffset closed_offset, const LogOffset offset) noexcept {
  return closed_offset + kClosedTraceOffsets < offset;
}

const JobState* FindOpen(const JobTable& table, const JobId& job) noexcept {
  const auto& open = table.m_shards[ShardOf(job)].m_open;
  const auto found = open.find(job);
  return found == open.end() ? nullptr : &found->second.m_state;
}

const ClosedTrace* FindClosed(const JobTable& table, const JobId& job) noexcept {
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
  for (const auto& [job, trace] : table.m_shards[shard].m_closed) {
    if (snapshots.size() >= limit) return snapshots;
    if (trace.m_recorded < before && !IsExpired(trace.m_closed_offset, table.m_offset))
      snapshots.push_back({.m_state = TraceState(job, trace), .m_as_of = table.m_offset});
  }
  return snapshots;
}

}  // namespace ebonypin::core
