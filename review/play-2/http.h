// HTTP/1.1 over loopback for the stand-ins of the second review: a server with a thread for each
// connection, and a client with a connection for each call.
#pragma once
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace play {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

struct Address {
  std::string m_ip;
  int m_port = 0;
  std::string Text() const { return m_ip + ":" + std::to_string(m_port); }
};

inline sockaddr_in Resolve(const Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(address.m_port));
  inet_pton(AF_INET, address.m_ip.c_str(), &out.sin_addr);
  return out;
}

struct Request {
  std::string m_method;
  std::string m_path;   // Without the query.
  std::string m_query;  // Without the question mark.
  std::map<std::string, std::string> m_headers;  // Names in lower case.
  std::string m_body;
  std::map<std::string, std::string> Query() const {
    std::map<std::string, std::string> out;
    std::size_t at = 0;
    while (at < m_query.size()) {
      const auto end = std::min(m_query.find('&', at), m_query.size());
      const auto part = m_query.substr(at, end - at);
      const auto eq = std::min(part.find('='), part.size());
      out[part.substr(0, eq)] = eq < part.size() ? Decode(part.substr(eq + 1)) : "";
      at = end + 1;
    }
    return out;
  }
  static std::string Decode(const std::string& text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
      if (text[i] == '%' && i + 2 < text.size()) {
        out += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
      } else {
        out += text[i] == '+' ? ' ' : text[i];
      }
    }
    return out;
  }
};

struct Response {
  int m_status = 200;  // Zero: there was no answer.
  std::string m_body;
  std::string m_type = "application/json";
};

/// Reads one message. Returns false when the connection ended before it was complete.
inline bool ReadMessage(int fd, std::string& buffer, std::string& first, Request& message) {
  const auto more = [&] {
    char bytes[16384];
    const auto n = recv(fd, bytes, sizeof(bytes), 0);
    if (n <= 0) return false;
    buffer.append(bytes, static_cast<std::size_t>(n));
    return true;
  };
  std::size_t end = 0;
  for (;;) {
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!more()) return false;
    }
    const std::string head = buffer.substr(0, end + 2);
    buffer.erase(0, end + 4);
    message.m_headers.clear();
    std::size_t at = head.find("\r\n");
    first = head.substr(0, at);
    at += 2;
    while (at < head.size()) {
      const auto stop = head.find("\r\n", at);
      const auto line = head.substr(at, stop - at);
      const auto colon = line.find(':');
      if (colon != std::string::npos) {
        std::string name = line.substr(0, colon);
        for (auto& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        auto from = line.find_first_not_of(' ', colon + 1);
        message.m_headers[name] = from == std::string::npos ? "" : line.substr(from);
      }
      at = stop + 2;
    }
    if (first.rfind("HTTP/1.1 100", 0) != 0) break;
  }
  message.m_body.clear();
  const auto coding = message.m_headers.find("transfer-encoding");
  if (coding != message.m_headers.end() && coding->second.find("chunked") != std::string::npos) {
    for (;;) {
      std::size_t line = 0;
      while ((line = buffer.find("\r\n")) == std::string::npos) {
        if (!more()) return false;
      }
      const auto size = std::strtoul(buffer.substr(0, line).c_str(), nullptr, 16);
      while (buffer.size() < line + 2 + size + 2) {
        if (!more()) return false;
      }
      message.m_body += buffer.substr(line + 2, size);
      buffer.erase(0, line + 2 + size + 2);
      if (size == 0) return true;
    }
  }
  const auto length = message.m_headers.find("content-length");
  const std::size_t size =
      length != message.m_headers.end() ? std::strtoul(length->second.c_str(), nullptr, 10) : 0;
  while (buffer.size() < size) {
    if (!more()) return false;
  }
  message.m_body = buffer.substr(0, size);
  buffer.erase(0, size);
  return true;
}

inline bool SendAll(int fd, const std::string& bytes) {
  std::size_t at = 0;
  while (at < bytes.size()) {
    const auto n = send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (n <= 0) return false;
    at += static_cast<std::size_t>(n);
  }
  return true;
}

