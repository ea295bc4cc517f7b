#include "ebonypin/core/fleet/worker_agent.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace ebonypin::core::fleet {
namespace {

/// Step by which the fence is raised. Fences start from the clock, and the step is larger than the
/// difference of clocks within a second.
constexpr std::uint64_t kFenceStep = std::uint64_t{10'000} << 10U;

/// Adds the runs that were, or may have been, at work when the worker crashed at `crashed`.
void AddCrashedRuns(WorkerAgent& agent, const std::map<TaskRef, LocalRun>& runs,
                    const Time crashed) {
  for (const auto& [task, run] : runs) {
    if (run.m_started == Time{} || run.m_stopped) continue;
    agent.m_crashed.push_back({.m_born = agent.m_worker.m_born,
                               .m_task = task,
                               .m_run = run.m_order.m_run,
                               .m_age = std::max(crashed - run.m_started, Duration{})});
  }
}

/// Keeps the runs of a worker that has crashed. A worker that leaves as planned drains first.
void KeepCrashedRuns(WorkerAgent& agent, const Time now) {
  if (agent.m_worker.m_draining) return;
  const Time crashed = agent.m_worker.m_reachable ? now : agent.m_silent_since;
  AddCrashedRuns(agent, agent.m_runs, crashed);
  AddCrashedRuns(agent, agent.m_lapsed_runs, crashed);
  const std::size_t limit = agent.m_options.m_max_crashed_runs;
  if (agent.m_crashed.size() <= limit) return;
  agent.m_crashed.erase(agent.m_crashed.begin(),
                        agent.m_crashed.end() - static_cast<std::ptrdiff_t>(limit));
}

/// Discards the state of the worker's previous incarnation.
void BeginIncarnation(WorkerAgent& agent, const Time now) {
  KeepCrashedRuns(agent, now);
  agent.m_runs.clear();
  agent.m_unheld_stops.clear();
  agent.m_lapsed_runs.clear();
  agent.m_ends.clear();
  agent.m_recorded_end = agent.m_forgotten_end = 0;
  agent.m_runs_known = false;
  agent.m_ends_complete = true;
  agent.m_clock_at = {};
  agent.m_sequence = 0;
  agent.m_answered = false;
  agent.m_missed_since = {};
  // Orders of the session are meant for the life of the worker that the member record stands for.
  if (agent.m_session != 0) agent.m_former_session = std::exchange(agent.m_session, 0);
  // A delayed start for the previous incarnation has an older fence and is refused.
  ++agent.m_fence;
  agent.m_next_hold = now;
  agent.m_report_due = true;
}

/// Takes account of leases that are as long as the worker accepts.
void ExpectLongestLease(WorkerAgent& agent, const Time now) {
  const auto bound = now +
                     std::chrono::duration_cast<Duration>(agent.m_options.m_clock_error *
                                                          agent.m_options.m_longest_lease) +
                     agent.m_options.m_lease_slack;
  agent.m_leased_until = std::max(agent.m_leased_until, bound);
}

Duration LeaseAt(const WorkerAgent& agent, const Time now) noexcept {
  return std::min(agent.m_options.m_lease, agent.m_granted_until - now);
}

/// Returns a deadline in ms on the worker's clock for a lease that is given now, or zero when there
/// is no grant or the clock is not known.
std::int64_t GiveLease(WorkerAgent& agent, const Time now) {
  const Duration lease = LeaseAt(agent, now);
  if (lease <= Duration{} || agent.m_clock_at == Time{}) return 0;
  const auto bound = now +
                     std::chrono::duration_cast<Duration>(agent.m_options.m_clock_error * lease) +
                     agent.m_options.m_lease_slack;
  agent.m_leased_until = std::max(agent.m_leased_until, bound);
  // The last reading stands for the worker's clock. Adding the time since then would overshoot
  // after a suspension of the machine, which the agent's clock counts and the worker's need not.
  return agent.m_clock_ms + std::chrono::duration_cast<std::chrono::milliseconds>(lease).count();
}

void ApplyStart(WorkerAgent& agent, const Time now, const StartOrder& order) {
  const auto found = agent.m_runs.find(order.m_task);
  if (found != agent.m_runs.end()) {
    return;
  }
  if (agent.m_worker.m_draining) return;
  agent.m_runs[order.m_task] = {
      .m_order = order, .m_next_call = now, .m_arrival = ++agent.m_arrivals};
}

/// Handles the start order of a run that an earlier agent started.
void ApplyDescription(WorkerAgent& agent, const StartOrder& order) {
  const auto found = agent.m_runs.find(order.m_task);
  if (found == agent.m_runs.end() || found->second.m_order.m_run != order.m_run) return;
  found->second.m_order = order;
  found->second.m_order_known = true;
  agent.m_report_due = true;
}

/// Stops a run that the agent does not hold, unless the worker has listed its end.
void StopUnheldRun(WorkerAgent& agent, const Time now, const TaskRef& task, const RunNumber run) {
  const bool ended = std::any_of(agent.m_ends.begin(), agent.m_ends.end(), [&](const auto& end) {
    return end.m_task == task && end.m_run >= run;
  });
  if (ended) return;
  auto& stop = agent.m_unheld_stops[task];
  if (stop.m_run < run) stop = {.m_run = run, .m_next_call = now};
}

void ApplyStop(WorkerAgent& agent, const Time now, const StartOrder& order) {
  const auto found = agent.m_runs.find(order.m_task);
  if (found == agent.m_runs.end() || found->second.m_order.m_run != order.m_run) {
    return StopUnheldRun(agent, now, order.m_task, order.m_run);
  }
  LocalRun& run = found->second;
  if (run.m_stage == RunStage::kStopping) return;
  if (run.m_stage == RunStage::kStarting && !run.m_in_flight && !run.m_maybe_sent) {
    agent.m_runs.erase(found);
    agent.m_report_due = true;
    return;
  }
  run.m_stage = RunStage::kStopping;
  run.m_next_call = now;
}

/// Gives up the starts that the worker has not confirmed when their session or its grant has ended.
/// The coordinator takes these runs for ended and starts their tasks elsewhere, so a later grant
/// must not start them. A session without a grant of its own takes starts on the rest of the former
/// grant, so these too are given up when that has ended.
void GiveUpStarts(WorkerAgent& agent, const Time now) {
  std::vector<StartOrder> pending;
  for (const auto& [task, run] : agent.m_runs) {
    if (run.m_stage == RunStage::kStarting) pending.push_back(run.m_order);
  }
  for (const auto& order : pending) ApplyStop(agent, now, order);
}

[[nodiscard]] bool HasGrantEnded(const WorkerAgent& agent, const Time now) noexcept {
  return agent.m_session_granted && now >= agent.m_granted_until;
}

/// Returns `cpu_millis` as a share of the worker's processors.
double ShareOf(const WorkerAgent& agent, const double cpu_millis) noexcept {
  const auto capacity = std::max<std::int64_t>(agent.m_worker.m_capacity.m_cpu_millis, 1);
  return cpu_millis / static_cast<double>(capacity);
}

/// Returns the current load of each filling image.
std::vector<FillingLoad> FillingLoads(const WorkerAgent& agent) {
  std::map<ImageName, double> shares;
  for (const auto& [task, run] : agent.m_runs) {
    if (run.m_order.m_fills) shares[run.m_order.m_image] += ShareOf(agent, run.m_figure);
  }
  return LoadRanges(shares, shares);
}

/// Updates the processors that filling runs use at their full share.
void UpdateFullCpu(WorkerAgent& agent, const Time now) {
  for (auto& [task, run] : agent.m_runs) {
    if (!run.m_order.m_fills || run.m_paced == 0 || run.m_figure <= 0.0) continue;
    if (now - run.m_paced_changed < agent.m_options.m_usage_settle_time) continue;
    run.m_full_cpu = run.m_figure * 100.0 / run.m_paced;
  }
}

/// Updates the own loads of the serving runs from their latencies.
void UpdateOwnLoads(WorkerAgent& agent, const Time now) {
  const Duration elapsed = now - agent.m_own_loads_updated;
  if (elapsed < agent.m_options.m_own_load_interval) return;
  agent.m_own_loads_updated = now;
  const auto filling = FillingLoads(agent);
  for (auto& [task, run] : agent.m_runs) {
    if (run.m_order.m_latency_target <= Duration{} || run.m_figure <= 0.0) continue;
    const auto& image = run.m_order.m_image;
    ObserveLatency(agent.m_pairs, image, run.m_figure);
    if (run.m_percent < 100) continue;
    TrackOwnLoad(run.m_own_load, agent.m_pairs, image, run.m_figure,
                 PredictedGrowth(agent.m_pairs, image, filling, now), elapsed);
  }
}

/// Returns the processors, in thousandths, that the run uses at its full share.
double FullCpu(const LocalRun& run) noexcept {
  constexpr double kDefaultCpuMillis = 1000.0;  // Usual size of a task.
  const auto declared = static_cast<double>(run.m_order.m_cpu_millis);
  const double cpu = std::max(run.m_full_cpu > 0.0 ? run.m_full_cpu : declared, run.m_figure);
  return cpu > 0.0 ? cpu : kDefaultCpuMillis;
}

/// Returns whether the run may be the cause of a missed target.
bool IsSuspect(const WorkerAgent& agent, const FillingRun& run,
               const std::vector<ServingLoad>& serving, const Time now) {
  return std::any_of(serving.begin(), serving.end(), [&](const ServingLoad& task) {
    return run.m_load * GrowthWhenFull(agent.m_pairs, task.m_image, run.m_image, now) >=
           agent.m_options.m_pacing.m_min_suspect_growth;
  });
}

/// Decides the share of each filling run from the latencies of the serving runs.
void UpdatePace(WorkerAgent& agent, const Time now) {
  UpdateOwnLoads(agent, now);
  UpdateFullCpu(agent, now);
  std::vector<ServingLoad> serving;
  double worst = 0.0;
  std::vector<LocalRun*> filling;
  for (auto& [task, run] : agent.m_runs) {
    if (run.m_order.m_fills) filling.push_back(&run);
    const double target = ToMillis(run.m_order.m_latency_target);
    if (target <= 0.0 || run.m_figure <= 0.0) continue;
    serving.push_back({.m_image = run.m_order.m_image,
                       .m_load = ForecastLoad(run.m_own_load, agent.m_options.m_pace_ahead),
                       .m_target_ms = target});
    worst = std::max(worst, run.m_figure / target);
  }
  agent.m_worst_ratio = worst;
  if (worst < 1.0) {
    agent.m_missed_since = {};
  } else if (agent.m_missed_since == Time{}) {
    agent.m_missed_since = now;
  }
  std::sort(filling.begin(), filling.end(),
            [](const LocalRun* a, const LocalRun* b) { return a->m_arrival < b->m_arrival; });
  std::vector<FillingRun> runs;
  runs.reserve(filling.size());
  for (const auto* run : filling) {
    runs.push_back({.m_image = run->m_order.m_image, .m_load = ShareOf(agent, FullCpu(*run))});
  }
  const auto shares = AllowedShares(agent.m_pairs, serving, runs, now, agent.m_options.m_pacing);
  const auto& options = agent.m_options.m_pacing;
  const bool rest_all = MustRestAll(agent.m_missed_since, now, options);
  const bool rest_suspects = MustRestSuspects(agent.m_missed_since, now, options);
  for (std::size_t i = 0; i < filling.size(); ++i) {
    // Rounded to steps of 10 %, so that small changes of the estimates cause no calls.
    const auto percent = static_cast<std::uint32_t>(shares[i] * 100.0);
    const bool rests = rest_all || (rest_suspects && IsSuspect(agent, runs[i], serving, now));
    filling[i]->m_allowed = rests ? 0 : std::min(100U, (percent + 5) / 10 * 10);
  }
}

/// Begins to track a run that the agent does not hold: it was started by an earlier agent, or by a
/// start call that was regarded as refused.
LocalRun MakeListedRun(WorkerAgent& agent, const ListedRun& run) {
  LocalRun local{.m_order = {.m_task = run.m_task, .m_run = run.m_run},
                 .m_order_known = false,
                 .m_stage = RunStage::kRunning,
                 .m_arrival = ++agent.m_arrivals,
                 // The share is not known, as an earlier agent may have reduced it.
                 .m_paced = 0};
  const auto stop = agent.m_unheld_stops.find(run.m_task);
  if (stop != agent.m_unheld_stops.end() && stop->second.m_run >= run.m_run) {
    local.m_stage = RunStage::kStopping;
    if (stop->second.m_run == run.m_run) agent.m_unheld_stops.erase(stop);
  }
  agent.m_report_due = true;
  return local;
}

/// Returns whether a saved state may be kept, and counts one that may not.
bool IsUsableState(WorkerAgent& agent, const std::string& state) noexcept {
  if (state.size() <= kMaxCheckpointBytes) return true;
  ++agent.m_states_ignored;
  return false;
}

/// Handles the worker's list of runs, which was made after `sent`.
void TakeRuns(WorkerAgent& agent, const Time sent, const Time now, const HoldAnswer& answer) {
  std::map<TaskRef, RunNumber> listed;
  for (const auto& run : answer.m_runs) {
    listed[run.m_task] = run.m_run;
    auto [found, added] = agent.m_runs.try_emplace(run.m_task);
    LocalRun& local = found->second;
    if (added || local.m_order.m_run < run.m_run) local = MakeListedRun(agent, run);
    if (local.m_order.m_run != run.m_run) {
      // The coordinator has given the task a later run, and would never hear of this one.
      StopUnheldRun(agent, now, run.m_task, run.m_run);
      continue;
    }
    if (local.m_stage == RunStage::kStarting) {
      local.m_stage = RunStage::kRunning;
      agent.m_report_due = true;
    }
    if (local.m_stage == RunStage::kRunning) local.m_confirmed = std::max(local.m_confirmed, sent);
    local.m_percent = run.m_percent;
    local.m_figure = run.m_figure;
    if (IsUsableState(agent, run.m_checkpoint)) local.m_checkpoint = run.m_checkpoint;
  }
  // A run that is not listed may have ended; its end is listed once earlier ones are acknowledged.
  const bool all_ends = answer.m_ends_complete;
  for (auto run = agent.m_runs.begin(); all_ends && run != agent.m_runs.end();) {
    const LocalRun& local = run->second;
    const auto found = listed.find(run->first);
    const bool present = found != listed.end() && found->second == local.m_order.m_run;
    const bool settled = local.m_stage == RunStage::kRunning ||
                         (local.m_stage == RunStage::kStopping && local.m_stopped);
    const bool gone = !present && settled && !local.m_in_flight && local.m_confirmed < sent;
    if (gone) {
      run = agent.m_runs.erase(run);
      agent.m_report_due = true;
    } else {
      ++run;
    }
  }
  UpdatePace(agent, now);
}

void TakeEnds(WorkerAgent& agent, const HoldAnswer& answer) {
  const bool forgotten =
      std::none_of(answer.m_ends.begin(), answer.m_ends.end(),
                   [&](const RunEnded& end) { return end.m_number <= agent.m_hold_seen_end; });
  if (forgotten) agent.m_forgotten_end = std::max(agent.m_forgotten_end, agent.m_hold_seen_end);
  for (const auto& end : answer.m_ends) {
    const bool known = std::any_of(agent.m_ends.begin(), agent.m_ends.end(),
                                   [&](const auto& e) { return e.m_number == end.m_number; });
    if (known || end.m_number <= agent.m_recorded_end) continue;
    agent.m_ends.push_back(end);
    if (!IsUsableState(agent, end.m_checkpoint)) agent.m_ends.back().m_checkpoint.clear();
    agent.m_report_due = true;
    const auto run = agent.m_runs.find(end.m_task);
    if (run != agent.m_runs.end() && run->second.m_order.m_run <= end.m_run) {
      agent.m_runs.erase(run);
    }
  }
}

void OnStartAnswer(WorkerAgent& agent, const Time now, LocalRun& run, const RunAnswer answer) {
  const auto give_up = [&] {
    agent.m_report_due = true;
    if (run.m_maybe_sent) {
      run.m_stage = RunStage::kStopping;
      run.m_next_call = now;
      return;
    }
    const TaskRef task = run.m_order.m_task;
    agent.m_runs.erase(task);
  };
  switch (answer) {
    case RunAnswer::kOk:
      if (run.m_stage == RunStage::kStarting) {
        run.m_stage = RunStage::kRunning;
        run.m_paced_changed = now;
      }
      run.m_confirmed = now;
      return;
    case RunAnswer::kNoAnswer:
      run.m_maybe_sent = true;
      [[fallthrough]];
    case RunAnswer::kLate:
    case RunAnswer::kFenced:
    case RunAnswer::kNotSent:
      if (run.m_stage != RunStage::kStarting) return;
      if (!run.m_maybe_sent) run.m_started = {};
      if (++run.m_tries >= agent.m_options.m_start_tries) return give_up();
      run.m_next_call = now + agent.m_options.m_call_retry;
      return;
    case RunAnswer::kRefused:
    case RunAnswer::kBusy:
    case RunAnswer::kOtherWorker:
      return give_up();
  }
}

/// Handles the answer to a stop of a run that the agent did not hold. Returns false when there is
/// no such stop.
bool OnUnheldStopAnswer(WorkerAgent& agent, const Time now, const RunCall& call,
                        const RunAnswer answer) {
  const auto found = agent.m_unheld_stops.find(call.m_order.m_task);
  if (found == agent.m_unheld_stops.end()) return false;
  auto& stop = found->second;
  if (stop.m_run != call.m_order.m_run || !stop.m_in_flight) return false;
  const bool settled = answer == RunAnswer::kOk || answer == RunAnswer::kRefused ||
                       answer == RunAnswer::kOtherWorker;
  if (settled) {
    agent.m_unheld_stops.erase(found);
  } else {
    stop.m_in_flight = false;
    stop.m_next_call = now + agent.m_options.m_call_retry;
  }
  return true;
}

void OnStopAnswer(WorkerAgent& agent, const Time now, LocalRun& run, const RunAnswer answer) {
  if (answer == RunAnswer::kOk) {
    run.m_stopped = true;
    run.m_confirmed = now;
    run.m_next_call = now + agent.m_options.m_stop_retry;
    return;
  }
  run.m_next_call = now + agent.m_options.m_call_retry;
}

/// Returns the start or pace call about `run` that is due at `now`, if any.
std::optional<RunCall> MakeCall(WorkerAgent& agent, const Time now, LocalRun& run) {
  RunCall call{.m_order = run.m_order};
  switch (run.m_stage) {
    case RunStage::kStarting:
      if (!agent.m_worker.m_reachable) return std::nullopt;
      call.m_deadline_ms = GiveLease(agent, now);
      if (call.m_deadline_ms == 0) return std::nullopt;
      if (run.m_started == Time{}) run.m_started = now;
      return call;
    case RunStage::kStopping:
      return std::nullopt;  // See AddStops.
    case RunStage::kRunning: {
      const auto wanted = run.m_allowed;
      const bool unsure = wanted < 100 || run.m_paced < 100 || now < run.m_pace_uncertain_until;
      const bool repeat = unsure && run.m_paced_at != Time{} &&
                          now - run.m_paced_at >= agent.m_options.m_pace_repeat;
      if (!run.m_order.m_fills || (run.m_paced == wanted && !repeat)) return std::nullopt;
      call.m_kind = RunCallKind::kPace;
      call.m_percent = wanted;
      return call;
    }
  }
  return std::nullopt;
}

/// Number of calls that may begin now.
struct CallRoom {
  std::size_t m_stops = 0;
  std::size_t m_others = 0;  ///< Starts and pace calls.
};

CallRoom RoomForCalls(const WorkerAgent& agent) {
  const auto& options = agent.m_options;
  const auto is_in_flight = [](const auto& entry) { return entry.second.m_in_flight; };
  std::size_t stops = static_cast<std::size_t>(
      std::count_if(agent.m_unheld_stops.begin(), agent.m_unheld_stops.end(), is_in_flight));
  std::size_t others = 0;
  for (const auto& [task, run] : agent.m_runs) {
    if (!run.m_in_flight) continue;
    // A start in flight whose run is ordered to stop counts as a stop.
    ++(run.m_stage == RunStage::kStopping ? stops : others);
  }
  const auto max_stops =
      agent.m_worker.m_reachable ? options.m_max_stops : options.m_max_stops_unanswered;
  const auto left = [](const std::size_t limit, const std::size_t used) {
    return limit - std::min(limit, used);
  };
  const auto total = left(options.m_max_stops + options.m_max_calls, stops + others);
  CallRoom room{.m_stops = std::min(left(max_stops, stops), total)};
  room.m_others = std::min(left(options.m_max_calls, others), total - room.m_stops);
  return room;
}

/// Adds the stops that are due, those that have waited longest first.
void AddStops(WorkerAgent& agent, const Time now, const std::size_t room,
              std::vector<RunCall>& calls) {
  if (room == 0) return;
  struct DueStop {
    Time m_due;
    const TaskRef* m_task = nullptr;
    RunNumber m_run = 0;
    bool* m_in_flight = nullptr;
  };
  std::vector<DueStop> due;
  const auto add = [&](const Time since, const TaskRef& task, const RunNumber run,
                       bool& in_flight) {
    if (in_flight || now < since) return;
    due.push_back({.m_due = since, .m_task = &task, .m_run = run, .m_in_flight = &in_flight});
  };
  for (auto& [task, stop] : agent.m_unheld_stops) {
    add(stop.m_next_call, task, stop.m_run, stop.m_in_flight);
  }
  for (auto& [task, run] : agent.m_runs) {
    if (run.m_stage != RunStage::kStopping) continue;
    add(run.m_next_call, task, run.m_order.m_run, run.m_in_flight);
  }
  const auto count = std::min(room, due.size());
  std::partial_sort(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(count), due.end(),
                    [](const DueStop& a, const DueStop& b) {
                      return std::tie(a.m_due, *a.m_task) < std::tie(b.m_due, *b.m_task);
                    });
  for (std::size_t i = 0; i < count; ++i) {
    *due[i].m_in_flight = true;
    calls.push_back({.m_kind = RunCallKind::kStop,
                     .m_order = {.m_task = *due[i].m_task, .m_run = due[i].m_run}});
  }
}

/// Adds the ends to the report, in their order, as many as its states leave room for. Returns the
/// bytes of their states.
std::size_t AddEnds(WorkerAgent& agent, AgentReport& report) {
  std::size_t bytes = 0;
  for (const auto& end : agent.m_ends) {
    bytes += end.m_checkpoint.size();
    if (bytes > agent.m_options.m_max_report_states) break;
    report.m_ends.push_back(end);
  }
  agent.m_ends_left_out = report.m_ends.size() < agent.m_ends.size();
  // Without all ends, a run that is not listed may have ended.
  if (agent.m_ends_left_out) report.m_ends_complete = false;
  return bytes;
}

/// Adds the runs to the report. States for which there is no room come first in the next report;
/// until then the coordinator keeps those that it knows.
void AddRuns(WorkerAgent& agent, AgentReport& report, std::size_t bytes) {
  const auto limit = agent.m_options.m_max_report_states;
  for (const auto& [task, run] : agent.m_runs) {
    report.m_runs.push_back({.m_task = task,
                             .m_run = run.m_order.m_run,
                             .m_percent = run.m_percent,
                             .m_figure = run.m_figure,
                             .m_order_known = run.m_order_known});
  }
  const auto count = report.m_runs.size();
  const auto first =
      std::distance(agent.m_runs.begin(), agent.m_runs.lower_bound(agent.m_next_state));
  for (std::size_t i = 0; i < count; ++i) {
    auto& listed = report.m_runs[(static_cast<std::size_t>(first) + i) % count];
    const auto& state = agent.m_runs.at(listed.m_task).m_checkpoint;
    bytes += state.size();
    if (bytes > limit) {
      agent.m_next_state = listed.m_task;
      return;
    }
    listed.m_checkpoint = state;
  }
}

}  // namespace

void Begin(WorkerAgent& agent, const Time now) { ExpectLongestLease(agent, now); }

bool OnHeartbeat(WorkerAgent& agent, const Time now, const WorkerInfo& worker,
                 const std::uint64_t sequence) {
  const bool first = agent.m_worker.m_id.IsEmpty();
  const bool other_life =
      !first && (worker.m_id != agent.m_worker.m_id || worker.m_born != agent.m_worker.m_born);
  // An incarnation that has not answered yet may be one that another writer has announced. For the
  // same reason the leases of the former one count until the new one answers.
  // A silent one without leases may have been replaced by one whose wall clock had stepped back.
  const bool may_run = agent.m_worker.m_reachable || now < agent.m_leased_until;
  const bool later = worker.m_born > agent.m_worker.m_born;
  if (other_life && agent.m_answered && may_run && !later) return false;
  if (!first && !other_life && sequence < agent.m_sequence) return false;
  const bool reachable = agent.m_worker.m_reachable && !other_life;
  const bool draining = agent.m_worker.m_draining;
  const Resources capacity = agent.m_worker.m_capacity;
  if (other_life) BeginIncarnation(agent, now);
  agent.m_worker = worker;
  agent.m_worker.m_reachable = reachable;
  agent.m_sequence = sequence;
  if (first) agent.m_next_hold = now;
  if (first || draining != worker.m_draining || capacity != worker.m_capacity) {
    agent.m_report_due = true;
  }
  return first || other_life;
}

void OnCoordinatorRead(WorkerAgent& agent, const Time now,
                       const std::optional<CoordinatorRecord>& record) {
  agent.m_coordinator_read = true;
  if (!record) return;
  (void)OnOrders(agent, now, {.m_epoch = record->m_epoch, .m_coordinator = record->m_rpc_address});
}

AgentOrdersReply OnOrders(WorkerAgent& agent, const Time now, const AgentOrders& orders) {
  if (!agent.m_coordinator_read) return {.m_epoch = agent.m_epoch};
  if (orders.m_epoch > agent.m_epoch) {
    agent.m_epoch = orders.m_epoch;
    agent.m_coordinator = orders.m_coordinator;
    agent.m_session = 0;
    agent.m_report_due = true;
  }
  AgentOrdersReply reply{.m_epoch = agent.m_epoch, .m_last_order = agent.m_last_order};
  if (orders.m_epoch < agent.m_epoch) return reply;
  if (orders.m_orders.empty()) {
    agent.m_report_due = true;
    reply.m_accepted = true;
    return reply;
  }
  // When the grant has expired, the session has ended for the coordinator too, or will end soon. An
  // order that was delayed until then must not start anything.
  if (orders.m_session != agent.m_session || agent.m_session == 0 || now >= agent.m_granted_until) {
    return reply;
  }
  for (const auto& order : orders.m_orders) {
    if (order.m_number != agent.m_last_order + 1) continue;
    agent.m_last_order = order.m_number;
    switch (order.m_kind) {
      case OrderKind::kStart:
        ApplyStart(agent, now, order.m_start);
        break;
      case OrderKind::kStop:
        ApplyStop(agent, now, order.m_start);
        break;
      case OrderKind::kDescribe:
        ApplyDescription(agent, order.m_start);
        break;
    }
  }
  reply.m_accepted = true;
  reply.m_last_order = agent.m_last_order;
  return reply;
}

AgentReport MakeReport(WorkerAgent& agent, const Time now) {
  const bool session_over = HasGrantEnded(agent, now);
  if (now >= agent.m_granted_until) GiveUpStarts(agent, now);
  AgentReport report{.m_agent = agent.m_id,
                     .m_rpc_address = agent.m_rpc_address,
                     .m_epoch = agent.m_epoch,
                     .m_number = ++agent.m_reports,
                     .m_session = session_over ? 0 : agent.m_session,
                     .m_last_order = agent.m_last_order,
                     .m_runs_known = agent.m_runs_known,
                     .m_worker = agent.m_worker,
                     .m_crashed = agent.m_answered ? agent.m_crashed : std::vector<CrashedRun>{},
                     .m_ends_complete = agent.m_ends_complete};
  const auto bytes = AddEnds(agent, report);
  AddRuns(agent, report, bytes);
  return report;
}

void OnReportReply(WorkerAgent& agent, const Time sent, const AgentReportReply& reply) {
  if (reply.m_epoch < agent.m_epoch) return;
  if (reply.m_epoch > agent.m_epoch) {
    agent.m_epoch = reply.m_epoch;
    agent.m_session = 0;
  }
  if (!reply.m_coordinator.empty()) agent.m_coordinator = reply.m_coordinator;
  if (!reply.m_accepted) return;
  // Answers a report that was made before the worker changed.
  if (reply.m_session != 0 && reply.m_session == agent.m_former_session) return;
  if (reply.m_session != agent.m_session) {
    // A coordinator that changes adopts the starts that are reported to it.
    if (agent.m_session != 0) GiveUpStarts(agent, sent);
    agent.m_session = reply.m_session;
    agent.m_last_order = 0;
    agent.m_session_granted = false;
    agent.m_report_due = true;
  }
  if (reply.m_grant > Duration{}) {
    agent.m_session_granted = true;
    agent.m_granted_until = std::max(agent.m_granted_until, sent + reply.m_grant);
  }
  Adopt(agent.m_pairs, reply.m_pairs, sent);
  std::erase_if(agent.m_crashed,
                [&](const CrashedRun& run) { return run.m_born <= reply.m_recorded_crash; });
  if (reply.m_worker_born != agent.m_worker.m_born) return;
  agent.m_recorded_end = std::max(agent.m_recorded_end, reply.m_recorded_end);
  const auto erased = std::erase_if(
      agent.m_ends, [&](const RunEnded& end) { return end.m_number <= agent.m_recorded_end; });
  if (erased > 0 && agent.m_ends_left_out) agent.m_report_due = true;
}

std::optional<HoldCall> NextHold(WorkerAgent& agent, const Time now) {
  if (agent.m_hold_in_flight || agent.m_worker.m_id.IsEmpty() || now < agent.m_next_hold) {
    return std::nullopt;
  }
  agent.m_hold_in_flight = true;
  agent.m_hold_fence = agent.m_fence;
  // The next incarnation of the worker numbers its ends from 1 and would forget ends that this
  // agent has not seen. So ends are acknowledged once, and only to a worker that answered just
  // before.
  const bool unforgotten = agent.m_recorded_end > agent.m_forgotten_end;
  const bool answered_now =
      agent.m_worker.m_reachable && now - agent.m_answered_hold <= agent.m_options.m_max_answer_age;
  agent.m_hold_seen_end = unforgotten && answered_now ? agent.m_recorded_end : 0;
  const bool waits = agent.m_runs_known && agent.m_ends.empty() && !unforgotten;
  // A worker that does not answer may still receive these calls, so they must not keep extending
  // its leases.
  const bool extends = agent.m_worker.m_reachable;
  return HoldCall{.m_deadline_ms = extends ? GiveLease(agent, now) : 0,
                  .m_seen_end = agent.m_hold_seen_end,
                  .m_wait = waits ? agent.m_options.m_hold_wait : Duration{}};
}

void OnHold(WorkerAgent& agent, const Time sent, const Time now,
            const std::optional<HoldAnswer>& answer) {
  agent.m_hold_in_flight = false;
  if (!answer || answer->m_born < agent.m_worker.m_born) {
    if (answer && answer->m_born != std::exchange(agent.m_earlier_born, answer->m_born)) {
      // It may have carried out starts, whose deadlines are far ahead on its own clock.
      ExpectLongestLease(agent, now);
    }
    if (agent.m_worker.m_reachable) {
      agent.m_report_due = true;
      agent.m_silent_since = now;
    }
    agent.m_worker.m_reachable = false;
    agent.m_next_hold = now + agent.m_options.m_call_retry;
    return;
  }
  if (answer->m_born > agent.m_worker.m_born) {
    BeginIncarnation(agent, now);
    agent.m_worker.m_born = answer->m_born;
    agent.m_answered = true;
    // The lease bound stays until a list shows the runs: this incarnation may have runs of a former
    // agent process, or have carried out a start that was meant for its predecessor.
    return;
  }
  agent.m_answered = true;
  agent.m_earlier_born = 0;
  // An incarnation that answers has not crashed, whatever another writer has announced.
  std::erase_if(agent.m_crashed,
                [&](const CrashedRun& run) { return run.m_born >= agent.m_worker.m_born; });
  if (agent.m_hold_fence < agent.m_fence) {
    // The worker may still accept a start that was sent with the former fence.
    agent.m_next_hold = now;
    return;
  }
  if (!agent.m_worker.m_reachable || !agent.m_runs_known) agent.m_report_due = true;
  agent.m_worker.m_reachable = true;
  agent.m_lapsed_runs.clear();
  agent.m_runs_known = true;
  if (agent.m_ends_complete != answer->m_ends_complete) agent.m_report_due = true;
  agent.m_ends_complete = answer->m_ends_complete;
  agent.m_clock_ms = answer->m_clock_ms;
  agent.m_clock_at = now;
  agent.m_answered_hold = sent;
  TakeEnds(agent, *answer);
  TakeRuns(agent, sent, now, *answer);
  agent.m_next_hold = agent.m_ends.empty() ? now : now + agent.m_options.m_hold_pause;
}

std::size_t CountStopping(const WorkerAgent& agent) noexcept {
  const auto stopping =
      std::count_if(agent.m_runs.begin(), agent.m_runs.end(),
                    [](const auto& entry) { return entry.second.m_stage == RunStage::kStopping; });
  return agent.m_unheld_stops.size() + static_cast<std::size_t>(stopping);
}

std::vector<RunCall> NextCalls(WorkerAgent& agent, const Time now) {
  std::vector<RunCall> calls;
  if (agent.m_clock_at == Time{}) return calls;
  auto room = RoomForCalls(agent);
  AddStops(agent, now, room.m_stops, calls);
  // Starts have room of their own: behind the stops of a large job they would wait for seconds, and
  // the members of a gang that started elsewhere would end alone.
  for (auto& [task, run] : agent.m_runs) {
    if (room.m_others == 0) break;
    if (run.m_in_flight || now < run.m_next_call || run.m_stage == RunStage::kStopping) continue;
    if (auto call = MakeCall(agent, now, run)) {
      run.m_in_flight = true;
      --room.m_others;
      calls.push_back(std::move(*call));
    }
  }
  return calls;
}

void OnRunAnswer(WorkerAgent& agent, const Time now, const RunCall& call, const RunAnswer answer) {
  const bool stops = call.m_kind == RunCallKind::kStop;
  const auto found = agent.m_runs.find(call.m_order.m_task);
  const bool held =
      found != agent.m_runs.end() && found->second.m_order.m_run == call.m_order.m_run;
  const bool unheld_stop = stops && OnUnheldStopAnswer(agent, now, call, answer);
  if (!held && !unheld_stop) return;
  if (answer == RunAnswer::kFenced) RaiseFence(agent);
  if (unheld_stop) return;
  LocalRun& run = found->second;
  run.m_in_flight = false;
  switch (call.m_kind) {
    case RunCallKind::kStart:
      return OnStartAnswer(agent, now, run, answer);
    case RunCallKind::kStop:
      return OnStopAnswer(agent, now, run, answer);
    case RunCallKind::kPace:
      run.m_next_call = now + agent.m_options.m_call_retry;
      if (answer == RunAnswer::kNoAnswer) {
        run.m_pace_uncertain_until = now + agent.m_options.m_pace_late;
      }
      if (answer != RunAnswer::kOk) return;
      if (run.m_paced != call.m_percent) run.m_paced_changed = now;
      run.m_paced = call.m_percent;
      run.m_paced_at = now;
      return;
  }
}

void RaiseFence(WorkerAgent& agent) noexcept { agent.m_fence += kFenceStep; }

void Tick(WorkerAgent& agent, const Time now) {
  if (now >= agent.m_granted_until) GiveUpStarts(agent, now);
  if (agent.m_worker.m_reachable || now < agent.m_leased_until) return;
  if (agent.m_runs_known && agent.m_runs.empty() && agent.m_ends_complete) return;
  agent.m_lapsed_runs = std::exchange(agent.m_runs, {});
  agent.m_unheld_stops.clear();
  agent.m_runs_known = true;
  // Ends that were not acknowledged before the lease ended no longer count.
  agent.m_ends_complete = true;
  agent.m_report_due = true;
}

}  // namespace ebonypin::core::fleet
