#include "ebonypin/platform/log_tail.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

#include "ebonypin/wire/record_codec.h"

namespace ebonypin::platform {
namespace {

core::Time Now() {
  return std::chrono::time_point_cast<core::Duration>(std::chrono::steady_clock::now());
}

}  // namespace

class LogTail::Impl {
 public:
  Impl(LogService& log, LogTailOptions options) : m_log(log), m_options(std::move(options)) {
    m_status.m_position = m_options.m_from;
    m_thread = std::thread([this] { ReadUntilStopped(); });
  }

  ~Impl() {
    {
      const std::lock_guard lock(m_mutex);
      m_stopping = true;
    }
    m_wake.notify_all();
    m_thread.join();
  }

  [[nodiscard]] LogTailStatus Status() const {
    const std::lock_guard lock(m_mutex);
    return m_status;
  }

 private:
  void ReadUntilStopped() {
    core::LogOffset position = m_options.m_from;
    bool caught_up = false;
    while (!IsStopping()) {
      const auto began = Now();
      // Reads do not wait until the tail has caught up, so an empty stream does not delay the
      // start.
      const auto chunk = core::Capture([&] {
        return m_log.Read(m_options.m_stream,
                          {.m_from = position,
                           .m_max_entries = m_options.m_max_entries,
                           .m_wait = caught_up ? m_options.m_wait : core::Duration{}});
      });
      if (!chunk.Ok()) {
        std::unique_lock lock(m_mutex);
        ++m_status.m_failures;
        m_wake.wait_for(lock, m_options.m_retry_delay, [this] { return m_stopping; });
        continue;
      }
      position = Deliver(*chunk.m_value, position);
      const bool at_end = position >= chunk.m_value->m_next;
      caught_up = caught_up || at_end;
      {
        const std::lock_guard lock(m_mutex);
        ++m_status.m_reads;
        m_status.m_last_read = began;
        m_status.m_position = position;
        m_status.m_first_kept = chunk.m_value->m_first;
        m_status.m_caught_up = at_end;
      }
      if (at_end && m_options.m_on_end) m_options.m_on_end(began);
    }
  }

  /// Delivers the entries from `position` and returns the next position.
  core::LogOffset Deliver(const LogChunk& chunk, core::LogOffset position) {
    if (chunk.m_first > position) {
      {
        const std::lock_guard lock(m_mutex);
        ++m_status.m_gaps;
      }
      if (m_options.m_on_gap) {
        m_options.m_on_gap({.m_expected = position, .m_first_kept = chunk.m_first});
      }
      position = chunk.m_first;
    }
    for (const auto& entry : chunk.m_entries) {
      // An entry at an offset below the position was delivered before.
      if (entry.m_offset < position) continue;
      position = entry.m_offset + 1;
      auto batch = core::Capture([&] { return wire::DecodeBatch(entry.m_bytes); });
      if (batch.Ok()) {
        m_options.m_on_batch({.m_offset = entry.m_offset,
                              .m_wall = entry.m_wall,
                              .m_batch = std::move(*batch.m_value)});
        continue;
      }
      {
        const std::lock_guard lock(m_mutex);
        ++m_status.m_bad_entries;
      }
      if (m_options.m_on_bad_entry) m_options.m_on_bad_entry(entry.m_offset, *batch.m_error);
    }
    // Trailing offsets without an entry were dropped by the log service.
    return chunk.m_entries.empty() ? std::max(position, chunk.m_next) : position;
  }

  [[nodiscard]] bool IsStopping() const {
    const std::lock_guard lock(m_mutex);
    return m_stopping;
  }

  LogService& m_log;
  const LogTailOptions m_options;
  mutable std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_stopping = false;
  LogTailStatus m_status;
  std::thread m_thread;
};

LogTail::LogTail(LogService& log, LogTailOptions options)
    : m_impl(std::make_unique<Impl>(log, std::move(options))) {}
LogTail::~LogTail() = default;

LogTailStatus LogTail::Status() const { return m_impl->Status(); }

core::Duration LogTail::Age(const core::Time now) const {
  return now - m_impl->Status().m_last_read;
}

}  // namespace ebonypin::platform
