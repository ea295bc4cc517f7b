/// Calls to the entries' HTTP API, with fail-over where a repeat is safe.
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
  std::string m_path;                      ///< With query, already encoded.
  std::optional<web::json::value> m_body;  ///< None for GET and DELETE.
  bool m_repeat_safe = false;              ///< A second copy has no further effect.
  core::Duration m_timeout{};
};

/// Outcome of a call: the answer of an entry, or the error why there is none.
struct ApiOutcome {
  int m_status = 0;  ///< HTTP status; 0 when no entry answered.
  web::json::value m_body;
  std::string m_entry;        ///< Entry that answered or was asked last.
  core::Error m_error;        ///< Set when m_status is 0.
  bool m_maybe_sent = false;  ///< An entry may have acted although no answer came.

  [[nodiscard]] bool Ok() const noexcept { return m_status >= 200 && m_status < 300; }
};

/// Client of several entries. Remembers which one answered last and asks it first.
class ApiClient {
 public:
  explicit ApiClient(std::vector<std::string> entries);

  /// Sends `request` to one entry after the other until one answers, each at most once. Goes on to
  /// the next entry when the request was not sent, when an entry answers 503 `not_run`, and, for
  /// requests that are safe to repeat, when the answer was lost.
  [[nodiscard]] ApiOutcome Call(const ApiRequest& request);

 private:
  std::vector<std::string> m_entries;
  std::size_t m_first = 0;
};

/// Returns `text` encoded as one segment of a path or one value of a query.
[[nodiscard]] std::string Encode(const std::string& text);

/// Returns member `name` of `object` as text, or `otherwise` when it is absent or no text.
[[nodiscard]] std::string TextOf(const web::json::value& object, const std::string& name,
                                 const std::string& otherwise = "");

/// Returns member `name` of `object` as number, or 0 when it is absent or no number.
[[nodiscard]] std::uint64_t NumberOf(const web::json::value& object, const std::string& name);

/// Returns whether member `name` of `object` is true.
[[nodiscard]] bool IsTrue(const web::json::value& object, const std::string& name);

/// Returns the elements of array member `name` of `object`; none when it is absent or no array.
[[nodiscard]] std::vector<web::json::value> ListOf(const web::json::value& object,
                                                   const std::string& name);

/// Returns object member `name` of `object`, or an empty object.
[[nodiscard]] web::json::value ObjectOf(const web::json::value& object, const std::string& name);

}  // namespace ebonypin::ctl
