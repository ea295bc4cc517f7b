/// Coordinator of jobs of steps: what was accepted, which task runs where, what is recorded.
///
/// The coordinator keeps the placement of runs in memory only. After a change of coordinator the
/// agents report what runs, and what they do not report is not started before the members that are
/// still silent have lost every grant; see docs/platform.md.
///
/// Example:
///
///     Coordinator state{.m_epoch = 3};
///     const auto reply = OnReport(state, now, report);
///     Plan(state, now, wall);
///     const auto writes = TakeWrites(state, wall);  // append them, then:
///     OnWritten(state, now, writes);
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ebonypin/core/fleet/image_pairs.h"
#include "ebonypin/core/fleet/messages.h"
#include "ebonypin/core/fleet/pacing.h"
#include "ebonypin/core/fleet/records.h"
#include "ebonypin/core/fleet/worker_health.h"

namespace ebonypin::core::fleet {

struct CoordinatorOptions {
  /// Time for which an agent may hold leases after its last accepted report. Longer than a takeover
  /// (about 2.5 s) and shorter than the longest lease of a worker (6 s).
  Duration m_grant = std::chrono::milliseconds{5000};
  /// Added before runs of a silent agent count as ended: 2 % clock rate error of the worker and of
  /// the agent over the grant, and the steps of both timers.
  Duration m_lapse_slack = std::chrono::milliseconds{600};
  /// Time for which the state of a closed job is kept. Callers may ask for 120 s.
  Duration m_keep_closed = std::chrono::seconds{150};
  /// Jobs kept at once, closed ones included; about 2 KB each.
  std::size_t m_max_jobs = 20'000;
  /// Share of a worker's processors that work of lower priority leaves free, so that urgent tasks
  /// start without preemption at a crest.
  double m_headroom = 0.08;
  /// Wait before a task is offered again to workers after a refusal.
  Duration m_refusal_delay = std::chrono::milliseconds{150};
  /// Orders to one agent that are not confirmed; further starts wait.
  std::size_t m_max_unconfirmed = 64;
  /// A run without progress for this long, and at least its estimate, is stopped and moved. Doubled
  /// with each such stop of the task, whose progress may not show.
  Duration m_stall_limit = std::chrono::milliseconds{1800};
  /// The same for tasks on left-over processor time, which rest while their agent throttles them.
  Duration m_filler_stall_limit = std::chrono::seconds{10};
  /// Between two lessons from one worker's figures, which cover half a second.
  Duration m_learn_interval = std::chrono::milliseconds{450};
  /// Age up to which the figure of another task of a step tells the load of all of them.
  Duration m_max_peer_age = std::chrono::milliseconds{900};
  /// Predicted growth by filling tasks up to which it does.
  double m_max_peer_growth = 0.3;
  /// Other tasks that are looked at for one figure, so that a wide step does not cost more.
  std::size_t m_max_peers = 24;
  /// Between two records of what was learned; a record is about 2 KB.
  Duration m_pairs_interval = std::chrono::seconds{5};
  /// Part of their committed processors that serving tasks use on average; the rest is left over
  /// for filling tasks.
  double m_serving_use = 0.5;
  /// A filling task that got a small share for this long is moved: a move costs a stop and a
  /// resume, about half a second.
  Duration m_move_after = std::chrono::milliseconds{1000};
  /// Between two looks for a better place for one task; agents report twice a second.
  Duration m_place_check_interval = std::chrono::milliseconds{500};
  /// Wait of a step of filling tasks that found no place. The shares that places have to give
  /// change with the agents' reports, twice a second.
  Duration m_blocked_delay = std::chrono::milliseconds{40};
  /// Places with room that are compared for one filling task. A comparison costs microseconds for
  /// each, so the number does not grow with the workers; each comparison begins after the last.
  /// Where a worker serves three images, one place in four is harmless to a filling image.
  std::size_t m_compared_places = 72;
  /// Share of its processors, as used over half a second, below which a filling task is slow.
  double m_slow_share = 0.6;
  /// Progress up to which a task without checkpoints is moved; it starts anew.
  std::uint32_t m_movable_percent = 20;
  /// Age from which the processors in use by a filling task, a figure of the last half second, tell
  /// what it leaves unused.
  Duration m_telling_age = std::chrono::milliseconds{1000};
  /// Share that a filling task expects of a place that is worth a move.
  double m_good_share = 0.75;
  /// Share below which a filling task waits for a better place while others of its job run.
  double m_least_share = 0.7;
  /// A job without running tasks takes any place after this time.
  Duration m_patience = std::chrono::milliseconds{1500};
  /// An advice request without an answer is repeated after this time.
  Duration m_advice_retry = std::chrono::milliseconds{1500};
  WorkerHealthOptions m_health;
  PacingOptions m_pacing;  ///< As the agents use it.
};

enum class TaskPhase : std::uint8_t { kWaiting, kPlaced, kDone };

/// What the newest figure of a serving task tells of its load.
struct ServingSample {
  double m_alone = 0.0;   ///< Utilisation without filling tasks, as estimated.
  double m_growth = 0.0;  ///< Growth by filling tasks, as predicted; the estimate rests on it.
  Time m_at;              ///< Epoch: there is none.

