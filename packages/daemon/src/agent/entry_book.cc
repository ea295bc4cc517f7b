#include "entry_book.h"

#include <algorithm>

namespace ebonypin::daemon {

void UpdateEntries(EntryBook& book, const std::vector<core::EntryInfo>& entries,
                   const core::Time now) {
  for (const auto& entry : entries) {
    auto& known = book.m_entries[entry.m_entry];
    if (entry.m_incarnation < known.m_info.m_incarnation) continue;
    known = {.m_info = entry, .m_last_heard = now};
  }
  std::erase_if(book.m_entries,
                [now](const auto& item) { return now - item.second.m_last_heard > kEntryExpiry; });
}

std::vector<core::EntryInfo> HomesOf(const EntryBook& book) {
  std::vector<core::EntryInfo> entries;
  for (const auto& [id, member] : book.m_entries)
    if (!member.m_info.m_leaving) entries.push_back(member.m_info);
  return core::HomeEntries(book.m_agent, entries);
}

std::vector<std::string> HeartbeatTargets(const EntryBook& book) {
  std::vector<std::string> targets;
  for (const auto& entry : HomesOf(book)) targets.push_back(entry.m_rpc_address);
  if (targets.empty()) {
    const auto count = std::min(book.m_seeds.size(), core::kHomeEntries);
    targets.assign(book.m_seeds.begin(), book.m_seeds.begin() + static_cast<std::ptrdiff_t>(count));
  }
  return targets;
}

std::string NextEntry(EntryBook& book) {
  const auto targets = HeartbeatTargets(book);
  return targets.empty() ? std::string{} : targets[book.m_next++ % targets.size()];
}

}  // namespace ebonypin::daemon
