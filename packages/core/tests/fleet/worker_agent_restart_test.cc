/// Agents that start beside a worker which may have runs of a former agent process.
#include <cppunit/extensions/HelperMacros.h>

#include "ebonypin/core/fleet/worker_agent.h"

namespace ebonypin::core::fleet {
namespace {

using namespace std::chrono_literals;

const TaskRef kTask{.m_job = {"j"}};
const ListedRun kRun{.m_task = kTask, .m_run = 3};

/// Agent process that has just started.
class StartedAgent {
 public:
  WorkerAgent m_agent{.m_id = {"a"}, .m_rpc_address = "a", .m_fence = 100};
  Time m_now{1h};
  WorkerInfo m_worker{.m_id = {"w"}, .m_born = 1000, .m_service = {"desk"}};

  StartedAgent() { Begin(m_agent, m_now); }

  /// Delivers a heartbeat of the incarnation `born`, which keeps the worker's id.
  bool Announce(const std::int64_t born) {
    m_worker.m_born = born;
    return OnHeartbeat(m_agent, m_now, m_worker, 1);
  }

  /// Lets the agent read the record of the coordinator of epoch 1, which gives it a grant.
  void Grant(const Duration grant) {
    OnCoordinatorRead(m_agent, m_now, CoordinatorRecord{.m_epoch = 1, .m_rpc_address = "c"});
    OnReportReply(m_agent, m_now,
                  {.m_accepted = true, .m_epoch = 1, .m_session = 9, .m_grant = grant});
  }

  void OrderStart(const RunNumber run) {
    const StartOrder order{.m_task = kTask, .m_run = run};
    const auto reply =
        OnOrders(m_agent, m_now,
                 {.m_epoch = 1, .m_session = 9, .m_orders = {{.m_number = 1, .m_start = order}}});
    CPPUNIT_ASSERT(reply.m_accepted);
  }

  /// Delivers a coordinator's announcement; returns whether the agent took it.
  bool Announced(const Epoch epoch, const std::string& coordinator) {
    return OnOrders(m_agent, m_now, {.m_epoch = epoch, .m_coordinator = coordinator}).m_accepted;
  }

  /// Makes a hold call that the incarnation `born` answers.
  void Hold(const std::int64_t born, const std::vector<ListedRun>& runs = {}) {
    Exchange(HoldAnswer{.m_born = born, .m_clock_ms = 5000, .m_runs = runs});
  }

  /// Makes a hold call that the worker does not answer.
  void FallSilent() { Exchange(std::nullopt); }

  /// Returns the next report, after the timers have run.
  AgentReport Report() {
    m_now += 10ms;
    Tick(m_agent, m_now);
    return MakeReport(m_agent, m_now);
  }

  [[nodiscard]] bool ClaimsThatNothingRuns() {
    const auto report = Report();
    return report.m_runs_known && report.m_runs.empty();
  }

