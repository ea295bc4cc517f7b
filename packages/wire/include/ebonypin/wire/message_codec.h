/// Encoding of the messages between processes: unpacked Cap'n Proto.
///
/// Example: `const auto message = wire::DecodeMessage(wire::EncodeMessage(core::Heartbeat{...}));`
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "ebonypin/core/messages.h"
#include "ebonypin/wire/limits.h"

namespace ebonypin::wire {

/// Returns the encoded form of `message`.
[[nodiscard]] std::string EncodeMessage(const core::Message& message);

/// Returns the size of the encoded form in bytes.
[[nodiscard]] std::size_t EncodedSize(const core::Message& message);

/// Decodes a message. Fails with kBadMessage when it is malformed, too large or of an unknown type.
[[nodiscard]] core::Result<core::Message> DecodeMessage(std::string_view bytes);

}  // namespace ebonypin::wire
