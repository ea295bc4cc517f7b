#include "ebonypin/core/admission.h"

#include <algorithm>
#include <string>

namespace ebonypin::core {
namespace {

/// Shortest Retry-After. The load does not change noticeably within a shorter time.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds{100};

std::string Millis(const Duration duration) {
  return std::to_string(duration.count() / 1000) + " ms";
}

bool Exceeds(const std::int64_t amount, const std::int64_t limit) {
  return limit > 0 && amount > limit;
}

}  // namespace

Duration PredictWait(const QueueSnapshot& queue) noexcept {
  const std::uint32_t held = std::min(queue.m_slots, queue.m_busy + queue.m_reclaimable);
  const std::uint32_t free = queue.m_slots - held;
  if (queue.m_queued < free) return Duration{0};
  if (queue.m_queued < free + queue.m_reclaimable) return queue.m_reclaim;
  // After the free and the reclaimable slots, one slot becomes free every m_run / slots on average.
  const std::uint32_t ahead = queue.m_queued - free - queue.m_reclaimable + 1;
  const std::uint32_t slots = std::max<std::uint32_t>(queue.m_slots, 1);
  return (queue.m_reclaimable > 0 ? queue.m_reclaim : Duration{0}) + queue.m_run * ahead / slots;
}

std::optional<Error> CheckAdmission(const AdmissionInput& input) {
  const Duration start = input.m_elapsed + input.m_wait;
  const Duration finish = start + input.m_run;
  if (input.m_deadline && input.m_elapsed + input.m_run > *input.m_deadline) {
    return Error{.m_kind = ErrorKind::kDeadlineTooShort,
                 .m_message = "the work is expected to run for " + Millis(input.m_run) + " and " +
                              Millis(std::max(Duration{0}, *input.m_deadline - input.m_elapsed)) +
                              " are left; send a larger deadline_ms"};
  }
  std::optional<Duration> late;
  const auto check = [&late](const Duration predicted, const std::optional<Duration>& limit) {
    if (limit && predicted > *limit)
      late = std::max(late.value_or(Duration{0}), predicted - *limit);
  };
  check(start, input.m_target.m_start_within);
  // Work whose run time alone exceeds the target is not refused, because a retry after a shorter
  // wait would miss the target too.
  if (input.m_wait > Duration{0}) {
    check(finish, input.m_target.m_finish_within);
    check(finish, input.m_target.m_latency);
    check(finish, input.m_deadline);
  }
  if (!late) return std::nullopt;
  return Error{.m_kind = ErrorKind::kOverloaded,
               .m_message = "the work is predicted to start in " + Millis(input.m_wait) +
                            ", too late for its target or deadline; retry later",
               .m_retry_after = std::max(kMinRetryAfter, *late)};
}

void SetQuota(QuotaState& state, const TeamName& team, const TeamQuota& quota) {
  state.m_teams[team].m_quota = quota;
}

std::optional<Error> TakeQuota(QuotaState& state, const TeamName& team, const Resources& size) {
  TeamUsage& usage = state.m_teams[team];
  const Resources held = usage.m_held + size;
  const TeamQuota& quota = usage.m_quota;
  if (Exceeds(held.m_cpu_millis, quota.m_resources.m_cpu_millis) ||
      Exceeds(held.m_memory_mb, quota.m_resources.m_memory_mb) ||
      Exceeds(held.m_accelerators, quota.m_resources.m_accelerators) ||
      Exceeds(usage.m_items + 1, quota.m_items)) {
    return Error{.m_kind = ErrorKind::kQuotaExceeded,
                 .m_message = "the quota of team '" + team.m_value +
                              "' is used up; wait until its work ends or ask for a larger quota",
                 .m_retry_after = std::chrono::seconds{1}};
  }
  usage.m_held = held;
  ++usage.m_items;
  return std::nullopt;
}

void ReturnQuota(QuotaState& state, const TeamName& team, const Resources& size) {
  const auto found = state.m_teams.find(team);
  if (found == state.m_teams.end() || found->second.m_items == 0) return;
  found->second.m_held = found->second.m_held - size;
  --found->second.m_items;
}

}  // namespace ebonypin::core
