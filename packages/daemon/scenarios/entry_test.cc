#include <cppunit/extensions/HelperMacros.h>

#include <future>

#include "site.h"

namespace ebonypin::daemon {
namespace {

constexpr auto kJob = R"("kind":"job","exclusive":true,"non_idempotent":true)";
constexpr auto kRequest = R"("kind":"request")";

std::string WorkJson(const std::string& id, const std::string& name, const std::string& payload,
                     const std::string& more = "") {
  return R"({"id":")" + id + R"(","class":")" + name + R"(","payload":")" + payload + "\"" + more +
         "}";
}

class EntryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryTest);
  CPPUNIT_TEST(JobRunsOnceAndEveryEntryKnowsItsResult);
  CPPUNIT_TEST(LogOutageRefusesJobsAndServesRequests);
  CPPUNIT_TEST(LostAnswerAcceptsTheJobOnce);
  CPPUNIT_TEST(ConcurrentChangesHaveOneWinner);
  CPPUNIT_TEST(WatchCursorContinuesOnAnotherEntry);
  CPPUNIT_TEST(PlannedStopFinishesRequestsAndHandsOverJobs);
  CPPUNIT_TEST(RequestsInProgressAtTheDrainLimitAreAnswered);
  CPPUNIT_TEST(OpenJobsAndClassesOutliveTheLogsRetention);
  CPPUNIT_TEST(DeadlineIsKeptWhileTheLogIsSlow);
  CPPUNIT_TEST(LargeBodiesAreRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against jobs that run twice when their caller repeats them, or that other entries do
  /// not know.
  void JobRunsOnceAndEveryEntryKnowsItsResult() {
    const Site site(2);
    const ScriptedAgent agent("agent", site.RpcAddresses());
    site.CreateClass("render", kJob);
    const auto body = WorkJson("r", "render", "plate", R"(,"key":"k")");
    const auto first = site.Call(0, "POST", "/v1/jobs", body);
    CPPUNIT_ASSERT_EQUAL(202, first.m_status);
    const auto second = site.Call(1, "POST", "/v1/jobs", body);
    CPPUNIT_ASSERT_EQUAL(first.Text("job"), second.Text("job"));
    for (const std::size_t entry : {0, 1}) {
      const auto end = site.Call(entry, "GET", first.Text("location") + "?wait_ms=20000");
      CPPUNIT_ASSERT_EQUAL(std::string{"succeeded"}, end.Text("outcome"));
      CPPUNIT_ASSERT_EQUAL(std::string{"plate"}, end.Text("result"));
    }
    CPPUNIT_ASSERT_EQUAL(1, agent.Starts());
    // A non-idempotent request is run as a job too, and is answered with its own result.
    site.CreateClass("certificate", R"("kind":"request","non_idempotent":true)");
    const auto sync = site.Call(1, "POST", "/v1/requests", WorkJson("c", "certificate", "sleeve"));
    CPPUNIT_ASSERT_EQUAL(200, sync.m_status);
    CPPUNIT_ASSERT_EQUAL(std::string{"sleeve"}, sync.Text("result"));
    CPPUNIT_ASSERT_EQUAL(2, agent.Starts());
  }

  /// Guards against jobs accepted without a record in the log, and requests refused although they
  /// do not need the log.
  void LogOutageRefusesJobsAndServesRequests() {
    const Site site(1);
    const ScriptedAgent agent("agent", site.RpcAddresses());
    site.CreateClass("render", kJob);
    site.CreateClass("lookup", kRequest);
    site.SetFaults(R"({"down":true})");
    const auto job = site.Call(0, "POST", "/v1/jobs", WorkJson("r", "render", "plate"));
    CPPUNIT_ASSERT_EQUAL(503, job.m_status);
    CPPUNIT_ASSERT_EQUAL(std::string{"not_run"}, job.Text("answer"));
    CPPUNIT_ASSERT_EQUAL(std::string{"log_unavailable"}, job.ErrorKind());
    CPPUNIT_ASSERT(!job.m_retry_after.empty());
    const auto lookup = site.Call(0, "POST", "/v1/requests", WorkJson("l", "lookup", "x"));
    CPPUNIT_ASSERT_EQUAL(200, lookup.m_status);
    CPPUNIT_ASSERT_EQUAL(std::string{"x"}, lookup.Text("result"));
    site.SetFaults(R"({"down":false})");
    CPPUNIT_ASSERT(WaitUntil([&] {
      return site.Call(0, "POST", "/v1/jobs", WorkJson("s", "render", "plate")).m_status == 202;
    }));
  }

  /// Guards against a second job, or a refusal, when the log loses the answer to an append.
  void LostAnswerAcceptsTheJobOnce() {
    const Site site(1);
    const ScriptedAgent agent("agent", site.RpcAddresses());
    site.CreateClass("render", kJob);
    site.SetFaults(R"({"lose_answers":2})");
    const auto job = site.Call(0, "POST", "/v1/jobs", WorkJson("r", "render", "plate"));
    CPPUNIT_ASSERT_EQUAL(202, job.m_status);
    const auto end = site.Call(0, "GET", job.Text("location") + "?wait_ms=20000");
    CPPUNIT_ASSERT_EQUAL(std::string{"succeeded"}, end.Text("outcome"));
    CPPUNIT_ASSERT_EQUAL(1, agent.Starts());
  }

  /// Guards against lost updates: of several changes with the same base revision, one takes effect
  /// on all entries and the others are refused.
  void ConcurrentChangesHaveOneWinner() {
    const Site site(2);
    site.CreateClass("render", kJob);
    std::vector<std::future<HttpResult>> changes;
    for (std::size_t i = 0; i < 8; ++i) {
      const auto body = R"({"base_revision":1,"operator":"op","change_id":"c)" + std::to_string(i) +
                        R"(","spec":{"team":"t)" + std::to_string(i) + R"(","kind":"job"}})";
      changes.push_back(std::async(std::launch::async, [&site, i, body] {
        return site.Call(i % 2, "PUT", "/v1/classes/render", body);
      }));
    }
    std::string winner;
    for (auto& change : changes) {
      const auto result = change.get();
      if (result.m_status == 200) {
        CPPUNIT_ASSERT(winner.empty());
        winner = result.m_body.at("class").at("team").as_string();
      } else {
        CPPUNIT_ASSERT_EQUAL(409, result.m_status);
        CPPUNIT_ASSERT_EQUAL(std::string{"revision_conflict"}, result.ErrorKind());
        CPPUNIT_ASSERT_EQUAL(2, result.m_body.at("current_revision").as_integer());
      }
    }
    for (const std::size_t entry : {0, 1}) {
      CPPUNIT_ASSERT(WaitUntil([&] {
        const auto now = site.Call(entry, "GET", "/v1/classes/render").m_body.at("class");
        return now.at("team").as_string() == winner;
      }));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{9},
                         site.Call(0, "GET", "/v1/audit").m_body.at("changes").size());
  }

  /// Guards against updates that are dropped or repeated when a watcher switches to another entry.
  void WatchCursorContinuesOnAnotherEntry() {
    const Site site(2);
    const auto update = [&](const std::size_t entry, const std::string& id) {
      const auto body = R"({"update_id":")" + id + R"(","value":"v)" + id + "\"}";
      CPPUNIT_ASSERT_EQUAL(202, site.Call(entry, "POST", "/v1/watches/price", body).m_status);
    };
    std::vector<std::string> seen;
    std::string cursor = "0";
    const auto watch = [&](const std::size_t entry) {
      const auto read =
          site.Call(entry, "GET", "/v1/watches/price?wait_ms=20000&limit=2&cursor=" + cursor);
      CPPUNIT_ASSERT_EQUAL(200, read.m_status);
      CPPUNIT_ASSERT(!read.m_body.at("gap").as_bool());
      for (const auto& item : read.m_body.at("updates").as_array()) {
        seen.push_back(item.at("value").as_string());
      }
      cursor = std::to_string(read.m_body.at("cursor").as_number().to_uint64());
    };
    auto waiting = std::async(std::launch::async, [&] { watch(1); });
    update(0, "1");
    waiting.get();
    for (const auto* const id : {"2", "3", "2", "4"}) update(0, id);
    for (std::size_t i = 0; seen.size() < 4 && i < 4; ++i) watch(i % 2);
    CPPUNIT_ASSERT((seen == std::vector<std::string>{"v1", "v2", "v3", "v4"}));
  }

  /// Guards against requests that get no answer because the entry reached its drain limit.
  void RequestsInProgressAtTheDrainLimitAreAnswered() {
    Site site(1);
    ScriptedAgent agent("agent", site.RpcAddresses());
    site.CreateClass("lookup", kRequest);
    CPPUNIT_ASSERT(WaitUntil([&] {
      return site.Call(0, "POST", "/v1/requests", WorkJson("w", "lookup", "x")).m_status == 200;
    }));
    auto held = std::async(std::launch::async, [&site] {
      return site.Call(0, "POST", "/v1/requests", WorkJson("h", "lookup", "hold"));
    });
    CPPUNIT_ASSERT(WaitUntil([&] {
      return site.Call(0, "GET", "/v1/status").m_body.at("requests_in_flight").as_integer() == 1;
    }));
    site.Entry(0).BeginDrain();
    site.StopEntry(0);
    const auto answer = held.get();
    agent.Release();
    CPPUNIT_ASSERT_EQUAL(504, answer.m_status);
    CPPUNIT_ASSERT_EQUAL(std::string{"draining"}, answer.ErrorKind());
  }

  /// Guards against a planned stop that cuts off a request or leaves jobs without an owner.
  void PlannedStopFinishesRequestsAndHandsOverJobs() {
    Site site(2);
    ScriptedAgent agent("agent", site.RpcAddresses());
    site.CreateClass("render", kJob);
    site.CreateClass("lookup", kRequest);
    CPPUNIT_ASSERT(WaitUntil([&] {
      return site.Call(0, "POST", "/v1/requests", WorkJson("w", "lookup", "x")).m_status == 200;
    }));
    auto held = std::async(std::launch::async, [&site] {
      return site.Call(0, "POST", "/v1/requests", WorkJson("h", "lookup", "hold"));
    });
    CPPUNIT_ASSERT(WaitUntil([&] {
      return site.Call(0, "GET", "/v1/status").m_body.at("requests_in_flight").as_integer() == 1;
    }));
    site.Entry(0).BeginDrain();
    // Calls that the load balancer sent before it learned of the stop are served. Later calls are
    // refused.
    CPPUNIT_ASSERT(site.Call(0, "GET", "/v1/status").m_body.at("draining").as_bool());
    CPPUNIT_ASSERT_EQUAL(
        200, site.Call(0, "POST", "/v1/requests", WorkJson("n", "lookup", "x")).m_status);
    CPPUNIT_ASSERT(WaitUntil([&] {
      return site.Call(0, "POST", "/v1/requests", WorkJson("m", "lookup", "x")).ErrorKind() ==
             "draining";
    }));
    CPPUNIT_ASSERT(WaitUntil([&] {
      const auto status = site.Call(1, "GET", "/v1/status");
      for (const auto& shard : status.m_body.at("shards").as_array()) {
        if (shard.at("owner").as_string() != "entry-1") return false;
      }
      return true;
    }));
    CPPUNIT_ASSERT(!site.Entry(0).IsDrained());
    agent.Release();
    CPPUNIT_ASSERT_EQUAL(200, held.get().m_status);
    CPPUNIT_ASSERT(WaitUntil([&] { return site.Entry(0).IsDrained(); }));
    site.StopEntry(0);
    for (int i = 0; i < 20; ++i) {
      const auto job =
          site.Call(1, "POST", "/v1/jobs", WorkJson("j" + std::to_string(i), "render", "p"));
      const auto end = site.Call(1, "GET", job.Text("location") + "?wait_ms=20000");
      CPPUNIT_ASSERT_EQUAL(std::string{"succeeded"}, end.Text("outcome"));
    }
    CPPUNIT_ASSERT_EQUAL(20, agent.Starts());
  }

  /// Guards against classes and open jobs that a new entry cannot read from the log, because
  /// retention has removed their first records.
  void OpenJobsAndClassesOutliveTheLogsRetention() {
    // The rewrites begin after half of the retention and take two rounds of 2 s.
    Site site(1, std::chrono::seconds{12});
    const ScriptedAgent agent("agent", site.RpcAddresses());
    site.CreateClass("render", kJob);
    const auto job = site.Call(0, "POST", "/v1/jobs", WorkJson("r", "render", "hold"));
    CPPUNIT_ASSERT_EQUAL(202, job.m_status);
    const auto accepted =
        site.Call(0, "GET", job.Text("location")).m_body.at("accepted_offset").as_integer();
    CPPUNIT_ASSERT(WaitUntil([&] {
      const auto log = site.Call(0, "GET", "/v1/status").m_body.at("log");
      return log.at("config").at("first_kept").as_integer() > 1 &&
             log.at("jobs").at("first_kept").as_integer() > accepted;
    }));
    site.StopEntry(0);
    site.StartEntry(0);
    CPPUNIT_ASSERT(
        WaitUntil([&] { return site.Call(0, "GET", "/v1/classes/render").m_status == 200; }));
    CPPUNIT_ASSERT(
        WaitUntil([&] { return site.Call(0, "GET", job.Text("location")).m_status == 200; }));
  }

  /// Guards against callers who wait for the log beyond their deadline, and against the answer that
  /// nothing was recorded when the log accepts the record later.
  void DeadlineIsKeptWhileTheLogIsSlow() {
    const Site site(1);
    const ScriptedAgent agent("agent", site.RpcAddresses());
    site.CreateClass("certificate", R"("kind":"request","non_idempotent":true)");
    site.SetFaults(R"({"slow_ms":900})");
    const auto late = site.Call(0, "POST", "/v1/requests",
                                WorkJson("c", "certificate", "sleeve", R"(,"deadline_ms":100)"));
    CPPUNIT_ASSERT_EQUAL(504, late.m_status);
    CPPUNIT_ASSERT_EQUAL(std::string{"unknown"}, late.Text("answer"));
    CPPUNIT_ASSERT_EQUAL(0, agent.Starts());
    site.SetFaults(R"({"slow_ms":0})");
    CPPUNIT_ASSERT(WaitUntil(
        [&] { return site.Call(0, "GET", late.Text("location")).Text("outcome") == "succeeded"; }));
    CPPUNIT_ASSERT_EQUAL(1, agent.Starts());
  }

  /// Guards against bodies of any size being kept in memory.
  void LargeBodiesAreRefused() {
    const Site site(1);
    const std::string large(std::size_t{8} << 20U, 'x');
    for (int i = 0; i < 3; ++i) {
      const auto refused = site.Call(0, "POST", "/v1/jobs", WorkJson("r", "render", large));
      CPPUNIT_ASSERT_EQUAL(400, refused.m_status);
      CPPUNIT_ASSERT_EQUAL(std::string{"too_large"}, refused.ErrorKind());
    }
    CPPUNIT_ASSERT_EQUAL(200, site.Call(0, "GET", "/v1/status").m_status);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntryTest);

}  // namespace
}  // namespace ebonypin::daemon
