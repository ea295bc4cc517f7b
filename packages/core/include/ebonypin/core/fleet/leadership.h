/// Leadership of the coordinator: which entry holds it, and for how long the entry may act.
///
/// The store's group assigns the first partition of a topic to one entry. This entry claims the
/// next epoch by a conditional append, which fences its predecessor's writes, and then reads the
/// records and becomes active. Without the store it acts for a limited time only. A successor that
/// cannot reach its predecessor waits until this time has passed.
#pragma once

#include <cstdint>

#include "ebonypin/core/ids.h"
#include "ebonypin/core/time.h"

namespace ebonypin::core::fleet {

struct LeadershipOptions {
  /// Membership in the group ends when nothing was sent for this time. The store allows 1 s or
  /// more; if its own minimum is longer, that applies. Bounds the takeover from an entry that died
  /// or that the store refuses, during which nothing is accepted or started.
  Duration m_ttl = std::chrono::milliseconds{1100};
  /// Interval between two joins; three fit into the time limit of the membership.
  Duration m_join_interval = std::chrono::milliseconds{300};
  /// Time for which a coordinator may act after its last append that the store accepted.
  Duration m_authority = std::chrono::seconds{10};
};

enum class LeadershipStage : std::uint8_t { kFollower, kClaiming, kActive };

struct Leadership {
  LeadershipOptions m_options;
  LeadershipStage m_stage = LeadershipStage::kFollower;
  Epoch m_epoch = 0;        ///< Own epoch while claiming or active.
  bool m_released = false;  ///< The partition was not held at the last join.
  Time m_confirmed;         ///< Sending time of the last append that the store accepted.
};

enum class LeadershipStep : std::uint8_t {
  kNone,
  kClaim,
  kRelease,  ///< Join again at once, which releases the partition.
  kKeep,     ///< Join with the former generation, which does not release the partition.
};

/// Handles the answer to a join that was sent at `sent`. It does not confirm the leadership,
/// because a successor may have held the partition meanwhile, and its fence refuses appends only.
///
/// An active coordinator does not release the partition when the group assigns it to another
/// member, such as an entry that came back, because a change of coordinator costs up to half a
/// second. If the partition is moved nevertheless, it stays the leader until it learns of its
/// successor's epoch. A coordinator whose authority has ended may not act any more, so it releases
/// the partition.
[[nodiscard]] LeadershipStep OnJoined(Leadership& state, Time sent, bool holds_partition) noexcept;

/// Returns whether an entry with this epoch ends the leadership.
[[nodiscard]] bool IsSupersededBy(const Leadership& state, Epoch epoch) noexcept;

/// Returns whether the coordinator may give orders and grants.
[[nodiscard]] bool MayAct(const Leadership& state, Time now) noexcept;

}  // namespace ebonypin::core::fleet
