/// HTTP listener that dispatches calls to routes and answers each call once.
#pragma once

#include <atomic>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "ebonypin/http/server.h"
#include "ebonypin/platform/call_gate.h"
#include "http_api.h"

namespace ebonypin::daemon {

/// Route such as "/v1/jobs/{id}". A segment in braces matches any value.
struct Route {
  web::http::method m_method;
  std::vector<std::string> m_segments;
  ApiHandler m_handler;
};

struct HttpCounters {
  std::atomic<std::uint64_t> m_calls{0};
  std::atomic<std::uint64_t> m_refused{0};  ///< Answers with status 400 or above, except 504.
  std::atomic<std::uint64_t> m_unknown{0};  ///< Answers with status 504.
  std::atomic<std::int64_t> m_in_progress{0};
};

class HttpServer {
 public:
  /// `address` is "ip:port".
  explicit HttpServer(std::string address, const http::ServerLimits& limits = {});
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Adds a route. Call it before Open.
  void Add(const web::http::method& method, const std::string& path, ApiHandler handler);

  /// Begins to serve. Throws std::exception when the address is in use.
  void Open();

  /// Refuses requests that no handler has got, waits for the handlers that are running and gives
  /// the requests that were handled `answer`. Returns when the answers have been written, at the
  /// latest after `timeout`. Later answers to these requests are ignored.
  void Stop(const ApiAnswer& answer, core::Duration timeout);

  [[nodiscard]] const HttpCounters& Counters() const noexcept { return m_calls->m_counters; }
  /// Returns the counters of the connections; all zero before Open.
  [[nodiscard]] http::ServerCounters ConnectionCounters() const;

 private:
  /// Request in progress, which is answered once.
  struct OpenRequest {
    http::Respond m_respond;
    std::atomic<bool> m_handled{false};  ///< A handler was called.
    std::atomic_flag m_answered;
  };
  using OpenRequestPtr = std::shared_ptr<OpenRequest>;

  /// Shared with handlers that answer after the server was destroyed.
  struct Calls {
    platform::CallGate m_gate;  ///< Handlers are called through it.
    HttpCounters m_counters;
    std::mutex m_mutex;
    std::set<OpenRequestPtr> m_open;
  };

  void Serve(const http::Request& request, http::Respond respond);
  void Dispatch(const OpenRequestPtr& open, const http::Request& request);
  static void Send(const std::shared_ptr<Calls>& calls, const OpenRequestPtr& open,
                   const ApiAnswer& answer);

  const std::string m_address;
  const http::ServerLimits m_limits;
  const std::shared_ptr<Calls> m_calls = std::make_shared<Calls>();
  std::vector<Route> m_routes;
  std::atomic<bool> m_open{false};  ///< Set after m_server, which metrics read from other threads.
  std::unique_ptr<http::Server> m_server;
};

}  // namespace ebonypin::daemon
