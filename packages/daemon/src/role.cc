#include "ebonypin/daemon/role.h"

#include <map>
#include <utility>

namespace ebonypin::daemon {
namespace {

std::map<std::string, RoleFactory>& Registry() {
  static std::map<std::string, RoleFactory> registry;
  return registry;
}

}  // namespace

bool RegisterRole(const std::string& name, RoleFactory factory) {
  return Registry().emplace(name, std::move(factory)).second;
}

std::unique_ptr<Role> CreateRole(const std::string& name, const config::Settings& settings) {
  const auto found = Registry().find(name);
  return found == Registry().end() ? nullptr : found->second(settings);
}

std::vector<std::string> RoleNames() {
  std::vector<std::string> names;
  for (const auto& [name, factory] : Registry()) names.push_back(name);
  return names;
}

}  // namespace ebonypin::daemon
