#include "site.h"

#include <arpa/inet.h>
#include <cpprest/asyncrt_utils.h>
#include <cpprest/uri.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace review {
namespace {

std::mutex g_record_mutex;
std::vector<std::string> g_notes;
std::vector<RunRecord> g_runs;

sockaddr_in Loopback(const int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// Reads until the headers and the body are there. Returns false when the connection ends before.
bool ReadMessage(const int socket, std::string& buffer, std::string& head, std::string& body,
                 const std::int64_t until = -1) {
  const auto fill = [&] {
    if (until >= 0) {
      pollfd wait{socket, POLLIN, 0};
      const auto left = until - NowMs();
      if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) <= 0) return false;
    }
    char part[65536];
    const auto got = recv(socket, part, sizeof(part), 0);
    if (got <= 0) return false;
    buffer.append(part, static_cast<std::size_t>(got));
    return true;
  };
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!fill()) return false;
  }
  head = buffer.substr(0, end);
  std::string lower = head;
  std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
  const auto field = lower.find("content-length:");
  const std::size_t length =
      field == std::string::npos ? 0 : std::strtoull(lower.c_str() + field + 15, nullptr, 10);
  while (buffer.size() < end + 4 + length) {
    if (!fill()) return false;
  }
  body = buffer.substr(end + 4, length);
  buffer.erase(0, end + 4 + length);
  return true;
}

bool SendAll(const int socket, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const auto n = send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

Request ParseRequest(const std::string& head, std::string body) {
  Request request;
  request.body = std::move(body);
  std::istringstream lines(head);
  std::string target, line;
  lines >> request.method >> target;
  std::getline(lines, line);
  while (std::getline(lines, line)) {
    const auto colon = line.find(':');
    if (colon == std::string::npos) continue;
    auto name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    auto value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    while (!value.empty() && (value.back() == '\r' || value.back() == ' ')) value.pop_back();
    request.headers[name] = value;
  }
  const auto mark = target.find('?');
  request.path = target.substr(0, mark);
  if (mark != std::string::npos) {
    for (const auto& [name, value] : web::uri::split_query(target.substr(mark + 1))) {
      request.query[name] = web::uri::decode(value);
    }
  }
  return request;
}

std::uint64_t NumberOf(const Request& request, const std::string& name) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? 0 : std::stoull(found->second);
}

std::string TextOf(const Request& request, const std::string& name) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? std::string{} : found->second;
}

std::string BigEndian(const std::uint64_t number, const int bytes) {
  std::string text;
  for (int i = bytes - 1; i >= 0; --i) text += static_cast<char>(number >> (8 * i));
  return text;
}

Json ToJson(const std::uint64_t number) { return Json::number(number); }
Json Text(const std::string& text) { return Json::string(text); }

std::int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

std::int64_t NowMs() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               start)
      .count();
}

void SleepMs(const std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds{ms}); }

bool Trouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string{value} != "0";
}

// ---- HTTP ----

Server::Server(const int port, Handler handler) : m_handler(std::move(handler)), m_port(port) {
  Open();
}

Server::~Server() {
  Close();
  for (auto& thread : m_threads) thread.join();
}

void Server::Open() {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const auto address = Loopback(m_port);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
      listen(listener, 128) != 0) {
    std::cerr << "cannot listen on port " << m_port << "\n";
    std::exit(2);
  }
  const std::lock_guard lock(m_mutex);
  m_listener = listener;
  m_threads.emplace_back([this, listener] { Accept(listener); });
}

void Server::Close() {
  const std::lock_guard lock(m_mutex);
  if (m_listener >= 0) shutdown(m_listener, SHUT_RDWR);
  m_listener = -1;
  for (const int socket : m_sockets) {
    const linger abort{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    shutdown(socket, SHUT_RD);  // Wakes the reader, which closes the socket: a reset.
  }
}

void Server::Accept(const int listener) {
  for (;;) {
    const int socket = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) break;
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const std::lock_guard lock(m_mutex);
    if (m_listener != listener) {
      close(socket);
      break;
    }
    m_sockets.insert(socket);
    m_threads.emplace_back([this, socket] { Serve(socket); });
  }
  close(listener);
}

