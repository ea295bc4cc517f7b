#include "ebonypin/wire/rpc.h"

#include <capnp/message.h>
#include <capnp/rpc-twoparty.h>
#include <ebonypin.capnp.h>
#include <kj/async-io.h>

#include <algorithm>
#include <atomic>
#include <exception>
#include <future>
#include <stdexcept>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include "counting_stream.h"
#include "ebonypin/wire/limits.h"
#include "envelope.h"
#include "incoming_connections.h"
#include "task_queue.h"

namespace ebonypin::wire {
namespace {

using core::Error;
using core::ErrorKind;

constexpr capnp::ReaderOptions kReaderOptions{.traversalLimitInWords = kMaxMessageWords,
                                              .nestingLimit = 24};

/// Time limit for the set-up of a TCP connection; the deadline of the call may be earlier.
constexpr auto kConnectTimeout = 1 * kj::SECONDS;

/// Pause after a failed accept, which is repeated since descriptors may have become free.
constexpr auto kAcceptPause = 100 * kj::MILLISECONDS;

/// One client connection. Used on the event loop thread only.
class Connection : public kj::Refcounted {
 public:
  explicit Connection(kj::Own<kj::AsyncIoStream> stream)
      : m_stream(kj::mv(stream)),
        m_network(*m_stream, capnp::rpc::twoparty::Side::CLIENT, kReaderOptions),
        m_system(capnp::makeRpcClient(m_network)),
        m_peer(Bootstrap()) {}

  schema::Peer::Client& Peer() noexcept { return m_peer; }
  kj::Promise<void> OnDisconnect() { return m_network.onDisconnect(); }

 private:
  schema::Peer::Client Bootstrap() {
    capnp::MallocMessageBuilder message(4);
    auto vat = message.initRoot<capnp::rpc::twoparty::VatId>();
    vat.setSide(capnp::rpc::twoparty::Side::SERVER);
    return m_system.bootstrap(vat).castAs<schema::Peer>();
  }

  kj::Own<kj::AsyncIoStream> m_stream;
  capnp::TwoPartyVatNetwork m_network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_system;
  schema::Peer::Client m_peer;
};

}  // namespace

class Rpc::Impl final : public kj::TaskSet::ErrorHandler {
 public:
  explicit Impl(RpcOptions options)
      : m_options(std::move(options)),
        m_incoming({.m_max_connections = m_options.m_max_connections,
                    .m_max_bytes = m_options.m_max_receiving_bytes},
                   m_incoming_counters) {
    std::promise<std::uint16_t> started;
    auto port = started.get_future();
    m_thread = std::thread([this, &started] { Run(started); });
    try {
      m_port = port.get();
    } catch (...) {
      m_thread.join();
      throw;
    }
  }

  ~Impl() {
    m_queue.Post([this] { m_stop->fulfill(); });
    m_thread.join();
  }

  void Call(std::string address, core::Message request, const core::Duration deadline,
            CallDone done) {
    ++m_calls;
    if (m_in_flight.fetch_add(1) >= m_options.m_max_calls_in_flight) {
      --m_in_flight;
      done({Error{.m_kind = ErrorKind::kNoCapacity,
                  .m_message = "too many calls in flight; retry later",
                  .m_retry_after = std::chrono::milliseconds{50}}});
      return;
    }
    m_queue.Post([this, address = std::move(address), request = std::move(request), deadline,
                  done = std::move(done)]() mutable {
      StartCall(std::move(address), std::move(request), deadline, std::move(done));
    });
  }

  [[nodiscard]] std::uint16_t Port() const noexcept { return m_port; }

  [[nodiscard]] RpcCounters Counters() const noexcept {
    return {.m_calls = m_calls,
            .m_timeouts = m_timeouts,
            .m_disconnects = m_disconnects,
            .m_reconnects = m_reconnects,
            .m_served = m_served,
            .m_accept_failures = m_accept_failures,
            .m_open = m_incoming_counters.m_open,
            .m_receiving_bytes = m_incoming_counters.m_receiving_bytes,
            .m_closed_for_connections = m_incoming_counters.m_closed_for_connections,
            .m_closed_for_memory = m_incoming_counters.m_closed_for_memory,
            .m_closed_for_descriptors = m_incoming_counters.m_closed_for_descriptors,
            .m_bytes_sent = m_bytes.m_sent,
            .m_bytes_received = m_bytes.m_received};
  }

  /// Serves an incoming call; runs on the event loop thread.
  kj::Promise<core::Message> Serve(core::Message request) {
    ++m_served;
    const auto id = ++m_last_pending;
    auto [promise, fulfiller] = kj::newPromiseAndFulfiller<core::Message>();
    m_pending.emplace(id, kj::mv(fulfiller));
    m_options.m_handler(std::move(request), [this, id](core::Message reply) {
      m_queue.Post(
          [this, id, reply = std::move(reply)]() mutable { Fulfill(id, std::move(reply)); });
    });
    return kj::mv(promise);
  }

