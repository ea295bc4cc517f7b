/// Entries that an agent knows and the ones to which it sends heartbeats.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "ebonypin/core/entry_members.h"

namespace ebonypin::daemon {

/// Entries that no reply has named for this long are forgotten. Entries drop a silent peer after
/// 4 s, so a dead one stays in no book for long.
inline constexpr core::Duration kEntryUnnamed = std::chrono::seconds{10};

struct EntryBook {
  core::AgentId m_agent;
  std::vector<std::string> m_seeds;  ///< RPC addresses of the balancer or of entries.
  std::map<core::EntryId, core::EntryMember> m_entries;
  std::size_t m_next = 0;  ///< For taking turns.
};

/// Notes the entries that a heartbeat reply names.
void NoteEntries(EntryBook& book, const std::vector<core::EntryInfo>& entries, core::Time now);

/// Returns the home entries, at most 3, best first.
[[nodiscard]] std::vector<core::EntryInfo> HomesOf(const EntryBook& book);

/// Returns the addresses for the next heartbeat: those of the home entries, or seeds while no entry
/// is known.
[[nodiscard]] std::vector<std::string> HeartbeatTargets(const EntryBook& book);

/// Returns the address of some entry, another one each time, or nothing when none is known.
[[nodiscard]] std::string AnyEntry(EntryBook& book);

}  // namespace ebonypin::daemon
