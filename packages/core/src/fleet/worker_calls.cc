/// Calls from an agent to its worker about single runs, and their answers.
#include <algorithm>
#include <tuple>
#include <utility>

#include "worker_agent_internal.h"

namespace ebonypin::core::fleet {
namespace {

/// Step by which the fence is raised. Fences start from the clock, and the step is larger than the
/// difference of clocks within a second.
constexpr std::uint64_t kFenceStep = std::uint64_t{10'000} << 10U;

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

}  // namespace

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

}  // namespace ebonypin::core::fleet
