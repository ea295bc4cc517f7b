/// Thread that appends records to one stream by group commit.
///
/// Example:
///
///     LogWriter writer(log, {.m_stream = "jobs.eu", .m_commit = {.m_entry = {"entry-1"}}});
///     writer.Submit(core::JobCancelled{...}, [](const AppendOutcome& outcome) { ... });
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "ebonypin/platform/group_commit.h"
#include "ebonypin/platform/log_service.h"

namespace ebonypin::platform {

/// Receives the outcome of one record. Called exactly once, on a thread of the writer, of the tail
/// or of the submitter; must not block.
using AppendDone = std::function<void(const AppendOutcome&)>;

struct LogWriterOptions {
  std::string m_stream;
  GroupCommitOptions m_commit;
};

/// Writer of one stream. All members may be used from any thread.
class LogWriter {
 public:
  LogWriter(LogService& log, LogWriterOptions options);
  /// Stops the threads. Records without an outcome are reported as not appended or unknown.
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  /// Queues `record`. When the queue is full, `done` gets kNotAppended before this returns.
  void Submit(core::LogRecord record, AppendDone done);

  /// Notifies the writer of a batch that the tail has read. Call it after the batch was applied to
  /// the state.
  void OnBatch(const std::string& batch_id, core::LogOffset offset);

  /// Returns whether the last append of some batch failed. New records should be refused meanwhile.
  [[nodiscard]] bool IsFailing() const;

  /// Returns the number of records without an outcome.
  [[nodiscard]] std::size_t Pending() const;

  [[nodiscard]] GroupCommitCounters Counters() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace ebonypin::platform
