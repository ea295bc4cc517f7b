#include "ebonypin/core/entry_members.h"

#include <algorithm>
#include <string>

namespace ebonypin::core {
namespace {

/// Returns whether the owner of `shard` may still be live, according to this view.
bool OwnerMayLive(const EntryMembers& members, const ShardState& shard, const Time now) {
  const auto peer = members.m_peers.find(shard.m_owner);
  // While this view is younger than 4 s, a live owner may not have been heard yet.
  if (peer == members.m_peers.end()) return now < members.m_since + kEntryTimeout;
  const EntryMember& owner = peer->second;
  if (owner.m_info.m_incarnation > shard.m_owner_incarnation) return false;
  return now < std::max(owner.m_last_heard, members.m_since) + kEntryTimeout;
}

}  // namespace

EntryMembers MakeEntryMembers(EntryInfo self, const Time now) {
  return {.m_self = std::move(self), .m_since = now};
}

void OnEntryHeard(EntryMembers& members, const EntryInfo& entry, const Time now) {
  if (entry.m_entry == members.m_self.m_entry) return;
  EntryMember& member = members.m_peers[entry.m_entry];
  if (entry.m_incarnation < member.m_info.m_incarnation) return;
  member.m_info = entry;
  member.m_last_heard = now;
}

void OnEntryMentioned(EntryMembers& members, const EntryInfo& entry, const bool replayed,
                      const Time now) {
  if (entry.m_entry == members.m_self.m_entry) return;
  EntryMember& member = members.m_peers[entry.m_entry];
  if (entry.m_incarnation < member.m_info.m_incarnation) return;
  if (entry.m_incarnation > member.m_info.m_incarnation) {
    member.m_info = entry;
    member.m_last_heard = replayed ? now - kEntryTimeout : now;
  } else if (entry.m_leaving) {
    member.m_info.m_leaving = true;
  }
}

void RemoveSilentEntries(EntryMembers& members, const Time now) {
  std::erase_if(members.m_peers, [now](const auto& peer) {
    return now - peer.second.m_last_heard > kEntryRetention;
  });
}

bool IsLive(const EntryMembers& members, const EntryId& entry, const Time now) {
  if (entry == members.m_self.m_entry) return true;
  const auto peer = members.m_peers.find(entry);
  return peer != members.m_peers.end() && now < peer->second.m_last_heard + kEntryTimeout;
}

std::vector<EntryInfo> LiveEntries(const EntryMembers& members, const Time now) {
  std::vector<EntryInfo> live;
  if (!members.m_self.m_leaving) live.push_back(members.m_self);
  for (const auto& [id, peer] : members.m_peers)
    if (!peer.m_info.m_leaving && IsLive(members, id, now)) live.push_back(peer.m_info);
  std::sort(live.begin(), live.end(),
            [](const EntryInfo& a, const EntryInfo& b) { return a.m_entry < b.m_entry; });
  return live;
}

std::vector<EntryInfo> KnownPeers(const EntryMembers& members) {
  std::vector<EntryInfo> known;
  for (const auto& [id, peer] : members.m_peers) known.push_back(peer.m_info);
  return known;
}

std::uint64_t RendezvousWeight(const std::string_view key, const EntryId& candidate) {
  return StableHash(std::string(key) + '\n' + candidate.m_value);
}

std::vector<EntryInfo> HomeEntries(const AgentId& agent, const std::span<const EntryInfo> entries) {
  std::vector<EntryInfo> homes(entries.begin(), entries.end());
  std::sort(homes.begin(), homes.end(), [&agent](const EntryInfo& a, const EntryInfo& b) {
    return RendezvousWeight(agent.m_value, a.m_entry) > RendezvousWeight(agent.m_value, b.m_entry);
  });
  if (homes.size() > kHomeEntries) homes.resize(kHomeEntries);
  return homes;
}

EntryId PreferredOwner(const ShardIndex shard, const std::span<const EntryInfo> live) {
  const std::string key = "shard " + std::to_string(shard);
  const auto best =
      std::max_element(live.begin(), live.end(), [&key](const EntryInfo& a, const EntryInfo& b) {
        return RendezvousWeight(key, a.m_entry) < RendezvousWeight(key, b.m_entry);
      });
  return best == live.end() ? EntryId{} : best->m_entry;
}

ShardPlan PlanShards(const EntryMembers& members, const JobTable& table, const Time now) {
  ShardPlan plan;
  const std::vector<EntryInfo> live = LiveEntries(members, now);
  const EntryInfo& self = members.m_self;
  for (ShardIndex i = 0; i < kShardCount; ++i) {
    const ShardState& shard = table.m_shards[i];
    const EntryId preferred = PreferredOwner(i, live);
    const bool owned =
        shard.m_owner == self.m_entry && shard.m_owner_incarnation == self.m_incarnation;
    if (owned) {
      if (!preferred.IsEmpty() && preferred != self.m_entry) plan.m_release.push_back(i);
    } else if (preferred == self.m_entry) {
      const bool own_past =
          shard.m_owner == self.m_entry && shard.m_owner_incarnation < self.m_incarnation;
      if (shard.m_owner.IsEmpty() || own_past || !OwnerMayLive(members, shard, now))
        plan.m_claim.push_back(i);
    }
  }
  return plan;
}

}  // namespace ebonypin::core
