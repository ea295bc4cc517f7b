/// Roles of the daemon and their registry.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "ebonypin/config/settings.h"

namespace ebonypin::daemon {

/// Function that a daemon process performs, for example entry or agent. The main program starts and
/// stops it.
class Role {
 public:
  Role() = default;
  virtual ~Role() = default;
  Role(const Role&) = delete;
  Role& operator=(const Role&) = delete;

  /// Begins to serve. Throws std::runtime_error when an address is in use or a required setting is
  /// missing; the message says what to do.
  virtual void Start() = 0;

  /// Begins a planned stop: takes no new work and finishes or hands over what is in progress.
  virtual void BeginDrain() = 0;

  /// Returns whether the planned stop has nothing left to finish.
  [[nodiscard]] virtual bool IsDrained() const = 0;

  /// Answers what is still in progress after the drain or at its limit, and refuses what comes
  /// later. The role decides nothing after it. The process may end without destroying the role.
  virtual void Stop() {}
};

using RoleFactory = std::function<std::unique_ptr<Role>(const config::Settings&)>;

/// Registers a role under `name`. Called from static initialisers:
///
///     const bool kRegistered = RegisterRole("entry", [](const config::Settings& s) { ... });
bool RegisterRole(const std::string& name, RoleFactory factory);

/// Returns a new role, or null when no role has that name.
[[nodiscard]] std::unique_ptr<Role> CreateRole(const std::string& name,
                                               const config::Settings& settings);

/// Returns the names of all registered roles, sorted.
[[nodiscard]] std::vector<std::string> RoleNames();

}  // namespace ebonypin::daemon
