#include "ebonypin/http/server.h"

#include <strings.h>

#include <utility>

#include "listener.h"

namespace ebonypin::http {

bool HeaderNameLess::operator()(const std::string& a, const std::string& b) const noexcept {
  return strcasecmp(a.c_str(), b.c_str()) < 0;
}

class Server::Impl : public Listener {
 public:
  using Listener::Listener;
};

Server::Server(const std::string& address, const ServerLimits& limits, Handler handler,
               Refusal refusal)
    : m_impl(std::make_shared<Impl>(address, limits, std::move(handler), std::move(refusal))) {
  m_impl->Start();
}

Server::~Server() { m_impl->Stop(); }

void Server::SetLimits(const ServerLimits& limits) { m_impl->SetLimits(limits); }

ServerCounters Server::Counters() const { return m_impl->Counters(); }

}  // namespace ebonypin::http
