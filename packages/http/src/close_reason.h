/// Reasons for which the server closes a connection before its client does.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace ebonypin::http {

enum class CloseReason : std::uint8_t {
  kHeadLimit,
  kBodyLimit,
  kMalformed,
  kHeadTimeout,
  kBodyTimeout,
  kIdleTimeout,
  kWriteTimeout,
  kConnections,  ///< Too many connections.
  kBuffered,     ///< Too many buffered bytes.
  kDescriptors,  ///< The process has no descriptors or memory left.
};

/// In the order of CloseReason.
inline constexpr std::array kCloseReasonNames{
    "head_limit",   "body_limit",    "malformed",   "head_timeout", "body_timeout",
    "idle_timeout", "write_timeout", "connections", "buffered",     "descriptors"};

constexpr std::size_t IndexOf(const CloseReason reason) noexcept {
  return static_cast<std::size_t>(reason);
}

}  // namespace ebonypin::http
