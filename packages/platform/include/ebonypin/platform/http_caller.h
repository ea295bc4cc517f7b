/// Asynchronous HTTP calls over a bounded number of connections, each call with its own deadline.
#pragma once

#include <cpprest/http_client.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "ebonypin/core/error.h"
#include "ebonypin/core/time.h"

namespace ebonypin::platform {

struct HttpResponse {
  web::http::status_code m_status = 0;
  web::http::http_headers m_headers;
  std::string m_body;
};

using HttpDone = std::function<void(core::Captured<HttpResponse>)>;

class HttpCaller : public std::enable_shared_from_this<HttpCaller> {
 public:
  HttpCaller(std::string base_url, std::uint32_t max_connections);

  /// Sends `request` and calls `done` exactly once, after `deadline` at the latest. After a
  /// timeout, later calls use new connections, because an established connection may stop
  /// delivering data while new ones work. Fails with kNoCapacity when the call was not sent, with
  /// kTimeout, or with kDisconnected.
  void Call(const web::http::http_request& request, core::Duration deadline, HttpDone done);

 private:
  using Client = std::shared_ptr<web::http::client::http_client>;
  struct Pending;

  [[nodiscard]] Client Current();
  void Discard(const Client& client);

  const std::string m_base_url;
  const std::uint32_t m_max_connections;
  std::atomic<std::uint32_t> m_in_flight{0};
  std::mutex m_mutex;
  Client m_client;
};

}  // namespace ebonypin::platform
