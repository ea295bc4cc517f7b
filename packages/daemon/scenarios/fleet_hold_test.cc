/// Scenarios of calls that are held while the store is unavailable.
#include <cppunit/extensions/HelperMacros.h>
#include <signal.h>

#include <chrono>
#include <filesystem>
#include <future>
#include <stdexcept>
#include <string>
#include <vector>

#include "ebonypin/standin/users_messages.h"
#include "fleet_site.h"
#include "process_site.h"

namespace ebonypin::daemon {
namespace {

using namespace std::chrono_literals;

const std::string kJob = "0123456789abcdef";
const std::string kOtherJob = "fedcba9876543210";
const std::string kThirdJob = "bbbbbbbbbbbbbbbb";
const std::string kUnknownJob = "aaaaaaaaaaaaaaaa";
/// Long enough that a slow machine does not end the hold before the outage ends.
constexpr auto kLongHold = 10s;
constexpr auto kLongWait = 40s;
constexpr auto kUsualHold = 1500ms;
constexpr auto kUsualWait = 3000ms;

struct Answer {
  int m_status = 0;
  std::string m_retry_after;
  std::chrono::steady_clock::duration m_took{};
};

/// Sends a call whose caller waits for `wait`.
Answer Send(const std::string& address, const std::string& method, const std::string& job,
            const std::chrono::milliseconds wait) {
  const auto began = std::chrono::steady_clock::now();
  Answer answer;
  try {
    web::http::client::http_client client("http://" + address);
    web::http::http_request request(method);
    request.set_request_uri("/renders/" + job);
    request.headers().add("Ebonypin-Deadline-Ms", std::to_string(wait.count()));
    if (method == "POST") request.set_body(standin::UsersJob("run 1", 1, false));
    const auto response = client.request(request).get();
    answer.m_status = response.status_code();
    const auto found = response.headers().find("Retry-After");
    if (found != response.headers().end()) answer.m_retry_after = found->second;
  } catch (const std::exception&) {
    answer.m_status = 0;  // The connection was lost.
  }
  answer.m_took = std::chrono::steady_clock::now() - began;
  return answer;
}

std::future<Answer> SendLater(const std::string& address, const std::string& method,
                              const std::string& job, const std::chrono::milliseconds wait) {
  return std::async(std::launch::async, Send, address, method, job, wait);
}

/// Waits until the metrics of an entry show `count` held calls.
bool WaitForHeld(const std::string& metrics, const int count) {
  const auto line = "ebonypin_fleet_held_calls " + std::to_string(count) + "\n";
  return WaitUntil([&] {
    web::http::client::http_client client("http://" + metrics);
    const auto text =
        client.request(web::http::methods::GET, "/metrics").get().extract_string(true).get();
    return text.find(line) != std::string::npos;
  });
}

class FleetHoldTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetHoldTest);
  CPPUNIT_TEST(CallsOutliveAnOutageOfTheStore);
  CPPUNIT_TEST(NoCallIsGivenUpBeforeHalfOfItsCallersWait);
  CPPUNIT_TEST(ACancelledSubmissionIsNotHeld);
  CPPUNIT_TEST(AKilledEntryThatHoldsSubmissionsLosesNoAcceptedJob);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against jobs that are lost because their callers have used up their retries within an
  /// outage, at the coordinator and at another entry, and against repeats that become two jobs.
  void CallsOutliveAnOutageOfTheStore() {
    FleetSite site(2, 1, true, kLongHold);
    const auto coordinator = site.Coordinator();
    const int before = site.Starts();
    site.SetStoreFaults(R"({"down":true})");
    // Submissions that arrive before the outage is noticed are carried by an open append.
    auto read = SendLater(site.HttpAddress(coordinator), "GET", kUnknownJob, kLongWait);
    CPPUNIT_ASSERT(WaitForHeld(site.MetricsAddress(coordinator), 1));
    std::vector<std::future<Answer>> submitted;
    for (const std::size_t entry : {coordinator, 1 - coordinator}) {
      submitted.push_back(SendLater(site.HttpAddress(entry), "POST", kJob, kLongWait));
    }
    submitted.push_back(SendLater(site.HttpAddress(1 - coordinator), "POST", kOtherJob, kLongWait));
    CPPUNIT_ASSERT(WaitForHeld(site.MetricsAddress(coordinator), 4));
    site.SetStoreFaults(R"({"down":false})");
    for (auto& call : submitted) CPPUNIT_ASSERT_EQUAL(200, call.get().m_status);
    CPPUNIT_ASSERT_EQUAL(410, read.get().m_status);
    for (const auto& job : {kJob, kOtherJob}) {
      CPPUNIT_ASSERT(WaitUntil([&] { return site.StateOf(0, job) == "done"; }));
    }
    CPPUNIT_ASSERT_EQUAL(before + 2, site.Starts());
    CPPUNIT_ASSERT(WaitForHeld(site.MetricsAddress(coordinator), 0));
  }