void Server::Serve(const int socket) {
  std::string buffer, head, body;
  while (ReadMessage(socket, buffer, head, body)) {
    Response response;
    try {
      response = m_handler(ParseRequest(head, std::move(body)));
    } catch (const std::exception& exception) {
      response = {.status = 400, .body = "{}"};
      Note(std::string{"stand-in: bad request: "} + exception.what());
    }
    if (response.reset) {
      const linger abort{1, 0};
      setsockopt(socket, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
      break;
    }
    if (!SendAll(socket, "HTTP/1.1 " + std::to_string(response.status) +
                             " -\r\nContent-Type: " + response.type + "\r\nContent-Length: " +
                             std::to_string(response.body.size()) + "\r\n\r\n" + response.body)) {
      break;
    }
  }
  const std::lock_guard lock(m_mutex);
  m_sockets.erase(socket);
  close(socket);
}

Response Call(const int port, const std::string& method, const std::string& path,
              const std::string& host, const std::string& body, const std::int64_t timeout_ms) {
  Response response{.status = 0};
  const auto until = NowMs() + timeout_ms;
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto address = Loopback(port);
  std::string buffer, head;
  if (connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 &&
      SendAll(socket, method + " " + path + " HTTP/1.1\r\nHost: " + host +
                          "\r\nContent-Type: application/json\r\nEbonypin-Deadline-Ms: " +
                          std::to_string(timeout_ms) + "\r\nContent-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body) &&
      ReadMessage(socket, buffer, head, response.body, until)) {
    response.status = std::atoi(head.c_str() + head.find(' ') + 1);
  }
  close(socket);
  return response;
}

std::vector<int> FreePorts(const int count) {
  std::vector<int> ports, sockets;
  for (int i = 0; i < count; ++i) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = Loopback(0);
    socklen_t size = sizeof(address);
    bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    ports.push_back(ntohs(address.sin_port));
    sockets.push_back(socket);
  }
  for (const int socket : sockets) close(socket);
  return ports;
}

// ---- Store ----

Store::Store(const int port) {
  m_server = std::make_unique<Server>(port, [this](const Request& r) { return Handle(r); });
}

void Store::Put(const std::string& topic, const std::string& key, const std::string& value) {
  const std::lock_guard lock(m_mutex);
  Add(m_topics[topic], std::string(1, static_cast<char>(key.size())) + key + value);
  m_changed.notify_all();
}

void Store::Add(Topic& topic, const std::string& record) {
  const auto offset = topic.records.size();
  topic.records.push_back(record);
  const auto size = static_cast<unsigned char>(record.at(0));
  const auto key = record.substr(1, size);
  const auto value = record.substr(1U + size);
  if (value.empty()) {
    topic.newest.erase(key);
  } else {
    topic.newest[key] = {value, offset};
  }
}

Response Store::Handle(const Request& request) {
  if (request.path == "/log-append") return Append(request);
  if (request.path == "/log-read") return Read(request);
  if (request.path == "/log-newest") return Newest(request);
  if (request.path == "/log-join") return Join(request, false);
  if (request.path == "/log-leave") return Join(request, true);
  if (request.path == "/log-owners") return Owners(request);
  if (request.path == "/advise") {
    const auto body = Json::parse(request.body);
    SleepMs(30);
    return {.body = advise(body).serialize()};
  }
  if (request.path == "/machines") return {.body = machines().serialize()};
  return {.status = 404, .body = "{}"};
}

Response Store::Append(const Request& request) {
  constexpr std::size_t kRecordBytes = 262144, kCallBytes = 2097152;
  std::vector<std::string> records;
  const auto& body = request.body;
  if (body.size() > kCallBytes) return {.status = 413, .body = "{}"};
  for (std::size_t at = 0; at + 4 <= body.size();) {
    std::size_t length = 0;
    for (int i = 0; i < 4; ++i) length = length << 8U | static_cast<unsigned char>(body[at++]);
    if (length > kRecordBytes) return {.status = 413, .body = "{}"};
    records.push_back(body.substr(at, length));
    at += length;
  }
  const std::lock_guard lock(m_mutex);
  auto& topic = m_topics[TextOf(request, "Topic")];
  const auto end = topic.records.size();
  const auto answer = [](const std::uint64_t offset, const std::uint64_t after) {
    Json json = Json::object();
    json["Offset"] = ToJson(offset);
    json["End"] = ToJson(after);
    return json.serialize();
  };
  const auto refuse = [](const std::string& reason, const std::uint64_t expected) {
    Json json = Json::object();
    json["Reason"] = Text(reason);
    json["Seq"] = ToJson(expected);
    return Response{.status = 409, .body = json.serialize()};
  };
  Topic::Producer* producer = nullptr;
  const auto sequence = NumberOf(request, "Seq");
  if (request.query.count("Producer") > 0) {
    producer = &topic.producers[TextOf(request, "Producer")];
    const auto epoch = NumberOf(request, "epoch");
    if (epoch < producer->epoch) return refuse("fenced", 0);
    if (epoch > producer->epoch) *producer = {.epoch = epoch};
    if (records.empty()) return {.body = answer(end, end)};
    const auto repeated = producer->answers.find(sequence);
    if (repeated != producer->answers.end()) return {.body = repeated->second};
    if (producer->last && sequence != *producer->last + 1)
      return refuse("seq", *producer->last + 1);
  }
  if (request.query.count("At") > 0 && NumberOf(request, "At") != end) {
    Json json = Json::object();
    json["End"] = ToJson(end);
    return {.status = 412, .body = json.serialize()};
  }
  for (const auto& record : records) Add(topic, record);
  const auto text = answer(end, topic.records.size());
  if (producer != nullptr) {
    producer->last = sequence;
    producer->answers[sequence] = text;
    if (producer->answers.size() > 5) producer->answers.erase(producer->answers.begin());
  }
  m_changed.notify_all();
  return {.body = text};
}

Response Store::Read(const Request& request) {
  std::unique_lock lock(m_mutex);
  const auto name = TextOf(request, "Topic");
  const auto from = NumberOf(request, "From");
  m_changed.wait_for(lock, std::chrono::milliseconds{NumberOf(request, "WaitMs")},
                     [&] { return m_topics[name].records.size() > from; });
  const auto& records = m_topics[name].records;
  std::string body = BigEndian(records.size(), 8) + BigEndian(0, 8);
  for (auto i = from; i < records.size() && i < from + 1024; ++i) {
    body += BigEndian(records[i].size(), 4) + records[i];
  }
  return {.body = body, .type = "application/octet-stream"};
}

Response Store::Newest(const Request& request) {
  const std::lock_guard lock(m_mutex);
  const auto& topic = m_topics[TextOf(request, "Topic")];
  const auto after = TextOf(request, "After");
  std::vector<Json> items;
  auto next = after.empty() ? topic.newest.begin() : topic.newest.upper_bound(after);
  for (; next != topic.newest.end() && items.size() < 500; ++next) {
    Json item = Json::object();
    const auto& value = next->second.first;
    item["Key"] = Text(next->first);
    item["Value"] = Text(utility::conversions::to_base64({value.begin(), value.end()}));
    item["Offset"] = ToJson(next->second.second);
    items.push_back(item);
  }
  Json json = Json::object();
  json["items"] = Json::array(items);
  json["More"] = Json::boolean(next != topic.newest.end());
  json["End"] = ToJson(topic.records.size());
  return {.body = json.serialize()};
}

void Store::Expire(Group& group) {
  const auto before = group.until.size();
  std::erase_if(group.until, [](const auto& member) { return member.second <= NowMs(); });
  if (group.until.size() != before) Deal(group);
}

void Store::Deal(Group& group) {
  ++group.generation;
  group.owners.clear();
  if (group.until.empty()) return;
  auto member = group.until.begin();
  for (int part = 0; part < 12; ++part) {
    group.owners[part] = member->first;
    if (++member == group.until.end()) member = group.until.begin();
  }
}

Response Store::Join(const Request& request, const bool leave) {
  const auto body = Json::parse(request.body);
  const auto member = body.at("Member").as_string();
  const std::lock_guard lock(m_mutex);
  auto& group = m_groups[body.at("group").as_string()];
  Expire(group);
  if (leave) {
    if (group.until.erase(member) > 0) Deal(group);
    return {.body = "{}"};
  }
  const bool is_new = group.until.count(member) == 0;
  group.until[member] = NowMs() + body.at("TtlMs").as_integer();
  if (is_new) Deal(group);
  std::vector<Json> rows;
  for (const auto& [part, owner] : group.owners) {
    if (owner != member) continue;
    rows.push_back(Json::array({body.at("Topics").at(0), Json::number(part), Json::number(0)}));
  }
  Json json = Json::object();
  json["Generation"] = ToJson(group.generation);
  json["parts"] = Json::array(rows);
  return {.body = json.serialize()};
}

Response Store::Owners(const Request& request) {
  const std::lock_guard lock(m_mutex);
  auto& group = m_groups[TextOf(request, "group")];
  Expire(group);
  std::vector<Json> rows;
  for (const auto& [part, owner] : group.owners) {
    rows.push_back(Json::array({Text("topic"), Json::number(part), Text(owner), Json::number(0)}));
  }
  Json json = Json::object();
  json["parts"] = Json::array(rows);
  return {.body = json.serialize()};
}

// ---- Workers ----

Worker::Worker(std::string id, std::string service, const int port, const int control_port,
               const int number)
    : m_id(std::move(id)),
      m_service(std::move(service)),
      m_control_port(control_port),
      m_number(number) {
  Begin();
  m_up = true;
  m_server = std::make_unique<Server>(port, [this](const Request& r) { return Handle(r); });
}

Worker::~Worker() {
  m_stop = true;
  {
    const std::lock_guard lock(m_mutex);
    m_changed.notify_all();
  }
  if (m_beats.joinable()) m_beats.join();
  m_server = nullptr;
}

void Worker::Start() {
  m_beats = std::thread([this] { Beat(); });
}

void Worker::Begin() {
  m_born = m_deadline = NowMs();
  m_born_wall = std::max(WallMs(), m_born_wall + 1);
  m_fence = m_sequence = 0;
  m_next_end = 1;
  m_runs.clear();
  m_closed.clear();
  m_ends.clear();
}

void Worker::Crash() {
  {
    const std::lock_guard lock(m_mutex);
    Advance();
    m_up = false;
    for (const auto& [task, run] : m_runs) {
      const std::lock_guard record_lock(g_record_mutex);
      g_runs[run.record].ended = NowMs();
      g_runs[run.record].how = "crashed";
    }
    m_runs.clear();
    m_changed.notify_all();
  }
  Note("worker " + m_id + " crashes");
  m_server->Close();
}

void Worker::Restart() {
  {
    const std::lock_guard lock(m_mutex);
    Begin();
    m_up = true;
  }
  m_server->Open();
  Note("worker " + m_id + " is up again");
}

std::vector<RunRecord> Worker::Runs() {
  const std::lock_guard lock(g_record_mutex);
  return g_runs;
}

std::string Worker::Ticket() const { return "t-" + std::to_string(m_born_wall); }

Json Worker::Stamp() const {
  Json json = Json::object();
  json["ClockMs"] = Json::number(NowMs() - m_born);
  json["born"] = Json::number(m_born_wall);
  return json;
}

Response Worker::Answer(const int status, const std::string& reason) const {
  Json json = Stamp();
  if (!reason.empty()) json["Reason"] = Text(reason);
  return {.status = status, .body = json.serialize()};
}

void Worker::Finish(const std::string& task, const std::string& how) {
  const auto found = m_runs.find(task);
  {
    const std::lock_guard lock(g_record_mutex);
    g_runs[found->second.record].ended = NowMs();
    g_runs[found->second.record].how = how;
  }
  auto& closed = m_closed[task];
  closed = std::max(closed, found->second.run);
  m_ends.push_back({.number = m_next_end++, .run = found->second.run, .task = task, .how = how});
  m_runs.erase(found);
  m_changed.notify_all();
}

void Worker::Advance() {
  std::vector<std::pair<std::string, std::string>> over;
  for (const auto& [task, run] : m_runs) {
    if (run.length >= 0 && NowMs() >= run.started + run.length) {
      over.emplace_back(task, run.how);
    } else if (NowMs() >= m_deadline) {
      over.emplace_back(task, "lapsed");
    }
  }
  for (const auto& [task, how] : over) Finish(task, how);
}

Response Worker::Handle(const Request& request) {
  if (!m_up) return {.reset = true};
  const auto expected = request.headers.find("ebonypin-expect-instance");
  std::unique_lock lock(m_mutex);
  if (expected != request.headers.end() && expected->second != m_id) return Answer(421, {});
  const auto body = Json::parse(request.body);
  Advance();
  const auto fence = body.has_field("Fence") ? body.at("Fence").as_number().to_uint64() : 0;
  if (fence < m_fence) return Answer(409, "fence");
  m_fence = fence;
  if (request.path == "/hold") return Hold(lock, body);
  if (request.path == "/pace") return Answer(200, {});
  const auto task = body.at("Task").as_string();
  const auto run = body.at("Run").as_number().to_uint64();
  if (request.path == "/run-stop") {
    const auto there = m_runs.find(task);
    if (there != m_runs.end() && there->second.run <= run) Finish(task, "stopped");
    auto& closed = m_closed[task];
    closed = std::max(closed, run);
    return Answer(200, {});
  }
  if (request.path != "/run-start") return {.status = 404, .body = "{}"};
  const auto fault = start_fault ? start_fault() : StartFault::kNone;
  if (fault == StartFault::kBusy) {
    Note("worker " + m_id + " answers 503 to the start of " + task + " run " + std::to_string(run) +
         " and does nothing");
    return Answer(503, {});
  }
  auto response = StartRun(body);
  if (fault == StartFault::kDoneAndReset) {
    Note("worker " + m_id + " carries out the start of " + task + " run " + std::to_string(run) +
         " (status " + std::to_string(response.status) + ") and resets the connection unanswered");
    response.reset = true;
  }
  return response;
}

Response Worker::StartRun(const Json& body) {
  const auto task = body.at("Task").as_string();
  const auto run = body.at("Run").as_number().to_uint64();
  const auto deadline = m_born + body.at("DeadlineMs").as_number().to_int64();
  if (deadline <= NowMs()) return Answer(409, "late");
  m_deadline = std::max(m_deadline, std::min(deadline, NowMs() + 6000));
  const auto there = m_runs.find(task);
  if (there != m_runs.end() && there->second.run == run) return Answer(200, {});
  if (ticketed_jobs.count(task.substr(0, 16)) > 0) {
    const auto ticket = body.has_field("Ticket") ? body.at("Ticket").as_string() : "";
    if (ticket != Ticket()) {
      Note("worker " + m_id + " rejects the start of " + task + " run " + std::to_string(run) +
           ": its ticket " + ticket + " is not of this life");
      return Answer(409, "ticket");
    }
  }
  if (there != m_runs.end() || run <= m_closed[task]) return Answer(409, "old");
  Run made{.run = run, .started = NowMs(), .length = -1, .how = "done"};
  std::istringstream words(body.at("Spec").as_string());
  std::string verb;
  words >> verb >> made.length;
  if (!words) made.length = -1;
  made.lasts = verb == "last";
  words >> made.how;
  if (made.how.empty()) made.how = "done";
  {
    const std::lock_guard lock(g_record_mutex);
    made.record = g_runs.size();
    g_runs.push_back(
        {.task = task, .run = run, .worker = m_id, .life = m_born_wall, .started = made.started});
  }
  m_runs[task] = made;
  return Answer(200, {});
}

Response Worker::Hold(std::unique_lock<std::mutex>& lock, const Json& body) {
  const auto born = m_born_wall;
  if (body.has_field("DeadlineMs")) {
    const auto deadline = m_born + body.at("DeadlineMs").as_number().to_int64();
    m_deadline = std::max(m_deadline, std::min(deadline, NowMs() + 6000));
  }
  const auto seen = body.at("SeenUpto").as_number().to_uint64();
  std::erase_if(m_ends, [&](const End& end) { return end.number <= seen; });
  const auto until = NowMs() + (body.has_field("WaitMs") ? body.at("WaitMs").as_integer() : 0);
  while (m_ends.empty() && NowMs() < until && !m_stop && m_up) {
    m_changed.wait_for(lock, std::chrono::milliseconds{5});
    Advance();
  }
  if (!m_up || m_born_wall != born) return {.reset = true};
  Json json = Stamp();
  std::vector<Json> running, ended;
  for (const auto& [task, run] : m_runs) {
    const auto percent =
        run.lasts
            ? 100
            : std::clamp<std::int64_t>(
                  100 * (NowMs() - run.started) / std::max<std::int64_t>(run.length, 1), 0, 100);
    running.push_back(Json::array({Text(task), ToJson(run.run), Text(""), Json::number(percent),
                                   Json::number(run.lasts ? 1 : 100)}));
  }
  for (const auto& end : m_ends) {
    if (ended.size() == 500) break;
    ended.push_back(Json::array(
        {ToJson(end.number), Text(end.task), ToJson(end.run), Text(end.how), Text("")}));
  }
  json["Running"] = Json::array(running);
  json["Ended"] = Json::array(ended);
  return {.body = json.serialize()};
}

void Worker::Beat() {
  while (!m_stop) {
    std::string body;
    {
      const std::lock_guard lock(m_mutex);
      Advance();
      if (m_up) {
        Json json = Stamp();
        Json capacity = Json::object();
        capacity["Cpu"] = Json::number(16000);
        capacity["MemMb"] = Json::number(64000);
        json["Service"] = Text(m_service);
        json["Addr"] = Text("127.0.0.1:" + std::to_string(m_server ? m_server->Port() : 1));
        json["Zone"] = Text("krk-a");
        json["Version"] = Text("v1");
        json["Slots"] = Json::number(8);
        json["State"] = Text(m_draining ? "draining" : "ready");
        json["Machine"] = Text("m-" + std::to_string(m_number));
        json["Capacity"] = capacity;
        json["Labels"] = Json::array({Text("a"), Text("r1-" + std::to_string(m_number / 3 + 1))});
        json["Seq"] = ToJson(++m_sequence);
        body = json.serialize();
      }
    }
    if (!body.empty()) {
      Call(m_control_port, "POST", "/instances/" + m_id + "/heartbeat", "localhost", body, 1000);
    }
    for (int i = 0; i < 110 && !m_stop; ++i) SleepMs(10);
  }
}

// ---- The record ----

void Note(const std::string& line) {
  const auto now = NowMs();
  const std::lock_guard lock(g_record_mutex);
  std::ostringstream text;
  text << now << " ms " << line;
  g_notes.push_back(text.str());
}

int Conclude(const std::string& folder, const std::vector<std::string>& breaks) {
  const std::lock_guard lock(g_record_mutex);
  std::ofstream file(folder + "/record.txt");
  file << "Disruption: " << (Trouble() ? "yes" : "no") << "\n\nEvents\n";
  for (const auto& note : g_notes) file << note << "\n";
  file << "\nRuns (task, run, worker, life, started, ended, how)\n";
  for (const auto& run : g_runs) {
    file << run.task << " run " << run.run << " at " << run.worker << " life " << run.life << " "
         << run.started << " ms to " << (run.ended < 0 ? "-" : std::to_string(run.ended) + " ms")
         << " " << run.how << "\n";
  }
  file << "\nBroken\n";
  for (const auto& text : breaks) file << text << "\n";
  for (const auto& text : breaks) std::cout << "broken: " << text << "\n";
  std::cout << (breaks.empty() ? "held" : "broken " + std::to_string(breaks.size()) + " times")
            << "; " << g_runs.size() << " runs\n";
  return breaks.empty() ? 0 : 1;
}

// ---- The deployment ----

Site::Site(const SiteOptions& options) {
  signal(SIGPIPE, SIG_IGN);
  char folder[] = "/tmp/review.XXXXXX";
  if (mkdtemp(folder) == nullptr) std::exit(2);
  m_folder = folder;
  const int workers = static_cast<int>(options.services.size());
  const auto ports = FreePorts(1 + options.entries * 4 + workers * 4);
  std::size_t next = 0;
  const auto port = [&] { return ports.at(next++); };
  const auto at = [](const int p) { return "127.0.0.1:" + std::to_string(p); };
  const int store = port();
  m_store = std::make_unique<Store>(store);
  m_store->machines = [this] {
    std::vector<Json> rows;
    for (const auto& worker : m_workers) {
      Json row = Json::object();
      row["Machine"] = Text("m-" + std::to_string(worker->Index()));
      row["Pool"] = Text(worker->Service());
      row["State"] = Text(worker->Up() ? "up" : "down");
      if (worker->Up()) row["Id"] = Text(worker->Id());
      rows.push_back(row);
    }
    Json json = Json::object();
    json["Machines"] = Json::array(rows);
    json["NextToken"] = Json::null();
    return json;
  };
  m_store->advise = [this, options](const Json& request) {
    std::vector<Json> rows;
    std::string text;
    for (const auto& named : request.at("Workers").as_array()) {
      const auto& id = named.as_string();
      text += " " + id;
      if (options.is_good && !options.is_good(id)) continue;
      for (const auto& worker : m_workers) {
        if (worker->Id() != id) continue;
        rows.push_back(Json::array(std::vector<Json>{Text(id), Text(worker->Ticket())}));
      }
    }
    Note("the advice service is asked about" + text + " and gives " + std::to_string(rows.size()) +
         " tickets");
    Json json = Json::object();
    json["ValidMs"] = Json::number(options.advice_valid_ms);
    json["Good"] = Json::array(rows);
    return json;
  };
  for (int i = 0; i < options.entries; ++i) {
    m_fronts.push_back(port());
    m_readies.push_back(port());
    const int rpc = port(), metrics = port();
    const auto name = "edge-" + std::to_string(i + 1);
    Launch(name,
           "[process]\nrole = fleet_entry\nid = " + name +
               "\nregion = pl-south\ndomain = krk-a\nrpc = " + at(rpc) +
               "\nhttp = " + at(m_fronts.back()) + "\nreadiness = " + at(m_readies.back()) +
               "\nmetrics = " + at(metrics) + "\nprocessors = 0.25\n\n[store]\nurl = http://" +
               at(store) + "\nshortest_membership = 1000ms\n\n[machines]\nurl = http://" +
               at(store) + "\n\n[advice]\nurl = http://" + at(store) + "\n",
           5);
  }
  for (int i = 0; i < workers; ++i) {
    const int app = port(), rpc = port(), control = port(), metrics = port();
    const auto name = "side-" + std::to_string(i + 1);
    m_workers.push_back(std::make_unique<Worker>("i-" + std::to_string(i + 1),
                                                 options.services[static_cast<std::size_t>(i)], app,
                                                 control, i));
    Launch(name,
           "[process]\nrole = fleet_agent\nid = " + name +
               "\nregion = pl-south\ndomain = krk-a\nrpc = " + at(rpc) + "\ncontrol = " +
               at(control) + "\nmetrics = " + at(metrics) + "\n\n[store]\nurl = http://" +
               at(store) + "\n\n[worker]\nurl = http://" + at(app) + "\nlongest_lease = 6000ms\n",
           1);
  }
  for (const auto& worker : m_workers) worker->Start();
}

Site::~Site() {
  for (const int pid : m_pids) kill(pid, SIGKILL);
  for (const int pid : m_pids) waitpid(pid, nullptr, 0);
  m_workers.clear();
  m_store = nullptr;
  if (std::getenv("KEEP") != nullptr) {
    std::cout << "logs are in " << m_folder << "\n";
  } else {
    std::filesystem::remove_all(m_folder);
  }
}

void Site::Launch(const std::string& name, const std::string& settings, const int drain_s) {
  const auto path = m_folder + "/" + name + ".ini";
  std::ofstream(path) << settings;
  const auto log = m_folder + "/" + name + ".log";
  const auto settings_flag = "--settings=" + path;
  const auto drain_flag = "--drain_seconds=" + std::to_string(drain_s);
  const int pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(file, 1);
    dup2(file, 2);
    execl("target/bin/ebonypind", "target/bin/ebonypind", settings_flag.c_str(), drain_flag.c_str(),
          nullptr);
    _exit(127);
  }
  m_pids.push_back(pid);
}

