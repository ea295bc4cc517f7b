#include "watch_service.h"

#include <utility>
#include <vector>

namespace ebonypin::daemon {

LogReader WatchService::Reader() {
  return {.m_on_batch = [this](const platform::TailBatch& batch) { OnBatch(batch); },
          .m_on_gap =
              [this] {
                const std::lock_guard lock(m_mutex);
                m_table = core::WatchTable{.m_partial = true};
              }};
}

void WatchService::OnBatch(const platform::TailBatch& batch) {
  std::vector<std::pair<Wait, core::WatchRead>> ended;
  {
    const std::lock_guard lock(m_mutex);
    std::vector<core::TopicName> changed;
    core::Apply(m_table, batch.m_offset, batch.m_batch, changed);
    for (const auto& topic : changed) {
      auto [wait, end] = m_waits_of_topic.equal_range(topic);
      while (wait != end) {
        const auto found = m_waits.find(wait->second);
        const auto& waiting = found->second;
        auto read = core::Read(m_table, topic, waiting.m_cursor, waiting.m_limit);
        if (read.m_updates.empty()) {
          ++wait;
          continue;
        }
        ended.emplace_back(std::move(found->second), std::move(read));
        m_waits.erase(found);
        wait = m_waits_of_topic.erase(wait);
      }
    }
  }
  for (const auto& [wait, read] : ended) wait.m_done(read);
}

void WatchService::Read(const core::TopicName& topic, const std::uint64_t cursor,
                        const std::size_t limit, const core::Time until, ReadDone done) {
  core::WatchRead read;
  {
    const std::lock_guard lock(m_mutex);
    read = core::Read(m_table, topic, cursor, limit);
    if (read.m_updates.empty() && until > Now()) {
      const auto id = ++m_last_wait;
      m_waits.emplace(
          id,
          Wait{.m_topic = topic, .m_cursor = cursor, .m_limit = limit, .m_done = std::move(done)});
      m_waits_of_topic.emplace(topic, id);
      m_events.At(until, [this, id] { EndWait(id); });
      return;
    }
  }
  done(read);
}

void WatchService::EndWait(const std::uint64_t id) {
  Wait wait;
  core::WatchRead read;
  {
    const std::lock_guard lock(m_mutex);
    const auto found = m_waits.find(id);
    if (found == m_waits.end()) return;
    wait = std::move(found->second);
    m_waits.erase(found);
    auto [other, end] = m_waits_of_topic.equal_range(wait.m_topic);
    while (other != end && other->second != id) ++other;
    if (other != end) m_waits_of_topic.erase(other);
    read = core::Read(m_table, wait.m_topic, wait.m_cursor, wait.m_limit);
  }
  wait.m_done(read);
}

void WatchService::EndWaits() {
  std::vector<std::uint64_t> ids;
  {
    const std::lock_guard lock(m_mutex);
    for (const auto& [id, wait] : m_waits) ids.push_back(id);
  }
  for (const auto id : ids) EndWait(id);
}

}  // namespace ebonypin::daemon
