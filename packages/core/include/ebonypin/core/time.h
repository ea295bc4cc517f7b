/// Time types of the decision core. The driver passes the time in; the core never reads a clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace ebonypin::core {

/// Length of time in microseconds.
using Duration = std::chrono::microseconds;

/// Point on the driver's monotonic clock, or on a test's virtual clock. Not comparable across
/// processes.
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Wall-clock time in milliseconds since the Unix epoch. Used for audit records only, never for
/// decisions.
using WallMillis = std::int64_t;

/// Returns `duration` in milliseconds as a floating-point number, for output.
[[nodiscard]] constexpr double ToMillis(const Duration duration) noexcept {
  return static_cast<double>(duration.count()) / 1000.0;
}

}  // namespace ebonypin::core
