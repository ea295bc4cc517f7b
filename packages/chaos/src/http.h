/// Blocking HTTP calls with JSON bodies for test threads.
#pragma once

#include <cpprest/json.h>

#include <chrono>
#include <optional>
#include <string>

namespace ebonypin::chaos {

struct HttpResponse {
  int m_status = 0;  ///< HTTP status; 0 when no connection was established and nothing was sent.
  web::json::value m_body;  ///< Null when the body is not JSON.
};

/// Sends a request with `body` (null: without a body) and waits for the answer. Returns nullopt
/// when the connection breaks or `timeout` expires.
[[nodiscard]] std::optional<HttpResponse> CallJson(const std::string& method,
                                                   const std::string& base, const std::string& path,
                                                   const web::json::value& body,
                                                   std::chrono::milliseconds timeout);

/// Returns string member `field` of `json`, or an empty string.
[[nodiscard]] std::string TextOf(const web::json::value& json, const std::string& field);

}  // namespace ebonypin::chaos
