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
  /// Values of the route's placeholders, decoded, in the order of the path.
  std::vector<std::string> m_path_parameters;
  std::map<std::string, std::string> m_query;  ///< Query parameters, decoded.
  web::json::value m_body;                     ///< A JSON object; empty when the call has no body.
  core::Time m_arrived;
};

struct ApiAnswer {
  web::http::status_code m_status = web::http::status_codes::OK;
  web::json::value m_body;
  std::string m_location;          ///< Header Location; omitted when empty.
  core::Duration m_retry_after{};  ///< Header Retry-After; omitted when zero.
};

/// Sends the answer to a call. Call it once, from any thread.
using Respond = std::function<void(ApiAnswer)>;

/// Serves a call. Must not block; may answer later from another thread. Throws
/// std::invalid_argument or web::json::json_exception for a malformed call.
using ApiHandler = std::function<void(const ApiCall&, const Respond&)>;

/// Returns the HTTP status of an answer of `kind`. `error` may be null.
[[nodiscard]] web::http::status_code StatusOf(core::AnswerKind kind, const core::Error* error);

/// Returns the HTTP form of `answer`, with the fields `result`, `job` and `location` where they
/// apply.
[[nodiscard]] ApiAnswer ToApiAnswer(const core::Answer& answer);

/// Returns an answer of kind not_run without a request id.
[[nodiscard]] ApiAnswer Refusal(const core::Error& error);

/// Returns an answer of kind unknown without a request id.
[[nodiscard]] ApiAnswer UnknownOutcome(const core::Error& error);

/// Returns the URL path of a job.
[[nodiscard]] std::string LocationOf(const core::JobId& job);

/// Returns the query parameter `name`, or `default_value` when it is absent. Values above `max` are
/// reduced to `max`. Throws std::invalid_argument when the value is not a number.
[[nodiscard]] std::uint64_t QueryNumber(const ApiCall& call, const std::string& name,
                                        std::uint64_t default_value, std::uint64_t max);

}  // namespace ebonypin::daemon
