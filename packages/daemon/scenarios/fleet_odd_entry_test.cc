/// Scenarios with records, heartbeats and bodies of another writer: none of them may end a process
/// or keep the others from being used.
#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <thread>

#include "ebonypin/platform/users_platform.h"
#include "ebonypin/standin/users_messages.h"
#include "ebonypin/wire/fleet_codec.h"
#include "fleet_site.h"

namespace ebonypin::daemon {
namespace {

using namespace std::chrono_literals;

const std::string kJob = "0123456789abcdef";
const std::string kGarbage = "this is no record";

std::string Repeat(const std::string& text, const int times) {
  std::string all;
  for (int i = 0; i < times; ++i) all += text;
  return all;
}

class FleetOddEntryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FleetOddEntryTest);
  CPPUNIT_TEST(ARecordThatCannotBeReadDoesNotStopTheElection);
  CPPUNIT_TEST(AnEpochOutOfRangeDoesNotStopTheElection);
  CPPUNIT_TEST(RecordsThatCannotBeReadAreSkipped);
  CPPUNIT_TEST(AddressesThatCannotBeUsedEndNoProcess);
  CPPUNIT_TEST(OddHeartbeatsStopNoWork);
  CPPUNIT_TEST(AHeartbeatOfAnotherWorkerDoesNotReplaceTheWorker);
  CPPUNIT_TEST(OddBodiesOfCallersEndNoProcess);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against entries that never become coordinator again after another writer has replaced
  /// the record of the coordinator.
  void ARecordThatCannotBeReadDoesNotStopTheElection() {
    FleetSite site(1, 1);
    site.PutRecord(CoordinatorTopic(), "coordinator", kGarbage);
    site.PutRecord(CoordinatorTopic(), "other", kGarbage);
    RestartEntry(site);
    ExpectWorkIsDone(site);
  }

  /// Guards against an epoch whose successor does not fit into a session number.
  void AnEpochOutOfRangeDoesNotStopTheElection() {
    FleetSite site(1, 1);
    site.PutRecord(CoordinatorTopic(), "coordinator",
                   wire::Encode(core::fleet::CoordinatorRecord{
                       .m_epoch = std::numeric_limits<core::Epoch>::max(),
                       .m_entry = "odd",
                       .m_rpc_address = "127.0.0.1:99999"}));
    RestartEntry(site);
    ExpectWorkIsDone(site);
  }

  /// Guards against a recovery that fails because of one record of another writer.
  void RecordsThatCannotBeReadAreSkipped() {
    FleetSite site(1, 1);
    CPPUNIT_ASSERT_EQUAL(200, site.Submit(0, kJob, "last").m_status);
    CPPUNIT_ASSERT(WaitUntil([&] { return site.Running() == 1; }));
    for (const auto* key : {"job/odd", "progress/odd", "progress/0123456789abcdee", "member/odd",
                            "pairs", "odd", "", "member/"}) {
      site.PutRecord(JobsTopic(), key, kGarbage);
      site.PutRecord(JobsTopic(), std::string{key} + "2", std::string(4096, '\xff'));
    }
    RestartEntry(site);
    ExpectWorkIsDone(site);
    CPPUNIT_ASSERT_EQUAL(std::string{"running"}, site.StateOf(0, kJob));
  }

  /// Guards against an address in a record that ends the process or stops its calls.
  void AddressesThatCannotBeUsedEndNoProcess() {
    FleetSite site(1, 1);
    int number = 0;
    for (const std::string address :
         {"127.0.0.1:99999", "127.0.0.1:0", "127.0.0.1", ":", "", "no address", "*:1",
          "unix:/nowhere", "127.0.0.1:-1", "[::1", "127.0.0.1:4294967297", "\x01\x02"}) {
      const auto id = "odd-" + std::to_string(++number);
      site.PutRecord(JobsTopic(), "member/" + id,
                     wire::Encode(core::fleet::MemberRecord{
                         .m_agent = {id}, .m_rpc_address = address, .m_worker = {id}}));
    }
    site.PutRecord(CoordinatorTopic(), "coordinator",
                   wire::Encode(core::fleet::CoordinatorRecord{
                       .m_epoch = 20, .m_entry = "odd", .m_rpc_address = "127.0.0.1:99999"}));
    RestartEntry(site);
    ExpectWorkIsDone(site);
  }

