#include "worker_sim.h"

#include <cpprest/json.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace ebonypin::standin {
namespace {

constexpr std::size_t kMaxHistory = 200'000;
constexpr std::size_t kMaxEvents = 10'000;
constexpr std::size_t kMaxUsage = 10'000;
constexpr std::string_view kCheckpointPrefix = "done:";

void Note(WorkerSim& sim, std::string what, const SimId& id) {
  sim.m_history.push_back({.m_at = sim.m_now, .m_what = std::move(what), .m_id = id});
  if (sim.m_history.size() > kMaxHistory) sim.m_history.pop_front();
}

void Emit(WorkerSim& sim, std::string kind, const SimId& task) {
  sim.m_events.push_back(
      {.m_number = ++sim.m_last_event, .m_kind = std::move(kind), .m_task = task});
  if (sim.m_events.size() > kMaxEvents) sim.m_events.pop_front();
}

double TaskRate(const WorkerSim& sim, const SimTask& task) {
  return static_cast<double>(task.m_share) / 1000.0 / sim.m_faults.m_slow;
}

double RequestRate(const WorkerSim& sim) {
  double shares = 0;
  for (const auto& [id, task] : sim.m_tasks)
    if (task.m_state == SimState::kRunning) shares += static_cast<double>(task.m_share) / 1000.0;
  return 1.0 / (sim.m_faults.m_slow * (1.0 + sim.m_options.m_interference * shares));
}

/// Returns when work ends that progresses at `rate`, or the end of time when it stands still.
Time EndOf(const Time now, const Duration total, const Duration done, const double rate) {
  if (done >= total) return now;
  if (rate <= 0) return Time::max();
  const auto left = static_cast<double>((total - done).count()) / rate;
  return now + Duration{static_cast<Duration::rep>(std::ceil(left))};
}

Duration Progress(const Duration time, const double rate) {
  return Duration{std::llround(static_cast<double>(time.count()) * rate)};
}

void RecordUsage(WorkerSim& sim) {
  core::Resources used;
  for (const auto& [id, task] : sim.m_tasks) {
    if (task.m_state == SimState::kRunning)
      used.m_cpu_millis += task.m_work.m_cpu_millis * task.m_share / 1000;
  }
  for (const auto& [number, request] : sim.m_requests)
    used.m_cpu_millis += request.m_work.m_cpu_millis;
  if (!sim.m_usage.empty() && sim.m_usage.back().second == used) return;
  sim.m_usage.emplace_back(sim.m_now, used);
  if (sim.m_usage.size() > kMaxUsage) sim.m_usage.pop_front();
}

void EndTask(WorkerSim& sim, const SimId& id, SimTask& task, const SimState state,
             const std::string& kind, const std::string& what) {
  task.m_state = state;
  task.m_ended = sim.m_now;
  Emit(sim, kind, id);
  Note(sim, what, id);
}

/// Moves all progress to `to` at the rates now in force.
void Move(WorkerSim& sim, const Time to) {
  const Duration time = to - sim.m_now;
  const double request_rate = RequestRate(sim);
  for (auto& [id, task] : sim.m_tasks)
    if (task.m_state == SimState::kRunning) task.m_done += Progress(time, TaskRate(sim, task));
  for (auto& [number, request] : sim.m_requests) request.m_done += Progress(time, request_rate);
  sim.m_now = to;
}

/// Ends the tasks and requests that are over at the present time.
void EndWhatIsOver(WorkerSim& sim, std::vector<SimServed>& served) {
  for (auto& [id, task] : sim.m_tasks) {
    if (task.m_state != SimState::kRunning) continue;
    if (task.m_lease_until <= sim.m_now) {
      EndTask(sim, id, task, SimState::kLost, "lost", "lost");
    } else if (task.m_done >= task.m_work.m_run || sim.m_faults.m_fail) {
      task.m_failed = task.m_work.m_fail || sim.m_faults.m_fail;
      EndTask(sim, id, task, SimState::kEnded, "ended", "end");
    }
  }
  for (auto item = sim.m_requests.begin(); item != sim.m_requests.end();) {
    const auto& [number, request] = *item;
    if (request.m_done < request.m_work.m_run) {
      ++item;
      continue;
    }
    const bool failed = request.m_work.m_fail || sim.m_faults.m_fail;
    Note(sim, failed ? "serve_failed" : "served", {request.m_request, 0});
    served.push_back({.m_number = number, .m_failed = failed, .m_result = request.m_work.m_result});
    item = sim.m_requests.erase(item);
  }
  RecordUsage(sim);
}

}  // namespace

SimWork ParseWork(const std::string& payload) {
  SimWork work{.m_result = "served:" + payload};
  std::error_code error;
  const auto json = web::json::value::parse(payload, error);
  if (error || !json.is_object()) return work;
  const auto number = [&json](const char* const name, const double otherwise) {
    return json.has_number_field(name) ? json.at(name).as_double() : otherwise;
  };
  const auto flag = [&json](const char* const name, const bool otherwise) {
    return json.has_boolean_field(name) ? json.at(name).as_bool() : otherwise;
  };
  work.m_run = Duration{std::llround(std::clamp(number("run_ms", 0), 0.0, 1e9) * 1000)};
  work.m_fail = flag("fail", false);
  work.m_can_checkpoint = flag("checkpoint", true);
  work.m_cpu_millis = std::llround(number("cpu_millis", 1000));
  if (const auto bytes = number("result_bytes", 0); bytes > 0)
    work.m_result = std::string(static_cast<std::size_t>(std::min(bytes, 4e6)), 'x');
  return work;
}

