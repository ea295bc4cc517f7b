#include "cut_network.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <functional>
#include <future>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <thread>
#include <utility>
#include <vector>

#include "socket_owner.h"

namespace ebonypin::daemon {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kBufferSize = 16'384;
constexpr auto kListenIp = "127.0.0.1";

/// Returns an IPv4 endpoint as the calls of the system take it.
sockaddr_in ToAddress(const tcp::endpoint& endpoint) {
  sockaddr_in address{};
  std::memcpy(&address, endpoint.data(), std::min(sizeof(address), endpoint.size()));
  return address;
}

tcp::endpoint ParseEndpoint(const std::string& address) {
  const auto colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

}  // namespace

class CutNetwork::Impl {
 public:
  Impl() : m_thread([this] { m_io.run(); }) {}

  ~Impl() {
    m_io.stop();
    m_thread.join();
  }

  std::string Open(const std::string& name, const std::string& address) {
    return Run([&] {
      auto callee = std::make_shared<Callee>(
          Callee{.m_name = name,
                 .m_target = ParseEndpoint(address),
                 .m_acceptor = {m_io, tcp::endpoint{asio::ip::make_address(kListenIp), 0}}});
      Accept(callee);
      return std::string{kListenIp} + ":" +
             std::to_string(callee->m_acceptor.local_endpoint().port());
    });
  }

  void SetProcess(const std::string& name, const pid_t process) {
    Run([&] { return m_processes[name] = process; });
  }

  void Cut(const std::string& from, const std::string& to) {
    Run([&] { return m_cuts.emplace(from, to).second; });
  }

  void Heal() {
    Run([&] {
      m_cuts.clear();
      m_unanswered.clear();
      for (const auto& resume : std::exchange(m_held, {})) resume();
      return true;
    });
  }

 private:
  struct Callee {
    std::string m_name;
    tcp::endpoint m_target;
    tcp::acceptor m_acceptor;
  };

  /// Connection from a caller to a callee; index 0 is the caller's side.
  struct Link {
    std::array<std::string, 2> m_names;
    std::array<tcp::socket, 2> m_sockets;
    std::array<std::array<char, kBufferSize>, 2> m_buffers;
  };

  /// Runs `function` on the thread of the network and returns its result.
  template <typename Function>
  auto Run(Function function) -> decltype(function()) {
    std::packaged_task<decltype(function())()> task(std::move(function));
    auto result = task.get_future();
    asio::post(m_io, [&task] { task(); });
    return result.get();
  }

  void Accept(const std::shared_ptr<Callee>& callee) {
    callee->m_acceptor.async_accept([this, callee](const error_code& error, tcp::socket socket) {
      if (error) return;
      Connect(*callee, std::move(socket));
      Accept(callee);
    });
  }

  [[nodiscard]] std::string CallerOf(const tcp::socket& socket) const {
    error_code error;
    const auto caller = socket.remote_endpoint(error);
    const auto own = socket.local_endpoint(error);
    if (error) return {};
    const auto inode = InodeOf(ToAddress(caller), ToAddress(own));
    if (!inode) return {};
    const auto found = std::find_if(m_processes.begin(), m_processes.end(), [&](const auto& entry) {
      return OwnsSocket(entry.second, *inode);
    });
    return found == m_processes.end() ? std::string{} : found->first;
  }

  [[nodiscard]] bool IsCut(const std::string& from, const std::string& to) const {
    return m_cuts.contains({from, to});
  }

  void Connect(const Callee& callee, tcp::socket socket) {
    const auto caller = CallerOf(socket);
    if (caller.empty()) return;
    if (IsCut(caller, callee.m_name) || IsCut(callee.m_name, caller)) {
      m_unanswered.push_back(std::move(socket));
      return;
    }
    auto link = std::make_shared<Link>(Link{.m_names = {caller, callee.m_name},
                                            .m_sockets = {std::move(socket), tcp::socket(m_io)},
                                            .m_buffers = {}});
    link->m_sockets[1].async_connect(callee.m_target, [this, link](const error_code& error) {
      if (error) return;
      for (auto& end : link->m_sockets) end.set_option(tcp::no_delay(true));
      Forward(link, 0);
      Forward(link, 1);
    });
  }

  /// Forwards what end `from` of the link sends.
  void Forward(const std::shared_ptr<Link>& link, const std::size_t from) {
    link->m_sockets[from].async_read_some(
        asio::buffer(link->m_buffers[from]),
        [this, link, from](const error_code& error, const std::size_t size) {
          Deliver(link, from, error, size);
        });
  }

  /// Passes on the bytes, or the end of the connection, once the direction is not cut.
  void Deliver(const std::shared_ptr<Link>& link, const std::size_t from, const error_code& error,
               const std::size_t size) {
    if (IsCut(link->m_names[from], link->m_names[1 - from])) {
      m_held.push_back([this, link, from, error, size] { Deliver(link, from, error, size); });
      return;
    }
    error_code ignored;
    if (error) {
      link->m_sockets[1 - from].shutdown(tcp::socket::shutdown_send, ignored);
      return;
    }
    asio::async_write(link->m_sockets[1 - from], asio::buffer(link->m_buffers[from], size),
                      [this, link, from](const error_code& failed, std::size_t /*written*/) {
                        error_code ignored_too;
                        if (!failed) return Forward(link, from);
                        link->m_sockets[from].close(ignored_too);
                      });
  }

  asio::io_context m_io;
  asio::executor_work_guard<asio::io_context::executor_type> m_work = asio::make_work_guard(m_io);
  std::map<std::string, pid_t> m_processes;
  std::set<std::pair<std::string, std::string>> m_cuts;
  std::list<tcp::socket> m_unanswered;
  std::vector<std::function<void()>> m_held;  ///< Deliveries that wait for the end of their cut.
  std::thread m_thread;
};

CutNetwork::CutNetwork() : m_impl(std::make_unique<Impl>()) {}
CutNetwork::~CutNetwork() = default;

std::string CutNetwork::Open(const std::string& name, const std::string& address) {
  return m_impl->Open(name, address);
}

void CutNetwork::SetProcess(const std::string& name, const pid_t process) {
  m_impl->SetProcess(name, process);
}

void CutNetwork::Cut(const std::string& from, const std::string& to) { m_impl->Cut(from, to); }

void CutNetwork::Heal() { m_impl->Heal(); }

}  // namespace ebonypin::daemon
