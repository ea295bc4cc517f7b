#include "connection.h"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

namespace ebonypin::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using boost::system::error_code;
using core::ConnectionPhase;

/// Reads of one connection before the others get their turn.
constexpr int kReadsPerEvent = 4;

/// After the last response, input is discarded for so long, because a reset caused by unread bytes
/// could reach the client before the response.
constexpr core::Duration kLingerTime = std::chrono::seconds{2};
constexpr std::size_t kLingerBytes = std::size_t{16} << 20U;

/// A client that has ended its sending may still read the response. Callers wait for about 3 s.
constexpr core::Duration kHalfClosedTime = std::chrono::seconds{5};

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

constexpr unsigned kHttp10 = 10;
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;
constexpr unsigned kLargestStatus = 999;
constexpr unsigned kInternalError = 500;

/// Whether bytes were written that the client has not confirmed.
bool HasUnsentOutput(const int descriptor) {
  int bytes = 0;
  return ioctl(descriptor, SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

}  // namespace

struct Connection::Outgoing {
  beast::http::response<beast::http::string_body> m_message;
  beast::http::response_serializer<beast::http::string_body> m_serializer{m_message};
  Sent m_sent;
};

Connection::Connection(Listener& listener, const core::ConnectionId id, tcp::socket socket)
    : m_listener(listener), m_id(id), m_socket(std::move(socket)) {}

Connection::~Connection() = default;

void Connection::Start() {
  error_code error;
  m_socket.non_blocking(true, error);
  if (error) return Close();
  SetStage(Stage::kHead, m_listener.Limits().m_head_timeout);
  WaitReadable();
}

void Connection::SetStage(const Stage stage, const core::Duration timeout) {
  m_stage = stage;
  m_deadline = Now() + timeout;
}

void Connection::WaitReadable() {
  if (m_waiting) return;
  m_waiting = true;
  // Waiting without a buffer leaves an idle connection without one.
  m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code& error) {
    self->m_waiting = false;
    if (!error) self->OnReadable();
  });
}

void Connection::OnReadable() {
  if (!ReadsInput()) return;
  auto& buffer = m_listener.ReadBuffer();
  for (int reads = 0; reads < kReadsPerEvent; ++reads) {
    error_code error;
    const std::size_t bytes = m_socket.read_some(asio::buffer(buffer), error);
    if (error == asio::error::would_block) break;
    if (error) return Close();
    const bool reads_on =
        m_stage == Stage::kLingering ? Discard(bytes) : Consume({buffer.data(), bytes});
    if (!reads_on) return;
    if (bytes < buffer.size()) break;
  }
  WaitReadable();
}

bool Connection::ReadsInput() const noexcept {
  return m_stage == Stage::kIdle || m_stage == Stage::kHead || m_stage == Stage::kBody ||
         m_stage == Stage::kLingering;
}

bool Connection::Discard(const std::size_t bytes) {
  m_discarded += bytes;
  if (m_discarded <= kLingerBytes) return true;
  Close();
  return false;
}

bool Connection::Consume(std::string_view data) {
  const auto& limits = m_listener.Limits();
  if (m_stage == Stage::kIdle) SetStage(Stage::kHead, limits.m_head_timeout);
  if (!m_parser) m_parser.emplace(limits.m_max_head_bytes, limits.m_max_body_bytes);
  if (m_stage == Stage::kBody &&
      !Charge(ConnectionPhase::kBody, m_parser->MemoryBytesAfter(data.size()) + m_rest.size())) {
    return false;
  }
  std::string joined;
  if (!m_rest.empty()) {
    joined.swap(m_rest);
    data = joined.append(data);
  }
  const auto result = m_parser->Parse(data);
  if (result.m_consumed < data.size()) {
    if (joined.empty()) {
      m_rest = data.substr(result.m_consumed);
    } else {
      m_rest = std::move(joined.erase(0, result.m_consumed));
    }
  }
  switch (result.m_verdict) {
    case ParseVerdict::kIncomplete:
      return AwaitMore();
    case ParseVerdict::kComplete:
      Dispatch();
      return false;
    case ParseVerdict::kHeadTooLarge:
      Refuse(431, CloseReason::kHeadLimit, "The head of the request is too large; send less.");
      return false;
    case ParseVerdict::kBodyTooLarge:
      Refuse(413, CloseReason::kBodyLimit, "The body of the request is too large; send less.");
      return false;
    case ParseVerdict::kMalformed:
      Refuse(400, CloseReason::kMalformed, "The request is not valid HTTP/1.1; correct it.");
      return false;
  }
  return false;
}

bool Connection::AwaitMore() {
  if (m_parser->IsHeadComplete() && m_stage == Stage::kHead) {
    SetStage(Stage::kBody, m_listener.Limits().m_body_timeout);
    if (m_parser->ExpectsContinue() && m_parser->Version() > kHttp10) {
      // Lost when the buffer of the kernel is full; clients then send the body after a while.
      error_code ignored;
      m_socket.write_some(asio::buffer(kContinue), ignored);
    }
  }
  return Charge(m_stage == Stage::kBody ? ConnectionPhase::kBody : ConnectionPhase::kHead,
                m_parser->MemoryBytes() + (m_rest.empty() ? 0 : m_rest.capacity()));
}

bool Connection::Charge(const ConnectionPhase phase, const std::size_t bytes) {
  m_charged = bytes;
  return m_listener.Move(*this, phase, bytes);
}

