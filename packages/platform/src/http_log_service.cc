#include <cpprest/http_client.h>

#include <future>
#include <mutex>
#include <utility>

#include "ebonypin/platform/http_body.h"
#include "ebonypin/platform/log_service.h"

namespace ebonypin::platform {
namespace {

using web::http::http_request;
using web::http::http_response;
using web::json::value;

constexpr auto kUnavailableRetryAfter = std::chrono::seconds{1};

core::Error Unavailable(const std::string& what) {
  return {.m_kind = core::ErrorKind::kLogUnavailable,
          .m_message = "the log service " + what + "; retry later",
          .m_retry_after = kUnavailableRetryAfter};
}

core::Error NoAnswer(const std::string& what) {
  return {.m_kind = core::ErrorKind::kTimeout,
          .m_message = "the log service did not answer: " + what +
                       "; repeat an append with the same batch id",
          .m_retry_after = kUnavailableRetryAfter};
}

/// Status and body of an answer, or the error when there was no answer.
struct Outcome {
  web::http::status_code m_status = 0;
  value m_body;
  std::optional<core::Error> m_error;
};

/// Returns the answer once its body has arrived. Waiting for the body here would keep a thread of
/// the HTTP client, which needs one to receive it: as many answers at once as there are threads
/// would all wait for good.
pplx::task<Outcome> ReadAnswer(const http_response& response) {
  const auto status = response.status_code();
  if (status != web::http::status_codes::OK) {
    return pplx::task_from_result(Outcome{.m_status = status});
  }
  return response.extract_json(true).then(
      [status](const value& body) { return Outcome{.m_status = status, .m_body = body}; });
}

/// Returns the outcome of a call that has ended.
Outcome TakeOutcome(const pplx::task<Outcome>& ended) {
  try {
    return ended.get();
  } catch (const web::http::http_exception& exception) {
    // The connection could not be made, so nothing was sent.
    if (exception.error_code() == std::errc::host_unreachable) {
      return {.m_error = Unavailable("cannot be reached")};
    }
    return {.m_error = NoAnswer(exception.what())};
  } catch (const std::exception& exception) {
    return {.m_error = NoAnswer(exception.what())};
  }
}

/// Pool of connections, all of which are replaced after a call without an answer.
class Connections {
 public:
  Connections(std::string base_url, const core::Duration timeout)
      : m_base_url(std::move(base_url)), m_timeout(timeout) {}

  /// Sends `request` and waits for the answer, at most `timeout` plus `wait`.
  Outcome Send(const http_request& request, const core::Duration wait) {
    const auto client = Client();
    const auto deadline = m_timeout + wait;
    const pplx::cancellation_token_source cancel;
    auto promise = std::make_shared<std::promise<Outcome>>();
    auto future = promise->get_future();
    client->request(request, cancel.get_token())
        .then(ReadAnswer)
        .then([promise, client](const pplx::task<Outcome>& ended) {
          promise->set_value(TakeOutcome(ended));
        });
    auto outcome = Outcome{.m_error = NoAnswer("deadline passed")};
    if (future.wait_for(deadline) == std::future_status::ready) {
      outcome = future.get();
    } else {
      cancel.cancel();
    }
    if (outcome.m_error) Drop(client);
    return outcome;
  }

 private:
  using Shared = std::shared_ptr<web::http::client::http_client>;

  Shared Client() {
    const std::lock_guard lock(m_mutex);
    if (!m_client) {
      web::http::client::http_client_config config;
      // Ends abandoned transfers. Send enforces the deadline of a call.
      config.set_timeout(std::chrono::duration_cast<std::chrono::microseconds>(m_timeout * 2));
      m_client = std::make_shared<web::http::client::http_client>(m_base_url, config);
    }
    return m_client;
  }

  void Drop(const Shared& client) {
    const std::lock_guard lock(m_mutex);
    if (m_client == client) m_client = nullptr;
  }

  const std::string m_base_url;
  const core::Duration m_timeout;
  std::mutex m_mutex;
  Shared m_client;
};

std::string StreamPath(const std::string& stream) {
  return "/v1/streams/" + web::uri::encode_data_string(stream) + "/entries";
}

core::Error ErrorOfStatus(const Outcome& outcome) {
  if (outcome.m_error) return *outcome.m_error;
  return Unavailable("refused the call with status " + std::to_string(outcome.m_status));
}

class HttpLogService final : public LogService {
 public:
  HttpLogService(const std::string& base_url, const core::Duration timeout)
      : m_appends(base_url, timeout), m_reads(base_url, timeout) {}

  core::Result<core::LogOffset> Append(const std::string& stream,
                                       const std::string_view bytes) override {
    value body = value::object();
    body["data"] = value::string(utility::conversions::to_base64({bytes.begin(), bytes.end()}));
    http_request request(web::http::methods::POST);
    request.set_request_uri(StreamPath(stream));
    SetSingleUseBody(request, body.serialize());
    const auto outcome = m_appends.Send(request, {});
    if (outcome.m_error || outcome.m_status != web::http::status_codes::OK) {
      return core::Fail(ErrorOfStatus(outcome));
    }
    try {
      return outcome.m_body.at("offset").as_number().to_uint64();
    } catch (const std::exception& exception) {
      return core::Fail(NoAnswer(exception.what()));
    }
  }

  core::Result<LogChunk> Read(const std::string& stream, const LogReadOptions& options) override {
    http_request request(web::http::methods::GET);
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(options.m_wait);
    web::uri_builder uri(StreamPath(stream));
    uri.append_query("from", options.m_from)
        .append_query("max", options.m_max_entries)
        .append_query("wait_ms", wait.count());
    request.set_request_uri(uri.to_uri());
    const auto outcome = m_reads.Send(request, options.m_wait);
    if (outcome.m_error || outcome.m_status != web::http::status_codes::OK) {
      return core::Fail(ErrorOfStatus(outcome));
    }
    try {
      return Parse(outcome.m_body);
    } catch (const std::exception& exception) {
      return core::Fail({.m_kind = core::ErrorKind::kBadMessage,
                         .m_message = std::string{"cannot read the log service's answer: "} +
                                      exception.what() + "; check [log] url"});
    }
  }

 private:
  static LogChunk Parse(const value& body) {
    LogChunk chunk{.m_first = body.at("first").as_number().to_uint64(),
                   .m_next = body.at("next").as_number().to_uint64()};
    for (const auto& entry : body.at("entries").as_array()) {
      const auto bytes = utility::conversions::from_base64(entry.at("data").as_string());
      chunk.m_entries.push_back({.m_offset = entry.at("offset").as_number().to_uint64(),
                                 .m_wall = entry.at("wall_ms").as_number().to_int64(),
                                 .m_bytes = {bytes.begin(), bytes.end()}});
    }
    return chunk;
  }

  Connections m_appends;
  Connections m_reads;
};

}  // namespace

std::unique_ptr<LogService> NewHttpLogService(const std::string& base_url,
                                              const core::Duration timeout) {
  return std::make_unique<HttpLogService>(base_url, timeout);
}

}  // namespace ebonypin::platform
