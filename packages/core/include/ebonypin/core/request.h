/// Requests of callers and their answers.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "ebonypin/core/error.h"
#include "ebonypin/core/ids.h"
#include "ebonypin/core/resources.h"
#include "ebonypin/core/time.h"

namespace ebonypin::core {

/// Work as declared by a caller. Declared sizes and run times may be far from the actual ones.
struct WorkRequest {
  RequestId m_id;
  ClassName m_class;
  std::string m_key;                   ///< Idempotency key; empty for a request without a key.
  std::optional<Duration> m_deadline;  ///< Time from arrival to the deadline.
  Resources m_size;
  Duration m_declared_run{};  ///< Zero when not declared.
  bool m_non_idempotent = false;
  std::string m_payload;

  friend bool operator==(const WorkRequest&, const WorkRequest&) = default;
};

/// Outcome of a request as reported to its caller. See the answers table of docs/design.md.
enum class AnswerKind : std::uint8_t {
  kDone,      ///< The result of this request.
  kAccepted,  ///< The job is in the log and can be queried.
  kNotRun,    ///< Refused; the work was not run and will not be.
  kUnknown,   ///< The work may have run.
};

/// Answer to one request.
struct Answer {
  AnswerKind m_kind = AnswerKind::kUnknown;
  RequestId m_request;
  JobId m_job;                   ///< Set for jobs.
  std::string m_result;          ///< Set for kDone.
  std::optional<Error> m_error;  ///< Set for kNotRun and kUnknown.

  friend bool operator==(const Answer&, const Answer&) = default;
};

}  // namespace ebonypin::core
