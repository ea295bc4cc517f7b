/// Table of all settings, from which parsing, validation, command-line flags and docs/settings.md
/// are derived.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "ebonypin/config/settings.h"

namespace ebonypin::config {

/// Set of roles for which a key is required, as bits in the order of RoleChoices. kEntry and kAgent
/// schedule classes of work; kFleetEntry and kFleetAgent run jobs of steps.
enum class RequiredBy : std::uint8_t {
  kNoRole = 0,
  kEntry = 1,
  kAgent = 2,
  kFleetEntry = 4,
  kFleetAgent = 8,
  kBothEntries = kEntry | kFleetEntry,
  kBothAgents = kAgent | kFleetAgent,
  kFleet = kFleetEntry | kFleetAgent,
  kAllRoles = 15
};

/// Parses and stores a value. Returns false when it has the wrong format or is out of range.
using SettingSetter = std::function<bool(Settings&, const std::string&)>;

struct SettingKey {
  std::string m_section;
  std::string m_key;
  RequiredBy m_required = RequiredBy::kNoRole;
  std::string m_default;  ///< As written in a file; empty when the key has no default.
  std::string m_format;   ///< Accepted values, worded to follow "write ..." in a message.
  std::string m_example;
  std::string m_meaning;
  SettingSetter m_set;
};

/// Returns every key, in the order of docs/settings.md.
[[nodiscard]] const std::vector<SettingKey>& SettingKeys();

/// Returns "<section>_<key>", the name of the flag that overrides `key`.
[[nodiscard]] std::string FlagName(const SettingKey& key);

/// Returns the names of all roles.
[[nodiscard]] const std::vector<std::string>& RoleChoices();

/// Returns whether a process of `role` needs `key`.
[[nodiscard]] bool IsRequired(const SettingKey& key, const std::string& role) noexcept;

}  // namespace ebonypin::config
