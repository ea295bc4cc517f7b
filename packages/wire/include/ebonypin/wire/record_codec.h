/// Encoding of the batches in the log streams: packed Cap'n Proto.
#pragma once

#include <string>
#include <string_view>

#include "ebonypin/core/records.h"
#include "ebonypin/wire/limits.h"

namespace ebonypin::wire {

/// Returns the packed encoding of `batch`.
[[nodiscard]] std::string EncodeBatch(const core::LogBatch& batch);

/// Decodes a batch. Fails with kBadMessage when it is malformed or contains a record of an unknown
/// type, which a newer version may have written.
[[nodiscard]] core::Result<core::LogBatch> DecodeBatch(std::string_view bytes);

}  // namespace ebonypin::wire
