/// Follows one topic of the store: delivers the newest record of each key, then every new record.
#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include "../event_thread.h"
#include "ebonypin/platform/keyed_store.h"

namespace ebonypin::daemon {

struct TopicWatchOptions {
  std::string m_topic;
  /// How long one read may wait for records. Bounds the time lost to a silent connection.
  core::Duration m_poll_wait{};
  core::Duration m_retry_delay = std::chrono::milliseconds{150};
  /// Called on the event thread for each record, in the order of the topic.
  std::function<void(const platform::KeyedRecord&)> m_on_record;
  /// Called on the event thread when the newest record of every key was delivered, with these keys:
  /// at the start, and after records were dropped before they were read. Optional.
  std::function<void(const std::set<std::string>& keys)> m_on_all_read;
  /// Called on the event thread when the store becomes unavailable or available again.
  std::function<void(bool available, const std::string& reason)> m_on_state;
};

/// Runs on `events`; must not outlive `store` while `events` runs.
class TopicWatch : public std::enable_shared_from_this<TopicWatch> {
 public:
  TopicWatch(std::shared_ptr<EventThread> events, platform::KeyedStore& store,
             TopicWatchOptions options);

  void Start();

 private:
  void ReadNewest(const std::string& after);
  void OnNewestPage(const std::string& after, const platform::NewestPage& page);
  void Follow();
  void RetryAfterError(const core::Error& error, std::function<void()> retry);
  void MarkAvailable();

  const std::shared_ptr<EventThread> m_events;
  platform::KeyedStore& m_store;
  const TopicWatchOptions m_options;
  std::uint64_t m_next = 0;
  std::set<std::string> m_keys;  ///< Keys of the pages read so far by ReadNewest.
  bool m_available = true;
};

}  // namespace ebonypin::daemon
