/// JSON form of classes in the HTTP API; see docs/http_api.md.
#pragma once

#include <cpprest/json.h>

#include "ebonypin/core/class_spec.h"

namespace ebonypin::ctl {

/// Returns `spec` as JSON without its revision and log offset.
[[nodiscard]] web::json::value ClassToJson(const core::ClassSpec& spec);

/// Returns the class in `json`. Members that are absent or of the wrong type keep
/// their defaults.
[[nodiscard]] core::ClassSpec ClassFromJson(const web::json::value& json);

}  // namespace ebonypin::ctl
