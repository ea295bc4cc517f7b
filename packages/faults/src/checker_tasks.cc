#include <algorithm>
#include <map>
#include <optional>
#include <set>

#include "checker_parts.h"

namespace ebonypin::faults {
namespace {

struct Usage {
  std::int64_t m_cpu = 0;
  std::int64_t m_memory = 0;
  std::int64_t m_slots = 0;
};

/// One execution of an attempt at a worker.
struct Execution {
  Event m_begin;
  std::optional<Event> m_end;
  std::int64_t m_end_progress = 0;
};

std::string ExecutionName(const Event& event) {
  return "job " + event.m_job + " attempt " + std::to_string(event.m_attempt) + " on " +
         event.m_source;
}

}  // namespace

/// A task holds its memory from begin to end, but its slot and CPU only while it is active, because
/// the agent suspends batch tasks to lend their slots to requests. So each resumption is checked
/// too.
void CheckCapacity(const History& history, Verdict& verdict) {
  std::map<std::string, Usage> sizes;
  std::map<std::string, Usage> usage;
  std::map<std::string, Event> begun;  // Begin events of tasks, active periods and requests, by id.
  for (const Event& event : history) {
    if (event.m_kind == EventKind::kWorkerSize)
      sizes[event.m_source] = {event.m_cpu, event.m_memory, event.m_slots};
    const bool task = event.m_kind == EventKind::kTaskBegin || event.m_kind == EventKind::kTaskEnd;
    const bool active =
        event.m_kind == EventKind::kTaskActive || event.m_kind == EventKind::kTaskInactive;
    const bool run = event.m_kind == EventKind::kRunBegin || event.m_kind == EventKind::kRunEnd;
    if (!task && !active && !run) continue;
    const bool begins = event.m_kind == EventKind::kTaskBegin ||
                        event.m_kind == EventKind::kTaskActive ||
                        event.m_kind == EventKind::kRunBegin;
    const std::string id = event.m_source +
                           (task     ? " t " + event.m_job
                            : active ? " a " + event.m_job
                                     : " r " + event.m_request) +
                           " " + std::to_string(event.m_attempt);
    Usage& sum = usage[event.m_source];
    const auto add = [&](const Event& what, const std::int64_t sign) {
      if (!task) sum.m_cpu += sign * what.m_cpu;
      if (!active) sum.m_memory += sign * what.m_memory;
      if (!task) sum.m_slots += sign;
    };
    if (begins) {
      if (!active) ++verdict.m_operations;
      begun[id] = event;
      add(event, 1);
      const Usage& size = sizes[event.m_source];
      if (sum.m_cpu > size.m_cpu || sum.m_memory > size.m_memory || sum.m_slots > size.m_slots)
        AddViolation(verdict, "I1",
                     event.m_source + " is committed beyond its size" + AtTime(event));
    } else if (const auto found = begun.find(id); found != begun.end()) {
      add(found->second, -1);
      begun.erase(found);
    }
  }
}

void CheckTasks(const History& history, Verdict& verdict) {
  std::map<std::string, std::vector<Execution>> jobs;
  std::map<std::string, std::set<std::string>>
      active;  // Active attempts of exclusive work with their workers, by job.
  for (const Event& event : history) {
    auto& executions = jobs[event.m_job];
    const auto current =
        std::find_if(executions.begin(), executions.end(), [&event](const Execution& execution) {
          return execution.m_begin.m_attempt == event.m_attempt &&
                 execution.m_begin.m_source == event.m_source;
        });
    switch (event.m_kind) {
      case EventKind::kTaskBegin:
        for (const Execution& earlier : executions) {
          if (earlier.m_begin.m_attempt == event.m_attempt)
            AddViolation(verdict, "I3",
                         ExecutionName(event) + " began a second time" + AtTime(event));
        }
        if (event.m_non_idempotent && !executions.empty()) {
          const Execution& last = executions.back();
          const bool at_checkpoint = last.m_end && last.m_end->m_text == "stopped" &&
                                     !last.m_end->m_result.empty() &&
                                     event.m_result == last.m_end->m_result;
          if (!at_checkpoint)
            AddViolation(verdict, "I6", ExecutionName(event) + " repeats work" + AtTime(event));
        }
        if (!event.m_result.empty()) {
          const bool known =
              std::any_of(executions.begin(), executions.end(), [&event](const Execution& other) {
                return other.m_end && other.m_end->m_result == event.m_result;
              });
          if (!known)
            AddViolation(verdict, "I3",
                         ExecutionName(event) + " resumed from a checkpoint that is not its own" +
                             AtTime(event));
        }
        executions.push_back({.m_begin = event});
        break;
      case EventKind::kTaskActive:
        if (!event.m_exclusive) break;
        active[event.m_job].insert(event.m_source + "/" + std::to_string(event.m_attempt));
        if (active[event.m_job].size() > 1)
          AddViolation(verdict, "I2", ExecutionName(event) + " runs in two places" + AtTime(event));
        break;
      case EventKind::kTaskInactive:
        active[event.m_job].erase(event.m_source + "/" + std::to_string(event.m_attempt));
        break;
      case EventKind::kTaskEnd:
        if (current != executions.end()) current->m_end = event;
        break;
      default:
        break;
    }
  }
}

void CheckDrains(const History& history, Verdict& verdict) {
  std::map<std::string, std::int64_t> leaving;
  for (const Event& event : history) {
    switch (event.m_kind) {
      case EventKind::kDrainBegan:
        leaving.emplace(event.m_source, event.m_at_us);
        break;
      case EventKind::kDrainEnded:
        leaving.erase(event.m_source);
        break;
      case EventKind::kTaskBegin:
      case EventKind::kRunBegin:
        if (const auto found = leaving.find(event.m_source);
            found != leaving.end() && event.m_at_us > found->second + 3'000'000)
          AddViolation(verdict, "I7",
                       event.m_source + " got new work while leaving" + AtTime(event));
        break;
      case EventKind::kRunCutByStop:
        AddViolation(
            verdict, "I8",
            "request " + event.m_request + " was cut off by a planned stop" + AtTime(event));
        break;
      default:
        break;
    }
  }
}

}  // namespace ebonypin::faults
