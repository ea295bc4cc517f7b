/// Cap'n Proto RPC between processes. One thread runs the event loop for incoming and outgoing
/// calls.
///
/// A call ends with a reply, at its deadline or when its connection is lost. An established
/// connection may stop delivering data for good while new ones work, for example because a device
/// between the two ends has dropped its state for the connection. After a timeout the next call to
/// that address therefore uses a new connection, and the old one is closed once its calls have
/// ended.
///
/// Example:
///
///     wire::Rpc rpc({.m_listen_ip = "127.0.0.1", .m_listen_port = 7101, .m_handler = Handle});
///     rpc.Call("127.0.0.1:7102", core::EntryHeartbeat{...}, 500ms, [](wire::CallResult result) {
///     ... });
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "ebonypin/core/messages.h"

namespace ebonypin::wire {

/// Outcome of a call.
struct CallResult {
  /// Reply, or an Error: kTimeout and kDisconnected leave open whether the call had an effect;
  /// kNoCapacity means that the call was not sent.
  core::Message m_reply;

  /// Returns the error that ended the call, or null when there is a reply.
  [[nodiscard]] const core::Error* GetError() const noexcept {
    return std::get_if<core::Error>(&m_reply);
  }

  /// Returns the reply as a `T`, or null when it is an error or another message.
  template <typename T>
  [[nodiscard]] const T* Get() const noexcept {
    return std::get_if<T>(&m_reply);
  }
};

/// Sends the reply to a call; may be called once, from any thread.
using ReplyFunction = std::function<void(core::Message)>;

/// Serves one message. Runs on the RPC thread and must not block; it may reply later from another
/// thread.
using RpcHandler = std::function<void(core::Message, ReplyFunction)>;

/// Receives the outcome of a call on the RPC thread; must not block.
using CallDone = std::function<void(CallResult)>;

struct RpcOptions {
  std::string m_listen_ip;          ///< Empty for a client without a server.
  std::uint16_t m_listen_port = 0;  ///< 0 picks a free port; see Rpc::Port.
  RpcHandler m_handler;
  std::size_t m_max_calls_in_flight =
      4096;  ///< Further calls are not sent and fail immediately with kNoCapacity.
  /// Incoming connections. For a further one the longest idle one is closed, which its peer opens
  /// again with its next call.
  std::size_t m_max_connections = 1024;
  /// Memory for messages that have begun to arrive, of all incoming connections, in bytes. For a
  /// further message the connection whose message began first is closed. Messages of the system
  /// arrive within milliseconds, so that few of them are incomplete at a time.
  std::size_t m_max_receiving_bytes = std::size_t{16} << 20U;
};

/// Counters since the start of the process, for metrics.
struct RpcCounters {
  std::uint64_t m_calls = 0;
  std::uint64_t m_timeouts = 0;
  std::uint64_t m_disconnects = 0;
  std::uint64_t m_reconnects = 0;  ///< Connections replaced after a timeout.
  std::uint64_t m_served = 0;
  std::uint64_t m_accept_failures = 0;  ///< Most often the process had no descriptors left.
  std::uint64_t m_open = 0;             ///< Incoming connections, now.
  std::uint64_t m_receiving_bytes = 0;  ///< Of incoming messages that are incomplete, now.
  // Incoming connections that were closed, by the limit that was reached.
  std::uint64_t m_closed_for_connections = 0;
  std::uint64_t m_closed_for_memory = 0;
  std::uint64_t m_closed_for_descriptors = 0;
  std::uint64_t m_bytes_sent = 0;  ///< Payload without TCP and IP headers.
  std::uint64_t m_bytes_received = 0;
};

/// Server and client on one event loop thread. All members may be used from any thread.
class Rpc {
 public:
  /// Starts the thread and, when `m_listen_ip` is set, the server. Throws std::runtime_error when
  /// it cannot listen at the address.
  explicit Rpc(RpcOptions options);
  ~Rpc();
  Rpc(const Rpc&) = delete;
  Rpc& operator=(const Rpc&) = delete;

  /// Sends `request` to "ip:port" and calls `done` exactly once, at the latest after `deadline`.
  void Call(std::string address, core::Message request, core::Duration deadline, CallDone done);

  /// Returns the port of the server, or 0 without a server.
  [[nodiscard]] std::uint16_t Port() const noexcept;

  [[nodiscard]] RpcCounters Counters() const noexcept;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace ebonypin::wire
