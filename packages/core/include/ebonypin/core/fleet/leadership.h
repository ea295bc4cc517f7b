/// When an entry is the coordinator, and for how long it may act on it.
///
/// The store's group says which entry holds the first partition of a topic. The holder claims the
/// next epoch by a conditional append and fences its predecessor's writes; after that it reads the
/// records and is active. It acts without the store for a limited time only, which a successor
/// waits for as far as it cannot ask the predecessor.
#pragma once

#include <cstdint>

#include "ebonypin/core/ids.h"
#include "ebonypin/core/time.h"

namespace ebonypin::core::fleet {

struct LeadershipOptions {
  /// Membership ends when nothing was sent for this long; the store allows 1 s or more, and its own
  /// least counts when that is longer. Bounds the takeover from an entry that died or that the
  /// store turns away, in which nothing is accepted or started.
  Duration m_ttl = std::chrono::milliseconds{1100};
  /// Between two joins: three fit into the membership's time limit.
  Duration m_join_interval = std::chrono::milliseconds{300};
  /// For how long a coordinator acts after its last confirmation by the store.
  Duration m_authority = std::chrono::seconds{10};
};

enum class LeadershipStage : std::uint8_t { kFollower, kClaiming, kActive };

struct Leadership {
  LeadershipOptions m_options;
  LeadershipStage m_stage = LeadershipStage::kFollower;
  Epoch m_epoch = 0;        ///< Own one while claiming or active.
  bool m_released = false;  ///< The partition was not held at the last join.
  Time m_confirmed;         ///< Sending time of the last call that confirmed the office.
};

enum class LeadershipStep : std::uint8_t {
  kNone,
  kClaim,
  kRelease,  ///< Join again at once, which releases the partition.
  kKeep,     ///< Join on with the former generation, which does not release the partition.
};

/// Takes the answer to a join that was sent at `sent`. A coordinator in office does not release the
/// partition when the group deals it to another member, such as an entry that came back: a change
/// of coordinator costs up to half a second. When the partition was moved all the same, it stays in
/// office until its successor's epoch is known. One whose authority has ended releases the
/// partition, since it could serve nobody.
[[nodiscard]] LeadershipStep OnJoined(Leadership& state, Time sent, bool holds_partition) noexcept;

/// Takes the news that an entry with a larger epoch exists. Returns whether the office ends by it.
[[nodiscard]] bool IsSupersededBy(const Leadership& state, Epoch epoch) noexcept;

/// Returns whether orders and grants may be given.
[[nodiscard]] bool MayAct(const Leadership& state, Time now) noexcept;

}  // namespace ebonypin::core::fleet
