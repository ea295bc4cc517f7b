/// What every command of `ebonypinctl` gets.
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
  std::ostream& m_out;                    ///< Answers.
  std::ostream& m_err;                    ///< Errors, progress and warnings.
  std::function<std::string()> m_new_id;  ///< Returns a new unique id.
  std::function<void(core::Duration)> m_sleep;
};

/// Sends a GET.
[[nodiscard]] ApiOutcome Get(Context& context, const std::string& path);

/// Sends a change or work with the configured timeout.
[[nodiscard]] ApiOutcome Send(Context& context, const std::string& method, const std::string& path,
                              std::optional<web::json::value> body, bool repeat_safe);

/// Prints the JSON of `outcome` on one line when --json is set. Returns whether it did.
bool PrintJson(Context& context, const ApiOutcome& outcome);

/// Prints why `outcome` is no success, with the remedy, and returns the exit code.
[[nodiscard]] int ReportFailure(Context& context, const ApiOutcome& outcome,
                                const std::string& what);

}  // namespace ebonypin::ctl
