/// Fake entries for tests; FakeEntry answers HTTP calls with a handler function and records them.
#pragma once

#include <cpprest/json.h>

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "ebonypin/http/server.h"

namespace ebonypin::ctl {

/// Received call, for example {"GET", "/v1/audit?limit=1", null}.
struct FakeCall {
  std::string m_method;
  std::string m_path;
  web::json::value m_body;
};

/// HTTP status and body of a response.
using FakeResponse = std::pair<int, web::json::value>;

class FakeEntry {
 public:
  explicit FakeEntry(std::function<FakeResponse(const FakeCall&)> handler);
  FakeEntry(const FakeEntry&) = delete;
  FakeEntry& operator=(const FakeEntry&) = delete;

  [[nodiscard]] const std::string& Url() const noexcept { return m_url; }
  [[nodiscard]] std::vector<FakeCall> Calls();

 private:
  void Serve(const http::Request& request, const http::Respond& respond);

  std::function<FakeResponse(const FakeCall&)> m_handler;
  std::mutex m_mutex;
  std::vector<FakeCall> m_calls;
  std::string m_url;
  /// Last, so that it stops before what its handler uses.
  std::unique_ptr<http::Server> m_server;
};

/// Accepts connections and requests but never responds, like an entry that is paused or
/// partitioned.
class SilentEntry {
 public:
  SilentEntry();
  ~SilentEntry();
  SilentEntry(const SilentEntry&) = delete;
  SilentEntry& operator=(const SilentEntry&) = delete;

  [[nodiscard]] const std::string& Url() const noexcept { return m_url; }

 private:
  int m_socket = -1;
  std::string m_url;
};

/// Returns a loopback URL on which no process listens.
[[nodiscard]] std::string ClosedUrl();

/// Returns `text` parsed as JSON.
[[nodiscard]] web::json::value Json(const std::string& text);

}  // namespace ebonypin::ctl
