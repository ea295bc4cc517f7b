#include "incoming_connections.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <chrono>
#include <utility>

namespace ebonypin::wire {
namespace {

using core::ConnectionId;
using core::ConnectionPhase;

/// A peer that has lost power or its link never closes its connection. Such a connection ends when
/// the peer has answered nothing for a minute, probes included. Calls in between time out earlier.
constexpr int kFirstProbeSeconds = 30;
constexpr int kProbeIntervalSeconds = 10;
constexpr int kProbes = 3;
constexpr unsigned kUnansweredMs = 60'000;

/// Cap'n Proto reads the first word of a message before it allocates memory for the others.
constexpr std::size_t kFirstWordBytes = 8;

core::Time Now() noexcept {
  return std::chrono::time_point_cast<core::Duration>(std::chrono::steady_clock::now());
}

template <typename T>
void SetOption(kj::AsyncIoStream& stream, const int level, const int option, const T value) {
  stream.setsockopt(level, option, &value, sizeof(value));
}

void DetectLostPeer(kj::AsyncIoStream& stream) {
  SetOption(stream, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(stream, IPPROTO_TCP, TCP_KEEPIDLE, kFirstProbeSeconds);
  SetOption(stream, IPPROTO_TCP, TCP_KEEPINTVL, kProbeIntervalSeconds);
  SetOption(stream, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
  SetOption(stream, IPPROTO_TCP, TCP_USER_TIMEOUT, kUnansweredMs);
}

}  // namespace

/// Forwards all calls to another stream, and notes the memory of the message that is being read.
class IncomingConnections::Stream final : public kj::AsyncIoStream {
 public:
  Stream(IncomingConnections& owner, const ConnectionId id, kj::Own<kj::AsyncIoStream> inner)
      : m_owner(owner), m_id(id), m_inner(kj::mv(inner)) {}

  kj::Promise<std::size_t> tryRead(void* buffer, std::size_t min_bytes,
                                   std::size_t max_bytes) override {
    if (min_bytes <= kFirstWordBytes) return m_inner->tryRead(buffer, min_bytes, max_bytes);
    if (!m_owner.SetReceiving(m_id, max_bytes)) return kj::NEVER_DONE;
    return m_inner->tryRead(buffer, min_bytes, max_bytes).then([this](const std::size_t read) {
      m_owner.SetReceiving(m_id, 0);
      return read;
    });
  }
  kj::Promise<void> write(const void* buffer, const std::size_t size) override {
    return m_inner->write(buffer, size);
  }
  kj::Promise<void> write(const kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override {
    return m_inner->write(pieces);
  }
  kj::Promise<void> whenWriteDisconnected() override { return m_inner->whenWriteDisconnected(); }
  void shutdownWrite() override { m_inner->shutdownWrite(); }
  void abortRead() override { m_inner->abortRead(); }

 private:
  IncomingConnections& m_owner;
  const ConnectionId m_id;
  kj::Own<kj::AsyncIoStream> m_inner;
};

IncomingConnections::IncomingConnections(const core::ConnectionLimits& limits,
                                         IncomingCounters& counters)
    : m_table{.m_limits = limits}, m_counters(counters) {}

kj::Maybe<IncomingConnections::Incoming> IncomingConnections::Add(
    kj::Own<kj::AsyncIoStream> accepted) {
  const auto id = ++m_last_id;
  const auto verdict = core::AddConnection(m_table, id, Now());
  for (const auto closed : verdict.m_close) Close(closed, m_counters.m_closed_for_connections);
  if (!verdict.m_admitted) {
    ++m_counters.m_closed_for_connections;
    return nullptr;
  }
  // The peer has closed the connection when an option cannot be set; the next read shows it.
  kj::runCatchingExceptions([&] { DetectLostPeer(*accepted); });
  auto paf = kj::newPromiseAndFulfiller<void>();
  const auto& connection =
      m_connections.emplace(id, Connection{.m_close = kj::mv(paf.fulfiller)}).first->second;
  Update(id, connection);
  return Incoming{.m_id = id,
                  .m_stream = kj::heap<Stream>(*this, id, kj::mv(accepted)),
                  .m_closed = kj::mv(paf.promise)};
}

void IncomingConnections::Remove(const ConnectionId id) {
  core::RemoveConnection(m_table, id);
  m_connections.erase(id);
  m_counters.m_open = m_connections.size();
  m_counters.m_receiving_bytes = m_table.m_bytes;
}

void IncomingConnections::BeginCall(const ConnectionId id) {
  const auto found = m_connections.find(id);
  if (found == m_connections.end()) return;
  ++found->second.m_calls;
  Update(id, found->second);
}

void IncomingConnections::EndCall(const ConnectionId id) {
  const auto found = m_connections.find(id);
  if (found == m_connections.end()) return;
  --found->second.m_calls;
  Update(id, found->second);
}

bool IncomingConnections::SetReceiving(const ConnectionId id, const std::size_t bytes) {
  const auto found = m_connections.find(id);
  if (found == m_connections.end()) return false;
  found->second.m_receiving_bytes = bytes;
  return Update(id, found->second);
}

bool IncomingConnections::Update(const ConnectionId id, const Connection& connection) {
  const std::size_t bytes = connection.m_receiving_bytes;
  // A call in progress does not protect a message that never ends.
  const auto phase = bytes > 0                ? ConnectionPhase::kBody
                     : connection.m_calls > 0 ? ConnectionPhase::kHandled
                                              : ConnectionPhase::kIdle;
  const auto verdict = core::MoveConnection(m_table, id, phase, bytes, Now());
  for (const auto closed : verdict.m_close) Close(closed, m_counters.m_closed_for_memory);
  if (!verdict.m_admitted) Close(id, m_counters.m_closed_for_memory);
  m_counters.m_open = m_connections.size();
  m_counters.m_receiving_bytes = m_table.m_bytes;
  return verdict.m_admitted;
}

void IncomingConnections::CloseOneForDescriptors() {
  const auto id = core::TakeConnectionToClose(m_table, Now());
  if (id) Close(*id, m_counters.m_closed_for_descriptors);
}

void IncomingConnections::Close(const ConnectionId id, std::atomic<std::uint64_t>& counter) {
  const auto found = m_connections.find(id);
  if (found == m_connections.end()) return;
  ++counter;
  found->second.m_close->fulfill();
  m_connections.erase(found);
}

}  // namespace ebonypin::wire
