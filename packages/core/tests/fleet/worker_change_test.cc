#include <cppunit/extensions/HelperMacros.h>

#include "ebonypin/core/fleet/worker_agent.h"
#include "fleet_fixture.h"

namespace ebonypin::core::fleet {
namespace {

using namespace std::chrono_literals;

/// Agent whose worker gives way to another one.
class WorkerChangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkerChangeTest);
  CPPUNIT_TEST(AnOrderForTheFormerWorkerStartsNothingOnTheNext);
  CPPUNIT_TEST(AReplyInFlightDoesNotResumeTheSession);
  CPPUNIT_TEST(AWorkerThatComesBackUnderItsIdEndsTheSession);
  CPPUNIT_TEST(AWorkerThatComesBackUnderItsIdNeedsANewRecord);
  CPPUNIT_TEST(ARecordIsNotTakenForTheNextOne);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a run on a worker that no member record names. A succeeding coordinator would
  /// not wait for it, because the worker of the record is not listed any more.
  void AnOrderForTheFormerWorkerStartsNothingOnTheNext() {
    Answer(1000);
    Announce("w2", 2000);
    Answer(2000);
    CPPUNIT_ASSERT(!TakesOrder());
    CPPUNIT_ASSERT(NextCalls(m_agent, m_now).empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, MakeReport(m_agent, m_now).m_session);
  }

  /// Guards against an agent that takes up the session of the former worker again, with the reply
  /// to a report that was in flight: no order of it is accepted any more, or one for the former
  /// worker starts its run on the next.
  void AReplyInFlightDoesNotResumeTheSession() {
    Answer(1000);
    const auto sent = m_now;
    Announce("w2", 2000);
    Answer(2000);
    OnReportReply(m_agent, sent, {.m_accepted = true, .m_epoch = 1, .m_session = 9, .m_grant = 5s});
    CPPUNIT_ASSERT(!TakesOrder());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, MakeReport(m_agent, m_now).m_session);
    // The next session begins as usual.
    OnReportReply(m_agent, m_now,
                  {.m_accepted = true, .m_epoch = 1, .m_session = 10, .m_grant = 5s});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, MakeReport(m_agent, m_now).m_session);
  }

  /// Guards against an order for the former life of a worker, which carries the same id, and which
  /// a successor may have dropped meanwhile because the platform did not list it.
  void AWorkerThatComesBackUnderItsIdEndsTheSession() {
    Answer(1000);
    Announce("w1", 2000);
    Answer(2000);
    CPPUNIT_ASSERT(!TakesOrder());
    setUp();
    // The restart is first seen in the answer to a hold.
    Answer(3000);
    CPPUNIT_ASSERT(!TakesOrder());
  }

  /// Guards against a grant by a coordinator that is cut off from the store, to an agent that its
  /// successor has dropped while the worker was away.
  void AWorkerThatComesBackUnderItsIdNeedsANewRecord() {
    Site site;
    site.Join("a");
    site.Accept(MakeJob("j"));
    auto report = site.Report("a");
    ++report.m_worker.m_born;
    CPPUNIT_ASSERT(site.ReportInNewSession(report).m_grant == Duration{});
    CPPUNIT_ASSERT(site.Starts().empty());
    site.Write();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.Starts().size());
  }

  /// Guards against a grant to a member whose newest record in the store is its removal: its first
  /// record is answered after it was removed and asked for again.
  void ARecordIsNotTakenForTheNextOne() {
    Site site;
    (void)site.ReportInNewSession(site.Report("a"));
    const auto first = TakeWrites(site.m_state, kWall);
    EndGrantOf(site);
    (void)site.ReportInNewSession(site.Report("a"));
    OnWritten(site.m_state, first);
    CPPUNIT_ASSERT(!site.m_state.m_agents.at({"a"}).m_recorded);
    const auto second = TakeWrites(site.m_state, kWall);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.m_members.size());
    OnWritten(site.m_state, second);
    EndGrantOf(site);
    const auto removal = TakeWrites(site.m_state, kWall);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, removal.m_members.size());
    (void)site.ReportInNewSession(site.Report("a"));
    OnWritten(site.m_state, second);
    CPPUNIT_ASSERT(OnReport(site.m_state, site.m_now, site.Report("a")).m_grant == Duration{});
  }

  void setUp() override {
    m_agent = {.m_id = {"a"}, .m_rpc_address = "a", .m_fence = 100};
    Begin(m_agent, m_now);
    Announce("w1", 1000);
    Answer(1000);
    OnCoordinatorRead(m_agent, m_now, CoordinatorRecord{.m_epoch = 1, .m_rpc_address = "c"});
    OnReportReply(m_agent, m_now,
                  {.m_accepted = true, .m_epoch = 1, .m_session = 9, .m_grant = 5s});
  }

 private:
  void Announce(const std::string& id, const std::int64_t born) {
    m_now += 10ms;
    OnHeartbeat(m_agent, m_now, {.m_id = {id}, .m_born = born, .m_service = {"desk"}}, 1);
  }

  void Answer(const std::int64_t born) {
    m_now += 100ms;
    CPPUNIT_ASSERT(NextHold(m_agent, m_now).has_value());
    OnHold(m_agent, m_now, m_now, HoldAnswer{.m_born = born, .m_clock_ms = 5000});
  }

  bool TakesOrder() {
    const Order order{.m_number = 1, .m_start = {.m_task = {.m_job = {"j"}}, .m_run = 1}};
    return OnOrders(m_agent, m_now, {.m_epoch = 1, .m_session = 9, .m_orders = {order}}).m_accepted;
  }

  static void EndGrantOf(Site& site) {
    const auto& options = site.m_state.m_options;
    site.Advance(options.m_grant + options.m_lapse_slack + 1ms);
    Tick(site.m_state, site.m_now, site.m_wall, site.m_now);
  }

  WorkerAgent m_agent;
  Time m_now{1h};
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerChangeTest);

}  // namespace
}  // namespace ebonypin::core::fleet
