#include "ebonypin/core/fleet/queue_table.h"

#include <algorithm>
#include <utility>

namespace ebonypin::core::fleet {
namespace {

/// Largest distance of a due time from 1970, in milliseconds. Due times of 2^32 occurrences at the
/// longest interval are added to it without overflow.
constexpr WallMillis kMaxDueMs = WallMillis{1} << 53U;

bool IsSpan(const Duration time) noexcept { return time >= Duration{} && time <= kMaxSpan; }

}  // namespace

bool Replace(QueueTable& table, QueueTable next) {
  if (next.m_version <= table.m_version) return false;
  table = std::move(next);
  return true;
}

const QueueRoute* FindQueue(const QueueTable& table, const std::string_view host,
                            const std::string_view path) noexcept {
  const QueueRoute* best = nullptr;
  for (const auto& route : table.m_routes) {
    if (route.m_host != host || !path.starts_with(route.m_path_prefix)) continue;
    if (best == nullptr || route.m_path_prefix.size() > best->m_path_prefix.size()) best = &route;
  }
  return best;
}

std::string CheckSteps(const JobSpec& job) {
  if (job.m_id.IsEmpty()) return "the job has no id";
  if (job.m_steps.empty()) return "the job has no steps";
  if (job.m_steps.size() > kMaxSteps) return "the job has too many steps";
  std::uint64_t tasks = 0;
  for (std::size_t i = 0; i < job.m_steps.size(); ++i) {
    const auto& step = job.m_steps[i];
    if (step.m_count == 0) return "a step has no tasks";
    tasks += step.m_count;
    for (const auto earlier : step.m_after) {
      if (earlier >= i) return "a step follows a step that is not before it";
    }
    const auto& size = step.m_size;
    if (size.m_cpu_millis < 0 || size.m_memory_mb < 0 || size.m_accelerators < 0) {
      return "a step has a negative size";
    }
    if (std::max({size.m_cpu_millis, size.m_memory_mb, size.m_accelerators}) > kMaxSize) {
      return "the size of a step is too large";
    }
    if (!IsSpan(step.m_estimate) || !IsSpan(step.m_latency_target)) {
      return "a time of a step is negative or too long";
    }
  }
  if (tasks > kMaxTasksPerJob) return "the job has too many tasks";
  constexpr auto kMaxIntervalMs = kMaxSpan / std::chrono::milliseconds{1};
  if (job.m_interval_ms < 0 || job.m_interval_ms > kMaxIntervalMs) {
    return "the interval is negative or too long";
  }
  if (job.m_first_due < -kMaxDueMs || job.m_first_due > kMaxDueMs) {
    return "the time of the first occurrence is out of range";
  }
  return {};
}

std::string CheckJob(const JobSpec& job) {
  auto error = CheckSteps(job);
  if (error.empty() && job.m_times > kMaxOccurrences) error = "the job has too many occurrences";
  return error;
}

}  // namespace ebonypin::core::fleet
