/// One connection of a server: reads one request at a time and writes its response.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "close_reason.h"
#include "ebonypin/core/connection_table.h"
#include "ebonypin/http/server.h"
#include "listener.h"
#include "request_parser.h"

namespace ebonypin::http {

/// Used on the thread of the listener only.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Listener& listener, core::ConnectionId id, boost::asio::ip::tcp::socket socket);
  ~Connection();

  /// Waits for the first request.
  void Start();

  /// Begins to write the response to the request `number`. Calls `sent` at once when that request
  /// is not in progress.
  void Respond(std::uint64_t number, Response response, Sent sent);

  /// Closes the connection when it has exceeded a time limit.
  void CheckTimeout(core::Time now);

  [[nodiscard]] bool HasRequestInProgress() const noexcept { return m_stage == Stage::kHandled; }
  [[nodiscard]] bool IsWriting() const noexcept { return m_stage == Stage::kWriting; }
  [[nodiscard]] core::ConnectionId Id() const noexcept { return m_id; }
  [[nodiscard]] int Descriptor() { return m_socket.native_handle(); }

  /// Takes the events that poll(2) returned while a request is in progress.
  void OnPeerEvents(short events, core::Time now);

  /// Closes the connection without a response and frees what the kernel holds for it.
  void Abort(CloseReason reason);

  /// Closes the connection. The kernel still delivers what was written.
  void Close();

 private:
  enum class Stage : std::uint8_t {
    kIdle,
    kHead,
    kBody,
    kHandled,
    kWriting,
    kLingering,  ///< Discards input until the client has taken the last response.
    kClosed,
  };
  struct Outgoing;

  void SetStage(Stage stage, core::Duration timeout);
  void WaitReadable();
  void OnReadable();
  [[nodiscard]] bool ReadsInput() const noexcept;
  // These return whether more input is to be read now.
  bool Discard(std::size_t bytes);
  bool Consume(std::string_view data);
  bool AwaitMore();
  /// Returns false when the connection was closed for lack of memory.
  [[nodiscard]] bool Charge(core::ConnectionPhase phase, std::size_t bytes);
  void Dispatch();
  void Refuse(unsigned status, CloseReason reason, const char* text);
  void Write(Response response, Sent sent);
  void OnWritten(const boost::system::error_code& error);
  void Linger();
  void CloseFreeingOutput();
  /// Closes the connection and drops what the client has not taken.
  void Reset();

  Listener& m_listener;
  const core::ConnectionId m_id;
  boost::asio::ip::tcp::socket m_socket;
  Stage m_stage = Stage::kHead;
  core::Time m_deadline{};
  bool m_waiting = false;  ///< For input.
  std::uint64_t m_number = 0;
  std::optional<RequestParser> m_parser;  ///< From the first byte of a request to its end.
  std::string m_rest;                     ///< Input that is not parsed yet.
  std::size_t m_charged = 0;              ///< Bytes in the table.
  std::size_t m_discarded = 0;
  std::optional<core::Time> m_peer_ended;
  // Of the request in progress.
  unsigned m_version = 11;
  bool m_is_head = false;
  bool m_keeps_alive = false;
  bool m_closes = false;  ///< Close after the response.
  std::unique_ptr<Outgoing> m_outgoing;
};

}  // namespace ebonypin::http
