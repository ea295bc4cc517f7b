/// Stand-in of the log service in virtual time.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sim.h"

namespace ebonypin::faults {

struct LogEntry {
  core::LogOffset m_offset = 0;
  Duration m_at{};
  core::LogBatch m_batch;
};

struct LogStream {
  std::vector<LogEntry> m_entries;
  core::LogOffset m_first = 1;  ///< First retained offset.
};

struct SimLog {
  std::map<std::string, LogStream> m_streams;
  std::optional<Duration> m_retention;
};

struct LogRead {
  bool m_failed = false;
  core::LogOffset m_first = 1;
  std::vector<LogEntry> m_entries;  ///< All retained ones after the offset asked for.
};

/// Appends for `process`; `done` gets whether the log confirmed it. Without confirmation it may
/// have taken effect, or may do so later.
void Append(Sim& sim, SimLog& log, Process& process, const std::string& stream,
            const core::LogBatch& batch, std::function<void(bool)> done);

/// Reads everything after `after`.
void Read(Sim& sim, SimLog& log, Process& process, const std::string& stream, core::LogOffset after,
          std::function<void(LogRead)> done);

/// Drops what is older than the retention.
void Truncate(Sim& sim, SimLog& log);

/// Returns the name of an outcome in the history.
[[nodiscard]] std::string OutcomeName(core::JobOutcome outcome);

}  // namespace ebonypin::faults
