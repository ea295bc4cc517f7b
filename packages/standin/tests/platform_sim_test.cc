#include <cppunit/extensions/HelperMacros.h>

#include "run_worker/run_worker_sim.h"
#include "store/keyed_log.h"

namespace ebonypin::standin {
namespace {

using namespace std::chrono_literals;

StoreRecord Keyed(const std::string& key, const std::string& text) {
  return {std::string(1, static_cast<char>(key.size())) + key + text};
}

/// Guards against stand-ins that allow what the platform refuses: tests on them would prove
/// nothing.
class PlatformSimTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlatformSimTest);
  CPPUNIT_TEST(AConditionalAppendHasOneWinner);
  CPPUNIT_TEST(AFormerEpochIsFenced);
  CPPUNIT_TEST(ARepeatedAppendIsDoneOnce);
  CPPUNIT_TEST(TheNewestRecordOutlivesTheHistory);
  CPPUNIT_TEST(ASilentMemberLosesItsPartitions);
  CPPUNIT_TEST(ARunEndsWithItsLease);
  CPPUNIT_TEST(AStoppedRunCannotStartLater);
  CPPUNIT_TEST(TheTimesOfARunAreKept);
  CPPUNIT_TEST(AnEndBeforeALapseIsNotAcknowledged);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AConditionalAppendHasOneWinner() {
    KeyedLog log;
    CPPUNIT_ASSERT_EQUAL(200, log.Append({.m_records = {Keyed("k", "a")}, .m_at = 0}).m_status);
    const auto loser = log.Append({.m_records = {Keyed("k", "b")}, .m_at = 0});
    CPPUNIT_ASSERT(loser.m_status == 412 && loser.m_end == 1);
  }

  void AFormerEpochIsFenced() {
    KeyedLog log;
    (void)log.Append({.m_producer = "p", .m_epoch = 2});
    const auto old = log.Append({.m_records = {Keyed("k", "a")}, .m_producer = "p", .m_epoch = 1});
    CPPUNIT_ASSERT(old.m_status == 409 && old.m_reason == "fenced");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, log.End());
  }

  void ARepeatedAppendIsDoneOnce() {
    KeyedLog log;
    const AppendCall call{
        .m_records = {Keyed("k", "a")}, .m_producer = "p", .m_epoch = 1, .m_sequence = 1};
    CPPUNIT_ASSERT_EQUAL(log.Append(call).m_offset, log.Append(call).m_offset);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, log.End());
    auto gap = call;
    gap.m_sequence = 3;
    CPPUNIT_ASSERT_EQUAL(std::string{"seq"}, log.Append(gap).m_reason);
  }

  void TheNewestRecordOutlivesTheHistory() {
    KeyedLog log;
    (void)log.Append({.m_records = {Keyed("k", "a"), Keyed("k", "b"), Keyed("l", "c")}});
    log.DropHistory();
    CPPUNIT_ASSERT(!log.Read(0, 10).has_value());
    bool more = true;
    const auto newest = log.Newest({}, 10, more);
    CPPUNIT_ASSERT(!more && newest.size() == 2 && newest[0].m_value == "b");
    (void)log.Append({.m_records = {Keyed("k", "")}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log.Newest({}, 10, more).size());
  }

  void ASilentMemberLosesItsPartitions() {
    MemberGroup group;
    const StoreTime now{};
    CPPUNIT_ASSERT_EQUAL(std::size_t{12}, group.Join("a", 1500ms, 12, now).m_parts.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, group.Join("b", 1500ms, 12, now + 1s).m_parts.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{12}, group.Join("b", 1500ms, 12, now + 2s).m_parts.size());
  }

  void ARunEndsWithItsLease() {
    RunWorkerSim worker;
    const WorkerTime now{};
    CPPUNIT_ASSERT_EQUAL(std::string{}, Start(worker, now, "t", 1, "last", 2000));
    Extend(worker, now + 1s, 4000);
    Advance(worker, now + 3s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, worker.m_runs.size());
    Advance(worker, now + 4s);
    CPPUNIT_ASSERT_EQUAL(std::string{"lapsed"}, worker.m_ends.at(0).m_how);
  }

  void AStoppedRunCannotStartLater() {
    RunWorkerSim worker;
    const WorkerTime now{};
    Stop(worker, now, "t", 3);
    CPPUNIT_ASSERT_EQUAL(std::string{"old"}, Start(worker, now, "t", 3, "last", 2000));
    CPPUNIT_ASSERT_EQUAL(std::string{}, Start(worker, now, "t", 4, "last", 2000));
    CPPUNIT_ASSERT_EQUAL(std::string{"late"}, Start(worker, now + 3s, "u", 1, "last", 2000));
  }

  /// Guards against ends that are recorded when they are noticed, which hides or invents runs at
  /// the same time.
  void TheTimesOfARunAreKept() {
    RunWorkerSim worker;
    const WorkerTime now{};
    CPPUNIT_ASSERT_EQUAL(std::string{}, Start(worker, now + 1s, "t", 1, "run 500", 3000));
    CPPUNIT_ASSERT_EQUAL(std::string{}, Start(worker, now + 1s, "u", 1, "last", 3000));
    Extend(worker, now + 4s, 6000);
    CPPUNIT_ASSERT(worker.m_times.at(0).m_started == now + 1s);
    CPPUNIT_ASSERT(worker.m_times.at(0).m_ended == now + 1500ms);
    CPPUNIT_ASSERT_EQUAL(std::string{"done"}, worker.m_times.at(0).m_how);
    CPPUNIT_ASSERT(worker.m_times.at(1).m_ended == now + 3s);
    CPPUNIT_ASSERT_EQUAL(std::string{"lapsed"}, worker.m_times.at(1).m_how);
  }

  /// Guards against checks that forbid a task to start again although its end may be lost.
  void AnEndBeforeALapseIsNotAcknowledged() {
    for (const bool lapses : {false, true}) {
      RunWorkerSim worker;
      const WorkerTime now{};
      CPPUNIT_ASSERT_EQUAL(std::string{}, Start(worker, now + 1s, "t", 1, "run 500", 3000));
      Extend(worker, now + (lapses ? 4s : 2s), 6000);
      CPPUNIT_ASSERT(!worker.m_times.at(0).m_acknowledged);
      Forget(worker, 1);
      CPPUNIT_ASSERT_EQUAL(!lapses, worker.m_times.at(0).m_acknowledged);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformSimTest);

}  // namespace
}  // namespace ebonypin::standin
