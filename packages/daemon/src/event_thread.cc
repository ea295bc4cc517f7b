#include "event_thread.h"

#include <utility>

namespace ebonypin::daemon {

core::Time Now() noexcept {
  return std::chrono::time_point_cast<core::Duration>(std::chrono::steady_clock::now());
}

core::WallMillis WallNow() noexcept {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

EventThread::EventThread() : m_thread([this] { Run(); }) {}

EventThread::~EventThread() { Stop(); }

void EventThread::At(const core::Time time, std::function<void()> function) {
  const std::lock_guard lock(m_mutex);
  if (m_stopping) return;
  const auto added = m_functions.emplace(time, std::move(function));
  if (added == m_functions.begin()) m_wake.notify_one();
}

void EventThread::Post(std::function<void()> function) { At(core::Time{}, std::move(function)); }

void EventThread::Every(const core::Duration interval, std::function<void()> function) {
  Post([this, interval, function = std::move(function)]() mutable {
    function();
    At(Now() + interval, [this, interval, function = std::move(function)]() mutable {
      Every(interval, std::move(function));
    });
  });
}

void EventThread::Stop() {
  std::multimap<core::Time, std::function<void()>> dropped;
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
    dropped.swap(m_functions);
  }
  m_wake.notify_one();
  if (m_thread.joinable()) m_thread.join();
}

void EventThread::Run() {
  std::unique_lock lock(m_mutex);
  while (!m_stopping) {
    if (m_functions.empty()) {
      m_wake.wait(lock);
    } else if (const auto first = m_functions.begin(); first->first > Now()) {
      // Copies the time, since Stop may remove the map entry during the wait and wait_until reads
      // its argument again afterwards.
      const auto due = first->first;
      m_wake.wait_until(lock, due);
    } else {
      const auto function = std::move(first->second);
      m_functions.erase(first);
      lock.unlock();
      function();
      lock.lock();
    }
  }
}

}  // namespace ebonypin::daemon
