/// Two workers in one process that run tasks and gangs as the platform's pages describe them.
///
///     gang_worker SERVICE STOP_MS PORT CONTROL_PORT ID LABEL [PORT CONTROL_PORT ID LABEL ...]
///
/// Each worker serves /run-start, /run-stop, /hold and /pace at 127.0.0.1:PORT, and sends heartbeats
/// to 127.0.0.1:CONTROL_PORT. A stop takes STOP_MS and is answered when it is done. The Spec of a
/// task is "run MS", or "gang N MS" for a member of a gang of N tasks, which are at work from the
/// moment when all of them are there. A member that waits 3 s for the others ends as `alone`, and
/// the others as `broken`. GET /sim/runs lists the runs as the project's stand-in does.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

constexpr Millis kGangWait{3000};
constexpr Millis kLongestLease{6000};

struct Run {
  std::string task;
  std::uint64_t number = 0;
  std::string gang;  // Step and run of a member of a gang.
  std::size_t members = 1;
  Millis length{};
  Clock::time_point started;
  Clock::time_point at_work;
  bool works = false;
  bool ended = false;
  std::string how;
  std::uint64_t end_number = 0;
};

struct Worker {
  int port = 0;
  int control_port = 0;
  std::string id;
  std::string label;
  std::int64_t born_ms = 0;
  Clock::time_point born;
  Clock::time_point deadline;
  std::uint64_t fence = 0;
  std::uint64_t next_end = 1;
  std::uint64_t forgotten = 0;
  std::uint64_t sequence = 0;
  std::map<std::string, std::uint64_t> closed;
  std::vector<Run> runs;
};

std::mutex g_mutex;
std::condition_variable g_changed;
std::vector<Worker> g_workers;
std::string g_service;
Millis g_stop{};

std::string TextOf(const std::string& body, const std::string& name) {
  const auto at = body.find("\"" + name + "\":\"");
  if (at == std::string::npos) return {};
  const auto begin = at + name.size() + 4;
  return body.substr(begin, body.find('"', begin) - begin);
}

std::int64_t NumberOf(const std::string& body, const std::string& name) {
  const auto at = body.find("\"" + name + "\":");
  return at == std::string::npos ? 0 : std::atoll(body.c_str() + at + name.size() + 3);
}

std::int64_t ClockMs(const Worker& worker) {
  return std::chrono::duration_cast<Millis>(Clock::now() - worker.born).count();
}

std::string Stamp(const Worker& worker) {
  return "\"ClockMs\":" + std::to_string(ClockMs(worker)) + ",\"born\":" + std::to_string(worker.born_ms);
}

void End(Worker& worker, Run& run, const std::string& how) {
  run.ended = true;
  run.how = how;
  run.end_number = worker.next_end++;
  auto& closed = worker.closed[run.task];
  closed = std::max(closed, run.number);
  g_changed.notify_all();
}

/// Calls `visit` for each run of the gang that has not ended.
template <typename F>
void VisitGang(const std::string& gang, F visit) {
  for (auto& worker : g_workers) {
    for (auto& run : worker.runs) {
      if (!run.ended && run.gang == gang) visit(worker, run);
    }
  }
}

void Advance() {
  const auto now = Clock::now();
  for (auto& worker : g_workers) {
    for (auto& run : worker.runs) {
      if (run.ended) continue;
      if (now >= worker.deadline) {
        End(worker, run, "lapsed");
      } else if (!run.gang.empty() && !run.works) {
        std::size_t present = 0;
        VisitGang(run.gang, [&](Worker&, Run&) { ++present; });
        if (present == run.members) {
          VisitGang(run.gang, [&](Worker&, Run& member) {
            member.works = true;
            member.at_work = now;
          });
        } else if (now - run.started >= kGangWait) {
          End(worker, run, "alone");
          VisitGang(run.gang, [&](Worker& other, Run& member) { End(other, member, "broken"); });
        }
      } else if (now - run.at_work >= run.length) {
        End(worker, run, "done");
      }
    }
  }
}

