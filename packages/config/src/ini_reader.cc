#include "ini_reader.h"

#include <fmt/format.h>
#include <ini.h>

#include <algorithm>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <mutex>
#include <sstream>
#include <string_view>

namespace ebonypin::config {
namespace {

// Longer lines are refused. inih's default of 200 is too short for a list of seeds.
constexpr int kMaxLineLength = 4096;

// Key inserted after each section header, because Debian's inih reports no section without keys.
constexpr const char* kSectionMark = "\x01";
constexpr const char* kSectionMarkLine = "\x01 = 1\n";

struct Reader {
  std::istringstream m_lines;
  IniFile m_ini;
  bool m_mark_section = false;
  std::string m_fault;
};

void ConfigureInih() {
  static std::once_flag once;
  std::call_once(once, [] {
    ini_use_stack = false;
    ini_initial_alloc = kMaxLineLength;
    ini_max_line = kMaxLineLength;
    ini_allow_multiline = false;
    ini_stop_on_first_error = true;
  });
}

/// Hands inih one line, with fgets semantics.
char* NextLine(char* buffer, const int size, void* stream) {
  auto& reader = *static_cast<Reader*>(stream);
  if (reader.m_mark_section) {
    reader.m_mark_section = false;
    std::strcpy(buffer, kSectionMarkLine);
    return buffer;
  }
  std::string line;
  if (!std::getline(reader.m_lines, line)) return nullptr;
  ++reader.m_ini.m_lines;
  if (line.size() + 2 > static_cast<std::size_t>(size) || line.find('\0') != std::string::npos) {
    reader.m_fault = fmt::format("line is longer than {} bytes or holds a zero byte; shorten it",
                                 kMaxLineLength - 2);
    line = "!";  // Neither section nor key, which makes inih stop here.
  }
  const auto first = line.find_first_not_of(" \t\r");
  reader.m_mark_section = first != std::string::npos && line[first] == '[';
  line += '\n';
  std::memcpy(buffer, line.c_str(), line.size() + 1);
  return buffer;
}

int Refuse(Reader& reader, std::string fault) {
  reader.m_fault = std::move(fault);
  return 0;
}

int HandleKey(void* user, const char* section, const char* name, const char* value) {
  auto& reader = *static_cast<Reader*>(user);
  auto& sections = reader.m_ini.m_sections;
  const int line = reader.m_ini.m_lines;
  if (std::string_view{name} == kSectionMark) {
    const auto same = std::find_if(sections.begin(), sections.end(),
                                   [&](const IniSection& s) { return s.m_name == section; });
    if (same != sections.end()) {
      return Refuse(reader, fmt::format("section [{}] appears again; merge it with line {}",
                                        section, same->m_line));
    }
    sections.push_back({.m_name = section, .m_line = line, .m_keys = {}});
    return 1;
  }
  if (sections.empty())
    return Refuse(reader, fmt::format("key '{}' is outside a section; add a [section]", name));
  auto& keys = sections.back().m_keys;
  const auto same =
      std::find_if(keys.begin(), keys.end(), [&](const IniKey& key) { return key.m_name == name; });
  if (same != keys.end()) {
    return Refuse(reader, fmt::format("key '{}' is set again; remove it here or on line {}", name,
                                      same->m_line));
  }
  keys.push_back({.m_name = name, .m_value = value, .m_line = line});
  return 1;
}

}  // namespace

core::Result<IniFile> ReadIni(const std::string& text, const std::string& file) {
  ConfigureInih();
  Reader reader{.m_lines = std::istringstream{text}};
  if (ini_parse_stream(NextLine, &reader, HandleKey, &reader) != 0) {
    const auto fault = reader.m_fault.empty()
                           ? "line cannot be read; write 'key = value' under a [section]"
                           : reader.m_fault;
    return core::Fail(BadSetting({At(file, reader.m_ini.m_lines, fault)}));
  }
  reader.m_ini.m_lines = std::max(reader.m_ini.m_lines, 1);
  return std::move(reader.m_ini);
}

core::Result<std::string> ReadText(const std::string& path) {
  std::ifstream stream(path);
  std::error_code error;
  if (!stream || std::filesystem::is_directory(path, error)) {
    return core::Fail(BadSetting({path + ": cannot be read; check the path and its permissions"}));
  }
  return std::string{std::istreambuf_iterator<char>{stream}, {}};
}

std::string At(const std::string& file, const int line, const std::string& message) {
  return fmt::format("{}:{}: {}", file, line, message);
}

core::Error BadSetting(const std::vector<std::string>& faults) {
  return {.m_kind = core::ErrorKind::kBadSetting,
          .m_message = fmt::format("{}", fmt::join(faults, "\n"))};
}

}  // namespace ebonypin::config
