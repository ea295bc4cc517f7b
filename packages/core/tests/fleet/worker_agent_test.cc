#include "ebonypin/core/fleet/worker_agent.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>

#include "agent_fixture.h"

namespace ebonypin::core::fleet {
namespace {

using namespace std::chrono_literals;

class WorkerAgentTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkerAgentTest);
  CPPUNIT_TEST(OrdersOfFormerCoordinatorsAndSessionsAreRefused);
  CPPUNIT_TEST(ADelayedOrderIsRefusedAfterTheGrant);
  CPPUNIT_TEST(ARepeatedOrderStartsNothingTwice);
  CPPUNIT_TEST(AStartWithoutAnswerIsListedUntilAStopHasFencedIt);
  CPPUNIT_TEST(ARefusedStartIsNotListed);
  CPPUNIT_TEST(AListFromBeforeAStartDoesNotEndIt);
  CPPUNIT_TEST(RunsOfASilentWorkerEndWithTheirLeases);
  CPPUNIT_TEST(AnAgentThatStartsDoesNotKnowItsRuns);
  CPPUNIT_TEST(NoLeaseOutlastsTheGrant);
  CPPUNIT_TEST(ANewIncarnationHasNoRunsAndAHigherFence);
  CPPUNIT_TEST(ALateHeartbeatChangesNothing);
  CPPUNIT_TEST(AnIncarnationThatNeverAnsweredGivesWay);
  CPPUNIT_TEST(EndsAreKeptUntilTheyAreRecorded);
  CPPUNIT_TEST(ARunWhoseEndIsNotListedYetIsNotLost);
  CPPUNIT_TEST(ARunOfAnEarlierAgentIsDescribedAndProtected);
  CPPUNIT_TEST(ADescriptionStartsNothing);
  CPPUNIT_TEST(ADrainingWorkerStartsNothing);
  CPPUNIT_TEST(AChangedCapacityIsReportedAtOnce);
  CPPUNIT_TEST(ALatePaceCallIsCorrected);
  CPPUNIT_TEST(ACrashIsReportedUntilItIsRecorded);
  CPPUNIT_TEST(ARestartBeforeAStartWasSentIsNoCrash);
  CPPUNIT_TEST(AWorkerThatDrainedHasNotCrashed);
  CPPUNIT_TEST(ACutOffWorkerHasNotCrashed);
  CPPUNIT_TEST(AnAnnouncedIncarnationThatNeverAnsweredIsNoCrash);
  CPPUNIT_TEST(ARunOfAnEarlierAgentIsNoSuspect);
  CPPUNIT_TEST(ACrashIsKnownAfterTheLeasesHaveEnded);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against the loss of a crash whose report is lost, and against a list without end at a
  /// coordinator of an earlier version.
  void ACrashIsReportedUntilItIsRecorded() {
    GrantedAgent fixture;
    fixture.StartRun(1, 1);
    fixture.m_now += 30ms;
    fixture.FallSilent();
    fixture.m_now += 3s;
    fixture.Restart();
    (void)fixture.Hold({});
    const auto crashed = MakeReport(fixture.m_agent, fixture.m_now).m_crashed;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, crashed.size());
    CPPUNIT_ASSERT(crashed[0].m_task == kTask && crashed[0].m_run == 1);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1000}, crashed[0].m_born);
    CPPUNIT_ASSERT(crashed[0].m_age >= 30ms && crashed[0].m_age < 200ms);
    fixture.Grant(5s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.Crashes());
    OnReportReply(fixture.m_agent, fixture.m_now,
                  {.m_accepted = true,
                   .m_epoch = 1,
                   .m_session = fixture.m_session,
                   .m_recorded_crash = 1000});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.Crashes());
  }

  /// Guards against a count for a task that was not at work: its start had not been sent when the
  /// worker restarted, twice.
  void ARestartBeforeAStartWasSentIsNoCrash() {
    GrantedAgent fixture;
    CPPUNIT_ASSERT(fixture.Order(1, 1));
    fixture.Restart();
    fixture.Grant(5s);
    CPPUNIT_ASSERT(fixture.Order(1, 2));
    fixture.Restart();
    (void)fixture.Hold({});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.Crashes());
    fixture.Grant(5s);
    CPPUNIT_ASSERT(fixture.Order(1, 3));
    const auto calls = NextCalls(fixture.m_agent, fixture.m_now);
    OnRunAnswer(fixture.m_agent, fixture.m_now, calls.at(0), RunAnswer::kNotSent);
    fixture.Restart();
    (void)fixture.Hold({});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.Crashes());
  }

  void AWorkerThatDrainedHasNotCrashed() {
    GrantedAgent fixture;
    fixture.StartRun(1, 1);
    fixture.m_worker.m_draining = true;
    OnHeartbeat(fixture.m_agent, fixture.m_now, fixture.m_worker, 2);
    fixture.m_worker.m_draining = false;
    fixture.Restart();
    (void)fixture.Hold({});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.Crashes());
  }

  /// Guards against a count for a worker that is unreachable until its leases end, and runs on.
  void ACutOffWorkerHasNotCrashed() {
    GrantedAgent fixture;
    fixture.StartRun(1, 1);
    fixture.FallSilent();
    fixture.m_now += 10s;
    Tick(fixture.m_agent, fixture.m_now);
    CPPUNIT_ASSERT(!fixture.Lists());
    fixture.Hold({});
    fixture.Restart();
    (void)fixture.Hold({});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.Crashes());
  }

  /// Guards against a count for a worker that runs on, because another writer has announced a later
  /// incarnation.
  void AnAnnouncedIncarnationThatNeverAnsweredIsNoCrash() {
    GrantedAgent fixture;
    fixture.StartRun(1, 1);
    (void)fixture.Hold({{.m_task = kTask, .m_run = 1}});
    auto odd = fixture.m_worker;
    odd.m_born += 1000;
    OnHeartbeat(fixture.m_agent, fixture.m_now, odd, 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.Crashes());
    OnHeartbeat(fixture.m_agent, fixture.m_now, fixture.m_worker, 2);
    (void)fixture.Hold({{.m_task = kTask, .m_run = 1}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.Crashes());
  }

  /// Guards against a count for a run that has been at work for long, because the agent restarted
  /// just before the worker crashed.
  void ARunOfAnEarlierAgentIsNoSuspect() {
    GrantedAgent fixture;
    (void)fixture.Hold({{.m_task = kTask, .m_run = 1, .m_percent = 80}});
    CPPUNIT_ASSERT(fixture.Lists());
    fixture.FallSilent();
    fixture.Restart();
    (void)fixture.Hold({});
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.Crashes());
  }

  /// Guards against a crash that is missed because the worker was away for longer than its leases.
  void ACrashIsKnownAfterTheLeasesHaveEnded() {
    GrantedAgent fixture;
    fixture.StartRun(1, 1);
    fixture.FallSilent();
    fixture.m_now += 10s;
    Tick(fixture.m_agent, fixture.m_now);
    fixture.Restart();
    (void)fixture.Hold({});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.Crashes());
  }

  /// Guards against starts on a worker whose capacity has shrunk since the last periodic report.
  void AChangedCapacityIsReportedAtOnce() {
    GrantedAgent fixture;
    fixture.m_agent.m_report_due = false;
    fixture.m_worker.m_capacity.m_cpu_millis = 1000;
    OnHeartbeat(fixture.m_agent, fixture.m_now, fixture.m_worker, 2);
    CPPUNIT_ASSERT(fixture.m_agent.m_report_due);
    CPPUNIT_ASSERT_EQUAL(
        std::int64_t{1000},
        MakeReport(fixture.m_agent, fixture.m_now).m_worker.m_capacity.m_cpu_millis);
  }

  /// Guards against orders of a former coordinator.
  void OrdersOfFormerCoordinatorsAndSessionsAreRefused() {
    GrantedAgent fixture;
    (void)OnOrders(fixture.m_agent, fixture.m_now, {.m_epoch = 2, .m_coordinator = "d"});
    CPPUNIT_ASSERT(!fixture.Order(1, 1));
    CPPUNIT_ASSERT(!fixture.Lists());
    const auto reply = OnOrders(
        fixture.m_agent, fixture.m_now,
        {.m_epoch = 2, .m_session = 9, .m_orders = {{.m_number = 1, .m_start = {kTask, 1}}}});
    CPPUNIT_ASSERT(!reply.m_accepted);
    CPPUNIT_ASSERT_EQUAL(Epoch{2}, reply.m_epoch);
  }

  /// Guards against a start that arrives after its task was started elsewhere.
  void ADelayedOrderIsRefusedAfterTheGrant() {
    GrantedAgent fixture;
    fixture.m_now += 5s;
    CPPUNIT_ASSERT(!fixture.Order(1, 1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, MakeReport(fixture.m_agent, fixture.m_now).m_session);
  }

  void ARepeatedOrderStartsNothingTwice() {
    GrantedAgent fixture;
    CPPUNIT_ASSERT(fixture.Order(1, 1) && fixture.Order(1, 1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, NextCalls(fixture.m_agent, fixture.m_now).size());
    CPPUNIT_ASSERT(NextCalls(fixture.m_agent, fixture.m_now).empty());
  }

  /// Guards against a start that is carried out seconds later, while the task runs elsewhere.
  void AStartWithoutAnswerIsListedUntilAStopHasFencedIt() {
    GrantedAgent fixture;
    (void)fixture.Order(1, 1);
    for (int i = 0; i < 3; ++i) {
      const auto calls = NextCalls(fixture.m_agent, fixture.m_now);
      CPPUNIT_ASSERT(calls.at(0).m_kind == RunCallKind::kStart);
      OnRunAnswer(fixture.m_agent, fixture.m_now, calls[0], RunAnswer::kNoAnswer);
      fixture.m_now += 200ms;
    }
    const auto stop = NextCalls(fixture.m_agent, fixture.m_now);
    CPPUNIT_ASSERT(stop.at(0).m_kind == RunCallKind::kStop);
    (void)fixture.Hold({});
    CPPUNIT_ASSERT(fixture.Lists());
    OnRunAnswer(fixture.m_agent, fixture.m_now, stop[0], RunAnswer::kOk);
    CPPUNIT_ASSERT(fixture.Lists());
    (void)fixture.Hold({});
    CPPUNIT_ASSERT(!fixture.Lists());
  }

  void ARefusedStartIsNotListed() {
    GrantedAgent fixture;
    (void)fixture.Order(1, 1);
    const auto calls = NextCalls(fixture.m_agent, fixture.m_now);
    OnRunAnswer(fixture.m_agent, fixture.m_now, calls.at(0), RunAnswer::kRefused);
    CPPUNIT_ASSERT(!fixture.Lists());
  }

  /// Guards against a run that counts as lost because its start was answered before an earlier
  /// list.
  void AListFromBeforeAStartDoesNotEndIt() {
    GrantedAgent fixture;
    fixture.m_now += 100ms;
    const auto sent = fixture.m_now;
    CPPUNIT_ASSERT(NextHold(fixture.m_agent, sent).has_value());
    (void)fixture.Order(1, 1);
    const auto calls = NextCalls(fixture.m_agent, fixture.m_now);
    fixture.m_now += 5ms;
    OnRunAnswer(fixture.m_agent, fixture.m_now, calls.at(0), RunAnswer::kOk);
    OnHold(fixture.m_agent, sent, fixture.m_now, HoldAnswer{.m_born = 1000, .m_clock_ms = 5000});
    CPPUNIT_ASSERT(fixture.Lists());
    (void)fixture.Hold({});
    CPPUNIT_ASSERT(!fixture.Lists());
  }

  /// Guards against starting a task elsewhere while an unreachable worker still has its lease.
  void RunsOfASilentWorkerEndWithTheirLeases() {
    GrantedAgent fixture;
    // A lease of an earlier agent may last for up to 6 s after the start of this one.
    fixture.m_now += 7s;
    fixture.Grant(5s);
    (void)fixture.Order(1, 1);
    (void)fixture.Hold({{.m_task = kTask, .m_run = 1}});
    // The last call that may have extended the lease is the first one without an answer.
    fixture.m_now += 50ms;
    const auto leased = fixture.m_now;
    CPPUNIT_ASSERT(NextHold(fixture.m_agent, fixture.m_now)->m_deadline_ms > 0);
    OnHold(fixture.m_agent, leased, fixture.m_now, std::nullopt);
    while (fixture.m_now < leased + fixture.m_agent.m_options.m_lease) {
      fixture.m_now += 150ms;
      fixture.Grant(5s);
      CPPUNIT_ASSERT_EQUAL(std::int64_t{0},
                           NextHold(fixture.m_agent, fixture.m_now)->m_deadline_ms);
      OnHold(fixture.m_agent, fixture.m_now, fixture.m_now, std::nullopt);
      Tick(fixture.m_agent, fixture.m_now);
      CPPUNIT_ASSERT(fixture.Lists() ||
                     fixture.m_now >= leased + fixture.m_agent.m_options.m_lease);
    }
    fixture.m_now += 400ms;
    Tick(fixture.m_agent, fixture.m_now);
    CPPUNIT_ASSERT(!fixture.Lists());
  }

  /// Guards against a restarted agent that reports no runs although an earlier agent started some.
  void AnAgentThatStartsDoesNotKnowItsRuns() {
    WorkerAgent agent{.m_id = {"a"}};
    Time now{1h};
    Begin(agent, now);
    CPPUNIT_ASSERT(!MakeReport(agent, now).m_runs_known);
    now += agent.m_options.m_longest_lease;
    Tick(agent, now);
    CPPUNIT_ASSERT(!MakeReport(agent, now).m_runs_known);
    now += 1s;
    Tick(agent, now);
    CPPUNIT_ASSERT(MakeReport(agent, now).m_runs_known);
  }

  /// Guards against runs that continue after the coordinator may start their tasks elsewhere.
  void NoLeaseOutlastsTheGrant() {
    GrantedAgent fixture;
    fixture.m_now += 4s;
    const auto call = NextHold(fixture.m_agent, fixture.m_now);
    // The worker's clock was 5000 at the last answer, 4 s ago; 1 s of the grant is left.
    CPPUNIT_ASSERT_EQUAL(std::int64_t{5000 + 1000}, call->m_deadline_ms);
    OnHold(fixture.m_agent, fixture.m_now, fixture.m_now,
           HoldAnswer{.m_born = 1000, .m_clock_ms = 9000});
    CPPUNIT_ASSERT_EQUAL(std::int64_t{9000 + 1000},
                         NextHold(fixture.m_agent, fixture.m_now)->m_deadline_ms);
    OnHold(fixture.m_agent, fixture.m_now, fixture.m_now,
           HoldAnswer{.m_born = 1000, .m_clock_ms = 9000});
    fixture.m_now += 2s;
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, NextHold(fixture.m_agent, fixture.m_now)->m_deadline_ms);
  }

  /// Guards against orders for a former incarnation that reach a worker restarted under the same
  /// id.
  void ANewIncarnationHasNoRunsAndAHigherFence() {
    GrantedAgent fixture;
    (void)fixture.Order(1, 1);
    (void)fixture.Hold({{.m_task = kTask, .m_run = 1}});
    const auto fence = fixture.m_agent.m_fence;
    auto reborn = fixture.m_worker;
    reborn.m_born = 2000;
    CPPUNIT_ASSERT(OnHeartbeat(fixture.m_agent, fixture.m_now, reborn, 1));
    CPPUNIT_ASSERT(!fixture.Lists());
    CPPUNIT_ASSERT(!MakeReport(fixture.m_agent, fixture.m_now).m_runs_known);
    CPPUNIT_ASSERT(fixture.m_agent.m_fence > fence);
  }

  /// Guards against delayed heartbeats of a former incarnation or of an earlier state.
  void ALateHeartbeatChangesNothing() {
    GrantedAgent fixture;
    auto draining = fixture.m_worker;
    draining.m_draining = true;
    CPPUNIT_ASSERT(!OnHeartbeat(fixture.m_agent, fixture.m_now, draining, 5));
    CPPUNIT_ASSERT(!OnHeartbeat(fixture.m_agent, fixture.m_now, fixture.m_worker, 4));
    CPPUNIT_ASSERT(fixture.m_agent.m_worker.m_draining);
    auto earlier = fixture.m_worker;
    earlier.m_born = 500;
    earlier.m_id = {"before"};
    CPPUNIT_ASSERT(!OnHeartbeat(fixture.m_agent, fixture.m_now, earlier, 99));
    CPPUNIT_ASSERT_EQUAL(std::string{"w"}, fixture.m_agent.m_worker.m_id.m_value);
  }

  /// Guards against an agent that ignores its worker for ever because another writer has announced
  /// a later incarnation.
  void AnIncarnationThatNeverAnsweredGivesWay() {
    for (const auto* id : {"odd", "w"}) {
      GrantedAgent fixture;
      (void)fixture.Order(1, 1);
      (void)fixture.Hold({{.m_task = kTask, .m_run = 1}});
      auto odd = fixture.m_worker;
      odd.m_id = {id};
      odd.m_born = std::numeric_limits<std::int64_t>::max();
      (void)OnHeartbeat(fixture.m_agent, fixture.m_now, odd, 1);
      fixture.m_now += 100ms;
      (void)NextHold(fixture.m_agent, fixture.m_now);
      OnHold(fixture.m_agent, fixture.m_now, fixture.m_now, std::nullopt);
      fixture.m_now += 500ms;
      // The run may still be there, and must not be started elsewhere.
      Tick(fixture.m_agent, fixture.m_now);
      CPPUNIT_ASSERT(!MakeReport(fixture.m_agent, fixture.m_now).m_runs_known);
      CPPUNIT_ASSERT(OnHeartbeat(fixture.m_agent, fixture.m_now, fixture.m_worker, 2));
      (void)fixture.Hold({{.m_task = kTask, .m_run = 1}});
      (void)fixture.Hold({{.m_task = kTask, .m_run = 1}});
      const auto report = MakeReport(fixture.m_agent, fixture.m_now);
      CPPUNIT_ASSERT_EQUAL(std::string{"w"}, report.m_worker.m_id.m_value);
      CPPUNIT_ASSERT(report.m_runs_known && report.m_worker.m_reachable);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report.m_runs.size());
    }
  }

  /// Guards against a run that is started elsewhere although its end `done` is acknowledged later,
  /// when the worker has more ends than it lists at a time.
  void ARunWhoseEndIsNotListedYetIsNotLost() {
    GrantedAgent fixture;
    fixture.StartRun(1, 1);
    (void)fixture.Hold({{.m_task = kTask, .m_run = 1}});
    const RunEnded other{.m_number = 1, .m_task = {.m_job = {"k"}}, .m_run = 1};
    const RunEnded end{.m_number = 2, .m_task = kTask, .m_run = 1};
    (void)fixture.Hold({}, {other}, false);
    CPPUNIT_ASSERT(fixture.Lists());
    (void)fixture.Hold({}, {end});
    CPPUNIT_ASSERT(!fixture.Lists());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, MakeReport(fixture.m_agent, fixture.m_now).m_ends.size());
  }

  /// Guards against an end that is acknowledged to the worker before it is recorded.
  void EndsAreKeptUntilTheyAreRecorded() {
    GrantedAgent fixture;
    const RunEnded end{.m_number = 4, .m_task = kTask, .m_run = 1};
    (void)fixture.Hold({}, {end});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, fixture.Hold({}, {end}).m_seen_end);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, MakeReport(fixture.m_agent, fixture.m_now).m_ends.size());
    OnReportReply(fixture.m_agent, fixture.m_now,
                  {.m_accepted = true,
                   .m_epoch = 1,
                   .m_session = 9,
                   .m_recorded_end = 4,
                   .m_worker_born = 1000});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, fixture.Hold({}, {end}).m_seen_end);
    CPPUNIT_ASSERT(MakeReport(fixture.m_agent, fixture.m_now).m_ends.empty());
  }

  /// Guards against a filling task that never resumes because a pace call without an answer was
  /// carried out after the newer call that restored its full share.
  void ALatePaceCallIsCorrected() {
    GrantedAgent fixture;
    const StartOrder order{.m_task = kTask, .m_run = 1, .m_fills = true};
    (void)OnOrders(fixture.m_agent, fixture.m_now,
                   {.m_epoch = 1, .m_session = 9, .m_orders = {{.m_number = 1, .m_start = order}}});
    (void)fixture.Hold({{.m_task = kTask, .m_run = 1}});
    auto& run = fixture.m_agent.m_runs.at(kTask);
    run.m_allowed = 0;
    OnRunAnswer(fixture.m_agent, fixture.m_now, NextCalls(fixture.m_agent, fixture.m_now).at(0),
                RunAnswer::kNoAnswer);
    run.m_allowed = 50;
    fixture.m_now += 200ms;
    OnRunAnswer(fixture.m_agent, fixture.m_now, NextCalls(fixture.m_agent, fixture.m_now).at(0),
                RunAnswer::kOk);
    run.m_allowed = 100;
    fixture.m_now += 200ms;
    OnRunAnswer(fixture.m_agent, fixture.m_now, NextCalls(fixture.m_agent, fixture.m_now).at(0),
                RunAnswer::kOk);
    CPPUNIT_ASSERT(NextCalls(fixture.m_agent, fixture.m_now).empty());
    fixture.m_now += fixture.m_agent.m_options.m_pace_repeat;
    CPPUNIT_ASSERT_EQUAL(100U, NextCalls(fixture.m_agent, fixture.m_now).at(0).m_percent);
  }

  /// Guards against serving runs that are not protected from filling runs after a restart of their
  /// agent: serving tasks were 740 s over their targets, nearly all of it after the restart of all
  /// processes (trouble-3).
  void ARunOfAnEarlierAgentIsDescribedAndProtected() {
    GrantedAgent fixture;
    TaskRef filling = kTask;
    filling.m_index = 1;
    const std::vector<ListedRun> listed = {
        {.m_task = kTask, .m_run = 1, .m_percent = 100, .m_figure = 90.0},
        {.m_task = filling, .m_run = 1, .m_percent = 5, .m_figure = 2000.0}};
    (void)fixture.Hold(listed);
    for (const auto& run : MakeReport(fixture.m_agent, fixture.m_now).m_runs) {
      CPPUNIT_ASSERT(!run.m_order_known);
    }
    const StartOrder serves{
        .m_task = kTask, .m_run = 1, .m_latency_target = 18ms, .m_image = {"watch"}};
    const StartOrder fills{.m_task = filling, .m_run = 1, .m_fills = true, .m_image = {"press"}};
    (void)OnOrders(
        fixture.m_agent, fixture.m_now,
        {.m_epoch = 1,
         .m_session = 9,
         .m_orders = {{.m_number = 1, .m_kind = OrderKind::kDescribe, .m_start = serves},
                      {.m_number = 2, .m_kind = OrderKind::kDescribe, .m_start = fills}}});
    CPPUNIT_ASSERT(MakeReport(fixture.m_agent, fixture.m_now).m_runs.at(0).m_order_known);
    // The share that the earlier agent set is not known, so it is set again.
    CPPUNIT_ASSERT_EQUAL(100U, NextCalls(fixture.m_agent, fixture.m_now).at(0).m_percent);
    for (int i = 0; i < 20; ++i) {
      fixture.m_now += 200ms;
      (void)fixture.Hold(listed);
    }
    CPPUNIT_ASSERT_EQUAL(0U, fixture.m_agent.m_runs.at(filling).m_allowed);
  }

  void ADescriptionStartsNothing() {
    GrantedAgent fixture;
    CPPUNIT_ASSERT(fixture.Order(1, 1, OrderKind::kDescribe));
    CPPUNIT_ASSERT(!fixture.Lists());
    CPPUNIT_ASSERT(NextCalls(fixture.m_agent, fixture.m_now).empty());
  }

  void ADrainingWorkerStartsNothing() {
    GrantedAgent fixture;
    auto draining = fixture.m_worker;
    draining.m_draining = true;
    OnHeartbeat(fixture.m_agent, fixture.m_now, draining, 2);
    CPPUNIT_ASSERT(fixture.Order(1, 1));
    CPPUNIT_ASSERT(!fixture.Lists());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerAgentTest);

}  // namespace
}  // namespace ebonypin::core::fleet
