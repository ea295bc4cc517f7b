/// Incoming connections of an RPC server: which of them are closed when there are too many, or when
/// the messages that they announce need too much memory.
#pragma once

#include <kj/async-io.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "ebonypin/core/connection_table.h"

namespace ebonypin::wire {

/// Written on the event loop thread, read by any thread.
struct IncomingCounters {
  std::atomic<std::uint64_t> m_open{0};             ///< Now.
  std::atomic<std::uint64_t> m_receiving_bytes{0};  ///< Of incomplete messages, now.
  // Connections closed since the start, by the limit that was reached.
  std::atomic<std::uint64_t> m_closed_for_connections{0};
  std::atomic<std::uint64_t> m_closed_for_memory{0};
  std::atomic<std::uint64_t> m_closed_for_descriptors{0};
};

/// Used on the event loop thread only.
class IncomingConnections {
 public:
  /// What the server needs to serve one connection.
  struct Incoming {
    core::ConnectionId m_id = 0;
    kj::Own<kj::AsyncIoStream> m_stream;
    /// Resolves when the connection is to be closed because of a limit.
    kj::Promise<void> m_closed;
  };

  IncomingConnections(const core::ConnectionLimits& limits, IncomingCounters& counters);

  /// Adds a connection. The longest idle one is closed when there are too many; the new one is,
  /// and null is returned, when all others have calls in progress.
  kj::Maybe<Incoming> Add(kj::Own<kj::AsyncIoStream> accepted);
  void Remove(core::ConnectionId id);

  /// A connection with a call in progress is not closed for others, unless it holds memory for an
  /// incomplete message.
  void BeginCall(core::ConnectionId id);
  void EndCall(core::ConnectionId id);

  /// Closes the longest idle connection after an accept that failed for lack of descriptors.
  void CloseOneForDescriptors();

 private:
  class Stream;
  struct Connection {
    std::size_t m_calls = 0;            ///< In progress.
    std::size_t m_receiving_bytes = 0;  ///< Memory of an incomplete message.
    kj::Own<kj::PromiseFulfiller<void>> m_close;
  };

  /// Notes the memory of the message that the connection begins to receive, or zero. Returns false
  /// when the connection is closed since there is not enough memory.
  bool SetReceiving(core::ConnectionId id, std::size_t bytes);
  bool Update(core::ConnectionId id, const Connection& connection);
  void Close(core::ConnectionId id, std::atomic<std::uint64_t>& counter);

  core::ConnectionTable m_table;
  IncomingCounters& m_counters;
  core::ConnectionId m_last_id = 0;
  std::unordered_map<core::ConnectionId, Connection> m_connections;
};

}  // namespace ebonypin::wire
