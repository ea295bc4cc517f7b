/// Conversion between core types and the JSON of the HTTP API; see docs/http_api.md.
///
/// The Read functions throw std::invalid_argument with the field's name when a required value is
/// missing, or a value is of the wrong type or out of range.
#pragma once

#include <cpprest/json.h>

#include <string>

#include "ebonypin/core/class_spec.h"
#include "ebonypin/core/config_table.h"
#include "ebonypin/core/job_table.h"
#include "ebonypin/core/messages.h"
#include "ebonypin/core/request.h"

namespace ebonypin::daemon {

/// Largest size of an id, key, class name, topic or operator name.
inline constexpr std::size_t kMaxNameBytes = 256;

[[nodiscard]] std::string AnswerKindName(core::AnswerKind kind);
[[nodiscard]] std::string OutcomeName(core::JobOutcome outcome);

[[nodiscard]] web::json::value ToJson(const core::Error& error);
[[nodiscard]] web::json::value ToJson(const core::Resources& resources);
[[nodiscard]] web::json::value ToJson(const core::ClassSpec& spec);
[[nodiscard]] web::json::value ToJson(const core::EntryInfo& entry);
[[nodiscard]] web::json::value ToJson(const core::AuditEntry& change);

/// Returns the work that a request or job asks for.
[[nodiscard]] core::WorkRequest ReadWorkRequest(const web::json::value& json);

/// Returns the definition of class `name`.
[[nodiscard]] core::ClassSpec ReadClassSpec(const web::json::value& json,
                                            const core::ClassName& name);

/// Returns a required string of 1 to kMaxNameBytes bytes.
[[nodiscard]] std::string ReadName(const web::json::value& json, const std::string& field);

/// Returns a string of any size, or "" when it is absent.
[[nodiscard]] std::string ReadString(const web::json::value& json, const std::string& field);

[[nodiscard]] bool ReadBool(const web::json::value& json, const std::string& field,
                            bool default_value);

/// Returns a whole number from 0 to `max`, or 0 when it is absent.
[[nodiscard]] std::uint64_t ReadNumber(const web::json::value& json, const std::string& field,
                                       std::uint64_t max);

}  // namespace ebonypin::daemon
