#include "http_server.h"

#include <chrono>
#include <memory>
#include <optional>
#include <thread>
#include <utility>

#include "../event_thread.h"

namespace ebonypin::daemon {
namespace {

using web::http::http_request;
using web::http::status_codes;

constexpr auto kStopPoll = std::chrono::milliseconds{2};

bool IsPlaceholder(const std::string& segment) { return segment.starts_with('{'); }

/// Returns the values of the placeholders, or std::nullopt when `path` does not match `route`.
std::optional<std::vector<std::string>> Match(const Route& route,
                                              const std::vector<std::string>& path) {
  if (route.m_segments.size() != path.size()) return std::nullopt;
  std::vector<std::string> values;
  for (std::size_t i = 0; i < path.size(); ++i) {
    if (IsPlaceholder(route.m_segments[i])) {
      values.push_back(web::uri::decode(path[i]));
    } else if (route.m_segments[i] != path[i]) {
      return std::nullopt;
    }
  }
  return values;
}

core::Error Invalid(const std::string& what) {
  return {.m_kind = core::ErrorKind::kInvalidRequest, .m_message = what + "; see docs/http_api.md"};
}

/// Returns an error when the body must be refused. The memory for a body without a declared length
/// would be unbounded.
std::optional<core::Error> CheckBody(const http_request& request) {
  if (request.headers().has(web::http::header_names::transfer_encoding)) {
    return Invalid("a body must have a Content-Length");
  }
  if (request.headers().content_length() > kMaxBodyBytes) {
    return core::Error{.m_kind = core::ErrorKind::kTooLarge,
                       .m_message = "the body is larger than " + std::to_string(kMaxBodyBytes) +
                                    " bytes; send less or a reference to the data"};
  }
  return std::nullopt;
}

/// Stops reading the body, all of which the library would otherwise keep in memory.
void DropBody(const http_request& request) {
  request.body().streambuf().close(
      std::ios_base::out, std::make_exception_ptr(std::runtime_error("the body was refused")));
}

}  // namespace

HttpServer::HttpServer(const std::string& address) : m_listener("http://" + address) {
  m_listener.support([this](const http_request& request) { Serve(request); });
}

HttpServer::~HttpServer() {
  if (m_open) m_listener.close().wait();
}

void HttpServer::Add(const web::http::method& method, const std::string& path, ApiHandler handler) {
  m_routes.push_back({.m_method = method,
                      .m_segments = web::uri::split_path(path),
                      .m_handler = std::move(handler)});
}

void HttpServer::Open() {
  m_listener.open().wait();
  m_open = true;
}

void HttpServer::Stop(const ApiAnswer& answer, const core::Duration timeout) {
  m_stopping = true;
  std::set<OpenRequestPtr> open_requests;
  {
    const std::lock_guard lock(m_mutex);
    open_requests = m_open_requests;
  }
  for (const auto& open : open_requests) Send(open, answer);
  const auto until = Now() + timeout;
  while (m_counters.m_in_progress > 0 && Now() < until) std::this_thread::sleep_for(kStopPoll);
}

void HttpServer::Serve(const http_request& request) {
  ++m_counters.m_calls;
  ++m_counters.m_in_progress;
  const auto open = std::make_shared<OpenRequest>();
  open->m_request = request;
  {
    const std::lock_guard lock(m_mutex);
    m_open_requests.insert(open);
  }
  ApiCall call{.m_arrived = Now()};
  try {
    if (m_stopping) {
      return Send(open, Refusal({.m_kind = core::ErrorKind::kDraining,
                                 .m_message = "this entry stops; use another entry"}));
    }
    if (const auto error = CheckBody(request)) {
      DropBody(request);
      return Send(open, Refusal(*error));
    }
    const auto path = web::uri::split_path(request.relative_uri().path());
    bool known_path = false;
    for (const auto& route : m_routes) {
      auto values = Match(route, path);
      if (!values) continue;
      known_path = true;
      if (route.m_method != request.method()) continue;
      call.m_path_parameters = std::move(*values);
      for (auto& [name, text] : web::uri::split_query(request.relative_uri().query())) {
        call.m_query.emplace(web::uri::decode(name), web::uri::decode(text));
      }
      return Handle(open, route, std::move(call));
    }
    Send(open, Refusal({.m_kind = core::ErrorKind::kNotFound,
                        .m_message = known_path ? "the path does not support method " +
                                                      request.method() + "; see docs/http_api.md"
                                                : "no such path; see docs/http_api.md"}));
  } catch (const std::exception& exception) {
    Send(open, Refusal(Invalid(exception.what())));
  }
}

void HttpServer::Handle(const OpenRequestPtr& open, const Route& route, ApiCall call) {
  const auto run = [this, open, &route](const ApiCall& ready) {
    route.m_handler(ready, [this, open](const ApiAnswer& answer) { Send(open, answer); });
  };
  if (open->m_request.headers().content_length() == 0) {
    call.m_body = web::json::value::object();
    return run(call);
  }
  open->m_request.extract_string(true).then(
      [this, open, run, call = std::move(call)](const pplx::task<std::string>& body) mutable {
        try {
          call.m_body = web::json::value::parse(body.get());
          if (!call.m_body.is_object()) throw std::invalid_argument("the body is not an object");
          run(call);
        } catch (const std::exception& exception) {
          // Handlers throw only before they answer or start any work.
          Send(open, Refusal(Invalid(exception.what())));
        }
      });
}

void HttpServer::Send(const OpenRequestPtr& open, const ApiAnswer& answer) {
  if (open->m_answered.test_and_set()) return;
  {
    const std::lock_guard lock(m_mutex);
    m_open_requests.erase(open);
  }
  if (answer.m_status == status_codes::GatewayTimeout) {
    ++m_counters.m_unknown;
  } else if (answer.m_status >= status_codes::BadRequest) {
    ++m_counters.m_refused;
  }
  web::http::http_response response(answer.m_status);
  response.set_body(answer.m_body);
  if (!answer.m_location.empty()) response.headers().add("Location", answer.m_location);
  if (answer.m_retry_after > core::Duration{}) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(answer.m_retry_after);
    response.headers().add("Retry-After", seconds.count());
  }
  open->m_request.reply(response).then([this](const pplx::task<void>& sent) {
    try {
      sent.get();
    } catch (const std::exception&) {
      // The caller has closed the connection.
    }
    --m_counters.m_in_progress;
  });
}

}  // namespace ebonypin::daemon
