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

// Longer lines are rejected. inih's default of 200 bytes is too short for a list of seeds.
constexpr int kMaxLineLength = 4096;

// Key inserted after each section header, because Debian's build of inih does not report sections
// that have no keys.
constexpr const char* kSectionMarkerKey = "\x01";
constexpr const char* kSectionMarkerLine = "\x01 = 1\n";

struct ReaderState {
  std::istringstream m_lines;
  IniFile m_ini;
  bool m_insert_marker = false;
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

/// Copies the next line into `buffer` for inih, with the semantics of fgets.
char* NextLine(char* buffer, const int size, void* stream) {
  auto& state = *static_cast<ReaderState*>(stream);
  if (state.m_insert_marker) {
    state.m_insert_marker = false;
    std::strcpy(buffer, kSectionMarkerLine);
    return buffer;
  }
  std::string line;
  if (!std::getline(state.m_lines, line)) return nullptr;
  ++state.m_ini.m_lines;
  if (line.size() + 2 > static_cast<std::size_t>(size) || line.find('\0') != std::string::npos) {
    state.m_fault = fmt::format("line is longer than {} bytes or holds a zero byte; shorten it",
                                kMaxLineLength - 2);
    line = "!";  // Neither a section nor a key, so inih stops at this line.
  }
  const auto first = line.find_first_not_of(" \t\r");
  state.m_insert_marker = first != std::string::npos && line[first] == '[';
  line += '\n';
  std::memcpy(buffer, line.c_str(), line.size() + 1);
  return buffer;
}

int StopWithFault(ReaderState& state, std::string fault) {
  state.m_fault = std::move(fault);
  return 0;
}

int HandleKey(void* user, const char* section, const char* name, const char* value) {
  auto& state = *static_cast<ReaderState*>(user);
  auto& sections = state.m_ini.m_sections;
  const int line = state.m_ini.m_lines;
  if (std::string_view{name} == kSectionMarkerKey) {
    const auto same = std::find_if(sections.begin(), sections.end(),
                                   [&](const IniSection& s) { return s.m_name == section; });
    if (same != sections.end()) {
      return StopWithFault(state, fmt::format("section [{}] appears again; merge it with line {}",
                                              section, same->m_line));
    }
    sections.push_back({.m_name = section, .m_line = line, .m_keys = {}});
    return 1;
  }
  if (sections.empty())
    return StopWithFault(state,
                         fmt::format("key '{}' is outside a section; add a [section]", name));
  auto& keys = sections.back().m_keys;
  const auto same =
      std::find_if(keys.begin(), keys.end(), [&](const IniKey& key) { return key.m_name == name; });
  if (same != keys.end()) {
    return StopWithFault(state, fmt::format("key '{}' is set again; remove it here or on line {}",
                                            name, same->m_line));
  }
  keys.push_back({.m_name = name, .m_value = value, .m_line = line});
  return 1;
}

}  // namespace

core::Result<IniFile> ReadIni(const std::string& text, const std::string& file) {
  ConfigureInih();
  ReaderState state{.m_lines = std::istringstream{text}};
  if (ini_parse_stream(NextLine, &state, HandleKey, &state) != 0) {
    const auto fault = state.m_fault.empty()
                           ? "line cannot be read; write 'key = value' under a [section]"
                           : state.m_fault;
    return core::Fail(BadSetting({FormatLocated(file, state.m_ini.m_lines, fault)}));
  }
  state.m_ini.m_lines = std::max(state.m_ini.m_lines, 1);
  return std::move(state.m_ini);
}

core::Result<std::string> ReadText(const std::string& path) {
  std::ifstream stream(path);
  std::error_code error;
  if (!stream || std::filesystem::is_directory(path, error)) {
    return core::Fail(BadSetting({path + ": cannot be read; check the path and its permissions"}));
  }
  return std::string{std::istreambuf_iterator<char>{stream}, {}};
}

std::string FormatLocated(const std::string& file, const int line, const std::string& message) {
  return fmt::format("{}:{}: {}", file, line, message);
}

core::Error BadSetting(const std::vector<std::string>& faults) {
  return {.m_kind = core::ErrorKind::kBadSetting,
          .m_message = fmt::format("{}", fmt::join(faults, "\n"))};
}

}  // namespace ebonypin::config
