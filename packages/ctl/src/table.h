/// Human-readable text output.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "ebonypin/core/error.h"

namespace ebonypin::ctl {

/// Returns `rows` as left-aligned columns, separated by two spaces. The first row is the heading.
/// Control characters in cells are replaced by '?', so that untrusted text cannot control the
/// terminal.
[[nodiscard]] std::string FormatTable(const std::vector<std::vector<std::string>>& rows);

/// Returns `text` with control characters other than line feed and tab replaced by '?'.
[[nodiscard]] std::string Printable(std::string text);

/// Returns `wall_ms`, in milliseconds since the Unix epoch, as UTC time such as
/// "2026-01-02 03:04:05Z".
[[nodiscard]] std::string FormatWallTime(std::int64_t wall_ms);

/// Returns what an operator or caller can do about an error of kind `kind`.
[[nodiscard]] std::string Remedy(core::ErrorKind kind);

}  // namespace ebonypin::ctl
