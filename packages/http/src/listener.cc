#include "listener.h"

#include <poll.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <csignal>
#include <stdexcept>
#include <utility>

#include "connection.h"

namespace ebonypin::http {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// Connections that the kernel accepts ahead of this process.
constexpr int kBacklog = 256;
/// After a failed accept, in which descriptors may become free. Without it the thread would use a
/// whole processor for failing accepts.
constexpr core::Duration kAcceptPause = std::chrono::milliseconds{100};
/// An idle process is not woken more often than once a second.
constexpr core::Duration kLongestSweep = std::chrono::seconds{1};
constexpr core::Duration kShortestSweep = std::chrono::milliseconds{20};
/// For clients to take the responses that were given before the end.
constexpr core::Duration kStopTime = std::chrono::seconds{1};
/// The kernel allows twice the value for its own overhead.
constexpr std::size_t kSmallestBuffer = std::size_t{8} << 10U;
constexpr std::size_t kLargestBuffer = std::size_t{64} << 10U;

constexpr unsigned kInternalError = 500;
constexpr const char* kStopped = "the server has stopped";

/// What a response needs to find its request. Shared by the copies of one Respond.
struct Exchange {
  std::weak_ptr<Listener> m_listener;
  RequestKey m_key;
  std::atomic_flag m_responded = ATOMIC_FLAG_INIT;
};

tcp::endpoint Resolve(asio::io_context& context, const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    throw std::invalid_argument("the address \"" + address +
                                "\" has no port; write it as ip:port, such as 127.0.0.1:8080");
  }
  std::string host = address.substr(0, colon);
  if (host.size() > 1 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  tcp::resolver resolver(context);
  return *resolver.resolve(host, address.substr(colon + 1), tcp::resolver::passive).begin();
}

bool IsLackOfResources(const error_code& error) {
  return error == asio::error::no_descriptors || error == asio::error::no_buffer_space ||
         error == asio::error::no_memory ||
         error == boost::system::errc::too_many_files_open_in_system;
}

/// Whether the accept failed because of the client only.
bool IsFaultOfClient(const error_code& error) {
  return error == asio::error::connection_aborted || error == asio::error::interrupted;
}

core::Duration SweepInterval(const ServerLimits& limits) {
  const auto shortest = std::min({limits.m_head_timeout, limits.m_idle_timeout,
                                  limits.m_body_timeout, limits.m_write_timeout});
  return std::clamp(shortest / 3, kShortestSweep, kLongestSweep);
}

core::ConnectionLimits TableLimits(const ServerLimits& limits) {
  return {.m_max_connections = limits.m_max_connections,
          .m_max_bytes = limits.m_max_buffered_bytes};
}

/// Starts a thread that takes no signals.
template <typename Function>
std::thread StartThread(Function function) {
  sigset_t all;
  sigset_t before;
  sigfillset(&all);
  pthread_sigmask(SIG_SETMASK, &all, &before);
  std::thread thread(std::move(function));
  pthread_sigmask(SIG_SETMASK, &before, nullptr);
  return thread;
}

}  // namespace

core::Time Now() noexcept {
  return std::chrono::time_point_cast<core::Duration>(std::chrono::steady_clock::now());
}

void CallSent(const Sent& sent, const std::string& error) noexcept {
  if (!sent) return;
  try {
    sent(error);
  } catch (const std::exception&) {
    // The connection continues without regard to what the callback does.
  }
}

Listener::Listener(const std::string& address, const ServerLimits& limits, Handler handler,
                   Refusal refusal)
    : m_work(m_context.get_executor()),
      m_acceptor(m_context),
      m_accept_timer(m_context),
      m_sweep_timer(m_context),
      m_stop_timer(m_context),
      m_handler(std::move(handler)),
      m_refusal(std::move(refusal)),
      m_limits(limits),
      m_table{.m_limits = TableLimits(limits)} {
  const auto endpoint = Resolve(m_context, address);
  m_acceptor.open(endpoint.protocol());
  m_acceptor.set_option(tcp::acceptor::reuse_address(true));
  // Accepted sockets inherit these options.
  m_acceptor.set_option(tcp::no_delay(true));
  SetBufferSizes();
  m_acceptor.bind(endpoint);
  m_acceptor.listen(kBacklog);
}

