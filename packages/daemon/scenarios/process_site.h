/// A small deployment for the users' platform whose entries and agents are processes of their own.
/// What they send to each other and to the store passes a network that can be cut.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cut_network.h"
#include "daemon_process.h"
#include "ebonypin/standin/standin.h"
#include "run_checks.h"
#include "site.h"

namespace ebonypin::daemon {

class ProcessSite {
 public:
  /// Starts everything and waits until each agent has run a task. Logs go to `log_folder`, which
  /// must exist. `entry_settings` are lines that are added to the settings of entries.
  ProcessSite(std::size_t entries, std::size_t agents, std::string log_folder,
              std::string entry_settings = {});
  ~ProcessSite();

  [[nodiscard]] std::size_t Entries() const noexcept { return m_entries.size(); }

  [[nodiscard]] std::size_t Agents() const noexcept { return m_agents.size(); }

  /// Returns the address at which entry number `entry` takes calls.
  [[nodiscard]] const std::string& HttpAddress(std::size_t entry) const {
    return m_entries[entry].m_http;
  }

  /// Returns the address at which entry number `entry` takes calls of other processes, without the
  /// network between them.
  [[nodiscard]] const std::string& RpcAddress(std::size_t entry) const {
    return m_entries[entry].m_rpc;
  }

  [[nodiscard]] const std::string& MetricsAddress(std::size_t entry) const {
    return m_entries[entry].m_metrics;
  }

  /// Calls entry number `entry`. A status of 0 means that there was no answer.
  [[nodiscard]] HttpResult Call(std::size_t entry, const std::string& method,
                                const std::string& path, const std::string& body = {}) const;

  /// Submits a job of one step of `count` tasks, whose `payload` tells the worker stand-in what
  /// they do. Returns the status of the answer.
  [[nodiscard]] int Submit(std::size_t entry, const std::string& id, const std::string& payload,
                           int count) const;
  [[nodiscard]] std::string StateOf(std::size_t entry, const std::string& id) const;

  /// Returns the entry among `among` whose metrics, which are up to 1 s old, show it as the
  /// coordinator.
  [[nodiscard]] std::optional<std::size_t> Coordinator(const std::vector<std::size_t>& among) const;

  void Signal(std::size_t entry, int signal) const { m_entries[entry].m_process->Signal(signal); }
  /// Starts the entries that have ended again, at the same addresses. Returns which these were.
  std::vector<std::size_t> RestartEnded();

  /// Returns the name of a process or of the store in the network.
  [[nodiscard]] static std::string EntryName(std::size_t entry);
  [[nodiscard]] static std::string AgentName(std::size_t agent);
  [[nodiscard]] static std::string StoreName() { return "store"; }
  [[nodiscard]] CutNetwork& Network() noexcept { return m_network; }

  /// Sets options of the stand-ins; the sources of these list them.
  void SetStoreFaults(const std::string& json) const;
  void SetWorkerFaults(const std::string& json) const;
  /// Returns the number of appends that the store refused because of their sizes.
  [[nodiscard]] int RefusedAppends() const;

  /// Returns the runs of all workers.
  [[nodiscard]] std::vector<ObservedRun> Runs() const;

 private:
  struct Member {
    std::string m_settings;
    std::string m_http;
    std::string m_rpc;
    std::string m_metrics;
    std::unique_ptr<DaemonProcess> m_process;
  };

  void AddEntry(const std::string& store);
  void AddAgent(const std::string& store);
  void StartMember(const std::string& name, Member& member);
  /// Returns the names of the processes that have ended.
  [[nodiscard]] std::string DescribeEnded();

  const std::string m_log_folder;
  const std::string m_entry_settings;
  CutNetwork m_network;
  std::string m_store_address;
  std::unique_ptr<standin::Standin> m_store;
  std::vector<std::string> m_worker_addresses;
  std::vector<std::unique_ptr<standin::Standin>> m_workers;
  std::vector<Member> m_entries;
  std::vector<Member> m_agents;
};

}  // namespace ebonypin::daemon