  /// Guards against responses that cost the caller a retry while the outage may still end in time,
  /// when the outage begins, and after it was noticed.
  void NoCallIsGivenUpBeforeHalfOfItsCallersWait() {
    FleetSite site(2, 1, true, kUsualHold);
    site.SetStoreFaults(R"({"down":true})");
    for (const auto& submitted : {kJob, kOtherJob}) {
      std::vector<std::future<Answer>> calls;
      for (std::size_t entry = 0; entry < 2; ++entry) {
        calls.push_back(SendLater(site.HttpAddress(entry), "POST", submitted, kUsualWait));
        calls.push_back(SendLater(site.HttpAddress(entry), "GET", kUnknownJob, kUsualWait));
        calls.push_back(SendLater(site.HttpAddress(entry), "DELETE", kThirdJob, kUsualWait));
      }
      for (auto& call : calls) {
        const auto answer = call.get();
        CPPUNIT_ASSERT_EQUAL(504, answer.m_status);
        CPPUNIT_ASSERT(answer.m_took >= kUsualWait / 2);
        CPPUNIT_ASSERT(answer.m_retry_after == "1" || answer.m_retry_after == "2");
      }
    }
    site.SetStoreFaults(R"({"down":false})");
    CPPUNIT_ASSERT(WaitUntil([&] { return site.Submit(0, kJob, "run 1").m_status == 200; }));
  }

  /// Guards against a held submission that runs although its cancel was acknowledged.
  void ACancelledSubmissionIsNotHeld() {
    FleetSite site(1, 1, true, kLongHold);
    const int before = site.Starts();
    site.SetStoreFaults(R"({"down":true})");
    auto first = SendLater(site.HttpAddress(0), "GET", kUnknownJob, kLongWait);
    CPPUNIT_ASSERT(WaitForHeld(site.MetricsAddress(0), 1));
    auto submitted = SendLater(site.HttpAddress(0), "POST", kJob, kLongWait);
    CPPUNIT_ASSERT(WaitForHeld(site.MetricsAddress(0), 2));
    auto cancelled = SendLater(site.HttpAddress(0), "DELETE", kJob, kLongWait);
    CPPUNIT_ASSERT_EQUAL(504, submitted.get().m_status);
    site.SetStoreFaults(R"({"down":false})");
    CPPUNIT_ASSERT_EQUAL(410, cancelled.get().m_status);
    CPPUNIT_ASSERT_EQUAL(410, first.get().m_status);
    CPPUNIT_ASSERT_EQUAL(200, site.Submit(0, kJob, "run 1").m_status);
    CPPUNIT_ASSERT_EQUAL(200, site.Submit(0, kOtherJob, "run 1").m_status);
    CPPUNIT_ASSERT(WaitUntil([&] { return site.StateOf(0, kOtherJob) == "done"; }));
    CPPUNIT_ASSERT_EQUAL(std::string{"cancelled"}, site.StateOf(0, kJob));
    CPPUNIT_ASSERT_EQUAL(before + 1, site.Starts());
  }

  /// Guards against jobs that were acknowledged and are lost with the entry that held submissions.
  void AKilledEntryThatHoldsSubmissionsLosesNoAcceptedJob() {
    auto folder = (std::filesystem::temp_directory_path() / "ebonypin-hold-XXXXXX").string();
    if (::mkdtemp(folder.data()) == nullptr) throw std::runtime_error("no folder for logs");
    {
      ProcessSite site(2, 1, folder, "[calls]\nhold = 10s\n");
      std::size_t coordinator = 0;
      CPPUNIT_ASSERT(WaitUntil([&] {
        const auto found = site.Coordinator({0, 1});
        coordinator = found.value_or(0);
        return found.has_value();
      }));
      const auto other = 1 - coordinator;
      CPPUNIT_ASSERT_EQUAL(200, site.Submit(coordinator, kUnknownJob, "last", 1));
      for (const std::size_t entry : {coordinator, other}) {
        site.Network().Cut(ProcessSite::EntryName(entry), ProcessSite::StoreName());
      }
      auto read = SendLater(site.HttpAddress(coordinator), "GET", kThirdJob, kLongWait);
      CPPUNIT_ASSERT(WaitForHeld(site.MetricsAddress(coordinator), 1));
      auto lost = SendLater(site.HttpAddress(coordinator), "POST", kJob, kLongWait);
      auto forwarded = SendLater(site.HttpAddress(other), "POST", kOtherJob, kLongWait);
      CPPUNIT_ASSERT(WaitForHeld(site.MetricsAddress(coordinator), 3));
      site.Signal(coordinator, SIGKILL);
      CPPUNIT_ASSERT_EQUAL(0, lost.get().m_status);
      site.Network().Heal();
      const int status = forwarded.get().m_status;
      CPPUNIT_ASSERT_MESSAGE(std::to_string(status), status == 200 || status == 504);
      if (status == 200) {
        CPPUNIT_ASSERT_EQUAL(200, site.Call(other, "GET", "/renders/" + kOtherJob).m_status);
      }
      // The callers send the same jobs again to another entry.
      for (const auto& job : {kJob, kOtherJob}) {
        CPPUNIT_ASSERT(WaitUntil([&] {
          const int repeated = site.Submit(other, job, "run 1", 1);
          CPPUNIT_ASSERT(repeated != 503);
          return repeated == 200;
        }));
      }
      CPPUNIT_ASSERT_EQUAL(200, site.Call(other, "GET", "/renders/" + kUnknownJob).m_status);
      CPPUNIT_ASSERT(WaitUntil([&] { return site.StateOf(other, kOtherJob) == "done"; }));
    }
    std::filesystem::remove_all(folder);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetHoldTest);

}  // namespace
}  // namespace ebonypin::daemon
