#include "ebonypin/core/listener_share.h"

#include <algorithm>

namespace ebonypin::core {
namespace {

constexpr std::size_t kKernelParts = 4;    ///< One part of the memory is for kernel buffers.
constexpr std::size_t kBufferedParts = 8;  ///< One part of the memory is for requests.
constexpr std::uint32_t kDescriptorParts = 2;
constexpr std::uint32_t kRpcDescriptorParts = 4;
constexpr std::size_t kRequestsThatFit = 2;
constexpr std::size_t kMinConnections = 16;
constexpr std::size_t kSideBytesPerConnection = std::size_t{16} << 10U;

std::uint32_t FreeDescriptors(const std::uint32_t descriptors) noexcept {
  return descriptors - std::min(descriptors, kFileDescriptors);
}

}  // namespace

ListenerShare ShareOfApi(const MachineLimits& machine,
                         const std::size_t max_request_bytes) noexcept {
  const std::size_t by_memory = machine.m_memory_bytes / kKernelParts / kKernelBytesPerConnection;
  const std::size_t by_descriptors = FreeDescriptors(machine.m_descriptors) / kDescriptorParts;
  return {.m_max_connections = std::max(std::min(by_memory, by_descriptors), kMinConnections),
          .m_max_buffered_bytes = std::max<std::size_t>(machine.m_memory_bytes / kBufferedParts,
                                                        kRequestsThatFit * max_request_bytes)};
}

std::size_t MaxRpcConnections(const std::uint32_t descriptors) noexcept {
  return std::max<std::size_t>(FreeDescriptors(descriptors) / kRpcDescriptorParts, kMinConnections);
}

ListenerShare ShareOfSideListener(const std::size_t max_request_bytes) noexcept {
  return {.m_max_connections = kSideConnections,
          .m_max_buffered_bytes =
              kSideConnections * kSideBytesPerConnection + kRequestsThatFit * max_request_bytes};
}

}  // namespace ebonypin::core
