/// Jobs of the region: acceptance, status, cancellation, and waiting for the end of a job.
#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "../event_thread.h"
#include "ebonypin/core/job_table.h"
#include "ebonypin/platform/log_tail.h"
#include "log_stream.h"

namespace ebonypin::daemon {

/// State of a job as shown to callers.
struct JobView {
  core::JobId m_job;
  core::RequestId m_request;
  core::ClassName m_class;
  std::string m_key;
  bool m_closed = false;
  bool m_assigned = false;
  bool m_cancel_requested = false;
  core::Attempt m_attempt = 0;
  core::AgentId m_agent;
  core::WallMillis m_accepted_wall = 0;
  core::LogOffset m_accepted_offset = 0;
  core::JobOutcome m_outcome = core::JobOutcome::kUnknown;  ///< Valid when `m_closed`.
  std::string m_result;
  bool m_result_dropped = false;
};

/// Outcome of the acceptance of a job.
struct AcceptOutcome {
  core::AnswerKind m_kind = core::AnswerKind::kUnknown;  ///< kAccepted, kNotRun or kUnknown.
  core::JobId m_job;  ///< The job, or the earlier one with the same key; empty for kNotRun.
  std::optional<core::Error> m_error;
};

/// Outcome of a cancellation. `m_job` is absent when the job is unknown.
struct CancelOutcome {
  std::optional<JobView> m_job;
  std::optional<core::Error> m_error;
  bool m_unknown = false;  ///< The cancellation may take effect later.
};

struct JobServiceOptions {
  core::EntryId m_entry;
  core::Incarnation m_incarnation = 0;
};

/// Callbacks for changes of the job table. They run on the tail's thread under the table's lock and
/// must not block.
struct JobTableCallbacks {
  /// A batch was applied to the table.
  std::function<void(const core::JobTable&, const std::vector<core::JobEvent>&)> m_on_events;
  /// The table was reset because of a gap in the log.
  std::function<void()> m_on_reset;
};

/// All members may be used from any thread. Functions passed in are called from any thread.
class JobService {
 public:
  JobService(EventThread& events, JobServiceOptions options, JobTableCallbacks callbacks);

  /// Returns the reader that applies the stream to the job table.
  [[nodiscard]] LogReader Reader();
  /// Sets the stream to which records are appended.
  void SetStream(LogStream* stream) { m_stream = stream; }

  /// Appends `request` to the log as a job and returns the job's id. `done` is called once, after
  /// the record was read back or could not be. When an earlier job has the same key, `done` gets
  /// that job's id instead.
  core::JobId Accept(core::WorkRequest request, std::function<void(const AcceptOutcome&)> done);

  /// Appends a cancellation of `job` unless the job is closed or unknown. `done` gets the state of
  /// the job after the read-back.
  void Cancel(const core::JobId& job, std::function<void(const CancelOutcome&)> done);

  [[nodiscard]] std::optional<JobView> Find(const core::JobId& job) const;

  /// Calls `done` when `job` has ended, or at `until`. `done` gets std::nullopt when the job is
  /// unknown.
  void WaitForEnd(const core::JobId& job, core::Time until,
                  std::function<void(const std::optional<JobView>&)> done);

  /// Ends all waits immediately, for a planned stop.
  void EndWaits();

  /// Runs `use` on the table under its lock. `use` must not block.
  void WithTable(const std::function<void(const core::JobTable&)>& use) const;

 private:
  struct Wait {
    core::JobId m_job;
    std::function<void(const std::optional<JobView>&)> m_done;
  };

  void OnBatch(const platform::TailBatch& batch);
  void OnGap();
  [[nodiscard]] std::optional<JobView> FindLocked(const core::JobId& job) const;
  [[nodiscard]] AcceptOutcome AcceptedAs(const core::JobId& job, const std::string& key) const;
  void EndWait(std::uint64_t id);

  EventThread& m_events;
  const JobServiceOptions m_options;
  const JobTableCallbacks m_callbacks;
  LogStream* m_stream = nullptr;
  mutable std::mutex m_mutex;
  core::JobTable m_table;
  std::uint64_t m_last_job = 0;
  std::uint64_t m_last_wait = 0;
  std::map<std::uint64_t, Wait> m_waits;
  std::unordered_multimap<core::JobId, std::uint64_t> m_waits_of_job;
};

}  // namespace ebonypin::daemon
