/// Decides which connections of a server may use memory and which are closed when memory,
/// connections or descriptors run out.
///
/// Connections are closed in this order: those whose client has not taken a response within
/// kPromptWrite, longest first; idle ones, longest idle first; those that read a head, oldest
/// first; those that read a body, oldest first; the other ones that write a response, oldest first.
/// A connection whose request a handler has is never closed, because the handler may have acted on
/// it. Once its response is complete, closing the connection says no more than any lost connection.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "ebonypin/core/time.h"

namespace ebonypin::core {

using ConnectionId = std::uint64_t;

/// In the order in which connections are closed, apart from those that write for too long.
enum class ConnectionPhase : std::uint8_t { kIdle, kHead, kBody, kWriting, kHandled };

/// Time in which an ordinary client takes a response. Most responses fit into the buffers of the
/// kernel, so that their time in phase kWriting is zero.
inline constexpr Duration kPromptWrite = std::chrono::seconds{1};

struct ConnectionLimits {
  std::size_t m_max_connections = 1024;
  std::size_t m_max_bytes = std::size_t{16} << 20U;  ///< Of all connections together.

  friend bool operator==(const ConnectionLimits&, const ConnectionLimits&) = default;
};

struct ConnectionRecord {
  ConnectionPhase m_phase = ConnectionPhase::kHead;
  Time m_since{};  ///< Begin of the phase.
  std::size_t m_bytes = 0;
};

using ConnectionOrder = std::set<std::tuple<ConnectionPhase, Time, ConnectionId>>;

struct ConnectionTable {
  ConnectionLimits m_limits;
  std::unordered_map<ConnectionId, ConnectionRecord> m_records;
  ConnectionOrder m_closable;         ///< All that are not in phase kHandled.
  ConnectionOrder m_closable_memory;  ///< Those of m_closable that hold bytes.
  std::size_t m_bytes = 0;            ///< Of all connections.
  std::size_t m_handled_bytes = 0;    ///< Of the connections in phase kHandled.
};

/// Connections that the driver must close. They are no longer in the table.
struct ConnectionVerdict {
  bool m_admitted = true;  ///< Otherwise the driver closes the asking connection, too.
  std::vector<ConnectionId> m_close;
};

/// Adds a connection in phase kHead, which is refused when `m_max_connections` others have requests
/// in progress.
ConnectionVerdict AddConnection(ConnectionTable& table, ConnectionId id, Time now);

/// Moves a connection to `phase`, in which it holds `bytes`. Connections that hold bytes are closed
/// until these fit. The connection is refused, and removed, when they do not fit even without all
/// others that may be closed. From phase kHandled to kHandled or kWriting its bytes change without
/// a check, since the request may have been acted on.
ConnectionVerdict MoveConnection(ConnectionTable& table, ConnectionId id, ConnectionPhase phase,
                                 std::size_t bytes, Time now);

/// Removes and returns the connection to close when the process has no descriptors or memory left.
std::optional<ConnectionId> TakeConnectionToClose(ConnectionTable& table, Time now);

/// Does nothing when the connection is not in the table.
void RemoveConnection(ConnectionTable& table, ConnectionId id);

}  // namespace ebonypin::core
