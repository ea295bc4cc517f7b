/// Coordinator of jobs of steps: accepts jobs, places their tasks on workers and decides what is
/// written to the store.
///
/// The placement of runs is kept in memory only. After a change of coordinator the agents report
/// their runs. Tasks that no agent reports are not started until all members that have not reported
/// yet have lost their grants; see docs/platform.md.
///
/// Example:
///
///     Coordinator state{.m_epoch = 3};
///     const auto reply = OnReport(state, now, report);
///     Plan(state, now, wall);
///     const auto writes = TakeWrites(state, wall);  // append them, then:
///     OnWritten(state, writes);
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "ebonypin/core/fleet/advice_calls.h"
#include "ebonypin/core/fleet/filling_room.h"
#include "ebonypin/core/fleet/image_pairs.h"
#include "ebonypin/core/fleet/messages.h"
#include "ebonypin/core/fleet/pacing.h"
#include "ebonypin/core/fleet/record_size.h"
#include "ebonypin/core/fleet/records.h"
#include "ebonypin/core/fleet/takeover.h"
#include "ebonypin/core/fleet/worker_health.h"

namespace ebonypin::core::fleet {

struct CoordinatorOptions {
  /// Time for which an agent may extend leases after its last accepted report. Longer than a
  /// takeover (about 2.5 s) and shorter than the longest lease of a worker (6 s).
  Duration m_grant = std::chrono::milliseconds{5000};
  /// Margin after the grant before the runs of a silent agent count as ended. Covers clock rate
  /// errors of 2 % at the worker and at the agent, and the resolution of both timers.
  Duration m_lapse_slack = std::chrono::milliseconds{600};
  /// Time for which the state of a closed job is kept. Callers may ask for it for 120 s.
  Duration m_closed_retention = std::chrono::seconds{150};
  /// Limit on the jobs in memory, closed ones included; each takes about 2 KB.
  std::size_t m_max_jobs = 20'000;
  /// Share of a worker's processors that tasks of lower priority leave free, so that urgent tasks
  /// start without preemption at peak load.
  double m_headroom = 0.08;
  /// Time for which the store may be asked without success before calls that depend on it are
  /// given up. Longer than an append takes in a store that is slow but works.
  Duration m_append_patience = std::chrono::milliseconds{700};
  /// Limits on the orders of one message and on the bytes of their texts. A message is limited to
  /// 1 MiB, and an order, with a payload, a saved state and the name of an image, takes less than
  /// half of it.
  std::size_t m_max_orders_sent = 32;
  std::size_t m_max_order_bytes = 524'288;
  /// Delay before a task is placed again after its run was refused or lost.
  Duration m_refusal_delay = std::chrono::milliseconds{150};
  /// Limit on unconfirmed orders to one agent; further starts wait.
  std::size_t m_max_unconfirmed = 64;
  /// A stop is ordered again when its agent has taken it and lists the run for this time after
  /// that. Longer than a stop takes at a worker that answers (0.9 s), and half of the time in which
  /// the runs of a cancelled job must have been stopped.
  Duration m_stop_repeat = std::chrono::milliseconds{1500};
  /// An agent that reports but takes no order for this time is logged. Longer than three calls that
  /// get no answer.
  Duration m_order_patience = std::chrono::milliseconds{2500};
  /// A run without progress for this time, or for its estimate if that is longer, is stopped and
  /// moved. Doubles with each such stop, because the task may not report its progress.
  Duration m_stall_limit = std::chrono::milliseconds{1800};
  /// The same limit for filling tasks, which make no progress while their agent throttles them to
  /// zero.
  Duration m_filling_stall_limit = std::chrono::seconds{10};
  /// Age up to which a run may be the cause of its worker's crash. Includes the time until the
  /// agent notices the crash with its next hold call.
  Duration m_crash_window = std::chrono::milliseconds{500};
  /// Time after its placement from which a run that makes progress is no suspect any more: the
  /// crash window and the interval between two reports.
  Duration m_crash_probation = std::chrono::milliseconds{1000};
  /// Interval between two updates of the interference model from one worker's figures, which cover
  /// half a second.
  Duration m_learn_interval = std::chrono::milliseconds{450};
  /// Largest age of a sample of another task of the step from which a task's own load is taken.
  Duration m_max_peer_age = std::chrono::milliseconds{900};
  /// Largest predicted growth by filling tasks in such a sample.
  double m_max_peer_growth = 0.3;
  /// Number of other tasks that are examined for one sample; bounds the cost for steps of many
  /// tasks.
  std::size_t m_max_peers = 24;
  /// Interval between two records of the interference model; a record takes about 2 KB.
  Duration m_pairs_interval = std::chrono::seconds{5};
  /// Share of their committed processors that serving tasks use on average; the remainder is
  /// available to filling tasks.
  double m_serving_use = 0.5;
  /// A filling task that has been slow for this time is moved. A move costs a stop and a resume,
  /// about half a second.
  Duration m_move_after = std::chrono::milliseconds{1000};
  /// Interval between two searches for a better worker for one task; agents report twice a second.
  Duration m_placement_check_interval = std::chrono::milliseconds{500};
  /// Delay before placement is tried again for a step of filling tasks that found no worker. The
  /// shares that workers offer change with the agents' reports, twice a second.
  Duration m_blocked_delay = std::chrono::milliseconds{40};
  /// Number of workers with room that are compared for one filling task. Each one costs
  /// microseconds, so the number does not grow with the fleet; each search begins where the last
  /// one ended. Where a worker serves three images, a filling image disturbs none of them on one
  /// worker in four.
  std::size_t m_max_compared_workers = 72;
  /// A filling task is slow when it uses less than this share of its declared processors, measured
  /// over half a second.
  double m_slow_share = 0.6;
  /// Progress up to which a task without checkpoints is moved, since it starts from the beginning.
  std::uint32_t m_movable_percent = 20;
  /// Time after its placement from which the measured use of a filling task, an average over the
  /// last half second, counts for what it leaves unused.
  Duration m_usage_settle_time = std::chrono::milliseconds{1000};
  /// A slow filling task is moved to a worker where its expected share is at least this.
  double m_min_share_to_move = 0.75;
  /// Expected share below which a filling task waits for a better worker while other tasks of its
  /// job run.
  double m_min_share = 0.7;
  /// A job without running tasks accepts any worker after this time.
  Duration m_max_placement_wait = std::chrono::milliseconds{1500};
  /// Interval between two descriptions of the room for filling tasks. Images and what is known of
  /// them change within seconds.
  Duration m_filling_room_interval = std::chrono::milliseconds{500};
  /// Least gain of room for filling tasks, in processors, for which a serving task is moved.
  double m_min_room_gain = 4.0;
  /// Serving tasks per move in one tick, so that a small part of them is away at a time.
  std::size_t m_serving_tasks_per_move = 100;
  /// Limits on the workers that are compared in one tick, and on the groups of tasks there for
  /// which a move is searched, so that the cost does not grow with the fleet.
  std::size_t m_max_move_workers = 256;
  std::size_t m_max_move_sources = 24;
  /// Time for which a serving task stays after its start.
  Duration m_min_serving_stay = std::chrono::seconds{5};
  /// Least time between two lists of workers that show a worker as ended. The list may lag behind a
  /// worker that has just started.
  Duration m_unlisted_time = std::chrono::milliseconds{1000};
  RecordLimits m_record_limits;
  WorkerHealthOptions m_health;
  PacingOptions m_pacing;  ///< Must be the same as the agents use.
};

enum class TaskPhase : std::uint8_t { kWaiting, kPlaced, kDone };

/// Load of a serving task according to its newest latency figure.
struct ServingSample {
  double m_own_load = 0.0;  ///< Estimated utilisation without filling tasks.
  /// Predicted growth by filling tasks, from which `m_own_load` is derived.
  double m_growth = 0.0;
  Time m_at;  ///< Epoch: no sample was taken yet.

