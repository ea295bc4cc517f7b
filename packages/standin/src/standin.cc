#include "ebonypin/standin/standin.h"

#include <map>
#include <utility>

namespace ebonypin::standin {
namespace {

std::map<std::string, StandinFactory>& Registry() {
  static std::map<std::string, StandinFactory> registry;
  return registry;
}

}  // namespace

bool RegisterStandin(const std::string& kind, StandinFactory factory) {
  return Registry().emplace(kind, std::move(factory)).second;
}

std::unique_ptr<Standin> CreateStandin(const std::string& kind, const std::string& listen) {
  const auto found = Registry().find(kind);
  return found == Registry().end() ? nullptr : found->second(listen);
}

std::vector<std::string> StandinKinds() {
  std::vector<std::string> kinds;
  for (const auto& [kind, factory] : Registry()) kinds.push_back(kind);
  return kinds;
}

}  // namespace ebonypin::standin
