/// Client of the entries' HTTP API, with fail-over where a retry is safe.
#pragma once

#include <cpprest/json.h>

#include <optional>
#include <string>
#include <vector>

#include "ebonypin/core/error.h"
#include "ebonypin/core/time.h"

namespace ebonypin::ctl {

struct ApiRequest {
  std::string m_method = "GET";
  std::string m_path;                      ///< Path and query, already percent-encoded.
  std::optional<web::json::value> m_body;  ///< Absent for GET and DELETE.
  bool m_retry_safe = false;               ///< A repeated request has no further effect.
  core::Duration m_timeout{};
};

/// Outcome of a call: the response of an entry, or the error if no entry responded.
struct ApiOutcome {
  int m_status = 0;  ///< HTTP status; 0 when no entry responded.
  web::json::value m_body;
  std::string m_entry;        ///< Entry that responded or was called last.
  core::Error m_error;        ///< Set when m_status is 0.
  bool m_maybe_sent = false;  ///< An entry may have acted although no response arrived.

  [[nodiscard]] bool Ok() const noexcept { return m_status >= 200 && m_status < 300; }
};

/// Client of several entries. The entry that responded last is called first.
class ApiClient {
 public:
  explicit ApiClient(std::vector<std::string> entries);

  /// Sends `request` to the entries in turn until one responds, at most once to each entry. Fails
  /// over to the next entry when the request was not sent, when an entry responds with 503
  /// `not_run`, and, for requests that are safe to retry, when the response was lost.
  [[nodiscard]] ApiOutcome Call(const ApiRequest& request);

 private:
  std::vector<std::string> m_entries;
  std::size_t m_preferred = 0;
};

/// Returns `text` percent-encoded as one path segment or one query value.
[[nodiscard]] std::string Encode(const std::string& text);

/// Returns member `name` of `object` as text, or `fallback` when it is absent or not a string.
[[nodiscard]] std::string TextOf(const web::json::value& object, const std::string& name,
                                 const std::string& fallback = "");

/// Returns member `name` of `object` as a number, or 0 when it is absent or not one.
[[nodiscard]] std::uint64_t NumberOf(const web::json::value& object, const std::string& name);

/// Returns whether member `name` of `object` is true.
[[nodiscard]] bool IsTrue(const web::json::value& object, const std::string& name);

/// Returns the elements of array member `name` of `object`, or an empty list when it is absent or
/// not an array.
[[nodiscard]] std::vector<web::json::value> ListOf(const web::json::value& object,
                                                   const std::string& name);

/// Returns object member `name` of `object`, or an empty object when it is absent or not an object.
[[nodiscard]] web::json::value ObjectOf(const web::json::value& object, const std::string& name);

}  // namespace ebonypin::ctl
