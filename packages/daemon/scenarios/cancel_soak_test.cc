/// Soak of cancels, submissions and reads beside disruptions, with processes of their own.
///
/// The environment variable EBONYPIN_CANCEL_SEEDS, such as "1-50", replaces the seeds.
#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <memory>
#include <thread>
#include <vector>

#include "cancel_play.h"
#include "client_load.h"
#include "seed_plays.h"

namespace ebonypin::daemon {
namespace {

constexpr std::size_t kEntries = 3;
constexpr std::size_t kAgents = 3;
/// Plays beside each other, of six processes each; they wait for most of their time.
constexpr std::uint64_t kPlaysAtOnce = 3;
constexpr SeedRange kDefaultSeeds{.m_first = 1, .m_last = 2};
const std::string kJob = "0123456789abcdef";
/// More peers than an entry of the site has, and fewer than silent connections are opened.
constexpr auto kFewRpcConnections = "[limits]\nrpc_connections = 16\n";
constexpr std::size_t kSilentConnections = 40;
constexpr std::chrono::milliseconds kSilentTime{500};

ObservedCall CallOf(const CallKind kind, const std::int64_t sent, const int status) {
  return {
      .m_kind = kind, .m_job = kJob, .m_sent = sent, .m_answered = sent + 1000, .m_status = status};
}

ObservedRun RunOf(const std::int64_t started, const std::optional<std::int64_t> ended) {
  return {.m_task = kJob + ".0.0.0", .m_run = 1, .m_started = started, .m_ended = ended};
}

/// Guards against checks that find nothing.
class CancelChecksTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CancelChecksTest);
  CPPUNIT_TEST(RunsAfterACancelAreFound);
  CPPUNIT_TEST(DisturbancesPostponeTheEndOfRuns);
  CPPUNIT_TEST(LostJobsAreFound);
  CPPUNIT_TEST(RefusedRepeatsAreFound);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RunsAfterACancelAreFound() {
    const auto count = [](const int status, const ObservedRun& run) {
      return FindRunsAfterCancel({CallOf(CallKind::kCancel, 0, status)}, {run}, {}).size();
    };
    for (const int status : {200, 410}) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count(status, RunOf(-100, 3'401'000)));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count(status, RunOf(-100, 3'401'001)));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count(status, RunOf(-100, std::nullopt)));
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count(status, RunOf(3'001'000, 3'001'100)));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count(status, RunOf(3'001'001, 3'001'100)));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count(504, RunOf(-100, std::nullopt)));
    auto other = RunOf(-100, std::nullopt);
    other.m_task = "fedcba9876543210.0.0.0";
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count(200, other));
  }

  void DisturbancesPostponeTheEndOfRuns() {
    CPPUNIT_ASSERT_EQUAL(std::int64_t{5'000'000}, NextCalm(5'000'000, {}));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{5'000'000}, NextCalm(5'000'000, {{0, 2'000'000}}));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{5'000'001}, NextCalm(5'000'000, {{0, 2'000'001}}));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{10'000'000},
                         NextCalm(5'000'000, {{6'000'000, 7'000'000}, {0, 4'000'000}}));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{5'000'000}, NextCalm(5'000'000, {{5'000'001, 6'000'000}}));
  }

  void LostJobsAreFound() {
    const auto accepted = CallOf(CallKind::kSubmit, 0, 200);
    const auto read = CallOf(CallKind::kRead, 1000, 410);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, FindLostJobs({read, accepted}).size());
    CPPUNIT_ASSERT(FindLostJobs({CallOf(CallKind::kRead, 999, 410), accepted}).empty());
    CPPUNIT_ASSERT(FindLostJobs({CallOf(CallKind::kRead, 1000, 200), accepted}).empty());
    CPPUNIT_ASSERT(FindLostJobs({read, accepted, CallOf(CallKind::kCancel, 2000, 0)}).empty());
    const auto later = CallOf(CallKind::kCancel, 2001, 200);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, FindLostJobs({read, accepted, later}).size());
  }

  void RefusedRepeatsAreFound() {
    const auto accepted = CallOf(CallKind::kSubmit, 0, 200);
    auto repeat = CallOf(CallKind::kSubmit, 1000, 503);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, FindRefusedRepeats({repeat, accepted}).m_faults.size());
    CPPUNIT_ASSERT(
        FindRefusedRepeats({CallOf(CallKind::kSubmit, 999, 503), accepted}).m_faults.empty());
    repeat.m_error = "no configuration is known yet";
    const auto refused = FindRefusedRepeats({repeat, accepted});
    CPPUNIT_ASSERT(refused.m_faults.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, refused.m_by_entry_alone.at(repeat.m_error));
  }
};

