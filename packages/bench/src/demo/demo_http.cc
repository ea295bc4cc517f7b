#include "demo_http.h"

#include <chrono>
#include <future>
#include <system_error>

namespace ebonypin::bench::demo {
namespace {

// Longer than any deadline or long poll of the demo.
constexpr std::chrono::seconds kTimeout{20};

HttpOutcome OutcomeOf(const pplx::task<web::json::value>& body, const int status) {
  HttpOutcome outcome;
  try {
    outcome.m_body = body.get();
    outcome.m_status = status;
  } catch (const web::http::http_exception& exception) {
    // cpprestsdk reports a refused connection, and nothing else, as host_unreachable.
    outcome.m_not_sent = exception.error_code() == std::errc::host_unreachable;
  } catch (const std::exception&) {
    outcome.m_status = 0;
  }
  return outcome;
}

}  // namespace

HttpClients::HttpClients(const std::vector<std::string>& urls) {
  web::http::client::http_client_config config;
  config.set_timeout(kTimeout);
  for (const auto& url : urls)
    m_clients.push_back(std::make_unique<web::http::client::http_client>(url, config));
}

void HttpClients::Call(const std::size_t index, const std::string& method, const std::string& path,
                       const web::json::value& body, std::function<void(HttpOutcome)> done) {
  web::http::http_request request(method);
  request.set_request_uri(path);
  if (!body.is_null()) request.set_body(body);
  const auto status = std::make_shared<int>(0);
  m_clients[index]
      ->request(request)
      .then([status](const web::http::http_response& response) {
        *status = response.status_code();
        return response.extract_json(true);
      })
      .then([status, done = std::move(done)](const pplx::task<web::json::value>& json) {
        done(OutcomeOf(json, *status));
      });
}

HttpOutcome HttpClients::CallAndWait(const std::size_t index, const std::string& method,
                                     const std::string& path, const web::json::value& body) {
  std::promise<HttpOutcome> promise;
  Call(index, method, path, body,
       [&promise](HttpOutcome outcome) { promise.set_value(std::move(outcome)); });
  return promise.get_future().get();
}

std::string TextOf(const web::json::value& json, const std::string& name) {
  return json.is_object() && json.has_string_field(name) ? json.at(name).as_string() : "";
}

}  // namespace ebonypin::bench::demo
