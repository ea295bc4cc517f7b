/// Which entries of the region live, and which shards and agents fall to each of them.
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

/// An entry that is silent for this long is taken for dead and its shards are claimed.
inline constexpr Duration kEntryTimeout = std::chrono::seconds{4};

/// Agents send heartbeats to at most this many entries.
inline constexpr std::size_t kHomeEntries = 3;

/// Entries that were silent this long are forgotten, unless the log names them again.
inline constexpr Duration kEntryRetention = std::chrono::minutes{10};

struct EntryMember {
  EntryInfo m_info;
  Time m_last_heard;
};

/// View of one entry of its peers.
struct EntryMembers {
  EntryInfo m_self;
  Time m_since;  ///< When this view began. Unheard owners count as silent 4 s after it.
  std::map<EntryId, EntryMember> m_peers;
};

/// What `self` should do about shards now.
struct ShardPlan {
  std::vector<ShardIndex> m_claim;
  std::vector<ShardIndex> m_release;
};

[[nodiscard]] EntryMembers MakeEntryMembers(EntryInfo self, Time now);

/// A heartbeat, or a reply to one, came from the entry itself. An older incarnation than the known
/// one is ignored.
void OnEntryHeard(EntryMembers& members, const EntryInfo& entry, Time now);

/// A third party named the entry: a heartbeat of an agent or a peer, or EntryAlive in the log. That
/// tells its address, and makes a new entry or incarnation count as live until it is silent for 4
/// s; it does not extend the life of a known one. Records that are older than the view are passed
/// with `replayed` and count as silent until heard.
void OnEntryMentioned(EntryMembers& members, const EntryInfo& entry, bool replayed, Time now);

/// Forgets entries that have been silent for long.
void RemoveSilentEntries(EntryMembers& members, Time now);

/// Returns whether `entry` was heard within the last 4 s. Always true of `self`.
[[nodiscard]] bool IsLive(const EntryMembers& members, const EntryId& entry, Time now);

/// Returns the live entries with `self`, without leaving ones, in the order of their ids.
[[nodiscard]] std::vector<EntryInfo> LiveEntries(const EntryMembers& members, Time now);

/// Returns known peers, live or not, for the heartbeats that look for them.
[[nodiscard]] std::vector<EntryInfo> KnownPeers(const EntryMembers& members);

/// Rendezvous weight of `candidate` for `key`; the largest wins.
[[nodiscard]] std::uint64_t RendezvousWeight(std::string_view key, const EntryId& candidate);

/// Returns at most kHomeEntries of `entries` to which `agent` sends heartbeats, best first.
[[nodiscard]] std::vector<EntryInfo> HomeEntries(const AgentId& agent,
                                                 std::span<const EntryInfo> entries);

/// Returns the entry of `live` to which `shard` belongs, or an empty id when there is none.
[[nodiscard]] EntryId PreferredOwner(ShardIndex shard, std::span<const EntryInfo> live);

/// Returns which shards `self` should claim: those that rendezvous hashing gives it and that are
/// free or whose owner was silent for 4 s, or had an earlier incarnation of `self`. Returns which
/// to release: those that hashing gives to another live entry, and all when `self` is leaving and
/// another entry lives. The caller must have read the log to its end.
[[nodiscard]] ShardPlan PlanShards(const EntryMembers& members, const JobTable& table, Time now);

}  // namespace ebonypin::core
