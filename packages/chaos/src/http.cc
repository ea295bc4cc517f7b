#include "http.h"

#include <cpprest/http_client.h>

#include <string_view>

namespace ebonypin::chaos {

std::optional<HttpResponse> CallJson(const std::string& method, const std::string& base,
                                     const std::string& path, const web::json::value& body,
                                     const std::chrono::milliseconds timeout) {
  try {
    web::http::client::http_client_config config;
    config.set_timeout(timeout);
    web::http::client::http_client client(base, config);
    web::http::http_request request(method);
    request.set_request_uri(path);
    if (!body.is_null()) request.set_body(body);
    auto response = client.request(request).get();
    HttpResponse answer{.m_status = response.status_code()};
    const auto text = response.extract_string(true).get();
    std::error_code error;
    answer.m_body = web::json::value::parse(text, error);
    return answer;
  } catch (const std::exception& exception) {
    // The client library has no specific error code for a connection that was not established.
    if (std::string_view(exception.what()).starts_with("Failed to connect")) return HttpResponse{};
    return std::nullopt;
  }
}

std::string TextOf(const web::json::value& json, const std::string& field) {
  return json.is_object() && json.has_string_field(field) ? json.at(field).as_string() : "";
}

}  // namespace ebonypin::chaos
