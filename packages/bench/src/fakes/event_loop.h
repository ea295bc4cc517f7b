/// Virtual time: runs callbacks in order of time, then of scheduling.
#pragma once

#include <functional>
#include <queue>
#include <vector>

#include "ebonypin/core/time.h"

namespace ebonypin::bench {

using core::Duration;
using core::Time;

class EventLoop {
 public:
  [[nodiscard]] Time Now() const noexcept { return m_now; }

  void At(const Time at, std::function<void()> run) {
    m_events.push({.m_at = std::max(at, m_now), .m_order = ++m_last, .m_run = std::move(run)});
  }

  void After(const Duration delay, std::function<void()> run) { At(m_now + delay, std::move(run)); }

  /// Runs until there are no events before `end`.
  void RunUntil(const Time end) {
    while (!m_events.empty() && m_events.top().m_at <= end) {
      const auto run = std::move(const_cast<Event&>(m_events.top()).m_run);
      m_now = m_events.top().m_at;
      m_events.pop();
      run();
    }
    m_now = end;
  }

 private:
  struct Event {
    Time m_at;
    std::uint64_t m_order;
    std::function<void()> m_run;
    bool operator<(const Event& other) const noexcept {
      return m_at != other.m_at ? m_at > other.m_at : m_order > other.m_order;
    }
  };

  Time m_now{std::chrono::seconds{1000}};
  std::uint64_t m_last = 0;
  std::priority_queue<Event> m_events;
};

}  // namespace ebonypin::bench
