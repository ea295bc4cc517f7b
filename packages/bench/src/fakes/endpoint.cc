#include "endpoint.h"

#include <algorithm>
#include <cmath>

namespace ebonypin::bench {

Endpoint::Endpoint(EventLoop& loop, EndpointOptions options, const std::size_t classes)
    : m_loop(loop),
      m_options(std::move(options)),
      m_advanced(loop.Now()),
      m_usage(classes),
      m_usage_since(loop.Now()) {}

std::uint32_t Endpoint::SlotsHeld() const noexcept {
  return static_cast<std::uint32_t>(std::count_if(
      m_tasks.begin(), m_tasks.end(), [](const Task& task) { return task.m_holds_slot; }));
}

core::Resources Endpoint::Committed() const noexcept {
  core::Resources sum;
  for (const Task& task : m_tasks) {
    core::Resources size = task.m_size;
    // A throttled task uses no processor but keeps its memory.
    if (!task.m_holds_slot) size.m_cpu_millis = 0;
    sum = sum + size;
  }
  return sum;
}

bool Endpoint::LongHoldsSlot() const noexcept {
  return std::any_of(m_tasks.begin(), m_tasks.end(),
                     [](const Task& task) { return task.m_holds_slot && !task.m_short; });
}

Task* Endpoint::Find(const std::uint64_t id) {
  const auto found = std::find_if(m_tasks.begin(), m_tasks.end(),
                                  [id](const Task& task) { return task.m_id == id; });
  return found == m_tasks.end() ? nullptr : &*found;
}

void Endpoint::Advance() {
  const Duration passed = m_loop.Now() - m_advanced;
  m_advanced = m_loop.Now();
  const auto us = static_cast<double>(passed.count());
  for (Task& task : m_tasks) {
    if (task.m_throttled) continue;
    task.m_left_us -= us * task.m_rate;
    task.m_served += passed;
    UsageSum& usage = m_usage[task.m_class];
    usage.m_task_us += us;
    usage.m_slow_us += us / std::max(task.m_rate, 0.01);
    usage.m_peak = {.m_cpu_millis = std::max(usage.m_peak.m_cpu_millis, task.m_used.m_cpu_millis),
                    .m_memory_mb = std::max(usage.m_peak.m_memory_mb, task.m_used.m_memory_mb)};
  }
}

void Endpoint::Reschedule() {
  double cpu = 0.0;
  for (const Task& task : m_tasks) {
    if (!task.m_throttled) cpu += static_cast<double>(task.m_used.m_cpu_millis);
  }
  const double share =
      std::min(1.0, static_cast<double>(m_options.m_capacity.m_cpu_millis) / std::max(cpu, 1.0));
  double soonest = -1.0;
  for (Task& task : m_tasks) {
    if (task.m_throttled) continue;
    double slowdown = 1.0;
    if (!m_options.m_slowdown.empty()) {
      for (const Task& other : m_tasks) {
        if (&other == &task || other.m_throttled) continue;
        slowdown += m_load_factor * m_options.m_slowdown[task.m_class][other.m_class];
      }
    }
    task.m_rate = share / slowdown;
    const double left = std::max(0.0, task.m_left_us) / task.m_rate;
    if (soonest < 0.0 || left < soonest) soonest = left;
  }
  ++m_version;
  if (soonest >= 0.0) {
    m_loop.After(Duration{static_cast<std::int64_t>(std::ceil(soonest))},
                 [this, version = m_version] { EndFirst(version); });
  }
}

void Endpoint::EndFirst(const std::uint64_t version) {
  if (version != m_version) return;
  Advance();
  std::vector<Task> ended;
  std::erase_if(m_tasks, [&ended](const Task& task) {
    if (task.m_throttled || task.m_left_us > 0.5) return false;
    ended.push_back(task);
    return true;
  });
  Reschedule();
  for (const Task& task : ended) {
    const bool failed = m_options.m_fails_all && task.m_started >= m_options.m_fails_from &&
                        task.m_started < m_options.m_fails_until;
    if (failed) ++m_failures;
    m_on_end(task, !failed);
  }
  if (!ended.empty()) m_on_slot();
}

void Endpoint::Start(Task task) {
  Advance();
  ++m_starts;
  task.m_started = m_loop.Now();
  const bool failing = m_options.m_fails_all && task.m_started >= m_options.m_fails_from &&
                       task.m_started < m_options.m_fails_until;
  // A broken endpoint fails quickly, which makes it look free.
  if (failing) task.m_left_us = std::min(task.m_left_us, 2000.0);
  m_tasks.push_back(task);
  if (SlotsHeld() > m_options.m_slots || !core::Fits(Committed(), m_options.m_capacity)) {
    ++m_breaches;
  }
  std::int64_t memory = 0;
  for (const Task& other : m_tasks) memory += other.m_used.m_memory_mb;
  if (memory > m_options.m_capacity.m_memory_mb) {
    // Out of memory: the newcomer is killed at once.
    m_tasks.pop_back();
    ++m_failures;
    m_loop.After(Duration{1000}, [this, task] { m_on_end(task, false); });
  }
  Reschedule();
}

void Endpoint::Throttle(const std::uint64_t id) {
  Advance();
  Task* const task = Find(id);
  if (task == nullptr || task->m_throttled) return;
  task->m_throttled = true;
  task->m_throttled_at = m_loop.Now();
  Reschedule();
  m_loop.After(m_options.m_throttle_delay, [this, id, at = m_loop.Now()] {
    Task* const throttled = Find(id);
    if (throttled == nullptr || !throttled->m_throttled || throttled->m_throttled_at != at) return;
    throttled->m_holds_slot = false;
    m_on_slot();
  });
}

void Endpoint::Resume(const std::uint64_t id) {
  Advance();
  Task* const task = Find(id);
  if (task == nullptr || !task->m_throttled) return;
  task->m_throttled = false;
  task->m_holds_slot = true;
  if (SlotsHeld() > m_options.m_slots || !core::Fits(Committed(), m_options.m_capacity)) {
    ++m_breaches;
  }
  Reschedule();
}

std::optional<Task> Endpoint::Stop(const std::uint64_t id) {
  Advance();
  const Task* const found = Find(id);
  if (found == nullptr) return std::nullopt;
  const Task task = *found;
  std::erase_if(m_tasks, [id](const Task& other) { return other.m_id == id; });
  Reschedule();
  return task;
}

void Endpoint::SetLoadFactor(const double factor) {
  Advance();
  m_load_factor = factor;
  Reschedule();
}

std::vector<ClassUsage> Endpoint::TakeUsage() {
  Advance();
  const double window = std::max(
      1.0, static_cast<double>(
               std::chrono::duration_cast<Duration>(m_loop.Now() - m_usage_since).count()));
  std::vector<ClassUsage> usage;
  for (UsageSum& sum : m_usage) {
    usage.push_back({.m_running = sum.m_task_us / window,
                     .m_slowdown = sum.m_task_us > 0.0 ? sum.m_slow_us / sum.m_task_us : 1.0,
                     .m_peak = sum.m_peak});
    sum = {};
  }
  m_usage_since = m_loop.Now();
  return usage;
}

}  // namespace ebonypin::bench
