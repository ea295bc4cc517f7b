#include "ebonypin/config/values.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>

namespace ebonypin::config {
namespace {

struct Unit {
  std::string_view m_suffix;
  std::int64_t m_factor;
};

constexpr std::array kDurationUnits{Unit{"h", 3'600'000'000}, Unit{"min", 60'000'000},
                                    Unit{"s", 1'000'000}, Unit{"ms", 1'000}, Unit{"us", 1}};
constexpr std::array kMemoryUnits{Unit{"GB", 1024}, Unit{"MB", 1}};
constexpr std::array kRateUnits{Unit{"/s", 1}, Unit{"/min", 60}, Unit{"/h", 3600}};

constexpr std::size_t kMaxNameLength = 64;

/// Returns digits and suffix of `text` as a multiple of the smallest unit.
template <std::size_t N>
std::optional<std::int64_t> ParseWithUnit(const std::string_view text,
                                          const std::array<Unit, N>& units) noexcept {
  const auto digits = text.find_first_not_of("0123456789");
  if (digits == 0 || digits == std::string_view::npos) return std::nullopt;
  const auto number = ParseCount(text.substr(0, digits));
  if (!number) return std::nullopt;
  for (const auto& unit : units) {
    if (text.substr(digits) != unit.m_suffix) continue;
    if (*number > std::numeric_limits<std::int64_t>::max() / unit.m_factor) return std::nullopt;
    return *number * unit.m_factor;
  }
  return std::nullopt;
}

bool IsAlphanumeric(const char c) noexcept {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

}  // namespace

std::optional<core::Duration> ParseDuration(const std::string_view text) noexcept {
  const auto micros = ParseWithUnit(text, kDurationUnits);
  if (!micros) return std::nullopt;
  return core::Duration{*micros};
}

std::string FormatDuration(const core::Duration duration) {
  for (const auto& unit : kDurationUnits) {
    if (duration.count() != 0 && duration.count() % unit.m_factor == 0)
      return fmt::format("{}{}", duration.count() / unit.m_factor, unit.m_suffix);
  }
  return "0s";
}

std::optional<std::int64_t> ParseMemory(const std::string_view text) noexcept {
  return ParseWithUnit(text, kMemoryUnits);
}

std::optional<double> ParseRate(const std::string_view text) {
  const auto slash = text.find('/');
  if (slash == std::string_view::npos) return std::nullopt;
  double number = 0;
  const auto* const end = text.data() + slash;
  const auto [parsed, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc{} || parsed != end || !std::isfinite(number) || number <= 0)
    return std::nullopt;
  for (const auto& unit : kRateUnits) {
    if (text.substr(slash) == unit.m_suffix) return number / static_cast<double>(unit.m_factor);
  }
  return std::nullopt;
}

std::string FormatRate(const double per_second) { return fmt::format("{}/s", per_second); }

std::optional<std::int64_t> ParseCount(const std::string_view text) noexcept {
  if (text.empty() || text.front() == '-') return std::nullopt;
  std::int64_t number = 0;
  const auto* const end = text.data() + text.size();
  const auto [parsed, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc{} || parsed != end) return std::nullopt;
  return number;
}

bool IsAddress(const std::string_view text) {
  constexpr std::int64_t kMaxPort = 65535;
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return false;
  const auto port = ParseCount(text.substr(colon + 1));
  in_addr parsed{};
  return port && *port >= 1 && *port <= kMaxPort &&
         inet_pton(AF_INET, std::string{text.substr(0, colon)}.c_str(), &parsed) == 1;
}

bool IsUrl(std::string_view text) {
  for (const std::string_view scheme : {"http://", "https://"}) {
    if (!text.starts_with(scheme)) continue;
    text.remove_prefix(scheme.size());
    return IsAddress(text.substr(0, text.find('/')));
  }
  return false;
}

bool IsName(const std::string_view text) noexcept {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), [](const char c) {
           return IsAlphanumeric(c) || c == '.' || c == '_' || c == '-';
         });
}

}  // namespace ebonypin::config
