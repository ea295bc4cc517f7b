#include "ebonypin/core/ids.h"

#include <xxhash.h>

#include <string_view>

namespace ebonypin::core {

std::uint64_t StableHash(const std::string_view text) noexcept {
  return XXH3_64bits(text.data(), text.size());
}

ShardIndex ShardOf(const JobId& job) noexcept {
  return static_cast<ShardIndex>(StableHash(job.m_value) % kShardCount);
}

}  // namespace ebonypin::core