  friend bool operator==(const ServingSample&, const ServingSample&) = default;
};

struct Task {
  TaskPhase m_phase = TaskPhase::kWaiting;
  RunNumber m_run = 0;             ///< Newest run.
  RunNumber m_recorded_run = 0;    ///< Ends up to this run were processed in earlier epochs.
  std::vector<RunNumber> m_ended;  ///< Runs whose ends were processed in this epoch.
  std::uint32_t m_failures = 0;
  std::vector<RunNumber> m_crashes;  ///< Runs that crashed their worker, or may have.
  bool m_suspect = false;            ///< It has such runs, and none that went on afterwards.
  bool m_given_up = false;           ///< Not started again: its job fails instead.
  std::uint32_t m_percent = 0;       ///< Progress of the current run.
  std::uint32_t m_stalls = 0;        ///< Runs that were stopped because they made no progress.
  bool m_stopping = false;           ///< A stop of the current run was ordered.
  Time m_stop_taken;                 ///< First report after the agent had taken the stop.
  AgentId m_agent;                   ///< Agent of the current run.
  std::uint64_t m_order = 0;  ///< Number of the start order in the session; zero: adopted run.
  Time m_placed;
  Time m_progressed;           ///< When the percentage last changed.
  Time m_not_before;           ///< Earliest time of the next start.
  Time m_waits_since;          ///< End of the last run; epoch: the task has not run yet.
  OwnLoadEstimate m_own_load;  ///< Serving tasks only.
  ServingSample m_sample;      ///< Serving tasks only: the newest figure.
  Time m_slow_since;           ///< When the filling task became slow; epoch: it is not slow.
  Time m_placement_checked;    ///< When a better worker for it was last searched for.
  std::string m_checkpoint;
  std::vector<AgentId> m_failed_on;
};

/// What the advice service has said about a worker.
struct WorkerAdvice {
  std::int64_t m_born = 0;  ///< Start of the life (`WorkerInfo::m_born`) that it is about.
  bool m_allowed = false;   ///< The worker may run the step, which holds for its whole life.
  std::string m_ticket;
  Time m_until;  ///< Starts carry the ticket before this time.