void Site::Configure(const std::vector<Queue>& queues) {
  m_version += 3;
  Json config = Json::object();
  config["Version"] = ToJson(m_version);
  std::vector<Json> routes, services;
  std::set<std::string> names;
  for (const auto& queue : queues) {
    Json route = Json::object();
    route["Name"] = Text(queue.name);
    route["Host"] = Text("nony24.example");
    route["PathPrefix"] = Text(queue.prefix);
    route["Type"] = Text("mutating");
    route["TimeoutMs"] = Json::number(3000);
    route["SloMs"] = Json::number(1000);
    route["Prio"] = Json::number(queue.priority);
    route["Service"] = Text(queue.service);
    route["Attempts"] = Json::number(queue.attempts);
    route["Stretch"] = Json::number(1.5);
    if (queue.advice_valid_ms > 0) {
      Json advice = Json::object();
      advice["DecideMs"] = Json::number(20);
      advice["PeriodMs"] = Json::number(2);
      advice["ValidMs"] = Json::number(queue.advice_valid_ms);
      route["Advice"] = advice;
    }
    routes.push_back(route);
    names.insert(queue.service);
  }
  for (const auto& worker : m_workers) names.insert(worker->Service());
  for (const auto& name : names) {
    Json service = Json::object();
    service["Name"] = Text(name);
    service["MaxConns"] = Json::number(64);
    service["EnforcesCapacity"] = Json::boolean(true);
    services.push_back(service);
  }
  Json limits = Json::object();
  limits["MaxBodyBytes"] = Json::number(262144);
  config["Routes"] = Json::array(routes);
  config["Services"] = Json::array(services);
  config["Limits"] = limits;
  m_store->Put("keyed.op", "config", config.serialize());
  Note("the operator writes configuration " + std::to_string(m_version) +
       ", acknowledged by the store");
}

