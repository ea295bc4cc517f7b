#include "island_play.h"

#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <random>
#include <thread>

namespace ebonypin::daemon {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kAgents = 4;
constexpr auto kBetweenChanges = 2s;
constexpr auto kPoll = 20ms;
constexpr auto kSubmitInterval = 400ms;
/// Longer than the longest wait after a takeover, 15.6 s, and a long task after it.
constexpr auto kEndLimit = 40s;
const std::string kLastingJob = "1a57000000000000";
const std::string kLongJob = "1009000000000000";

std::chrono::milliseconds DrawTime(std::mt19937_64& random, const std::chrono::milliseconds from,
                                   const std::chrono::milliseconds to) {
  return std::chrono::milliseconds{
      std::uniform_int_distribution<std::int64_t>{from.count(), to.count()}(random)};
}

std::string_view DirectionName(const CutDirection direction) noexcept {
  switch (direction) {
    case CutDirection::kBoth:
      return "both ways";
    case CutDirection::kFromIsland:
      return "from the island";
    case CutDirection::kToIsland:
      return "to the island";
  }
  return "";
}

/// Submits short jobs to the given entries until it is stopped.
class Submitter {
 public:
  Submitter(const ProcessSite& site, std::vector<std::size_t> entries)
      : m_site(site), m_entries(std::move(entries)), m_thread([this] { Run(); }) {}
  ~Submitter() {
    if (m_thread.joinable()) (void)Stop();
  }
  Submitter(const Submitter&) = delete;
  Submitter& operator=(const Submitter&) = delete;

  /// Returns the accepted jobs.
  std::vector<std::string> Stop() {
    m_stopping = true;
    m_thread.join();
    return std::move(m_accepted);
  }

 private:
  void Run() {
    for (std::uint64_t i = 0; !m_stopping; ++i) {
      const auto id = fmt::format("5407{:012x}", i);
      const auto entry = m_entries[i % m_entries.size()];
      if (m_site.Submit(entry, id, "run 300", 2) == 200) m_accepted.push_back(id);
      std::this_thread::sleep_for(kSubmitInterval);
    }
  }

