/// Clients that send bytes as no caller of the API would, over raw connections.
#pragma once

#include <atomic>
#include <cstddef>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace ebonypin::daemon {

/// What one connection sends.
struct ClientStream {
  std::string m_first;
  std::string m_repeated;         ///< Sent after it again and again; nothing when it is empty.
  std::size_t m_repetitions = 0;  ///< Bytes of the repeated part to send.
  std::string m_last;
  bool m_reads = true;             ///< Reads and drops what the server sends.
  bool m_awaits_response = false;  ///< Is finished only when the server has sent something.
  /// Opens a connection again when the server has closed it, this often. The repetitions count for
  /// all of them together.
  int m_reopenings = 0;
};

class ClientLoad {
 public:
  /// Opens `connections` connections to `address`. They stay open until this object is destroyed or
  /// the server closes them. With `receive_buffer`, in bytes, each takes little that it does not
  /// read.
  ClientLoad(const std::string& address, std::size_t connections, std::size_t receive_buffer = 0);
  ~ClientLoad();
  ClientLoad(const ClientLoad&) = delete;
  ClientLoad& operator=(const ClientLoad&) = delete;

  /// Sends `stream` on each connection. Returns when all have finished or were closed and the
  /// server has read everything. Ends earlier when the server takes and sends nothing for 5 s, and
  /// after 30 s. A client goes on sending when the server has only ended its own direction.
  void Send(const ClientStream& stream);

  /// Sends `byte` on each open connection every 50 ms until this object is destroyed.
  void BeginToDrip(char byte);

  [[nodiscard]] std::size_t SentBytes() const noexcept { return m_sent; }

 private:
  struct Connection {
    int m_socket = -1;
    std::size_t m_position = 0;     ///< In the stream.
    std::size_t m_repetitions = 0;  ///< Bytes of the repeated part that are left at its opening.
    int m_reopenings = 0;           ///< Left.
    bool m_received = false;
    bool m_read_to_end = false;
  };

  [[nodiscard]] int Open() const;
  void SendAll(const ClientStream& stream);
  /// Waits until the kernel holds no bytes that the server has not read, or does not read.
  void WaitUntilRead() const;
  static void Close(Connection& connection);
  [[nodiscard]] static std::size_t SizeOf(const Connection& connection, const ClientStream& stream);
  /// Returns a part of the stream from the position of the connection on, empty at its end.
  [[nodiscard]] static std::string_view NextPart(const Connection& connection,
                                                 const ClientStream& stream,
                                                 const std::string& block);
  /// Returns whether the connection needs no more events.
  [[nodiscard]] static bool IsFinished(const Connection& connection, const ClientStream& stream);
  /// Closes the connection and opens it again, if the stream allows and anything is left to send.
  void Reopen(Connection& connection, const ClientStream& stream) const;
  /// Sends and receives what is possible now. Returns whether it was anything.
  bool Advance(Connection& connection, const ClientStream& stream, const std::string& block,
               short events);

  const std::string m_address;
  const std::size_t m_receive_buffer;
  std::vector<Connection> m_connections;
  std::size_t m_sent = 0;
  std::atomic<bool> m_stopping{false};
  std::thread m_dripper;
};

/// Sends one request to `address` and returns the status of the response, or 0 when there is none
/// within 5 s.
[[nodiscard]] int RequestOnce(const std::string& address, const std::string& request);

}  // namespace ebonypin::daemon
