#include <gflags/gflags.h>

#include <deque>

#include "ebonypin/config/settings.h"
#include "setting_keys.h"

namespace ebonypin::config {
namespace {

/// Storage of one flag. gflags keeps pointers into it for the life of the process.
struct Flag {
  std::string m_name;
  std::string m_help;
  std::string m_value;
  std::string m_default;
};

}  // namespace

void DefineSettingFlags() {
  static std::deque<Flag> flags;
  if (!flags.empty()) return;
  for (const auto& key : SettingKeys()) {
    auto& flag = flags.emplace_back(Flag{.m_name = FlagName(key),
                                         .m_help = key.m_meaning + " Overrides " + key.m_key +
                                                   " of [" + key.m_section + "]: " + key.m_format,
                                         .m_value = "",
                                         .m_default = ""});
    const gflags::FlagRegisterer registerer(flag.m_name.c_str(), flag.m_help.c_str(), "settings",
                                            &flag.m_value, &flag.m_default);
  }
}

std::vector<SettingOverride> SettingsFromFlags() {
  std::vector<SettingOverride> overrides;
  for (const auto& key : SettingKeys()) {
    const auto flag = FlagName(key);
    gflags::CommandLineFlagInfo info;
    if (gflags::GetCommandLineFlagInfo(flag.c_str(), &info) && !info.is_default)
      overrides.push_back({.m_flag = flag, .m_value = info.current_value});
  }
  return overrides;
}

}  // namespace ebonypin::config
