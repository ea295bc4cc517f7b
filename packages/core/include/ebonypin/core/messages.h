/// Messages between the processes of the system. The wire package encodes them.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "ebonypin/core/fleet/messages.h"
#include "ebonypin/core/records.h"

namespace ebonypin::core {

/// Identity and addresses of an entry.
struct EntryInfo {
  EntryId m_entry;
  Incarnation m_incarnation = 0;
  std::string m_rpc_address;
  std::string m_http_address;
  bool m_leaving = false;
  friend bool operator==(const EntryInfo&, const EntryInfo&) = default;
};

/// Load of an agent, carried in heartbeats and in every reply of an agent.
struct AgentLoad {
  Resources m_committed;
  std::uint32_t m_slots_busy = 0;
  std::uint32_t m_queued = 0;
  std::uint32_t m_latency_us = 0;  ///< Recent median service latency at this agent.
  bool m_draining = false;
  friend bool operator==(const AgentLoad&, const AgentLoad&) = default;
};

/// One attempt at an agent, listed in heartbeats to renew its grant.
struct AttemptRef {
  JobId m_job;
  Attempt m_attempt = 0;
  Epoch m_epoch = 0;
  friend bool operator==(const AttemptRef&, const AttemptRef&) = default;
};

struct Heartbeat {
  AgentId m_agent;
  Incarnation m_incarnation = 0;
  DomainName m_domain;
  std::string m_rpc_address;
  Resources m_capacity;
  std::uint32_t m_slots = 0;
  AgentLoad m_load;
  LogOffset m_config_offset = 0;
  std::vector<AttemptRef> m_attempts;
  std::vector<EntryInfo> m_known_entries;
  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

/// Decision of a shard's owner whether an attempt may go on.
struct Grant {
  JobId m_job;
  Attempt m_attempt = 0;
  Epoch m_epoch = 0;  ///< Epoch of the granting owner.
  /// When false, a newer epoch or attempt tells the agent to stop the attempt.
  bool m_granted = false;
  friend bool operator==(const Grant&, const Grant&) = default;
};

struct HeartbeatReply {
  std::vector<Grant> m_grants;  ///< Only for attempts whose shard the sender owns.
  std::vector<EntryInfo> m_entries;
  std::vector<ClassSpec> m_classes;  ///< All classes, when the agent's configuration is older.
  LogOffset m_config_offset = 0;
  bool m_drain = false;  ///< Whether operators drain this worker.
  friend bool operator==(const HeartbeatReply&, const HeartbeatReply&) = default;
};

struct EntryHeartbeat {
  EntryInfo m_self;
  LogOffset m_config_offset = 0;
  /// Distinct known worker capacities, to decide kNeverFits.
  std::vector<Resources> m_worker_sizes;
  friend bool operator==(const EntryHeartbeat&, const EntryHeartbeat&) = default;
};

struct EntryHeartbeatReply {
  EntryInfo m_self;
  std::vector<EntryInfo> m_entries;
  std::vector<ClassSpec> m_classes;  ///< All classes, when the sender's configuration is older.
  LogOffset m_config_offset = 0;
  std::vector<AgentId> m_drained_agents;  ///< Sent with `m_classes`.
  friend bool operator==(const EntryHeartbeatReply&, const EntryHeartbeatReply&) = default;
};

/// Runs a synchronous request at an endpoint.
struct RunRequest {
  RequestId m_request;
  /// Distinguishes tries of one request, so that a late reply is not taken for another try's.
  std::uint64_t m_try = 0;
  Incarnation m_incarnation = 0;
  ClassName m_class;
  Resources m_size;
  Duration m_expected_run{};
  Duration m_start_within{};  ///< The agent refuses the request when its predicted start is later.
  Duration m_time_left{};     ///< The caller's remaining time.
  std::string m_payload;
  friend bool operator==(const RunRequest&, const RunRequest&) = default;
};

struct RunReply {
  RequestId m_request;
  std::uint64_t m_try = 0;
  AnswerKind m_kind = AnswerKind::kUnknown;
  Error m_error;
  std::string m_result;
  std::uint64_t m_result_hash = 0;  ///< StableHash of `m_result`.
  AgentLoad m_load;
  friend bool operator==(const RunReply&, const RunReply&) = default;
};

/// Holds capacity for an attempt until it starts or the reservation expires.
struct ReserveRequest {
  JobId m_job;
  Attempt m_attempt = 0;
  Epoch m_epoch = 0;
  Incarnation m_incarnation = 0;
  ClassName m_class;
  Resources m_size;
  Duration m_expected_run{};
  friend bool operator==(const ReserveRequest&, const ReserveRequest&) = default;
};

struct ReserveReply {
  bool m_granted = false;
  std::uint64_t m_reservation = 0;
  Error m_error;  ///< Meaningful when not granted.
  AgentLoad m_load;
  friend bool operator==(const ReserveReply&, const ReserveReply&) = default;
};

/// Starts a reserved attempt. Sent only after its JobAssigned record was read back from the log.
struct StartRequest {
  JobId m_job;
  Attempt m_attempt = 0;
  Epoch m_epoch = 0;
  Incarnation m_incarnation = 0;
  std::uint64_t m_reservation = 0;
  bool m_exclusive = false;
  std::string m_checkpoint;
  std::string m_payload;
  friend bool operator==(const StartRequest&, const StartRequest&) = default;
};

struct StartReply {
  bool m_started = false;  ///< True also when this attempt had been started before.
  Error m_error;           ///< Set when not started: the attempt has not run and will not run.
  AgentLoad m_load;
  friend bool operator==(const StartReply&, const StartReply&) = default;
};

struct CancelRequest {
  JobId m_job;  ///< Either the job or the request is set.
  RequestId m_request;
  Epoch m_epoch = 0;
  friend bool operator==(const CancelRequest&, const CancelRequest&) = default;
};

struct CancelReply {
  bool m_stopped = false;  ///< Whether the work neither runs here now nor will run here later.
  friend bool operator==(const CancelReply&, const CancelReply&) = default;
};

/// Fences attempts up to and including `m_attempt`: those that are not running never start here.
struct FenceRequest {
  JobId m_job;
  Attempt m_attempt = 0;
  Epoch m_epoch = 0;
  bool m_stop = false;  ///< Also stops a running attempt, at a checkpoint.
  friend bool operator==(const FenceRequest&, const FenceRequest&) = default;
};

/// State of an attempt at an agent.
enum class AttemptPhase : std::uint8_t { kNeverStarted, kRunning, kStopped, kEnded };

struct FenceReply {
  AttemptPhase m_phase = AttemptPhase::kNeverStarted;
  Incarnation m_incarnation = 0;
  std::string m_checkpoint;
  JobOutcome m_outcome = JobOutcome::kUnknown;  ///< Meaningful for kEnded.
  std::string m_result;
  friend bool operator==(const FenceReply&, const FenceReply&) = default;
};

/// Reports the end or eviction of an attempt; repeated until acknowledged.
struct TaskReport {
  AgentId m_agent;
  Incarnation m_incarnation = 0;
  JobId m_job;
  Attempt m_attempt = 0;
  AttemptPhase m_phase = AttemptPhase::kEnded;  ///< kEnded, or kStopped for an eviction.
  JobOutcome m_outcome = JobOutcome::kSucceeded;
  std::string m_result;
  std::string m_checkpoint;
  Duration m_run_time{};
  Resources m_used;
  friend bool operator==(const TaskReport&, const TaskReport&) = default;
};

struct TaskReportReply {
  /// The end is in the log or no longer counts; the agent may forget the report.
  bool m_acknowledged = false;
  bool m_not_owner = false;
  EntryInfo m_owner;  ///< The owner to report to, when known and not the sender.
  friend bool operator==(const TaskReportReply&, const TaskReportReply&) = default;
};

using Message =
    std::variant<Heartbeat, HeartbeatReply, EntryHeartbeat, EntryHeartbeatReply, RunRequest,
                 RunReply, ReserveRequest, ReserveReply, StartRequest, StartReply, CancelRequest,
                 CancelReply, FenceRequest, FenceReply, TaskReport, TaskReportReply,
                 fleet::AgentReport, fleet::AgentReportReply, fleet::AgentOrders,
                 fleet::AgentOrdersReply, fleet::JobCall, fleet::JobCallReply, fleet::StepDown,
                 fleet::StepDownReply, Error>;

}  // namespace ebonypin::core
