/// One process of the system with the stand-ins that it needs, and a watch over what it uses.
#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>

#include "daemon_process.h"
#include "ebonypin/standin/standin.h"

namespace ebonypin::daemon {

/// HTTP listener that clients reach.
enum class AttackedListener { kJobApi, kReadiness, kControl, kEntryApi, kMetrics };

/// What a process may use, from its machine.
struct ProcessBounds {
  std::size_t m_memory = 0;       ///< Resident, in bytes.
  std::size_t m_descriptors = 0;  ///< Open at one time.
};

class AttackedProcess {
 public:
  /// Starts the process that has the listener, with lowered limits, and waits until it answers.
  /// `limits` are further lines of the section [limits]; its log goes to `log_file`. Throws
  /// std::runtime_error when it does not come up within 20 s.
  explicit AttackedProcess(AttackedListener listener, std::string limits = {},
                           const std::string& log_file = "/dev/null");
  ~AttackedProcess();
  AttackedProcess(const AttackedProcess&) = delete;
  AttackedProcess& operator=(const AttackedProcess&) = delete;

  /// Returns the address of the listener.
  [[nodiscard]] const std::string& Address() const noexcept { return m_address; }
  /// Returns the address at which the process takes calls of other processes.
  [[nodiscard]] const std::string& RpcAddress() const noexcept { return m_rpc_address; }
  /// Returns a request line and headers up to the last line end, without that of the head.
  /// A body may follow it.
  [[nodiscard]] std::string HeadOfRequest() const;
  /// Returns a request within the limits that the listener answers with 200.
  [[nodiscard]] std::string OrdinaryRequest(bool keeps_connection);

  /// Sends an ordinary request until one is answered with 200, for at most 20 s. Then returns what
  /// is wrong with the process, empty when nothing is.
  [[nodiscard]] std::string FindFaults();
  /// Returns the highest use since the start of the load.
  [[nodiscard]] std::string DescribeUse() const;

 private:
  [[nodiscard]] std::string Settings() const;
  void StartStandin();
  void Sample();

  const AttackedListener m_listener;
  const std::string m_limits;
  const ProcessBounds m_bounds;
  const std::string m_address;
  const std::string m_rpc_address;
  const std::string m_standin_address;
  std::unique_ptr<standin::Standin> m_standin;
  std::unique_ptr<DaemonProcess> m_process;
  int m_requests = 0;
  pid_t m_pid = 0;
  std::atomic<std::size_t> m_peak_memory{0};
  std::atomic<std::size_t> m_peak_descriptors{0};
  std::atomic<bool> m_stopping{false};
  std::thread m_sampler;
};

}  // namespace ebonypin::daemon
