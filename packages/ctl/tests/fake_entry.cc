#include "fake_entry.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>
#include <string_view>

namespace ebonypin::ctl {
namespace {

constexpr std::string_view kScheme = "http://";

/// Returns a socket bound to a free loopback port, and its URL.
std::pair<int, std::string> BindToFreePort() {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  auto* const generic = reinterpret_cast<sockaddr*>(&address);
  if (descriptor < 0 || bind(descriptor, generic, size) != 0 ||
      getsockname(descriptor, generic, &size) != 0) {
    throw std::runtime_error("no free port");
  }
  return {descriptor,
          std::string{kScheme} + "127.0.0.1:" + std::to_string(ntohs(address.sin_port))};
}

}  // namespace

FakeEntry::FakeEntry(std::function<FakeResponse(const FakeCall&)> handler)
    : m_handler(std::move(handler)) {
  // Another process may take the port between ClosedUrl and the start of the listener.
  constexpr int kTries = 10;
  for (int i = 0; i < kTries; ++i) {
    m_url = ClosedUrl();
    try {
      m_server = std::make_unique<http::Server>(
          m_url.substr(kScheme.size()), http::ServerLimits{},
          [this](const http::Request& request, const http::Respond& respond) {
            Serve(request, respond);
          });
      return;
    } catch (const std::exception&) {
      continue;
    }
  }
  throw std::runtime_error("no free port");
}

std::vector<FakeCall> FakeEntry::Calls() {
  const std::lock_guard lock(m_mutex);
  return m_calls;
}

void FakeEntry::Serve(const http::Request& request, const http::Respond& respond) {
  const auto query = request.m_query.empty() ? "" : "?" + request.m_query;
  const FakeCall call{.m_method = request.m_method,
                      .m_path = request.m_path + query,
                      .m_body = request.m_body.empty() ? web::json::value{} : Json(request.m_body)};
  const std::lock_guard lock(m_mutex);
  m_calls.push_back(call);
  const auto answer = m_handler(call);
  respond({.m_status = static_cast<unsigned>(answer.first), .m_body = answer.second.serialize()},
          {});
}

SilentEntry::SilentEntry() {
  auto [descriptor, url] = BindToFreePort();
  m_socket = descriptor;
  m_url = std::move(url);
  // The kernel completes connections and buffers their data, but the test never reads them.
  if (listen(m_socket, SOMAXCONN) != 0) throw std::runtime_error("cannot listen");
}

SilentEntry::~SilentEntry() { close(m_socket); }

std::string ClosedUrl() {
  auto [descriptor, url] = BindToFreePort();
  close(descriptor);
  return url;
}

web::json::value Json(const std::string& text) { return web::json::value::parse(text); }

}  // namespace ebonypin::ctl
