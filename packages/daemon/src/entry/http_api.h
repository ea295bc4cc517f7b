/// Calls of the HTTP API and their answers; see docs/http_api.md.
#pragma once

#include <cpprest/http_msg.h>
#include <cpprest/json.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "ebonypin/core/error.h"
#include "ebonypin/core/request.h"
#include "ebonypin/core/time.h"

namespace ebonypin::daemon {

/// Largest request body. The payload must fit into one record and one message of 1 MiB.
inline constexpr std::size_t kMaxBodyBytes = 512U << 10U;

/// One call of a route.
struct ApiCall {
  std::vector<std::string> m_parts;            ///< Values of the route's placeholders, decoded.
  std::map<std::string, std::string> m_query;  ///< Decoded.
  web::json::value m_body;                     ///< An object; empty without a body.
  core::Time m_arrived;
};

struct ApiAnswer {
  web::http::status_code m_status = web::http::status_codes::OK;
  web::json::value m_body;
  std::string m_location;          ///< Header Location; empty: none.
  core::Duration m_retry_after{};  ///< Header Retry-After; zero: none.
};

/// Sends the answer to a call; may be used from any thread, once.
using Respond = std::function<void(ApiAnswer)>;

/// Serves a call. Must not block; may answer later from another thread. Throws
/// std::invalid_argument or web::json::json_exception for a malformed call.
using ApiHandler = std::function<void(const ApiCall&, const Respond&)>;

/// Returns the status of an answer of `kind` with `error`.
[[nodiscard]] web::http::status_code StatusOf(core::AnswerKind kind, const core::Error* error);

/// Returns the answer to a caller, with `result`, `job` and `location` as far as they are set.
[[nodiscard]] ApiAnswer ToApiAnswer(const core::Answer& answer);

/// Returns a refusal without a request id.
[[nodiscard]] ApiAnswer Refusal(const core::Error& error);

/// Returns an answer of kind unknown without a request id.
[[nodiscard]] ApiAnswer UnknownOutcome(const core::Error& error);

/// Returns the path of a job.
[[nodiscard]] std::string LocationOf(const core::JobId& job);

/// Returns the value of a number in the query, or `otherwise` when it is absent, at most `largest`.
/// Throws std::invalid_argument when it is no number.
[[nodiscard]] std::uint64_t QueryNumber(const ApiCall& call, const std::string& name,
                                        std::uint64_t otherwise, std::uint64_t largest);

}  // namespace ebonypin::daemon
