/// Agent of one worker: tracks which runs are, or may be, on the worker, and extends their leases.
///
/// Only the agent calls its worker, so it is the authority on what runs there. A call without an
/// answer may be carried out seconds later. Two things bound the effect of a late start: the
/// deadline that it carries, and a stop of the same run, after which the worker always refuses the
/// run.
///
/// Example:
///
///     WorkerAgent agent{.m_id = {"a-1"}, .m_rpc_address = "10.0.0.2:7720", .m_fence = 1};
///     OnHeartbeat(agent, now, info, sequence);
///     if (const auto hold = NextHold(agent, now)) { ... call the worker, then OnHold ... }
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ebonypin/core/fleet/messages.h"
#include "ebonypin/core/fleet/pacing.h"
#include "ebonypin/core/fleet/records.h"

namespace ebonypin::core::fleet {

struct WorkerAgentOptions {
  /// Lease of the worker's runs. Longer than a restart of the agent (about 1 s), with a margin for
  /// a slow restart. After it, tasks of a lost worker are started elsewhere.
  Duration m_lease = std::chrono::milliseconds{3500};
  /// Factor by which a lease may outlast its nominal length. The worker's clock may be 2 % slow; 3
  /// % leaves room for rounding.
  double m_clock_error = 1.03;
  /// Margin after the end of a lease before its runs count as ended.
  Duration m_lease_slack = std::chrono::milliseconds{200};
  /// Longest lease that a worker accepts, by its own clock.
  Duration m_longest_lease = std::chrono::milliseconds{6000};
  Duration m_call_retry = std::chrono::milliseconds{120};
  /// Number of failed start calls after which the run is given up; a start without an answer is
  /// fenced by a stop.
  std::uint32_t m_start_tries = 3;
  /// Interval at which a confirmed stop is repeated while the run is still listed.
  Duration m_stop_retry = std::chrono::milliseconds{900};
  /// Time for which a hold call waits for an end; bounds the age of the figures for pacing.
  Duration m_hold_wait = std::chrono::milliseconds{450};
  /// Pause between hold calls while ends are listed, since the worker then answers at once.
  Duration m_hold_pause = std::chrono::milliseconds{40};
  /// Ends are acknowledged only within this time after the sending of a hold call that the worker
  /// has answered. Shorter than the restart of a worker.
  Duration m_max_answer_age = std::chrono::milliseconds{120};
  /// Limit on stops in flight. Runs of cancelled jobs must have ended 3.4 s after the cancel, and a
  /// stop may take 0.4 s: with 40 at a time, 320 runs of a worker can be stopped in that time.
  std::size_t m_max_stops = 40;
  /// The same limit while the worker does not answer. Stops then wait for their deadlines, and more
  /// of them would only use processor time.
  std::size_t m_max_stops_unanswered = 8;
  /// Limit on starts and pace calls in flight, which do not wait behind stops.
  std::size_t m_max_calls = 8;
  /// Interval at which a pace call is repeated while the share is, or may be, reduced.
  Duration m_pace_repeat = std::chrono::seconds{2};
  /// Time for which a pace call without an answer may still act: it can be carried out up to 12 s
  /// later and override a newer one.
  Duration m_pace_late = std::chrono::seconds{13};
  /// Interval between two updates of the serving runs' own loads, whose figures cover half a
  /// second.
  Duration m_own_load_interval = std::chrono::milliseconds{400};
  /// Time for which the own load of a serving run is extrapolated: a figure covers half a second
  /// before it is read, and a new share takes effect after 0.1 s.
  Duration m_pace_ahead = std::chrono::milliseconds{700};
  /// Time after a change of the share from which the measured use shows what the full share would
  /// use.
  Duration m_usage_settle_time = std::chrono::milliseconds{700};
  /// Limit on the crashed runs that are kept for the report: several crashes of a full worker. The
  /// oldest are dropped, because a coordinator of an earlier version records none.
  std::size_t m_max_crashed_runs = 256;
  /// Limit on the saved states in one report. A message is limited to 1 MiB, and a report lists all
  /// runs of the worker besides.
  std::size_t m_max_report_states = 393'216;
  PacingOptions m_pacing;
};

enum class RunStage : std::uint8_t { kStarting, kRunning, kStopping };

struct LocalRun {
  StartOrder m_order;
  bool m_order_known = true;  ///< If not, only the task and the run number of the order are set.
  RunStage m_stage = RunStage::kStarting;
  bool m_in_flight = false;   ///< A call about the run has no answer yet.
  bool m_maybe_sent = false;  ///< A start without an answer may still be carried out.
  std::uint32_t m_tries = 0;
  Time m_started;  ///< First start call; epoch: this agent has sent none.
  Time m_next_call;
  Time m_confirmed;        ///< When the worker last confirmed that the run is running or stopped.
  bool m_stopped = false;  ///< The worker confirmed a stop.
  std::uint32_t m_percent = 0;
  std::string m_checkpoint;
  double m_figure = 0.0;        ///< See RunStatus.
  std::uint64_t m_arrival = 0;  ///< Sequence number of the run at this agent.
  double m_full_cpu = 0.0;  ///< Filling runs: use at the full share, in thousandths of processors.
  Time m_paced_changed;     ///< When `m_paced` last changed.
  OwnLoadEstimate m_own_load;     ///< Serving runs only.
  std::uint32_t m_allowed = 100;  ///< Share that pacing allows, in percent.
  std::uint32_t m_paced = 100;    ///< Share that the worker confirmed, in percent.
  Time m_paced_at;
  Time m_pace_uncertain_until;  ///< A pace call without an answer may act until this time.
};

/// Stop of a run that the agent does not hold. The worker may run it, or may still start it.
struct StopOfUnheldRun {
  RunNumber m_run = 0;
  bool m_in_flight = false;
  Time m_next_call;
};

/// Kind of a call to the worker about one run.
enum class RunCallKind : std::uint8_t { kStart, kStop, kPace };

struct RunCall {
  RunCallKind m_kind = RunCallKind::kStart;
  StartOrder m_order;
  std::int64_t m_deadline_ms = 0;  ///< On the worker's clock; start calls only.
  std::uint32_t m_percent = 100;   ///< Share; pace calls only.
};

/// How a call about a run ended.
enum class RunAnswer : std::uint8_t {
  kOk,
  kRefused,     ///< Nothing was done; the worker would refuse the same call again.
  kBusy,        ///< Nothing was done; the worker may accept the call later.
  kLate,        ///< The deadline had passed by the worker's clock.
  kFenced,      ///< The fence is older than the worker's.
  kNotSent,     ///< No connection.
  kNoAnswer,    ///< The call may have been carried out, or may be later.
  kOtherWorker  ///< Another incarnation of the worker answered.
};

/// Call to the worker that extends the leases and lists the runs.
struct HoldCall {
  std::int64_t m_deadline_ms = 0;  ///< Zero: no extension.
  std::uint64_t m_seen_end = 0;    ///< Acknowledges the ends up to this number.
  Duration m_wait{};               ///< The worker may delay its answer by this time.
};

/// Run as listed by the worker.
struct ListedRun {
  TaskRef m_task;
  RunNumber m_run = 0;
  std::string m_checkpoint;
  std::uint32_t m_percent = 0;
  double m_figure = 0.0;  ///< See RunStatus.
};

struct HoldAnswer {
  std::int64_t m_born = 0;
  std::int64_t m_clock_ms = 0;
  std::vector<ListedRun> m_runs;
  std::vector<RunEnded> m_ends;
  bool m_ends_complete = true;  ///< If not, the worker may have more ends than it lists at a time.
};

struct WorkerAgent {
  WorkerAgentOptions m_options;
  AgentId m_id;
  std::string m_rpc_address;
  std::uint64_t m_fence = 0;

