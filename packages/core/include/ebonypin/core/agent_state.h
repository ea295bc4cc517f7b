/// State of an agent's ledger. Only the functions of agent_ledger.h change it.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "ebonypin/core/messages.h"
#include "ebonypin/core/slot_plan.h"
#include "ebonypin/core/time.h"

namespace ebonypin::core {

/// Identifies one received call at the driver, which keeps its reply function under this number.
using CallId = std::uint64_t;

/// One attempt of a job; also the key of its task at the worker.
struct TaskId {
  JobId m_job;
  Attempt m_attempt = 0;
  friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

/// What the worker is told about a task and tells a later agent when it lists its tasks.
struct TaskSpec {
  TaskId m_task;
  Epoch m_epoch = 0;
  ClassName m_class;
  Resources m_size;
  Duration m_expected_run{};
  bool m_exclusive = false;
  friend bool operator==(const TaskSpec&, const TaskSpec&) = default;
};

/// Identity and size of the worker that the agent commits.
struct AgentOptions {
  AgentId m_agent;
  Incarnation m_incarnation = 0;
  DomainName m_domain;
  std::string m_rpc_address;
  Resources m_capacity;
  std::uint32_t m_slots = 8;
  std::size_t m_max_queue = 256;  ///< Queued requests; further ones are refused at once.
};

/// One synchronous request, queued or in progress at the endpoint.
struct LedgerRun {
  RunRequest m_request;
  Time m_arrived;
  Time m_latest_start;            ///< Refused as not run when it cannot start by then.
  std::optional<Time> m_started;  ///< Empty while queued.
};

/// Capacity held for an attempt until it starts or the reservation expires.
struct LedgerReservation {
  TaskSpec m_spec;
  Time m_made;
  Time m_expires;
};

enum class AttemptState : std::uint8_t {
  kStarting,  ///< Sent to the worker, not yet confirmed.
  kRunning,
  kStopping,  ///< Told to stop, not yet confirmed.
};

/// A throttle that the worker has not confirmed.
struct SentShare {
  std::uint32_t m_share = 1000;
  std::uint64_t m_version = 0;
  Time m_sent;
};

/// One attempt that holds capacity.
struct LedgerAttempt {
  TaskSpec m_spec;
  AttemptState m_state = AttemptState::kStarting;
  std::string m_payload;     ///< Kept until the start is confirmed.
  std::string m_checkpoint;  ///< Checkpoint to start from.
  Time m_started;
  Time m_last_sent;  ///< When the start or stop was last sent to the worker.
  Time m_last_renewed;
  Time m_grant_until;  ///< Exclusive attempts only.

  // Shares are in thousandths of the task's size; 0 suspends the task.
  std::uint32_t m_share_wanted = 1000;
  std::uint32_t m_share_applied = 1000;   ///< Last share that the worker confirmed.
  std::optional<SentShare> m_share_sent;  ///< Last throttle, while it is not confirmed.

  std::optional<Time> m_suspended;  ///< Since when the attempt has had no grant.
  std::optional<Time> m_preempted;  ///< Since when short work needs the attempt's slot.

  bool m_cancelled = false;
  bool m_result_ignored =
      false;  ///< Its result counts no more: stopped even where no checkpoint is possible.
  bool m_may_have_run = false;       ///< Confirmed once, or sent around a restart of the worker.
  bool m_cannot_checkpoint = false;  ///< The worker refused a checkpoint; the task runs on.
};

/// Report of an attempt that holds no capacity any more, kept until acknowledged.
struct LedgerReport {
  TaskReport m_report;
  std::string m_to;  ///< RPC address of the owner when known.
  Time m_next_send;
  Duration m_backoff{};
};

/// What remains of an attempt after its report was acknowledged.
struct LedgerEndedAttempt {
  AttemptPhase m_phase = AttemptPhase::kEnded;
  JobOutcome m_outcome = JobOutcome::kUnknown;
};

/// Counters since the start, for metrics.
struct AgentCounters {
  std::uint64_t m_runs_done = 0;
  std::uint64_t m_runs_refused = 0;
  std::uint64_t m_runs_unknown = 0;
  std::uint64_t m_starts = 0;
  std::uint64_t m_starts_refused = 0;
  std::uint64_t m_reservations_expired = 0;
  std::uint64_t m_suspensions = 0;
  std::uint64_t m_throttles = 0;
  std::uint64_t m_preemptions = 0;  ///< Batch attempts whose slot was taken back.
  std::uint64_t m_evictions = 0;
  std::uint64_t m_cancelled = 0;
};

/// Everything an agent knows.
struct AgentLedger {
  AgentOptions m_options;
  bool m_ready = false;     ///< The worker's tasks are known; no work is taken before.
  bool m_stopping = false;  ///< Planned stop of this process.
  bool m_drained_by_operator = false;
  Time m_drain_began;

  std::map<CallId, LedgerRun> m_runs;
  std::set<std::pair<Time, CallId>> m_queue;  ///< Queued runs by latest start, least slack first.
  std::multimap<RequestId, CallId> m_calls_of_request;
  std::map<RequestId, Time> m_cancelled_requests;

  std::map<std::uint64_t, LedgerReservation> m_reservations;
  std::uint64_t m_last_reservation = 0;
  std::map<TaskId, LedgerAttempt> m_attempts;
  std::map<JobId, Attempt> m_fences;  ///< Attempts up to this one never start here.
  std::map<TaskId, LedgerReport> m_reports;
  std::size_t m_report_bytes = 0;
  std::map<TaskId, LedgerEndedAttempt> m_ended_attempts;
  std::deque<std::pair<Time, JobId>> m_fence_order;   ///< Oldest first, for forgetting.
  std::deque<std::pair<Time, TaskId>> m_ended_order;  ///< Oldest first, for forgetting.

  std::array<Epoch, kShardCount> m_epochs{};
  std::array<std::string, kShardCount> m_owners;  ///< RPC addresses of shard owners, when known.
  std::vector<ClassSpec> m_classes;
  LogOffset m_config_offset = 0;

  Resources m_request_peak;  ///< Decaying peak of what requests commit, kept free of batch work.
  Time m_request_peak_decayed;
  std::map<ClassName, double> m_run_us;  ///< Learned run time per class.
  std::deque<std::uint32_t> m_recent_run_us;
  std::uint32_t m_batch_share = 1000;  ///< Share that batch attempts may use, in thousandths.
  Time m_batch_share_changed;
  std::uint64_t m_last_throttle_version = 0;  ///< Of throttles.
  SlotPlanState m_slot_plan;
  std::uint32_t m_admit = 0;  ///< Further batch tasks that the last plan lets start.
  Time m_planned;             ///< When the slots were planned last.

  AgentCounters m_counters;
};

}  // namespace ebonypin::core
