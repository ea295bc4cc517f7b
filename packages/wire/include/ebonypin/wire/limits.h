/// Limits and version of the wire format.
#pragma once

#include <cstddef>
#include <cstdint>

namespace ebonypin::wire {

/// Version written into every envelope and batch. Schema changes only add fields, so readers accept
/// newer versions.
inline constexpr std::uint16_t kWireVersion = 1;

/// Largest message or batch in bytes.
inline constexpr std::size_t kMaxMessageBytes = 1U << 20U;

/// The same limit in words of 8 bytes, the unit of Cap'n Proto's traversal limit.
inline constexpr std::uint64_t kMaxMessageWords = kMaxMessageBytes / 8;

/// Largest number of elements in a list of a message or batch. Empty elements take no space on the
/// wire, so under the size limit alone 440 bytes could decode into 30,000 elements.
inline constexpr unsigned kMaxListElements = 4096;

/// Combines function objects into one visitor for std::visit.
template <typename... F>
struct Overloaded : F... {
  using F::operator()...;
};
template <typename... F>
Overloaded(F...) -> Overloaded<F...>;

}  // namespace ebonypin::wire
