/// HTTP calls to a stand-in.
#pragma once

#include <cpprest/json.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "ebonypin/http/server.h"

namespace ebonypin::standin {

/// Call to a stand-in. It may be answered from any thread, also after the handler has returned, and
/// only the first answer is sent. A call that is never answered stays open until its client ends it
/// or the server stops.
struct HttpCall {
  http::Request m_request;
  http::Respond m_respond;
};

/// Begins to serve at `listen`, "ip:port". `handler` is called on the server's thread; its
/// exceptions are answered with 400. Throws std::exception when the address is in use.
[[nodiscard]] std::unique_ptr<http::Server> StartServer(
    const std::string& listen, std::function<void(const HttpCall&)> handler);

/// Returns the body. Throws web::json::json_exception when it is not JSON.
[[nodiscard]] web::json::value JsonOf(const HttpCall& call);

/// Returns the parameters of the query by name, not decoded.
[[nodiscard]] std::map<std::string, std::string> QueryOf(const HttpCall& call);

void Respond(const HttpCall& call, unsigned status, const web::json::value& body);
void RespondText(const HttpCall& call, unsigned status, std::string body = {});
void RespondBytes(const HttpCall& call, unsigned status, std::string body);

}  // namespace ebonypin::standin
