/// Thread that runs functions at given times, in the order of their times.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "ebonypin/core/time.h"

namespace ebonypin::daemon {

/// Returns the monotonic clock as the core reads it.
[[nodiscard]] core::Time Now() noexcept;

/// Returns the wall clock, for audit records.
[[nodiscard]] core::WallMillis WallNow() noexcept;

/// Runs functions one after another. All members may be used from any thread.
class EventThread {
 public:
  EventThread();
  ~EventThread();
  EventThread(const EventThread&) = delete;
  EventThread& operator=(const EventThread&) = delete;

  /// Runs `function` at `time` or soon after. Ignored after Stop.
  void At(core::Time time, std::function<void()> function);

  /// Runs `function` as soon as possible, after those posted before.
  void Post(std::function<void()> function);

  /// Runs `function` now and then every `interval` until Stop.
  void Every(core::Duration interval, std::function<void()> function);

  /// Ends the thread after the function that runs now; the others are dropped.
  void Stop();

 private:
  void Run();

  std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_stopping = false;
  std::multimap<core::Time, std::function<void()>> m_functions;
  std::thread m_thread;
};

}  // namespace ebonypin::daemon
