#include "http_server.h"

#include <chrono>
#include <memory>
#include <optional>
#include <thread>
#include <utility>

#include "../event_thread.h"

namespace ebonypin::daemon {
namespace {

using web::http::status_codes;

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

/// Retry-After of a call that comes after Stop. Other entries can serve the call at once, but
/// Retry-After has a resolution of one second.
constexpr std::chrono::seconds kStoppedRetryAfter{1};
constexpr std::chrono::milliseconds kStopPoll{2};

ApiAnswer StoppedAnswer() {
  return Refusal({.m_kind = core::ErrorKind::kNoCapacity,
                  .m_message = "this entry has stopped; call another one",
                  .m_retry_after = kStoppedRetryAfter});
}

/// Returns the response to a request that the listener refuses. A body over the limit has status
/// 400, as docs/http_api.md says; the other refusals keep their status.
http::Response ListenerRefusal(const unsigned status, const std::string& reason,
                               const std::size_t max_body_bytes) {
  const bool too_large = status == status_codes::RequestEntityTooLarge;
  const auto answer =
      too_large
          ? Refusal({.m_kind = core::ErrorKind::kTooLarge,
                     .m_message = "the body is larger than " + std::to_string(max_body_bytes) +
                                  " bytes; send less or a reference to the data"})
          : Refusal(Invalid(reason));
  return {.m_status = too_large ? answer.m_status : status, .m_body = answer.m_body.serialize()};
}

}  // namespace

HttpServer::HttpServer(std::string address, const http::ServerLimits& limits)
    : m_address(std::move(address)), m_limits(limits) {}

HttpServer::~HttpServer() {
  m_calls->m_gate.Close();
  m_server = nullptr;
}

void HttpServer::Add(const web::http::method& method, const std::string& path, ApiHandler handler) {
  m_routes.push_back({.m_method = method,
                      .m_segments = web::uri::split_path(path),
                      .m_handler = std::move(handler)});
}

void HttpServer::Open() {
  m_server = std::make_unique<http::Server>(
      m_address, m_limits,
      [this](const http::Request& request, http::Respond respond) {
        Serve(request, std::move(respond));
      },
      [limit = m_limits.m_max_body_bytes](const unsigned status, const std::string& reason) {
        return ListenerRefusal(status, reason, limit);
      });
  m_open = true;
}

http::ServerCounters HttpServer::ConnectionCounters() const {
  return m_open ? m_server->Counters() : http::ServerCounters{};
}

void HttpServer::Stop(const ApiAnswer& answer, const core::Duration timeout) {
  m_calls->m_gate.Close();
  std::set<OpenRequestPtr> open_requests;
  {
    const std::lock_guard lock(m_calls->m_mutex);
    open_requests = m_calls->m_open;
  }
  for (const auto& open : open_requests) {
    // Others are refused by the gate.
    if (open->m_handled) Send(m_calls, open, answer);
  }
  const auto until = Now() + timeout;
  while (Counters().m_in_progress > 0 && Now() < until) std::this_thread::sleep_for(kStopPoll);
}

void HttpServer::Serve(const http::Request& request, http::Respond respond) {
  ++m_calls->m_counters.m_calls;
  ++m_calls->m_counters.m_in_progress;
  const auto open = std::make_shared<OpenRequest>();
  open->m_respond = std::move(respond);
  {
    const std::lock_guard lock(m_calls->m_mutex);
    m_calls->m_open.insert(open);
  }
  if (!m_calls->m_gate.Run([&] { Dispatch(open, request); })) Send(m_calls, open, StoppedAnswer());
}

void HttpServer::Dispatch(const OpenRequestPtr& open, const http::Request& request) {
  ApiCall call{.m_arrived = Now()};
  try {
    if (request.m_headers.contains("Transfer-Encoding")) {
      return Send(m_calls, open, Refusal(Invalid("a body must have a Content-Length")));
    }
    const auto path = web::uri::split_path(web::uri(request.m_path).resource().path());
    bool known_path = false;
    for (const auto& route : m_routes) {
      auto values = Match(route, path);
      if (!values) continue;
      known_path = true;
      if (route.m_method != request.m_method) continue;
      call.m_path_parameters = std::move(*values);
      for (auto& [name, text] : web::uri::split_query(request.m_query)) {
        call.m_query.emplace(web::uri::decode(name), web::uri::decode(text));
      }
      call.m_body = web::json::value::object();
      if (!request.m_body.empty()) call.m_body = web::json::value::parse(request.m_body);
      if (!call.m_body.is_object()) throw std::invalid_argument("the body is not an object");
      open->m_handled = true;
      return route.m_handler(
          call, [calls = m_calls, open](const ApiAnswer& answer) { Send(calls, open, answer); });
    }
    Send(m_calls, open,
         Refusal({.m_kind = core::ErrorKind::kNotFound,
                  .m_message = known_path ? "the path does not support method " + request.m_method +
                                                "; see docs/http_api.md"
                                          : "no such path; see docs/http_api.md"}));
  } catch (const std::exception& exception) {
    // Handlers throw only before they answer or start any work.
    Send(m_calls, open, Refusal(Invalid(exception.what())));
  }
}

void HttpServer::Send(const std::shared_ptr<Calls>& calls, const OpenRequestPtr& open,
                      const ApiAnswer& answer) {
  if (open->m_answered.test_and_set()) return;
  {
    const std::lock_guard lock(calls->m_mutex);
    calls->m_open.erase(open);
  }
  auto& counters = calls->m_counters;
  if (answer.m_status == status_codes::GatewayTimeout) {
    ++counters.m_unknown;
  } else if (answer.m_status >= status_codes::BadRequest) {
    ++counters.m_refused;
  }
  http::Response response{.m_status = answer.m_status, .m_body = answer.m_body.serialize()};
  if (!answer.m_location.empty()) response.m_headers.emplace_back("Location", answer.m_location);
  if (answer.m_retry_after > core::Duration{}) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(answer.m_retry_after);
    response.m_headers.emplace_back("Retry-After", std::to_string(seconds.count()));
  }
  // An error means that the caller has closed the connection.
  open->m_respond(std::move(response),
                  [calls](const std::string& /*error*/) { --calls->m_counters.m_in_progress; });
}

}  // namespace ebonypin::daemon
