/// State machine of an entry for the jobs of the shards that it owns.
///
/// The driver applies the log to a JobTable, passes events to the functions below and carries out
/// the returned actions. No action depends on a record before it was read back from the log.
/// Example:
///
///     Apply(table, offset, batch, events);
///     Perform(OnJobEvents(owner, {table, policy, now}, events));
///     OnLogRead(owner, asked);  // the read reached the end of the log
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "ebonypin/core/entry_members.h"
#include "ebonypin/core/job_table.h"
#include "ebonypin/core/messages.h"
#include "ebonypin/core/time.h"

namespace ebonypin::core {

/// Time limits of leases and grants; see docs/recovery.md. Tests may shorten them.
struct JobOwnerOptions {
  EntryId m_entry;
  Incarnation m_incarnation = 0;
  Duration m_grant = std::chrono::seconds{10};       ///< Lifetime of a grant on the agent's clock.
  Duration m_reservation = std::chrono::seconds{3};  ///< Lifetime of a reservation at an agent.
  /// No grants later than this after a log read.
  Duration m_authority = std::chrono::seconds{120};
  /// Time without heartbeats after which an agent is removed.
  Duration m_agent_removal_timeout = std::chrono::seconds{10};
  /// Longest wait for the end of a non-idempotent run.
  Duration m_unresolved_timeout = std::chrono::minutes{10};
  Duration m_clock_margin = std::chrono::milliseconds{500};
  std::int64_t m_clock_error_percent = 1;  ///< Largest difference of clock rates, in percent.
  /// New attempts wait while the last log read is older.
  Duration m_max_log_age = std::chrono::seconds{2};
  /// Time until a record that was not read back is appended again.
  Duration m_read_back_timeout = std::chrono::seconds{5};
  Duration m_call_deadline = std::chrono::seconds{2};
  std::size_t m_max_starting = 256;  ///< Limit of jobs between reservation and start.
};

/// Result of a placement: run on an agent, retry later, or no worker is large enough.
enum class OwnerPlacementKind : std::uint8_t { kAgent, kLater, kNeverFits };

struct OwnerPlacement {
  OwnerPlacementKind m_kind = OwnerPlacementKind::kLater;
  AgentId m_agent;                ///< For kAgent.
  Incarnation m_incarnation = 0;  ///< For kAgent.
  std::string m_reason;  ///< For the caller or operator; for kNeverFits the missing resource.
};

/// Callbacks that the state machine uses for decisions and information.
struct OwnerPolicy {
  /// Chooses an agent. Must be set.
  std::function<OwnerPlacement(const JobState&)> m_place;
  /// Returns the class in force, or nullptr. Jobs of unknown classes count as exclusive and
  /// non-idempotent. Must be set.
  std::function<const ClassSpec*(const ClassName&)> m_class;
  /// Returns whether the agent's heartbeats arrive. Must be set.
  std::function<bool(const AgentId&)> m_is_live;
  /// Returns the expected run time. When not set, the declared run time is used.
  std::function<Duration(const WorkRequest&)> m_expected_run;
};

/// Identifies an outstanding call of the owner to an agent.
using OwnerCallId = std::uint64_t;
/// Identifies a received TaskReport; the driver sends the reply for it.
using ReportCallId = std::uint64_t;

/// State of an owned job.
enum class OwnedStage : std::uint8_t {
  kWaiting,    ///< No current attempt; ready for placement or in backoff.
  kReserving,  ///< ReserveRequest sent.
  kAssigning,  ///< JobAssigned appended, not yet read back.
  kStarting,   ///< StartRequest sent.
  kRunning,    ///< The agent confirmed the attempt.
  /// The attempt's state is unknown; FenceRequest is repeated until it is known or decided.
  kProbing,
  kCancelling,  ///< CancelRequest sent.
  kEnding,      ///< JobRequeued or JobFinished appended, not yet read back.
};

/// Record that ends the attempt: none, JobRequeued or JobFinished.
enum class AttemptEnd : std::uint8_t { kNone, kRequeue, kFinish };

struct OwnedJob {
  OwnedStage m_stage = OwnedStage::kWaiting;
  bool m_exclusive = false;
  bool m_non_idempotent = false;
  bool m_may_have_started = false;  ///< A start was sent, or a former owner may have sent one.
  bool m_agent_removed = false;     ///< The agent was removed since the attempt was last confirmed.
  bool m_agent_replaced = false;    ///< The agent's process was replaced since then.
  std::uint32_t m_failures = 0;     ///< Failures since the last progress, for backoff.
  std::string m_last_refusal;       ///< Why the last placement or reservation failed.
  Attempt m_attempt = 0;
  OwnerCallId m_call = 0;  ///< Outstanding call; 0 for none.
  AgentId m_agent;
  Incarnation m_agent_incarnation = 0;
  std::uint64_t m_reservation = 0;
  Time m_latest_start;  ///< Ready jobs are placed in this order, least slack first.
  Time m_due = Time::max();
  Time m_own_grants_end;     ///< By then all grants of this owner have ended.
  Time m_former_grants_end;  ///< By then all grants of former owners have ended.
  Time m_probe_since;        ///< Start of the current probing.
  AttemptEnd m_end = AttemptEnd::kNone;
  JobOutcome m_outcome = JobOutcome::kUnknown;
  std::string m_result_or_checkpoint;  ///< Result of a finish, or checkpoint of a requeue.
  std::string m_reason;
  std::vector<ReportCallId> m_reports;  ///< Reports to answer when the end is read back.
};

/// Report about a job that is not in the table.
struct UnknownReport {
  ReportCallId m_call = 0;
  JobId m_job;
  Time m_received;
};

struct JobOwner {
  JobOwnerOptions m_options;
  bool m_caught_up = false;  ///< The log was read to its end once; no decisions are made before.
  Time m_last_log_read;
  std::array<Epoch, kShardCount> m_epochs{};  ///< Epochs of owned shards; 0 when not owned.
  std::array<Time, kShardCount> m_claim_due{};
  std::array<std::optional<Time>, kShardCount> m_releasing;  ///< Start of the release.
  std::array<Time, kShardCount> m_release_due{};
  std::array<Time, kShardCount> m_rewrite_due{};
  std::unordered_map<JobId, OwnedJob> m_jobs;
  std::set<std::pair<Time, JobId>> m_ready;   ///< Jobs to place, by latest start.
  std::set<std::pair<Time, JobId>> m_timers;  ///< Jobs by `m_due`.
  std::unordered_map<OwnerCallId, JobId> m_calls;
  OwnerCallId m_last_call = 0;
  std::unordered_map<AgentId, Incarnation> m_agents;  ///< Newest known incarnation.
  std::set<std::pair<Time, JobId>> m_held_reports;    ///< Jobs with held reports, by receive time.
  std::vector<UnknownReport> m_unknown_reports;
  std::size_t m_starting = 0;  ///< Number of jobs in kReserving, kAssigning and kStarting.
};

/// Append a record to the region's job stream. It takes effect when it is read back.
struct AppendRecord {
  LogRecord m_record;
};

/// Call an agent with a ReserveRequest, StartRequest, FenceRequest or CancelRequest; the outcome is
/// passed to OnAgentReply.
struct CallAgent {
  OwnerCallId m_call = 0;
  AgentId m_agent;
  Message m_request;
  Duration m_deadline{};
};

/// Reply to a TaskReport. Only the id of the reply's `m_owner` is set.
struct ReplyToReport {
  ReportCallId m_call = 0;
  TaskReportReply m_reply;
};

using OwnerAction = std::variant<AppendRecord, CallAgent, ReplyToReport>;
/// Actions in the order in which the driver carries them out.
using OwnerActions = std::vector<OwnerAction>;

/// Inputs of every event function.
struct OwnerContext {
  const JobTable& m_table;
  const OwnerPolicy& m_policy;
  Time m_now;
};

/// Further inputs of OnTick.
struct TickInput {
  ShardPlan m_plan;                ///< From PlanShards.
  LogOffset m_rewrite_before = 0;  ///< Records before this offset are rewritten; see OffsetBefore.
  /// Records before this offset are rewritten also in shards of other entries, whose owner may have
  /// started too late to know them. Must be smaller than `m_rewrite_before`.
  LogOffset m_rewrite_late_before = 0;
};

[[nodiscard]] JobOwner MakeJobOwner(JobOwnerOptions options);

/// Returns `wait` plus the clock error and margin. After this time on the local clock, `wait` has
/// passed on every clock.
[[nodiscard]] Duration AddClockMargin(const JobOwnerOptions& options, Duration wait) noexcept;

/// Handles a read of the log that was requested at `asked`, reached the log's end, and whose events
/// were passed to OnJobEvents.
void OnLogRead(JobOwner& owner, Time asked);

/// Handles events of the table, after their batches were applied.
[[nodiscard]] OwnerActions OnJobEvents(JobOwner& owner, const OwnerContext& context,
                                       std::span<const JobEvent> events);

/// Handles the outcome of a CallAgent: the reply, or an Error. An Error with kNoCapacity means that
/// the call was not sent; after any other Error the agent may or may not have acted. Outcomes of
/// superseded calls are ignored.
[[nodiscard]] OwnerActions OnAgentReply(JobOwner& owner, const OwnerContext& context,
                                        OwnerCallId call, const Message& reply);

/// Handles a report of an agent. It is answered at once when no record has to be read back or the
/// log is unavailable.
[[nodiscard]] OwnerActions OnTaskReport(JobOwner& owner, const OwnerContext& context,
                                        ReportCallId call, const TaskReport& report);

/// Handles a heartbeat and returns the grants for its reply.
[[nodiscard]] std::vector<Grant> OnHeartbeat(JobOwner& owner, const OwnerContext& context,
                                             const Heartbeat& heartbeat);

/// Handles the removal of an agent that sent no heartbeats.
[[nodiscard]] OwnerActions OnAgentRemoved(JobOwner& owner, const OwnerContext& context,
                                          const AgentId& agent);

/// Carries out due work: handles timers, claims and releases shards, rewrites old records and
/// places ready jobs. Call it every 100 ms.
[[nodiscard]] OwnerActions OnTick(JobOwner& owner, const OwnerContext& context,
                                  const TickInput& input);

/// Returns whether this process owns `shard` according to the part of the log that it has read.
[[nodiscard]] bool OwnsShard(const JobOwner& owner, const JobTable& table,
                             ShardIndex shard) noexcept;

/// Returns the number of owned attempts that are unresolved: non-idempotent, with an unknown end.
[[nodiscard]] std::size_t UnresolvedCount(const JobOwner& owner) noexcept;

}  // namespace ebonypin::core
