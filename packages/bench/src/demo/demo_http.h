/// Calls of the demo to entries and workers.
#pragma once

#include <cpprest/http_client.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ebonypin::bench::demo {

struct HttpOutcome {
  int m_status = 0;  ///< 0 when no answer came.
  web::json::value m_body;
  bool m_not_sent = false;  ///< The connection was refused.
};

/// Clients of several servers, with connections that are kept.
class HttpClients {
 public:
  explicit HttpClients(const std::vector<std::string>& urls);

  [[nodiscard]] std::size_t Size() const noexcept { return m_clients.size(); }

  /// Sends a call to server `index` and passes its outcome to `done` on another thread. A null
  /// `body` sends none.
  void Call(std::size_t index, const std::string& method, const std::string& path,
            const web::json::value& body, std::function<void(HttpOutcome)> done);

  /// Sends a call and waits.
  [[nodiscard]] HttpOutcome CallAndWait(std::size_t index, const std::string& method,
                                        const std::string& path, const web::json::value& body);

 private:
  std::vector<std::unique_ptr<web::http::client::http_client>> m_clients;
};

/// Returns member `name` of `json` as text, or an empty text.
[[nodiscard]] std::string TextOf(const web::json::value& json, const std::string& name);

}  // namespace ebonypin::bench::demo