Listener::~Listener() = default;

Response Listener::RefusalOf(const unsigned status, const std::string& reason) const {
  if (m_refusal) return m_refusal(status, reason);
  return {.m_status = status, .m_body = reason, .m_content_type = "text/plain"};
}

void Listener::Start() {
  Accept();
  m_thread = StartThread([this] { Run(); });
}

void Listener::Run() {
  for (;;) {
    try {
      m_context.run();
      return;
    } catch (const std::exception&) {
      // Memory is exhausted. The connection concerned is closed when its time is over.
    }
  }
}

void Listener::SetBufferSizes() {
  // The buffers of all connections together stay within the memory for requests.
  const std::size_t share =
      m_limits.m_max_buffered_bytes / std::max<std::size_t>(2 * m_limits.m_max_connections, 1);
  const int size = static_cast<int>(std::clamp(share, kSmallestBuffer, kLargestBuffer));
  error_code ignored;
  m_acceptor.set_option(asio::socket_base::receive_buffer_size(size), ignored);
  m_acceptor.set_option(asio::socket_base::send_buffer_size(size), ignored);
}

void Listener::SetLimits(const ServerLimits& limits) {
  asio::post(m_context, [this, limits] {
    if (m_stopping || m_limits == limits) return;
    m_limits = limits;
    m_table.m_limits = TableLimits(limits);
    SetBufferSizes();
    // The next sweep may be due earlier now.
    if (m_sweeping) ScheduleSweep();
  });
}

ServerCounters Listener::Counters() const {
  ServerCounters counters{
      .m_accepted = m_accepted, .m_open = m_open, .m_buffered_bytes = m_buffered};
  for (std::size_t i = 0; i < m_closed.size(); ++i) {
    if (m_closed[i] > 0) counters.m_closed.emplace(kCloseReasonNames[i], m_closed[i]);
  }
  return counters;
}

void Listener::Accept() {
  m_acceptor.async_accept([this](const error_code& error, tcp::socket socket) {
    if (m_stopping) return;
    if (!error) {
      AddSocket(std::move(socket));
    } else if (!IsFaultOfClient(error)) {
      return PauseAccepting(error);
    }
    Accept();
  });
}

void Listener::PauseAccepting(const error_code& error) {
  if (IsLackOfResources(error)) {
    if (const auto id = core::TakeConnectionToClose(m_table, Now())) {
      CloseAll({*id}, CloseReason::kDescriptors);
    }
  }
  m_accept_timer.expires_after(kAcceptPause);
  m_accept_timer.async_wait([this](const error_code& cancelled) {
    if (!cancelled && !m_stopping) Accept();
  });
}

void Listener::AddSocket(tcp::socket socket) {
  ++m_accepted;
  const auto id = ++m_last_id;
  const auto verdict = core::AddConnection(m_table, id, Now());
  CloseAll(verdict.m_close, CloseReason::kConnections);
  if (!verdict.m_admitted) return Count(CloseReason::kConnections);
  const auto connection = std::make_shared<Connection>(*this, id, std::move(socket));
  m_connections.emplace(id, connection);
  PublishTable();
  connection->Start();
  if (!m_sweeping) ScheduleSweep();
}

void Listener::CloseAll(const std::vector<core::ConnectionId>& ids, const CloseReason reason) {
  for (const auto id : ids) {
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) continue;
    const auto connection = found->second;
    connection->Abort(reason);
  }
}

bool Listener::Move(Connection& connection, const core::ConnectionPhase phase,
                    const std::size_t bytes) {
  const auto verdict = core::MoveConnection(m_table, connection.Id(), phase, bytes, Now());
  CloseAll(verdict.m_close, CloseReason::kBuffered);
  if (!verdict.m_admitted) connection.Abort(CloseReason::kBuffered);
  PublishTable();
  return verdict.m_admitted;
}

void Listener::Remove(const core::ConnectionId id) {
  core::RemoveConnection(m_table, id);
  m_connections.erase(id);
  PublishTable();
  if (m_stopping) EndWhenEmpty();
}

void Listener::PublishTable() noexcept {
  m_open.store(m_connections.size(), std::memory_order_relaxed);
  m_buffered.store(m_table.m_bytes, std::memory_order_relaxed);
}

