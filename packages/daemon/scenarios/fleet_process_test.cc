/// Scenarios of an entry that runs as a process of its own and gets signals.
#include <cppunit/extensions/HelperMacros.h>
#include <signal.h>
#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <thread>
#include <vector>

#include "ebonypin/standin/users_messages.h"
#include "entry_process.h"
#include "fleet_site.h"

namespace ebonypin::daemon {
namespace {

using namespace std::chrono_literals;

class FleetProcessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetProcessTest);
  CPPUNIT_TEST(CallsInProgressAtTheDrainLimitAreAnswered);
  CPPUNIT_TEST(CallersThatGoOnUntilTheEndGetNoFalseAnswer);
  CPPUNIT_TEST(ACoordinatorDecidesNothingAfterItHasLoggedItsStop);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against calls that get no answer because the process reaches its drain limit and is
  /// killed at the end of the platform's grace time, one second later.
  void CallsInProgressAtTheDrainLimitAreAnswered() {
    constexpr auto kDrainLimit = 1s;
    constexpr auto kGrace = kDrainLimit + 1s;
    FleetSite site(0, 0, false);
    site.PutConfig(1, "/renders/");
    EntryProcess entry(site.StoreAddress(), kDrainLimit);
    const auto call = [&](const std::string& method, const std::string& path) {
      return SendHttp(entry.HttpAddress(), method, path,
                      method == "POST" ? standin::UsersJob("run 1", 1, false) : std::string{});
    };
    CPPUNIT_ASSERT(WaitUntil([&] { return call("GET", "/renders/").m_status == 200; }));
    // A submission waits for the store, which does not answer, for up to 1.5 s.
    site.SetStoreFaults(R"({"lose_answers":1000})");
    entry.Signal(SIGTERM);
    const auto terminated = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(kDrainLimit - 300ms);
    HttpResult submitted;
    std::thread caller([&] { submitted = call("POST", "/renders/0123456789abcdef"); });
    const auto left = terminated + kGrace - std::chrono::steady_clock::now();
    const bool ended =
        entry.WaitForEnd(std::chrono::duration_cast<std::chrono::milliseconds>(left));
    caller.join();
    CPPUNIT_ASSERT_EQUAL(504, submitted.m_status);
    CPPUNIT_ASSERT(ended);
  }

  /// Guards against status 404, and against a process that does not end, while callers use open
  /// connections until it is gone.
  void CallersThatGoOnUntilTheEndGetNoFalseAnswer() {
    constexpr auto kDrainLimit = 1s;
    constexpr std::size_t kCallers = 4;
    FleetSite site(0, 0, false);
    site.PutConfig(1, "/renders/");
    EntryProcess entry(site.StoreAddress(), kDrainLimit);
    const auto pending = [&] {
      return SendHttp(entry.HttpAddress(), "GET", "/renders/", {}).m_status;
    };
    CPPUNIT_ASSERT(WaitUntil([&] { return pending() == 200; }));
    std::atomic<bool> gone{false};
    std::atomic<int> false_answers{0};
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < kCallers; ++i) {
      callers.emplace_back([&] {
        const auto call = OpenHttp(entry.HttpAddress());
        while (!gone) {
          const int status = call("GET", "/renders/").m_status;
          const bool allowed = status == 200 || status == 503 || status == 504 || status == 0;
          if (!allowed) ++false_answers;
        }
      });
    }
    entry.Signal(SIGTERM);
    const bool ended = entry.WaitForEnd(kDrainLimit + 1s);
    gone = true;
    for (auto& caller : callers) caller.join();
    CPPUNIT_ASSERT_EQUAL(0, false_answers.load());
    CPPUNIT_ASSERT(ended);
  }

  /// Guards against a coordinator without a successor that goes on after the event "process
  /// stopped": a log that ends so told that a process had stopped which still decided.
  void ACoordinatorDecidesNothingAfterItHasLoggedItsStop() {
    for (const auto drain_limit : {4s, 1s}) {  // Longer and shorter than the drain notice, 2.5 s.
      auto log = (std::filesystem::temp_directory_path() / "ebonypin-log-XXXXXX").string();
      ::close(::mkstemp(log.data()));
      FleetSite site(0, 0, false);
      site.PutConfig(1, "/renders/");
      EntryProcess entry(site.StoreAddress(), drain_limit, log);
      CPPUNIT_ASSERT(WaitUntil(
          [&] { return SendHttp(entry.HttpAddress(), "GET", "/renders/", {}).m_status == 200; }));
      entry.Signal(SIGTERM);
      CPPUNIT_ASSERT(entry.WaitForEnd(drain_limit + 1s));
      std::ifstream lines(log);
      std::string last;
      bool led = false;
      for (std::string line; std::getline(lines, line); last = line) {
        led = led || line.find(" E600 ") != std::string::npos;
      }
      std::filesystem::remove(log);
      CPPUNIT_ASSERT(led);
      CPPUNIT_ASSERT_MESSAGE(last, last.find(" E102 ") != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetProcessTest);

}  // namespace
}  // namespace ebonypin::daemon
