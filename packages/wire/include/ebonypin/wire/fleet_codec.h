/// Storage encoding of the records of core/fleet/records.h: packed Cap'n Proto.
#pragma once

#include <string>
#include <string_view>

#include "ebonypin/core/error.h"
#include "ebonypin/core/fleet/records.h"

namespace ebonypin::wire {

[[nodiscard]] std::string Encode(const core::fleet::JobSpec& record);
[[nodiscard]] std::string Encode(const core::fleet::JobProgress& record);
[[nodiscard]] std::string Encode(const core::fleet::MemberRecord& record);
[[nodiscard]] std::string Encode(const core::fleet::ImagePairsRecord& record);
[[nodiscard]] std::string Encode(const core::fleet::SettledRecord& record);
[[nodiscard]] std::string Encode(const core::fleet::CoordinatorRecord& record);

/// The decoding functions fail with kBadMessage when `bytes` are malformed.
[[nodiscard]] core::Result<core::fleet::JobSpec> DecodeJobSpec(std::string_view bytes);
[[nodiscard]] core::Result<core::fleet::JobProgress> DecodeJobProgress(std::string_view bytes);
[[nodiscard]] core::Result<core::fleet::MemberRecord> DecodeMember(std::string_view bytes);
[[nodiscard]] core::Result<core::fleet::ImagePairsRecord> DecodeImagePairs(std::string_view bytes);
[[nodiscard]] core::Result<core::fleet::SettledRecord> DecodeSettled(std::string_view bytes);
[[nodiscard]] core::Result<core::fleet::CoordinatorRecord> DecodeCoordinator(
    std::string_view bytes);

}  // namespace ebonypin::wire
