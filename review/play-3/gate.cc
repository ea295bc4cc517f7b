/// Proxy for HTTP/1.1 between a process of the system and a stand-in.
///
///     gate LISTEN_PORT TARGET_PORT hang FILE PATH...     while FILE exists, requests whose path begins
///                                                        with one of PATH are read, and neither passed
///                                                        on nor answered; an answer that is due
///                                                        meanwhile is not given either
///     gate LISTEN_PORT TARGET_PORT slow MS PATH...       requests whose path begins with one of PATH are
///                                                        passed on MS milliseconds late
///     gate LISTEN_PORT TARGET_PORT limit RECORD CALL     /log-append with a record of more than RECORD
///                                                        bytes, or with records of more than CALL bytes
///                                                        in all, is answered with 400, as the store's
///                                                        page limits both
///     gate LISTEN_PORT TARGET_PORT save TEXT             each running task without a saved state, as
///                                                        the project's worker lists them, is listed
///                                                        with TEXT as its saved state
///
/// Both ports are on 127.0.0.1. One line is printed for each request that was not passed on.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>
#include <thread>
#include <vector>

namespace {

struct Options {
  int listen_port = 0;
  int target_port = 0;
  std::string mode;
  std::string file;
  std::vector<std::string> paths;
  std::size_t record_bytes = 0;
  std::size_t call_bytes = 0;
};

struct Message {
  std::string head;  // Without the empty line.
  std::string raw;
  std::string body;
};

sockaddr_in Loopback(const int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text;
}

class Stream {
 public:
  explicit Stream(const int fd) : m_fd(fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Stream() { close(m_fd); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  bool Read(Message& message) {
    message = {};
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill()) return false;
    }
    message.head = m_buffer.substr(0, end);
    const auto head = Lower(message.head);
    std::size_t at = end + 4;
    if (head.find("transfer-encoding: chunked") != std::string::npos) {
      for (;;) {
        std::size_t line = 0;
        while ((line = m_buffer.find("\r\n", at)) == std::string::npos) {
          if (!Fill()) return false;
        }
        const auto size = std::strtoul(m_buffer.c_str() + at, nullptr, 16);
        while (m_buffer.size() < line + 2 + size + 2) {
          if (!Fill()) return false;
        }
        message.body += m_buffer.substr(line + 2, size);
        at = line + 2 + size + 2;
        if (size == 0) break;
      }
    } else {
      const auto field = head.find("content-length:");
      const auto size = field == std::string::npos ? 0 : std::strtoul(head.c_str() + field + 15, nullptr, 10);
      while (m_buffer.size() < at + size) {
        if (!Fill()) return false;
      }
      message.body = m_buffer.substr(at, size);
      at += size;
    }
    message.raw = m_buffer.substr(0, at);
    m_buffer.erase(0, at);
    return true;
  }

  bool Write(const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const auto count = send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) return false;
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }

  /// Waits until the peer closes the connection.
  void AwaitEnd() {
    while (Fill()) m_buffer.clear();
  }

 private:
  bool Fill() {
    char bytes[65536];
    const auto count = recv(m_fd, bytes, sizeof bytes, 0);
    if (count <= 0) return false;
    m_buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
  }

  int m_fd;
  std::string m_buffer;
};

std::string PathOf(const Message& request) {
  const auto first = request.head.find(' ');
  return request.head.substr(first + 1, request.head.find(' ', first + 1) - first - 1);
}

bool Concerns(const Options& options, const std::string& path) {
  return std::any_of(options.paths.begin(), options.paths.end(),
                     [&](const std::string& prefix) { return path.compare(0, prefix.size(), prefix) == 0; });
}

bool Hangs(const Options& options, const std::string& path) {
  return options.mode == "hang" && access(options.file.c_str(), F_OK) == 0 && Concerns(options, path);
}

/// Returns what is wrong with the records of an append, or an empty string.
std::string Check(const Options& options, const std::string& body) {
  std::size_t at = 0;
  std::size_t total = 0;
  while (at + 4 <= body.size()) {
    std::size_t length = 0;
    for (int i = 0; i < 4; ++i) length = length << 8U | static_cast<unsigned char>(body[at++]);
    if (length > options.record_bytes) return "a record of " + std::to_string(length) + " bytes";
    total += length;
    at += length;
  }
  return total > options.call_bytes ? "records of " + std::to_string(total) + " bytes in all" : std::string{};
}

/// Gives each row of `Running` in a worker's list the saved state.
void AddSaved(const Options& options, Message& answer) {
  const std::string none = ",\"\",";
  const std::string saved = ",\"" + options.file + "\",";
  std::string body;
  std::size_t at = 0;
  for (;;) {
    const auto next = answer.body.find(none, at);
    body += answer.body.substr(at, next - at);
    if (next == std::string::npos) break;
    body += saved;
    at = next + none.size();
  }
  const auto first = answer.head.substr(0, answer.head.find("\r\n"));
  answer.raw = first + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
}

void Serve(const Options& options, const int fd) {
  Stream client(fd);
  const int target_fd = socket(AF_INET, SOCK_STREAM, 0);
  const auto target_address = Loopback(options.target_port);
  Stream target(target_fd);
  if (connect(target_fd, reinterpret_cast<const sockaddr*>(&target_address), sizeof target_address) != 0) return;
  Message request;
  Message answer;
  while (client.Read(request)) {
    const auto path = PathOf(request);
    if (Hangs(options, path)) {
      std::printf("not passed on: %s %s\n", path.c_str(), request.body.substr(0, 200).c_str());
      std::fflush(stdout);
      return client.AwaitEnd();
    }
    if (options.mode == "slow" && Concerns(options, path)) {
      std::this_thread::sleep_for(std::chrono::milliseconds{std::atoi(options.file.c_str())});
    }
    if (options.mode == "limit" && path.compare(0, 11, "/log-append") == 0) {
      const auto error = Check(options, request.body);
      if (!error.empty()) {
        std::printf("refused: %s: %s\n", path.c_str(), error.c_str());
        std::fflush(stdout);
        if (!client.Write("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")) return;
        continue;
      }
    }
    if (!target.Write(request.raw) || !target.Read(answer)) return;
    if (Hangs(options, path)) return client.AwaitEnd();
    if (options.mode == "save" && path.compare(0, 5, "/hold") == 0) AddSaved(options, answer);
    if (!client.Write(answer.raw)) return;
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 5) return 2;
  Options options;
  options.listen_port = std::atoi(argv[1]);
  options.target_port = std::atoi(argv[2]);
  options.mode = argv[3];
  if (options.mode == "hang" || options.mode == "slow") {
    options.file = argv[4];
    options.paths.assign(argv + 5, argv + argc);
  } else if (options.mode == "save") {
    options.file = argv[4];
  } else if (argc > 5) {
    options.record_bytes = std::strtoul(argv[4], nullptr, 10);
    options.call_bytes = std::strtoul(argv[5], nullptr, 10);
  }
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const auto address = Loopback(options.listen_port);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) return 3;
  listen(listener, 128);
  for (;;) {
    const int fd = accept(listener, nullptr, nullptr);
    if (fd >= 0) std::thread([options, fd] { Serve(options, fd); }).detach();
  }
}