  /// The coordinator's record has been read from the store since this process began.
  bool m_coordinator_read = false;
  Epoch m_epoch = 0;
  std::string m_coordinator;
  std::uint64_t m_session = 0;
  std::uint64_t m_former_session = 0;  ///< Ended by a change of the worker; zero: none.
  std::uint64_t m_last_order = 0;
  bool m_session_granted = false;      ///< The coordinator gave a grant in this session.
  std::uint64_t m_reports = 0;         ///< Number of reports made by this process.
  bool m_ends_left_out = false;        ///< The newest report does not name all ends.
  TaskRef m_next_state;                ///< Run whose saved state the next report includes first.
  std::uint64_t m_states_ignored = 0;  ///< Saved states that exceeded kMaxCheckpointBytes.
  Time m_granted_until;

  WorkerInfo m_worker;              ///< Empty id: no heartbeat yet.
  std::uint64_t m_sequence = 0;     ///< Newest heartbeat of this incarnation.
  bool m_answered = false;          ///< This incarnation has answered a hold call.
  std::int64_t m_earlier_born = 0;  ///< Earlier incarnation that answered last; zero: none.
  bool m_runs_known = false;
  bool m_ends_complete = true;  ///< See HoldAnswer.
  Time m_leased_until;          ///< End of all leases given so far, also by earlier agents.
  std::int64_t m_clock_ms = 0;  ///< Last reading of the worker's clock, at `m_clock_at`.
  Time m_clock_at;
  std::map<TaskRef, LocalRun> m_runs;
  /// Until the worker has confirmed them; it then refuses these runs.
  std::map<TaskRef, StopOfUnheldRun> m_unheld_stops;
  std::vector<RunEnded> m_ends;
  std::uint64_t m_recorded_end = 0;
  std::uint64_t m_forgotten_end = 0;  ///< The worker lists no end up to this number any more.
  std::vector<CrashedRun> m_crashed;  ///< Not recorded yet.
  std::map<TaskRef, LocalRun> m_lapsed_runs;  ///< Runs whose leases ended while it was unreachable.
  Time m_silent_since;                        ///< When an unreachable worker stopped answering.
  std::uint64_t m_arrivals = 0;               ///< Number of runs taken so far.
  double m_worst_ratio = 0.0;  ///< Largest latency of a serving run, divided by its target.
  Time m_missed_since;         ///< Since when a target is missed; epoch: all are met.
  ImagePairs m_pairs;          ///< Interference as learned by the coordinator.
  Time m_own_loads_updated;    ///< When the serving runs' own loads were last updated.
  bool m_hold_in_flight = false;
  std::uint64_t m_hold_fence = 0;     ///< Fence of the hold call in flight.
  Time m_answered_hold;               ///< Sending time of the newest answered hold call.
  std::uint64_t m_hold_seen_end = 0;  ///< Ends that the hold call in flight acknowledges.
  Time m_next_hold;
  bool m_report_due = false;
};

/// Initialises an agent that starts at `now`. An earlier agent may have given leases just before.
void Begin(WorkerAgent& agent, Time now);

/// Handles a heartbeat; delayed heartbeats, also of incarnations earlier than one that has answered
/// and may have runs, are ignored. Returns whether it announced a new incarnation of the worker.
bool OnHeartbeat(WorkerAgent& agent, Time now, const WorkerInfo& worker, std::uint64_t sequence);

/// Handles the coordinator's record as read from the store; nullopt: the store has none.
void OnCoordinatorRead(WorkerAgent& agent, Time now,
                       const std::optional<CoordinatorRecord>& record);

/// Handles orders, or the announcement of a coordinator, which has none. All are refused until the
/// coordinator's record has been read: a former agent process may have obeyed a later epoch than
/// the one that sends them, and the store knows an epoch that is at least as late.
[[nodiscard]] AgentOrdersReply OnOrders(WorkerAgent& agent, Time now, const AgentOrders& orders);

[[nodiscard]] AgentReport MakeReport(WorkerAgent& agent, Time now);

/// Handles the reply to a report that was sent at `sent`.
void OnReportReply(WorkerAgent& agent, Time sent, const AgentReportReply& reply);

/// Returns the hold call to send now, if any, and marks it as in flight.
[[nodiscard]] std::optional<HoldCall> NextHold(WorkerAgent& agent, Time now);

/// Handles the answer to a hold call that was sent at `sent`; nullopt: the call failed.
void OnHold(WorkerAgent& agent, Time sent, Time now, const std::optional<HoldAnswer>& answer);

/// Returns the number of runs that are ordered to stop and whose end is not listed.
[[nodiscard]] std::size_t CountStopping(const WorkerAgent& agent) noexcept;

/// Returns the calls to make now and marks them as in flight.
[[nodiscard]] std::vector<RunCall> NextCalls(WorkerAgent& agent, Time now);

void OnRunAnswer(WorkerAgent& agent, Time now, const RunCall& call, RunAnswer answer);

/// Raises the fence, after the worker has shown that it holds a larger one.
void RaiseFence(WorkerAgent& agent) noexcept;

/// Removes the runs of an unreachable worker once all its leases have ended.
void Tick(WorkerAgent& agent, Time now);

}  // namespace ebonypin::core::fleet
