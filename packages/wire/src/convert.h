/// Conversions between core structs and Cap'n Proto builders and readers.
///
/// Get throws kj::Exception when a message is malformed or an enumeration value is unknown;
/// DecodeMessage and DecodeBatch convert the exception to an Error.
#pragma once

#include <ebonypin.capnp.h>
#include <kj/debug.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "ebonypin/core/messages.h"
#include "ebonypin/wire/limits.h"
#include "fleet_convert.h"

namespace ebonypin::wire {

[[nodiscard]] inline capnp::Data::Reader PutData(const std::string& bytes) {
  return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

[[nodiscard]] inline std::string GetData(const capnp::Data::Reader bytes) {
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

[[nodiscard]] inline std::string GetText(const capnp::Text::Reader text) {
  return {text.begin(), text.size()};
}

/// Encodes an unset duration as -1.
[[nodiscard]] inline std::int64_t PutOptional(
    const std::optional<core::Duration> duration) noexcept {
  return duration ? duration->count() : -1;
}

[[nodiscard]] inline std::optional<core::Duration> GetOptional(const std::int64_t micros) noexcept {
  if (micros < 0) return std::nullopt;
  return core::Duration{micros};
}

/// Returns `value` as an enumerator of E, whose largest value is `last`. Throws kj::Exception when
/// `value` is larger.
template <typename E>
[[nodiscard]] E GetEnum(const std::uint8_t value, const E last) {
  KJ_REQUIRE(value <= static_cast<std::uint8_t>(last), "unknown enumeration value", value);
  return static_cast<E>(value);
}

/// Throws kj::Exception when a list is longer than kMaxListElements.
inline void RequireListSize(const unsigned size) {
  KJ_REQUIRE(size <= kMaxListElements, "list too long", size);
}

template <typename T>
[[nodiscard]] unsigned ListSize(const std::vector<T>& list) noexcept {
  return static_cast<unsigned>(list.size());
}

void Put(schema::Error::Builder out, const core::Error& in);
[[nodiscard]] core::Error Get(schema::Error::Reader in);
void Put(schema::Target::Builder out, const core::Target& in);
[[nodiscard]] core::Target Get(schema::Target::Reader in);
void Put(schema::Resources::Builder out, const core::Resources& in);
[[nodiscard]] core::Resources Get(schema::Resources::Reader in);
void Put(schema::ClassSpec::Builder out, const core::ClassSpec& in);
[[nodiscard]] core::ClassSpec Get(schema::ClassSpec::Reader in);
void Put(schema::WorkRequest::Builder out, const core::WorkRequest& in);
[[nodiscard]] core::WorkRequest Get(schema::WorkRequest::Reader in);
void Put(schema::JobAccepted::Builder out, const core::JobAccepted& in);
[[nodiscard]] core::JobAccepted Get(schema::JobAccepted::Reader in);
void Put(schema::JobAssigned::Builder out, const core::JobAssigned& in);
[[nodiscard]] core::JobAssigned Get(schema::JobAssigned::Reader in);
void Put(schema::JobRequeued::Builder out, const core::JobRequeued& in);
[[nodiscard]] core::JobRequeued Get(schema::JobRequeued::Reader in);
void Put(schema::JobFinished::Builder out, const core::JobFinished& in);
[[nodiscard]] core::JobFinished Get(schema::JobFinished::Reader in);
void Put(schema::JobCancelled::Builder out, const core::JobCancelled& in);
[[nodiscard]] core::JobCancelled Get(schema::JobCancelled::Reader in);
void Put(schema::ShardClaimed::Builder out, const core::ShardClaimed& in);
[[nodiscard]] core::ShardClaimed Get(schema::ShardClaimed::Reader in);
void Put(schema::ShardReleased::Builder out, const core::ShardReleased& in);
[[nodiscard]] core::ShardReleased Get(schema::ShardReleased::Reader in);
void Put(schema::JobState::Builder out, const core::JobState& in);
[[nodiscard]] core::JobState Get(schema::JobState::Reader in);
void Put(schema::JobSnapshot::Builder out, const core::JobSnapshot& in);
[[nodiscard]] core::JobSnapshot Get(schema::JobSnapshot::Reader in);
void Put(schema::ClassPut::Builder out, const core::ClassPut& in);
[[nodiscard]] core::ClassPut Get(schema::ClassPut::Reader in);
void Put(schema::ClassRemoved::Builder out, const core::ClassRemoved& in);
[[nodiscard]] core::ClassRemoved Get(schema::ClassRemoved::Reader in);
void Put(schema::WorkerDrain::Builder out, const core::WorkerDrain& in);
[[nodiscard]] core::WorkerDrain Get(schema::WorkerDrain::Reader in);
void Put(schema::WatchUpdated::Builder out, const core::WatchUpdated& in);
[[nodiscard]] core::WatchUpdated Get(schema::WatchUpdated::Reader in);
void Put(schema::EntryInfo::Builder out, const core::EntryAlive& in);
[[nodiscard]] core::EntryAlive GetEntryAlive(schema::EntryInfo::Reader in);
void Put(schema::EntryInfo::Builder out, const core::EntryInfo& in);
[[nodiscard]] core::EntryInfo Get(schema::EntryInfo::Reader in);
void Put(schema::AgentLoad::Builder out, const core::AgentLoad& in);
[[nodiscard]] core::AgentLoad Get(schema::AgentLoad::Reader in);
void Put(schema::AttemptRef::Builder out, const core::AttemptRef& in);
[[nodiscard]] core::AttemptRef Get(schema::AttemptRef::Reader in);
void Put(schema::Heartbeat::Builder out, const core::Heartbeat& in);
[[nodiscard]] core::Heartbeat Get(schema::Heartbeat::Reader in);
void Put(schema::Grant::Builder out, const core::Grant& in);
[[nodiscard]] core::Grant Get(schema::Grant::Reader in);
void Put(schema::HeartbeatReply::Builder out, const core::HeartbeatReply& in);
[[nodiscard]] core::HeartbeatReply Get(schema::HeartbeatReply::Reader in);
void Put(schema::EntryHeartbeat::Builder out, const core::EntryHeartbeat& in);
[[nodiscard]] core::EntryHeartbeat Get(schema::EntryHeartbeat::Reader in);
void Put(schema::EntryHeartbeatReply::Builder out, const core::EntryHeartbeatReply& in);
[[nodiscard]] core::EntryHeartbeatReply Get(schema::EntryHeartbeatReply::Reader in);
void Put(schema::RunRequest::Builder out, const core::RunRequest& in);
[[nodiscard]] core::RunRequest Get(schema::RunRequest::Reader in);
void Put(schema::RunReply::Builder out, const core::RunReply& in);
[[nodiscard]] core::RunReply Get(schema::RunReply::Reader in);
void Put(schema::ReserveRequest::Builder out, const core::ReserveRequest& in);
[[nodiscard]] core::ReserveRequest Get(schema::ReserveRequest::Reader in);
void Put(schema::ReserveReply::Builder out, const core::ReserveReply& in);
[[nodiscard]] core::ReserveReply Get(schema::ReserveReply::Reader in);
void Put(schema::StartRequest::Builder out, const core::StartRequest& in);
[[nodiscard]] core::StartRequest Get(schema::StartRequest::Reader in);
void Put(schema::StartReply::Builder out, const core::StartReply& in);
[[nodiscard]] core::StartReply Get(schema::StartReply::Reader in);
void Put(schema::CancelRequest::Builder out, const core::CancelRequest& in);
[[nodiscard]] core::CancelRequest Get(schema::CancelRequest::Reader in);
void Put(schema::CancelReply::Builder out, const core::CancelReply& in);
[[nodiscard]] core::CancelReply Get(schema::CancelReply::Reader in);
void Put(schema::FenceRequest::Builder out, const core::FenceRequest& in);
[[nodiscard]] core::FenceRequest Get(schema::FenceRequest::Reader in);
void Put(schema::FenceReply::Builder out, const core::FenceReply& in);
[[nodiscard]] core::FenceReply Get(schema::FenceReply::Reader in);
void Put(schema::TaskReport::Builder out, const core::TaskReport& in);
[[nodiscard]] core::TaskReport Get(schema::TaskReport::Reader in);
void Put(schema::TaskReportReply::Builder out, const core::TaskReportReply& in);
[[nodiscard]] core::TaskReportReply Get(schema::TaskReportReply::Reader in);

template <typename Builder, typename T>
void PutList(Builder out, const std::vector<T>& in) {
  for (unsigned i = 0; i < out.size(); ++i) Put(out[i], in[i]);
}

template <typename T, typename Reader>
[[nodiscard]] std::vector<T> GetList(const Reader in) {
  RequireListSize(in.size());
  std::vector<T> list;
  list.reserve(in.size());
  for (const auto element : in) list.push_back(Get(element));
  return list;
}

template <typename Builder, typename T>
void PutIds(Builder out, const std::vector<T>& in) {
  for (unsigned i = 0; i < out.size(); ++i) out.set(i, in[i].m_value);
}

template <typename T, typename Reader>
[[nodiscard]] std::vector<T> GetIds(const Reader in) {
  RequireListSize(in.size());
  std::vector<T> list;
  list.reserve(in.size());
  for (const auto element : in) list.push_back({GetText(element)});
  return list;
}

}  // namespace ebonypin::wire