  const ProcessSite& m_site;
  const std::vector<std::size_t> m_entries;
  std::atomic<bool> m_stopping{false};
  std::vector<std::string> m_accepted;
  std::thread m_thread;
};

/// The two sides of a cut, by names in the network.
struct Sides {
  std::vector<std::string> m_island;
  std::vector<std::string> m_others{ProcessSite::StoreName()};
  std::vector<std::size_t> m_other_entries;
};

Sides Divide(const ProcessSite& site, const std::size_t island_entry,
             const std::size_t island_agents) {
  Sides sides;
  for (std::size_t i = 0; i < site.Entries(); ++i) {
    (i == island_entry ? sides.m_island : sides.m_others).push_back(ProcessSite::EntryName(i));
    if (i != island_entry) sides.m_other_entries.push_back(i);
  }
  for (std::size_t i = 0; i < kAgents; ++i) {
    (i < island_agents ? sides.m_island : sides.m_others).push_back(ProcessSite::AgentName(i));
  }
  return sides;
}

void Cut(CutNetwork& network, const Sides& sides, const CutDirection direction) {
  for (const auto& inside : sides.m_island) {
    for (const auto& outside : sides.m_others) {
      if (direction != CutDirection::kToIsland) network.Cut(inside, outside);
      if (direction != CutDirection::kFromIsland) network.Cut(outside, inside);
    }
  }
}

/// Waits until `condition` holds or `deadline` has come. Returns whether it holds.
bool WaitFor(const Clock::time_point deadline, const std::function<bool()>& condition) {
  while (!condition()) {
    if (Clock::now() >= deadline) return false;
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

/// Ends two coordinators among the others, one after the other, and heals the cut at its time.
std::vector<std::string> ChangeTwiceAndHeal(ProcessSite& site, const IslandPlan& plan,
                                            const Sides& sides, const Clock::time_point cut) {
  std::vector<std::string> faults;
  const auto heal = cut + plan.m_heal;
  std::optional<Clock::time_point> next;
  int changes = 0;
  for (bool healed = false; !healed || changes < 2; std::this_thread::sleep_for(kPoll)) {
    const auto now = Clock::now();
    if (now - cut > kEndLimit) {
      faults.push_back(fmt::format("no coordinator among the others after {} changes", changes));
      break;
    }
    if (!healed && now >= heal) {
      site.Network().Heal();
      healed = true;
    }
    site.RestartEnded();
    if (changes == 2 || (next && now < *next)) continue;
    const auto coordinator = site.Coordinator(sides.m_other_entries);
    if (!coordinator) continue;
    if (!next) {
      next = now + plan.m_first_change;
      continue;
    }
    site.Signal(*coordinator, changes == 1 && plan.m_kills_second ? SIGKILL : SIGTERM);
    ++changes;
    next = now + kBetweenChanges;
  }
  return faults;
}

/// Waits until the jobs have ended and cancels the lasting one. Returns the jobs that did not end.
std::vector<std::string> EndJobs(ProcessSite& site, std::vector<std::string> jobs) {
  const auto deadline = Clock::now() + kEndLimit;
  std::size_t calls = 0;
  // A call may reach an entry that is starting; the next one goes to another.
  const auto entry = [&] { return ++calls % site.Entries(); };
  const auto wait = [&](const std::function<bool()>& condition) {
    return WaitFor(deadline, [&] {
      site.RestartEnded();
      return condition();
    });
  };
  std::vector<std::string> faults;
  for (const auto& job : jobs) {
    std::string state;
    if (wait([&] { return (state = site.StateOf(entry(), job)) == "done"; })) continue;
    faults.push_back(fmt::format("job {} is not done but '{}'", job, state));
  }
  const auto cancelled = [&] {
    const int status = site.Call(entry(), "DELETE", "/renders/" + kLastingJob).m_status;
    return status == 200;
  };
  if (!wait(cancelled)) faults.push_back("the lasting job cannot be cancelled");
  const auto all_ended = [&] {
    for (const auto& run : site.Runs()) {
      if (!run.m_ended) return false;
    }
    return true;
  };
  if (!wait(all_ended)) faults.push_back("runs are at work after the end of their jobs");
  return faults;
}

}  // namespace

IslandPlan DrawIslandPlan(const std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto draw = [&](const int from, const int to) {
    return std::uniform_int_distribution<int>{from, to}(random);
  };
  IslandPlan plan{.m_seed = seed};
  plan.m_agents = static_cast<std::size_t>(draw(1, 3));
  plan.m_direction = static_cast<CutDirection>(draw(0, 2));
  plan.m_first_change = DrawTime(random, 0ms, 1000ms);
  plan.m_kills_second = draw(0, 1) == 1;
  plan.m_heal = DrawTime(random, 6000ms, 12'000ms);
  return plan;
}

std::string Describe(const IslandPlan& plan) {
  return fmt::format(
      "seed {}: {} agents on the island, cut {}, first change after {} ms, second by {}, healed "
      "after {} ms",
      plan.m_seed, plan.m_agents, DirectionName(plan.m_direction), plan.m_first_change.count(),
      plan.m_kills_second ? "SIGKILL" : "SIGTERM", plan.m_heal.count());
}

std::vector<std::string> Play(ProcessSite& site, const IslandPlan& plan) {
  std::vector<std::size_t> all;
  for (std::size_t i = 0; i < site.Entries(); ++i) all.push_back(i);
  std::optional<std::size_t> island;
  if (!WaitFor(Clock::now() + kEndLimit, [&] {
        island = site.Coordinator(all);
        return island.has_value();
      })) {
    return {"no coordinator before the cut"};
  }
  const auto running = [&] {
    const auto runs = site.Runs();
    return std::count_if(runs.begin(), runs.end(), [](const auto& run) { return !run.m_ended; });
  };
  constexpr int kLasting = 6;
  constexpr int kLong = 6;
  const bool accepted = site.Submit(*island, kLastingJob, "last", kLasting) == 200 &&
                        site.Submit(*island, kLongJob, "run 5000", kLong) == 200;
  if (!accepted ||
      !WaitFor(Clock::now() + kEndLimit, [&] { return running() == kLasting + kLong; })) {
    return {"the jobs did not start before the cut"};
  }
  const auto sides = Divide(site, *island, plan.m_agents);
  Submitter submitter(site, sides.m_other_entries);
  const auto cut = Clock::now();
  Cut(site.Network(), sides, plan.m_direction);
  auto faults = ChangeTwiceAndHeal(site, plan, sides, cut);
  site.Network().Heal();
  auto jobs = submitter.Stop();
  jobs.push_back(kLongJob);
  const auto not_ended = EndJobs(site, jobs);
  faults.insert(faults.end(), not_ended.begin(), not_ended.end());
  const auto twice = FindRunsTwice(site.Runs());
  faults.insert(faults.end(), twice.begin(), twice.end());
  return faults;
}

}  // namespace ebonypin::daemon
