/// Watch topics with a sequence number per topic, as the order of the log determines them.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "ebonypin/core/records.h"

namespace ebonypin::core {

/// Updates kept of each topic. A cursor that falls further behind is told so.
inline constexpr std::size_t kUpdatesPerTopic = 256;

/// Values of all topics together are kept up to this total; the oldest updates are dropped first.
inline constexpr std::size_t kWatchBytes = 16U << 20U;

/// Sequence numbers are the record's log offset times this, plus its index in the batch. Entries
/// that began to read the log at different offsets thereby agree on them.
inline constexpr std::uint64_t kSequencesPerOffset = 1024;

/// One update of a topic.
struct WatchUpdate {
  std::uint64_t m_sequence = 0;  ///< Increases with each update of the topic; never 0.
  std::string m_update_id;
  std::string m_value;
  friend bool operator==(const WatchUpdate&, const WatchUpdate&) = default;
};

struct WatchTopic {
  std::uint64_t m_dropped = 0;  ///< Sequence of the newest update no longer kept.
  std::deque<WatchUpdate> m_updates;
  std::deque<std::uint64_t> m_id_order;
  std::unordered_set<std::uint64_t> m_ids;  ///< Hashes of the latest update ids.
};

struct WatchTable {
  /// Set before the first Apply when the fold does not begin at the stream's first record.
  bool m_partial = false;
  LogOffset m_first_offset = 0;  ///< First batch applied.
  LogOffset m_offset = 0;        ///< Last batch applied.
  std::unordered_map<TopicName, WatchTopic> m_topics;
  std::deque<TopicName> m_order;  ///< Topic of each kept update, oldest first.
  std::size_t m_bytes = 0;
  std::unordered_set<std::uint64_t> m_batches;
  std::deque<std::uint64_t> m_batch_order;
};

struct WatchRead {
  std::vector<WatchUpdate> m_updates;  ///< After the cursor, oldest first; empty: wait.
  std::uint64_t m_next = 0;            ///< Cursor behind `m_updates`.
  /// Updates after the cursor are no longer kept, or may be lost with the truncated part of the
  /// log. `m_updates` then begins with the oldest kept one.
  bool m_gap = false;
};

/// Folds the WatchUpdated records of `batch` and appends the topics that changed to `changed`. An
/// update id seen among the latest kUpdatesPerTopic of its topic is void.
void Apply(WatchTable& table, LogOffset offset, const LogBatch& batch,
           std::vector<TopicName>& changed);

/// Returns at most `limit` updates of `topic` after `cursor`, the sequence of the last update that
/// the caller has. A cursor of 0 reads what is kept.
[[nodiscard]] WatchRead Read(const WatchTable& table, const TopicName& topic, std::uint64_t cursor,
                             std::size_t limit);

}  // namespace ebonypin::core
