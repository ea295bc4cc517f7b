#include <sstream>

#include "http_fixture.h"

namespace ebonypin::http {
namespace {

/// What clients within the limits see.
class HttpServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpServerTest);
  CPPUNIT_TEST(ConnectionServesOneRequestAfterAnother);
  CPPUNIT_TEST(BodiesArriveWhole);
  CPPUNIT_TEST(PipelinedRequestWaitsForTheResponseBefore);
  CPPUNIT_TEST(ResponseEndsTheConnectionWhenAsked);
  CPPUNIT_TEST(ClosedClientEndsItsRequest);
  CPPUNIT_TEST(EndWritesTheResponsesThatWereGiven);
  CPPUNIT_TEST(NewLimitsApplyToOpenConnections);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against state of one request that is left to the next one, and against a head or a
  /// query that is not passed as sent.
  void ConnectionServesOneRequestAfterAnother() {
    Site site;
    Client client(site.Port());
    for (std::size_t i = 0; i < 3; ++i) {
      // Some clients send an empty line after a body.
      client.Send("\r\nPUT /a%20b?x=" + std::to_string(i) +
                  " HTTP/1.1\r\nhost: h\r\nX: 1\r\nx: 2\r\nContent-Length: 2\r\n\r\nb" +
                  std::to_string(i));
      const auto request = site.Take(i);
      CPPUNIT_ASSERT_EQUAL(std::string("PUT"), request.m_method);
      CPPUNIT_ASSERT_EQUAL(std::string("/a%20b"), request.m_path);
      CPPUNIT_ASSERT_EQUAL("x=" + std::to_string(i), request.m_query);
      CPPUNIT_ASSERT_EQUAL(std::string("h"), request.m_headers.at("HOST"));
      CPPUNIT_ASSERT_EQUAL(std::string("1, 2"), request.m_headers.at("x"));
      CPPUNIT_ASSERT_EQUAL("b" + std::to_string(i), request.m_body);
      site.RespondTo(i, {.m_status = 201, .m_body = "{}", .m_headers = {{"Retry-After", "1"}}});
      CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 201 Created\r\nRetry-After: 1\r\n"
                                       "Content-Type: application/json\r\nContent-Length: 2\r\n"),
                           client.ReadHead());
      CPPUNIT_ASSERT_EQUAL(std::string("{}"), client.ReadBody(2));
    }
    Await([&] { return site.Sent() == std::vector<std::string>(3); });
    Await([&] { return site.Get().Counters().m_buffered_bytes == 0; });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, site.Get().Counters().m_accepted);
  }

  /// Guards against a body that is cut where reads or chunks end.
  void BodiesArriveWhole() {
    Site site({.m_max_body_bytes = std::size_t{1} << 20U});
    Client client(site.Port());
    std::string body;
    for (int i = 0; body.size() < 300'000; ++i) body += std::to_string(i);
    client.Send("POST /now HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(100, client.ReadStatus());
    client.Send(body);
    CPPUNIT_ASSERT_EQUAL(200, client.ReadStatus());
    CPPUNIT_ASSERT(client.ReadBody(body.size()) == body);
    client.Send("POST /now HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (std::size_t at = 0; at < body.size(); at += 5000) {
      const auto chunk = body.substr(at, 5000);
      std::ostringstream size;
      size << std::hex << chunk.size();
      client.Send(size.str() + "\r\n" + chunk + "\r\n");
    }
    client.Send("0\r\nHost: trailer\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(200, client.ReadStatus());
    CPPUNIT_ASSERT(client.ReadBody(body.size()) == body);
  }

  /// Guards against a second request of a connection that is handled before the first one ends.
  void PipelinedRequestWaitsForTheResponseBefore() {
    Site site;
    Client client(site.Port());
    client.Send("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\nGET /c HTTP/1.1\r\n\r\n");
    for (std::size_t i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::string("/") + "abc"[i], site.Take(i).m_path);
      CPPUNIT_ASSERT_EQUAL(i + 1, site.Requests());
      site.RespondTo(i, {.m_status = 200 + static_cast<unsigned>(i)});
      CPPUNIT_ASSERT_EQUAL(200 + static_cast<int>(i), client.ReadStatus());
    }
  }

  /// Guards against a connection that stays open while an entry drains, and against a body in the
  /// response to HEAD, which the client takes for the next response.
  void ResponseEndsTheConnectionWhenAsked() {
    Site site;
    Client drained(site.Port());
    drained.Send("GET /a HTTP/1.1\r\n\r\n");
    site.RespondTo(0, {.m_closes = true});
    CPPUNIT_ASSERT(drained.ReadHead().find("Connection: close\r\n") != std::string::npos);
    CPPUNIT_ASSERT(drained.IsClosed());
    Client head(site.Port());
    head.Send("HEAD /a HTTP/1.1\r\nConnection: close\r\n\r\n");
    site.RespondTo(1, {.m_body = "body"});
    CPPUNIT_ASSERT(head.ReadHead().find("Content-Length: 4\r\n") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::string(), head.ReadBody(4));
  }

  /// Guards against descriptors of clients that went away, and against a response that is reported
  /// neither as written nor as lost.
  void ClosedClientEndsItsRequest() {
    Site site;
    {
      Client client(site.Port());
      client.Send("GET /a HTTP/1.1\r\n\r\nGET /pipelined HTTP/1.1\r\n\r\n");
      site.Take(0);
    }
    site.AwaitOpen(0);
    site.RespondTo(0);
    Await([&] { return site.Sent().size() == 1; });
    CPPUNIT_ASSERT(!site.Sent()[0].empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, site.Get().Counters().m_buffered_bytes);
  }

  /// Guards against a planned stop that loses responses, and against use of a server that is gone.
  void EndWritesTheResponsesThatWereGiven() {
    Site site;
    const std::string body(200'000, 'x');
    Client given(site.Port());
    Client open(site.Port());
    Client idle(site.Port());
    given.Send("GET /a HTTP/1.1\r\n\r\n");
    site.Take(0);
    open.Send("GET /b HTTP/1.1\r\n\r\n");
    site.Take(1);
    site.RespondTo(0, {.m_body = body});
    std::string read;
    std::thread reader([&] {
      given.ReadHead();
      read = given.ReadBody(body.size());
    });
    site.Destroy();
    reader.join();
    CPPUNIT_ASSERT(read == body);
    CPPUNIT_ASSERT(open.IsClosed() && idle.IsClosed());
    CPPUNIT_ASSERT(site.Sent() == std::vector<std::string>{""});
    site.RespondTo(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, site.Sent().size());
    CPPUNIT_ASSERT(!site.Sent()[1].empty());
    site.RespondTo(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, site.Sent().size());
  }

  /// Guards against connections that keep the limits of the configuration before.
  void NewLimitsApplyToOpenConnections() {
    Site site;
    Client client(site.Port());
    const std::string post = "POST /now HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody";
    CPPUNIT_ASSERT_EQUAL(200, client.Send(post).ReadStatus());
    client.ReadBody(4);
    site.Get().SetLimits({.m_max_body_bytes = 3});
    CPPUNIT_ASSERT_EQUAL(413, client.Send(post).ReadStatus());
    CPPUNIT_ASSERT(client.IsClosed());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);

}  // namespace
}  // namespace ebonypin::http
