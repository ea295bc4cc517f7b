/// A small deployment for the users' platform in one process: stand-ins of the store and of
/// workers, agents and entries, connected over loopback.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "site.h"

namespace ebonypin::daemon {

class FleetSite {
 public:
  /// Starts everything. With `with_config`, puts a configuration into the store and waits until
  /// each agent has a grant; without it the store holds no configuration. Entries hold calls for
  /// `hold` while the store is unavailable.
  FleetSite(std::size_t entries, std::size_t agents, bool with_config = true,
            core::Duration hold = {});
  ~FleetSite();

  [[nodiscard]] const std::string& StoreAddress() const noexcept { return m_store_address; }

  [[nodiscard]] const std::string& HttpAddress(std::size_t entry) const {
    return m_entry_addresses[entry].m_http;
  }
  [[nodiscard]] const std::string& MetricsAddress(std::size_t entry) const {
    return m_entry_addresses[entry].m_metrics;
  }

  /// Calls entry number `entry`. A status of 0 means that there was no answer.
  [[nodiscard]] HttpResult Call(std::size_t entry, const std::string& method,
                                const std::string& path, const std::string& body = {}) const;

  /// Submits a job with one step of `count` tasks. `payload` tells the worker stand-in what they
  /// do.
  [[nodiscard]] HttpResult Submit(std::size_t entry, const std::string& id,
                                  const std::string& payload, int count = 1) const;

  [[nodiscard]] std::string StateOf(std::size_t entry, const std::string& id) const;

  /// Returns the number of runs that all workers have started since each worker's last restart.
  [[nodiscard]] int Starts() const;
  /// Returns the number of runs in progress on all workers.
  [[nodiscard]] int Running() const;

  void SetStoreFaults(const std::string& json) const;
  /// Returns the number of appends that the store refused because of their sizes.
  [[nodiscard]] int RefusedAppends() const;
  void SetWorkerFaults(std::size_t worker, const std::string& json) const;
  /// Puts a record into a topic of the store, as another writer may.
  void PutRecord(const std::string& topic, const std::string& key, const std::string& value) const;
  /// Sends a heartbeat of the worker `id` with any body to the agent.
  [[nodiscard]] HttpResult SendHeartbeat(std::size_t agent, const std::string& id,
                                         const std::string& body) const;

  /// Puts a configuration with one queue under the path `prefix` into the store. `advice` gives
  /// the figures of the advice service, see UsersConfig; they must be those of its flags.
  void PutConfig(int version, const std::string& prefix, const std::string& advice = "null") const;
  /// While it is silent, calls to the advice service wait.
  void SetAdviceSilent(bool silent) const;
  /// Returns a counter of the advice service: "answered" or "refused".
  [[nodiscard]] int AdviceCount(const std::string& counter) const;
  /// Returns the number of starts that workers refused for their tickets.
  [[nodiscard]] int RefusedTickets() const;
  /// Requests or ends the evacuation of a failure domain. All workers are in "domain-a".
  void SetEvacuation(const std::string& domain, bool requested) const;
  /// Waits until the entry's metrics show `count` failure domains under evacuation.
  [[nodiscard]] bool WaitForEvacuations(std::size_t entry, std::size_t count) const;
  [[nodiscard]] Role& Entry(std::size_t entry) { return *m_entries[entry]; }
  /// Returns a function that calls the entry over one connection while it stays open.
  [[nodiscard]] std::function<HttpResult(const std::string& method, const std::string& path)>
  OpenConnection(std::size_t entry) const;
  void StopEntry(std::size_t entry) { m_entries[entry].reset(); }
  void StartEntry(std::size_t entry);
  void StopAgent(std::size_t agent) { m_agents[agent].reset(); }
  void StartAgent(std::size_t agent);

  /// Returns the index of the entry whose metrics show it as the coordinator. Waits at most 20 s,
  /// then returns the number of entries.
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

  /// Returns the sum of a counter of all workers.
  [[nodiscard]] int WorkerCount(const std::string& counter) const;

  const core::Duration m_hold;
  std::string m_store_address;
  std::vector<EntryAddresses> m_entry_addresses;
  std::vector<AgentAddresses> m_agent_addresses;
  std::unique_ptr<standin::Standin> m_store;
  std::string m_advice_address;
  std::unique_ptr<standin::Standin> m_advice;
  std::vector<std::unique_ptr<standin::Standin>> m_workers;
  std::vector<std::unique_ptr<Role>> m_entries;
  std::vector<std::unique_ptr<Role>> m_agents;
};

}  // namespace ebonypin::daemon