/// Opens silent connections to the RPC ports of all entries, again and again, so that the entries
/// close those of the system's own processes.
class SilentClients {
 public:
  explicit SilentClients(const ProcessSite& site) {
    for (std::size_t i = 0; i < site.Entries(); ++i) m_addresses.push_back(site.RpcAddress(i));
    m_thread = std::thread([this] {
      while (!m_stopping) {
        std::vector<std::unique_ptr<ClientLoad>> loads;
        for (const auto& address : m_addresses) {
          loads.push_back(std::make_unique<ClientLoad>(address, kSilentConnections));
        }
        std::this_thread::sleep_for(kSilentTime);
      }
    });
  }
  ~SilentClients() {
    m_stopping = true;
    m_thread.join();
  }
  SilentClients(const SilentClients&) = delete;
  SilentClients& operator=(const SilentClients&) = delete;

 private:
  std::vector<std::string> m_addresses;
  std::atomic<bool> m_stopping{false};
  std::thread m_thread;
};

class CancelSoakTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CancelSoakTest);
  CPPUNIT_TEST(NoJobRunsOnAfterItsCancelBesideDisruptions);
  CPPUNIT_TEST(NoJobRunsOnAfterItsCancelBesideSilentConnections);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against answers that a superseded coordinator gives from memory: a cancel is
  /// acknowledged and the job runs on, and accepted jobs are unknown or refused.
  void NoJobRunsOnAfterItsCancelBesideDisruptions() { PlaySoak(false); }

  /// Guards against answers that are wrong when calls between the processes lose their connections
  /// to those of strangers, besides the disruptions.
  void NoJobRunsOnAfterItsCancelBesideSilentConnections() { PlaySoak(true); }

 private:
  static void PlaySoak(const bool with_silent_clients) {
    CPPUNIT_ASSERT_EQUAL(std::string{},
                         PlaySeeds(SeedsFrom("EBONYPIN_CANCEL_SEEDS", kDefaultSeeds), kPlaysAtOnce,
                                   [with_silent_clients](const std::uint64_t seed) {
                                     return std::make_unique<SeedPlay>(seed, with_silent_clients);
                                   }));
  }

  /// Play on a thread and a site of its own.
  class SeedPlay {
   public:
    SeedPlay(const std::uint64_t seed, const bool with_silent_clients)
        : m_plan(DrawCancelPlan(seed, kEntries)), m_log_folder(MakeFolder()) {
      try {
        m_site = std::make_unique<ProcessSite>(kEntries, kAgents, m_log_folder,
                                               with_silent_clients ? kFewRpcConnections : "");
        if (with_silent_clients) m_silent_clients = std::make_unique<SilentClients>(*m_site);
      } catch (const std::exception& exception) {
        m_result.m_faults = {exception.what()};
      }
    }

    void Start() {
      if (m_site == nullptr) return;
      m_thread = std::thread([this] {
        try {
          m_result = Play(*m_site, m_plan);
        } catch (const std::exception& exception) {
          m_result.m_faults = {exception.what()};
        }
      });
    }

    /// Returns the faults, and removes the logs when there are none.
    std::string Finish() {
      if (m_thread.joinable()) m_thread.join();
      m_silent_clients.reset();
      m_site.reset();
      std::string refused;
      for (const auto& [reason, count] : m_result.m_refused_by_entry_alone) {
        refused += fmt::format(", {} repeats refused with '{}'", count, reason);
      }
      std::cout << fmt::format("{}: {} calls, {} acknowledged cancels, {} runs{}, {} faults",
                               Describe(m_plan), m_result.m_calls, m_result.m_cancels,
                               m_result.m_starts, refused, m_result.m_faults.size())
                << std::endl;
      if (m_result.m_faults.empty()) {
        std::filesystem::remove_all(m_log_folder);
        return {};
      }
      auto text = fmt::format("{}; logs in {}\n", Describe(m_plan), m_log_folder);
      for (const auto& fault : m_result.m_faults) text += "  " + fault + "\n";
      return text;
    }

   private:
    static std::string MakeFolder() {
      auto folder = (std::filesystem::temp_directory_path() / "ebonypin-cancel-XXXXXX").string();
      if (::mkdtemp(folder.data()) == nullptr) {
        throw std::runtime_error("cannot create a folder for logs: " + folder);
      }
      return folder;
    }

    const CancelPlan m_plan;
    const std::string m_log_folder;
    std::unique_ptr<ProcessSite> m_site;
    std::unique_ptr<SilentClients> m_silent_clients;
    CancelPlayResult m_result;
    std::thread m_thread;
  };
};

CPPUNIT_TEST_SUITE_REGISTRATION(CancelChecksTest);
CPPUNIT_TEST_SUITE_REGISTRATION(CancelSoakTest);

}  // namespace
}  // namespace ebonypin::daemon
