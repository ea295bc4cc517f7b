/// The thread of a server with its connections.
#pragma once

#include <array>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include "close_reason.h"
#include "ebonypin/core/connection_table.h"
#include "ebonypin/http/server.h"

namespace ebonypin::http {

class Connection;

/// Returns the time of the monotonic clock, in the core's type.
[[nodiscard]] core::Time Now() noexcept;

/// Calls `sent` unless it is empty.
void CallSent(const Sent& sent, const std::string& error) noexcept;

/// Names one request of one connection.
struct RequestKey {
  core::ConnectionId m_connection = 0;
  std::uint64_t m_number = 0;  ///< Counts the requests of the connection.
};

class Listener : public std::enable_shared_from_this<Listener> {
 public:
  Listener(const std::string& address, const ServerLimits& limits, Handler handler,
           Refusal refusal);
  ~Listener();

  void Start();
  /// Ends the thread. Must not be called on it.
  void Stop();

  /// May be called from any thread.
  void SetLimits(const ServerLimits& limits);
  [[nodiscard]] ServerCounters Counters() const;

  // The rest is used by connections, on the thread.

  [[nodiscard]] const ServerLimits& Limits() const noexcept { return m_limits; }
  [[nodiscard]] bool IsStopping() const noexcept { return m_stopping; }

  /// Buffer that all connections read into. Its content is lost with the next read.
  [[nodiscard]] std::array<char, std::size_t{32} << 10U>& ReadBuffer() noexcept {
    return m_read_buffer;
  }

  /// Moves a connection to another phase. Closes others, or this one, when the memory does not
  /// suffice. Returns whether this connection is still open.
  [[nodiscard]] bool Move(Connection& connection, core::ConnectionPhase phase, std::size_t bytes);

  /// Calls the handler.
  void Handle(const Request& request, RequestKey key);

  /// Returns the response to a request that is refused.
  [[nodiscard]] Response RefusalOf(unsigned status, const std::string& reason) const;

  void Count(CloseReason reason) noexcept;

  /// Forgets a connection that is closed.
  void Remove(core::ConnectionId id);

 private:
  struct PendingResponse {
    RequestKey m_key;
    Response m_response;
    Sent m_sent;
  };

  void Open(const std::string& address);
  void SetBufferSizes();
  void Run();
  void Accept();
  void AddSocket(boost::asio::ip::tcp::socket socket);
  void PauseAccepting(const boost::system::error_code& error);
  void CloseAll(const std::vector<core::ConnectionId>& ids, CloseReason reason);
  void PublishTable() noexcept;

  void ScheduleSweep();
  void Sweep();

  void Enqueue(PendingResponse response);
  void WritePending();

  void BeginStop();
  void CloseWhere(const std::function<bool(const Connection&)>& predicate);
  void EndWhenEmpty();

  boost::asio::io_context m_context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
  boost::asio::ip::tcp::acceptor m_acceptor;
  boost::asio::steady_timer m_accept_timer;
  boost::asio::steady_timer m_sweep_timer;
  boost::asio::steady_timer m_stop_timer;
  bool m_sweeping = false;
  bool m_stopping = false;
  const Handler m_handler;
  const Refusal m_refusal;
  ServerLimits m_limits;
  core::ConnectionId m_last_id = 0;
  core::ConnectionTable m_table;
  std::unordered_map<core::ConnectionId, std::shared_ptr<Connection>> m_connections;
  std::array<char, std::size_t{32} << 10U> m_read_buffer{};

  std::atomic<std::uint64_t> m_accepted{0};
  std::atomic<std::uint64_t> m_open{0};
  std::atomic<std::uint64_t> m_buffered{0};
  std::array<std::atomic<std::uint64_t>, kCloseReasonNames.size()> m_closed{};

  std::mutex m_pending_mutex;
  bool m_ended = false;  ///< No response is accepted any more.
  std::vector<PendingResponse> m_pending;

  std::thread m_thread;
};

}  // namespace ebonypin::http
