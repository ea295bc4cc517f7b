/// Watch topics: their updates in log order, and callers that wait for updates.
#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <unordered_map>

#include "../event_thread.h"
#include "ebonypin/core/watch_table.h"
#include "log_stream.h"

namespace ebonypin::daemon {

/// All members may be used from any thread. Functions passed in are called from any thread.
class WatchService {
 public:
  using ReadDone = std::function<void(const core::WatchRead&)>;

  explicit WatchService(EventThread& events) : m_events(events) {}

  /// Returns the reader that applies the stream to the topics.
  [[nodiscard]] LogReader Reader();

  /// Calls `done` with at most `limit` updates of `topic` after `cursor`, as soon as there are any,
  /// or with none at `until`.
  void Read(const core::TopicName& topic, std::uint64_t cursor, std::size_t limit, core::Time until,
            ReadDone done);

  /// Ends all waits immediately, for a planned stop.
  void EndWaits();

 private:
  struct Wait {
    core::TopicName m_topic;
    std::uint64_t m_cursor = 0;
    std::size_t m_limit = 0;
    ReadDone m_done;
  };

  void OnBatch(const platform::TailBatch& batch);
  void EndWait(std::uint64_t id);

  EventThread& m_events;
  std::mutex m_mutex;
  core::WatchTable m_table;
  std::uint64_t m_last_wait = 0;
  std::map<std::uint64_t, Wait> m_waits;
  std::unordered_multimap<core::TopicName, std::uint64_t> m_waits_of_topic;
};

}  // namespace ebonypin::daemon
