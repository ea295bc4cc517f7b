#include "run_worker_sim.h"

#include <algorithm>
#include <sstream>
#include <tuple>

namespace ebonypin::standin {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kLongestLease{6000};
constexpr milliseconds kForEver{std::chrono::hours{24}};

/// Returns the times of a run, or null when they are no longer kept.
SimRunTimes* FindTimes(RunWorkerSim& worker, const std::string& task, const std::uint64_t run) {
  const auto found =
      std::find_if(worker.m_times.rbegin(), worker.m_times.rend(),
                   [&](const auto& times) { return times.m_task == task && times.m_run == run; });
  return found == worker.m_times.rend() ? nullptr : &*found;
}

/// Runs whose times are kept; a bound on the memory of a stand-in that runs for long.
constexpr std::size_t kMaxTimes = 10'000;

void End(RunWorkerSim& worker, const WorkerTime at, const std::string& task,
         const std::string& how) {
  const auto run = worker.m_runs.at(task).m_run;
  if (auto* const times = FindTimes(worker, task, run)) {
    times->m_ended = at;
    times->m_how = how;
  }
  worker.m_runs.erase(task);
  auto& closed = worker.m_closed[task];
  closed = std::max(closed, run);
  worker.m_ends.push_back(
      {.m_number = worker.m_next_end++, .m_task = task, .m_run = run, .m_how = how});
}

SimRun MakeRun(const std::uint64_t run, const WorkerTime now, const std::string& payload) {
  SimRun made{.m_run = run, .m_started = now, .m_length = kForEver, .m_end = "done"};
  std::istringstream words(payload);
  std::string verb;
  std::int64_t length = 0;
  words >> verb >> length;
  if (verb == "fail") {
    made.m_end = "failed";
    made.m_length = milliseconds{1};
  } else if (verb == "last") {
    made.m_lasts = true;
  } else {
    made.m_length = milliseconds{length};
  }
  return made;
}

}  // namespace

std::int64_t ClockMs(const RunWorkerSim& worker, const WorkerTime now) {
  return std::chrono::duration_cast<milliseconds>(now - worker.m_born).count();
}

std::uint32_t Percent(const SimRun& run, const WorkerTime now) {
  if (run.m_lasts || run.m_length <= milliseconds{0}) return 100;
  const auto done = std::chrono::duration_cast<milliseconds>(now - run.m_started);
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(100 * done.count() / run.m_length.count(), 0, 100));
}

void Advance(RunWorkerSim& worker, const WorkerTime now) {
  if (now >= worker.m_deadline) worker.m_last_lapse = worker.m_deadline;
  std::vector<std::tuple<WorkerTime, std::string, std::string>> over;
  for (const auto& [task, run] : worker.m_runs) {
    const auto finish = run.m_started + run.m_length;
    if (now >= finish) {
      over.emplace_back(finish, task, run.m_end);
    } else if (now >= worker.m_deadline) {
      over.emplace_back(worker.m_deadline, task, "lapsed");
    }
  }
  for (const auto& [at, task, how] : over) End(worker, at, task, how);
}

bool TakeFence(RunWorkerSim& worker, const std::uint64_t fence) {
  if (fence < worker.m_fence) return false;
  worker.m_fence = fence;
  return true;
}

void Extend(RunWorkerSim& worker, const WorkerTime now, const std::int64_t deadline_ms) {
  Advance(worker, now);  // A lease that has lapsed cannot be extended.
  const auto asked = worker.m_born + milliseconds{deadline_ms};
  worker.m_deadline = std::max(worker.m_deadline, std::min(asked, now + kLongestLease));
}

std::string Start(RunWorkerSim& worker, const WorkerTime now, const std::string& task,
                  const std::uint64_t run, const std::string& payload,
                  const std::int64_t deadline_ms) {
  Advance(worker, now);
  if (deadline_ms <= ClockMs(worker, now)) return "late";
  Extend(worker, now, deadline_ms);
  const auto there = worker.m_runs.find(task);
  if (there != worker.m_runs.end() && there->second.m_run == run) return {};
  if (there != worker.m_runs.end() || run <= worker.m_closed[task]) return "old";
  ++worker.m_starts;
  worker.m_runs[task] = MakeRun(run, now, payload);
  worker.m_times.push_back({.m_task = task, .m_run = run, .m_started = now});
  if (worker.m_times.size() > kMaxTimes) worker.m_times.pop_front();
  return {};
}

void Stop(RunWorkerSim& worker, const WorkerTime now, const std::string& task,
          const std::uint64_t run) {
  Advance(worker, now);
  const auto there = worker.m_runs.find(task);
  if (there != worker.m_runs.end() && there->second.m_run <= run) {
    End(worker, now, task, "stopped");
  }
  auto& closed = worker.m_closed[task];
  closed = std::max(closed, run);
}

void Forget(RunWorkerSim& worker, const std::uint64_t seen_end) {
  std::erase_if(worker.m_ends, [&](const SimEnd& end) {
    if (end.m_number > seen_end) return false;
    auto* const times = FindTimes(worker, end.m_task, end.m_run);
    if (times != nullptr) times->m_acknowledged = worker.m_last_lapse <= times->m_ended;
    return true;
  });
}

}  // namespace ebonypin::standin
