/// Thread pool of the HTTP library.
#pragma once

#include <cstddef>

namespace ebonypin::daemon {

/// Sets the number of threads of the HTTP library. Its default of 40 suits larger processes. Has no
/// effect when another role of the process has set the number already.
void LimitHttpThreads(std::size_t threads);

}  // namespace ebonypin::daemon
