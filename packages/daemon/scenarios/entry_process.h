/// An entry of jobs of steps as a process of its own.
#pragma once

#include <chrono>
#include <string>

#include "daemon_process.h"

namespace ebonypin::daemon {

class EntryProcess {
 public:
  /// Starts an entry that uses the store at `store_address` and stops at most `drain_limit` after
  /// SIGTERM. Throws std::runtime_error when it cannot be started.
  EntryProcess(const std::string& store_address, std::chrono::seconds drain_limit);

  [[nodiscard]] const std::string& HttpAddress() const noexcept { return m_http_address; }

  void Signal(const int signal) const { m_process.Signal(signal); }

  /// Returns whether the process ends by itself, and without an error, within `timeout`. Kills it
  /// after that.
  [[nodiscard]] bool WaitForEnd(const std::chrono::milliseconds timeout) {
    return m_process.WaitForEnd(timeout);
  }

 private:
  const std::string m_http_address;
  DaemonProcess m_process;
};

}  // namespace ebonypin::daemon
