/// Context that every command of `ebonypinctl` receives.
#pragma once

#include <functional>
#include <ostream>
#include <string>

#include "api_client.h"
#include "options.h"

namespace ebonypin::ctl {

struct Context {
  Options m_options;
  ApiClient& m_client;
  std::ostream& m_out;                    ///< Results.
  std::ostream& m_err;                    ///< Errors, progress and warnings.
  std::function<std::string()> m_new_id;  ///< Returns a new unique id.
  std::function<void(core::Duration)> m_sleep;
};

/// Sends a GET request.
[[nodiscard]] ApiOutcome Get(Context& context, const std::string& path);

/// Sends a call that changes state, with the configured timeout.
[[nodiscard]] ApiOutcome Send(Context& context, const std::string& method, const std::string& path,
                              std::optional<web::json::value> body, bool retry_safe);

/// Prints `outcome` as JSON on one line when --json is set. Returns whether it printed anything.
bool PrintJson(Context& context, const ApiOutcome& outcome);

/// Prints the error in `outcome` with its remedy, and returns the exit code. `what` names the
/// subject of the call.
[[nodiscard]] int ReportFailure(Context& context, const ApiOutcome& outcome,
                                const std::string& what);

}  // namespace ebonypin::ctl
