/// The platform's append-only log service.
///
/// Offsets grow by one with each append to a stream. The service retains a limited number of
/// entries for a limited time, has outages, and may lose the answer to an append that took effect.
/// It has no conditional append, so conflicts are resolved by the order of the entries.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "ebonypin/core/error.h"
#include "ebonypin/core/ids.h"
#include "ebonypin/core/time.h"

namespace ebonypin::platform {

/// One appended entry.
struct LogEntry {
  core::LogOffset m_offset = 0;
  core::WallMillis m_wall = 0;  ///< Wall clock of the log service when it was appended.
  std::string m_bytes;
  friend bool operator==(const LogEntry&, const LogEntry&) = default;
};

/// Answer to a read.
struct LogChunk {
  core::LogOffset m_first = 0;      ///< Oldest offset that is still retained.
  core::LogOffset m_next = 0;       ///< Offset that the next append gets.
  std::vector<LogEntry> m_entries;  ///< In order; empty when no entry arrived within the wait.
  friend bool operator==(const LogChunk&, const LogChunk&) = default;
};

struct LogReadOptions {
  core::LogOffset m_from = 0;
  std::size_t m_max_entries = 256;
  core::Duration m_wait{};  ///< Long poll: how long the service may wait for a first entry.
};

/// Client of the log service. Members may be called from any thread and block until the answer.
class LogService {
 public:
  LogService() = default;
  virtual ~LogService() = default;
  LogService(const LogService&) = delete;
  LogService& operator=(const LogService&) = delete;

  /// Appends `bytes` to `stream` and returns its offset.
  ///
  /// Fails with kLogUnavailable when nothing was written, and with kTimeout when there was no
  /// answer, which leaves open whether the write takes effect.
  [[nodiscard]] virtual core::Result<core::LogOffset> Append(const std::string& stream,
                                                             std::string_view bytes) = 0;

  /// Reads entries from `options.m_from`, or from the oldest retained entry when that one was
  /// dropped. Fails with kLogUnavailable, kTimeout or kBadMessage.
  [[nodiscard]] virtual core::Result<LogChunk> Read(const std::string& stream,
                                                    const LogReadOptions& options) = 0;
};

/// Returns a client of the log service at `base_url`, which speaks JSON over HTTP. Each call ends
/// within `timeout` (plus the wait of a read). After a call without an answer, later calls use
/// new connections, because an established connection may stop delivering data while new ones work.
///
/// Example: `auto log = NewHttpLogService("http://127.0.0.1:7400", 2s);`
[[nodiscard]] std::unique_ptr<LogService> NewHttpLogService(const std::string& base_url,
                                                            core::Duration timeout);

}  // namespace ebonypin::platform
