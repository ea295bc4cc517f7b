/// Table of watch topics and their updates, built by applying the log in order.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "ebonypin/core/records.h"

namespace ebonypin::core {

/// Updates kept per topic. A read with a cursor that is further behind reports a gap.
inline constexpr std::size_t kUpdatesPerTopic = 256;

/// Limit on the total size of the values of all topics. The oldest updates are dropped first.
inline constexpr std::size_t kWatchBytes = 16U << 20U;

/// A sequence number is the record's log offset times this factor, plus its index in the batch, so
/// that entries agree on it even when they started reading the log at different offsets.
inline constexpr std::uint64_t kSequencesPerOffset = 1024;

/// One update of a topic.
struct WatchUpdate {
  std::uint64_t m_sequence = 0;  ///< Increases with each update of the topic; never 0.
  std::string m_update_id;
  std::string m_value;
  friend bool operator==(const WatchUpdate&, const WatchUpdate&) = default;
};

struct WatchTopic {
  std::uint64_t m_dropped = 0;  ///< Sequence number of the newest update that was dropped.
  std::deque<WatchUpdate> m_updates;
  std::deque<std::uint64_t> m_id_order;
  std::unordered_set<std::uint64_t> m_ids;  ///< Hashes of the latest update ids.
};

struct WatchTable {
  /// Set before the first Apply when reading does not begin at the stream's first record.
  bool m_partial = false;
  LogOffset m_first_offset = 0;  ///< Offset of the first batch applied.
  LogOffset m_offset = 0;        ///< Offset of the last batch applied.
  std::unordered_map<TopicName, WatchTopic> m_topics;
  std::deque<TopicName> m_order;  ///< Topic of each kept update, oldest first.
  std::size_t m_bytes = 0;
  std::unordered_set<std::uint64_t> m_batches;
  std::deque<std::uint64_t> m_batch_order;
};

struct WatchRead {
  std::vector<WatchUpdate> m_updates;  ///< After the cursor, oldest first; empty when none is new.
  std::uint64_t m_next = 0;            ///< Cursor after the last of `m_updates`.
  /// True when updates after the cursor were dropped, or may have been in the truncated part of the
  /// log. `m_updates` then begins with the oldest update that is kept.
  bool m_gap = false;
};

/// Applies the WatchUpdated records of `batch` and appends the topics that changed to `changed`. An
/// update whose id is among the last kUpdatesPerTopic ids of its topic is ignored as a duplicate.
void Apply(WatchTable& table, LogOffset offset, const LogBatch& batch,
           std::vector<TopicName>& changed);

/// Returns at most `limit` updates of `topic` after `cursor`, the sequence number of the last
/// update that the caller has. A cursor of 0 reads from the oldest update that is kept.
[[nodiscard]] WatchRead Read(const WatchTable& table, const TopicName& topic, std::uint64_t cursor,
                             std::size_t limit);

}  // namespace ebonypin::core
