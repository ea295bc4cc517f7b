#include <sys/resource.h>

#include <filesystem>

#include "http_fixture.h"

namespace ebonypin::http {
namespace {

const std::string kGet = "GET /now HTTP/1.1\r\nHost: a\r\n\r\n";
const std::string kChunked = "POST /now HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string Repeat(const std::string& text, const int times) {
  std::string all;
  for (int i = 0; i < times; ++i) all += text;
  return all;
}

/// What clients that exceed a limit see, and that the others are served.
class HttpLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpLimitsTest);
  CPPUNIT_TEST(HeadsAndFramingOverTheLimitAreRefused);
  CPPUNIT_TEST(BodiesOverTheLimitAreRefused);
  CPPUNIT_TEST(MalformedRequestsAreRefused);
  CPPUNIT_TEST(SlowClientsAreClosed);
  CPPUNIT_TEST(ReaderThatNeverReadsIsClosed);
  CPPUNIT_TEST(NewestConnectionIsServedWhenAllAreTaken);
  CPPUNIT_TEST(MemoryOfUnfinishedBodiesIsBounded);
  CPPUNIT_TEST(CallIsServedWhenDescriptorsRanOut);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a head, empty lines, chunk headers or trailers that are read without a bound.
  void HeadsAndFramingOverTheLimitAreRefused() {
    Site site({.m_max_head_bytes = 1024});
    const std::vector<std::string> sent = {
        "GET /" + std::string(9000, 'a'),
        "GET /now HTTP/1.1\r\nA: " + std::string(9000, 'a'),
        "GET /now HTTP/1.1\r\n" + Repeat("A: b\r\n", 2000),
        "GET /now HTTP/1.1\r\n" + Repeat("A: b\r\n", 2000) + "\r\n",
        Repeat("\r\n", 5000),
        kChunked + std::string(9000, '0'),
        kChunked + "1;" + std::string(9000, 'a'),
        kChunked + "0\r\n" + Repeat("A: b\r\n", 2000),
    };
    for (const auto& text : sent) Refused(site, text, 431);
    site.AwaitClosed("head_limit", sent.size());
    // A body of small chunks within its limit is valid, however much framing they have in all.
    const std::string chunks = kChunked + Repeat("1\r\na\r\n", 2000);
    CPPUNIT_ASSERT_EQUAL(200, Client(site.Port()).Send(chunks + "0\r\n\r\n").ReadStatus());
    Site small_bodies({.m_max_head_bytes = 1024, .m_max_body_bytes = 1024});
    Refused(small_bodies, chunks, 413);
    // In parts, so that no single read exceeds the limit.
    for (const std::string part : {"\r\n\r\n", "A: b\r\n"}) {
      Client client(site.Port());
      if (part[0] == 'A') client.Send("GET /now HTTP/1.1\r\n");
      for (int i = 0; i < 300; ++i) client.Send(part);
      CPPUNIT_ASSERT_EQUAL(431, client.ReadStatus());
    }
    CPPUNIT_ASSERT_EQUAL(200, Client(site.Port()).Send(kGet).ReadStatus());
    Await([&] { return site.Get().Counters().m_buffered_bytes == 0; });
  }

  /// Guards against memory that is spent for a body before its length is checked, and against a
  /// response that is lost because the client still sends.
  void BodiesOverTheLimitAreRefused() {
    Site site({.m_max_body_bytes = 1000});
    const std::string head = "POST /now HTTP/1.1\r\nContent-Length: ";
    Refused(site, head + "1001\r\n\r\n", 413);
    Refused(site, head + "18446744073709551615\r\n\r\n", 413);
    Refused(site, head + "500000\r\n\r\n" + std::string(500'000, 'a'), 413);
    Refused(site, kChunked + "3e9\r\n", 413);
    Refused(site, kChunked + Repeat("64\r\n" + std::string(100, 'a') + "\r\n", 11), 413);
    site.AwaitClosed("body_limit", 5);
    CPPUNIT_ASSERT_EQUAL(
        200, Client(site.Port()).Send(head + "1000\r\n\r\n" + std::string(1000, 'a')).ReadStatus());
  }

  /// Guards against requests that a proxy in front of the server would read differently.
  void MalformedRequestsAreRefused() {
    Site site;
    for (const std::string text : {
             "\x16\x03\x01 nonsense\r\n\r\n",
             "GET /now HTTP/9.1\r\n\r\n",
             "GET /now HTTP/1.1\r\nno colon\r\n\r\n",
             "GET /now HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
             "POST /now HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
             "POST /now HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
             "POST /now HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
             "POST /now HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
             "POST /now HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
         }) {
      Refused(site, text, 400);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, site.Requests());
  }

  /// Guards against connections that are kept for clients that send nothing or almost nothing.
  void SlowClientsAreClosed() {
    Site site({.m_head_timeout = 60ms, .m_idle_timeout = 60ms, .m_body_timeout = 60ms});
    Client silent(site.Port());
    CPPUNIT_ASSERT_EQUAL(std::string(), silent.ReadHead());
    Client head(site.Port());
    CPPUNIT_ASSERT_EQUAL(408, head.Send("GET /no").ReadStatus());
    CPPUNIT_ASSERT(head.IsClosed());
    site.AwaitClosed("head_timeout", 2);
    Client body(site.Port());
    body.Send("POST /now HTTP/1.1\r\nContent-Length: 9\r\n\r\nx");
    CPPUNIT_ASSERT_EQUAL(408, body.ReadStatus());
    site.AwaitClosed("body_timeout", 1);
    Client idle(site.Port());
    CPPUNIT_ASSERT_EQUAL(200, idle.Send(kGet).ReadStatus());
    CPPUNIT_ASSERT_EQUAL(std::string(), idle.ReadHead());
    site.AwaitClosed("idle_timeout", 1);
    // A handler may take longer than all of these.
    Client waits(site.Port());
    waits.Send("GET /a HTTP/1.1\r\n\r\n");
    site.Take(0);
    std::this_thread::sleep_for(200ms);
    site.RespondTo(0);
    CPPUNIT_ASSERT_EQUAL(200, waits.ReadStatus());
  }

  /// Guards against responses that are kept for ever for a client that does not read them.
  void ReaderThatNeverReadsIsClosed() {
    Site site({.m_write_timeout = 60ms});
    Client client(site.Port());
    client.Send("GET /a HTTP/1.1\r\n\r\n");
    site.RespondTo(0, {.m_body = std::string(std::size_t{32} << 20U, 'x')});
    site.AwaitClosed("write_timeout", 1);
    Await([&] { return site.Sent().size() == 1; });
    CPPUNIT_ASSERT(!site.Sent()[0].empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, site.Get().Counters().m_buffered_bytes);
  }

  /// Guards against silent connections that keep ordinary callers out, and against dropping a
  /// request in progress for a new connection.
  void NewestConnectionIsServedWhenAllAreTaken() {
    Site site({.m_max_connections = 3});
    Client in_progress(site.Port());
    in_progress.Send("GET /a HTTP/1.1\r\n\r\n");
    site.Take(0);
    std::vector<std::unique_ptr<Client>> silent;
    silent.reserve(10);
    for (int i = 0; i < 10; ++i) silent.push_back(std::make_unique<Client>(site.Port()));
    CPPUNIT_ASSERT_EQUAL(200, Client(site.Port()).Send(kGet).ReadStatus());
    site.AwaitClosed("connections", 9);
    site.RespondTo(0);
    CPPUNIT_ASSERT_EQUAL(200, in_progress.ReadStatus());
  }

  /// Guards against many bodies within the limit that together exceed the memory.
  void MemoryOfUnfinishedBodiesIsBounded() {
    Site site({.m_max_body_bytes = 100'000, .m_max_buffered_bytes = 300'000});
    std::vector<std::unique_ptr<Client>> clients;
    for (int i = 0; i < 10; ++i) {
      clients.push_back(std::make_unique<Client>(site.Port()));
      clients.back()->Send("POST /now HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" +
                           std::string(90'000, 'a'));
      CPPUNIT_ASSERT(site.Get().Counters().m_buffered_bytes <= 300'000);
    }
    site.AwaitClosed("buffered", 7);
    CPPUNIT_ASSERT_EQUAL(200, clients.back()->Send(std::string(10'000, 'a')).ReadStatus());
    clients.clear();
    site.AwaitOpen(0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, site.Get().Counters().m_buffered_bytes);
  }

  /// Guards against failing accepts that end the service while silent connections are open.
  void CallIsServedWhenDescriptorsRanOut() {
    Site site;
    // Connections of clients use descriptors, too: all but those of the server are open before.
    boost::asio::io_context context;
    std::vector<tcp::socket> silent;
    silent.reserve(20);
    for (int i = 0; i < 20; ++i) silent.emplace_back(context, tcp::v4());
    tcp::socket caller(context, tcp::v4());
    const auto used = std::distance(std::filesystem::directory_iterator("/proc/self/fd"), {});
    rlimit before{};
    getrlimit(RLIMIT_NOFILE, &before);
    const rlimit lowered{.rlim_cur = static_cast<rlim_t>(used) + 5, .rlim_max = before.rlim_max};
    setrlimit(RLIMIT_NOFILE, &lowered);
    const tcp::endpoint endpoint(boost::asio::ip::address_v4::loopback(), site.Port());
    for (auto& socket : silent) socket.connect(endpoint);
    caller.connect(endpoint);
    caller.send(boost::asio::buffer(kGet));
    std::string response(12, '\0');
    Await([&] { return caller.available() >= response.size(); });
    caller.receive(boost::asio::buffer(response));
    setrlimit(RLIMIT_NOFILE, &before);
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), response);
    CPPUNIT_ASSERT(site.Get().Counters().m_closed.at("descriptors") > 0);
  }

 private:
  /// Sends `text`, and expects `status` and then the end of the connection.
  static void Refused(const Site& site, const std::string& text, const int status) {
    Client client(site.Port());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text.substr(0, 60), status, client.Send(text).ReadStatus());
    CPPUNIT_ASSERT(client.IsClosed());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpLimitsTest);

}  // namespace
}  // namespace ebonypin::http