 private:
  /// Cap'n Proto server object, one for each connection.
  class PeerServer final : public schema::Peer::Server {
   public:
    PeerServer(Impl& impl, const core::ConnectionId connection)
        : m_impl(impl), m_connection(connection) {}

    kj::Promise<void> call(CallContext context) override {
      auto message = GetEnvelope(context.getParams().getRequest());
      context.releaseParams();
      m_impl.m_incoming.BeginCall(m_connection);
      return m_impl.Serve(std::move(message))
          .then([context](core::Message reply) mutable {
            PutEnvelope(context.getResults().initReply(), reply);
          })
          .attach(kj::defer([&impl = m_impl, id = m_connection] { impl.m_incoming.EndCall(id); }));
    }

   private:
    Impl& m_impl;
    const core::ConnectionId m_connection;
  };

  void taskFailed(kj::Exception&& /*exception*/) override {}

  void Run(std::promise<std::uint16_t>& started) {
    bool announced = false;
    try {
      auto io = kj::setupAsyncIo();
      m_io = &io;
      m_tasks = kj::heap<kj::TaskSet>(*this);
      auto [stop, fulfiller] = kj::newPromiseAndFulfiller<void>();
      m_stop = kj::mv(fulfiller);
      kj::Own<kj::ConnectionReceiver> listener;
      std::uint16_t port = 0;
      if (!m_options.m_listen_ip.empty()) {
        auto address = io.provider->getNetwork()
                           .parseAddress(m_options.m_listen_ip.c_str(), m_options.m_listen_port)
                           .wait(io.waitScope);
        listener = address->listen();
        port = static_cast<std::uint16_t>(listener->getPort());
        m_tasks->add(Accept(*listener));
      }
      auto wake = io.lowLevelProvider->wrapInputFd(m_queue.ReadFd(), 0);
      m_tasks->add(DrainQueue(*wake));
      announced = true;
      started.set_value(port);
      stop.wait(io.waitScope);
      m_pending.clear();
      m_tasks = nullptr;
      m_connections.clear();
    } catch (const kj::Exception& exception) {
      if (announced) return;
      started.set_exception(std::make_exception_ptr(
          std::runtime_error(std::string{"cannot listen on "} + m_options.m_listen_ip + ":" +
                             std::to_string(m_options.m_listen_port) + ": " +
                             exception.getDescription().cStr() + "; choose a free address")));
    }
  }

  kj::Promise<void> Accept(kj::ConnectionReceiver& listener) {
    return listener.accept().then(
        [this, &listener](kj::Own<kj::AsyncIoStream>&& accepted) {
          ServeConnection(kj::mv(accepted));
          return Accept(listener);
        },
        [this, &listener](kj::Exception&& /*exception*/) {
          ++m_accept_failures;
          m_incoming.CloseOneForDescriptors();
          return m_io->provider->getTimer().afterDelay(kAcceptPause).then([this, &listener] {
            return Accept(listener);
          });
        });
  }

  void ServeConnection(kj::Own<kj::AsyncIoStream> accepted) {
    KJ_IF_MAYBE (incoming, m_incoming.Add(kj::mv(accepted))) {
      const auto id = incoming->m_id;
      kj::Own<kj::AsyncIoStream> stream =
          kj::heap<CountingStream>(kj::mv(incoming->m_stream), m_bytes);
      auto network = kj::heap<capnp::TwoPartyVatNetwork>(
          *stream, capnp::rpc::twoparty::Side::SERVER, kReaderOptions);
      auto system = kj::heap(
          capnp::makeRpcServer(*network, schema::Peer::Client(kj::heap<PeerServer>(*this, id))));
      auto closed = network->onDisconnect().exclusiveJoin(kj::mv(incoming->m_closed));
      // Chained attachments are destroyed in the order in which they are attached. The RPC system
      // uses the network in its destructor, so it must be destroyed first.
      m_tasks->add(closed.attach(kj::mv(system))
                       .attach(kj::mv(network))
                       .attach(kj::mv(stream))
                       .attach(kj::defer([this, id] { m_incoming.Remove(id); })));
    }
  }

  kj::Promise<void> DrainQueue(kj::AsyncInputStream& wake) {
    return wake.tryRead(m_wake_buffer, 1, sizeof(m_wake_buffer)).then([this, &wake](std::size_t) {
      for (auto& task : m_queue.TakeAll()) task();
      return DrainQueue(wake);
    });
  }

  void Fulfill(const std::uint64_t id, core::Message reply) {
    const auto found = m_pending.find(id);
    if (found == m_pending.end()) return;
    found->second->fulfill(std::move(reply));
    m_pending.erase(found);
  }

