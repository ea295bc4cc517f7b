#include "entry/http_server.h"

#include <cpprest/http_client.h>
#include <cpprest/producerconsumerstream.h>
#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <thread>

namespace ebonypin::daemon {
namespace {

constexpr std::chrono::seconds kLongestWait{10};

std::string FreeAddress() {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{.sin_family = AF_INET, .sin_addr = {.s_addr = htonl(INADDR_LOOPBACK)}};
  socklen_t size = sizeof(address);
  (void)bind(descriptor, reinterpret_cast<const sockaddr*>(&address), size);
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  close(descriptor);
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

class HttpServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpServerTest);
  CPPUNIT_TEST(CallsAfterTheEndAreRefused);
  CPPUNIT_TEST(ACallWhoseBodyEndsAfterTheEndIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_handled = 0;
    m_server = std::make_unique<HttpServer>(m_address);
    for (const auto& method : {web::http::methods::GET, web::http::methods::POST}) {
      m_server->Add(method, "/v1/things", [this](const ApiCall& /*call*/, const Respond& respond) {
        ++m_handled;
        respond({.m_body = web::json::value::object()});
      });
    }
    m_server->Open();
  }

  void tearDown() override { m_server = nullptr; }

  /// Guards against a call that reaches services of an entry that are already destroyed.
  void CallsAfterTheEndAreRefused() {
    web::http::client::http_client client("http://" + m_address);
    CPPUNIT_ASSERT_EQUAL(200, StatusOf(client, web::http::methods::GET));
    m_server->Stop(UnknownOutcome({}), {});
    CPPUNIT_ASSERT_EQUAL(503, StatusOf(client, web::http::methods::GET));
    CPPUNIT_ASSERT_EQUAL(503, StatusOf(client, web::http::methods::POST));
    CPPUNIT_ASSERT_EQUAL(1, m_handled.load());
  }

  /// Guards against a handler that is called for a body that ends after the stop.
  void ACallWhoseBodyEndsAfterTheEndIsRefused() {
    concurrency::streams::producer_consumer_buffer<std::uint8_t> body;
    web::http::http_request request(web::http::methods::POST);
    request.set_request_uri("/v1/things");
    request.set_body(body.create_istream(), 2, "application/json");
    web::http::client::http_client client("http://" + m_address);
    auto answer = client.request(request);
    body.putc('{').wait();
    const auto deadline = std::chrono::steady_clock::now() + kLongestWait;
    const auto buffered = [&] { return m_server->ConnectionCounters().m_buffered_bytes; };
    while (buffered() == 0 && std::chrono::steady_clock::now() < deadline) {
      std::this_thread::yield();
    }
    CPPUNIT_ASSERT(buffered() > 0);
    m_server->Stop(UnknownOutcome({}), {});
    body.putc('}').wait();
    body.close(std::ios_base::out).wait();
    CPPUNIT_ASSERT_EQUAL(503, static_cast<int>(answer.get().status_code()));
    CPPUNIT_ASSERT_EQUAL(0, m_handled.load());
  }

 private:
  static int StatusOf(web::http::client::http_client& client, const web::http::method& method) {
    web::http::http_request request(method);
    request.set_request_uri("/v1/things");
    if (method == web::http::methods::POST) request.set_body("{}", "application/json");
    return client.request(request).get().status_code();
  }

  const std::string m_address = FreeAddress();
  std::atomic<int> m_handled{0};
  std::unique_ptr<HttpServer> m_server;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);

}  // namespace
}  // namespace ebonypin::daemon
