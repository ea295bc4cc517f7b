/// JSON forms of the HTTP API; see docs/http_api.md.
///
/// Readers throw std::invalid_argument, naming the field, when a value is missing, of another type
/// or out of range.
#pragma once

#include <cpprest/json.h>

#include <string>

#include "ebonypin/core/class_spec.h"
#include "ebonypin/core/config_table.h"
#include "ebonypin/core/job_table.h"
#include "ebonypin/core/messages.h"
#include "ebonypin/core/request.h"

namespace ebonypin::daemon {

/// Longest id, key, class name, topic or operator name.
inline constexpr std::size_t kMaxNameBytes = 256;

[[nodiscard]] std::string AnswerKindName(core::AnswerKind kind);
[[nodiscard]] std::string OutcomeName(core::JobOutcome outcome);

[[nodiscard]] web::json::value ToJson(const core::Error& error);
[[nodiscard]] web::json::value ToJson(const core::Resources& resources);
[[nodiscard]] web::json::value ToJson(const core::ClassSpec& spec);
[[nodiscard]] web::json::value ToJson(const core::EntryInfo& entry);
[[nodiscard]] web::json::value ToJson(const core::AuditEntry& change);

/// Returns the work of a request or job.
[[nodiscard]] core::WorkRequest ReadWorkRequest(const web::json::value& json);

/// Returns the class `name` as an operator wrote it.
[[nodiscard]] core::ClassSpec ReadClassSpec(const web::json::value& json,
                                            const core::ClassName& name);

/// Returns a text of at most kMaxNameBytes that must not be empty.
[[nodiscard]] std::string ReadName(const web::json::value& json, const std::string& field);

/// Returns a text without a limit of its own, or "" when it is absent.
[[nodiscard]] std::string ReadText(const web::json::value& json, const std::string& field);

[[nodiscard]] bool ReadBool(const web::json::value& json, const std::string& field, bool otherwise);

/// Returns a whole number from 0 to `largest`, or 0 when it is absent.
[[nodiscard]] std::uint64_t ReadNumber(const web::json::value& json, const std::string& field,
                                       std::uint64_t largest);

}  // namespace ebonypin::daemon
