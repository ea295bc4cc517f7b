#include "agent_driver.h"

#include <algorithm>

namespace ebonypin::bench {
namespace {

constexpr Duration kTick = std::chrono::milliseconds{50};
constexpr double kLatencyGain = 0.1;
/// Short work may spend a fifth of its start target on taking a slot back.
constexpr int kPatienceDivisor = 5;
/// Ratio of the 99th percentile to the median of the run times of the traces.
constexpr double kTailFactor = 2.5;

std::uint64_t ItemOf(const core::RequestId& request) { return std::stoull(request.m_value); }
core::JobId JobOf(const std::uint64_t item) { return {std::to_string(item)}; }

}  // namespace

AgentDriver::AgentDriver(World& world, const std::uint32_t worker)
    : m_world(world), m_worker(worker), m_endpoint(*world.m_endpoints[worker]) {
  m_slot_options.m_reclaim = 2 * m_endpoint.Options().m_throttle_delay;
  if (!world.With("slope")) m_slot_options.m_slope_span = Duration{0};
  if (!world.With("spare")) m_slot_options.m_spare_factor = 0.0;
  m_endpoint.m_on_slot = [this] { Pump(); };
  m_endpoint.m_on_end = [this](const Task& task, const bool done) { OnEnd(task, done); };
  m_world.m_loop.After(kTick, [this] { Tick(); });
}

void AgentDriver::Tick() {
  Pump();
  m_world.m_loop.After(kTick, [this] { Tick(); });
}

core::Resources AgentDriver::Free() const {
  core::Resources free = m_endpoint.Options().m_capacity - m_endpoint.Committed();
  for (const auto& [item, size] : m_reserved) free = free - size;
  return free;
}

Duration AgentDriver::ExpectedRun(const core::ClassName& name, const Duration declared) {
  return core::RunTimeQuantile(m_models[name], m_run_options, 0.5, declared);
}

core::QueueSnapshot AgentDriver::Outlook() const {
  core::QueueSnapshot outlook{.m_slots = m_endpoint.Options().m_slots,
                              .m_queued = static_cast<std::uint32_t>(m_waiting.size()),
                              .m_run = Duration{static_cast<std::int64_t>(m_run_us)},
                              .m_reclaim = m_slot_options.m_reclaim};
  for (const Task& task : m_endpoint.Tasks()) {
    if (!task.m_holds_slot) continue;
    ++(task.m_short ? outlook.m_busy : outlook.m_reclaimable);
  }
  return outlook;
}

void AgentDriver::OnRun(const core::RunRequest& run, const Duration travel, Reply reply) {
  const Duration expected = ExpectedRun(run.m_class, run.m_expected_run);
  const Duration wait = core::PredictWait(Outlook());
  if (wait > run.m_start_within) {
    reply({.m_request = run.m_request,
           .m_try = run.m_try,
           .m_kind = core::AnswerKind::kNotRun,
           .m_error = {.m_kind = core::ErrorKind::kOverloaded,
                       .m_message = "the predicted start is too late for the target; retry later",
                       .m_retry_after = wait - run.m_start_within},
           .m_load = Load()});
    return;
  }
  const Time now = m_world.m_loop.Now();
  core::PushWork(m_queue, {.m_id = run.m_try,
                           .m_latest_start = now + run.m_start_within,
                           .m_size = run.m_size,
                           .m_expected_run = expected});
  m_waiting.emplace(run.m_try, Pending{.m_run = run,
                                       .m_item = ItemOf(run.m_request),
                                       .m_travel = travel,
                                       .m_arrived = now,
                                       .m_reply = std::move(reply)});
  Pump();
}

void AgentDriver::OnCancel(const core::RequestId& request) {
  const std::uint64_t item = ItemOf(request);
  for (const auto& [number, pending] : m_waiting) {
    if (pending.m_item != item) continue;
    core::CancelWork(m_queue, number);
    m_waiting.erase(number);
    return;
  }
  if (m_running.erase(item) == 0) return;
  if (m_endpoint.Stop(item)) m_world.EndItem(item, false);
  Pump();
}

bool AgentDriver::Reserve(const std::uint64_t item, const core::Resources& size) {
  if (!core::Fits(size, Free())) return false;
  const core::SlotPlan plan = Plan();
  const double harm = HarmOf(m_world.Item(item).m_class);
  if (plan.m_admit == 0 || (harm > 0.0 && harm > plan.m_admit_slowdown)) return false;
  m_reserved.emplace(item, size);
  return true;
}

void AgentDriver::StartJob(const std::uint64_t item, const core::Attempt attempt,
                           const double left_us, const Duration travel) {
  const auto reserved = m_reserved.extract(item);
  if (reserved.empty()) return;
  // Demand may have risen since the reservation: the job then starts throttled.
  const bool throttled = m_endpoint.SlotsHeld() >= m_endpoint.Options().m_slots;
  m_jobs[item] = {.m_attempt = attempt};
  m_world.StartItem(m_worker, item, reserved.mapped(), left_us, travel, throttled);
  Pump();
}

void AgentDriver::CancelJob(const std::uint64_t item) {
  m_reserved.erase(item);
  if (m_jobs.erase(item) == 0) return;
  if (m_endpoint.Stop(item)) m_world.EndItem(item, false);
  Pump();
}

core::SlotPlan AgentDriver::Plan() {
  core::SlotPlanInput input{.m_now = m_world.m_loop.Now(),
                            .m_slots = m_endpoint.Options().m_slots,
                            .m_short_queued = static_cast<std::uint32_t>(m_waiting.size()),
                            .m_short_target_missed = m_target_missed,
                            .m_short_wait_tolerance = Patience(),
                            .m_slowdown_limit = HarmLimit()};
  for (const Task& task : m_endpoint.Tasks()) {
    if (task.m_short) {
      ++input.m_short_busy;
    } else {
      const Job& job = m_jobs.at(task.m_id);
      if (job.m_leaving) continue;
      input.m_batch.push_back({.m_job = JobOf(task.m_id),
                               .m_attempt = job.m_attempt,
                               .m_started = task.m_started,
                               .m_throttled = task.m_throttled,
                               .m_throttled_at = task.m_throttled_at,
                               .m_expected_left = ExpectedLeft(task),
                               .m_extra_slowdown = HarmOf(task.m_class)});
    }
  }
  for (const auto& [item, size] : m_reserved) {
    input.m_batch.push_back({.m_job = JobOf(item),
                             .m_started = m_world.m_loop.Now(),
                             .m_extra_slowdown = HarmOf(m_world.Item(item).m_class)});
  }
  return core::PlanSlots(m_slots, m_slot_options, input);
}

void AgentDriver::Pump() {
  const core::SlotPlan plan = Plan();
  for (const core::JobId& job : plan.m_throttle) {
    const std::uint64_t item = std::stoull(job.m_value);
    if (m_reserved.contains(item)) continue;
    ++m_world.m_result.m_throttles;
    m_endpoint.Throttle(item);
  }
  StartShort();
  for (const core::JobId& job : plan.m_resume) {
    const std::uint64_t item = std::stoull(job.m_value);
    const auto& tasks = m_endpoint.Tasks();
    const auto task = std::find_if(tasks.begin(), tasks.end(),
                                   [item](const Task& one) { return one.m_id == item; });
    const core::Resources cpu{.m_cpu_millis = task->m_holds_slot ? 0 : task->m_size.m_cpu_millis};
    if (!core::Fits(cpu, Free())) continue;
    if (task->m_holds_slot || m_endpoint.SlotsHeld() < m_endpoint.Options().m_slots) {
      m_endpoint.Resume(item);
    }
  }
  for (const core::JobId& job : plan.m_evict) Evict(std::stoull(job.m_value));
}

void AgentDriver::StartShort() {
  while (m_endpoint.SlotsHeld() < m_endpoint.Options().m_slots) {
    const core::Resources free = Free();
    const auto item = core::PopWork(m_queue, [&free](const core::QueueItem& candidate) {
      return core::Fits(candidate.m_size, free);
    });
    if (!item) return;
    auto waiting = m_waiting.extract(item->m_id);
    Pending pending = std::move(waiting.mapped());
    const std::uint64_t id = pending.m_item;
    const Duration travel = pending.m_travel;
    const core::Resources size = pending.m_run.m_size;
    m_running.insert_or_assign(id, std::move(pending));
    m_world.StartItem(m_worker, id, size, static_cast<double>(m_world.Item(id).m_run.count()),
                      travel);
  }
}

void AgentDriver::OnEnd(const Task& task, const bool done) {
  m_world.EndItem(task.m_id, done);
  if (!task.m_short) {
    if (done) {
      const core::ClassName& name = m_world.ClassOf(task.m_id).m_spec.m_name;
      core::LearnRun(m_models[name], m_run_options, task.m_served, task.m_used);
    }
    m_jobs.erase(task.m_id);
    m_on_job_end(task, done);
    return;
  }
  const auto found = m_running.extract(task.m_id);
  if (found.empty()) return;
  const Pending& pending = found.mapped();
  const Time now = m_world.m_loop.Now();
  const auto latency = static_cast<double>((now - pending.m_arrived).count());
  const auto run = static_cast<double>((now - task.m_started).count());
  m_latency_us += kLatencyGain * (latency - m_latency_us);
  m_run_us += kLatencyGain * (run - m_run_us);
  if (done) {
    core::LearnRun(m_models[pending.m_run.m_class], m_run_options, task.m_served, task.m_used);
  }
  const std::string result = done ? "result of " + pending.m_run.m_request.m_value : "";
  pending.m_reply({.m_request = pending.m_run.m_request,
                   .m_try = pending.m_run.m_try,
                   .m_kind = done ? core::AnswerKind::kDone : core::AnswerKind::kUnknown,
                   .m_error = {.m_kind = core::ErrorKind::kTaskFailed,
                               .m_message = "the endpoint reported a failure; send it again"},
                   .m_result = result,
                   .m_result_hash = core::StableHash(result),
                   .m_load = Load()});
}

void AgentDriver::Evict(const std::uint64_t item) {
  m_jobs.at(item).m_leaving = true;
  ++m_world.m_result.m_evictions;
  m_world.m_loop.After(kCheckpointTime, [this, item] {
    if (m_jobs.erase(item) == 0) return;
    const auto task = m_endpoint.Stop(item);
    if (!task) return;
    m_world.EndItem(item, false);
    m_on_evicted(*task);
    Pump();
  });
}

Duration AgentDriver::ExpectedLeft(const Task& task) {
  if (!m_world.With("expected_left")) return Duration{0};
  const core::ClassName& name = m_world.ClassOf(task.m_id).m_spec.m_name;
  return core::ExpectedLeft(m_models[name], m_run_options, task.m_served,
                            m_world.Item(task.m_id).m_declared_run);
}

double AgentDriver::HarmOf(const std::uint32_t cause) const {
  if (!m_world.With("interference")) return 0.0;
  const auto& classes = m_world.GetScenario().m_classes;
  // Short work that is not here now may come back before a throttled slot is free.
  double harm = 0.0;
  for (const Task& task : m_endpoint.Tasks()) {
    if (!task.m_short) continue;
    harm = std::max(harm, core::PairSlowdown(m_interference, m_interference_options,
                                             classes[task.m_class].m_spec.m_name,
                                             classes[cause].m_spec.m_name, m_world.m_loop.Now()));
  }
  return harm;
}

Duration AgentDriver::Patience() const {
  if (!m_world.With("patience")) return Duration{0};
  Duration smallest = Duration::max();
  for (const WorkClass& work : m_world.GetScenario().m_classes) {
    const auto& start = work.m_spec.m_target.m_start_within;
    if (work.m_short && start) smallest = std::min(smallest, *start);
  }
  return smallest == Duration::max() ? Duration{0} : smallest / kPatienceDivisor;
}

double AgentDriver::HarmLimit() const {
  const auto& classes = m_world.GetScenario().m_classes;
  double limit = std::numeric_limits<double>::infinity();
  for (const WorkClass& work : classes) {
    const auto& latency = work.m_spec.m_target.m_latency;
    if (!work.m_short || !latency) continue;
    const double alone = kTailFactor * static_cast<double>(work.m_median_run.count());
    limit = std::min(limit, static_cast<double>(latency->count()) / alone - 1.0);
  }
  return std::max(0.0, limit);
}

void AgentDriver::OnUsage(const std::vector<ClassUsage>& usage) {
  const auto& classes = m_world.GetScenario().m_classes;
  m_target_missed = false;
  std::vector<core::RunningClass> batch;
  for (std::size_t i = 0; i < classes.size(); ++i) {
    if (!classes[i].m_short) batch.push_back({classes[i].m_spec.m_name, usage[i].m_running});
  }
  for (std::size_t i = 0; i < classes.size(); ++i) {
    if (!classes[i].m_short || usage[i].m_running < 0.1) continue;
    core::LearnInterference(m_interference, m_interference_options, classes[i].m_spec.m_name,
                            usage[i].m_slowdown, batch, m_world.m_loop.Now());
    const auto& latency = classes[i].m_spec.m_target.m_latency;
    const auto expected = static_cast<double>(classes[i].m_median_run.count());
    if (latency &&
        expected * usage[i].m_slowdown * kTailFactor > static_cast<double>(latency->count())) {
      m_target_missed = true;
    }
  }
  if (m_world.With("interference")) m_target_missed = false;
}

core::AgentLoad AgentDriver::Load() const {
  core::Resources committed = m_endpoint.Committed();
  for (const auto& [item, size] : m_reserved) committed = committed + size;
  return {.m_committed = committed,
          .m_slots_busy = m_endpoint.SlotsHeld() + static_cast<std::uint32_t>(m_reserved.size()),
          .m_queued = static_cast<std::uint32_t>(m_waiting.size()),
          .m_latency_us = static_cast<std::uint32_t>(m_latency_us)};
}

}  // namespace ebonypin::bench
