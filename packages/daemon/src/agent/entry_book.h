/// Entries that an agent knows and the ones to which it sends heartbeats.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "ebonypin/core/entry_members.h"

namespace ebonypin::daemon {

/// An entry that no heartbeat reply has listed for this long is removed. Entries drop a silent peer
/// from their replies after 4 s, so a dead entry does not stay known to agents for long.
inline constexpr core::Duration kEntryExpiry = std::chrono::seconds{10};

/// Entries known to an agent.
struct EntryBook {
  core::AgentId m_agent;
  std::vector<std::string> m_seeds;  ///< RPC addresses of the load balancer or of entries.
  std::map<core::EntryId, core::EntryMember> m_entries;
  std::size_t m_next = 0;  ///< Round-robin position of NextEntry.
};

/// Adds or refreshes the entries that a heartbeat reply lists, and removes expired ones.
void UpdateEntries(EntryBook& book, const std::vector<core::EntryInfo>& entries, core::Time now);

/// Returns the home entries of the agent, at most 3, best first. Leaving entries are excluded.
[[nodiscard]] std::vector<core::EntryInfo> HomesOf(const EntryBook& book);

/// Returns the addresses for the next heartbeat: the home entries, or seeds while no entry is
/// known.
[[nodiscard]] std::vector<std::string> HeartbeatTargets(const EntryBook& book);

/// Returns the address of the next heartbeat target in turn, or an empty string when there is no
/// target.
[[nodiscard]] std::string NextEntry(EntryBook& book);

}  // namespace ebonypin::daemon
