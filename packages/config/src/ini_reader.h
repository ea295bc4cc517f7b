/// INI text as sections and keys with their line numbers, read by inih.
#pragma once

#include <string>
#include <vector>

#include "ebonypin/core/error.h"

namespace ebonypin::config {

struct IniKey {
  std::string m_name;
  std::string m_value;
  int m_line = 0;
};

struct IniSection {
  std::string m_name;
  int m_line = 0;
  std::vector<IniKey> m_keys;
};

struct IniFile {
  std::vector<IniSection> m_sections;
  int m_lines = 0;  ///< Number of lines in the file, at least 1.
};

/// Returns the sections of `text` in order. `file` is used in messages only. Fails with kBadSetting
/// at the first line that is not a section, key or comment, and at a repeated section or key.
[[nodiscard]] core::Result<IniFile> ReadIni(const std::string& text, const std::string& file);

/// Returns the whole file at `path`. Fails with kBadSetting when it cannot be read.
[[nodiscard]] core::Result<std::string> ReadText(const std::string& path);

/// Returns "file:line: message", the form of every message about a file.
[[nodiscard]] std::string FormatLocated(const std::string& file, int line,
                                        const std::string& message);

/// Returns a kBadSetting error with one line for each of `faults`.
[[nodiscard]] core::Error BadSetting(const std::vector<std::string>& faults);

}  // namespace ebonypin::config