std::string Start(Worker& worker, const std::string& body) {
  const auto task = TextOf(body, "Task");
  const auto number = static_cast<std::uint64_t>(NumberOf(body, "Run"));
  const auto until = worker.born + Millis{NumberOf(body, "DeadlineMs")};
  if (until <= Clock::now()) return "late";
  worker.deadline = std::max(worker.deadline, std::min(until, Clock::now() + kLongestLease));
  for (const auto& run : worker.runs) {
    if (run.ended || run.task != task) continue;
    return run.number == number ? "" : "old";
  }
  if (number <= worker.closed[task]) return "old";
  Run run;
  run.task = task;
  run.number = number;
  run.started = run.at_work = Clock::now();
  const auto spec = TextOf(body, "Spec");
  if (spec.rfind("gang ", 0) == 0) {
    char* rest = nullptr;
    run.members = std::strtoul(spec.c_str() + 5, &rest, 10);
    run.length = Millis{std::atoi(rest)};
    run.gang = task.substr(0, task.rfind('.')) + "/" + std::to_string(number);
  } else {
    run.length = Millis{std::atoi(spec.c_str() + 4)};
    run.works = true;
  }
  worker.runs.push_back(run);
  return {};
}

void Stop(Worker& worker, const std::string& task, const std::uint64_t number) {
  for (auto& run : worker.runs) {
    if (!run.ended && run.task == task && run.number <= number) {
      End(worker, run, "stopped");
      if (!run.gang.empty()) {
        VisitGang(run.gang, [&](Worker& other, Run& member) { End(other, member, "broken"); });
      }
    }
  }
  auto& closed = worker.closed[task];
  closed = std::max(closed, number);
}

std::string Lists(const Worker& worker) {
  std::string running;
  std::string ended;
  for (const auto& run : worker.runs) {
    if (!run.ended) {
      const auto done = run.works ? std::chrono::duration_cast<Millis>(Clock::now() - run.at_work) : Millis{};
      const auto percent = std::min<std::int64_t>(100 * done.count() / std::max<std::int64_t>(run.length.count(), 1), 100);
      running += (running.empty() ? "" : ",") + ("[\"" + run.task + "\"," + std::to_string(run.number) + ",\"\"," +
                                                std::to_string(percent) + ",0]");
    } else if (run.end_number > worker.forgotten) {
      ended += (ended.empty() ? "" : ",") + ("[" + std::to_string(run.end_number) + ",\"" + run.task + "\"," +
                                            std::to_string(run.number) + ",\"" + run.how + "\",\"\"]");
    }
  }
  return "\"Running\":[" + running + "],\"Ended\":[" + ended + "]";
}

std::string AllRuns(const Worker& worker) {
  std::string rows;
  for (const auto& run : worker.runs) {
    rows += (rows.empty() ? "" : ",") + ("{\"How\":\"" + run.how + "\",\"Run\":" + std::to_string(run.number) +
                                        ",\"Task\":\"" + run.task + "\"}");
  }
  return "[" + rows + "]";
}

/// Returns the status and the body of the answer.
std::pair<int, std::string> Answer(Worker& worker, const std::string& path, const std::string& body) {
  std::unique_lock lock(g_mutex);
  Advance();
  if (path == "/sim/runs") return {200, AllRuns(worker)};
  const auto fence = static_cast<std::uint64_t>(NumberOf(body, "Fence"));
  if (fence < worker.fence) return {409, "{" + Stamp(worker) + ",\"Reason\":\"fence\"}"};
  worker.fence = fence;
  if (path == "/run-start") {
    const auto reason = Start(worker, body);
    Advance();
    if (reason.empty()) return {200, "{" + Stamp(worker) + "}"};
    return {409, "{" + Stamp(worker) + ",\"Reason\":\"" + reason + "\"}"};
  }
  if (path == "/run-stop") {
    lock.unlock();
    std::this_thread::sleep_for(g_stop);
    lock.lock();
    Stop(worker, TextOf(body, "Task"), static_cast<std::uint64_t>(NumberOf(body, "Run")));
    return {200, "{" + Stamp(worker) + "}"};
  }
  if (path == "/hold") {
    const auto until = worker.born + Millis{NumberOf(body, "DeadlineMs")};
    worker.deadline = std::max(worker.deadline, std::min(until, Clock::now() + kLongestLease));
    worker.forgotten = std::max(worker.forgotten, static_cast<std::uint64_t>(NumberOf(body, "SeenUpto")));
    const auto ends = worker.next_end;
    g_changed.wait_for(lock, Millis{NumberOf(body, "WaitMs")}, [&] { return worker.next_end != ends; });
    return {200, "{" + Stamp(worker) + "," + Lists(worker) + "}"};
  }
  return {path == "/pace" ? 200 : 404, "{" + Stamp(worker) + "}"};
}

