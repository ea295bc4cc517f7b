#include "http_call.h"

#include <cpprest/base_uri.h>

#include <exception>
#include <utility>

namespace ebonypin::standin {
namespace {

using namespace std::chrono_literals;

constexpr unsigned kBadRequest = 400;

/// The processes under test are the only clients, so that these limits only have to be larger than
/// what they use. An idle connection stays open longer than any client keeps one, since a call that
/// meets the close of its connection is seen as lost.
constexpr http::ServerLimits kLimits{.m_max_head_bytes = std::size_t{64} << 10U,
                                     .m_max_body_bytes = std::size_t{64} << 20U,
                                     .m_head_timeout = 60s,
                                     .m_idle_timeout = 600s,
                                     .m_body_timeout = 60s,
                                     .m_write_timeout = 60s,
                                     .m_max_connections = 4096,
                                     .m_max_buffered_bytes = std::size_t{512} << 20U};

}  // namespace

std::unique_ptr<http::Server> StartServer(const std::string& listen,
                                          std::function<void(const HttpCall&)> handler) {
  return std::make_unique<http::Server>(
      listen, kLimits,
      [handler = std::move(handler)](const http::Request& request, http::Respond respond) {
        const HttpCall call{.m_request = request, .m_respond = std::move(respond)};
        try {
          handler(call);
        } catch (const std::exception& exception) {
          RespondText(call, kBadRequest, exception.what());
        }
      });
}

web::json::value JsonOf(const HttpCall& call) {
  return web::json::value::parse(call.m_request.m_body);
}

std::map<std::string, std::string> QueryOf(const HttpCall& call) {
  return web::uri::split_query(call.m_request.m_query);
}

void Respond(const HttpCall& call, const unsigned status, const web::json::value& body) {
  call.m_respond({.m_status = status, .m_body = body.serialize()}, {});
}

void RespondText(const HttpCall& call, const unsigned status, std::string body) {
  call.m_respond({.m_status = status, .m_body = std::move(body), .m_content_type = "text/plain"},
                 {});
}

void RespondBytes(const HttpCall& call, const unsigned status, std::string body) {
  call.m_respond(
      {.m_status = status, .m_body = std::move(body), .m_content_type = "application/octet-stream"},
      {});
}

}  // namespace ebonypin::standin
