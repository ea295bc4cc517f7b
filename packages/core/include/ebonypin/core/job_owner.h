/// State machine of an entry for the jobs of the shards that it owns.
///
/// The driver folds the log into a JobTable, passes what happened to the functions below and
/// carries out the returned actions. No action rests on a record that was not read back. Example:
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

/// Times of the lease arithmetic; see docs/recovery.md. Tests may shorten them.
struct JobOwnerOptions {
  EntryId m_entry;
  Incarnation m_incarnation = 0;
  Duration m_grant = std::chrono::seconds{10};       ///< Lifetime of a grant on the agent's clock.
  Duration m_reservation = std::chrono::seconds{3};  ///< Lifetime of a reservation at an agent.
  Duration m_authority = std::chrono::seconds{120};  ///< Grants stop this long after a log read.
  Duration m_agent_removal_timeout =
      std::chrono::seconds{10};  ///< Silence after which an agent is removed.
  Duration m_unresolved_timeout =
      std::chrono::minutes{10};  ///< Wait for the end of a non-idempotent run.
  Duration m_clock_margin = std::chrono::milliseconds{500};
  std::int64_t m_clock_error_percent = 1;            ///< Largest difference of clock rates.
  Duration m_max_log_age = std::chrono::seconds{2};  ///< Older log reads hold back new attempts.
  Duration m_read_back_timeout = std::chrono::seconds{5};  ///< Then a record is appended again.
  Duration m_call_deadline = std::chrono::seconds{2};
  std::size_t m_max_starting = 256;  ///< Jobs between reservation and start at the same time.
};

/// Where to run a job.
enum class OwnerPlacementKind : std::uint8_t { kAgent, kLater, kNeverFits };

struct OwnerPlacement {
  OwnerPlacementKind m_kind = OwnerPlacementKind::kLater;
  AgentId m_agent;                ///< For kAgent.
  Incarnation m_incarnation = 0;  ///< For kAgent.
  std::string m_reason;           ///< For kNeverFits: the missing resource, for the caller.
};

/// Decisions and knowledge that the state machine asks for.
struct OwnerPolicy {
  /// Chooses an agent. Must be set.
  std::function<OwnerPlacement(const JobState&)> m_place;
  /// Returns the class in force, or nullptr. Jobs of unknown classes count as exclusive and
  /// non-idempotent. Must be set.
  std::function<const ClassSpec*(const ClassName&)> m_class;
  /// Returns whether heartbeats of the agent arrive. Must be set.
  std::function<bool(const AgentId&)> m_is_live;
  /// Returns the expected run time; the declared one is used when this is empty.
  std::function<Duration(const WorkRequest&)> m_expected_run;
};

/// Number by which the owner matches the outcome of a call to the call.
using OwnerCallId = std::uint64_t;
/// Number by which the driver matches a reply to a received TaskReport.
using ReportCallId = std::uint64_t;

/// Where an owned job stands.
enum class OwnedStage : std::uint8_t {
  kWaiting,     ///< No attempt; ready or backing off.
  kReserving,   ///< Reserve sent.
  kAssigning,   ///< JobAssigned appended, not read back.
  kStarting,    ///< Start sent.
  kRunning,     ///< The agent confirmed the attempt.
  kProbing,     ///< The attempt's state is unknown; Fence is repeated until answered or decided.
  kCancelling,  ///< Cancel sent.
  kEnding,      ///< JobRequeued or JobFinished appended, not read back.
};

/// Which record ends the attempt.
enum class AttemptEnd : std::uint8_t { kNone, kRequeue, kFinish };

struct OwnedJob {
  OwnedStage m_stage = OwnedStage::kWaiting;
  bool m_exclusive = false;
  bool m_non_idempotent = false;
  bool m_may_have_started = false;  ///< A Start was sent, or may have been by a former owner.
  bool m_agent_removed = false;     ///< The agent was removed since the attempt was last confirmed.
  bool m_agent_replaced = false;    ///< The agent's process was replaced since then.
  std::uint32_t m_failures = 0;     ///< Since the last progress, for backoff.
  std::string m_last_refusal;       ///< Why the last placement or reservation failed.
  Attempt m_attempt = 0;
  OwnerCallId m_call = 0;  ///< Outstanding call; 0 for none.
  AgentId m_agent;
  Incarnation m_agent_incarnation = 0;
  std::uint64_t m_reservation = 0;
  Time m_latest_start;  ///< Order among waiting jobs: least slack first.
  Time m_due = Time::max();
  Time m_own_grants_end;     ///< All grants of this owner have ended.
  Time m_former_grants_end;  ///< All grants of former owners have ended.
  Time m_probe_since;        ///< Start of the probing that lasts.
  AttemptEnd m_end = AttemptEnd::kNone;
  JobOutcome m_outcome = JobOutcome::kUnknown;
  std::string m_result_or_checkpoint;  ///< Result of a finish, or checkpoint of a requeue.
  std::string m_reason;
  std::vector<ReportCallId> m_reports;  ///< Answered when the end is read back.
};

