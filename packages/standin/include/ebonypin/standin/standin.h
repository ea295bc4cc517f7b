/// Stand-ins for the platform and the registry through which they make themselves known to the
/// program `ebonypin_standin`.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ebonypin::standin {

/// One running stand-in. Its destructor stops it.
class Standin {
 public:
  Standin() = default;
  virtual ~Standin() = default;
  Standin(const Standin&) = delete;
  Standin& operator=(const Standin&) = delete;

  /// Begins to serve HTTP. Throws std::exception when the address is in use.
  virtual void Start() = 0;
};

/// Creates a stand-in that will serve at `listen`, "ip:port". Other options are gflags of the
/// stand-in's own file.
using StandinFactory = std::function<std::unique_ptr<Standin>(const std::string& listen)>;

/// Registers a stand-in under `kind`. Called from static initialisers:
///
///     const bool kRegistered = RegisterStandin("worker", [](const std::string& listen) { ... });
bool RegisterStandin(const std::string& kind, StandinFactory factory);

/// Returns a new stand-in, or null when no stand-in has that kind.
[[nodiscard]] std::unique_ptr<Standin> CreateStandin(const std::string& kind,
                                                     const std::string& listen);

/// Returns the kinds of all registered stand-ins, sorted.
[[nodiscard]] std::vector<std::string> StandinKinds();

}  // namespace ebonypin::standin