bool Fill(const int fd, std::string& buffer) {
  char bytes[65536];
  const auto count = recv(fd, bytes, sizeof bytes, 0);
  if (count <= 0) return false;
  buffer.append(bytes, static_cast<std::size_t>(count));
  return true;
}

void Serve(Worker& worker, const int fd) {
  std::string buffer;
  for (;;) {
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(fd, buffer)) return void(close(fd));
    }
    std::string head = buffer.substr(0, end);
    std::transform(head.begin(), head.end(), head.begin(), [](unsigned char c) { return std::tolower(c); });
    const auto field = head.find("content-length:");
    const auto size = field == std::string::npos ? 0 : std::strtoul(head.c_str() + field + 15, nullptr, 10);
    while (buffer.size() < end + 4 + size) {
      if (!Fill(fd, buffer)) return void(close(fd));
    }
    const auto first = buffer.find(' ');
    const auto path = buffer.substr(first + 1, buffer.find(' ', first + 1) - first - 1);
    const auto [status, body] = Answer(worker, path, buffer.substr(end + 4, size));
    buffer.erase(0, end + 4 + size);
    const auto answer = "HTTP/1.1 " + std::to_string(status) + " Answer\r\nContent-Type: application/json\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body;
    if (send(fd, answer.data(), answer.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(answer.size())) {
      return void(close(fd));
    }
  }
}

sockaddr_in Loopback(const int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

void Listen(Worker& worker) {
  const int listener = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const auto address = Loopback(worker.port);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) std::exit(3);
  listen(listener, 128);
  for (;;) {
    const int fd = accept(listener, nullptr, nullptr);
    if (fd < 0) continue;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::thread([&worker, fd] { Serve(worker, fd); }).detach();
  }
}

void Beat(Worker& worker) {
  for (;;) {
    std::string body;
    {
      const std::lock_guard lock(g_mutex);
      body = "{" + Stamp(worker) + ",\"Service\":\"" + g_service + "\",\"Zone\":\"domain-a\",\"State\":\"ready\"," +
             "\"Capacity\":{\"Cpu\":16000,\"MemMb\":64000},\"Labels\":[\"" + worker.label + "\",\"r1\"],\"Seq\":" +
             std::to_string(++worker.sequence) + "}";
    }
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const auto address = Loopback(worker.control_port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
      const auto request = "POST /instances/" + worker.id + "/heartbeat HTTP/1.1\r\nHost: agent\r\nConnection: close\r\n" +
                           "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
      send(fd, request.data(), request.size(), MSG_NOSIGNAL);
      std::string answer;
      while (Fill(fd, answer)) continue;
    }
    close(fd);
    std::this_thread::sleep_for(Millis{300});
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 7) return 2;
  g_service = argv[1];
  g_stop = Millis{std::atoi(argv[2])};
  for (int i = 3; i + 3 < argc; i += 4) {
    Worker worker;
    worker.port = std::atoi(argv[i]);
    worker.control_port = std::atoi(argv[i + 1]);
    worker.id = argv[i + 2];
    worker.label = argv[i + 3];
    worker.born = worker.deadline = Clock::now();
    worker.born_ms = std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
    g_workers.push_back(worker);
  }
  for (auto& worker : g_workers) {
    std::thread([&worker] { Listen(worker); }).detach();
    std::thread([&worker] { Beat(worker); }).detach();
  }
  for (;;) {
    std::this_thread::sleep_for(Millis{5});
    const std::lock_guard lock(g_mutex);
    Advance();
  }
}