  friend bool operator==(const ServingSample&, const ServingSample&) = default;
};

struct Task {
  TaskPhase m_phase = TaskPhase::kWaiting;
  RunNumber m_run = 0;             ///< Newest run.
  RunNumber m_recorded_run = 0;    ///< Ends up to this run were taken in earlier epochs.
  std::vector<RunNumber> m_ended;  ///< Runs whose ends were taken since.
  std::uint32_t m_failures = 0;
  std::uint32_t m_percent = 0;
  std::uint32_t m_stalls = 0;  ///< Runs that were stopped because they made no progress.
  bool m_stopping = false;
  AgentId m_agent;            ///< Of the run in progress.
  std::uint64_t m_order = 0;  ///< Start order of the run in the agent's session; zero: adopted.
  Time m_placed;
  Time m_progressed;       ///< When the percentage last changed.
  Time m_not_before;       ///< Earliest next start.
  Time m_waits_since;      ///< End of its last run; epoch: there was none.
  ServingBase m_base;      ///< Serving tasks only.
  ServingSample m_sample;  ///< Serving tasks only: the newest figure.
  Time m_slow_since;       ///< Since when a filling task gets a small share; epoch: it does not.
  Time m_place_checked;    ///< When a better place for it was last looked for.
  std::string m_checkpoint;
  std::vector<AgentId> m_failed_on;
};

struct StepState {
  std::vector<Task> m_tasks;
  std::uint32_t m_left = 0;  ///< Tasks that are not done.
  bool m_waits = false;      ///< The last plan found no place for one of its tasks.
  Time m_ready;              ///< When its turn came, as a plan saw it; epoch: it has not come.
  Time m_blocked_until;      ///< No place was found for a filling task; not asked again before, or
                             ///< before a worker was added.
  std::uint64_t m_blocked_at = 0;  ///< Workers added by then.
  // Advice of the platform on workers that may run the step.
  bool m_advice_asked = false;
  Time m_advice_asked_at;
  Time m_advice_until;
  std::map<WorkerId, std::string> m_tickets;
  std::set<WorkerId> m_advised;  ///< Workers asked about while the tickets are valid.
};

struct Occurrence {
  std::vector<StepState> m_steps;
  std::uint32_t m_steps_left = 0;
};

/// Where the time of a job's tasks went, summed over its tasks, for the log.
struct JobLife {
  Time m_first_start;   ///< Epoch: nothing was started by this coordinator.
  Duration m_waited{};  ///< Between a task's turn, or the end of its last run, and its start.
  Duration m_held{};    ///< From starts to ends, at any share.
  std::uint32_t m_runs = 0;

