#include "sim_worker.h"

#include <algorithm>
#include <utility>

namespace ebonypin::faults {
namespace {

using namespace std::chrono_literals;
using core::TaskEvent;
using core::TaskEventKind;
using core::TaskId;

/// Records a task event with the values that the checker compares.
Event& RecordTaskEvent(Sim& sim, const SimWorker& worker, const SimTask& task,
                       const EventKind kind) {
  Event& event = RecordEvent(sim, kind, worker.m_name);
  event.m_job = task.m_spec.m_task.m_job.m_value;
  event.m_attempt = task.m_spec.m_task.m_attempt;
  event.m_class = task.m_spec.m_class.m_value;
  event.m_exclusive = event.m_class != "archive_sync";
  event.m_non_idempotent = event.m_class == "render" || event.m_class == "certificate";
  event.m_cpu = task.m_spec.m_size.m_cpu_millis;
  event.m_memory = task.m_spec.m_size.m_memory_mb;
  event.m_progress_us = task.m_progress.count();
  return event;
}

/// Adds the progress made since the last update.
void UpdateProgress(Sim& sim, SimTask& task) {
  if (task.m_active) task.m_progress += (sim.m_now - task.m_updated) * task.m_share / 1000;
  task.m_progress = std::min(task.m_progress, task.m_total);
  task.m_updated = sim.m_now;
}

void SetActive(Sim& sim, SimWorker& worker, SimTask& task, const bool active) {
  if (task.m_active == active) return;
  task.m_active = active;
  RecordTaskEvent(sim, worker, task, active ? EventKind::kTaskActive : EventKind::kTaskInactive);
}

void EndTask(Sim& sim, SimWorker& worker, SimTask& task, TaskEvent end) {
  UpdateProgress(sim, task);
  SetActive(sim, worker, task, false);
  task.m_running = false;
  end.m_task = task.m_spec.m_task;
  end.m_run_time = task.m_progress;
  task.m_end = end;
  Event& event = RecordTaskEvent(sim, worker, task, EventKind::kTaskEnd);
  event.m_text = end.m_kind == TaskEventKind::kEnded     ? "ended"
                 : end.m_kind == TaskEventKind::kStopped ? "stopped"
                                                         : "lost";
  event.m_result = end.m_checkpoint;
  worker.m_send_event(end);
}

std::string RequestIdOf(const SimTask& task) {
  return task.m_payload.substr(0, task.m_payload.find('/'));
}

/// Ends the task if its work is done or its lease has expired; otherwise schedules the next check
/// for the earliest time at which either may be so.
void CheckTask(Sim& sim, SimWorker& worker, const TaskId id) {
  const auto found = worker.m_tasks.find(id);
  if (found == worker.m_tasks.end() || !found->second.m_running) return;
  SimTask& task = found->second;
  UpdateProgress(sim, task);
  if (task.m_progress >= task.m_total) {
    EndTask(sim, worker, task,
            {.m_kind = TaskEventKind::kEnded,
             .m_outcome = core::JobOutcome::kSucceeded,
             .m_result = "result of " + RequestIdOf(task)});
    return;
  }
  if (sim.m_now >= task.m_lease_until && sim.m_defect != Defect::kLeaseIgnored) {
    EndTask(sim, worker, task, {.m_kind = TaskEventKind::kLost});
    return;
  }
  Duration next = task.m_lease_until > sim.m_now ? task.m_lease_until - sim.m_now : 1s;
  if (task.m_active)
    next = std::min(next, (task.m_total - task.m_progress) * 1000 / task.m_share + 1us);
  After(sim, std::max<Duration>(next, 1us),
        [&sim, &worker, id, generation = worker.m_generation, check = ++task.m_check] {
          const auto later = worker.m_tasks.find(id);
          if (worker.m_generation == generation && later != worker.m_tasks.end() &&
              later->second.m_check == check)
            CheckTask(sim, worker, id);
        });
}

Duration LeaseEnd(const Sim& sim, const SimWorker& worker, const Duration lease) {
  return sim.m_now +
         Duration{static_cast<std::int64_t>(static_cast<double>(lease.count()) / worker.m_rate)};
}

}  // namespace

void Execute(Sim& sim, SimWorker& worker, const core::StartTask& action) {
  const TaskId& id = action.m_spec.m_task;
  if (worker.m_refused.contains(id)) {
    worker.m_send_event({.m_kind = TaskEventKind::kStartRefused, .m_task = id});
    return;
  }
  if (const auto found = worker.m_tasks.find(id); found != worker.m_tasks.end()) {
    TaskEvent event = found->second.m_end;
    if (found->second.m_running) event = {.m_kind = TaskEventKind::kStarted, .m_task = id};
    worker.m_send_event(event);
    return;
  }
  SimTask task{.m_spec = action.m_spec, .m_payload = action.m_payload};
  const auto slash = action.m_payload.find('/');
  task.m_total = std::chrono::milliseconds{std::stoll(action.m_payload.substr(slash + 1))};
  // A checkpoint is "job/attempt/progress in us".
  if (!action.m_checkpoint.empty())
    task.m_progress =
        Duration{std::stoll(action.m_checkpoint.substr(action.m_checkpoint.rfind('/') + 1))};
  task.m_updated = sim.m_now;
  task.m_lease_until = LeaseEnd(sim, worker, action.m_lease);
  SimTask& kept = worker.m_tasks.emplace(id, std::move(task)).first->second;
  RecordTaskEvent(sim, worker, kept, EventKind::kTaskBegin).m_result = action.m_checkpoint;
  SetActive(sim, worker, kept, true);
  worker.m_send_event({.m_kind = TaskEventKind::kStarted, .m_task = id});
  CheckTask(sim, worker, id);
}

void Execute(Sim& sim, SimWorker& worker, const core::RenewTask& action) {
  const auto found = worker.m_tasks.find(action.m_task);
  if (found == worker.m_tasks.end() || !found->second.m_running) return;
  found->second.m_lease_until = LeaseEnd(sim, worker, action.m_lease);
  CheckTask(sim, worker, action.m_task);
}

bool Execute(Sim& sim, SimWorker& worker, const core::ThrottleTask& action) {
  const auto found = worker.m_tasks.find(action.m_task);
  if (found == worker.m_tasks.end() || !found->second.m_running) return false;
  SimTask& task = found->second;
  if (action.m_version < task.m_version) return false;
  UpdateProgress(sim, task);
  task.m_version = action.m_version;
  task.m_share = std::max(action.m_share, 1U);
  const bool suspend = action.m_share == 0 && sim.m_defect != Defect::kLeaseIgnored;
  SetActive(sim, worker, task, !suspend);
  CheckTask(sim, worker, action.m_task);
  return true;
}

void Execute(Sim& sim, SimWorker& worker, const core::StopTask& action) {
  const auto found = worker.m_tasks.find(action.m_task);
  if (found == worker.m_tasks.end()) {
    worker.m_refused.insert(action.m_task);
    worker.m_send_event({.m_kind = TaskEventKind::kStartRefused, .m_task = action.m_task});
    return;
  }
  SimTask& task = found->second;
  if (!task.m_running) {
    worker.m_send_event(task.m_end);
    return;
  }
  // Tasks of class "certificate" cannot be checkpointed.
  const bool can = task.m_spec.m_class.m_value != "certificate";
  if (action.m_checkpoint && !can) {
    worker.m_send_event({.m_kind = TaskEventKind::kCheckpointFailed, .m_task = action.m_task});
    return;
  }
  UpdateProgress(sim, task);
  TaskEvent end{.m_kind = TaskEventKind::kStopped};
  if (action.m_checkpoint)
    end.m_checkpoint = action.m_task.m_job.m_value + "/" + std::to_string(action.m_task.m_attempt) +
                       "/" + std::to_string(task.m_progress.count());
  EndTask(sim, worker, task, std::move(end));
}

void Execute(Sim&, SimWorker& worker, const core::ForgetTask& action) {
  const auto found = worker.m_tasks.find(action.m_task);
  if (found != worker.m_tasks.end() && !found->second.m_running) worker.m_tasks.erase(found);
}

std::vector<core::ListedTask> ListTasks(const SimWorker& worker) {
  std::vector<core::ListedTask> list;
  for (const auto& [id, task] : worker.m_tasks)
    list.push_back({.m_spec = task.m_spec, .m_running = task.m_running, .m_end = task.m_end});
  return list;
}

void BeginRun(Sim& sim, SimWorker& worker, const core::CallEndpoint& call,
              std::function<void(std::optional<std::string>)> done) {
  const std::string request = call.m_request.m_value;
  const std::uint64_t number = ++worker.m_last_run;
  worker.m_runs[number] = {.m_request = request, .m_done = std::move(done)};
  Event& event = RecordEvent(sim, EventKind::kRunBegin, worker.m_name);
  event.m_request = request;
  event.m_attempt = number;
  event.m_cpu = kRunSize.m_cpu_millis;
  event.m_memory = kRunSize.m_memory_mb;
  After(sim, RandomDuration(sim, 20ms, 900ms), [&sim, &worker, number] {
    const auto found = worker.m_runs.find(number);
    if (found == worker.m_runs.end()) return;
    const SimRun run = std::move(found->second);
    worker.m_runs.erase(found);
    Event& end = RecordEvent(sim, EventKind::kRunEnd, worker.m_name);
    end.m_request = run.m_request;
    end.m_attempt = number;
    end.m_text = "done";
    run.m_done("result of " + run.m_request);
  });
}

void AbortRuns(Sim& sim, SimWorker& worker, const bool planned) {
  for (const auto& [number, run] : std::exchange(worker.m_runs, {})) {
    Event& end = RecordEvent(sim, EventKind::kRunEnd, worker.m_name);
    end.m_request = run.m_request;
    end.m_attempt = number;
    end.m_text = "cut";
    if (planned)
      RecordEvent(sim, EventKind::kRunCutByStop, worker.m_name).m_request = run.m_request;
    run.m_done(std::nullopt);
  }
}

void RestartWorker(Sim& sim, SimWorker& worker) {
  AbortRuns(sim, worker, false);
  for (auto& [id, task] : worker.m_tasks) {
    if (!task.m_running) continue;
    UpdateProgress(sim, task);
    SetActive(sim, worker, task, false);
    RecordTaskEvent(sim, worker, task, EventKind::kTaskEnd).m_text = "lost";
  }
  worker.m_tasks.clear();
  worker.m_refused.clear();
  ++worker.m_generation;
}

}  // namespace ebonypin::faults
