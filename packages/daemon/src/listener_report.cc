#include "listener_report.h"

#include "ebonypin/daemon/events.h"

namespace ebonypin::daemon {
namespace {

constexpr core::Duration kReportInterval = std::chrono::seconds{10};
constexpr auto kIdleReason = "idle_timeout";

}  // namespace

std::string ClosedSince(const http::ServerCounters& before, const http::ServerCounters& now) {
  std::string text;
  for (const auto& [reason, count] : now.m_closed) {
    if (reason == kIdleReason) continue;
    const auto earlier = before.m_closed.find(reason);
    const auto closed = count - (earlier == before.m_closed.end() ? 0 : earlier->second);
    if (closed > 0) text += (text.empty() ? "" : ", ") + reason + ' ' + std::to_string(closed);
  }
  return text;
}

void ListenerReport::Update(const http::ServerCounters& counters, const core::Time now) {
  if (now < m_next) return;
  const auto closed = ClosedSince(m_reported, counters);
  if (closed.empty()) return;
  LogEvent(kConnectionsClosed, {{"listener", m_listener},
                                {"closed", closed},
                                {"open", counters.m_open},
                                {"buffered_bytes", counters.m_buffered_bytes}});
  m_reported = counters;
  m_next = now + kReportInterval;
}

}  // namespace ebonypin::daemon
