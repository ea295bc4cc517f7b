/// Resource ledger of one worker's agent. Only the ledger commits the worker's processors, memory,
/// accelerators and slots.
///
/// Each function takes one event and the time and returns the actions for the driver. Example:
///
///     AgentLedger ledger = MakeAgentLedger({.m_agent = {"a1"}, .m_capacity = {...}});
///     Perform(OnTaskList(ledger, {}, now));            // the worker has no tasks
///     Perform(OnMessage(ledger, call, request, now));  // Run, Reserve, Start, Cancel, Fence
///     Perform(OnTick(ledger, now));                    // no later than NextTick
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "ebonypin/core/agent_actions.h"
#include "ebonypin/core/agent_state.h"

namespace ebonypin::core {

/// Lifetime of a reservation. A start that a paused owner sends after this time is refused.
inline constexpr Duration kReservationLifetime = std::chrono::seconds{3};
/// Time for which a grant lets an exclusive attempt run, counted from when the agent requested it.
inline constexpr Duration kGrantLifetime = std::chrono::seconds{10};
/// Time from the suspension of an attempt to its checkpoint and stop.
inline constexpr Duration kSuspendedLimit = std::chrono::seconds{10};
/// An attempt is suspended this long before its grant ends, so that the worker can confirm the
/// suspension by then. Until the worker has confirmed it, leases end with the grant.
inline constexpr Duration kSuspendLead = std::chrono::seconds{1};
inline constexpr Duration kTaskLease = std::chrono::seconds{5};
inline constexpr Duration kLeaseRenewInterval = std::chrono::seconds{1};
/// Limit of the results and checkpoints in reports that wait for acknowledgement, in bytes. A
/// reservation is refused when the result of its attempt might not fit.
inline constexpr std::size_t kMaxReportBytes = 16U << 20U;
/// Largest result of an attempt in bytes; leaves room for the rest of a message of 1 MiB.
inline constexpr std::size_t kMaxResultBytes = 1'000'000;
/// A drain lets attempts finish that are expected to end within this time and stops others at a
/// checkpoint. Shorter than the daemon's limit of 30 s for a planned stop.
inline constexpr Duration kDrainGracePeriod = std::chrono::seconds{15};

/// How a request ended at the endpoint.
struct RunEnd {
  AnswerKind m_kind = AnswerKind::kUnknown;  ///< kDone, kNotRun (never sent) or kUnknown.
  std::string m_result;                      ///< Set for kDone.
  Error m_error;                             ///< Set otherwise.
};

/// What happened to a task at the worker.
enum class TaskEventKind : std::uint8_t {
  kStarted,
  kStartRefused,      ///< The worker refused the start; the task did not run and will not.
  kEnded,             ///< The task ran to its end; outcome and result are set.
  kStopped,           ///< Stopped as requested; the checkpoint is set when one was taken.
  kCheckpointFailed,  ///< The task cannot take the requested checkpoint and runs on.
  kLost,              ///< Stopped by an expired lease or a failure, without a checkpoint.
};

struct TaskEvent {
  TaskEventKind m_kind = TaskEventKind::kStarted;
  TaskId m_task;
  JobOutcome m_outcome = JobOutcome::kUnknown;
  std::string m_result;
  std::string m_checkpoint;
  Duration m_run_time{};
  Resources m_used;
};

/// A task in the worker's list: running, or ended and not yet forgotten.
struct ListedTask {
  TaskSpec m_spec;
  bool m_running = false;
  TaskEvent m_end;  ///< Meaningful when not running.
};

/// Tasks that the worker knows.
struct TaskList {
  std::vector<ListedTask> m_tasks;
  Time m_asked;              ///< When the list was requested.
  bool m_restarted = false;  ///< The worker restarted since the last list or task event.
};

/// Measured resource use of the worker, taken `m_lag` before the report arrives.
struct UsageReport {
  Resources m_used;
  Duration m_lag{};
};

/// Returns a ledger that accepts no work until OnTaskList has told it the worker's tasks.
[[nodiscard]] AgentLedger MakeAgentLedger(AgentOptions options);

/// Handles the worker's list of tasks. Running tasks of an earlier agent are adopted; exclusive
/// ones stay suspended until granted. Ended tasks are reported. An attempt that is not listed is
/// reported as lost when the worker had confirmed it before the list was requested, or when its
/// start was sent before a restart of the worker.
[[nodiscard]] AgentActions OnTaskList(AgentLedger& ledger, const TaskList& list, Time now);

/// Handles RunRequest, ReserveRequest, StartRequest, CancelRequest and FenceRequest; any other
/// message is answered with kBadMessage. Every call is answered exactly once by a ReplyToCall; a
/// RunRequest is answered when the work has ended or is refused.
[[nodiscard]] AgentActions OnMessage(AgentLedger& ledger, CallId call, const Message& message,
                                     Time now);

/// Handles the end of a request that was sent to the endpoint.
[[nodiscard]] AgentActions OnRunEnded(AgentLedger& ledger, CallId call, RunEnd end, Time now);

/// Handles a task event of the worker. Repeated and late events are ignored.
[[nodiscard]] AgentActions OnTaskEvent(AgentLedger& ledger, const TaskEvent& event, Time now);

/// Handles the worker's confirmation of a throttle. `share` is in thousandths.
[[nodiscard]] AgentActions OnTaskThrottled(AgentLedger& ledger, const TaskId& task,
                                           std::uint32_t share, std::uint64_t version, Time now);

/// Handles a reply to the heartbeat sent at local time `asked` to the entry at `from`. Lifetimes of
/// grants start at `asked`; classes are applied only when their config offset is larger than the
/// current one.
[[nodiscard]] AgentActions OnHeartbeatReply(AgentLedger& ledger, const HeartbeatReply& reply,
                                            const std::string& from, Time asked, Time now);

/// Handles the reply of the entry at `from` to a report.
[[nodiscard]] AgentActions OnReportReply(AgentLedger& ledger, const TaskId& task,
                                         const TaskReportReply& reply, const std::string& from,
                                         Time now);

/// Handles a usage report: throttles batch work at once when processor use is high while requests
/// are present, and raises its share again in small steps.
[[nodiscard]] AgentActions OnUsage(AgentLedger& ledger, const UsageReport& usage, Time now);

/// Begins the planned stop of the agent: refuses new work at once, and lets work in progress finish
/// or stops it at a checkpoint.
[[nodiscard]] AgentActions OnStop(AgentLedger& ledger, Time now);

/// Carries out due work: expiries, lease renewals, suspensions, refusals and repeated sends.
[[nodiscard]] AgentActions OnTick(AgentLedger& ledger, Time now);

/// Returns when OnTick is due next, at most one second after `now`.
[[nodiscard]] Time NextTick(const AgentLedger& ledger, Time now);

/// Returns whether the planned stop has finished: no work in progress and no unacknowledged report.
[[nodiscard]] bool IsDrained(const AgentLedger& ledger) noexcept;

/// Returns whether new work is refused because the process is stopping or operators drain the
/// worker.
[[nodiscard]] bool IsDraining(const AgentLedger& ledger) noexcept;

/// Returns the resources committed to requests in progress, reservations and attempts.
[[nodiscard]] Resources CommittedResources(const AgentLedger& ledger) noexcept;

/// Returns the number of slots held by requests in progress, reservations and attempts.
[[nodiscard]] std::uint32_t SlotsBusy(const AgentLedger& ledger) noexcept;

/// Returns the load as sent in heartbeats and replies.
[[nodiscard]] AgentLoad LoadOf(const AgentLedger& ledger);

/// Returns the next heartbeat, which lists the attempts that need grants. When `to`, the RPC
/// address of the receiving entry, is set, attempts with another known owner are left out.
[[nodiscard]] Heartbeat BuildHeartbeat(const AgentLedger& ledger,
                                       std::vector<EntryInfo> known_entries,
                                       const std::string& to = {});

}  // namespace ebonypin::core
