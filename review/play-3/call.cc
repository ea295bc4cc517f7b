/// Makes one HTTP/1.1 call to a process on this machine, and prints the body of the answer and, on a
/// line of its own, its status (000 without an answer).
///
///     call TIMEOUT_MS METHOD IP:PORT PATH [BODY] [HEADER...]
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>

namespace {

using Clock = std::chrono::steady_clock;

/// Waits until the socket is ready for `events`, or returns false at the deadline.
bool Wait(const int fd, const short events, const Clock::time_point until) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
  pollfd entry{fd, events, 0};
  return left > 0 && poll(&entry, 1, static_cast<int>(left)) > 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 5) return 2;
  const auto until = Clock::now() + std::chrono::milliseconds{std::atoi(argv[1])};
  const std::string address = argv[3];
  const auto colon = address.find(':');
  const std::string body = argc > 5 ? argv[5] : "";
  std::string request = std::string{argv[2]} + " " + argv[4] + " HTTP/1.1\r\nConnection: close\r\n";
  bool has_host = false;
  for (int i = 6; i < argc; ++i) {
    request += std::string{argv[i]} + "\r\n";
    has_host = has_host || std::string{argv[i]}.rfind("Host:", 0) == 0;
  }
  if (!has_host) request += "Host: " + address + "\r\n";
  if (!body.empty()) request += "Content-Type: application/json\r\n";
  request += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;

  std::string answer;
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &target.sin_addr);
  std::size_t head = std::string::npos;
  std::size_t length = 0;
  bool whole = false;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0 &&
      send(fd, request.data(), request.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(request.size())) {
    char bytes[65536];
    while (!whole && Wait(fd, POLLIN, until)) {
      const auto count = recv(fd, bytes, sizeof bytes, 0);
      if (count <= 0) break;
      answer.append(bytes, static_cast<std::size_t>(count));
      head = answer.find("\r\n\r\n");
      if (head == std::string::npos) continue;
      const auto field = answer.find("Content-Length:");
      length = field < head ? std::strtoul(answer.c_str() + field + 15, nullptr, 10) : 0;
      whole = answer.size() >= head + 4 + length;
    }
  }
  close(fd);
  if (!whole) {
    std::printf("\n000");
    return 1;
  }
  std::printf("%s\n%s", answer.substr(head + 4, length).c_str(), answer.substr(9, 3).c_str());
  return 0;
}
