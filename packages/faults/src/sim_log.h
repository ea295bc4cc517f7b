/// Simulated log service.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sim.h"

namespace ebonypin::faults {

struct StoredBatch {
  core::LogOffset m_offset = 0;
  Duration m_at{};
  core::LogBatch m_batch;
};

struct LogStream {
  std::vector<StoredBatch> m_batches;
  core::LogOffset m_first = 1;  ///< First retained offset.
};

struct SimLog {
  std::map<std::string, LogStream> m_streams;
  std::optional<Duration> m_retention;
};

struct LogRead {
  bool m_failed = false;
  core::LogOffset m_first = 1;
  std::vector<StoredBatch> m_batches;  ///< All retained batches after the requested offset.
};

/// Appends `batch` for `process` and passes to `done` whether the log confirmed it. An append that
/// is not confirmed may have taken effect, or may still do so later.
void Append(Sim& sim, SimLog& log, Process& process, const std::string& stream,
            const core::LogBatch& batch, std::function<void(bool)> done);

/// Reads all retained batches after the offset `after`.
void Read(Sim& sim, SimLog& log, Process& process, const std::string& stream, core::LogOffset after,
          std::function<void(LogRead)> done);

/// Drops batches that are older than the retention.
void Truncate(Sim& sim, SimLog& log);

/// Returns the name by which the history refers to `outcome`.
[[nodiscard]] std::string OutcomeName(core::JobOutcome outcome);

}  // namespace ebonypin::faults
