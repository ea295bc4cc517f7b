#include "recorded_calls.h"

#include <chrono>
#include <utility>

#include "ebonypin/standin/users_messages.h"

namespace ebonypin::daemon {
namespace {

using namespace std::chrono_literals;

web::http::client::http_client Connect(const std::string& address) {
  web::http::client::http_client_config config;
  config.set_timeout(20s);
  return {"http://" + address, config};
}

const char* MethodOf(const CallKind kind) noexcept {
  switch (kind) {
    case CallKind::kSubmit:
      return "POST";
    case CallKind::kRead:
      return "GET";
    case CallKind::kCancel:
      return "DELETE";
  }
  return "";
}

std::string TextField(const web::json::value& body, const std::string& field) {
  return body.is_object() && body.has_string_field(field) ? body.at(field).as_string() : "";
}

}  // namespace

std::int64_t SteadyMicroseconds() noexcept {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

RecordedCalls::RecordedCalls(const std::vector<std::string>& addresses) : m_addresses(addresses) {
  for (const auto& address : addresses) m_clients.push_back(Connect(address));
}

void RecordedCalls::Send(const CallKind kind, const std::size_t entry, const std::string& job,
                         const std::string& body, const bool on_new_connection) {
  web::http::http_request request(MethodOf(kind));
  request.set_request_uri("/renders/" + job);
  if (!body.empty()) request.set_body(body, "application/json");
  {
    const std::lock_guard lock(m_mutex);
    ++m_open;
  }
  ObservedCall call{.m_kind = kind, .m_job = job, .m_entry = entry, .m_sent = SteadyMicroseconds()};
  auto client = on_new_connection ? Connect(m_addresses[entry]) : m_clients[entry];
  client.request(request)
      .then([call](const web::http::http_response& response) {
        auto answered = call;
        answered.m_status = response.status_code();
        return response.extract_string(true).then([answered](const std::string& text) mutable {
          std::error_code error;
          const auto json = web::json::value::parse(text, error);
          if (!error) {
            answered.m_state = TextField(json, standin::kUsersJobState);
            answered.m_error = TextField(json, "Error");
          }
          return answered;
        });
      })
      .then([this, call, client](const pplx::task<ObservedCall>& task) {
        auto answered = call;
        try {
          answered = task.get();
        } catch (const std::exception& exception) {
          answered.m_error = exception.what();  // The status stays 0: there was no answer.
        }
        Finish(std::move(answered));
      });
}

void RecordedCalls::Finish(ObservedCall call) {
  call.m_answered = SteadyMicroseconds();
  const std::lock_guard lock(m_mutex);
  m_calls.push_back(std::move(call));
  --m_open;
  m_answered.notify_all();
}

void RecordedCalls::WaitForAnswers() {
  std::unique_lock lock(m_mutex);
  m_answered.wait(lock, [this] { return m_open == 0; });
}

std::vector<ObservedCall> RecordedCalls::Calls() const {
  const std::lock_guard lock(m_mutex);
  return m_calls;
}

}  // namespace ebonypin::daemon
