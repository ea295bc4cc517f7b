/// Processor time and memory of this process, for measurements.
#pragma once

#include <malloc.h>
#include <time.h>

#include <cstdint>

namespace ebonypin::bench {

/// Returns the processor time that the calling thread has used, in microseconds.
[[nodiscard]] inline double ThreadCpuMicros() noexcept {
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e6 + static_cast<double>(now.tv_nsec) / 1e3;
}

/// Returns the bytes of heap in use by the process.
[[nodiscard]] inline std::uint64_t HeapBytes() noexcept {
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

}  // namespace ebonypin::bench
