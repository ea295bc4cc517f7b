/// Typed errors. Every message says how to resolve the error.
#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/result.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "ebonypin/core/time.h"

namespace ebonypin::core {

namespace leaf = boost::leaf;

/// Kind of an error. The names returned by ErrorKindName are part of the HTTP API.
enum class ErrorKind : std::uint8_t {
  kInvalidRequest,    ///< Malformed or missing field.
  kUnknownClass,      ///< No class with this name exists.
  kNotFound,          ///< No such job, topic, instance or class.
  kNeverFits,         ///< No known worker is large enough.
  kOverloaded,        ///< Predicted start misses the class's target.
  kQuotaExceeded,     ///< The team's quota is used up.
  kDeadlineTooShort,  ///< The deadline lies before the predicted end.
  kNoCapacity,        ///< The agent asked, or every suitable agent, has no free capacity now.
  kDraining,          ///< The instance is being drained or the process is shutting down.
  kLogUnavailable,    ///< The log service does not answer.
  kStaleEpoch,        ///< A newer owner exists.
  kStaleIncarnation,  ///< The message was meant for an earlier process at this address.
  kStaleAttempt,      ///< The attempt is fenced or not current.
  kReservationGone,   ///< The reservation expired or never existed.
  kRevisionConflict,  ///< The change was based on an older revision.
  kCancelled,         ///< The request was cancelled.
  kTimeout,           ///< No answer within the deadline.
  kDisconnected,      ///< The connection was lost before an answer arrived.
  kTooLarge,          ///< A message or payload exceeds its size limit.
  kBadMessage,        ///< A message or record cannot be decoded.
  kBadSetting,        ///< A settings or class file is wrong.
  kTaskFailed,        ///< The work ran and reported a failure.
  kInternal,          ///< A defect in this program.
};

/// Returns the stable lower-case name of `kind`, for example "log_unavailable".
[[nodiscard]] std::string_view ErrorKindName(ErrorKind kind) noexcept;

/// Returns the kind named `name`, or nothing when the name is unknown.
[[nodiscard]] std::optional<ErrorKind> ParseErrorKind(std::string_view name) noexcept;

/// Error with its kind, message and retry delay.
struct Error {
  ErrorKind m_kind = ErrorKind::kInternal;
  std::string m_message;     ///< What happened, then the remedy.
  Duration m_retry_after{};  ///< Wait before a retry; zero when a retry does not help.

  friend bool operator==(const Error&, const Error&) = default;
};

/// Result of an operation that fails with an `Error`.
template <typename T>
using Result = leaf::result<T>;

/// Returns a failed result that carries `error`.
///
/// Example: `return Fail({.m_kind = ErrorKind::kNotFound, .m_message = "no job 'a'; check the
/// id"});`
[[nodiscard]] inline leaf::error_id Fail(Error error) { return leaf::new_error(std::move(error)); }

/// Runs `function`, which returns Result<T>, and returns its value or the error as the second
/// alternative.
///
/// Example: `auto [value, error] = Capture([&] { return client.Read(); });`
template <typename F>
[[nodiscard]] auto Capture(F&& function);

}  // namespace ebonypin::core

#include "ebonypin/core/error_impl.h"
