#include "commands.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

#include "fake_entry.h"

namespace ebonypin::ctl {
namespace {

using namespace std::chrono_literals;

const std::string kKrakow = EBONYPIN_SOURCE_DIR "/examples/krakow.ini";

struct CommandResult {
  int m_code = -1;
  std::string m_out;
  std::string m_err;
};

/// Runs the command that `words` name against `entry` and returns its exit code and output.
CommandResult RunCommand(const FakeEntry& entry, const std::vector<std::string>& words,
                         Options options = {}) {
  options.m_entries = {entry.Url()};
  options.m_operator = "kasia";
  options.m_timeout = 2s;
  ApiClient client(options.m_entries);
  std::ostringstream out;
  std::ostringstream err;
  int ids = 0;
  Context context{.m_options = options,
                  .m_client = client,
                  .m_out = out,
                  .m_err = err,
                  .m_new_id = [&ids] { return "id-" + std::to_string(++ids); },
                  .m_sleep = [](core::Duration) {}};
  const auto match = MatchCommand(words, {});
  CPPUNIT_ASSERT_EQUAL(std::string{}, match.m_error);
  CommandResult result;
  result.m_code = match.m_command->m_run(context, match.m_arguments);
  result.m_out = out.str();
  result.m_err = err.str();
  return result;
}

void AssertContains(const std::string& part, const std::string& text) {
  CPPUNIT_ASSERT_MESSAGE("'" + part + "' not in: " + text, text.find(part) != std::string::npos);
}

FakeResponse NotFound() {
  return {404, Json(R"({"answer":"not_run","error":{"kind":"not_found","message":"no class"}})")};
}

class CommandsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CommandsTest);
  CPPUNIT_TEST(ApplyCreatesEachClassAndSkipsUnchangedOnes);
  CPPUNIT_TEST(ConcurrentChangeIsShownAndNotOverwritten);
  CPPUNIT_TEST(InvalidFileIsNotSent);
  CPPUNIT_TEST(RemoveNamesTheRevisionItIsBasedOn);
  CPPUNIT_TEST(JobIsSubmittedWithAKeyAndFollowedToItsEnd);
  CPPUNIT_TEST(ExitCodeReflectsTheOutcomeOfTheWork);
  CPPUNIT_TEST(WatchPrintsEachUpdateOnce);
  CPPUNIT_TEST(FollowedAuditPrintsEachChangeOnce);
  CPPUNIT_TEST(DrainWaitsForTheLastWork);
  CPPUNIT_TEST(StuckReportsWhatBlocksWork);
  CPPUNIT_TEST(StuckListsTheJobsOfEveryEntry);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against classes or fields that are not sent, and against changes that are sent although
  /// the class is unchanged.
  void ApplyCreatesEachClassAndSkipsUnchangedOnes() {
    web::json::value stored;
    FakeEntry entry([&](const FakeCall& call) -> FakeResponse {
      if (call.m_method == "GET") {
        if (stored.is_null() || call.m_path != "/v1/classes/preview") return NotFound();
        auto body = web::json::value::object();
        body["class"] = stored;
        return {200, body};
      }
      auto spec = call.m_body.at("spec");
      spec["revision"] = 1;
      spec["accepted_offset"] = 7;
      if (call.m_path == "/v1/classes/preview") stored = spec;
      auto body = web::json::value::object();
      body["answer"] = web::json::value::string("done");
      body["class"] = spec;
      return {200, body};
    });
    const auto first = RunCommand(entry, {"class", "apply", kKrakow});
    CPPUNIT_ASSERT_EQUAL(std::string{"class preview: created, revision 1\n"
                                     "class render: created, revision 1\n"
                                     "class archive_sync: created, revision 1\n"},
                         first.m_out);
    const auto put = entry.Calls().at(1).m_body;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, NumberOf(put, "base_revision"));
    CPPUNIT_ASSERT_EQUAL(std::string{"kasia"}, TextOf(put, "operator"));
    CPPUNIT_ASSERT_EQUAL(std::string{"id-1"}, TextOf(put, "change_id"));
    CPPUNIT_ASSERT_EQUAL(
        std::string{
            R"({"exclusive":false,"kind":"request","name":"preview","non_idempotent":false,)"
            R"("target":{"latency_ms":250,"percentile":99,"start_within_ms":50},"team":"design"})"},
        put.at("spec").serialize());
    AssertContains("class preview: unchanged, revision 1\n",
                   RunCommand(entry, {"class", "apply", kKrakow}).m_out);
  }

  /// Guards against silently overwriting a concurrent change by another operator.
  void ConcurrentChangeIsShownAndNotOverwritten() {
    FakeEntry entry([](const FakeCall& call) -> FakeResponse {
      if (call.m_method == "GET") return NotFound();
      return {409, Json(R"({"answer":"not_run",
          "error":{"kind":"revision_conflict","message":"another change came first"},
          "current_revision":4,"class":{"name":"preview","team":"design","kind":"request",
          "target":{"latency_ms":90,"percentile":99},"revision":4}})")};
    });
    const auto result = RunCommand(entry, {"class", "apply", kKrakow});
    CPPUNIT_ASSERT_EQUAL(int{kExitConflict}, result.m_code);
    AssertContains("current: revision 4\n[class preview]\n", result.m_err);
    AssertContains("latency_p99 = 90ms\n", result.m_err);
    AssertContains("remedy: look at the current value and apply again\n", result.m_err);
    AssertContains("3 of 3 classes in the file were not applied", result.m_err);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, entry.Calls().size());
  }

  /// Guards against sending part of a file before an error in it is found.
  void InvalidFileIsNotSent() {
    FakeEntry entry([](const FakeCall&) { return NotFound(); });
    const auto result =
        RunCommand(entry, {"class", "apply", EBONYPIN_SOURCE_DIR "/examples/agent.ini"});
    CPPUNIT_ASSERT_EQUAL(int{kExitBadInput}, result.m_code);
    AssertContains("section [process] is refused", result.m_err);
    CPPUNIT_ASSERT(entry.Calls().empty());
  }

  /// Guards against removing a class that changed after its revision was read.
  void RemoveNamesTheRevisionItIsBasedOn() {
    FakeEntry entry([](const FakeCall& call) -> FakeResponse {
      if (call.m_method == "GET") return {200, Json(R"({"class":{"name":"a","revision":3}})")};
      return {200, Json(R"({"answer":"done","offset":9})")};
    });
    CPPUNIT_ASSERT_EQUAL(int{kExitOk}, RunCommand(entry, {"class", "remove", "a"}).m_code);
    CPPUNIT_ASSERT_EQUAL(std::string{"/v1/classes/a?base_revision=3&operator=kasia&change_id=id-1"},
                         entry.Calls().at(1).m_path);
  }

  /// Guards against a job that is created twice by a retry, and against a wait that does not end
  /// when the job closes.
  void JobIsSubmittedWithAKeyAndFollowedToItsEnd() {
    int asked = 0;
    FakeEntry entry([&](const FakeCall& call) -> FakeResponse {
      if (call.m_method == "POST")
        return {202, Json(R"({"answer":"accepted","id":"r","job":"j 1"})")};
      if (++asked == 1) return {200, Json(R"({"job":"j 1","state":"queued","attempt":0})")};
      return {200, Json(R"({"job":"j 1","state":"closed","attempt":1,"instance":"w2",
                            "outcome":"succeeded","result":"plate"})")};
    });
    Options options{.m_wait = true, .m_class = "render", .m_payload = "p"};
    options.m_size.m_memory_mb = 512;
    const auto result = RunCommand(entry, {"job", "submit"}, options);
    CPPUNIT_ASSERT_EQUAL(int{kExitOk}, result.m_code);
    CPPUNIT_ASSERT_EQUAL(std::string{"plate\n"}, result.m_out);
    CPPUNIT_ASSERT_EQUAL(std::string{"job j 1: accepted\njob j 1: queued\n"
                                     "job j 1: closed, succeeded, attempt 1 on w2\n"},
                         result.m_err);
    const auto calls = entry.Calls();
    CPPUNIT_ASSERT_EQUAL(std::string{"id-1"}, TextOf(calls[0].m_body, "key"));
    CPPUNIT_ASSERT_EQUAL(std::string{"render"}, TextOf(calls[0].m_body, "class"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{512},
                         NumberOf(ObjectOf(calls[0].m_body, "size"), "memory_mb"));
    CPPUNIT_ASSERT_EQUAL(std::string{"/v1/jobs/j%201?wait_ms=10000"}, calls[1].m_path);
  }

  /// Guards against exit codes that make a failure or an unknown outcome look like success.
  void ExitCodeReflectsTheOutcomeOfTheWork() {
    const auto job = [](const std::string& body) {
      FakeEntry entry([&](const FakeCall&) { return FakeResponse{200, Json(body)}; });
      return RunCommand(entry, {"job", "result", "j"}).m_code;
    };
    CPPUNIT_ASSERT_EQUAL(int{kExitOk}, job(R"({"state":"closed","outcome":"succeeded"})"));
    CPPUNIT_ASSERT_EQUAL(int{kExitJobEnded}, job(R"({"state":"closed","outcome":"failed"})"));
    CPPUNIT_ASSERT_EQUAL(int{kExitUnknown}, job(R"({"state":"closed","outcome":"unknown"})"));
    CPPUNIT_ASSERT_EQUAL(int{kExitNotRun}, job(R"({"state":"assigned"})"));
    const auto request = [](const int status, const std::string& body) {
      FakeEntry entry([&](const FakeCall&) { return FakeResponse{status, Json(body)}; });
      return RunCommand(entry, {"request"}, {.m_class = "preview"}).m_code;
    };
    CPPUNIT_ASSERT_EQUAL(int{kExitOk}, request(200, R"({"answer":"done","result":"x"})"));
    CPPUNIT_ASSERT_EQUAL(
        int{kExitJobEnded},
        request(200, R"({"answer":"done","error":{"kind":"task_failed","message":"m"}})"));
    CPPUNIT_ASSERT_EQUAL(
        int{kExitNotRun},
        request(429, R"({"answer":"not_run","error":{"kind":"overloaded","message":"m"}})"));
    CPPUNIT_ASSERT_EQUAL(
        int{kExitUnknown},
        request(504, R"({"answer":"unknown","error":{"kind":"timeout","message":"m"}})"));
  }

  /// Guards against updates that are dropped or shown twice between long polls.
  void WatchPrintsEachUpdateOnce() {
    FakeEntry entry([](const FakeCall& call) -> FakeResponse {
      if (call.m_path == "/v1/watches/brass?cursor=0&wait_ms=10000") {
        return {200, Json(R"({"updates":[{"sequence":1,"update_id":"a","value":"7.10"},
                                          {"sequence":2,"update_id":"b","value":"7.20"}],
                               "cursor":2,"gap":false})")};
      }
      CPPUNIT_ASSERT_EQUAL(std::string{"/v1/watches/brass?cursor=2&wait_ms=10000"}, call.m_path);
      return {200, Json(R"({"updates":[{"sequence":5,"update_id":"c","value":"7\u001b[2J"}],
                             "cursor":5,"gap":true})")};
    });
    const auto result = RunCommand(entry, {"watch", "brass"}, {.m_count = 3});
    CPPUNIT_ASSERT_EQUAL(std::string{"1  a  7.10\n2  b  7.20\n5  c  7?[2J\n"}, result.m_out);
    CPPUNIT_ASSERT_EQUAL(std::string{"warning: updates after cursor 2 are no longer kept\n"},
                         result.m_err);
  }

  /// Guards against audit output in which changes are missing or shown twice.
  void FollowedAuditPrintsEachChangeOnce() {
    const std::string first = R"({"offset":3,"wall_ms":1767323045000,"operator":"kasia",
        "subject":"class a","new":{"name":"a","kind":"job","target":{"finish_within_ms":1000}},
        "outcome":"in_force"})";
    const std::string second = R"({"offset":5,"wall_ms":1767323046000,"operator":"jan",
        "subject":"worker w1","old":{"draining":false},"new":{"draining":true},
        "outcome":"in_force"})";
    int asked = 0;
    FakeEntry entry([&](const FakeCall&) -> FakeResponse {
      return {200, Json(++asked == 1 ? R"({"changes":[)" + first + "]}"
                                     : R"({"changes":[)" + second + "," + first + "]}")};
    });
    const auto result = RunCommand(entry, {"audit"}, {.m_follow = true, .m_count = 2});
    CPPUNIT_ASSERT_EQUAL(
        std::string{"3  2026-01-02 03:04:05Z  kasia  class a  none -> finish_within 1s  in_force\n"
                    "5  2026-01-02 03:04:06Z  jan  worker w1  in use -> draining  in_force\n"},
        result.m_out);
  }

  /// Guards against a drain that is reported as finished while work still runs.
  void DrainWaitsForTheLastWork() {
    int asked = 0;
    FakeEntry entry([&](const FakeCall& call) -> FakeResponse {
      if (call.m_method == "PUT") {
        CPPUNIT_ASSERT_EQUAL(std::string{"/v1/instances/w1/drain"}, call.m_path);
        CPPUNIT_ASSERT(IsTrue(call.m_body, "draining"));
        return {200, Json(R"({"answer":"done"})")};
      }
      return {200, Json(++asked < 3 ? R"({"instances":[{"id":"w1","slots_busy":1,"queued":1}]})"
                                    : R"({"instances":[{"id":"w1","slots_busy":0,"queued":0}]})")};
    });
    const auto result = RunCommand(entry, {"drain", "w1"}, {.m_wait = true});
    CPPUNIT_ASSERT_EQUAL(std::string{"instance w1: takes no new work\n"}, result.m_out);
    CPPUNIT_ASSERT_EQUAL(std::string{"instance w1: 2 running or queued\n"
                                     "instance w1: 0 running or queued\n"},
                         result.m_err);
  }

  /// Guards against blocked work for which operators see no reason.
  void StuckReportsWhatBlocksWork() {
    const auto stuck = [](const std::string& status, const std::string& instances) {
      FakeEntry entry([&](const FakeCall& call) -> FakeResponse {
        return {200, Json(call.m_path == "/v1/status" ? status : instances)};
      });
      return RunCommand(entry, {"stuck"}).m_out;
    };
    const std::string good = R"({"log":{"jobs":{"caught_up":true,"age_ms":10},
        "config":{"caught_up":true,"age_ms":10}},"shards":[{"shard":0,"owner":"e1"}]})";
    const std::string bad = R"({"log":{"jobs":{"caught_up":true,"age_ms":9000},
        "config":{"caught_up":true,"age_ms":10}},"shards":[{"shard":0,"owner":""}]})";
    const std::string ready = R"({"instances":[{"id":"w1"}]})";
    const std::string silent = R"({"instances":[{"id":"w1","suspected":true,"slots_busy":3}]})";
    CPPUNIT_ASSERT_EQUAL(std::string{"nothing holds work back\n"}, stuck(good, ready));
    const auto found = stuck(bad, silent);
    AssertContains("jobs log last read 9000 ms ago", found);
    AssertContains("1 of 1 shards have no owner", found);
    AssertContains("instance w1 silent", found);
    AssertContains("no instance takes work", found);
  }

  /// Guards against stuck jobs that do not show because only the log, shards and instances are
  /// checked.
  void StuckListsTheJobsOfEveryEntry() {
    FakeEntry other([&](const FakeCall& call) -> FakeResponse {
      CPPUNIT_ASSERT_EQUAL(std::string{"/v1/stuck"}, call.m_path);
      return {200, Json(R"({"jobs":[{"job":"j1","class":"render","instance":"w1",
          "reason":"no worker takes it: the slots are taken"}]})")};
    });
    const auto address = other.Url().substr(std::string{"http://"}.size());
    FakeEntry entry([&](const FakeCall& call) -> FakeResponse {
      if (call.m_path != "/v1/status") return {200, Json(R"({"instances":[{"id":"w1"}]})")};
      return {200, Json(R"({"log":{"jobs":{"caught_up":true,"age_ms":10},
          "config":{"caught_up":true,"age_ms":10}},"entries":[{"entry":"e2","http":")" +
                        address + R"("}]})")};
    });
    const auto found = RunCommand(entry, {"stuck"}).m_out;
    AssertContains("job j1 of class render on instance w1", found);
    AssertContains("no worker takes it: the slots are taken", found);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandsTest);

}  // namespace
}  // namespace ebonypin::ctl
