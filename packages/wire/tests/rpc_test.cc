#include "ebonypin/wire/rpc.h"

#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <future>
#include <thread>

namespace ebonypin::wire {
namespace {

using namespace std::chrono_literals;

/// Calls `address` and waits for the outcome.
CallResult CallAndWait(Rpc& rpc, const std::string& address, core::Message request,
                       const core::Duration deadline) {
  std::promise<CallResult> done;
  auto result = done.get_future();
  rpc.Call(address, std::move(request), deadline,
           [&done](CallResult outcome) { done.set_value(std::move(outcome)); });
  return result.get();
}

std::string AddressOf(const Rpc& rpc) { return "127.0.0.1:" + std::to_string(rpc.Port()); }

class RpcTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RpcTest);
  CPPUNIT_TEST(ReplyFromAnotherThreadReachesItsCall);
  CPPUNIT_TEST(UnansweredCallEndsAtItsDeadlineAndTheNextUsesANewConnection);
  CPPUNIT_TEST(CallToAClosedPortIsReportedAsNotSent);
  CPPUNIT_TEST(CallsBeyondTheLimitAreRefusedAsNotSent);
  CPPUNIT_TEST(AServerStopsWhileAClientIsStillConnected);
  CPPUNIT_TEST(BothEndsCountTheSameBytes);
  CPPUNIT_TEST(AServerGoesOnAcceptingAfterDescriptorsWereUsedUp);
  CPPUNIT_TEST(TheLongestIdleConnectionIsClosedForAFurtherOne);
  CPPUNIT_TEST(AConnectionWithACallInProgressIsNotClosed);
  CPPUNIT_TEST(AcceptedConnectionsProbeTheirPeers);
  CPPUNIT_TEST(IncompleteMessagesStayWithinTheirMemory);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against replies that are matched to the wrong call.
  void ReplyFromAnotherThreadReachesItsCall() {
    std::vector<std::thread> workers;
    Rpc server({.m_listen_ip = "127.0.0.1",
                .m_handler = [&workers](core::Message message, ReplyFunction reply) {
                  const auto request = std::get<core::RunRequest>(message);
                  workers.emplace_back([request, reply] {
                    // Later requests are answered sooner.
                    std::this_thread::sleep_for(20ms - std::chrono::milliseconds{request.m_try});
                    reply(core::RunReply{.m_request = request.m_request, .m_try = request.m_try});
                  });
                }});
    Rpc client({});
    std::vector<std::future<CallResult>> results;
    std::vector<std::promise<CallResult>> promises(10);
    for (std::uint64_t i = 0; i < promises.size(); ++i) {
      client.Call(
          AddressOf(server), core::RunRequest{.m_request = {std::to_string(i)}, .m_try = i}, 5s,
          [&promises, i](CallResult outcome) { promises[i].set_value(std::move(outcome)); });
    }
    for (std::uint64_t i = 0; i < promises.size(); ++i) {
      const auto outcome = promises[i].get_future().get();
      const auto* const reply = outcome.Get<core::RunReply>();
      CPPUNIT_ASSERT(reply != nullptr);
      CPPUNIT_ASSERT_EQUAL(std::to_string(i), reply->m_request.m_value);
    }
    for (auto& worker : workers) worker.join();
  }

