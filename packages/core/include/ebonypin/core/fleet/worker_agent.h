/// Agent of one worker: which runs are, or may be, there, and how long their leases last.
///
/// Only the agent calls its worker, so it is the authority on what runs there. A call without an
/// answer may be carried out seconds later; what bounds it is the deadline that each start carries,
/// and a stop of the same run, after whose answer the worker refuses the run for good.
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

namespace ebonypin::core::fleet {

struct WorkerAgentOptions {
  /// Lease of the worker's runs. Outlasts a restart of the agent (about 1 s) with room for a slow
  /// one; work of a lost worker starts elsewhere after it.
  Duration m_lease = std::chrono::milliseconds{3500};
  /// The worker's clock may be 2 % slow; 3 % leaves room for rounding.
  double m_clock_error = 1.03;
  /// Added to the end of a lease before its runs count as ended.
  Duration m_lease_slack = std::chrono::milliseconds{200};
  /// Longest lease that a worker keeps, by its own clock.
  Duration m_longest_lease = std::chrono::milliseconds{6000};
  Duration m_call_retry = std::chrono::milliseconds{120};
  /// Starts without an answer before the run is given up and fenced by a stop.
  std::uint32_t m_start_tries = 3;
  /// Stop orders are repeated after this time while the run is still listed.
  Duration m_stop_retry = std::chrono::milliseconds{900};
  /// Wait of a hold for an end; bounds the age of latency figures for pacing.
  Duration m_hold_wait = std::chrono::milliseconds{450};
  /// Pause between holds while ends are listed, which makes the worker answer at once.
  Duration m_hold_pause = std::chrono::milliseconds{40};
  /// Calls of starts, stops and pace in flight; the worker takes 64 connections.
  std::size_t m_max_calls = 8;
  /// Pace is repeated while the share is reduced, or may be: a pace without an answer can be
  /// carried out up to 12 s later and undo a newer one.
  Duration m_pace_repeat = std::chrono::seconds{2};
  Duration m_pace_late = std::chrono::seconds{13};
  /// Between two updates of the loads of serving runs, whose figures cover half a second.
  Duration m_base_interval = std::chrono::milliseconds{400};
  /// A figure covers half a second before it is read, and a new share acts after 0.1 s; until then
  /// the load goes on as it does.
  Duration m_pace_ahead = std::chrono::milliseconds{700};
  /// Age of a share from which the processors in use tell what the full share would use.
  Duration m_telling_age = std::chrono::milliseconds{700};
  PacingOptions m_pacing;
};

enum class RunStage : std::uint8_t { kStarting, kRunning, kStopping };

struct LocalRun {
  StartOrder m_order;
  bool m_order_known = true;  ///< Otherwise only the task and the run of the order are set.
  RunStage m_stage = RunStage::kStarting;
  bool m_in_flight = false;   ///< A call about it has no answer yet.
  bool m_maybe_sent = false;  ///< A start without an answer may still be carried out.
  std::uint32_t m_tries = 0;
  Time m_next_call;
  Time m_confirmed;        ///< The worker said that it runs, or that it is stopped.
  bool m_stopped = false;  ///< The worker confirmed a stop.
  std::uint32_t m_percent = 0;
  std::string m_checkpoint;
  double m_figure = 0.0;          ///< See RunStatus.
  std::uint64_t m_arrival = 0;    ///< Increases with each run that the agent took.
  double m_full_cpu = 0.0;        ///< Filling runs: thousandths of processors when not paced.
  Time m_paced_changed;           ///< When the share that the worker confirmed last changed.
  ServingBase m_base;             ///< Serving tasks only.
  std::uint32_t m_allowed = 100;  ///< Share that the pacing wants, in percent.
  std::uint32_t m_paced = 100;    ///< Share that the worker confirmed, in percent.
  Time m_paced_at;
  Time m_pace_uncertain_until;  ///< A pace without an answer may act until then.
};

/// Call about one run.
enum class RunCallKind : std::uint8_t { kStart, kStop, kPace };

struct RunCall {
  RunCallKind m_kind = RunCallKind::kStart;
  StartOrder m_order;
  std::int64_t m_deadline_ms = 0;  ///< On the worker's clock; starts only.
  std::uint32_t m_percent = 100;   ///< Pace only.
};

/// How a call about a run ended.
enum class RunAnswer : std::uint8_t {
  kOk,
  kRefused,     ///< Nothing was done, and the same call would be refused again.
  kBusy,        ///< Nothing was done.
  kLate,        ///< The deadline had passed by the worker's clock.
  kFenced,      ///< The fence is older than the worker's.
  kNotSent,     ///< No connection.
  kNoAnswer,    ///< May have been or may be carried out.
  kOtherWorker  ///< Another life of the worker answered.
};

/// Call that extends the leases and lists the runs.
struct HoldCall {
  std::int64_t m_deadline_ms = 0;  ///< Zero: no extension.
  std::uint64_t m_seen_end = 0;
  Duration m_wait{};
};

/// Run as the worker lists it.
struct ListedRun {
  TaskRef m_task;
  RunNumber m_run = 0;
  std::string m_checkpoint;
  std::uint32_t m_percent = 0;
  double m_figure = 0.0;  ///< Serving tasks: tail latency in milliseconds; others: processors.
};

struct HoldAnswer {
  std::int64_t m_born = 0;
  std::int64_t m_clock_ms = 0;
  std::vector<ListedRun> m_runs;
  std::vector<RunEnded> m_ends;
};

struct WorkerAgent {
  WorkerAgentOptions m_options;
  AgentId m_id;
  std::string m_rpc_address;
  std::uint64_t m_fence = 0;