 private:
  void Exchange(const std::optional<HoldAnswer>& answer) {
    m_now += 150ms;
    const auto sent = m_now;
    CPPUNIT_ASSERT(NextHold(m_agent, sent).has_value());
    m_now += 1ms;
    OnHold(m_agent, sent, m_now, answer);
  }
};

class WorkerAgentRestartTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkerAgentRestartTest);
  CPPUNIT_TEST(ADelayedFirstHeartbeatHidesNoRun);
  CPPUNIT_TEST(AnIncarnationAnnouncedBeforeTheFirstAnswerHidesNoRun);
  CPPUNIT_TEST(AStartThatReachesTheNextIncarnationIsNotHidden);
  CPPUNIT_TEST(ARestartedAgentObeysNoFormerCoordinator);
  CPPUNIT_TEST(AnAgentBesideAnEmptyStoreTakesTheFirstCoordinator);
  CPPUNIT_TEST(ALeaseAfterASuspensionEndsByTheWorkersClock);
  CPPUNIT_TEST(AnIncarnationWithAnEarlierBirthIsUsedOnceTheFormerIsGone);
  CPPUNIT_TEST(ADelayedHeartbeatReplacesNoWorkerThatMayRunTasks);
  CPPUNIT_TEST(AFenceFromAClockThatSteppedBackIsRaised);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a report without the runs of a former agent process when the first heartbeat
  /// is a delayed one of a former incarnation.
  void ADelayedFirstHeartbeatHidesNoRun() {
    StartedAgent fixture;
    fixture.Announce(900);
    fixture.Hold(1000, {kRun});
    CPPUNIT_ASSERT(!fixture.ClaimsThatNothingRuns());
    // The worker is cut off until the leases of the former process have ended.
    fixture.FallSilent();
    CPPUNIT_ASSERT(!fixture.ClaimsThatNothingRuns());
    fixture.m_now = Time{1h} + fixture.m_agent.m_options.m_longest_lease;
    CPPUNIT_ASSERT(!fixture.ClaimsThatNothingRuns());
    fixture.m_now += 500ms;
    CPPUNIT_ASSERT(fixture.ClaimsThatNothingRuns());
    fixture.Hold(1000, {kRun});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.Report().m_runs.size());
  }

  /// Guards against a lease bound that ends because incarnations are announced, also by another
  /// writer, that have not answered this process.
  void AnIncarnationAnnouncedBeforeTheFirstAnswerHidesNoRun() {
    StartedAgent fixture;
    fixture.Announce(900);
    fixture.FallSilent();
    CPPUNIT_ASSERT(fixture.Announce(950));
    CPPUNIT_ASSERT(!fixture.ClaimsThatNothingRuns());
    fixture.Hold(1000, {kRun});
    CPPUNIT_ASSERT(!fixture.ClaimsThatNothingRuns());
    CPPUNIT_ASSERT(fixture.Announce(2000));
    CPPUNIT_ASSERT(!fixture.ClaimsThatNothingRuns());
    fixture.Hold(2500);
    CPPUNIT_ASSERT(!fixture.ClaimsThatNothingRuns());
    fixture.Hold(2500);
    CPPUNIT_ASSERT(fixture.ClaimsThatNothingRuns());
  }

  /// Guards against a start that a worker restarted under the same id carried out before the agent
  /// knew of the restart, and that a report then leaves out.
  void AStartThatReachesTheNextIncarnationIsNotHidden() {
    StartedAgent fixture;
    fixture.Announce(1000);
    fixture.Hold(1000);
    fixture.Grant(5s);
    fixture.OrderStart(3);
    // The worker restarts, carries out the start, and its answers are lost.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, NextCalls(fixture.m_agent, fixture.m_now).size());
    fixture.FallSilent();
    fixture.Hold(2000, {kRun});
    CPPUNIT_ASSERT(!fixture.ClaimsThatNothingRuns());
  }

  /// Guards against a restarted agent that reports to a coordinator which is cut off from the store
  /// and whose successor the former agent process has obeyed: both would start its tasks.
  void ARestartedAgentObeysNoFormerCoordinator() {
    StartedAgent fixture;
    CPPUNIT_ASSERT(!fixture.Announced(1, "former"));
    CPPUNIT_ASSERT_EQUAL(std::string{}, fixture.m_agent.m_coordinator);
    OnCoordinatorRead(fixture.m_agent, fixture.m_now,
                      CoordinatorRecord{.m_epoch = 2, .m_rpc_address = "successor"});
    CPPUNIT_ASSERT(!fixture.Announced(1, "former"));
    // A late answer of the store.
    OnCoordinatorRead(fixture.m_agent, fixture.m_now,
                      CoordinatorRecord{.m_epoch = 1, .m_rpc_address = "former"});
    OnCoordinatorRead(fixture.m_agent, fixture.m_now, std::nullopt);
    CPPUNIT_ASSERT(!fixture.Announced(1, "former"));
    CPPUNIT_ASSERT_EQUAL(std::string{"successor"}, fixture.m_agent.m_coordinator);
    CPPUNIT_ASSERT(fixture.Announced(3, "next"));
    CPPUNIT_ASSERT_EQUAL(std::string{"next"}, fixture.m_agent.m_coordinator);
  }

  /// Guards against a lease that is longer than its bound by the time that the machine was
  /// suspended, which the agent's clock counts and the worker's clock does not.
  void ALeaseAfterASuspensionEndsByTheWorkersClock() {
    StartedAgent fixture;
    fixture.Announce(1000);
    fixture.Hold(1000);
    fixture.Grant(10s);
    const auto clock = fixture.m_agent.m_clock_ms;
    const auto lease = fixture.m_agent.m_options.m_lease;
    const auto latest =
        clock + std::chrono::duration_cast<std::chrono::milliseconds>(lease).count();
    fixture.m_now += 5s;
    fixture.OrderStart(1);
    CPPUNIT_ASSERT(NextCalls(fixture.m_agent, fixture.m_now).at(0).m_deadline_ms <= latest);
    const auto hold = NextHold(fixture.m_agent, fixture.m_now);
    CPPUNIT_ASSERT(hold->m_deadline_ms > 0 && hold->m_deadline_ms <= latest);
  }

  /// Guards against an agent that ignores its worker for good after the wall clock, from which
  /// `born` comes, has stepped back between two incarnations.
  void AnIncarnationWithAnEarlierBirthIsUsedOnceTheFormerIsGone() {
    for (const auto* id : {"w", "other"}) {
      StartedAgent fixture;
      fixture.Announce(20'000);
      fixture.Hold(20'000, {kRun});
      fixture.m_worker.m_id = {id};
      // Until the leases of the former incarnation have ended, this may be a delayed heartbeat.
      CPPUNIT_ASSERT(!fixture.Announce(10'000));
      fixture.Hold(10'000);
      fixture.m_now += 7s;
      CPPUNIT_ASSERT(fixture.Announce(10'000));
      fixture.Hold(10'000);
      const auto report = fixture.Report();
      CPPUNIT_ASSERT(report.m_runs_known && report.m_runs.empty());
      CPPUNIT_ASSERT(report.m_worker.m_reachable);
      CPPUNIT_ASSERT_EQUAL(std::int64_t{10'000}, report.m_worker.m_born);
      CPPUNIT_ASSERT_EQUAL(std::string{id}, report.m_worker.m_id.m_value);
    }
  }

  /// Guards against a delayed heartbeat of a former incarnation that replaces a worker which
  /// answers, or whose runs are leased, and against one that hides a silent worker for good.
  void ADelayedHeartbeatReplacesNoWorkerThatMayRunTasks() {
    StartedAgent fixture;
    fixture.Announce(1000);
    fixture.Hold(1000, {kRun});
    fixture.m_now += 7s;
    CPPUNIT_ASSERT(!fixture.Announce(900));
    fixture.Grant(5s);
    fixture.FallSilent();
    CPPUNIT_ASSERT(!fixture.Announce(900));
    fixture.m_now += 4s;
    CPPUNIT_ASSERT(fixture.Announce(900));
    CPPUNIT_ASSERT(fixture.Announce(1000));
    fixture.Hold(1000, {kRun});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.Report().m_runs.size());
  }

  /// Guards against an agent whose calls its worker refuses for long, because the clock from which
  /// the fence comes has stepped back by 10 s between two agent processes.
  void AFenceFromAClockThatSteppedBackIsRaised() {
    StartedAgent fixture;
    fixture.m_agent.m_fence = std::uint64_t{1'800'000'000'000} << 10U;
    const auto fence_of_worker = (std::uint64_t{1'800'000'010'000} << 10U) + 1;
    fixture.Announce(1000);
    int refused = 0;
    for (; fixture.m_agent.m_fence < fence_of_worker && refused < 3; ++refused) {
      RaiseFence(fixture.m_agent);
      fixture.FallSilent();
    }
    CPPUNIT_ASSERT_EQUAL(2, refused);
    fixture.Hold(1000, {kRun});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.Report().m_runs.size());
  }

  /// Guards against agents of a new deployment that wait for a record which nobody has written.
  void AnAgentBesideAnEmptyStoreTakesTheFirstCoordinator() {
    StartedAgent fixture;
    CPPUNIT_ASSERT(!fixture.Announced(1, "c"));
    OnCoordinatorRead(fixture.m_agent, fixture.m_now, std::nullopt);
    CPPUNIT_ASSERT(fixture.Announced(1, "c"));
    CPPUNIT_ASSERT_EQUAL(std::string{"c"}, fixture.m_agent.m_coordinator);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerAgentRestartTest);

}  // namespace
}  // namespace ebonypin::core::fleet
