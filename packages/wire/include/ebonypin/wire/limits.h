/// Limits and version of the wire format.
#pragma once

#include <cstddef>
#include <cstdint>

namespace ebonypin::wire {

/// Version written into every envelope and batch. Fields are only added, so readers accept newer
/// ones.
inline constexpr std::uint16_t kWireVersion = 1;

/// Largest message or batch in bytes.
inline constexpr std::size_t kMaxMessageBytes = 1U << 20U;

/// The same limit in words of 8 bytes, as Cap'n Proto's traversal limit counts.
inline constexpr std::uint64_t kMaxMessageWords = kMaxMessageBytes / 8;

/// Longest list in a message or batch. Elements without content take no space on the wire, so the
/// size limit alone lets 440 bytes decode into 30,000 elements.
inline constexpr unsigned kMaxListElements = 4096;

/// Set of function objects that together serve as a visitor for std::visit.
template <typename... F>
struct Overloaded : F... {
  using F::operator()...;
};
template <typename... F>
Overloaded(F...) -> Overloaded<F...>;

}  // namespace ebonypin::wire