void Listener::Count(const CloseReason reason) noexcept { ++m_closed[IndexOf(reason)]; }

void Listener::ScheduleSweep() {
  m_sweeping = true;
  m_sweep_timer.expires_after(SweepInterval(m_limits));
  m_sweep_timer.async_wait([this](const error_code& cancelled) {
    if (!cancelled && !m_stopping) Sweep();
  });
}

void Listener::Sweep() {
  const auto now = Now();
  std::vector<std::shared_ptr<Connection>> connections;
  std::vector<std::shared_ptr<Connection>> in_progress;
  std::vector<pollfd> events;
  connections.reserve(m_connections.size());
  for (const auto& [id, connection] : m_connections) {
    connections.push_back(connection);
    if (!connection->HasRequestInProgress()) continue;
    in_progress.push_back(connection);
    events.push_back({.fd = connection->Descriptor(), .events = POLLRDHUP, .revents = 0});
  }
  if (!events.empty() && poll(events.data(), events.size(), 0) > 0) {
    for (std::size_t i = 0; i < events.size(); ++i) {
      in_progress[i]->OnPeerEvents(events[i].revents, now);
    }
  }
  for (const auto& connection : connections) connection->CheckTimeout(now);
  m_sweeping = false;
  if (!m_connections.empty()) ScheduleSweep();
}

void Listener::Handle(const Request& request, const RequestKey key) {
  const auto exchange = std::make_shared<Exchange>();
  exchange->m_listener = weak_from_this();
  exchange->m_key = key;
  const Respond respond = [exchange](Response response, Sent sent) {
    if (exchange->m_responded.test_and_set()) return;
    const auto listener = exchange->m_listener.lock();
    if (listener) {
      listener->Enqueue({exchange->m_key, std::move(response), std::move(sent)});
    } else {
      CallSent(sent, kStopped);
    }
  };
  try {
    m_handler(request, respond);
  } catch (const std::exception&) {
    respond({.m_status = kInternalError}, {});
  }
}

void Listener::Enqueue(PendingResponse response) {
  {
    const std::lock_guard lock(m_pending_mutex);
    if (!m_ended) {
      m_pending.push_back(std::move(response));
      // One wake-up of the thread is enough for all that wait.
      if (m_pending.size() > 1) return;
      return asio::post(m_context, [this] { WritePending(); });
    }
  }
  CallSent(response.m_sent, kStopped);
}

void Listener::WritePending() {
  std::vector<PendingResponse> pending;
  {
    const std::lock_guard lock(m_pending_mutex);
    pending.swap(m_pending);
  }
  for (auto& [key, response, sent] : pending) {
    const auto found = m_connections.find(key.m_connection);
    if (found != m_connections.end()) {
      const auto connection = found->second;
      connection->Respond(key.m_number, std::move(response), std::move(sent));
    } else {
      CallSent(sent, "the connection is closed");
    }
  }
}

void Listener::Stop() {
  asio::post(m_context, [this] { BeginStop(); });
  m_thread.join();
  std::vector<PendingResponse> pending;
  {
    const std::lock_guard lock(m_pending_mutex);
    m_ended = true;
    pending.swap(m_pending);
  }
  for (const auto& response : pending) CallSent(response.m_sent, kStopped);
}

void Listener::BeginStop() {
  m_stopping = true;
  error_code ignored;
  m_acceptor.close(ignored);
  m_accept_timer.cancel();
  m_sweep_timer.cancel();
  WritePending();
  m_stop_timer.expires_after(kStopTime);
  m_stop_timer.async_wait([this](const error_code& cancelled) {
    if (!cancelled) CloseWhere([](const Connection&) { return true; });
  });
  CloseWhere([](const Connection& connection) { return !connection.IsWriting(); });
  EndWhenEmpty();
}

void Listener::CloseWhere(const std::function<bool(const Connection&)>& predicate) {
  std::vector<std::shared_ptr<Connection>> selected;
  for (const auto& [id, connection] : m_connections) {
    if (predicate(*connection)) selected.push_back(connection);
  }
  for (const auto& connection : selected) connection->Close();
}

void Listener::EndWhenEmpty() {
  if (!m_connections.empty()) return;
  m_stop_timer.cancel();
  m_work.reset();
}

}  // namespace ebonypin::http
