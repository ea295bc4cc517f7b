/// Typed identifiers, so that a job id cannot be passed where an agent id is expected.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace ebonypin::core {

/// String identifier distinguished by its tag.
///
/// Example: `const JobId id{"render-17"};`
template <typename Tag>
struct Id {
  std::string m_value;

  friend auto operator<=>(const Id&, const Id&) = default;
  [[nodiscard]] bool IsEmpty() const noexcept { return m_value.empty(); }
};

using RequestId = Id<struct RequestTag>;
using JobId = Id<struct JobTag>;
using AgentId = Id<struct AgentTag>;
using EntryId = Id<struct EntryTag>;
using ClassName = Id<struct ClassTag>;
using TeamName = Id<struct TeamTag>;
using DomainName = Id<struct DomainTag>;
using TopicName = Id<struct TopicTag>;

/// Distinguishes successive processes at one address; larger is newer. Chosen at process start.
using Incarnation = std::uint64_t;

/// Ownership epoch of a shard. Increases by one with each claim.
using Epoch = std::uint64_t;

/// Number of an attempt to run a job, starting at 1. It is the fencing token of the job's work.
using Attempt = std::uint32_t;

/// Position of a record in a stream of the log service.
using LogOffset = std::uint64_t;

/// Number of shards into which jobs are divided by the hash of their id. Each shard has one owner.
inline constexpr std::uint32_t kShardCount = 16;
using ShardIndex = std::uint32_t;

/// Returns a 64-bit hash of `text` that is the same in every process (XXH3).
[[nodiscard]] std::uint64_t StableHash(std::string_view text) noexcept;

/// Returns the shard of `job`, below kShardCount.
[[nodiscard]] ShardIndex ShardOf(const JobId& job) noexcept;

}  // namespace ebonypin::core

template <typename Tag>
struct std::hash<ebonypin::core::Id<Tag>> {
  std::size_t operator()(const ebonypin::core::Id<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.m_value);
  }
};
