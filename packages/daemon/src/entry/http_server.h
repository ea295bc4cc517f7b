/// HTTP listener that dispatches calls to routes, limits the size of bodies and answers each call
/// once.
#pragma once

#include <cpprest/http_listener.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

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
  explicit HttpServer(const std::string& address);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Adds a route. Call it before Open.
  void Add(const web::http::method& method, const std::string& path, ApiHandler handler);

  /// Begins to serve. Throws std::exception when the address is in use.
  void Open();

  /// Refuses further requests and gives those in progress `answer`. Returns when the answers have
  /// been written, at the latest after `timeout`. Later answers to these requests are ignored.
  void Stop(const ApiAnswer& answer, core::Duration timeout);

  [[nodiscard]] const HttpCounters& Counters() const noexcept { return m_counters; }

 private:
  /// Request in progress.
  struct OpenRequest {
    web::http::http_request m_request;
    std::atomic_flag m_answered;
  };
  using OpenRequestPtr = std::shared_ptr<OpenRequest>;

  void Serve(const web::http::http_request& request);
  void Handle(const OpenRequestPtr& open, const Route& route, ApiCall call);
  void Send(const OpenRequestPtr& open, const ApiAnswer& answer);

  web::http::experimental::listener::http_listener m_listener;
  std::vector<Route> m_routes;
  HttpCounters m_counters;
  bool m_open = false;
  std::atomic<bool> m_stopping{false};
  std::mutex m_mutex;
  std::set<OpenRequestPtr> m_open_requests;
};

}  // namespace ebonypin::daemon
