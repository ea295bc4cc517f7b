/// Seeds of a soak and the plays that are drawn from them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace ebonypin::daemon {

struct SeedRange {
  std::uint64_t m_first = 1;
  std::uint64_t m_last = 1;

  friend bool operator==(const SeedRange&, const SeedRange&) = default;
};

/// Returns the seeds in the environment variable `name`, such as "1-50", or `otherwise` when it is
/// not set. Throws std::invalid_argument when it is not two numbers.
[[nodiscard]] SeedRange SeedsFrom(const char* name, SeedRange otherwise);

/// Plays the seeds, `at_once` beside each other, and returns the faults of all. `make` creates the
/// play of a seed as a std::unique_ptr. Start() begins it on a thread of its own, and Finish()
/// waits for its end and returns its faults as text.
template <typename Make>
[[nodiscard]] std::string PlaySeeds(const SeedRange seeds, const std::uint64_t at_once, Make make) {
  std::string faults;
  for (auto first = seeds.m_first; first <= seeds.m_last; first += at_once) {
    std::vector<decltype(make(first))> plays;
    // Sites are created one after the other, since the stand-ins take their options from flags.
    for (auto seed = first; seed <= seeds.m_last && seed < first + at_once; ++seed) {
      plays.push_back(make(seed));
    }
    for (auto& play : plays) play->Start();
    for (auto& play : plays) faults += play->Finish();
  }
  return faults;
}

}  // namespace ebonypin::daemon
