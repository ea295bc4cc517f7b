/// Scenarios of takeovers beside an island that is cut off, with processes of their own.
///
/// The environment variable EBONYPIN_ISLAND_SEEDS, such as "1-50", replaces the seeds.
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <memory>
#include <thread>
#include <vector>

#include "island_play.h"
#include "seed_plays.h"

namespace ebonypin::daemon {
namespace {

constexpr std::size_t kEntries = 3;
constexpr std::size_t kAgents = 4;
/// Plays beside each other, of eight processes each; they wait for most of their time.
constexpr std::uint64_t kPlaysAtOnce = 3;
constexpr SeedRange kDefaultSeeds{.m_first = 1, .m_last = 3};

ObservedRun RunOf(const std::uint64_t run, const std::int64_t started, const std::int64_t ended,
                  const std::string& how, const bool acknowledged = false) {
  return {.m_task = "t",
          .m_run = run,
          .m_worker = "w-" + std::to_string(run),
          .m_started = started,
          .m_ended = ended,
          .m_how = how,
          .m_acknowledged = acknowledged};
}

/// Guards against checks that find nothing.
class RunChecksTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunChecksTest);
  CPPUNIT_TEST(RunsAtTheSameTimeAreFound);
  CPPUNIT_TEST(AStartAfterAnAcknowledgedEndIsFound);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RunsAtTheSameTimeAreFound() {
    const auto count = [](const std::vector<ObservedRun>& runs) {
      return FindRunsTwice(runs).size();
    };
    const auto first = RunOf(1, 10, 20, "lapsed");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count({RunOf(2, 19, 30, "done"), first}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count({RunOf(2, 20, 30, "done"), first}));
    auto at_work = first;
    at_work.m_ended.reset();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count({RunOf(2, 900, 950, "done"), at_work}));
    auto other_task = RunOf(2, 19, 30, "done");
    other_task.m_task = "u";
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count({other_task, first}));
    // A short run between two that overlap does not hide them.
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         count({RunOf(1, 10, 90, "lapsed"), RunOf(2, 20, 30, "stopped"),
                                RunOf(3, 40, 50, "stopped")}));
  }

  void AStartAfterAnAcknowledgedEndIsFound() {
    const auto next = RunOf(2, 40, 50, "done");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         FindRunsTwice({RunOf(1, 10, 20, "done", true), next}).size());
    CPPUNIT_ASSERT(FindRunsTwice({RunOf(1, 10, 20, "done", false), next}).empty());
    CPPUNIT_ASSERT(FindRunsTwice({RunOf(1, 10, 20, "lapsed", true), next}).empty());
  }
};

class IslandTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(IslandTest);
  CPPUNIT_TEST(NoTaskRunsTwiceBesideTwoChangesOfCoordinator);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a new coordinator that starts tasks while a coordinator before its predecessor,
  /// which is cut off with some agents, still grants leases to them.
  void NoTaskRunsTwiceBesideTwoChangesOfCoordinator() {
    CPPUNIT_ASSERT_EQUAL(std::string{}, PlaySeeds(SeedsFrom("EBONYPIN_ISLAND_SEEDS", kDefaultSeeds),
                                                  kPlaysAtOnce, [](const std::uint64_t seed) {
                                                    return std::make_unique<PlayResult>(seed);
                                                  }));
  }

 private:
  /// Play on a thread and a site of its own.
  class PlayResult {
   public:
    explicit PlayResult(const std::uint64_t seed)
        : m_plan(DrawIslandPlan(seed)), m_log_folder(MakeFolder()) {
      try {
        m_site = std::make_unique<ProcessSite>(kEntries, kAgents, m_log_folder);
      } catch (const std::exception& exception) {
        m_faults = {exception.what()};
      }
    }

    void Start() {
      if (m_site == nullptr) return;
      m_thread = std::thread([this] {
        try {
          m_faults = Play(*m_site, m_plan);
        } catch (const std::exception& exception) {
          m_faults = {exception.what()};
        }
      });
    }

    /// Returns the faults, and removes the logs when there are none.
    std::string Finish() {
      if (m_thread.joinable()) m_thread.join();
      m_site.reset();
      std::cout << Describe(m_plan) << ": " << m_faults.size() << " faults" << std::endl;
      if (m_faults.empty()) {
        std::filesystem::remove_all(m_log_folder);
        return {};
      }
      auto text = fmt::format("{}; logs in {}\n", Describe(m_plan), m_log_folder);
      for (const auto& fault : m_faults) text += "  " + fault + "\n";
      return text;
    }

   private:
    static std::string MakeFolder() {
      auto folder = (std::filesystem::temp_directory_path() / "ebonypin-island-XXXXXX").string();
      if (::mkdtemp(folder.data()) == nullptr) {
        throw std::runtime_error("cannot create a folder for logs: " + folder);
      }
      return folder;
    }

    const IslandPlan m_plan;
    const std::string m_log_folder;
    std::unique_ptr<ProcessSite> m_site;
    std::vector<std::string> m_faults;
    std::thread m_thread;
  };
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunChecksTest);
CPPUNIT_TEST_SUITE_REGISTRATION(IslandTest);

}  // namespace
}  // namespace ebonypin::daemon
