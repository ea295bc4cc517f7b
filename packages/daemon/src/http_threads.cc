#include "http_threads.h"

#include <stdexcept>
#include <utility>

// The Boost variant of this header uses <utility> without including it.
#include <pplx/threadpool.h>

namespace ebonypin::daemon {

void LimitHttpThreads(const std::size_t threads) {
  try {
    crossplat::threadpool::initialize_with_threads(threads);
  } catch (const std::exception&) {
    // Another role of this process has started the threads already.
  }
}

}  // namespace ebonypin::daemon
