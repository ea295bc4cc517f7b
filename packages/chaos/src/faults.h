/// Fault injection while the traffic runs.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <random>
#include <string>

#include "site.h"

namespace ebonypin::chaos {

/// Injects random faults from a seed. Most faults follow one another; some overlap.
class FaultInjector {
 public:
  FaultInjector(Site& site, std::uint64_t seed) : m_site(site), m_random(seed) {}

  /// Injects one random fault, then waits for 500 to 2000 ms.
  void InjectNext();

  /// Clears every fault that lasts and restarts every process that is not running.
  void RestoreAll();

  /// Stops each entry with SIGTERM and restarts it, one entry at a time.
  void RollingRestart();

  [[nodiscard]] const std::map<std::string, std::uint64_t>& Counts() const noexcept {
    return m_counts;
  }

 private:
  void KillOne(std::vector<Process>& group, const std::string& name);
  void PauseOne(std::vector<Process>& group, const std::string& name, int seconds);
  void LogFault();
  void WorkerFault();
  void SetFault(const std::string& url, const std::string& field, double number);
  void Count(const std::string& fault) { ++m_counts[fault]; }

  Site& m_site;
  std::mt19937_64 m_random;
  std::map<std::string, std::uint64_t> m_counts;
};

}  // namespace ebonypin::chaos
