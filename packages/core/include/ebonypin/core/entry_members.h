/// Membership of the entries of a region, and the assignment of shards and agents to them.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string_view>
#include <vector>

#include "ebonypin/core/job_table.h"
#include "ebonypin/core/messages.h"
#include "ebonypin/core/time.h"

namespace ebonypin::core {

/// Time without a message after which an entry counts as failed and its shards are claimed.
inline constexpr Duration kEntryTimeout = std::chrono::seconds{4};

/// Agents send heartbeats to at most this many entries.
inline constexpr std::size_t kHomeEntries = 3;

/// Time without a message after which an entry is removed from the view. It is added again when the
/// log mentions it.
inline constexpr Duration kEntryRetention = std::chrono::minutes{10};

struct EntryMember {
  EntryInfo m_info;
  Time m_last_heard;
};

/// An entry's view of its peers.
struct EntryMembers {
  EntryInfo m_self;
  Time m_since;  ///< Start of this view. An owner that was never heard counts as failed 4 s later.
  std::map<EntryId, EntryMember> m_peers;
};

/// Shards that `self` should claim and release now.
struct ShardPlan {
  std::vector<ShardIndex> m_claim;
  std::vector<ShardIndex> m_release;
};

[[nodiscard]] EntryMembers MakeEntryMembers(EntryInfo self, Time now);

/// Handles a heartbeat, or a reply to one, from the entry itself. An incarnation older than the
/// known one is ignored.
void OnEntryHeard(EntryMembers& members, const EntryInfo& entry, Time now);

/// Handles a mention of the entry by a third party: in a heartbeat of an agent or a peer, or in an
/// EntryAlive record of the log. The mention gives the entry's address. A new entry or incarnation
/// counts as live until it has been silent for 4 s; a mention does not extend the time for which
/// a known one counts as live. An entry in a record that is older than the view is passed with
/// `replayed` and does not count as live until it is heard.
void OnEntryMentioned(EntryMembers& members, const EntryInfo& entry, bool replayed, Time now);

/// Removes the entries that have been silent for longer than kEntryRetention.
void RemoveSilentEntries(EntryMembers& members, Time now);

/// Returns whether `entry` was heard within the last 4 s. Always true for `self`.
[[nodiscard]] bool IsLive(const EntryMembers& members, const EntryId& entry, Time now);

/// Returns the live entries, including `self`, that are not leaving, ordered by id.
[[nodiscard]] std::vector<EntryInfo> LiveEntries(const EntryMembers& members, Time now);

/// Returns all known peers, live or not. Heartbeats are sent to each of them.
[[nodiscard]] std::vector<EntryInfo> KnownPeers(const EntryMembers& members);

/// Returns the rendezvous weight of `candidate` for `key`. The candidate with the largest weight is
/// chosen.
[[nodiscard]] std::uint64_t RendezvousWeight(std::string_view key, const EntryId& candidate);

/// Returns the entries to which `agent` sends heartbeats: the at most kHomeEntries of `entries`
/// with the largest rendezvous weights, largest first.
[[nodiscard]] std::vector<EntryInfo> HomeEntries(const AgentId& agent,
                                                 std::span<const EntryInfo> entries);

/// Returns the entry of `live` that should own `shard`, or an empty id when `live` is empty.
[[nodiscard]] EntryId PreferredOwner(ShardIndex shard, std::span<const EntryInfo> live);

/// Returns the shards that `self` should claim and release. It claims shards that rendezvous
/// hashing assigns to it and that have no owner, whose owner was silent for 4 s, or that an earlier
/// incarnation of `self` owned. It releases shards that hashing assigns to another live entry, and
/// all shards when `self` is leaving and another entry is live. The caller must have read the log
/// to its end.
[[nodiscard]] ShardPlan PlanShards(const EntryMembers& members, const JobTable& table, Time now);

}  // namespace ebonypin::core