  /// Returns the connection to `address`, opening one when there is none.
  kj::Promise<kj::Own<Connection>> Connect(const std::string& address) {
    const auto found = m_connections.find(address);
    if (found != m_connections.end()) return kj::addRef(*found->second);
    return m_io->provider->getNetwork()
        .parseAddress(address.c_str())
        .then([](kj::Own<kj::NetworkAddress>&& parsed) {
          auto connecting = parsed->connect();
          return connecting.attach(kj::mv(parsed));
        })
        .then([this, address](kj::Own<kj::AsyncIoStream>&& stream) {
          // Another call may have connected to the address in the meantime.
          const auto existing = m_connections.find(address);
          if (existing != m_connections.end()) return kj::addRef(*existing->second);
          auto connection =
              kj::refcounted<Connection>(kj::heap<CountingStream>(kj::mv(stream), m_bytes));
          auto* const raw = connection.get();
          m_connections.emplace(address, kj::addRef(*connection));
          m_tasks->add(connection->OnDisconnect().then(
              [this, address, raw] { RemoveConnection(address, raw); }));
          return connection;
        });
  }

  void RemoveConnection(const std::string& address, const Connection* connection) {
    const auto found = m_connections.find(address);
    if (found != m_connections.end() && found->second.get() == connection)
      m_connections.erase(found);
  }

  void StartCall(std::string address, core::Message request, const core::Duration deadline,
                 CallDone done) {
    auto finish = std::make_shared<CallDone>(std::move(done));
    auto used = std::make_shared<const Connection*>(nullptr);
    auto sent = std::make_shared<bool>(false);
    auto exchange =
        m_io->provider->getTimer()
            .timeoutAfter(kConnectTimeout, Connect(address))
            .then([used, sent, request = std::move(request)](kj::Own<Connection>&& connection) {
              *used = connection.get();
              *sent = true;
              auto call = connection->Peer().callRequest();
              PutEnvelope(call.initRequest(), request);
              return call.send()
                  .then([](auto&& response) { return GetEnvelope(response.getReply()); })
                  .attach(kj::mv(connection));
            });
    auto bounded = m_io->provider->getTimer().timeoutAfter(
        std::max<std::int64_t>(deadline.count(), 1) * kj::MICROSECONDS, kj::mv(exchange));
    m_tasks->add(bounded.then(
        [this, finish](core::Message&& reply) { Finish(*finish, std::move(reply)); },
        [this, finish, address = std::move(address), used, sent](kj::Exception&& exception) {
          Finish(*finish, ToError(exception, address, *used, *sent));
        }));
  }

  core::Message ToError(const kj::Exception& exception, const std::string& address,
                        const Connection* used, const bool sent) {
    if (exception.getType() == kj::Exception::Type::OVERLOADED && sent) {
      // kj reports an elapsed timeout as OVERLOADED.
      ++m_timeouts;
      const auto found = m_connections.find(address);
      if (found != m_connections.end() && found->second.get() == used) {
        ++m_reconnects;
        m_connections.erase(found);
      }
      return Error{
          .m_kind = ErrorKind::kTimeout,
          .m_message = "no answer from " + address + " in time; retry if the work is idempotent"};
    }
    ++m_disconnects;
    if (!sent) {
      return Error{.m_kind = ErrorKind::kNoCapacity,
                   .m_message = "cannot connect to " + address +
                                "; the call was not sent, try another process"};
    }
    const auto found = m_connections.find(address);
    if (found != m_connections.end() && found->second.get() == used) m_connections.erase(found);
    return Error{.m_kind = ErrorKind::kDisconnected,
                 .m_message = "lost the connection to " + address + ": " +
                              exception.getDescription().cStr() +
                              "; retry if the work is idempotent"};
  }

  void Finish(const CallDone& done, core::Message reply) {
    --m_in_flight;
    done({std::move(reply)});
  }

  RpcOptions m_options;
  TaskQueue m_queue;
  std::thread m_thread;
  std::uint16_t m_port = 0;
  std::atomic<std::uint64_t> m_calls{0};
  std::atomic<std::uint64_t> m_timeouts{0};
  std::atomic<std::uint64_t> m_disconnects{0};
  std::atomic<std::uint64_t> m_reconnects{0};
  std::atomic<std::uint64_t> m_served{0};
  std::atomic<std::uint64_t> m_accept_failures{0};
  std::atomic<std::size_t> m_in_flight{0};
  IncomingCounters m_incoming_counters;
  ByteCounters m_bytes;

  // Used on the event loop thread only.
  kj::AsyncIoContext* m_io = nullptr;
  kj::Own<kj::TaskSet> m_tasks;
  kj::Own<kj::PromiseFulfiller<void>> m_stop;
  IncomingConnections m_incoming;
  std::unordered_map<std::string, kj::Own<Connection>> m_connections;
  std::unordered_map<std::uint64_t, kj::Own<kj::PromiseFulfiller<core::Message>>> m_pending;
  std::uint64_t m_last_pending = 0;
  char m_wake_buffer[64] = {};
};

Rpc::Rpc(RpcOptions options) : m_impl(std::make_unique<Impl>(std::move(options))) {}
Rpc::~Rpc() = default;

void Rpc::Call(std::string address, core::Message request, const core::Duration deadline,
               CallDone done) {
  m_impl->Call(std::move(address), std::move(request), deadline, std::move(done));
}

std::uint16_t Rpc::Port() const noexcept { return m_impl->Port(); }

RpcCounters Rpc::Counters() const noexcept { return m_impl->Counters(); }

}  // namespace ebonypin::wire