  /// Guards against a heartbeat that ends the agent or makes its worker unusable.
  void OddHeartbeatsStopNoWork() {
    FleetSite site(1, 1);
    CPPUNIT_ASSERT_EQUAL(200, site.Submit(0, kJob, "last").m_status);
    CPPUNIT_ASSERT(WaitUntil([&] { return site.Running() == 1; }));
    const int starts = site.Starts();
    const std::string head = R"({"Service":"desk","State":"ready","Seq":99999999,)";
    for (const auto& body :
         {std::string{}, std::string{"\xff\xfe\x00\x01", 4}, std::string{"[]"}, std::string{"null"},
          Repeat("[", 100'000), Repeat(R"({"Capacity":)", 100'000),
          head + R"("Capacity":{"Cpu":99999999999999999999}})",
          head + R"("Capacity":{"Cpu":1e999}})", head + R"("Capacity":{"Cpu":-1,"MemMb":-1}})",
          head + R"("Capacity":[],"Labels":{}})", head + R"("Capacity":{},"Labels":[1]})",
          head + R"("Capacity":{},"Labels":[],"born":1e300})",
          head + R"("Capacity":{},"born":"\ud800"})"}) {
      (void)site.SendHeartbeat(0, "w-0", body);
      (void)site.SendHeartbeat(0, "%zz", body);
    }
    ExpectWorkIsDone(site);
    CPPUNIT_ASSERT_EQUAL(1, site.Running());
    CPPUNIT_ASSERT_EQUAL(starts + 1, site.Starts());
  }

  /// Guards against an agent that takes the worker of a heartbeat of another writer for its own and
  /// ignores its worker from then on.
  void AHeartbeatOfAnotherWorkerDoesNotReplaceTheWorker() {
    for (const auto* id : {"odd", "w-0"}) {
      FleetSite site(1, 1);
      CPPUNIT_ASSERT_EQUAL(200, site.Submit(0, kJob, "last").m_status);
      CPPUNIT_ASSERT(WaitUntil([&] { return site.Running() == 1; }));
      const int starts = site.Starts();
      const auto answer =
          site.SendHeartbeat(0, id,
                             R"({"Service":"odd","State":"ready","Capacity":{"Cpu":1000},)"
                             R"("born":8000000000000000,"Seq":99999999})");
      CPPUNIT_ASSERT_EQUAL(200, answer.m_status);
      std::this_thread::sleep_for(kOddTime);
      ExpectWorkIsDone(site);
      CPPUNIT_ASSERT_EQUAL(1, site.Running());
      CPPUNIT_ASSERT_EQUAL(starts + 1, site.Starts());
    }
  }

  /// Guards against a submission that ends one coordinator after the other.
  void OddBodiesOfCallersEndNoProcess() {
    FleetSite site(1, 1);
    int number = 0;
    for (const auto& body :
         {Repeat("[", 4'000), Repeat(R"({"Steps":)", 1'000),
          std::string{R"({"Steps":[{"Count":4294967295}]})"},
          std::string{R"({"Steps":[{"Count":1,"EstMs":9223372036854775807}]})"},
          std::string{R"({"Steps":[{"Count":1,"Cpu":99999999999999999999}]})"},
          std::string{R"({"Steps":[{"Count":1},{"Count":1,"After":[4294967296]}]})"},
          std::string{R"({"Times":4294967295,"IntervalMs":0,"Steps":[{"Count":1}]})"},
          std::string{R"({"Times":4294967295,"StartAtMs":9223372036854775807,"IntervalMs":)"
                      R"(9223372036854775807,"Steps":[{"Count":1}]})"}}) {
      const auto id = "00000000000000a" + std::to_string(number++);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(body.substr(0, 80), 400,
                                   site.Call(0, "POST", "/renders/" + id, body).m_status);
    }
    ExpectWorkIsDone(site);
  }

 private:
  /// Longer than the interval between two heartbeats of the stand-in, several times.
  static constexpr auto kOddTime = 1500ms;

  static std::string CoordinatorTopic() {
    return platform::GetPlatformPlugin()->m_coordinator_topic;
  }
  static std::string JobsTopic() { return platform::GetPlatformPlugin()->m_jobs_topic; }

  static void RestartEntry(FleetSite& site) {
    site.StopEntry(0);
    site.StartEntry(0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, site.Coordinator());
  }

  static void ExpectWorkIsDone(const FleetSite& site) {
    const std::string job = "eeeeeeeeeeeeeeee";
    CPPUNIT_ASSERT(WaitUntil([&] { return site.Submit(0, job, "run 1").m_status == 200; }));
    CPPUNIT_ASSERT(WaitUntil([&] { return site.StateOf(0, job) == "done"; }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetOddEntryTest);

}  // namespace
}  // namespace ebonypin::daemon
