#include "boot_clock.h"

#include <time.h>

namespace ebonypin::daemon {

core::Time BootNow() noexcept {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return core::Time{std::chrono::seconds{now.tv_sec} + std::chrono::duration_cast<core::Duration>(
                                                           std::chrono::nanoseconds{now.tv_nsec})};
}

}  // namespace ebonypin::daemon
