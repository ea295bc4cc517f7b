/// Keeps callbacks of a library away from an object that is being destroyed.
#pragma once

#include <atomic>
#include <mutex>
#include <shared_mutex>

namespace ebonypin::platform {

/// Shared by an object and its callbacks. The HTTP library reads the bodies of requests of a closed
/// listener to their ends, so their callbacks may begin after the object was destroyed.
class CallGate {
 public:
  /// Calls `function` unless the gate is closed, and returns whether it did. Calls must not be
  /// nested.
  template <typename F>
  bool Run(const F& function) {
    const std::shared_lock lock(m_running);
    if (m_closed) return false;
    function();
    return true;
  }

  /// Waits for the functions that are running. Later ones are not called.
  void Close() {
    // Set before the lock is taken, since a stream of calls could hold it without a gap.
    m_closed = true;
    const std::unique_lock lock(m_running);
  }

 private:
  std::shared_mutex m_running;
  std::atomic<bool> m_closed{false};
};

}  // namespace ebonypin::platform