void Connection::Dispatch() {
  if (m_listener.IsStopping()) return Close();
  if (!Charge(ConnectionPhase::kHandled,
              m_parser->MemoryBytes() + (m_rest.empty() ? 0 : m_rest.capacity()))) {
    return;
  }
  m_stage = Stage::kHandled;
  m_deadline = core::Time::max();
  m_version = m_parser->Version();
  m_is_head = m_parser->IsHead();
  m_keeps_alive = m_parser->KeepsAlive();
  m_peer_ended.reset();
  ++m_number;
  const Request request = m_parser->TakeMessage();
  m_parser.reset();
  m_listener.Handle(request, {.m_connection = m_id, .m_number = m_number});
}

void Connection::Respond(const std::uint64_t number, Response response, Sent sent) {
  if (m_stage != Stage::kHandled || number != m_number) {
    return CallSent(sent, "the request is no longer in progress");
  }
  // The request counts until the response is written. Handled connections are never refused.
  (void)Charge(ConnectionPhase::kWriting, m_charged + response.m_body.size());
  m_closes = response.m_closes || !m_keeps_alive;
  Write(std::move(response), std::move(sent));
}

void Connection::Refuse(const unsigned status, const CloseReason reason, const char* const text) {
  m_listener.Count(reason);
  m_is_head = m_parser && m_parser->IsHead();
  m_version = 11;
  m_parser.reset();
  m_rest = {};
  // The table may close it before any other: it has no request that could be served.
  if (!Charge(ConnectionPhase::kIdle, 0)) return;
  m_keeps_alive = true;
  m_closes = true;
  Write(m_listener.RefusalOf(status, text), nullptr);
}

void Connection::Write(Response response, Sent sent) {
  SetStage(Stage::kWriting, m_listener.Limits().m_write_timeout);
  m_outgoing = std::make_unique<Outgoing>();
  m_outgoing->m_sent = std::move(sent);
  auto& message = m_outgoing->m_message;
  message.version(m_version);
  message.result(response.m_status <= kLargestStatus ? response.m_status : kInternalError);
  for (const auto& [name, value] : response.m_headers) message.insert(name, value);
  if (!response.m_body.empty()) {
    message.set(beast::http::field::content_type, response.m_content_type);
  }
  const bool has_length = response.m_status != kNoContent && response.m_status != kNotModified;
  if (has_length) message.content_length(response.m_body.size());
  if (has_length && !m_is_head) message.body() = std::move(response.m_body);
  message.keep_alive(!m_closes);
  beast::http::async_write(m_socket, m_outgoing->m_serializer,
                           [self = shared_from_this()](const error_code& error, std::size_t) {
                             self->OnWritten(error);
                           });
}

void Connection::OnWritten(const error_code& error) {
  const auto outgoing = std::move(m_outgoing);
  CallSent(outgoing->m_sent, error ? "the response was not written: " + error.message() : "");
  if (m_stage == Stage::kClosed) return;
  if (error) return Close();
  if (m_listener.IsStopping()) {
    error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    return Close();
  }
  if (m_closes) {
    // A client that asked for the end sends nothing more.
    return !m_keeps_alive && m_rest.empty() ? Close() : Linger();
  }
  SetStage(Stage::kIdle, m_listener.Limits().m_idle_timeout);
  if (!Charge(ConnectionPhase::kIdle, 0)) return;
  if (m_rest.empty() || Consume({})) WaitReadable();
}

void Connection::Linger() {
  error_code ignored;
  m_socket.shutdown(tcp::socket::shutdown_send, ignored);
  m_rest = {};
  if (!Charge(ConnectionPhase::kIdle, 0)) return;
  SetStage(Stage::kLingering, kLingerTime);
  WaitReadable();
}

void Connection::CheckTimeout(const core::Time now) {
  if (now < m_deadline) return;
  switch (m_stage) {
    case Stage::kIdle:
      m_listener.Count(CloseReason::kIdleTimeout);
      return CloseFreeingOutput();
    case Stage::kHead:
      if (m_parser) {
        return Refuse(408, CloseReason::kHeadTimeout, "The head of the request came too late.");
      }
      m_listener.Count(CloseReason::kHeadTimeout);
      return Close();
    case Stage::kBody:
      return Refuse(408, CloseReason::kBodyTimeout, "The body of the request came too late.");
    case Stage::kWriting:
      return Abort(CloseReason::kWriteTimeout);
    case Stage::kLingering:
      return CloseFreeingOutput();
    case Stage::kHandled:
    case Stage::kClosed:
      return;
  }
}

void Connection::OnPeerEvents(const short events, const core::Time now) {
  if ((events & (POLLERR | POLLHUP | POLLNVAL)) != 0) return Close();
  if ((events & POLLRDHUP) == 0) return;
  if (!m_peer_ended) m_peer_ended = now;
  if (now - *m_peer_ended >= kHalfClosedTime) Close();
}

void Connection::Abort(const CloseReason reason) {
  m_listener.Count(reason);
  Reset();
}

void Connection::CloseFreeingOutput() {
  // The kernel would keep the output of a client that never reads for minutes.
  return HasUnsentOutput(m_socket.native_handle()) ? Reset() : Close();
}

void Connection::Reset() {
  error_code ignored;
  m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
  Close();
}

void Connection::Close() {
  if (m_stage == Stage::kClosed) return;
  m_stage = Stage::kClosed;
  m_parser.reset();
  m_rest = {};
  error_code ignored;
  m_socket.close(ignored);
  m_listener.Remove(m_id);
}

}  // namespace ebonypin::http