  friend bool operator==(const WorkerAdvice&, const WorkerAdvice&) = default;
};

struct StepState {
  std::vector<Task> m_tasks;
  std::uint32_t m_left = 0;  ///< Tasks that are not done.
  bool m_waits = false;      ///< The last plan found no worker for one of its tasks.
  Time m_ready;              ///< When a plan first found the step ready; epoch: not yet.
  Time m_blocked_until;      ///< No worker was found for a filling task: the search is not repeated
                             ///< before this time unless a worker is added.
  std::uint64_t m_blocked_at = 0;  ///< Value of `m_workers_added` when the search failed.
  std::map<WorkerId, WorkerAdvice> m_advice;
  std::uint32_t m_advice_failures = 0;  ///< Calls about the step that failed since the last answer.
};

struct Occurrence {
  std::vector<StepState> m_steps;
  std::uint32_t m_steps_left = 0;
};

/// Waiting and run times of a job, summed over its tasks, for the log.
struct JobTiming {
  Time m_first_start;     ///< Epoch: this coordinator has started no task of the job.
  Duration m_waited{};    ///< Time from when a task was ready, or its last run ended, to its start.
  Duration m_run_time{};  ///< Time from starts to ends, at any share of the processors.
  std::uint32_t m_runs = 0;

  friend bool operator==(const JobTiming&, const JobTiming&) = default;
};

struct Job {
  JobSpec m_spec;  ///< Only the id until a submission has arrived.
  Time m_accepted;
  Time m_last_ran;         ///< When a task of it was last seen running.
  Duration m_objective{};  ///< From acceptance: stretched longest chain of steps, plus a constant.
  /// By step: estimated time of the longest chain that starts with it.
  std::vector<Duration> m_remaining_chains;
  JobTiming m_timing;
  WallMillis m_closed_at = 0;
  std::map<std::uint32_t, Occurrence> m_occurrences;  ///< Open occurrences by number.
  std::set<std::uint32_t> m_closed_occurrences;
  std::uint32_t m_next_occurrence = 0;
  std::set<std::uint32_t> m_unwritten_parts;  ///< Parts of the progress that are to be written.
  /// Parts other than part 0 that have, or will have, a record in the store.
  std::set<std::uint32_t> m_stored_parts;
  /// A submission has arrived. If not, only a cancel has: it is kept, so that the submission, when
  /// it arrives later, does not run.
  bool m_submitted = true;
  bool m_recorded = false;   ///< The submission is in the store.
  bool m_inherited = false;  ///< Accepted in an earlier epoch.
  bool m_cancelled = false;
  bool m_begun = false;  ///< An agent has listed a run of it.
  bool m_closed = false;
  JobPhase m_phase = JobPhase::kQueued;  ///< As decided; may not be in the store yet.
  /// Phase in the store, which no later coordinator contradicts. Callers are shown only this one.
  JobPhase m_recorded_phase = JobPhase::kQueued;
};

/// Run placed at an agent, with what it takes of the worker's capacity.
struct PlacedRun {
  Resources m_size;
  bool m_fills = false;
  bool m_serving = false;
  ImageName m_image;
  Duration m_latency_target{};
  double m_load = 0.0;      ///< Own load of a serving run; zero: not known.
  bool m_stopping = false;  ///< A stop was ordered.
  bool m_suspect = false;   ///< The task may be the one that crashes its workers.
  friend bool operator==(const PlacedRun&, const PlacedRun&) = default;
};

/// Run that an agent lists, or is about to list, and that no task refers to. It takes up room.
struct StrayRun {
  TaskRef m_task;
  /// Order after which the agent's reports show whether the run is there; zero: the last one did.
  std::uint64_t m_order = 0;

