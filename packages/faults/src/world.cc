#include "ebonypin/faults/world.h"

#include <algorithm>
#include <array>
#include <memory>

#include "sim_agent.h"
#include "sim_entry.h"
#include "workload.h"

namespace ebonypin::faults {
namespace {

using namespace std::chrono_literals;

constexpr Duration kFaultsOver = std::chrono::milliseconds{kFaultsOverMs};
/// Leaves enough time for authority and grants to expire, for the unresolved timeout, and for
/// several attempts.
constexpr Duration kRunLimit = kFaultsOver + 400s;
constexpr Duration kMinSettleTime = 20s;
/// Short enough for faults to occur while the log is being truncated.
constexpr Duration kRetention = 40s;
/// Records are rewritten at half of the retention, so outages must be shorter than the other half.
constexpr std::uint32_t kMaxOutageMs = 8'000;
constexpr std::uint32_t kMaxCutOffMs = 30'000;

Duration BeginTime(const Fault& fault) { return std::chrono::milliseconds{fault.m_at_ms}; }

Duration EndTime(const Fault& fault) {
  return std::min(BeginTime(fault) + std::chrono::milliseconds{fault.m_length_ms}, kFaultsOver);
}

void Pause(Process& process, const Duration until) {
  process.m_paused_until = std::max(process.m_paused_until, until);
}

/// Starts a fault that affects processes or operators. Faults of the network and the log take
/// effect through ActiveFault instead.
void InjectFault(World& world, const Fault& fault) {
  Sim& sim = world.m_sim;
  const std::string target = TargetName(fault);
  SimEntry* const entry = world.FindEntry(target);
  SimAgent* const agent = world.FindAgent(target);
  const Duration remaining = std::max<Duration>(EndTime(fault) - sim.m_now, 100ms);
  switch (fault.m_kind) {
    case FaultKind::kCrashEntry:
      CrashEntry(sim, *entry);
      After(sim, remaining, [&sim, entry] { StartEntry(sim, *entry); });
      break;
    case FaultKind::kCrashInstance:
      RestartWorker(sim, agent->m_worker);
      [[fallthrough]];
    case FaultKind::kCrashAgent:
      CrashAgent(sim, *agent);
      After(sim, remaining, [&sim, agent] { StartAgent(sim, *agent); });
      break;
    case FaultKind::kRestartWorker:
      RestartWorkerOf(sim, *agent);
      break;
    case FaultKind::kPauseEntry:
      Pause(entry->m_process, EndTime(fault));
      break;
    case FaultKind::kPauseAgent:
      Pause(agent->m_process, EndTime(fault));
      break;
    case FaultKind::kStopEntry:
      StopEntry(sim, *entry);
      break;
    case FaultKind::kStopAgent:
      StopAgent(sim, *agent);
      break;
    case FaultKind::kDrainWorker:
      Drain(world, target, true);
      After(sim, remaining, [&world, target] { Drain(world, target, false); });
      break;
    case FaultKind::kRace:
      RaceChanges(world);
      break;
    default:
      break;
  }
}

/// If the log is truncated, shortens the faults that keep records from being rewritten, because
/// docs/recovery.md makes no promise for outages longer than half of the retention.
void LimitOutages(std::vector<Fault>& faults) {
  const auto is_retention = [](const Fault& fault) {
    return fault.m_kind == FaultKind::kRetention;
  };
  if (std::none_of(faults.begin(), faults.end(), is_retention)) return;
  int outages = 0;
  std::erase_if(faults, [&outages](const Fault& fault) {
    return fault.m_kind == FaultKind::kLogDown && ++outages > 2;
  });
  for (Fault& fault : faults) {
    if (fault.m_kind == FaultKind::kLogDown || fault.m_kind == FaultKind::kCrashEntry ||
        fault.m_kind == FaultKind::kPauseEntry)
      fault.m_length_ms = std::min(fault.m_length_ms, kMaxOutageMs);
    // An append must not be repeated for longer than the retention; otherwise its first copy is no
    // longer known and the repetition is not detected.
    if (fault.m_kind == FaultKind::kLogCutOff || fault.m_kind == FaultKind::kPartition)
      fault.m_length_ms = std::min(fault.m_length_ms, kMaxCutOffMs);
  }
}

void BuildWorld(World& world, const Schedule& schedule) {
  Sim& sim = world.m_sim;
  for (std::size_t i = 0; i < kEntries.size(); ++i) {
    SimEntry& entry = world.m_entries[i];
    entry.m_process = {.m_name = kEntries[i], .m_offset = 1h * (i + 1)};
    entry.m_log = &world.m_log;
    sim.m_processes[kEntries[i]] = &entry.m_process;
  }
  for (std::size_t i = 0; i < kAgents.size(); ++i) {
    SimAgent& agent = world.m_agents[i];
    agent.m_process = {.m_name = kAgents[i], .m_offset = 1h * (i + 10)};
    agent.m_worker.m_name = "worker of " + kAgents[i];
    agent.m_worker.m_size = {.m_cpu_millis = 8'000, .m_memory_mb = 16'000};
    agent.m_worker.m_slots = 8;
    sim.m_processes[kAgents[i]] = &agent.m_process;
    Event& size = RecordEvent(sim, EventKind::kWorkerSize, agent.m_worker.m_name);
    size.m_cpu = agent.m_worker.m_size.m_cpu_millis;
    size.m_memory = agent.m_worker.m_size.m_memory_mb;
    size.m_slots = agent.m_worker.m_slots;
  }
  for (const Fault& fault : schedule.m_faults) {
    if (fault.m_kind == FaultKind::kRetention) world.m_log.m_retention = kRetention;
    if (fault.m_kind == FaultKind::kDrift)
      // Each clock is at most 0.5 % fast or slow, so two clocks differ by at most 1 %.
      sim.m_processes[TargetName(fault)]->m_rate =
          1.0 + (fault.m_strength % 2 == 0 ? 1.0 : -1.0) * 0.005 * fault.m_strength / 99.0;
  }
  for (SimAgent& agent : world.m_agents) StartAgent(sim, agent);
  for (SimEntry& entry : world.m_entries) StartEntry(sim, entry);
}

/// Marks the end of all faults and starts every process that is down.
void EndFaults(World& world) {
  Sim& sim = world.m_sim;
  RecordEvent(sim, EventKind::kFaultsOver, {});
  for (SimEntry& entry : world.m_entries) StartEntry(sim, entry);
  for (SimAgent& agent : world.m_agents) StartAgent(sim, agent);
}

/// Returns whether every entry is up, has read the whole job stream and has neither open jobs nor
/// unfinished appends.
bool IsSettled(const World& world) {
  const auto& log = world.m_log.m_streams;
  return std::all_of(world.m_entries.begin(), world.m_entries.end(), [&log](const SimEntry& entry) {
    const auto jobs = log.find("jobs");
    return entry.m_process.m_up && entry.m_owner.m_caught_up &&
           core::OpenCount(entry.m_jobs) == 0 && entry.m_job_appends.m_queue.empty() &&
           !entry.m_job_appends.m_batch && jobs != log.end() &&
           entry.m_jobs.m_offset == jobs->second.m_batches.back().m_offset;
  });
}

void Truncate(World& world) {
  Truncate(world.m_sim, world.m_log);
  After(world.m_sim, 1s, [&world] { Truncate(world); });
}

}  // namespace

SimEntry* World::FindEntry(const std::string& name) {
  for (SimEntry& entry : m_entries)
    if (entry.m_process.m_name == name) return &entry;
  return nullptr;
}

SimAgent* World::FindAgent(const std::string& name) {
  for (SimAgent& agent : m_agents)
    if (agent.m_process.m_name == name) return &agent;
  return nullptr;
}

History Run(const Schedule& schedule, const Defect defect) {
  World world;
  Sim& sim = world.m_sim;
  sim.m_random.seed(schedule.m_seed);
  sim.m_defect = defect;
  sim.m_faults = schedule.m_faults;
  for (Fault& fault : sim.m_faults) {
    fault.m_at_ms = std::clamp(fault.m_at_ms, kFirstFaultMs, kFaultsOverMs);
    fault.m_length_ms = std::min(fault.m_length_ms, kFaultsOverMs - fault.m_at_ms);
  }
  LimitOutages(sim.m_faults);
  BuildWorld(world, schedule);
  Truncate(world);
  BeginWorkload(world);
  for (const Fault& fault : sim.m_faults)
    After(sim, BeginTime(fault), [&world, fault] { InjectFault(world, fault); });
  After(sim, kFaultsOver, [&world] { EndFaults(world); });
  Duration settled = kRunLimit;
  while (!sim.m_scheduled.empty() && sim.m_now < kRunLimit && sim.m_now < settled) {
    const Sim::ScheduledCall item = sim.m_scheduled.top();
    sim.m_scheduled.pop();
    sim.m_now = item.m_at;
    item.m_callback();
    // Run for another 10 s, so that all messages in flight arrive.
    if (settled == kRunLimit && sim.m_now > kFaultsOver + kMinSettleTime &&
        item.m_sequence % 64 == 0 && IsSettled(world))
      settled = sim.m_now + 10s;
  }
  RecordFinalStates(world);
  return std::move(sim.m_history);
}

}  // namespace ebonypin::faults
