#include "ebonypin/core/watch_table.h"

namespace ebonypin::core {
namespace {

/// Limit on the updates of all topics. Bounds memory when values are empty, which the limit in
/// bytes does not.
constexpr std::size_t kWatchUpdates = 100'000;

/// Batch ids kept for deduplication. A writer retries an append only for seconds, so that older ids
/// are not needed.
constexpr std::size_t kBatchIds = 65'536;

/// Stores the hash of `id` and returns whether it is new. Keeps the last `limit` hashes.
bool RememberId(std::unordered_set<std::uint64_t>& ids, std::deque<std::uint64_t>& order,
                const std::string& id, const std::size_t limit) {
  const std::uint64_t hash = StableHash(id);
  if (!ids.insert(hash).second) return false;
  order.push_back(hash);
  if (order.size() > limit) {
    ids.erase(order.front());
    order.pop_front();
  }
  return true;
}

void DropOldest(WatchTable& table, WatchTopic& topic) {
  topic.m_dropped = topic.m_updates.front().m_sequence;
  table.m_bytes -= topic.m_updates.front().m_value.size();
  topic.m_updates.pop_front();
}

/// Drops the oldest updates across all topics until both limits hold.
void Shrink(WatchTable& table) {
  while (!table.m_order.empty() &&
         (table.m_bytes > kWatchBytes || table.m_order.size() > kWatchUpdates)) {
    const auto found = table.m_topics.find(table.m_order.front());
    table.m_order.pop_front();
    // An element of `m_order` may belong to an update that the limit of its topic dropped. A newer
    // update of that topic is dropped then.
    if (found != table.m_topics.end() && !found->second.m_updates.empty())
      DropOldest(table, found->second);
  }
}

}  // namespace

void Apply(WatchTable& table, const LogOffset offset, const LogBatch& batch,
           std::vector<TopicName>& changed) {
  if (offset <= table.m_offset) return;
  table.m_offset = offset;
  if (table.m_first_offset == 0) table.m_first_offset = offset;
  if (!RememberId(table.m_batches, table.m_batch_order, batch.m_batch_id, kBatchIds)) return;
  for (std::size_t i = 0; i < batch.m_records.size(); ++i) {
    const auto* const update = std::get_if<WatchUpdated>(&batch.m_records[i]);
    if (update == nullptr) continue;
    WatchTopic& topic = table.m_topics[update->m_topic];
    if (!RememberId(topic.m_ids, topic.m_id_order, update->m_update_id, kUpdatesPerTopic)) continue;
    topic.m_updates.push_back({.m_sequence = offset * kSequencesPerOffset + i,
                               .m_update_id = update->m_update_id,
                               .m_value = update->m_value});
    table.m_bytes += update->m_value.size();
    table.m_order.push_back(update->m_topic);
    if (topic.m_updates.size() > kUpdatesPerTopic) DropOldest(table, topic);
    changed.push_back(update->m_topic);
  }
  Shrink(table);
}

WatchRead Read(const WatchTable& table, const TopicName& topic, const std::uint64_t cursor,
               const std::size_t limit) {
  WatchRead read{.m_next = cursor};
  read.m_gap = table.m_partial && cursor > 0 && cursor < table.m_first_offset * kSequencesPerOffset;
  const auto found = table.m_topics.find(topic);
  if (found == table.m_topics.end()) return read;
  if (cursor > 0 && cursor < found->second.m_dropped) read.m_gap = true;
  for (const WatchUpdate& update : found->second.m_updates) {
    if (update.m_sequence <= cursor) continue;
    if (read.m_updates.size() >= limit) break;
    read.m_updates.push_back(update);
    read.m_next = update.m_sequence;
  }
  return read;
}

}  // namespace ebonypin::core