  friend bool operator==(const StrayRun&, const StrayRun&) = default;
};

struct Agent {
  AgentId m_id;
  std::string m_rpc_address;
  bool m_recorded = false;  ///< The member record is in the store.
  /// Request by which the member record was last queued; zero: it is not to be written. An append
  /// that was opened for an earlier request says nothing about the newest record.
  std::uint64_t m_record_request = 0;
  WorkerInfo m_worker;
  std::uint64_t m_session = 0;      ///< Zero: no session, and the agent takes no orders.
  std::uint64_t m_offered = 0;      ///< Session that the agent has not taken yet; zero: none.
  std::uint64_t m_last_report = 0;  ///< Number of the newest report of the session.
  Time m_granted;                   ///< Time of the last reply with a grant.
  std::uint64_t m_next_order = 1;
  std::deque<Order> m_orders;  ///< Unconfirmed orders.
  /// Oldest unconfirmed order at the last tick, and the time since when it has been; zero: none.
  std::uint64_t m_waiting_order = 0;
  Time m_waiting_since;
  bool m_waiting_logged = false;
  std::map<TaskRef, PlacedRun> m_placed_runs;
  Resources m_used;  ///< By placed runs, without the processors of filling tasks.
  std::int64_t m_filling_cpu_millis = 0;
  /// Part of `m_filling_cpu_millis` that was unused at the last report, because the tasks are
  /// throttled or wait for I/O.
  std::int64_t m_filling_idle_millis = 0;
  std::vector<StrayRun> m_strays;
  std::size_t m_serving = 0;  ///< Number of serving tasks placed there.
  std::int64_t m_serving_cpu_millis = 0;
  std::size_t m_suspects = 0;         ///< Number of placed runs of suspects.
  Time m_last_start;                  ///< When a run was last placed there.
  std::int64_t m_ends_born = 0;       ///< Incarnation of the worker that the next three refer to.
  std::uint64_t m_ends_seen = 0;      ///< Highest number of a reported end.
  std::uint64_t m_ends_taken = 0;     ///< Ends up to this number were handed out by TakeWrites.
  std::uint64_t m_ends_recorded = 0;  ///< Ends up to this number are in the store.
  // Crashes of the worker, by the incarnation that crashed.
  std::int64_t m_crash_seen = 0;
  std::int64_t m_crash_taken = 0;     ///< Crashes up to this one were handed out by TakeWrites.
  std::int64_t m_crash_recorded = 0;  ///< Crashes up to this one are in the store.
  Time m_learned;                     ///< When the model was last updated from its figures.
  std::map<ImageName, double> m_filling_loads;  ///< Shares in use at that time, by filling image.
  WorkerHealth m_health;
  bool m_evacuated = false;  ///< Its failure domain is under evacuation: nothing starts there.
};

/// Member of an earlier epoch that has not reported in this one.
struct SilentMember {
  std::string m_rpc_address;
  WorkerId m_worker;      ///< Empty: not known.
  Time m_unlisted_since;  ///< Since when the platform does not list the worker; epoch: it does, or
                          ///< was not asked.
  friend bool operator==(const SilentMember&, const SilentMember&) = default;
};

/// Records of one append, and the state changes that take effect once they are in the store.
struct WriteBatch {
  std::vector<RecordChange> m_records;
  std::vector<JobId> m_accepted;
  std::vector<std::pair<JobId, JobPhase>> m_recorded_phases;
  struct WrittenMember {
    MemberRecord m_record;
    std::uint64_t m_request = 0;  ///< See Agent::m_record_request.
  };
  std::vector<WrittenMember> m_members;
  struct RecordedEnds {
    AgentId m_agent;
    std::int64_t m_born = 0;
    std::uint64_t m_number = 0;
    std::int64_t m_crash = 0;  ///< Incarnation of the newest crash.
  };
  std::vector<RecordedEnds> m_ends;
};

/// Decision about a job, a run or a worker, for the log.
struct Decision {
  std::string_view m_what;
  TaskRef m_task;
  RunNumber m_run = 0;
  AgentId m_agent;
  std::string m_reason;
  bool m_failure = false;  ///< Work or a worker was lost or has failed.
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
  std::uint64_t m_jobs_late = 0;  ///< Jobs among `m_jobs_done` that missed their objective.
  std::uint64_t m_advice_answers = 0;
  std::uint64_t m_advice_failures = 0;
};

struct Coordinator {
  CoordinatorOptions m_options;
  Epoch m_epoch = 0;
  std::string m_rpc_address;  ///< Address of this coordinator.
  std::map<JobId, Job> m_jobs;
  std::set<JobId> m_open_jobs;  ///< Jobs that are not closed.
  std::map<AgentId, Agent> m_agents;
  std::uint64_t m_workers_added = 0;  ///< Number of times that a worker became ready for orders.
  AgentId m_next_compared;            ///< Where the next search for a filling task begins.
  AgentId m_next_moved;               ///< Where the next search for moves of serving tasks begins.
  std::map<AgentId, SilentMember> m_silent_members;
  SilentWait m_silent_wait;
  Time m_restored_at;                ///< Epoch of the clock: the restore is not complete.
  Epoch m_settled_epoch = 0;         ///< See EarlierEpochs; its own once no member is silent.
  bool m_settled_unwritten = false;  ///< The record that it is settled is to be written.
  std::set<std::string> m_evacuated_domains;  ///< See SetEvacuations.
  std::uint64_t m_next_session = 1;
  /// Number of stray runs by task. A task is not started while a stray run of it may be running.
  std::map<TaskRef, std::uint32_t> m_strays;
  std::set<JobId> m_unwritten_jobs;      ///< Jobs whose submission is to be written.
  std::set<JobId> m_unwritten_progress;  ///< Jobs with unwritten parts; see MarkUnwritten.
  std::set<AgentId> m_unwritten_members;
  std::uint64_t m_record_requests = 0;  ///< Number of requests to write a member record.
  std::vector<std::string> m_removed_keys;
  AdviceCalls m_advice_calls;
  std::vector<AdviceRequest> m_advice_requests;  ///< To be sent by the caller.
  std::size_t m_unadvised_steps = 0;  ///< Ready steps without a valid ticket at the last plan.
  std::vector<Decision> m_decisions;  ///< Not yet logged by the caller.
  CoordinatorCounters m_counters;
  ImagePairs m_pairs;
  FillingRoom m_filling_room;    ///< According to `m_pairs`, for the placement of serving tasks.
  Time m_filling_room_at;        ///< When `m_filling_room` was described; epoch: not yet.
  bool m_pairs_changed = false;  ///< Since `m_pairs_written`.
  Time m_pairs_written;
  std::optional<ImagePairsRecord> m_unwritten_pairs;  ///< Written with the next append.
};

/// Restores one stored record of the coordinator's topic.
void Restore(Coordinator& state, Time now, JobSpec job);
void Restore(Coordinator& state, JobProgress progress);
void Restore(Coordinator& state, const MemberRecord& member);

void Restore(Coordinator& state, Time now, const ImagePairsRecord& pairs);
void Restore(Coordinator& state, const SettledRecord& settled);

/// Completes the restore.
void FinishRestore(Coordinator& state, Time now, const SilentWait& wait);

/// Returns the time left of grants of epochs before this one.
[[nodiscard]] Duration EarlierGrantsLeft(const Coordinator& state, Time now) noexcept;

/// Handles a caller's call. Returns nothing when the answer has to wait until the change is in the
/// store: call Resume after OnWritten.
[[nodiscard]] std::optional<JobCallReply> OnCall(Coordinator& state, Time now, const JobCall& call);

/// Returns the answer to a waiting call, or nothing when it still has to wait.
[[nodiscard]] std::optional<JobCallReply> Resume(const Coordinator& state, const JobCall& call);

/// Handles an agent's report. The grant in the reply is zero when the agent must not extend leases.
[[nodiscard]] AgentReportReply OnReport(Coordinator& state, Time now, const AgentReport& report);

/// Returns the oldest unconfirmed orders, as many as one message takes.
[[nodiscard]] std::vector<Order> NextOrders(const Coordinator& state, const Agent& agent);

/// Handles the confirmation of the orders up to `last_order` of `session`.
void OnOrdersTaken(Coordinator& state, const AgentId& agent, std::uint64_t session,
                   std::uint64_t last_order);

/// Handles the answer to a call to the advice service: tickets by worker, issued for `valid`.
void OnAdvice(Coordinator& state, Time now, std::uint64_t number,
              const std::map<WorkerId, std::string>& tickets, Duration valid);

/// Handles a call to the advice service that was refused or not answered in time.
void OnAdviceFailed(Coordinator& state, Time now, std::uint64_t number);

/// Sets the failure domains in which nothing is started. Starts there that no agent has taken yet
/// are withdrawn; runs that have started go on.
void SetEvacuations(Coordinator& state, std::set<std::string> domains);

/// Handles a complete list of the workers on machines that are up, which the platform was asked for
/// at `asked`. A silent member whose worker is missing from two lists has no runs: a worker that
/// ends ends its runs. It is not waited for any longer.
void OnLiveWorkers(Coordinator& state, Time asked, const std::set<WorkerId>& workers);

/// Handles expired grants, stalled runs, runs on draining workers, slow filling tasks and closed
/// jobs whose retention has ended. Call it periodically. `confirmed` is when the leadership was
/// last confirmed (see Leadership): a grant, or the wait for silent members, counts as ended only
/// if it had ended by then, because later the agent may have gone over to a successor, under whose
/// grants its runs go on.
void Tick(Coordinator& state, Time now, WallMillis wall, Time confirmed);

/// Returns whether a grant has ended for which a later confirmation than `confirmed` is needed.
[[nodiscard]] bool NeedsConfirmation(const Coordinator& state, Time now, Time confirmed) noexcept;

/// Places ready tasks on workers by adding start orders to their agents. Call it only while the
/// coordinator may act (see MayAct in leadership.h).
void Plan(Coordinator& state, Time now, WallMillis wall);

/// Returns the records to append next, as many as one append takes, and marks them as being
/// written. What is left is returned by later calls. Ends of runs are part of the batch with the
/// last record that they changed, or of a later one.
[[nodiscard]] WriteBatch TakeWrites(Coordinator& state, WallMillis wall);

[[nodiscard]] bool HasWrites(const Coordinator& state) noexcept;

/// Returns whether the store is taken for silent, because it has been asked since `since` without
/// success. The epoch of the clock means that no call to it is in progress. A submission is then
/// neither accepted nor refused: a successor may have accepted it in an earlier call.
[[nodiscard]] bool IsStoreSilent(const Coordinator& state, Time since, Time now) noexcept;

/// What happens to submissions that WithdrawUnwritten returns.
enum class Withdrawal : std::uint8_t {
  kGivenUp,
  kHeld,  ///< They are submitted again when the store responds.
};

/// Removes the jobs whose submission was not handed out by TakeWrites, and returns them. Nothing
/// about them was sent to the store. Their cancels are kept.
[[nodiscard]] std::set<JobId> WithdrawUnwritten(Coordinator& state,
                                                Withdrawal withdrawal = Withdrawal::kGivenUp);

/// Applies the state changes of `batch`, whose records are now in the store.
void OnWritten(Coordinator& state, const WriteBatch& batch);

}  // namespace ebonypin::core::fleet
