/// Reports on the connections that a listener closed because of its limits.
#pragma once

#include <string>

#include "ebonypin/core/time.h"
#include "ebonypin/http/server.h"

namespace ebonypin::daemon {

/// Returns how many connections were closed between `before` and `now`, by reason, such as
/// "head_timeout 3, malformed 1". Idle connections, which clients keep open as a matter of course,
/// are left out.
[[nodiscard]] std::string ClosedSince(const http::ServerCounters& before,
                                      const http::ServerCounters& now);

/// Logs E633 when connections were closed, at most once every 10 s.
class ListenerReport {
 public:
  explicit ListenerReport(std::string listener) : m_listener(std::move(listener)) {}

  /// Call it at intervals with the counters of the listener.
  void Update(const http::ServerCounters& counters, core::Time now);

 private:
  const std::string m_listener;
  http::ServerCounters m_reported;
  core::Time m_next;  ///< Earliest time of the next line.
};

}  // namespace ebonypin::daemon
