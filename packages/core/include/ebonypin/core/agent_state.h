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

/// Identifies a received call; the driver keeps the call's reply function under this number.
using CallId = std::uint64_t;

/// One attempt of a job; also the key of its task at the worker.
struct TaskId {
  JobId m_job;
  Attempt m_attempt = 0;
  friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

/// Description of a task. The worker stores it and returns it to a later agent in its task list.
struct TaskSpec {
  TaskId m_task;
  Epoch m_epoch = 0;
  ClassName m_class;
  Resources m_size;
  Duration m_expected_run{};
  bool m_exclusive = false;
  friend bool operator==(const TaskSpec&, const TaskSpec&) = default;
};

/// Identity of the agent and capacity of its worker.
struct AgentOptions {
  AgentId m_agent;
  Incarnation m_incarnation = 0;
  DomainName m_domain;
  std::string m_rpc_address;
  Resources m_capacity;
  std::uint32_t m_slots = 8;
  std::size_t m_max_queue = 256;  ///< Limit of queued requests; further ones are refused at once.
};

/// One synchronous request, queued or in progress at the endpoint.
struct LedgerRun {
  RunRequest m_request;
  Time m_arrived;
  Time m_latest_start;  ///< The request is refused as not run when it cannot start by then.
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
  kStopping,  ///< Stop sent to the worker, not yet confirmed.
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
  Time m_grant_until;  ///< End of the grant; exclusive attempts only.

  // Shares are in thousandths of the task's size; 0 suspends the task.
  std::uint32_t m_share_wanted = 1000;
  std::uint32_t m_share_applied = 1000;   ///< Last share that the worker confirmed.
  std::optional<SentShare> m_share_sent;  ///< Last throttle, until the worker confirms it.

  std::optional<Time> m_suspended;  ///< Start of the suspension due to a missing grant.
  std::optional<Time> m_preempted;  ///< When the slot was taken back for requests.

  bool m_cancelled = false;
  /// The result no longer counts; stopped even when no checkpoint is possible.
  bool m_result_ignored = false;
  bool m_may_have_run = false;       ///< Start confirmed, or sent around a restart of the worker.
  bool m_cannot_checkpoint = false;  ///< The worker refused a checkpoint; the task runs on.
};

/// Report of an attempt that no longer holds capacity, kept until acknowledged.
struct LedgerReport {
  TaskReport m_report;
  std::string m_to;  ///< RPC address of the owner; empty when not known.
  Time m_next_send;
  Duration m_backoff{};
};

/// End of an attempt whose report was acknowledged, kept to answer repeated messages.
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
  std::uint64_t m_preemptions = 0;  ///< Batch attempts whose slot was taken back for requests.
  std::uint64_t m_evictions = 0;
  std::uint64_t m_cancelled = 0;
};

/// State of an agent.
struct AgentLedger {
  AgentOptions m_options;
  bool m_ready = false;     ///< The worker's tasks are known; no work is accepted before.
  bool m_stopping = false;  ///< The planned stop of this process has begun.
  bool m_drained_by_operator = false;
  Time m_drain_began;

  std::map<CallId, LedgerRun> m_runs;
  /// Queued requests by latest start, least slack first.
  std::set<std::pair<Time, CallId>> m_queue;
  std::multimap<RequestId, CallId> m_calls_of_request;
  std::map<RequestId, Time> m_cancelled_requests;

  std::map<std::uint64_t, LedgerReservation> m_reservations;
  std::uint64_t m_last_reservation = 0;
  std::map<TaskId, LedgerAttempt> m_attempts;
  std::map<JobId, Attempt> m_fences;  ///< Attempts up to and including this one never start here.
  std::map<TaskId, LedgerReport> m_reports;
  std::size_t m_report_bytes = 0;
  std::map<TaskId, LedgerEndedAttempt> m_ended_attempts;
  std::deque<std::pair<Time, JobId>> m_fence_order;   ///< Oldest first, for removal.
  std::deque<std::pair<Time, TaskId>> m_ended_order;  ///< Oldest first, for removal.

  std::array<Epoch, kShardCount> m_epochs{};
  /// RPC addresses of shard owners; empty when not known.
  std::array<std::string, kShardCount> m_owners;
  std::vector<ClassSpec> m_classes;
  LogOffset m_config_offset = 0;

  /// Decaying peak of resources committed to requests; not available to batch work.
  Resources m_request_peak;
  Time m_request_peak_decayed;
  /// Moving average of the run time per class, in microseconds.
  std::map<ClassName, double> m_run_us;
  std::deque<std::uint32_t> m_recent_run_us;
  /// Share of their size that batch attempts may use, in thousandths.
  std::uint32_t m_batch_share = 1000;
  Time m_batch_share_changed;
  std::uint64_t m_last_throttle_version = 0;  ///< Version of the last throttle.
  SlotPlanState m_slot_plan;
  std::uint32_t m_admit = 0;  ///< Further batch tasks that may start under the last slot plan.
  Time m_planned;             ///< Time of the last slot plan.

  AgentCounters m_counters;
};

}  // namespace ebonypin::core
