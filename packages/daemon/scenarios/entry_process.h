/// An entry of jobs of steps as a process of its own, so that tests can send signals to it.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <string>

namespace ebonypin::daemon {

class EntryProcess {
 public:
  /// Starts an entry that uses the store at `store_address` and stops at most `drain_limit` after
  /// SIGTERM. Throws std::runtime_error when it cannot be started.
  EntryProcess(const std::string& store_address, std::chrono::seconds drain_limit);
  /// Kills the process if it still runs.
  ~EntryProcess();
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  [[nodiscard]] const std::string& HttpAddress() const noexcept { return m_http_address; }

  void Signal(int signal) const;

  /// Returns whether the process ends by itself, and without an error, within `timeout`. Kills it
  /// after that.
  [[nodiscard]] bool WaitForEnd(std::chrono::milliseconds timeout);

 private:
  const std::string m_http_address;
  std::string m_settings_file;
  pid_t m_pid = 0;  ///< Zero: the process has ended.
};

}  // namespace ebonypin::daemon
