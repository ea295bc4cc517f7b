#include "ebonypin/platform/http_caller.h"

#include <pplx/threadpool.h>

#include <boost/asio/steady_timer.hpp>
#include <exception>
#include <utility>

namespace ebonypin::platform {
namespace {

/// Ends abandoned transfers that could not be cancelled. The deadlines of calls are shorter.
constexpr auto kTransferLimit = std::chrono::minutes{10};

core::Error ErrorOf(const std::exception_ptr& failure, const std::string& url) {
  try {
    std::rethrow_exception(failure);
  } catch (const web::http::http_exception& exception) {
    if (exception.error_code() == std::errc::host_unreachable) {
      return {.m_kind = core::ErrorKind::kNoCapacity,
              .m_message = "cannot connect to " + url + "; the call was not sent, retry later"};
    }
    return {.m_kind = core::ErrorKind::kDisconnected,
            .m_message = "lost the connection to " + url + ": " + exception.what() +
                         "; retry if the work is idempotent"};
  } catch (const std::exception& exception) {
    return {.m_kind = core::ErrorKind::kDisconnected,
            .m_message = "lost the connection to " + url + ": " + exception.what() +
                         "; retry if the work is idempotent"};
  }
}

}  // namespace

struct HttpCaller::Pending {
  explicit Pending(HttpDone done)
      : m_done(std::move(done)), m_timer(crossplat::threadpool::shared_instance().service()) {}

  /// Reports the outcome, unless one has been reported already.
  void Finish(core::Captured<HttpResponse> outcome) {
    if (!m_finished.exchange(true)) m_done(std::move(outcome));
  }

  HttpDone m_done;
  std::atomic<bool> m_finished{false};
  pplx::cancellation_token_source m_cancel;
  boost::asio::steady_timer m_timer;
};

HttpCaller::HttpCaller(std::string base_url, const std::uint32_t max_connections)
    : m_base_url(std::move(base_url)), m_max_connections(max_connections) {
  (void)Current();
}

void HttpCaller::Call(const web::http::http_request& request, const core::Duration deadline,
                      HttpDone done) {
  if (m_in_flight.fetch_add(1) >= m_max_connections) {
    --m_in_flight;
    done({.m_error = core::Error{.m_kind = core::ErrorKind::kNoCapacity,
                                 .m_message = "all connections to " + m_base_url +
                                              " are in use; the call was not sent, retry later",
                                 .m_retry_after = std::chrono::milliseconds{100}}});
    return;
  }
  auto self = shared_from_this();
  auto client = Current();
  auto pending = std::make_shared<Pending>(std::move(done));
  pending->m_timer.expires_after(deadline);
  pending->m_timer.async_wait([self, client, pending](const boost::system::error_code& error) {
    if (error) return;
    self->Discard(client);
    // Must precede the cancellation, which would be reported as a lost connection.
    pending->Finish(
        {.m_error = core::Error{.m_kind = core::ErrorKind::kTimeout,
                                .m_message = "no answer from " + self->m_base_url +
                                             " in time; retry if the work is idempotent"}});
    pending->m_cancel.cancel();
  });
  client->request(request, pending->m_cancel.get_token())
      .then([](web::http::http_response response) {
        return response.extract_vector().then([response](const std::vector<unsigned char>& body) {
          return HttpResponse{.m_status = response.status_code(),
                              .m_headers = response.headers(),
                              .m_body = std::string(body.begin(), body.end())};
        });
      })
      .then([self, client, pending](const pplx::task<HttpResponse>& answer) {
        --self->m_in_flight;
        boost::system::error_code ignored;
        pending->m_timer.cancel(ignored);
        try {
          pending->Finish({.m_value = answer.get()});
        } catch (...) {
          pending->Finish({.m_error = ErrorOf(std::current_exception(), self->m_base_url)});
        }
      });
}

HttpCaller::Client HttpCaller::Current() {
  const std::lock_guard lock(m_mutex);
  if (!m_client) {
    web::http::client::http_client_config config;
    config.set_timeout(std::chrono::seconds{kTransferLimit});
    m_client = std::make_shared<web::http::client::http_client>(m_base_url, config);
  }
  return m_client;
}

void HttpCaller::Discard(const Client& client) {
  const std::lock_guard lock(m_mutex);
  if (m_client == client) m_client = nullptr;
}

}  // namespace ebonypin::platform
