#include "ebonypin/config/settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

#include "ini_reader.h"
#include "setting_keys.h"

namespace ebonypin::config {
namespace {

bool IsKnownSection(const std::string& section) {
  const auto& keys = SettingKeys();
  return std::any_of(keys.begin(), keys.end(),
                     [&](const SettingKey& key) { return key.m_section == section; });
}

std::string SectionList() {
  std::vector<std::string> sections;
  for (const auto& key : SettingKeys()) {
    if (sections.empty() || sections.back() != "[" + key.m_section + "]")
      sections.push_back("[" + key.m_section + "]");
  }
  return fmt::format("{}", fmt::join(sections, ", "));
}

std::string KeyList(const std::string& section) {
  std::vector<std::string> names;
  for (const auto& key : SettingKeys()) {
    if (key.m_section == section) names.push_back(key.m_key);
  }
  return fmt::format("{}", fmt::join(names, ", "));
}

const SettingKey* FindKey(const std::string& section, const std::string& name) {
  const auto& keys = SettingKeys();
  const auto found = std::find_if(keys.begin(), keys.end(), [&](const SettingKey& key) {
    return key.m_section == section && key.m_key == name;
  });
  return found == keys.end() ? nullptr : &*found;
}

const SettingKey* FindFlag(const std::string& flag) {
  const auto& keys = SettingKeys();
  const auto found = std::find_if(keys.begin(), keys.end(),
                                  [&](const SettingKey& key) { return FlagName(key) == flag; });
  return found == keys.end() ? nullptr : &*found;
}

/// Settings read so far, the keys that were set and the faults that were found.
struct ParseState {
  Settings m_settings;
  std::set<const SettingKey*> m_set;
  std::vector<std::string> m_faults;
};

void ReadSection(const IniSection& section, const std::string& file, ParseState& state) {
  if (!IsKnownSection(section.m_name)) {
    state.m_faults.push_back(FormatLocated(
        file, section.m_line,
        fmt::format("unknown section [{}]; use one of {}", section.m_name, SectionList())));
    return;
  }
  for (const auto& entry : section.m_keys) {
    const auto* const key = FindKey(section.m_name, entry.m_name);
    if (key == nullptr) {
      state.m_faults.push_back(
          FormatLocated(file, entry.m_line,
                        fmt::format("unknown key '{}' in [{}]; use one of {}", entry.m_name,
                                    section.m_name, KeyList(section.m_name))));
      continue;
    }
    state.m_set.insert(key);
    if (!key->m_set(state.m_settings, entry.m_value)) {
      state.m_faults.push_back(
          FormatLocated(file, entry.m_line,
                        fmt::format("{} = '{}' is refused; write {}", entry.m_name, entry.m_value,
                                    key->m_format)));
    }
  }
}

void ApplyOverrides(const std::vector<SettingOverride>& overrides, ParseState& state) {
  for (const auto& override : overrides) {
    const auto* const key = FindFlag(override.m_flag);
    if (key == nullptr) {
      state.m_faults.push_back(
          fmt::format("--{}: unknown flag; see docs/settings.md", override.m_flag));
      continue;
    }
    state.m_set.insert(key);
    if (!key->m_set(state.m_settings, override.m_value)) {
      state.m_faults.push_back(fmt::format("--{}: '{}' is refused; write {}", override.m_flag,
                                           override.m_value, key->m_format));
    }
  }
}

/// Reports each required key that is not set, at the line of its section, or at the last line of
/// the file when the section is missing.
void CheckRequired(const IniFile& ini, const std::string& file, ParseState& state) {
  const auto& role = state.m_settings.m_role;
  for (const auto& key : SettingKeys()) {
    if (!IsRequired(key, role) || state.m_set.contains(&key)) continue;
    const auto section =
        std::find_if(ini.m_sections.begin(), ini.m_sections.end(),
                     [&](const IniSection& s) { return s.m_name == key.m_section; });
    const int line = section == ini.m_sections.end() ? ini.m_lines : section->m_line;
    state.m_faults.push_back(FormatLocated(
        file, line,
        fmt::format("key '{}' of [{}] is missing{}; add '{} = {}' or pass --{}", key.m_key,
                    key.m_section,
                    key.m_required == RequiredBy::kAllRoles ? "" : ", role " + role + " needs it",
                    key.m_key, key.m_example, FlagName(key))));
  }
}

}  // namespace

core::Result<Settings> ParseSettings(const std::string& text, const std::string& file,
                                     const std::vector<SettingOverride>& overrides) {
  BOOST_LEAF_AUTO(ini, ReadIni(text, file));
  ParseState state;
  for (const auto& section : ini.m_sections) ReadSection(section, file, state);
  ApplyOverrides(overrides, state);
  CheckRequired(ini, file, state);
  if (!state.m_faults.empty()) return core::Fail(BadSetting(state.m_faults));
  return std::move(state.m_settings);
}

core::Result<Settings> LoadSettings(const std::string& path,
                                    const std::vector<SettingOverride>& overrides) {
  if (path.empty()) {
    if (!overrides.empty()) return ParseSettings("", "command line", overrides);
    return core::Fail(BadSetting(
        {"no settings; pass --settings=FILE, see examples/entry.ini and docs/settings.md"}));
  }
  BOOST_LEAF_AUTO(text, ReadText(path));
  return ParseSettings(text, path, overrides);
}

namespace {

std::string RequiredText(const SettingKey& key) {
  std::vector<std::string> roles;
  for (const auto& role : RoleChoices()) {
    if (IsRequired(key, role)) roles.push_back(role);
  }
  if (roles.empty()) return "no";
  if (roles.size() == RoleChoices().size()) return "yes";
  return fmt::format("{}", fmt::join(roles, ", "));
}

}  // namespace

std::string SettingsReference() {
  std::string table =
      "| key | flag | required | default | value | meaning |\n|---|---|---|---|---|---|\n";
  for (const auto& key : SettingKeys()) {
    const auto required = RequiredText(key);
    table +=
        fmt::format("| `[{}] {}` | `--{}` | {} | {} | {} | {} |\n", key.m_section, key.m_key,
                    FlagName(key), required, key.m_default.empty() ? "" : "`" + key.m_default + "`",
                    key.m_format, key.m_meaning);
  }
  return table;
}

}  // namespace ebonypin::config
