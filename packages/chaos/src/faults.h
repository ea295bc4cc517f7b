/// Faults that are brought about while the traffic runs.
#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <random>
#include <string>

#include "site.h"

namespace ebonypin::chaos {

/// Plays faults from a seed, one after the other with overlaps, and heals them all at the end.
class FaultPlayer {
 public:
  FaultPlayer(Site& site, std::uint64_t seed) : m_site(site), m_random(seed) {}

  /// Plays one fault and waits a little.
  void Step();

  /// Ends every fault and starts every process again.
  void Heal();

  /// Restarts each entry with a planned stop, one after the other.
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
