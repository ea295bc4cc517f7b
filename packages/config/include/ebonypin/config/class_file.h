/// Class files: the classes of a deployment and their targets.
///
///     [class preview]
///     team = workshop
///     kind = request
///     latency_p99 = 150ms
#pragma once

#include <string>
#include <vector>

#include "ebonypin/core/class_spec.h"
#include "ebonypin/core/error.h"

namespace ebonypin::config {

/// Reads classes from INI text, in the order of the text. `file` is used in messages only. Fails
/// with kBadSetting and one line for each fault, giving file, line and remedy. Keys that would set
/// a weight or a placement are rejected with the reason.
[[nodiscard]] core::Result<std::vector<core::ClassSpec>> ParseClasses(const std::string& text,
                                                                      const std::string& file);

/// Reads classes from the file at `path`.
[[nodiscard]] core::Result<std::vector<core::ClassSpec>> LoadClasses(const std::string& path);

/// Returns `spec` as a section that ParseClasses can read. The revision and the offset are left
/// out.
[[nodiscard]] std::string FormatClass(const core::ClassSpec& spec);

/// Returns the name of `kind` in class files and in the HTTP API: "request", "job" or "watch".
[[nodiscard]] std::string ClassKindName(core::ClassKind kind);

/// Returns the target as "key value" pairs separated by ", ", or "none" for a target without parts.
[[nodiscard]] std::string FormatTarget(const core::Target& target);

}  // namespace ebonypin::config
