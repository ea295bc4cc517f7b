/// Parsing of "ip:port" addresses, and incarnation numbers of processes.
#pragma once

#include <cstdint>
#include <string>

namespace ebonypin::daemon {

struct Address {
  std::string m_ip;
  std::uint16_t m_port = 0;
};

/// Returns the parts of "ip:port". Throws std::runtime_error naming `key` when `text` has another
/// form.
[[nodiscard]] Address ParseAddress(const std::string& text, const std::string& key);

/// Returns the incarnation number of a new process: the wall clock in microseconds. A process that
/// starts later at the same address gets a larger number as long as the clock is not set back.
[[nodiscard]] std::uint64_t NewIncarnation();

}  // namespace ebonypin::daemon
