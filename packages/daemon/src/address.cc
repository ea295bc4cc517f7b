#include "address.h"

#include <charconv>
#include <chrono>
#include <stdexcept>

namespace ebonypin::daemon {

Address ParseAddress(const std::string& text, const std::string& key) {
  const auto colon = text.rfind(':');
  Address address;
  if (colon != std::string::npos) {
    address.m_ip = text.substr(0, colon);
    const auto* const end = text.data() + text.size();
    const auto [parsed, error] = std::from_chars(text.data() + colon + 1, end, address.m_port);
    if (error == std::errc{} && parsed == end && !address.m_ip.empty()) return address;
  }
  throw std::runtime_error(key + " = '" + text + "' is not an address; write it as ip:port");
}

std::uint64_t NewIncarnation() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

}  // namespace ebonypin::daemon