std::vector<SimServed> Advance(WorkerSim& sim, const Time now) {
  std::vector<SimServed> served;
  EndWhatIsOver(sim, served);
  while (sim.m_now < now) {
    const auto next = NextChange(sim);
    Move(sim, std::min(now, std::max(next.value_or(now), sim.m_now + Duration{1})));
    EndWhatIsOver(sim, served);
  }
  return served;
}

std::optional<Time> NextChange(const WorkerSim& sim) {
  auto next = Time::max();
  for (const auto& [id, task] : sim.m_tasks) {
    if (task.m_state != SimState::kRunning) continue;
    next = std::min({next, task.m_lease_until,
                     EndOf(sim.m_now, task.m_work.m_run, task.m_done, TaskRate(sim, task))});
  }
  const double rate = sim.m_requests.empty() ? 1.0 : RequestRate(sim);
  for (const auto& [number, request] : sim.m_requests)
    next = std::min(next, EndOf(sim.m_now, request.m_work.m_run, request.m_done, rate));
  if (next == Time::max()) return std::nullopt;
  return next;
}

SimStart StartTask(WorkerSim& sim, const SimId& id, SimTask task, const std::string& checkpoint,
                   const Duration lease) {
  if (sim.m_tasks.contains(id)) return SimStart::kAlreadyStarted;
  if (sim.m_closed.contains(id)) return SimStart::kRefused;
  sim.m_closed[id] = true;
  if (checkpoint.starts_with(kCheckpointPrefix)) {
    Duration::rep done = 0;
    std::from_chars(checkpoint.data() + kCheckpointPrefix.size(),
                    checkpoint.data() + checkpoint.size(), done);
    task.m_done = Duration{std::max<Duration::rep>(done, 0)};
  }
  task.m_started = sim.m_now;
  task.m_lease_until = sim.m_now + lease;
  sim.m_tasks.emplace(id, std::move(task));
  Emit(sim, "started", id);
  Note(sim, "start", id);
  RecordUsage(sim);
  return SimStart::kStarted;
}

bool RenewTask(WorkerSim& sim, const SimId& id, const Duration lease) {
  const auto found = sim.m_tasks.find(id);
  if (found == sim.m_tasks.end() || found->second.m_state != SimState::kRunning) return false;
  found->second.m_lease_until = sim.m_now + lease;
  return true;
}

std::uint32_t ThrottleTask(WorkerSim& sim, const SimId& id, const std::uint32_t share,
                           const std::uint64_t version) {
  const auto found = sim.m_tasks.find(id);
  if (found == sim.m_tasks.end()) return 0;
  auto& task = found->second;
  if (version > task.m_share_version) {
    task.m_share_version = version;
    task.m_share = std::min(share, 1000U);
    RecordUsage(sim);
  }
  return task.m_share;
}

std::optional<std::string> CheckpointTask(const WorkerSim& sim, const SimId& id) {
  const auto found = sim.m_tasks.find(id);
  if (found == sim.m_tasks.end() || found->second.m_state != SimState::kRunning ||
      !found->second.m_work.m_can_checkpoint)
    return std::nullopt;
  return std::string{kCheckpointPrefix} + std::to_string(found->second.m_done.count());
}

SimStop StopTask(WorkerSim& sim, const SimId& id, const bool checkpoint) {
  const auto found = sim.m_tasks.find(id);
  if (found == sim.m_tasks.end()) {
    const auto [closed, fresh] = sim.m_closed.try_emplace(id, false);
    return closed->second ? SimStop::kAlreadyOver : SimStop::kNeverStarted;
  }
  auto& task = found->second;
  if (task.m_state != SimState::kRunning) return SimStop::kAlreadyOver;
  if (checkpoint) {
    const auto token = CheckpointTask(sim, id);
    if (!token) return SimStop::kCannotCheckpoint;
    task.m_checkpoint = *token;
  }
  EndTask(sim, id, task, SimState::kStopped, "stopped", "stop");
  RecordUsage(sim);
  return SimStop::kStopped;
}

void ForgetTask(WorkerSim& sim, const SimId& id) {
  const auto found = sim.m_tasks.find(id);
  if (found != sim.m_tasks.end() && found->second.m_state != SimState::kRunning)
    sim.m_tasks.erase(found);
}

bool Serve(WorkerSim& sim, const std::uint64_t number, const std::string& request,
           const std::string& payload) {
  if (sim.m_requests.size() >= sim.m_options.m_slots) return false;
  sim.m_requests.emplace(number, SimRequest{.m_request = request, .m_work = ParseWork(payload)});
  Note(sim, "serve", {request, 0});
  RecordUsage(sim);
  return true;
}

core::Resources LaggedUsage(const WorkerSim& sim) {
  const auto asked = sim.m_now - sim.m_options.m_usage_lag;
  core::Resources used;
  for (const auto& [at, value] : sim.m_usage) {
    if (at > asked) break;
    used = value;
  }
  return used;
}

}  // namespace ebonypin::standin
