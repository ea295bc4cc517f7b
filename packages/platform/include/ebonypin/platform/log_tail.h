/// Thread that reads one stream of the log in order and delivers its batches.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "ebonypin/core/records.h"
#include "ebonypin/platform/log_service.h"

namespace ebonypin::platform {

/// Batch with its offset in the stream.
struct TailBatch {
  core::LogOffset m_offset = 0;
  core::WallMillis m_wall = 0;
  core::LogBatch m_batch;
};

/// Gap in the stream: entries that the log service dropped before this tail read them.
struct TailGap {
  core::LogOffset m_expected = 0;
  core::LogOffset m_first_kept = 0;
};

struct LogTailOptions {
  std::string m_stream;
  core::LogOffset m_from = 0;
  std::size_t m_max_entries = 256;
  core::Duration m_wait =
      std::chrono::milliseconds{500};  ///< How long each read waits for entries.
  core::Duration m_retry_delay = std::chrono::milliseconds{100};
  std::function<void(const TailBatch&)> m_on_batch;  ///< Called on the tail's thread, in order.
  std::function<void(const TailGap&)> m_on_gap;      ///< May be empty.
  /// Called for an entry that cannot be decoded, for example one of a newer version. It is skipped.
  std::function<void(core::LogOffset, const core::Error&)> m_on_bad_entry;  ///< May be empty.
  /// Called when a read that began at the given time reached the end of the stream and all of its
  /// entries were delivered. May be empty.
  std::function<void(core::Time)> m_on_end;
};

struct LogTailStatus {
  core::Time m_last_read;          ///< Start of the last successful read; zero before the first.
  core::LogOffset m_position = 0;  ///< Next offset to read.
  core::LogOffset m_first_kept = 0;
  bool m_caught_up = false;  ///< All entries in the stream at the last read were delivered.
  std::uint64_t m_reads = 0;
  std::uint64_t m_failures = 0;
  std::uint64_t m_gaps = 0;
  std::uint64_t m_bad_entries = 0;
};

/// Tail of one stream. A read that fails is repeated from the same offset until it succeeds.
class LogTail {
 public:
  LogTail(LogService& log, LogTailOptions options);
  ~LogTail();
  LogTail(const LogTail&) = delete;
  LogTail& operator=(const LogTail&) = delete;

  [[nodiscard]] LogTailStatus Status() const;

  /// Returns how long ago the last successful read began. That read saw everything that was
  /// appended before it began.
  [[nodiscard]] core::Duration Age(core::Time now) const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace ebonypin::platform
