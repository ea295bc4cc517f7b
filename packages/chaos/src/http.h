/// Blocking JSON calls over HTTP for test threads.
#pragma once

#include <cpprest/json.h>

#include <chrono>
#include <optional>
#include <string>

namespace ebonypin::chaos {

struct HttpResponse {
  int m_status = 0;         ///< 0: no connection could be made, so nothing was sent.
  web::json::value m_body;  ///< Null when the body is not JSON.
};

/// Sends `body` (null: none) and waits. Returns nothing when the connection breaks or `timeout`
/// passes.
[[nodiscard]] std::optional<HttpResponse> CallJson(const std::string& method,
                                                   const std::string& base, const std::string& path,
                                                   const web::json::value& body,
                                                   std::chrono::milliseconds timeout);

/// Returns the text in `field`, or an empty text.
[[nodiscard]] std::string TextOf(const web::json::value& json, const std::string& field);

}  // namespace ebonypin::chaos
