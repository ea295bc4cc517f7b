#include "ebonypin/wire/fleet_codec.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>

#include "convert.h"

namespace ebonypin::wire {
namespace {

template <typename Schema, typename T>
std::string EncodeAs(const T& record) {
  capnp::MallocMessageBuilder builder;
  Put(builder.initRoot<Schema>(), record);
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, builder);
  const auto bytes = stream.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

template <typename Schema, typename T>
core::Result<T> DecodeAs(const std::string_view bytes) {
  T record;
  auto failure = kj::runCatchingExceptions([&] {
    kj::ArrayInputStream stream(kj::ArrayPtr<const kj::byte>(
        reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
    capnp::PackedMessageReader reader(
        stream, {.traversalLimitInWords = kMaxMessageWords, .nestingLimit = 16});
    record = Get(reader.template getRoot<Schema>());
  });
  KJ_IF_MAYBE (exception, failure) {
    return core::Fail({.m_kind = core::ErrorKind::kBadMessage,
                       .m_message = std::string{"cannot decode a stored record: "} +
                                    exception->getDescription().cStr() +
                                    "; upgrade this process or check what writes to the topic"});
  }
  return record;
}

}  // namespace

std::string Encode(const core::fleet::JobSpec& record) {
  return EncodeAs<schema::fleet::JobSpec>(record);
}
std::string Encode(const core::fleet::JobProgress& record) {
  return EncodeAs<schema::fleet::JobProgress>(record);
}
std::string Encode(const core::fleet::MemberRecord& record) {
  return EncodeAs<schema::fleet::MemberRecord>(record);
}
std::string Encode(const core::fleet::ImagePairsRecord& record) {
  return EncodeAs<schema::fleet::ImagePairsRecord>(record);
}
std::string Encode(const core::fleet::SettledRecord& record) {
  return EncodeAs<schema::fleet::SettledRecord>(record);
}
std::string Encode(const core::fleet::CoordinatorRecord& record) {
  return EncodeAs<schema::fleet::CoordinatorRecord>(record);
}

core::Result<core::fleet::JobSpec> DecodeJobSpec(const std::string_view bytes) {
  return DecodeAs<schema::fleet::JobSpec, core::fleet::JobSpec>(bytes);
}
core::Result<core::fleet::JobProgress> DecodeJobProgress(const std::string_view bytes) {
  return DecodeAs<schema::fleet::JobProgress, core::fleet::JobProgress>(bytes);
}
core::Result<core::fleet::MemberRecord> DecodeMember(const std::string_view bytes) {
  return DecodeAs<schema::fleet::MemberRecord, core::fleet::MemberRecord>(bytes);
}
core::Result<core::fleet::ImagePairsRecord> DecodeImagePairs(const std::string_view bytes) {
  return DecodeAs<schema::fleet::ImagePairsRecord, core::fleet::ImagePairsRecord>(bytes);
}
core::Result<core::fleet::SettledRecord> DecodeSettled(const std::string_view bytes) {
  return DecodeAs<schema::fleet::SettledRecord, core::fleet::SettledRecord>(bytes);
}
core::Result<core::fleet::CoordinatorRecord> DecodeCoordinator(const std::string_view bytes) {
  return DecodeAs<schema::fleet::CoordinatorRecord, core::fleet::CoordinatorRecord>(bytes);
}

}  // namespace ebonypin::wire
