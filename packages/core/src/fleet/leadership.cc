#include "ebonypin/core/fleet/leadership.h"

#include <utility>

namespace ebonypin::core::fleet {

LeadershipStep OnJoined(Leadership& state, const Time sent, const bool holds_partition) noexcept {
  if (!holds_partition) {
    const bool may_act = sent - state.m_confirmed < state.m_options.m_authority;
    if (state.m_stage == LeadershipStage::kActive && may_act) return LeadershipStep::kKeep;
    const bool released = std::exchange(state.m_released, true);
    return state.m_stage == LeadershipStage::kFollower || released ? LeadershipStep::kNone
                                                                   : LeadershipStep::kRelease;
  }
  state.m_released = false;
  return state.m_stage == LeadershipStage::kFollower ? LeadershipStep::kClaim
                                                     : LeadershipStep::kNone;
}

bool IsSupersededBy(const Leadership& state, const Epoch epoch) noexcept {
  // A claim that has no epoch yet will take one above all known epochs.
  return state.m_stage != LeadershipStage::kFollower && state.m_epoch > 0 && epoch > state.m_epoch;
}

bool MayAct(const Leadership& state, const Time now) noexcept {
  return state.m_stage == LeadershipStage::kActive &&
         now - state.m_confirmed < state.m_options.m_authority;
}

}  // namespace ebonypin::core::fleet