  Epoch m_epoch = 0;
  std::string m_coordinator;
  std::uint64_t m_session = 0;
  std::uint64_t m_last_order = 0;
  bool m_session_granted = false;  ///< A grant was given in this session.
  std::uint64_t m_reports = 0;     ///< Made by this process.
  Time m_granted_until;

  WorkerInfo m_worker;           ///< Id empty: no heartbeat yet.
  std::uint64_t m_sequence = 0;  ///< Of the newest heartbeat of this life.
  bool m_runs_known = false;
  Time m_leased_until;  ///< All leases given so far, also by earlier agents, have ended by then.
  std::int64_t m_clock_ms = 0;  ///< Worker's clock at `m_clock_at`.
  Time m_clock_at;
  std::map<TaskRef, LocalRun> m_runs;
  std::vector<RunEnded> m_ends;
  std::uint64_t m_recorded_end = 0;
  std::uint64_t m_arrivals = 0;  ///< Runs taken so far.
  double m_worst_ratio = 0.0;    ///< Largest latency of a serving run, divided by its target.
  Time m_missed_since;           ///< Since when a serving task misses its target; epoch: none does.
  ImagePairs m_pairs;            ///< As the coordinator learned them.
  Time m_based;                  ///< When the bases of the serving runs were last updated.
  bool m_hold_in_flight = false;
  std::uint64_t m_hold_fence = 0;  ///< Of the hold in flight.
  Time m_next_hold;
  bool m_report_due = false;
};

/// Prepares an agent that starts at `now`; an earlier agent may have given leases just before.
void Begin(WorkerAgent& agent, Time now);

/// Takes a heartbeat; late ones of this life or of an earlier one are ignored. Returns whether it
/// announced a new life of the worker.
bool OnHeartbeat(WorkerAgent& agent, Time now, const WorkerInfo& worker, std::uint64_t sequence);

[[nodiscard]] AgentOrdersReply OnOrders(WorkerAgent& agent, Time now, const AgentOrders& orders);

[[nodiscard]] AgentReport MakeReport(WorkerAgent& agent, Time now);

/// Takes the reply to a report that was sent at `sent`.
void OnReportReply(WorkerAgent& agent, Time sent, const AgentReportReply& reply);

/// Returns the hold to send now, if any, and counts it as in flight.
[[nodiscard]] std::optional<HoldCall> NextHold(WorkerAgent& agent, Time now);

/// Takes the answer to a hold that was sent at `sent`, or nothing when there was none.
void OnHold(WorkerAgent& agent, Time sent, Time now, const std::optional<HoldAnswer>& answer);

/// Returns the calls to make now and counts them as in flight.
[[nodiscard]] std::vector<RunCall> NextCalls(WorkerAgent& agent, Time now);

void OnRunAnswer(WorkerAgent& agent, Time now, const RunCall& call, RunAnswer answer);

/// Raises the fence above the worker's, which is larger than this agent's.
void RaiseFence(WorkerAgent& agent) noexcept;

/// Ends the runs of a worker whose leases have all ended.
void Tick(WorkerAgent& agent, Time now);

}  // namespace ebonypin::core::fleet
