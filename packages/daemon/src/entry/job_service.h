/// Jobs of the region: acceptance, status, cancellation and waiting for their end.
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

/// What a caller may see of a job.
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
  core::JobOutcome m_outcome = core::JobOutcome::kUnknown;  ///< Meaningful when closed.
  std::string m_result;
  bool m_result_dropped = false;
};

/// How the acceptance of a job ended.
struct AcceptOutcome {
  core::AnswerKind m_kind = core::AnswerKind::kUnknown;  ///< kAccepted, kNotRun or kUnknown.
  core::JobId m_job;  ///< The job, or the earlier one with the same key; empty for kNotRun.
  std::optional<core::Error> m_error;
};

/// How a cancellation ended; `m_job` is absent when the job is unknown.
struct CancelOutcome {
  std::optional<JobView> m_job;
  std::optional<core::Error> m_error;
  bool m_unknown = false;  ///< The cancellation may take effect later.
};

struct JobServiceOptions {
  core::EntryId m_entry;
  core::Incarnation m_incarnation = 0;
};

/// Called on the tail's thread under the table's lock; must not block.
struct JobTableReader {
  /// A batch was folded.
  std::function<void(const core::JobTable&, const std::vector<core::JobEvent>&)> m_on_events;
  /// The table begins anew behind a gap in the log.
  std::function<void()> m_on_reset;
};

/// All members may be used from any thread. Functions passed in are called from any thread.
class JobService {
 public:
  JobService(EventThread& events, JobServiceOptions options, JobTableReader reader);

  /// Returns the part that folds the stream, and sets the stream that records go to.
  [[nodiscard]] LogReader Reader();
  void SetStream(LogStream* stream) { m_stream = stream; }

  /// Records `request` as a job and returns its id. `done` is called once, after the read-back; it
  /// may name an earlier job with the same key instead.
  core::JobId Accept(core::WorkRequest request, std::function<void(const AcceptOutcome&)> done);

  void Cancel(const core::JobId& job, std::function<void(const CancelOutcome&)> done);

  [[nodiscard]] std::optional<JobView> Find(const core::JobId& job) const;

  /// Calls `done` when `job` has ended, or at `until`; without a view when the job is unknown.
  void WaitForEnd(const core::JobId& job, core::Time until,
                  std::function<void(const std::optional<JobView>&)> done);

  /// Ends all waits now, for a planned stop.
  void EndWaits();

  /// Runs `use` with the table under its lock; must not block.
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
  const JobTableReader m_reader;
  LogStream* m_stream = nullptr;
  mutable std::mutex m_mutex;
  core::JobTable m_table;
  std::uint64_t m_last_job = 0;
  std::uint64_t m_last_wait = 0;
  std::map<std::uint64_t, Wait> m_waits;
  std::unordered_multimap<core::JobId, std::uint64_t> m_waits_of_job;
};

}  // namespace ebonypin::daemon
