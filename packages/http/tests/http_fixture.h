/// Server on loopback and clients that send raw bytes.
#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "ebonypin/http/server.h"

namespace ebonypin::http {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

/// Longest time that a test waits for a condition. Conditions are met far sooner.
constexpr auto kDeadline = 20s;

/// Waits until `condition` holds.
inline void Await(const std::function<bool()>& condition) {
  const auto until = std::chrono::steady_clock::now() + kDeadline;
  while (!condition()) {
    CPPUNIT_ASSERT_MESSAGE("the condition is not met", std::chrono::steady_clock::now() < until);
    std::this_thread::sleep_for(2ms);
  }
}

/// Returns a port of loopback that is not in use.
inline unsigned short FreePort() {
  boost::asio::io_context context;
  return tcp::acceptor(context, {boost::asio::ip::address_v4::loopback(), 0})
      .local_endpoint()
      .port();
}

/// Connection of a client. Reads end at the deadline with an empty result.
class Client {
 public:
  explicit Client(const unsigned short port) {
    m_stream.expires_after(kDeadline);
    m_stream.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), port));
  }

  /// Errors are ignored: the server may have closed the connection.
  Client& Send(const std::string& text) {
    m_stream << text << std::flush;
    m_stream.clear();
    return *this;
  }

  /// Returns the next status line and headers, without the body, or "" when the connection ends.
  std::string ReadHead() {
    std::string head;
    for (std::string line; std::getline(m_stream, line) && line != "\r";) head += line + "\n";
    return head;
  }

  std::string ReadBody(const std::size_t size) {
    std::string body(size, '\0');
    m_stream.read(body.data(), static_cast<std::streamsize>(size));
    body.resize(static_cast<std::size_t>(m_stream.gcount()));
    return body;
  }

  /// Returns the status of the next response, or 0 when the connection ends.
  int ReadStatus() {
    const std::string head = ReadHead();
    return head.size() > 12 ? std::stoi(head.substr(9, 3)) : 0;
  }

  /// Whether the server ends the connection without a reset. Reads what comes before.
  bool IsClosed() {
    while (m_stream.get() != std::char_traits<char>::eof()) {
    }
    return m_stream.error() == boost::asio::error::eof;
  }

 private:
  tcp::iostream m_stream;
};

/// Server that keeps the requests until the test responds.
class Site {
 public:
  explicit Site(const ServerLimits& limits = {}) : m_port(FreePort()) {
    m_server = std::make_unique<Server>("127.0.0.1:" + std::to_string(m_port), limits,
                                        [this](const Request& request, Respond respond) {
                                          if (request.m_path == "/now")
                                            return respond({.m_body = request.m_body}, {});
                                          const std::lock_guard lock(m_mutex);
                                          m_requests.push_back(request);
                                          m_responds.push_back(std::move(respond));
                                        });
  }
  // Ends the thread before the members that the handler uses.
  ~Site() { m_server.reset(); }

  [[nodiscard]] unsigned short Port() const { return m_port; }
  Server& Get() { return *m_server; }
  void Destroy() { m_server.reset(); }

  std::size_t Requests() {
    const std::lock_guard lock(m_mutex);
    return m_requests.size();
  }

  Request Take(const std::size_t index) {
    Await([&] { return Requests() > index; });
    const std::lock_guard lock(m_mutex);
    return m_requests[index];
  }

  void RespondTo(const std::size_t index, Response response = {}) {
    Await([&] { return Requests() > index; });
    Respond respond;
    {
      const std::lock_guard lock(m_mutex);
      respond = m_responds[index];
    }
    respond(std::move(response), [this](const std::string& error) {
      const std::lock_guard lock(m_mutex);
      m_sent.push_back(error);
    });
  }

  /// Results of the responses that were given, in order; "" for those that were written.
  std::vector<std::string> Sent() {
    const std::lock_guard lock(m_mutex);
    return m_sent;
  }

  void AwaitClosed(const std::string& reason, const std::uint64_t count) {
    Await([&] {
      const auto closed = m_server->Counters().m_closed;
      const auto found = closed.find(reason);
      return found != closed.end() && found->second >= count;
    });
  }

  void AwaitOpen(const std::uint64_t count) {
    Await([&] { return m_server->Counters().m_open == count; });
  }

 private:
  const unsigned short m_port;
  std::mutex m_mutex;
  std::vector<Request> m_requests;
  std::vector<Respond> m_responds;
  std::vector<std::string> m_sent;
  std::unique_ptr<Server> m_server;
};

}  // namespace ebonypin::http