  /// Guards against calls that hang on a connection that no longer delivers data.
  void UnansweredCallEndsAtItsDeadlineAndTheNextUsesANewConnection() {
    std::atomic<int> served{0};
    Rpc server({.m_listen_ip = "127.0.0.1",
                .m_handler = [&served](const core::Message&, const ReplyFunction& reply) {
                  if (++served > 1) reply(core::CancelReply{.m_stopped = true});
                }});
    Rpc client({});
    const auto first = CallAndWait(client, AddressOf(server), core::CancelRequest{}, 50ms);
    CPPUNIT_ASSERT(first.GetError() != nullptr);
    CPPUNIT_ASSERT(first.GetError()->m_kind == core::ErrorKind::kTimeout);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, client.Counters().m_reconnects);
    const auto second = CallAndWait(client, AddressOf(server), core::CancelRequest{}, 5s);
    CPPUNIT_ASSERT(second.Get<core::CancelReply>() != nullptr);
  }

  /// Guards against reporting an unknown outcome for a call that cannot have been received.
  void CallToAClosedPortIsReportedAsNotSent() {
    std::string address;
    {
      const Rpc closed({.m_listen_ip = "127.0.0.1",
                        .m_handler = [](const core::Message&, const ReplyFunction&) {}});
      address = AddressOf(closed);
    }
    Rpc client({});
    const auto outcome = CallAndWait(client, address, core::CancelRequest{}, 5s);
    CPPUNIT_ASSERT(outcome.GetError() != nullptr);
    CPPUNIT_ASSERT(outcome.GetError()->m_kind == core::ErrorKind::kNoCapacity);
  }

  /// Guards against unbounded memory use when a peer stops answering.
  void CallsBeyondTheLimitAreRefusedAsNotSent() {
    Rpc server({.m_listen_ip = "127.0.0.1",
                .m_handler = [](const core::Message&, const ReplyFunction&) {}});
    Rpc client({.m_max_calls_in_flight = 1});
    std::promise<void> first_done;
    client.Call(AddressOf(server), core::CancelRequest{}, 100ms,
                [&first_done](const CallResult&) { first_done.set_value(); });
    const auto second = CallAndWait(client, AddressOf(server), core::CancelRequest{}, 5s);
    CPPUNIT_ASSERT(second.GetError() != nullptr);
    CPPUNIT_ASSERT(second.GetError()->m_kind == core::ErrorKind::kNoCapacity);
    first_done.get_future().get();
  }

  /// Guards against a crash when a stopping server destroys the objects of an open connection in
  /// the wrong order.
  void AServerStopsWhileAClientIsStillConnected() {
    Rpc client({});
    for (int i = 0; i < 20; ++i) {
      Rpc server({.m_listen_ip = "127.0.0.1",
                  .m_handler = [](const core::Message&, const ReplyFunction& reply) {
                    reply(core::CancelReply{});
                  }});
      CPPUNIT_ASSERT(CallAndWait(client, AddressOf(server), core::CancelRequest{}, 5s).GetError() ==
                     nullptr);
    }
  }

  /// Guards against control traffic counters that leave out one direction.
  void BothEndsCountTheSameBytes() {
    Rpc server({.m_listen_ip = "127.0.0.1",
                .m_handler = [](const core::Message&, const ReplyFunction& reply) {
                  reply(core::CancelReply{});
                }});
    Rpc client({});
    const core::CancelRequest request{.m_job = {std::string(1000, 'j')}};
    CPPUNIT_ASSERT(CallAndWait(client, AddressOf(server), request, 5s).GetError() == nullptr);
    CPPUNIT_ASSERT(client.Counters().m_bytes_sent > 1000);
    CPPUNIT_ASSERT_EQUAL(server.Counters().m_bytes_sent, client.Counters().m_bytes_received);
    CPPUNIT_ASSERT(server.Counters().m_bytes_received > 1000);
  }

  /// Guards against a failed accept that ends the server for good.
  void AServerGoesOnAcceptingAfterDescriptorsWereUsedUp() {
    Rpc server = Answering({});
    Rpc client({});
    const int waiting = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    rlimit usual{};
    CPPUNIT_ASSERT_EQUAL(0, getrlimit(RLIMIT_NOFILE, &usual));
    const int first_free = dup(waiting);
    close(first_free);
    const rlimit none{.rlim_cur = static_cast<rlim_t>(first_free), .rlim_max = usual.rlim_max};
    CPPUNIT_ASSERT_EQUAL(0, setrlimit(RLIMIT_NOFILE, &none));
    const int connected = Connect(waiting, server);
    const auto until = std::chrono::steady_clock::now() + 10s;
    while (server.Counters().m_accept_failures == 0 && std::chrono::steady_clock::now() < until) {
      std::this_thread::yield();
    }
    CPPUNIT_ASSERT_EQUAL(0, setrlimit(RLIMIT_NOFILE, &usual));
    CPPUNIT_ASSERT_EQUAL(0, connected);
    CPPUNIT_ASSERT(server.Counters().m_accept_failures > 0);
    const auto result = CallAndWait(client, AddressOf(server), core::CancelRequest{}, 10s);
    CPPUNIT_ASSERT(result.GetError() == nullptr);
    close(waiting);
  }

  /// Guards against connections that use up the descriptors of the process, and against old ones,
  /// whose peers may be gone, that keep new peers out.
  void TheLongestIdleConnectionIsClosedForAFurtherOne() {
    Rpc server = Answering({.m_max_connections = 2});
    Rpc first({});
    Rpc second({});
    Rpc third({});
    for (Rpc* const client : {&first, &second, &first, &third}) {
      CPPUNIT_ASSERT(IsAnswered(*client, server));
      CPPUNIT_ASSERT(server.Counters().m_open <= 2);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, server.Counters().m_closed_for_connections);
    // The first one made a call after the second one, and keeps its connection.
    CPPUNIT_ASSERT(IsAnswered(first, server));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, server.Counters().m_closed_for_connections);
    CPPUNIT_ASSERT(WaitUntil([&] { return IsAnswered(second, server); }));
  }

  /// Guards against closing a connection whose call is in progress, which leaves its outcome open.
  void AConnectionWithACallInProgressIsNotClosed() {
    std::promise<ReplyFunction> taken;
    Rpc server({.m_listen_ip = "127.0.0.1",
                .m_handler = [&taken](const core::Message&,
                                      const ReplyFunction& reply) { taken.set_value(reply); },
                .m_max_connections = 1});
    Rpc first({});
    std::promise<CallResult> done;
    first.Call(AddressOf(server), core::CancelRequest{}, 10s,
               [&done](CallResult outcome) { done.set_value(std::move(outcome)); });
    const auto reply = taken.get_future().get();
    Rpc second({});
    CPPUNIT_ASSERT(!IsAnswered(second, server));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, server.Counters().m_closed_for_connections);
    reply(core::CancelReply{});
    CPPUNIT_ASSERT(done.get_future().get().GetError() == nullptr);
  }

  /// Guards against connections of peers that have lost power, which stay open for good when
  /// nothing is sent on them.
  void AcceptedConnectionsProbeTheirPeers() {
    Rpc server = Answering({});
    Rpc client({});
    CPPUNIT_ASSERT(IsAnswered(client, server));
    int accepted = 0;
    for (int descriptor = 0; descriptor < kSearchedDescriptors; ++descriptor) {
      sockaddr_in local{};
      sockaddr_in peer{};
      socklen_t size = sizeof(local);
      socklen_t peer_size = sizeof(peer);
      if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&local), &size) != 0) continue;
      if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &peer_size) != 0) continue;
      if (ntohs(local.sin_port) != server.Port()) continue;
      ++accepted;
      CPPUNIT_ASSERT_EQUAL(1, OptionOf(descriptor, SOL_SOCKET, SO_KEEPALIVE));
      CPPUNIT_ASSERT_EQUAL(30, OptionOf(descriptor, IPPROTO_TCP, TCP_KEEPIDLE));
      CPPUNIT_ASSERT_EQUAL(60'000, OptionOf(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT));
    }
    CPPUNIT_ASSERT_EQUAL(1, accepted);
  }

  /// Guards against messages that are each within their limit, and together are not.
  void IncompleteMessagesStayWithinTheirMemory() {
    constexpr std::size_t kMessageBytes = std::size_t{1} << 20U;
    constexpr std::size_t kMemory = 3 * kMessageBytes;
    Rpc server = Answering({.m_max_receiving_bytes = kMemory});
    std::vector<int> sockets;
    for (int i = 0; i < 8; ++i) {
      sockets.push_back(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
      CPPUNIT_ASSERT_EQUAL(0, Connect(sockets.back(), server));
      const std::uint32_t head[] = {0, kMessageBytes / 8, 0};
      CPPUNIT_ASSERT(send(sockets.back(), head, sizeof(head), MSG_NOSIGNAL) == sizeof(head));
    }
    CPPUNIT_ASSERT(WaitUntil([&] { return server.Counters().m_closed_for_memory == 5; }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{kMemory}, server.Counters().m_receiving_bytes);
    Rpc client({});
    CPPUNIT_ASSERT(IsAnswered(client, server));
    for (const int opened : sockets) close(opened);
    CPPUNIT_ASSERT(WaitUntil([&] { return server.Counters().m_receiving_bytes == 0; }));
  }

 private:
  static constexpr int kSearchedDescriptors = 1024;

  static bool IsAnswered(Rpc& client, const Rpc& server) {
    return CallAndWait(client, AddressOf(server), core::CancelRequest{}, 10s).GetError() == nullptr;
  }

  /// Waits until `condition` holds, for at most 10 s. Returns whether it does.
  template <typename Condition>
  static bool WaitUntil(const Condition& condition) {
    const auto until = std::chrono::steady_clock::now() + 10s;
    while (!condition()) {
      if (std::chrono::steady_clock::now() >= until) return false;
      std::this_thread::sleep_for(1ms);
    }
    return true;
  }

  static int OptionOf(const int descriptor, const int level, const int option) {
    int value = 0;
    socklen_t size = sizeof(value);
    return getsockopt(descriptor, level, option, &value, &size) == 0 ? value : -1;
  }

  static Rpc Answering(RpcOptions options) {
    options.m_listen_ip = "127.0.0.1";
    options.m_handler = [](const core::Message&, const ReplyFunction& reply) {
      reply(core::CancelReply{});
    };
    return Rpc(std::move(options));
  }

  static int Connect(const int descriptor, const Rpc& server) {
    const sockaddr_in address{.sin_family = AF_INET,
                              .sin_port = htons(server.Port()),
                              .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)}};
    return connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RpcTest);

}  // namespace
}  // namespace ebonypin::wire
