/// Ledger of one worker's agent: the only authority that commits the worker's processors, memory,
/// accelerators and slots.
///
/// Each function takes one event and the time and returns the actions for the driver. Example:
///
///     AgentLedger ledger = MakeAgentLedger({.m_agent = {"a1"}, .m_capacity = {...}});
///     Perform(OnTaskList(ledger, {}, now));            // the worker runs nothing
///     Perform(OnMessage(ledger, call, request, now));  // Run, Reserve, Start, Cancel, Fence
///     Perform(OnTick(ledger, now));                    // at NextTick at the latest
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "ebonypin/core/agent_actions.h"
#include "ebonypin/core/agent_state.h"

namespace ebonypin::core {

/// Lifetime of a reservation. A start sent by a paused owner later than this does no harm.
inline constexpr Duration kReservationLifetime = std::chrono::seconds{3};
/// Time for which a grant lets an exclusive attempt run, from when the agent asked for it.
inline constexpr Duration kGrantLifetime = std::chrono::seconds{10};
/// Time from the suspension of an attempt to its checkpoint and stop.
inline constexpr Duration kSuspendedLimit = std::chrono::seconds{10};
/// A suspension is asked for this much before the grant ends, so that the worker has confirmed it
/// by then. Until it has, leases end with the grant.
inline constexpr Duration kSuspendLead = std::chrono::seconds{1};
inline constexpr Duration kTaskLease = std::chrono::seconds{5};
inline constexpr Duration kLeaseRenewInterval = std::chrono::seconds{1};
/// Completions held until acknowledged. No attempt is reserved whose result might not fit.
inline constexpr std::size_t kMaxReportBytes = 16U << 20U;
/// Largest result of an attempt; leaves room for the rest of a message of 1 MiB.
inline constexpr std::size_t kMaxResultBytes = 1'000'000;
/// An attempt that is expected to end within this time of a drain is left to finish; others are
/// stopped at a checkpoint. Below the daemon's 30 s limit for a planned stop.
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
  kStartRefused,      ///< The worker refused the start; the task never ran and never will.
  kEnded,             ///< Ran to its end; outcome and result are set.
  kStopped,           ///< Stopped as asked; the checkpoint is set when one was taken.
  kCheckpointFailed,  ///< Asked to stop at a checkpoint but cannot take one; runs on.
  kLost,              ///< Stopped by a lapsed lease or a failure, at no checkpoint.
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

/// A task that the worker lists: running, or ended and not yet forgotten.
struct ListedTask {
  TaskSpec m_spec;
  bool m_running = false;
  TaskEvent m_end;  ///< Meaningful when not running.
};

/// What the worker runs and ran.
struct TaskList {
  std::vector<ListedTask> m_tasks;
  Time m_asked;              ///< When the list was asked for.
  bool m_restarted = false;  ///< The worker restarted since the last list or task event.
};

/// Measured use of the worker. It describes the time `m_lag` before it arrives.
struct UsageReport {
  Resources m_used;
  Duration m_lag{};
};

/// Returns a ledger that takes no work until OnTaskList tells what the worker runs.
[[nodiscard]] AgentLedger MakeAgentLedger(AgentOptions options);

/// Tells what the worker runs. Adopts running tasks of an earlier agent, which stay suspended until
/// granted when they are exclusive; reports ended ones; reports as lost what was confirmed running
/// before the list was asked for, or sent before a restart of the worker, and is not listed.
[[nodiscard]] AgentActions OnTaskList(AgentLedger& ledger, const TaskList& list, Time now);

/// Handles RunRequest, ReserveRequest, StartRequest, CancelRequest and FenceRequest; any other
/// message is answered with kBadMessage. Every call is answered exactly once by a ReplyToCall, for
/// a RunRequest when the work has ended or is refused.
[[nodiscard]] AgentActions OnMessage(AgentLedger& ledger, CallId call, const Message& message,
                                     Time now);

/// A request that was sent to the endpoint ended.
[[nodiscard]] AgentActions OnRunEnded(AgentLedger& ledger, CallId call, RunEnd end, Time now);

/// A task event of the worker. Repeated and late events are ignored.
[[nodiscard]] AgentActions OnTaskEvent(AgentLedger& ledger, const TaskEvent& event, Time now);

/// The worker confirmed a throttle.
[[nodiscard]] AgentActions OnTaskThrottled(AgentLedger& ledger, const TaskId& task,
                                           std::uint32_t share, std::uint64_t version, Time now);

/// A reply to the heartbeat sent at local time `asked` to the entry at `from`. Grants count from
/// `asked`; classes count only when their config offset is larger than the one held.
[[nodiscard]] AgentActions OnHeartbeatReply(AgentLedger& ledger, const HeartbeatReply& reply,
                                            const std::string& from, Time asked, Time now);

/// The answer to a report.
[[nodiscard]] AgentActions OnReportReply(AgentLedger& ledger, const TaskId& task,
                                         const TaskReportReply& reply, const std::string& from,
                                         Time now);

/// Measured use: throttles batch work at once when requests suffer, gives back slowly.
[[nodiscard]] AgentActions OnUsage(AgentLedger& ledger, const UsageReport& usage, Time now);

/// Begins the planned stop of the agent: new work is refused at once, work in progress finishes or
/// is handed over at a checkpoint.
[[nodiscard]] AgentActions OnStop(AgentLedger& ledger, Time now);

/// Carries out what is due: expiries, renewals, suspensions, refusals, repeated sends.
[[nodiscard]] AgentActions OnTick(AgentLedger& ledger, Time now);

/// Returns when OnTick has something to do next, at most one second after `now`.
[[nodiscard]] Time NextTick(const AgentLedger& ledger, Time now);

/// Returns whether the planned stop has nothing left to finish or to report.
[[nodiscard]] bool IsDrained(const AgentLedger& ledger) noexcept;

/// Returns whether new work is refused because the process stops or operators drain the worker.
[[nodiscard]] bool IsDraining(const AgentLedger& ledger) noexcept;

/// Returns what requests in progress, reservations and attempts commit.
[[nodiscard]] Resources CommittedResources(const AgentLedger& ledger) noexcept;

/// Returns the slots held by requests in progress, reservations and attempts.
[[nodiscard]] std::uint32_t SlotsBusy(const AgentLedger& ledger) noexcept;

/// Returns the load that heartbeats and replies carry.
[[nodiscard]] AgentLoad LoadOf(const AgentLedger& ledger);

/// Returns the next heartbeat, which names the attempts that need grants. With `to`, an address, it
/// leaves out those of which another entry is known as the owner.
[[nodiscard]] Heartbeat BuildHeartbeat(const AgentLedger& ledger,
                                       std::vector<EntryInfo> known_entries,
                                       const std::string& to = {});

}  // namespace ebonypin::core
