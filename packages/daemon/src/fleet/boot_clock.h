/// Clock for grants and leases, which keep running out while the machine is suspended.
#pragma once

#include "ebonypin/core/time.h"

namespace ebonypin::daemon {

/// Returns the time since boot, including time in suspend, which the steady clock leaves out.
[[nodiscard]] core::Time BootNow() noexcept;

}  // namespace ebonypin::daemon
