/// Admission by predicted start and finish against the target and the deadline.
///
/// Work that would miss them is refused at once and truthfully, with the time after which a retry
/// helps. There are no weights: what is urgent follows from targets alone.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "ebonypin/core/class_spec.h"
#include "ebonypin/core/error.h"
#include "ebonypin/core/resources.h"
#include "ebonypin/core/time.h"

namespace ebonypin::core {

/// Where new short work would queue.
struct QueueSnapshot {
  std::uint32_t m_slots = 0;        ///< All slots.
  std::uint32_t m_busy = 0;         ///< Slots held by work that is not taken back.
  std::uint32_t m_reclaimable = 0;  ///< Slots that are taken back within `m_reclaim`.
  std::uint32_t m_queued = 0;       ///< Work ahead in the queue.
  Duration m_run{};                 ///< Typical run time of the work ahead.
  Duration m_reclaim{};
};

/// Returns the predicted wait until new work starts.
[[nodiscard]] Duration PredictWait(const QueueSnapshot& queue) noexcept;

struct AdmissionInput {
  Duration m_wait{};     ///< Predicted wait from now.
  Duration m_run{};      ///< Expected run time.
  Duration m_elapsed{};  ///< Since arrival.
  Target m_target;
  std::optional<Duration> m_deadline;  ///< From arrival.
};

/// Returns nothing when the work is predicted to meet its target and deadline, or the refusal.
///
/// Errors: kDeadlineTooShort when the work cannot meet its deadline even without a wait;
/// kOverloaded, with Retry-After, when the wait is what makes it late.
[[nodiscard]] std::optional<Error> CheckAdmission(const AdmissionInput& input);

/// What one team may hold at a time; components that are zero are not limited.
struct TeamQuota {
  Resources m_resources;
  std::uint32_t m_items = 0;  ///< Requests and jobs that are not finished.
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

/// Gives back what TakeQuota took.
void ReturnQuota(QuotaState& state, const TeamName& team, const Resources& size);

}  // namespace ebonypin::core
