/// Processes of one deployment on loopback, which this test tool starts and stops.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace ebonypin::chaos {

struct SiteOptions {
  std::filesystem::path m_bin;     ///< Directory with ebonypind and ebonypin_standin.
  std::filesystem::path m_folder;  ///< Directory for the settings and logs of the processes.
  std::uint16_t m_base_port = 17000;
  std::uint32_t m_entries = 3;
  std::uint32_t m_workers = 11;
};

/// Process that can be killed, paused and restarted.
struct Process {
  std::string m_name;
  std::vector<std::string> m_command;
  pid_t m_pid = -1;
  bool m_paused = false;
};

class Site {
 public:
  explicit Site(SiteOptions options);
  /// Kills every process that is still running.
  ~Site();
  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  void StartAll();
  void Start(Process& process);
  void Kill(Process& process);       ///< Sends SIGKILL and waits until the process has exited.
  void Terminate(Process& process);  ///< Sends SIGTERM and waits; SIGKILL after 40 s.
  void Pause(Process& process);      ///< Sends SIGSTOP.
  void Continue(Process& process);   ///< Sends SIGCONT.
  [[nodiscard]] static bool IsRunning(const Process& process) noexcept { return process.m_pid > 0; }

  [[nodiscard]] std::vector<Process>& Entries() noexcept { return m_entries; }
  [[nodiscard]] std::vector<Process>& Agents() noexcept { return m_agents; }
  [[nodiscard]] std::string EntryUrl(std::size_t index) const;
  [[nodiscard]] std::string WorkerUrl(std::size_t index) const;
  [[nodiscard]] std::string LogUrl() const;
  [[nodiscard]] std::size_t EntryCount() const noexcept { return m_options.m_entries; }
  [[nodiscard]] std::size_t WorkerCount() const noexcept { return m_options.m_workers; }

 private:
  [[nodiscard]] std::string Address(std::uint32_t group, std::size_t index) const;
  [[nodiscard]] std::string WriteSettings(const std::string& name, const std::string& text) const;

  SiteOptions m_options;
  Process m_log;
  std::vector<Process> m_workers;
  std::vector<Process> m_entries;
  std::vector<Process> m_agents;
};

}  // namespace ebonypin::chaos
