/// Calls over connections that the server closes.
#include "ebonypin/platform/http_caller.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <boost/asio/completion_condition.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <list>
#include <mutex>
#include <thread>

#include "ebonypin/platform/http_body.h"

namespace ebonypin::platform {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace std::chrono_literals;

/// Server that carries out each request that it reads. It answers the first request of the first
/// connection with 200, resets that connection instead of answering the second request, and answers
/// all requests on later connections with 503.
class ResettingServer {
 public:
  ResettingServer()
      : m_acceptor(m_io, tcp::endpoint{asio::ip::make_address("127.0.0.1"), 0}),
        m_thread([this] { Accept(); }) {}

  ~ResettingServer() {
    m_stopping = true;
    // Ends the wait for the next connection.
    boost::system::error_code ignored;
    tcp::socket(m_io).connect(m_acceptor.local_endpoint(), ignored);
    m_thread.join();
  }

  ResettingServer(const ResettingServer&) = delete;
  ResettingServer& operator=(const ResettingServer&) = delete;

  [[nodiscard]] std::string Url() const {
    return "http://127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }

  /// Returns how many requests have been read.
  [[nodiscard]] int Transmissions() const { return m_transmissions; }
  [[nodiscard]] std::string LastBody() {
    const std::lock_guard lock(m_mutex);
    return m_last_body;
  }

 private:
  void Accept() {
    std::list<std::thread> connections;
    for (bool first = true; !m_stopping; first = false) {
      tcp::socket socket(m_io);
      m_acceptor.accept(socket);
      connections.emplace_back(
          [this, first, socket = std::move(socket)]() mutable { Serve(std::move(socket), first); });
    }
    for (auto& connection : connections) connection.join();
  }

  void Serve(tcp::socket socket, const bool first) {
    boost::system::error_code error;
    asio::streambuf buffer;
    for (int served = 0; ReadRequest(socket, buffer); ++served) {
      if (first && served == 1) {
        // Makes the kernel reset the connection when the socket is closed.
        socket.set_option(asio::socket_base::linger(true, 0), error);
        return;
      }
      const std::string status = first ? "200 OK" : "503 Service Unavailable";
      asio::write(socket, asio::buffer("HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\n{}"),
                  error);
    }
  }

  /// Reads a request. Returns false when the connection has ended.
  bool ReadRequest(tcp::socket& socket, asio::streambuf& buffer) {
    boost::system::error_code error;
    const auto head_size = asio::read_until(socket, buffer, "\r\n\r\n", error);
    if (error) return false;
    std::string head(head_size, '\0');
    std::istream(&buffer).read(head.data(), static_cast<std::streamsize>(head_size));
    constexpr std::string_view kLength = "Content-Length:";
    const auto found = head.find(kLength);
    const std::size_t size =
        found == std::string::npos ? 0 : std::stoul(head.substr(found + kLength.size()));
    if (buffer.size() < size) {
      asio::read(socket, buffer, asio::transfer_exactly(size - buffer.size()), error);
    }
    if (error) return false;
    const std::lock_guard lock(m_mutex);
    m_last_body.resize(size);
    std::istream(&buffer).read(m_last_body.data(), static_cast<std::streamsize>(size));
    ++m_transmissions;
    return true;
  }

  asio::io_context m_io;
  tcp::acceptor m_acceptor;
  std::atomic<bool> m_stopping{false};
  std::atomic<int> m_transmissions{0};
  std::mutex m_mutex;
  std::string m_last_body;
  std::thread m_thread;
};

core::Captured<HttpResponse> CallAndWait(HttpCaller& caller,
                                         const web::http::http_request& request) {
  auto promise = std::make_shared<std::promise<core::Captured<HttpResponse>>>();
  caller.Call(request, 5s, [promise](core::Captured<HttpResponse> answer) {
    promise->set_value(std::move(answer));
  });
  return promise->get_future().get();
}

web::http::http_request Post(const std::string& body) {
  web::http::http_request request(web::http::methods::POST);
  request.set_request_uri("/work");
  SetSingleUseBody(request, body);
  return request;
}

class HttpCallerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpCallerTest);
  CPPUNIT_TEST(ACallOnAConnectionThatIsResetIsNotRepeatedUnseen);
  CPPUNIT_TEST(AnEmptyBodyIsNotRepeatedUnseenEither);
  CPPUNIT_TEST(LargeBodiesArriveWhole);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a call that was carried out and is reported as refused: the client repeats it
  /// on another connection, and returns the answer to the repetition.
  void ACallOnAConnectionThatIsResetIsNotRepeatedUnseen() { CheckSecondCall("{\"Run\":1}"); }

  /// Guards against the same for an append without records.
  void AnEmptyBodyIsNotRepeatedUnseenEither() { CheckSecondCall({}); }

  /// Guards against bodies that are cut short where the client sends them in several parts.
  void LargeBodiesArriveWhole() {
    ResettingServer server;
    const auto caller = std::make_shared<HttpCaller>(server.Url(), 2);
    std::string body;
    for (int i = 0; body.size() < 300'000; ++i) body += std::to_string(i);
    CPPUNIT_ASSERT(CallAndWait(*caller, Post(body)).Ok());
    CPPUNIT_ASSERT_EQUAL(body.size(), server.LastBody().size());
    CPPUNIT_ASSERT(body == server.LastBody());
  }

 private:
  static void CheckSecondCall(const std::string& body) {
    ResettingServer server;
    const auto caller = std::make_shared<HttpCaller>(server.Url(), 2);
    const auto first = CallAndWait(*caller, Post(body));
    CPPUNIT_ASSERT(first.Ok() && first.m_value->m_status == web::http::status_codes::OK);
    const auto second = CallAndWait(*caller, Post(body));
    CPPUNIT_ASSERT_EQUAL(2, server.Transmissions());
    CPPUNIT_ASSERT(!second.Ok());
    CPPUNIT_ASSERT(second.m_error->m_kind == core::ErrorKind::kDisconnected);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpCallerTest);

}  // namespace
}  // namespace ebonypin::platform