  friend bool operator==(const JobLife&, const JobLife&) = default;
};

struct Job {
  JobSpec m_spec;
  Time m_accepted;
  Time m_last_ran;               ///< When a task of it was last placed.
  Duration m_objective{};        ///< From acceptance: the stretched longest chain and the slack.
  std::vector<Duration> m_rest;  ///< By step: estimated time of the longest chain from it on.
  JobLife m_life;
  WallMillis m_closed_at = 0;
  std::map<std::uint32_t, Occurrence> m_occurrences;  ///< Open ones.
  std::set<std::uint32_t> m_closed_occurrences;
  std::uint32_t m_next_occurrence = 0;
  bool m_recorded = false;   ///< The submission is in the store.
  bool m_inherited = false;  ///< Accepted in an earlier epoch.
  bool m_cancelled = false;
  bool m_begun = false;  ///< A task of it was started.
  bool m_closed = false;
  JobPhase m_phase = JobPhase::kQueued;  ///< Decided.
  JobPhase m_shown = JobPhase::kQueued;  ///< Recorded, so that no later coordinator contradicts it.
};

/// Run at an agent, as it counts against the worker's capacity.
struct HeldRun {
  Resources m_size;
  bool m_fills = false;
  bool m_serving = false;
  ImageName m_image;
  Duration m_latency_target{};
  double m_load = 0.0;  ///< Of a serving run, without filling runs; zero: not known.
  friend bool operator==(const HeldRun&, const HeldRun&) = default;
};

struct Agent {
  AgentId m_id;
  std::string m_rpc_address;
  bool m_recorded = false;      ///< The member record is in the store.
  bool m_record_asked = false;  ///< It is being written.
  WorkerInfo m_worker;
  std::uint64_t m_session = 0;      ///< Zero: none, takes no orders.
  std::uint64_t m_offered = 0;      ///< Session that was offered and not taken yet; zero: none.
  std::uint64_t m_last_report = 0;  ///< Number of the newest report of the session.
  Time m_granted;                   ///< Time of the last reply with a grant.
  std::uint64_t m_next_order = 1;
  std::deque<Order> m_orders;  ///< Not confirmed.
  std::map<TaskRef, HeldRun> m_held;
  Resources m_used;  ///< Without processors of filling tasks.
  std::int64_t m_filling_cpu_millis = 0;
  /// Part of it that the filling tasks did not use at the last report, because they are paced or
  /// read and write.
  std::int64_t m_filling_idle_millis = 0;
  /// Runs there that no task accounts for; their room is not free.
  std::vector<TaskRef> m_strays;
  std::size_t m_serving = 0;  ///< Serving tasks held.
  std::int64_t m_serving_cpu_millis = 0;
  std::int64_t m_ends_born = 0;
  std::uint64_t m_ends_seen = 0;
  std::uint64_t m_ends_recorded = 0;
  Time m_learned;                               ///< When its figures were last learned from.
  std::map<ImageName, double> m_filling_loads;  ///< Shares in use then, by filling image.
  WorkerHealth m_health;
};

/// Request for advice on a step's workers.
struct AdviceRequest {
  TaskRef m_step;  ///< The index is not used.
  std::vector<WorkerId> m_workers;
};

/// What one append makes durable.
struct WriteBatch {
  std::vector<RecordChange> m_records;
  std::vector<JobId> m_accepted;
  std::vector<std::pair<JobId, JobPhase>> m_shown;
  std::vector<AgentId> m_members;
  struct RecordedEnds {
    AgentId m_agent;
    std::int64_t m_born = 0;
    std::uint64_t m_number = 0;
  };
  std::vector<RecordedEnds> m_ends;
};

/// Decision that touched a request, for the log of the process.
struct Decision {
  std::string_view m_what;
  TaskRef m_task;
  RunNumber m_run = 0;
  AgentId m_agent;
  std::string m_reason;
  bool m_failure = false;  ///< Work or a worker was lost or failed by it.
};

struct CoordinatorCounters {
  std::uint64_t m_submitted = 0;
  std::uint64_t m_refused = 0;
  std::uint64_t m_starts = 0;
  std::uint64_t m_stops = 0;
  std::uint64_t m_done = 0;
  std::uint64_t m_failed = 0;
  std::uint64_t m_lost = 0;  ///< Runs that ended without a result of their own.
  std::uint64_t m_jobs_done = 0;
  std::uint64_t m_jobs_late = 0;  ///< Part of the former: later than their objective.
};

struct Coordinator {
  CoordinatorOptions m_options;
  Epoch m_epoch = 0;
  std::string m_rpc_address;  ///< Of this coordinator.
  std::map<JobId, Job> m_jobs;
  std::set<JobId> m_open_jobs;  ///< Jobs that are not closed.
  std::map<AgentId, Agent> m_agents;
  std::uint64_t m_workers_added = 0;  ///< Workers that became ready to take orders, so far.
  AgentId m_next_compared;  ///< Where the next comparison of places for a filling task begins.
  /// Members of earlier epochs that have not reported in this one, with their addresses.
  std::map<AgentId, std::string> m_silent_members;
  Time m_silent_until;  ///< All grants of earlier epochs have ended by then.
  std::uint64_t m_next_session = 1;
  /// Stray runs by task. A task is not started while one of it may be at work.
  std::map<TaskRef, std::uint32_t> m_strays;
  std::set<JobId> m_unwritten_jobs;  ///< Submissions to write.
  std::set<JobId> m_unwritten_progress;
  std::set<AgentId> m_unwritten_members;
  std::vector<std::string> m_removed_keys;
  std::vector<AdviceRequest> m_advice_requests;
  std::vector<Decision> m_decisions;  ///< Since the driver took them last.
  CoordinatorCounters m_counters;
  ImagePairs m_pairs;
  bool m_pairs_changed = false;  ///< Since `m_pairs_written`.
  Time m_pairs_written;
  std::optional<ImagePairsRecord> m_unwritten_pairs;  ///< Goes with the next append.
};

/// Restores one stored record; `record` must be of this coordinator's topic.
void Restore(Coordinator& state, Time now, JobSpec job);
void Restore(Coordinator& state, JobProgress progress);
void Restore(Coordinator& state, const MemberRecord& member);

void Restore(Coordinator& state, Time now, const ImagePairsRecord& pairs);

/// Ends the restoring. Grants of earlier epochs have ended at `silent_until` at the latest.
void FinishRestore(Coordinator& state, Time now, Time silent_until);

/// Serves a caller's call. Returns nothing when the answer has to wait until the change is
/// recorded: ask again, by Resume, after OnWritten.
[[nodiscard]] std::optional<JobCallReply> OnCall(Coordinator& state, Time now, const JobCall& call);

/// Returns the answer to a call that waits, when it is known by now.
[[nodiscard]] std::optional<JobCallReply> Resume(const Coordinator& state, const JobCall& call);

/// Takes the report of an agent. The reply's grant is empty when the agent must not hold leases.
[[nodiscard]] AgentReportReply OnReport(Coordinator& state, Time now, const AgentReport& report);

/// Takes the confirmation of orders up to `last_order` of `session`.
void OnOrdersTaken(Coordinator& state, const AgentId& agent, std::uint64_t session,
                   std::uint64_t last_order);

/// Takes an answer of the advice service: tickets by worker, valid until `until`. Adds them to
/// those that are still valid.
void OnAdvice(Coordinator& state, const TaskRef& step, std::map<WorkerId, std::string> tickets,
              Time until);

/// Ends what is overdue: grants, stalled runs, results kept long enough.
void Tick(Coordinator& state, Time now, WallMillis wall);

/// Starts what can be started, by adding orders to the agents. Call it only while the coordinator's
/// authority lasts.
void Plan(Coordinator& state, Time now, WallMillis wall);

/// Returns what has to be appended next and counts it as being written.
[[nodiscard]] WriteBatch TakeWrites(Coordinator& state, WallMillis wall);

[[nodiscard]] bool HasWrites(const Coordinator& state) noexcept;

/// Takes the news that `batch` is in the store.
void OnWritten(Coordinator& state, const WriteBatch& batch);

}  // namespace ebonypin::core::fleet
