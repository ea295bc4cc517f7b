/// HTTP/1.1 server that bounds the memory, the time and the descriptors that clients can use.
///
/// Example:
///
///     Server server("127.0.0.1:8080", {}, [](const Request& request, Respond respond) {
///       respond({.m_status = 200, .m_body = "{}"}, {});
///     });
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "ebonypin/core/time.h"

namespace ebonypin::http {

/// Limits of one listener. No client within the documented limits of the API reaches the defaults.
struct ServerLimits {
  /// Request line and headers, in bytes; also each chunk header, and the trailers of a body.
  std::size_t m_max_head_bytes = std::size_t{16} << 10U;
  std::size_t m_max_body_bytes = std::size_t{256} << 10U;
  /// From the accept, or from the first byte of a later request, to the end of the head.
  core::Duration m_head_timeout = std::chrono::seconds{3};
  core::Duration m_idle_timeout = std::chrono::seconds{15};  ///< Between two requests.
  core::Duration m_body_timeout = std::chrono::seconds{30};  ///< To receive one body.
  core::Duration m_write_timeout =
      std::chrono::seconds{30};  ///< For the client to take a response.
  std::size_t m_max_connections = 1024;
  /// Heads, bodies and requests in progress of all connections, in bytes.
  std::size_t m_max_buffered_bytes = std::size_t{16} << 20U;

  friend bool operator==(const ServerLimits&, const ServerLimits&) = default;
};

/// Compares the names of headers without regard to case.
struct HeaderNameLess {
  bool operator()(const std::string& a, const std::string& b) const noexcept;
};

/// Complete request within the limits.
struct Request {
  std::string m_method;  ///< Such as "GET".
  std::string m_path;    ///< As sent, not decoded, without the query.
  std::string m_query;   ///< As sent, without the question mark.
  std::map<std::string, std::string, HeaderNameLess> m_headers;
  std::string m_body;
};

struct Response {
  unsigned m_status = 200;
  std::string m_body;
  std::string m_content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> m_headers;
  bool m_closes = false;  ///< Sends "Connection: close" and closes the connection after it.
};

/// Called once when a response has been written, or with the reason why it could not be written.
using Sent = std::function<void(const std::string& error)>;
/// Sends the response. May be called from any thread, also after the server was destroyed, when the
/// response is dropped. Calls after the first one do nothing.
using Respond = std::function<void(Response, Sent)>;
/// Called on the thread of the server for each complete request. Must not block.
using Handler = std::function<void(const Request&, Respond)>;
/// Returns the response to a request that the server refuses with `status`: 400, 408, 413 or 431.
/// Called on the thread of the server. The connection is closed after the response.
using Refusal = std::function<Response(unsigned status, const std::string& reason)>;

/// What the server has done since its start.
struct ServerCounters {
  std::uint64_t m_accepted = 0;
  std::uint64_t m_open = 0;            ///< Connections now.
  std::uint64_t m_buffered_bytes = 0;  ///< Now.
  /// Connections closed because a limit was exceeded, by the name of the reason.
  std::map<std::string, std::uint64_t> m_closed;
};

class Server {
 public:
  /// Begins to serve at `address`, "ip:port". Throws std::exception when the address is in use.
  /// Without `refusal`, requests beyond the limits get the reason as plain text.
  Server(const std::string& address, const ServerLimits& limits, Handler handler,
         Refusal refusal = {});
  /// Stops accepting and reading, writes the responses that have been given, and closes all
  /// connections. Waits for the handlers that are running. Later ones are not called.
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Applies from the next request of each connection on. May be called from any thread.
  void SetLimits(const ServerLimits& limits);

  [[nodiscard]] ServerCounters Counters() const;

 private:
  class Impl;
  const std::shared_ptr<Impl> m_impl;
};

}  // namespace ebonypin::http
