/// Values with units, as written in settings and class files.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "ebonypin/core/time.h"

namespace ebonypin::config {

/// Descriptions of the accepted formats, for messages about values that cannot be read.
inline constexpr std::string_view kDurationFormat =
    "a whole number with a unit (us, ms, s, min, h), such as 200ms or 2s";
inline constexpr std::string_view kMemoryFormat =
    "a whole number with a unit (MB, GB), such as 64MB or 60GB";
inline constexpr std::string_view kRateFormat =
    "a number with a unit (/s, /min, /h), such as 20/s or 300/min";
inline constexpr std::string_view kAddressFormat = "ip:port, such as 127.0.0.1:7101";
inline constexpr std::string_view kUrlFormat = "http://ip:port, such as http://127.0.0.1:7400";
inline constexpr std::string_view kNameFormat = "1 to 64 letters, digits, '.', '_' or '-'";

/// Returns the duration written as `text`, such as "200ms", or nothing when the text has the wrong
/// format, has no unit, has a sign, or overflows.
[[nodiscard]] std::optional<core::Duration> ParseDuration(std::string_view text) noexcept;

/// Returns `duration`, which must not be negative, in the largest unit that represents it exactly:
/// "200ms", "90s", "2min".
[[nodiscard]] std::string FormatDuration(core::Duration duration);

/// Returns the mebibytes written as `text`, such as 64 for "64MB" and 1024 for "1GB".
[[nodiscard]] std::optional<std::int64_t> ParseMemory(std::string_view text) noexcept;

/// Returns the events per second written as `text`, such as 5.0 for "300/min". The rate is finite
/// and above 0.
[[nodiscard]] std::optional<double> ParseRate(std::string_view text);

/// Returns `per_second` as text that ParseRate reads back unchanged.
[[nodiscard]] std::string FormatRate(double per_second);

/// Returns the whole number written as `text`, or nothing when the text has the wrong format or a
/// sign.
[[nodiscard]] std::optional<std::int64_t> ParseCount(std::string_view text) noexcept;

/// Returns whether `text` is an IPv4 address and a port from 1 to 65535, joined by ':'.
[[nodiscard]] bool IsAddress(std::string_view text);

/// Returns whether `text` is "http://" or "https://", an address and optionally a path.
[[nodiscard]] bool IsUrl(std::string_view text);

/// Returns whether `text` can name a process, region, domain, team or class; see kNameFormat.
[[nodiscard]] bool IsName(std::string_view text) noexcept;

}  // namespace ebonypin::config
