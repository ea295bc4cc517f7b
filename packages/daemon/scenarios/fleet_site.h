/// A small site of the users' platform in one process: stand-ins of the store and of workers,
/// agents and entries, which talk over loopback.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "site.h"

namespace ebonypin::daemon {

class FleetSite {
 public:
  /// Starts everything and waits until each agent has a grant. Without `with_config` the store has
  /// no configuration.
  FleetSite(std::size_t entries, std::size_t agents, bool with_config = true);
  ~FleetSite();

  /// Calls entry number `entry`; a status of 0 means that there was no answer.
  [[nodiscard]] HttpResult Call(std::size_t entry, const std::string& method,
                                const std::string& path, const std::string& body = {}) const;

  /// Submits a job of one step of `count` tasks that do what `payload` says.
  [[nodiscard]] HttpResult Submit(std::size_t entry, const std::string& id,
                                  const std::string& payload, int count = 1) const;

  [[nodiscard]] std::string StateOf(std::size_t entry, const std::string& id) const;

  /// Returns how many runs all workers started, in their present lives.
  [[nodiscard]] int Starts() const;
  [[nodiscard]] int Running() const;

  void StoreFaults(const std::string& json) const;
  void WorkerFaults(std::size_t worker, const std::string& json) const;

  void PutConfig(int version, const std::string& prefix) const;
  [[nodiscard]] Role& Entry(std::size_t entry) { return *m_entries[entry]; }
  /// Returns a function that calls the entry on one connection, for as long as that stays open.
  [[nodiscard]] std::function<HttpResult(const std::string& method, const std::string& path)>
  OpenConnection(std::size_t entry) const;
  void StopEntry(std::size_t entry) { m_entries[entry].reset(); }
  void StartEntry(std::size_t entry);
  void StopAgent(std::size_t agent) { m_agents[agent].reset(); }
  void StartAgent(std::size_t agent);

  /// Returns the coordinator's number, by the metrics of the entries.
  [[nodiscard]] std::size_t Coordinator() const;

 private:
  struct EntryAddresses {
    std::string m_rpc;
    std::string m_http;
    std::string m_readiness;
    std::string m_metrics;
  };
  struct AgentAddresses {
    std::string m_rpc;
    std::string m_control;
    std::string m_worker;
  };

  std::string m_store_address;
  std::vector<EntryAddresses> m_entry_addresses;
  std::vector<AgentAddresses> m_agent_addresses;
  std::unique_ptr<standin::Standin> m_store;
  std::vector<std::unique_ptr<standin::Standin>> m_workers;
  std::vector<std::unique_ptr<Role>> m_entries;
  std::vector<std::unique_ptr<Role>> m_agents;
};

}  // namespace ebonypin::daemon