/// Report about a job that the table does not know.
struct UnknownReport {
  ReportCallId m_call = 0;
  JobId m_job;
  Time m_received;
};

struct JobOwner {
  JobOwnerOptions m_options;
  bool m_caught_up = false;  ///< The log was read to its end once; nothing is decided before.
  Time m_last_log_read;
  std::array<Epoch, kShardCount> m_epochs{};  ///< Of owned shards; 0 when not owned.
  std::array<Time, kShardCount> m_claim_due{};
  std::array<std::optional<Time>, kShardCount> m_releasing;  ///< Since when.
  std::array<Time, kShardCount> m_release_due{};
  std::array<Time, kShardCount> m_rewrite_due{};
  std::unordered_map<JobId, OwnedJob> m_jobs;
  std::set<std::pair<Time, JobId>> m_ready;   ///< By latest start.
  std::set<std::pair<Time, JobId>> m_timers;  ///< By `m_due`.
  std::unordered_map<OwnerCallId, JobId> m_calls;
  OwnerCallId m_last_call = 0;
  std::unordered_map<AgentId, Incarnation> m_agents;  ///< Newest incarnation heard of.
  std::set<std::pair<Time, JobId>> m_held_reports;    ///< Jobs with held reports, by receive time.
  std::vector<UnknownReport> m_unknown_reports;
  std::size_t m_starting = 0;  ///< Jobs in kReserving, kAssigning and kStarting.
};

/// Append a record to the region's job stream. Its effect counts when it is read back.
struct AppendRecord {
  LogRecord m_record;
};

/// Call an agent with ReserveRequest, StartRequest, FenceRequest or CancelRequest; the outcome goes
/// to OnAgentReply.
struct CallAgent {
  OwnerCallId m_call = 0;
  AgentId m_agent;
  Message m_request;
  Duration m_deadline{};
};

/// Reply to a TaskReport. Of `m_owner` only the id is set.
struct ReplyToReport {
  ReportCallId m_call = 0;
  TaskReportReply m_reply;
};

using OwnerAction = std::variant<AppendRecord, CallAgent, ReplyToReport>;
/// Actions in the order in which the driver carries them out.
using OwnerActions = std::vector<OwnerAction>;

/// What every event is judged against.
struct OwnerContext {
  const JobTable& m_table;
  const OwnerPolicy& m_policy;
  Time m_now;
};

/// Input of a tick besides the time.
struct TickInput {
  ShardPlan m_plan;                ///< From PlanShards.
  LogOffset m_rewrite_before = 0;  ///< Records before this offset are rewritten; see OffsetBefore.
  /// Records of shards of others are rewritten before this offset, which must be smaller: their
  /// owner may have started too late to know them.
  LogOffset m_rewrite_late_before = 0;
};

[[nodiscard]] JobOwner MakeJobOwner(JobOwnerOptions options);

/// Returns `wait` lengthened by the clock error and margin, so that it has passed on every clock.
[[nodiscard]] Duration AddClockMargin(const JobOwnerOptions& options, Duration wait) noexcept;

/// A read of the log that was sent at `asked` reached its end, and its events were passed on.
void OnLogRead(JobOwner& owner, Time asked);

/// Events of the fold, after their batches were applied to the table.
[[nodiscard]] OwnerActions OnJobEvents(JobOwner& owner, const OwnerContext& context,
                                       std::span<const JobEvent> events);

/// Outcome of CallAgent: the reply, or an Error. kNoCapacity as an Error means not sent; any other
/// leaves open whether the agent acted. Outcomes of calls that no longer matter are ignored.
[[nodiscard]] OwnerActions OnAgentReply(JobOwner& owner, const OwnerContext& context,
                                        OwnerCallId call, const Message& reply);

/// A report of an agent. Answered at once when nothing has to be read back, or the log is down.
[[nodiscard]] OwnerActions OnTaskReport(JobOwner& owner, const OwnerContext& context,
                                        ReportCallId call, const TaskReport& report);

/// Returns the grants for the reply to a heartbeat.
[[nodiscard]] std::vector<Grant> OnHeartbeat(JobOwner& owner, const OwnerContext& context,
                                             const Heartbeat& heartbeat);

/// Membership removed the agent after silence.
[[nodiscard]] OwnerActions OnAgentRemoved(JobOwner& owner, const OwnerContext& context,
                                          const AgentId& agent);

/// Carries out what is due, claims and releases shards, places ready jobs. Call it every 100 ms.
[[nodiscard]] OwnerActions OnTick(JobOwner& owner, const OwnerContext& context,
                                  const TickInput& input);

/// Returns whether this process owns `shard` as far as it has read the log.
[[nodiscard]] bool OwnsShard(const JobOwner& owner, const JobTable& table,
                             ShardIndex shard) noexcept;

/// Returns how many owned attempts are unresolved: non-idempotent with an end not known.
[[nodiscard]] std::size_t UnresolvedCount(const JobOwner& owner) noexcept;

}  // namespace ebonypin::core
