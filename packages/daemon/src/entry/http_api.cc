#include "http_api.h"

#include <algorithm>
#include <charconv>
#include <stdexcept>

#include "json_codec.h"

namespace ebonypin::daemon {

using core::AnswerKind;
using core::ErrorKind;
using web::http::status_codes;
using web::json::value;

web::http::status_code StatusOf(const AnswerKind kind, const core::Error* const error) {
  switch (kind) {
    case AnswerKind::kDone:
      return status_codes::OK;
    case AnswerKind::kAccepted:
      return status_codes::Accepted;
    case AnswerKind::kUnknown:
      return status_codes::GatewayTimeout;
    case AnswerKind::kNotRun:
      break;
  }
  switch (error == nullptr ? ErrorKind::kInternal : error->m_kind) {
    case ErrorKind::kInvalidRequest:
    case ErrorKind::kTooLarge:
    case ErrorKind::kNeverFits:
    case ErrorKind::kDeadlineTooShort:
      return status_codes::BadRequest;
    case ErrorKind::kUnknownClass:
    case ErrorKind::kNotFound:
      return status_codes::NotFound;
    case ErrorKind::kRevisionConflict:
    case ErrorKind::kCancelled:
      return status_codes::Conflict;
    case ErrorKind::kOverloaded:
    case ErrorKind::kQuotaExceeded:
      return status_codes::TooManyRequests;
    default:
      return status_codes::ServiceUnavailable;
  }
}

std::string LocationOf(const core::JobId& job) {
  return "/v1/jobs/" + web::uri::encode_data_string(job.m_value);
}

ApiAnswer ToApiAnswer(const core::Answer& answer) {
  const auto* const error = answer.m_error ? &*answer.m_error : nullptr;
  ApiAnswer api{.m_status = StatusOf(answer.m_kind, error), .m_body = value::object()};
  api.m_body["answer"] = value::string(AnswerKindName(answer.m_kind));
  if (!answer.m_request.IsEmpty()) api.m_body["id"] = value::string(answer.m_request.m_value);
  if (answer.m_kind == AnswerKind::kDone && error == nullptr) {
    api.m_body["result"] = value::string(answer.m_result);
  }
  if (!answer.m_job.IsEmpty()) {
    api.m_location = LocationOf(answer.m_job);
    api.m_body["job"] = value::string(answer.m_job.m_value);
    api.m_body["location"] = value::string(api.m_location);
  }
  if (error != nullptr) {
    api.m_body["error"] = ToJson(*error);
    api.m_retry_after = error->m_retry_after;
  }
  return api;
}

ApiAnswer Refusal(const core::Error& error) {
  return ToApiAnswer({.m_kind = AnswerKind::kNotRun, .m_error = error});
}

ApiAnswer UnknownOutcome(const core::Error& error) {
  return ToApiAnswer({.m_kind = AnswerKind::kUnknown, .m_error = error});
}

std::uint64_t QueryNumber(const ApiCall& call, const std::string& name,
                          const std::uint64_t default_value, const std::uint64_t max) {
  const auto found = call.m_query.find(name);
  if (found == call.m_query.end()) return std::min(default_value, max);
  std::uint64_t number = 0;
  const auto* const end = found->second.data() + found->second.size();
  const auto [parsed, error] = std::from_chars(found->second.data(), end, number);
  if (error != std::errc{} || parsed != end) {
    throw std::invalid_argument("'" + name + "' is not a whole number of at least 0");
  }
  return std::min(number, max);
}

}  // namespace ebonypin::daemon
