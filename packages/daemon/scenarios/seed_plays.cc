#include "seed_plays.h"

#include <cstdlib>
#include <sstream>
#include <stdexcept>

namespace ebonypin::daemon {

SeedRange SeedsFrom(const char* const name, const SeedRange otherwise) {
  const char* const text = std::getenv(name);
  if (text == nullptr) return otherwise;
  std::istringstream words(text);
  SeedRange seeds;
  char dash = 0;
  if (!(words >> seeds.m_first >> dash >> seeds.m_last) || dash != '-') {
    throw std::invalid_argument(std::string{name} + " is \"" + text + "\"; write it as 1-50");
  }
  return seeds;
}

}  // namespace ebonypin::daemon
