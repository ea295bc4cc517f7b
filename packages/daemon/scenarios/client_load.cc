#include "client_load.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>

namespace ebonypin::daemon {
namespace {

using namespace std::chrono_literals;
using std::chrono::steady_clock;

constexpr std::size_t kBlockSize = 65'536;
constexpr auto kPollMs = 100;
constexpr auto kStallLimit = 5s;
constexpr auto kDeadline = 30s;
constexpr auto kUnreadPoll = 20ms;
constexpr unsigned kEstablished = 1;  // State in /proc/net/tcp; a listener counts connections.
constexpr auto kDripInterval = 50ms;
constexpr timeval kRequestTimeout{.tv_sec = 5};

sockaddr_in ParseAddress(const std::string& address) {
  const auto colon = address.rfind(':');
  sockaddr_in parsed{.sin_family = AF_INET};
  parsed.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
  (void)::inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
  return parsed;
}

/// Returns as many whole copies of `text` as a block holds, at least one.
std::string RepeatToBlock(const std::string& text) {
  std::string block = text;
  while (!text.empty() && block.size() + text.size() <= kBlockSize) block += text;
  return block;
}

/// Returns the number of bytes on the way to the listener at `address` that it has not read, of all
/// its connections.
std::size_t CountUnread(const std::string& address) {
  const unsigned port = ntohs(ParseAddress(address).sin_port);
  std::ifstream table("/proc/net/tcp");
  std::size_t bytes = 0;
  for (std::string line; std::getline(table, line);) {
    unsigned local = 0;
    unsigned remote = 0;
    unsigned state = 0;
    unsigned to_send = 0;
    unsigned to_read = 0;
    if (std::sscanf(line.c_str(), " %*u: %*x:%x %*x:%x %x %x:%x", &local, &remote, &state, &to_send,
                    &to_read) != 5 ||
        state != kEstablished) {
      continue;
    }
    if (local == port) bytes += to_read;
    if (remote == port) bytes += to_send;
  }
  return bytes;
}

bool WouldBlock(const ssize_t result) {
  return result < 0 && (errno == EAGAIN || errno == EINTR || errno == ENOTCONN);
}

}  // namespace

ClientLoad::ClientLoad(const std::string& address, const std::size_t connections,
                       const std::size_t receive_buffer)
    : m_address(address), m_receive_buffer(receive_buffer), m_connections(connections) {
  for (auto& connection : m_connections) connection.m_socket = Open();
}

ClientLoad::~ClientLoad() {
  m_stopping = true;
  if (m_dripper.joinable()) m_dripper.join();
  // A reset leaves no connection in state TIME_WAIT, which keeps its port for a minute.
  const linger reset{.l_onoff = 1, .l_linger = 0};
  for (auto& connection : m_connections) {
    (void)::setsockopt(connection.m_socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    Close(connection);
  }
}

int ClientLoad::Open() const {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (m_receive_buffer > 0) {
    const int size = static_cast<int>(m_receive_buffer);
    (void)::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
  }
  const auto to = ParseAddress(m_address);
  // The result of a connect in progress shows at the first send.
  (void)::connect(socket, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
  return socket;
}

void ClientLoad::Close(Connection& connection) {
  if (connection.m_socket >= 0) ::close(connection.m_socket);
  connection.m_socket = -1;
}

std::size_t ClientLoad::SizeOf(const Connection& connection, const ClientStream& stream) {
  return stream.m_first.size() + connection.m_repetitions + stream.m_last.size();
}

std::string_view ClientLoad::NextPart(const Connection& connection, const ClientStream& stream,
                                      const std::string& block) {
  const std::string_view first = stream.m_first;
  const std::string_view repeated = block;
  const std::string_view last = stream.m_last;
  auto position = connection.m_position;
  if (position < first.size()) return first.substr(position);
  position -= first.size();
  if (position >= connection.m_repetitions) return last.substr(position - connection.m_repetitions);
  return repeated.substr(position % block.size(), connection.m_repetitions - position);
}

bool ClientLoad::IsFinished(const Connection& connection, const ClientStream& stream) {
  if (connection.m_socket < 0) return true;
  const bool has_response = connection.m_received || connection.m_read_to_end;
  return connection.m_position >= SizeOf(connection, stream) &&
         (has_response || !stream.m_awaits_response);
}

void ClientLoad::Reopen(Connection& connection, const ClientStream& stream) const {
  Close(connection);
  const auto repeated =
      connection.m_position - std::min(connection.m_position, stream.m_first.size());
  if (connection.m_reopenings == 0 || repeated >= connection.m_repetitions) return;
  connection = {.m_socket = Open(),
                .m_repetitions = connection.m_repetitions - repeated,
                .m_reopenings = connection.m_reopenings - 1};
}

bool ClientLoad::Advance(Connection& connection, const ClientStream& stream,
                         const std::string& block, const short events) {
  if ((events & POLLIN) != 0 && stream.m_reads && !connection.m_read_to_end) {
    std::array<char, kBlockSize> dropped{};
    const auto received = ::recv(connection.m_socket, dropped.data(), dropped.size(), 0);
    if (received == 0) connection.m_read_to_end = true;
    if (received > 0) connection.m_received = true;
  }
  const auto part = NextPart(connection, stream, block);
  const auto sent =
      part.empty() ? 0 : ::send(connection.m_socket, part.data(), part.size(), MSG_NOSIGNAL);
  if (sent > 0) {
    connection.m_position += static_cast<std::size_t>(sent);
    m_sent += static_cast<std::size_t>(sent);
  }
  const bool broken = (sent < 0 && !WouldBlock(sent)) || (events & (POLLERR | POLLHUP)) != 0;
  if (!broken) return sent > 0 || (events & POLLIN) != 0;
  Reopen(connection, stream);
  return true;
}

void ClientLoad::Send(const ClientStream& stream) {
  SendAll(stream);
  WaitUntilRead();
}

void ClientLoad::WaitUntilRead() const {
  const auto began = steady_clock::now();
  auto moved = began;
  auto unread = CountUnread(m_address);
  while (unread > 0 && steady_clock::now() - began < kDeadline &&
         steady_clock::now() - moved < kStallLimit) {
    std::this_thread::sleep_for(kUnreadPoll);
    if (const auto now = CountUnread(m_address); now != unread) {
      unread = now;
      moved = steady_clock::now();
    }
  }
}

void ClientLoad::SendAll(const ClientStream& stream) {
  const auto block = RepeatToBlock(stream.m_repeated);
  for (auto& connection : m_connections) {
    connection.m_repetitions = stream.m_repetitions;
    connection.m_reopenings = stream.m_reopenings;
  }
  const auto began = steady_clock::now();
  auto moved = began;
  while (steady_clock::now() - began < kDeadline && steady_clock::now() - moved < kStallLimit) {
    std::vector<pollfd> polled;
    std::vector<Connection*> polled_connections;
    for (auto& connection : m_connections) {
      if (IsFinished(connection, stream)) continue;
      const bool sends = connection.m_position < SizeOf(connection, stream);
      const bool reads = stream.m_reads && !connection.m_read_to_end;
      const int events = (sends ? POLLOUT : 0) | (reads ? POLLIN : 0);
      polled.push_back({.fd = connection.m_socket, .events = static_cast<short>(events)});
      polled_connections.push_back(&connection);
    }
    if (polled.empty()) return;
    (void)::poll(polled.data(), polled.size(), kPollMs);
    for (std::size_t i = 0; i < polled.size(); ++i) {
      if (polled[i].revents == 0) continue;
      if (Advance(*polled_connections[i], stream, block, polled[i].revents)) {
        moved = steady_clock::now();
      }
    }
  }
}

void ClientLoad::BeginToDrip(const char byte) {
  m_dripper = std::thread([this, byte] {
    while (!m_stopping) {
      for (const auto& connection : m_connections) {
        if (connection.m_socket < 0) continue;
        (void)::send(connection.m_socket, &byte, sizeof(byte), MSG_NOSIGNAL | MSG_DONTWAIT);
      }
      std::this_thread::sleep_for(kDripInterval);
    }
  });
}

int RequestOnce(const std::string& address, const std::string& request) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  // The time-out for sending also bounds the connect.
  (void)::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &kRequestTimeout, sizeof(kRequestTimeout));
  (void)::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &kRequestTimeout, sizeof(kRequestTimeout));
  const auto to = ParseAddress(address);
  std::string head;
  if (::connect(socket, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) == 0 &&
      ::send(socket, request.data(), request.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(request.size())) {
    std::array<char, 1024> part{};
    while (head.find("\r\n") == std::string::npos) {
      const auto received = ::recv(socket, part.data(), part.size(), 0);
      if (received <= 0) break;
      head.append(part.data(), static_cast<std::size_t>(received));
    }
  }
  ::close(socket);
  const std::string version = "HTTP/1.1 ";
  return head.starts_with(version) ? std::atoi(head.c_str() + version.size()) : 0;
}

}  // namespace ebonypin::daemon
