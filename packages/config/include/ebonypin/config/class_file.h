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
/// with kBadSetting and one line for each fault, naming file, line and remedy. Keys that would set
/// a weight or a placement are refused with the reason.
[[nodiscard]] core::Result<std::vector<core::ClassSpec>> ParseClasses(const std::string& text,
                                                                      const std::string& file);

/// Reads classes from the file at `path`.
[[nodiscard]] core::Result<std::vector<core::ClassSpec>> LoadClasses(const std::string& path);

/// Returns `spec` as a section that ParseClasses reads back; revision and offset are left out.
[[nodiscard]] std::string FormatClass(const core::ClassSpec& spec);

/// Returns the name of `kind` in class files and in the HTTP API: "request", "job" or "watch".
[[nodiscard]] std::string ClassKindName(core::ClassKind kind);

/// Returns the target as in class files, separated by ", ", or "none".
[[nodiscard]] std::string FormatTarget(const core::Target& target);

}  // namespace ebonypin::config
