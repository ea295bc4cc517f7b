/// Soak of jobs whose progress takes many records and several appends, beside disruptions, with
/// processes of their own.
///
/// The environment variable EBONYPIN_LARGE_JOB_SEEDS, such as "1-50", replaces the seeds.
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <iostream>
#include <memory>
#include <thread>
#include <vector>

#include "cancel_play.h"
#include "disruptor.h"
#include "process_site.h"
#include "seed_plays.h"

namespace ebonypin::daemon {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kEntries = 3;
constexpr std::size_t kAgents = 3;
/// Plays beside each other, of six processes each.
constexpr std::uint64_t kPlaysAtOnce = 2;
constexpr SeedRange kDefaultSeeds{.m_first = 1, .m_last = 2};
/// Limits at which the progress of one job needs many records, and several appends.
constexpr auto kStoreLimits = R"({"record_bytes":16384,"append_bytes":20000})";
constexpr auto kEntryLimits = "record_bytes = 16384\nappend_bytes = 20000\n";
constexpr auto kWorkerFaults = R"({"state_bytes":600,"stop_ms":100})";
constexpr int kJobs = 6;
/// Sixty of them run at a time, so that ends are recorded throughout the play.
constexpr int kTasks = 300;
constexpr int kTaskMillis = 700;
constexpr auto kJobInterval = 2s;
constexpr auto kPoll = 20ms;
constexpr auto kCallInterval = 300ms;
/// Longer than the longest wait after a takeover, 15.6 s, and the tasks after it.
constexpr auto kEndLimit = 60s;

/// Large job of a play. Each second one is cancelled while it runs.
struct LargeJob {
  std::string m_path;
  bool m_cancelled = false;
  Clock::duration m_submit_at{};
  Clock::duration m_cancel_at{};
  bool m_accepted = false;
  bool m_over = false;  ///< Shown as done, or its cancel was acknowledged.
};

/// One play on a site of its own.
class LargeJobPlay {
 public:
  /// Starts the site. The disruptions are those of the cancel soak with the same seed.
  explicit LargeJobPlay(const std::uint64_t seed)
      : m_disruptions(DrawCancelPlan(seed, kEntries).m_disruptions),
        m_name(fmt::format("seed {}{}", seed, Describe(m_disruptions))),
        m_log_folder(std::filesystem::temp_directory_path() /
                     fmt::format("ebonypin-large-{}-{}", ::getpid(), seed)) {
    std::filesystem::create_directories(m_log_folder);
    m_site = std::make_unique<ProcessSite>(kEntries, kAgents, m_log_folder.string(), kEntryLimits);
    m_site->SetStoreFaults(kStoreLimits);
    m_site->SetWorkerFaults(kWorkerFaults);
    for (int i = 0; i < kJobs; ++i) {
      m_jobs.push_back({.m_path = fmt::format("/renders/1a49e{:03x}{:08x}", seed & 0xfffU, i),
                        .m_cancelled = i % 2 == 1,
                        .m_submit_at = i * kJobInterval,
                        .m_cancel_at = i * kJobInterval + 1500ms});
    }
  }

  void Start() {
    m_thread = std::thread([this] { Run(); });
  }

  /// Returns the faults, and removes the logs when there are none.
  std::string Finish() {
    m_thread.join();
    const auto runs = m_site->Runs();
    for (const auto& run : runs) {
      if (!run.m_ended) m_faults.push_back("at work at the end: " + run.m_task);
    }
    for (auto& fault : FindRunsTwice(runs)) m_faults.push_back(std::move(fault));
    if (const auto refused = m_site->RefusedAppends(); refused > 0) {
      m_faults.push_back(fmt::format("{} appends were larger than the store takes", refused));
    }
    m_site.reset();
    std::cout << fmt::format("{}: {} runs, {} faults", m_name, runs.size(), m_faults.size())
              << std::endl;
    if (m_faults.empty()) {
      std::filesystem::remove_all(m_log_folder);
      return {};
    }
    auto text = fmt::format("{}; logs in {}\n", m_name, m_log_folder.string());
    for (const auto& fault : m_faults) text += "  " + fault + "\n";
    return text;
  }

 private:
  void Run() {
    const auto began = Clock::now();
    Disruptor disruptor(*m_site, m_disruptions, began);
    auto next_calls = Clock::duration::zero();
    for (;;) {
      const auto now = Clock::now() - began;
      (void)disruptor.Step();
      if (now >= next_calls) {
        next_calls = now + kCallInterval;
        for (auto& job : m_jobs) Call(job, now);
      }
      const bool over =
          std::all_of(m_jobs.begin(), m_jobs.end(), [](const LargeJob& job) { return job.m_over; });
      if (over && disruptor.IsOver() && AreWorkersIdle()) return;
      if (now > kEndLimit) break;
      std::this_thread::sleep_for(kPoll);
    }
    for (const auto& job : m_jobs) {
      if (!job.m_over) m_faults.push_back("has not ended: " + job.m_path);
    }
  }

  /// Makes the next call about the job, at each entry in turn.
  void Call(LargeJob& job, const Clock::duration now) {
    if (job.m_over || now < job.m_submit_at) return;
    const auto entry = ++m_calls % kEntries;
    if (!job.m_accepted) {
      job.m_accepted = m_site->Call(entry, "POST", job.m_path, Body()).m_status == 200;
    } else if (job.m_cancelled && now >= job.m_cancel_at) {
      job.m_over = m_site->Call(entry, "DELETE", job.m_path).m_status == 200;
    } else {
      const auto state = m_site->Call(entry, "GET", job.m_path);
      if (state.m_status == 410) m_faults.push_back("accepted and unknown: " + job.m_path);
      job.m_over = state.Text("State") == "done";
    }
  }

  static std::string Body() {
    return fmt::format(
        R"({{"Spec":"run {}","Steps":[{{"Count":{},"Cpu":200,"MemMb":1,"EstMs":{},"Checkpointing":true}}]}})",
        kTaskMillis, kTasks, kTaskMillis);
  }

  [[nodiscard]] bool AreWorkersIdle() const {
    const auto runs = m_site->Runs();
    return std::all_of(runs.begin(), runs.end(),
                       [](const ObservedRun& run) { return run.m_ended.has_value(); });
  }

  const std::vector<Disruption> m_disruptions;
  const std::string m_name;
  const std::filesystem::path m_log_folder;
  std::unique_ptr<ProcessSite> m_site;
  std::vector<LargeJob> m_jobs;
  std::size_t m_calls = 0;
  std::vector<std::string> m_faults;
  std::thread m_thread;
};

class LargeJobSoakTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LargeJobSoakTest);
  CPPUNIT_TEST(LargeJobsEndOnceBesideDisruptions);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against tasks that run twice, jobs that do not end and appends that the store refuses,
  /// when a coordinator ends between the appends of one job's progress.
  void LargeJobsEndOnceBesideDisruptions() {
    CPPUNIT_ASSERT_EQUAL(
        std::string{},
        PlaySeeds(SeedsFrom("EBONYPIN_LARGE_JOB_SEEDS", kDefaultSeeds), kPlaysAtOnce,
                  [](const std::uint64_t seed) { return std::make_unique<LargeJobPlay>(seed); }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LargeJobSoakTest);

}  // namespace
}  // namespace ebonypin::daemon
