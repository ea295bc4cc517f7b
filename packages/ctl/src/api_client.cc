#include "api_client.h"

#include <cpprest/http_client.h>
#include <fmt/format.h>

#include <algorithm>
#include <system_error>
#include <utility>

namespace ebonypin::ctl {
namespace {

using web::json::value;

core::Error NoResponseError(const std::string& entry, const std::string& reason) {
  return {.m_kind = core::ErrorKind::kDisconnected,
          .m_message = fmt::format("{} was asked but did not answer: {}", entry, reason)};
}

/// Sends `request` to one entry.
ApiOutcome CallEntry(const std::string& entry, const ApiRequest& request) {
  ApiOutcome outcome{.m_entry = entry};
  try {
    web::http::client::http_client_config config;
    config.set_timeout(request.m_timeout);
    web::http::client::http_client client(entry, config);
    web::http::http_request message(request.m_method);
    message.set_request_uri(request.m_path);
    if (request.m_body) message.set_body(*request.m_body);
    const auto response = client.request(message).get();
    outcome.m_maybe_sent = true;
    outcome.m_body = response.extract_json(true).get();
    if (!outcome.m_body.is_object()) throw web::json::json_exception("no JSON object");
    outcome.m_status = response.status_code();
  } catch (const web::http::http_exception& exception) {
    // cpprestsdk reports a refused connection, and nothing else, as host_unreachable.
    if (exception.error_code() == std::errc::host_unreachable && !outcome.m_maybe_sent) {
      outcome.m_error = {.m_kind = core::ErrorKind::kDisconnected,
                         .m_message = fmt::format("cannot connect to {}", entry)};
    } else {
      outcome.m_maybe_sent = true;
      outcome.m_error = NoResponseError(entry, exception.what());
    }
  } catch (const std::exception& exception) {
    outcome.m_error = {
        .m_kind = core::ErrorKind::kBadMessage,
        .m_message = fmt::format("{} does not answer with a JSON object ({}); check that --entry "
                                 "names the http address of an entry",
                                 entry, exception.what())};
  }
  return outcome;
}

/// Returns whether the refusal applies to this entry only, so that another entry may accept the
/// request.
bool IsEntryLocalRefusal(const ApiOutcome& outcome) {
  return outcome.m_status == web::http::status_codes::ServiceUnavailable &&
         TextOf(outcome.m_body, "answer") == "not_run";
}

}  // namespace

ApiClient::ApiClient(std::vector<std::string> entries) : m_entries(std::move(entries)) {}

ApiOutcome ApiClient::Call(const ApiRequest& request) {
  std::optional<ApiOutcome> refused;
  ApiOutcome last;
  bool maybe_sent = false;
  std::vector<std::string> reasons;
  for (std::size_t i = 0; i < m_entries.size(); ++i) {
    const auto index = (m_preferred + i) % m_entries.size();
    last = CallEntry(m_entries[index], request);
    if (last.m_status != 0) {
      if (!IsEntryLocalRefusal(last)) {
        m_preferred = index;
        return last;
      }
      refused = last;
      continue;
    }
    reasons.push_back(last.m_error.m_message);
    maybe_sent = maybe_sent || last.m_maybe_sent;
    if (last.m_maybe_sent && !request.m_retry_safe) break;
  }
  // A refusal by one entry is definite only when no other entry may have acted on the request.
  if (refused && (!maybe_sent || request.m_method == "GET")) return *refused;
  last.m_status = 0;
  last.m_maybe_sent = maybe_sent && request.m_method != "GET";
  last.m_error.m_message = fmt::format("{}", fmt::join(reasons, "; "));
  return last;
}

std::string Encode(const std::string& text) { return web::uri::encode_data_string(text); }

std::string TextOf(const value& object, const std::string& name, const std::string& fallback) {
  if (!object.is_object() || !object.has_string_field(name)) return fallback;
  return object.at(name).as_string();
}

std::uint64_t NumberOf(const value& object, const std::string& name) {
  if (!object.is_object() || !object.has_number_field(name)) return 0;
  const auto& number = object.at(name).as_number();
  return number.is_uint64() ? number.to_uint64()
                            : static_cast<std::uint64_t>(std::max(0.0, number.to_double()));
}

bool IsTrue(const value& object, const std::string& name) {
  return object.is_object() && object.has_boolean_field(name) && object.at(name).as_bool();
}

std::vector<value> ListOf(const value& object, const std::string& name) {
  if (!object.is_object() || !object.has_array_field(name)) return {};
  const auto& array = object.at(name).as_array();
  return {array.begin(), array.end()};
}

value ObjectOf(const value& object, const std::string& name) {
  if (!object.is_object() || !object.has_object_field(name)) return value::object();
  return object.at(name);
}

}  // namespace ebonypin::ctl
