/// Fuzzes the decoder of messages: any bytes are decoded or refused, and what decodes encodes
/// again.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "ebonypin/wire/message_codec.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace ebonypin;
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const auto message = core::Capture([&] { return wire::DecodeMessage(bytes); });
  if (!message.Ok()) return 0;
  // Lists of empty elements take no space on the wire, so a decoded message may exceed the limit
  // when encoded.
  const auto encoded = wire::EncodeMessage(*message.m_value);
  if (encoded.size() > wire::kMaxMessageBytes) return 0;
  const auto again = core::Capture([&] { return wire::DecodeMessage(encoded); });
  if (!again.Ok() || again.m_value->index() != message.m_value->index()) std::abort();
  return 0;
}
