/// Processor, memory and accelerator quantities.
#pragma once

#include <cstdint>

namespace ebonypin::core {

/// Amount of an instance's resources, declared, committed, used or available.
struct Resources {
  std::int64_t m_cpu_millis = 0;    ///< Thousandths of a processor.
  std::int64_t m_memory_mb = 0;     ///< Mebibytes.
  std::int64_t m_accelerators = 0;  ///< Whole accelerators.

  friend bool operator==(const Resources&, const Resources&) = default;
};

/// Returns the component-wise sum.
[[nodiscard]] constexpr Resources operator+(const Resources& a, const Resources& b) noexcept {
  return {.m_cpu_millis = a.m_cpu_millis + b.m_cpu_millis,
          .m_memory_mb = a.m_memory_mb + b.m_memory_mb,
          .m_accelerators = a.m_accelerators + b.m_accelerators};
}

/// Returns the component-wise difference, which may be negative.
[[nodiscard]] constexpr Resources operator-(const Resources& a, const Resources& b) noexcept {
  return {.m_cpu_millis = a.m_cpu_millis - b.m_cpu_millis,
          .m_memory_mb = a.m_memory_mb - b.m_memory_mb,
          .m_accelerators = a.m_accelerators - b.m_accelerators};
}

/// Returns whether `need` fits into `available` in every component.
[[nodiscard]] constexpr bool Fits(const Resources& need, const Resources& available) noexcept {
  return need.m_cpu_millis <= available.m_cpu_millis && need.m_memory_mb <= available.m_memory_mb &&
         need.m_accelerators <= available.m_accelerators;
}

}  // namespace ebonypin::core
