/// Admission control: compares the predicted start and finish of work with its target and deadline.
///
/// Work that would miss them is refused at once, with the time after which a retry can succeed.
/// There are no weights; urgency follows from the targets alone.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "ebonypin/core/class_spec.h"
#include "ebonypin/core/error.h"
#include "ebonypin/core/resources.h"
#include "ebonypin/core/time.h"

namespace ebonypin::core {

/// State of the queue that new short work would join.
struct QueueSnapshot {
  std::uint32_t m_slots = 0;        ///< All slots.
  std::uint32_t m_busy = 0;         ///< Slots that become free only when their work ends.
  std::uint32_t m_reclaimable = 0;  ///< Slots that can be reclaimed within `m_reclaim`.
  std::uint32_t m_queued = 0;       ///< Work items ahead in the queue.
  Duration m_run{};                 ///< Typical run time of the work ahead.
  Duration m_reclaim{};             ///< Time to reclaim a slot.
};

/// Returns the predicted wait until new work starts.
[[nodiscard]] Duration PredictWait(const QueueSnapshot& queue) noexcept;

struct AdmissionInput {
  Duration m_wait{};     ///< Predicted wait from now.
  Duration m_run{};      ///< Expected run time.
  Duration m_elapsed{};  ///< Time since arrival.
  Target m_target;
  std::optional<Duration> m_deadline;  ///< Time from arrival to the deadline.
};

/// Returns nothing when the work is predicted to meet its target and deadline, or the refusal.
///
/// Errors: kDeadlineTooShort when the work cannot meet its deadline even without a wait;
/// kOverloaded, with Retry-After, when it is late because of the wait.
[[nodiscard]] std::optional<Error> CheckAdmission(const AdmissionInput& input);

/// Limits on what one team may hold at a time; a component of zero is unlimited.
struct TeamQuota {
  Resources m_resources;
  std::uint32_t m_items = 0;  ///< Unfinished requests and jobs.
};

struct TeamUsage {
  TeamQuota m_quota;
  Resources m_held;
  std::uint32_t m_items = 0;
};

struct QuotaState {
  std::unordered_map<TeamName, TeamUsage> m_teams;
};

void SetQuota(QuotaState& state, const TeamName& team, const TeamQuota& quota);

/// Takes `size` and one item from the team's quota, or returns kQuotaExceeded and takes nothing.
[[nodiscard]] std::optional<Error> TakeQuota(QuotaState& state, const TeamName& team,
                                             const Resources& size);

/// Returns `size` and one item, taken by TakeQuota, to the team's quota.
void ReturnQuota(QuotaState& state, const TeamName& team, const Resources& size);

}  // namespace ebonypin::core
