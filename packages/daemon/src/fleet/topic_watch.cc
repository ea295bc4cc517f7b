#include "topic_watch.h"

#include <utility>

#include "ebonypin/daemon/events.h"

namespace ebonypin::daemon {

TopicWatch::TopicWatch(std::shared_ptr<EventThread> events, platform::KeyedStore& store,
                       TopicWatchOptions options)
    : m_events(std::move(events)), m_store(store), m_options(std::move(options)) {}

void TopicWatch::Start() {
  m_events->Post([self = shared_from_this()] { self->ReadNewest({}); });
}

void TopicWatch::ReadNewest(const std::string& after) {
  m_store.ReadNewest(m_options.m_topic, after,
                     [self = shared_from_this(), after](core::Captured<platform::NewestPage> page) {
                       self->m_events->Post([self, after, page = std::move(page)] {
                         if (page.Ok()) return self->OnNewestPage(after, *page.m_value);
                         self->RetryAfterError(*page.m_error,
                                               [self, after] { self->ReadNewest(after); });
                       });
                     });
}

void TopicWatch::OnNewestPage(const std::string& after, const platform::NewestPage& page) {
  if (page.m_end < m_next) {
    // The keys of an older state do not show which records were removed since.
    return RetryAfterError({.m_kind = core::ErrorKind::kLogUnavailable,
                            .m_message = "the store answered with a state older than one already "
                                         "read; the read is repeated"},
                           [self = shared_from_this()] { self->ReadNewest({}); });
  }
  MarkAvailable();
  if (after.empty()) {
    // Follow starts at the end offset of the first page, so that records appended while further
    // pages are read are delivered, some of them twice.
    m_next = page.m_end;
    m_keys.clear();
  }
  for (const auto& record : page.m_records) {
    if (!record.m_value.empty()) m_keys.insert(record.m_key);
    m_options.m_on_record(record);
  }
  if (page.m_unreadable > 0) {
    LogEvent(kRecordNotDecoded, {{"topic", m_options.m_topic}, {"records", page.m_unreadable}});
  }
  // A key that is not after the former one would have the same page read again and again.
  if (page.m_more && page.m_last_key > after) return ReadNewest(page.m_last_key);
  if (m_options.m_on_all_read) m_options.m_on_all_read(m_keys);
  Follow();
}

void TopicWatch::Follow() {
  m_store.Read(m_options.m_topic, m_next, m_options.m_poll_wait,
               [self = shared_from_this()](core::Captured<platform::RecordPage> page) {
                 self->m_events->Post([self, page = std::move(page)] {
                   if (!page.Ok())
                     return self->RetryAfterError(*page.m_error, [self] { self->Follow(); });
                   self->MarkAvailable();
                   if (page.m_value->m_gap) return self->ReadNewest({});
                   for (const auto& record : page.m_value->m_records) {
                     self->m_options.m_on_record(record);
                   }
                   self->m_next = page.m_value->m_next;
                   self->Follow();
                 });
               });
}

void TopicWatch::RetryAfterError(const core::Error& error, std::function<void()> retry) {
  if (std::exchange(m_available, false)) m_options.m_on_state(false, error.m_message);
  m_events->At(Now() + m_options.m_retry_delay, std::move(retry));
}

void TopicWatch::MarkAvailable() {
  if (!std::exchange(m_available, true)) m_options.m_on_state(true, {});
}

}  // namespace ebonypin::daemon