std::string Site::NextId() {
  const std::lock_guard lock(m_mutex);
  char text[17];
  snprintf(text, sizeof(text), "%016llx",
           static_cast<unsigned long long>(0x5c0e7a2100000000ULL + m_next_id++));
  return text;
}

int Site::Submit(const std::string& prefix, const std::string& id, const std::string& body) {
  int status = 0;
  for (int i = 0; i < 5; ++i) {
    int port = 0;
    {
      const std::lock_guard lock(m_mutex);
      port = m_fronts[m_next_entry++ % m_fronts.size()];
    }
    status = Call(port, "POST", prefix + id, "nony24.example", body, 3000).status;
    if (status == 200 || status == 404 || status == 400) break;
    SleepMs(300);
  }
  Note("job " + id + " handed in: " + std::to_string(status));
  return status;
}

std::string Site::StateOf(const std::string& prefix, const std::string& id) {
  for (int i = 0; i < 5; ++i) {
    int port = 0;
    {
      const std::lock_guard lock(m_mutex);
      port = m_fronts[m_next_entry++ % m_fronts.size()];
    }
    const auto response = Call(port, "GET", prefix + id, "nony24.example", {}, 3000);
    if (response.status == 200) return Json::parse(response.body).at("State").as_string();
    if (response.status == 410) return "410";
    SleepMs(200);
  }
  return {};
}

int Site::Cancel(const std::string& prefix, const std::string& id) {
  int status = 0;
  for (int i = 0; i < 5 && status != 200 && status != 410; ++i) {
    status = Call(m_fronts[m_next_entry++ % m_fronts.size()], "DELETE", prefix + id,
                  "nony24.example", {}, 3000)
                 .status;
  }
  return status;
}

bool Site::WaitUntilServing(const std::string& prefix) {
  const auto until = NowMs() + 20000;
  for (const int ready : m_readies) {
    while (Call(ready, "GET", "/readyz", "localhost", {}, 500).status != 200) {
      if (NowMs() > until) return false;
      SleepMs(100);
    }
  }
  const auto id = NextId();
  if (Submit(prefix, id,
             R"({"Spec":"run 100","Steps":[{"Count":1,"Cpu":100,"MemMb":64,"EstMs":100}]})") !=
      200) {
    return false;
  }
  while (StateOf(prefix, id) != "done") {
    if (NowMs() > until) return false;
    SleepMs(100);
  }
  // All workers are known to the coordinator soon after their heartbeats.
  SleepMs(2500);
  return true;
}

}  // namespace review
