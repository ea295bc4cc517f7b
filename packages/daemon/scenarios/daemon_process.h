/// A daemon as a process of its own, so that tests can send signals to it.
///
/// The environment variable EBONYPIN_DAEMON_PROGRAM names the program of another version.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace ebonypin::daemon {

/// Limits of a process from its start on. Zero leaves a limit as that of the test.
struct ProcessLimits {
  std::size_t m_descriptors = 0;
  std::size_t m_address_space = 0;  ///< In bytes.
};

class DaemonProcess {
 public:
  /// Starts the daemon with the INI text `settings` and further `flags`, under `limits`. Its output
  /// goes to `log_file`, or to that of the test when it is empty. Throws std::runtime_error when it
  /// cannot be started.
  DaemonProcess(const std::string& settings, const std::vector<std::string>& flags,
                const std::string& log_file = {}, const ProcessLimits& limits = {});
  /// Kills the process if it still runs.
  ~DaemonProcess();
  DaemonProcess(const DaemonProcess&) = delete;
  DaemonProcess& operator=(const DaemonProcess&) = delete;

  /// Returns zero when the process has ended.
  [[nodiscard]] pid_t Pid() const noexcept { return m_pid; }

  void Signal(int signal) const;

  [[nodiscard]] bool HasEnded();

  /// Returns whether the process ends by itself, and without an error, within `timeout`. Kills it
  /// after that.
  [[nodiscard]] bool WaitForEnd(std::chrono::milliseconds timeout);

 private:
  std::string m_settings_file;
  pid_t m_pid = 0;
  int m_status = 0;  ///< As waitpid returns it, once the process has ended.
};

}  // namespace ebonypin::daemon
