/// Shares of a machine's memory and descriptors that the HTTP listeners of a process may use.
#pragma once

#include <cstddef>
#include <cstdint>

namespace ebonypin::core {

/// Limits of the machine. A process that exceeds the memory is killed.
struct MachineLimits {
  std::uint64_t m_memory_bytes = 0;
  std::uint32_t m_descriptors = 0;
};

struct ListenerShare {
  std::size_t m_max_connections = 0;
  /// Heads, bodies and requests in progress of all connections, in bytes.
  std::size_t m_max_buffered_bytes = 0;

  friend bool operator==(const ListenerShare&, const ListenerShare&) = default;
};

/// Descriptors that are reserved for files.
inline constexpr std::uint32_t kFileDescriptors = 200;
/// Bytes that the kernel holds for a connection, received and to be sent, which count as memory of
/// the process. With the shares of the API the server sets buffers of 8 KiB each way, and the
/// kernel allows twice that.
inline constexpr std::size_t kKernelBytesPerConnection = std::size_t{32} << 10U;
/// Connections of a listener for a few known clients, such as the load balancer's probes.
inline constexpr std::size_t kSideConnections = 64;

/// Returns the share of the API. A quarter of the memory is for kernel buffers and an
/// eighth for buffered requests. Decoding a job takes at most as much again as its body. Half of
/// the memory is left to the process itself. Half of the descriptors that are not reserved for
/// files is left to outgoing connections and RPC. Two requests of `max_request_bytes` fit in any
/// case.
[[nodiscard]] ListenerShare ShareOfApi(const MachineLimits& machine,
                                       std::size_t max_request_bytes) noexcept;

/// Returns the number of incoming RPC connections: a quarter of the descriptors that are not
/// reserved for files. Another quarter is left to outgoing connections.
[[nodiscard]] std::size_t MaxRpcConnections(std::uint32_t descriptors) noexcept;

/// Returns the share of a listener for a few known clients: two requests of `max_request_bytes`,
/// and 16 KiB for each connection.
[[nodiscard]] ListenerShare ShareOfSideListener(std::size_t max_request_bytes) noexcept;

}  // namespace ebonypin::core
