/// One stream of the log in an entry: its writer, its tail and the readers of its batches.
#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "../event_thread.h"
#include "ebonypin/platform/log_tail.h"
#include "ebonypin/platform/log_writer.h"

namespace ebonypin::daemon {

/// Callbacks of a part that applies the stream to its state. Called on the tail's thread, in log
/// order.
struct LogReader {
  std::function<void(const platform::TailBatch&)> m_on_batch;
  /// Records were removed by retention before they were read, so the state built so far is
  /// outdated.
  std::function<void()> m_on_gap;
};

struct LogStreamOptions {
  platform::LogWriterOptions m_writer;
  std::vector<LogReader> m_readers;
  // See platform::LogTailOptions. Both functions may be empty.
  std::function<void(core::LogOffset, const core::Error&)> m_on_bad_entry;
  std::function<void(core::Time)> m_on_end;
};

/// A log that was not read for this long counts as unavailable. A read takes up to 250 ms when
/// nothing is appended.
inline constexpr core::Duration kLogReadLimit = std::chrono::milliseconds{1500};

/// All members may be used from any thread.
class LogStream {
 public:
  LogStream(platform::LogService& log, EventThread& events, LogStreamOptions options);

  /// Begins to read. Call it once, before any other member, after the readers are ready.
  void Start();

  /// Appends `record`. `done` is called after every reader has applied it, or when it failed. When
  /// the log cannot be read, `done` gets kNotAppended at once.
  void Submit(core::LogRecord record, platform::AppendDone done);

  /// Calls `done` with true when the readers have applied everything that was appended before this
  /// call, or with false when the log cannot be read.
  void AwaitFresh(std::function<void(bool)> done);

  [[nodiscard]] bool IsReadable() const;
  /// Returns whether the stream has been read to its end at least once. Readers may call this.
  [[nodiscard]] bool IsCaughtUp() const { return m_caught_up; }
  [[nodiscard]] core::Duration Age() const { return m_tail->Age(Now()); }
  [[nodiscard]] platform::LogTailStatus Status() const { return m_tail->Status(); }
  [[nodiscard]] platform::GroupCommitCounters Counters() const { return m_writer.Counters(); }
  [[nodiscard]] std::size_t Pending() const { return m_writer.Pending(); }

 private:
  void CheckFresh(core::Time since, const std::function<void(bool)>& done);

  platform::LogService& m_log;
  EventThread& m_events;
  const LogStreamOptions m_options;
  std::atomic<bool> m_caught_up{false};
  platform::LogWriter m_writer;
  std::unique_ptr<platform::LogTail> m_tail;  ///< Destroyed before the writer, which it calls.
};

/// Returns the error for an operation that needs the log while it cannot be read.
[[nodiscard]] core::Error LogUnreadable();

}  // namespace ebonypin::daemon