/// Returns nothing when the call stays without an answer; its connection is then closed after a
/// while.
using Handler = std::function<std::optional<Response>(const Request&)>;

class Server {
 public:
  Server(Address address, Handler handler)
      : m_address(std::move(address)), m_handler(std::move(handler)) {}
  ~Server() { Close(); }

  void Open() {
    m_listen = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_listen, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto at = Resolve(m_address);
    if (bind(m_listen, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0 ||
        listen(m_listen, 256) != 0) {
      throw std::runtime_error("cannot listen on " + m_address.Text());
    }
    m_open = true;
    m_thread = std::thread([this] { Accept(); });
  }

  /// Ends the listener and resets all connections, as the end of a process does.
  void Close() {
    if (!m_open.exchange(false)) return;
    shutdown(m_listen, SHUT_RDWR);
    close(m_listen);
    {
      const std::lock_guard lock(m_mutex);
      for (const int fd : m_fds) shutdown(fd, SHUT_RDWR);
    }
    m_thread.join();
    std::unique_lock lock(m_mutex);
    m_gone.wait(lock, [this] { return m_fds.empty(); });
  }

 private:
  void Accept() {
    while (m_open) {
      pollfd entry{m_listen, POLLIN, 0};
      if (poll(&entry, 1, 50) <= 0) continue;
      const int fd = accept4(m_listen, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      const std::lock_guard lock(m_mutex);
      m_fds.insert(fd);
      std::thread([this, fd] { Serve(fd); }).detach();
    }
  }
  void Serve(int fd) {
    std::string buffer;
    std::string first;
    Request request;
    while (m_open && ReadMessage(fd, buffer, first, request)) {
      const auto space = first.find(' ');
      const auto end = first.find(' ', space + 1);
      request.m_method = first.substr(0, space);
      std::string target = first.substr(space + 1, end - space - 1);
      const auto mark = target.find('?');
      request.m_query = mark == std::string::npos ? "" : target.substr(mark + 1);
      request.m_path = Request::Decode(target.substr(0, mark));
      std::optional<Response> response;
      try {
        response = m_handler(request);
      } catch (const std::exception& e) {
        response = Response{400, std::string("{\"Error\":\"") + e.what() + "\"}"};
      }
      if (!response) {
        // Nothing further comes on this connection. It ends when the other side closes it.
        char byte = 0;
        while (m_open && recv(fd, &byte, 1, 0) > 0) {
        }
        break;
      }
      const std::string head = "HTTP/1.1 " + std::to_string(response->m_status) +
                               " X\r\nContent-Type: " + response->m_type +
                               "\r\nContent-Length: " + std::to_string(response->m_body.size()) +
                               "\r\n\r\n";
      if (!SendAll(fd, head + response->m_body)) break;
    }
    close(fd);
    const std::lock_guard lock(m_mutex);
    m_fds.erase(fd);
    m_gone.notify_all();
  }

  const Address m_address;
  const Handler m_handler;
  int m_listen = -1;
  std::atomic<bool> m_open{false};
  std::thread m_thread;
  std::mutex m_mutex;
  std::condition_variable m_gone;
  std::set<int> m_fds;
};

/// Sends one call on a connection of its own. Status 0: no complete answer in time.
inline Response Call(const Address& to, const std::string& method, const std::string& path,
                     const std::string& body, Ms timeout,
                     const std::map<std::string, std::string>& headers = {}) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto at = Resolve(to);
  timeval limit{};
  limit.tv_sec = timeout.count() / 1000;
  limit.tv_usec = (timeout.count() % 1000) * 1000;
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  Response response{0, ""};
  if (connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) == 0) {
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    if (headers.count("Host") == 0) text += "Host: " + to.Text() + "\r\n";
    for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
    if (!body.empty()) text += "Content-Type: application/json\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string buffer;
    std::string first;
    Request answer;
    if (SendAll(fd, text) && ReadMessage(fd, buffer, first, answer) && first.size() > 12) {
      response.m_status = std::atoi(first.substr(9, 3).c_str());
      response.m_body = answer.m_body;
    }
  }
  close(fd);
  return response;
}

}  // namespace play
