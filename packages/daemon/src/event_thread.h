/// Thread that runs functions in the order of their due times.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>

#include "ebonypin/core/time.h"

namespace ebonypin::daemon {

/// Returns the time of the monotonic clock, in the core's type.
[[nodiscard]] core::Time Now() noexcept;

/// Returns the time of the wall clock, for audit records.
[[nodiscard]] core::WallMillis WallNow() noexcept;

/// Runs functions one at a time on its own thread. All members may be used from any thread.
class EventThread {
 public:
  EventThread();
  ~EventThread();
  EventThread(const EventThread&) = delete;
  EventThread& operator=(const EventThread&) = delete;

  /// Runs `function` at `time` or soon after. Does nothing after Stop.
  void At(core::Time time, std::function<void()> function);

  /// Runs `function` as soon as possible, after the functions posted earlier.
  void Post(std::function<void()> function);

  /// Runs `function` as soon as possible, and again `interval` after the end of each run, until
  /// Stop.
  void Every(core::Duration interval, std::function<void()> function);

  /// Ends the thread after the function that is running. Waiting functions are dropped.
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
