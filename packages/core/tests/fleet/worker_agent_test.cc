#include "ebonypin/core/fleet/worker_agent.h"

#include <cppunit/extensions/HelperMacros.h>

namespace ebonypin::core::fleet {
namespace {

using namespace std::chrono_literals;

const TaskRef kTask{.m_job = {"j"}};

/// Agent whose worker has listed no runs and which has a grant of five seconds.
class Granted {
 public:
  WorkerAgent m_agent{.m_id = {"a"}, .m_rpc_address = "a", .m_fence = 100};
  Time m_now{1h};
  WorkerInfo m_worker{.m_id = {"w"},
                      .m_born = 1000,
                      .m_service = {"desk"},
                      .m_capacity = {.m_cpu_millis = 4000, .m_memory_mb = 4000}};

  Granted() {
    Begin(m_agent, m_now);
    OnHeartbeat(m_agent, m_now, m_worker, 1);
    Hold({});
    (void)OnOrders(m_agent, m_now, {.m_epoch = 1, .m_coordinator = "c"});
    Grant(5s);
  }

  void Grant(const Duration grant) {
    OnReportReply(m_agent, m_now,
                  {.m_accepted = true, .m_epoch = 1, .m_session = 9, .m_grant = grant});
  }

  /// Exchanges a hold that lists `runs` and `ends`.
  HoldCall Hold(const std::vector<ListedRun>& runs, const std::vector<RunEnded>& ends = {}) {
    m_now += 100ms;
    const auto sent = m_now;
    auto call = NextHold(m_agent, sent);
    CPPUNIT_ASSERT(call.has_value());
    m_now += 1ms;
    OnHold(
        m_agent, sent, m_now,
        HoldAnswer{.m_born = m_worker.m_born, .m_clock_ms = 5000, .m_runs = runs, .m_ends = ends});
    return *call;
  }

  bool Order(const std::uint64_t number, const RunNumber run,
             const OrderKind kind = OrderKind::kStart) {
    return OnOrders(m_agent, m_now,
                    {.m_epoch = 1,
                     .m_session = 9,
                     .m_orders = {{.m_number = number,
                                   .m_kind = kind,
                                   .m_start = {.m_task = kTask, .m_run = run}}}})
        .m_accepted;
  }

  [[nodiscard]] bool Lists() { return !MakeReport(m_agent, m_now).m_runs.empty(); }
};

class WorkerAgentTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkerAgentTest);
  CPPUNIT_TEST(OrdersOfFormerCoordinatorsAndSessionsAreRefused);
  CPPUNIT_TEST(AnOrderThatWasHeldUpBeyondTheGrantIsRefused);
  CPPUNIT_TEST(ARepeatedOrderStartsNothingTwice);
  CPPUNIT_TEST(AStartWithoutAnswerIsListedUntilAStopHasFencedIt);
  CPPUNIT_TEST(ARefusedStartIsNotListed);
  CPPUNIT_TEST(AListFromBeforeAStartDoesNotEndIt);
  CPPUNIT_TEST(RunsOfASilentWorkerEndWithTheirLeases);
  CPPUNIT_TEST(AnAgentThatStartsDoesNotKnowItsRuns);
  CPPUNIT_TEST(NoLeaseOutlastsTheGrant);
  CPPUNIT_TEST(ANewLifeOfTheWorkerHasNoRunsAndAHigherFence);
  CPPUNIT_TEST(ALateHeartbeatChangesNothing);
  CPPUNIT_TEST(EndsAreKeptUntilTheyAreRecorded);
  CPPUNIT_TEST(ARunOfAnEarlierAgentIsDescribedAndProtected);
  CPPUNIT_TEST(ADescriptionStartsNothing);
  CPPUNIT_TEST(ADrainingWorkerStartsNothing);
  CPPUNIT_TEST(ALatePaceIsUndone);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a deposed coordinator that goes on giving orders.
  void OrdersOfFormerCoordinatorsAndSessionsAreRefused() {
    Granted site;
    (void)OnOrders(site.m_agent, site.m_now, {.m_epoch = 2, .m_coordinator = "d"});
    CPPUNIT_ASSERT(!site.Order(1, 1));
    CPPUNIT_ASSERT(!site.Lists());
    const auto reply = OnOrders(
        site.m_agent, site.m_now,
        {.m_epoch = 2, .m_session = 9, .m_orders = {{.m_number = 1, .m_start = {kTask, 1}}}});
    CPPUNIT_ASSERT(!reply.m_accepted);
    CPPUNIT_ASSERT_EQUAL(Epoch{2}, reply.m_epoch);
  }

  /// Guards against a start that arrives after its task was started elsewhere.
  void AnOrderThatWasHeldUpBeyondTheGrantIsRefused() {
    Granted site;
    site.m_now += 5s;
    CPPUNIT_ASSERT(!site.Order(1, 1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, MakeReport(site.m_agent, site.m_now).m_session);
  }

  void ARepeatedOrderStartsNothingTwice() {
    Granted site;
    CPPUNIT_ASSERT(site.Order(1, 1) && site.Order(1, 1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, NextCalls(site.m_agent, site.m_now).size());
    CPPUNIT_ASSERT(NextCalls(site.m_agent, site.m_now).empty());
  }

  /// Guards against a start that is carried out seconds later, beside a run elsewhere.
  void AStartWithoutAnswerIsListedUntilAStopHasFencedIt() {
    Granted site;
    (void)site.Order(1, 1);
    for (int i = 0; i < 3; ++i) {
      const auto calls = NextCalls(site.m_agent, site.m_now);
      CPPUNIT_ASSERT(calls.at(0).m_kind == RunCallKind::kStart);
      OnRunAnswer(site.m_agent, site.m_now, calls[0], RunAnswer::kNoAnswer);
      site.m_now += 200ms;
    }
    const auto stop = NextCalls(site.m_agent, site.m_now);
    CPPUNIT_ASSERT(stop.at(0).m_kind == RunCallKind::kStop);
    (void)site.Hold({});
    CPPUNIT_ASSERT(site.Lists());
    OnRunAnswer(site.m_agent, site.m_now, stop[0], RunAnswer::kOk);
    CPPUNIT_ASSERT(site.Lists());
    (void)site.Hold({});
    CPPUNIT_ASSERT(!site.Lists());
  }

  void ARefusedStartIsNotListed() {
    Granted site;
    (void)site.Order(1, 1);
    const auto calls = NextCalls(site.m_agent, site.m_now);
    OnRunAnswer(site.m_agent, site.m_now, calls.at(0), RunAnswer::kRefused);
    CPPUNIT_ASSERT(!site.Lists());
  }

  /// Guards against a run that counts as lost because an answer overtook another.
  void AListFromBeforeAStartDoesNotEndIt() {
    Granted site;
    site.m_now += 100ms;
    const auto sent = site.m_now;
    CPPUNIT_ASSERT(NextHold(site.m_agent, sent).has_value());
    (void)site.Order(1, 1);
    const auto calls = NextCalls(site.m_agent, site.m_now);
    site.m_now += 5ms;
    OnRunAnswer(site.m_agent, site.m_now, calls.at(0), RunAnswer::kOk);
    OnHold(site.m_agent, sent, site.m_now, HoldAnswer{.m_born = 1000, .m_clock_ms = 5000});
    CPPUNIT_ASSERT(site.Lists());
    (void)site.Hold({});
    CPPUNIT_ASSERT(!site.Lists());
  }

  /// Guards against a run that is started elsewhere while a silent worker still holds its lease.
  void RunsOfASilentWorkerEndWithTheirLeases() {
    Granted site;
    // A lease of an earlier agent may last for up to 6 s after the start of this one.
    site.m_now += 7s;
    site.Grant(5s);
    (void)site.Order(1, 1);
    (void)site.Hold({{.m_task = kTask, .m_run = 1}});
    // The last call that may have extended the lease is the first one without an answer.
    site.m_now += 50ms;
    const auto leased = site.m_now;
    CPPUNIT_ASSERT(NextHold(site.m_agent, site.m_now)->m_deadline_ms > 0);
    OnHold(site.m_agent, leased, site.m_now, std::nullopt);
    while (site.m_now < leased + site.m_agent.m_options.m_lease) {
      site.m_now += 150ms;
      site.Grant(5s);
      CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, NextHold(site.m_agent, site.m_now)->m_deadline_ms);
      OnHold(site.m_agent, site.m_now, site.m_now, std::nullopt);
      Tick(site.m_agent, site.m_now);
      CPPUNIT_ASSERT(site.Lists() || site.m_now >= leased + site.m_agent.m_options.m_lease);
    }
    site.m_now += 400ms;
    Tick(site.m_agent, site.m_now);
    CPPUNIT_ASSERT(!site.Lists());
  }

  /// Guards against an agent that denies runs which an earlier agent started.
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

  /// Guards against runs that outlive the time after which the coordinator starts them elsewhere.
  void NoLeaseOutlastsTheGrant() {
    Granted site;
    site.m_now += 4s;
    const auto call = NextHold(site.m_agent, site.m_now);
    // The worker's clock was 5000 at the last answer, 4 s ago; 1 s of the grant is left.
    CPPUNIT_ASSERT_EQUAL(std::int64_t{5000 + 4000 + 1000}, call->m_deadline_ms);
    OnHold(site.m_agent, site.m_now, site.m_now, HoldAnswer{.m_born = 1000, .m_clock_ms = 9000});
    site.m_now += 2s;
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, NextHold(site.m_agent, site.m_now)->m_deadline_ms);
  }

  /// Guards against orders for a former life that reach a worker which restarted under its id.
  void ANewLifeOfTheWorkerHasNoRunsAndAHigherFence() {
    Granted site;
    (void)site.Order(1, 1);
    (void)site.Hold({{.m_task = kTask, .m_run = 1}});
    const auto fence = site.m_agent.m_fence;
    auto reborn = site.m_worker;
    reborn.m_born = 2000;
    CPPUNIT_ASSERT(OnHeartbeat(site.m_agent, site.m_now, reborn, 1));
    CPPUNIT_ASSERT(!site.Lists());
    CPPUNIT_ASSERT(!MakeReport(site.m_agent, site.m_now).m_runs_known);
    CPPUNIT_ASSERT(site.m_agent.m_fence > fence);
  }

  /// Guards against a delayed heartbeat of a life that is over, or of an earlier state.
  void ALateHeartbeatChangesNothing() {
    Granted site;
    auto draining = site.m_worker;
    draining.m_draining = true;
    CPPUNIT_ASSERT(!OnHeartbeat(site.m_agent, site.m_now, draining, 5));
    CPPUNIT_ASSERT(!OnHeartbeat(site.m_agent, site.m_now, site.m_worker, 4));
    CPPUNIT_ASSERT(site.m_agent.m_worker.m_draining);
    auto earlier = site.m_worker;
    earlier.m_born = 500;
    earlier.m_id = {"before"};
    CPPUNIT_ASSERT(!OnHeartbeat(site.m_agent, site.m_now, earlier, 99));
    CPPUNIT_ASSERT_EQUAL(std::string{"w"}, site.m_agent.m_worker.m_id.m_value);
  }

  /// Guards against an end that is acknowledged to the worker before it is recorded.
  void EndsAreKeptUntilTheyAreRecorded() {
    Granted site;
    const RunEnded end{.m_number = 4, .m_task = kTask, .m_run = 1};
    (void)site.Hold({}, {end});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, site.Hold({}, {end}).m_seen_end);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, MakeReport(site.m_agent, site.m_now).m_ends.size());
    OnReportReply(site.m_agent, site.m_now,
                  {.m_accepted = true,
                   .m_epoch = 1,
                   .m_session = 9,
                   .m_recorded_end = 4,
                   .m_worker_born = 1000});
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, site.Hold({}, {end}).m_seen_end);
    CPPUNIT_ASSERT(MakeReport(site.m_agent, site.m_now).m_ends.empty());
  }

  /// Guards against a filling task that rests for good, because a pace without an answer was
  /// carried out after the newer one that gave it its full share.
  void ALatePaceIsUndone() {
    Granted site;
    const StartOrder order{.m_task = kTask, .m_run = 1, .m_fills = true};
    (void)OnOrders(site.m_agent, site.m_now,
                   {.m_epoch = 1, .m_session = 9, .m_orders = {{.m_number = 1, .m_start = order}}});
    (void)site.Hold({{.m_task = kTask, .m_run = 1}});
    auto& run = site.m_agent.m_runs.at(kTask);
    run.m_allowed = 0;
    OnRunAnswer(site.m_agent, site.m_now, NextCalls(site.m_agent, site.m_now).at(0),
                RunAnswer::kNoAnswer);
    run.m_allowed = 50;
    site.m_now += 200ms;
    OnRunAnswer(site.m_agent, site.m_now, NextCalls(site.m_agent, site.m_now).at(0),
                RunAnswer::kOk);
    run.m_allowed = 100;
    site.m_now += 200ms;
    OnRunAnswer(site.m_agent, site.m_now, NextCalls(site.m_agent, site.m_now).at(0),
                RunAnswer::kOk);
    CPPUNIT_ASSERT(NextCalls(site.m_agent, site.m_now).empty());
    site.m_now += site.m_agent.m_options.m_pace_repeat;
    CPPUNIT_ASSERT_EQUAL(100U, NextCalls(site.m_agent, site.m_now).at(0).m_percent);
  }

  /// Guards against serving runs without protection after a restart of their agent (association's
  /// trouble-3: 740 s over the target, nearly all after all processes were killed).
  void ARunOfAnEarlierAgentIsDescribedAndProtected() {
    Granted site;
    TaskRef filling = kTask;
    filling.m_index = 1;
    const std::vector<ListedRun> listed = {
        {.m_task = kTask, .m_run = 1, .m_percent = 100, .m_figure = 90.0},
        {.m_task = filling, .m_run = 1, .m_percent = 5, .m_figure = 2000.0}};
    (void)site.Hold(listed);
    for (const auto& run : MakeReport(site.m_agent, site.m_now).m_runs) {
      CPPUNIT_ASSERT(!run.m_order_known);
    }
    const StartOrder serves{
        .m_task = kTask, .m_run = 1, .m_latency_target = 18ms, .m_image = {"watch"}};
    const StartOrder fills{.m_task = filling, .m_run = 1, .m_fills = true, .m_image = {"press"}};
    (void)OnOrders(
        site.m_agent, site.m_now,
        {.m_epoch = 1,
         .m_session = 9,
         .m_orders = {{.m_number = 1, .m_kind = OrderKind::kDescribe, .m_start = serves},
                      {.m_number = 2, .m_kind = OrderKind::kDescribe, .m_start = fills}}});
    CPPUNIT_ASSERT(MakeReport(site.m_agent, site.m_now).m_runs.at(0).m_order_known);
    // The share that the earlier agent set is not known, so it is set anew.
    CPPUNIT_ASSERT_EQUAL(100U, NextCalls(site.m_agent, site.m_now).at(0).m_percent);
    for (int i = 0; i < 20; ++i) {
      site.m_now += 200ms;
      (void)site.Hold(listed);
    }
    CPPUNIT_ASSERT_EQUAL(0U, site.m_agent.m_runs.at(filling).m_allowed);
  }

  void ADescriptionStartsNothing() {
    Granted site;
    CPPUNIT_ASSERT(site.Order(1, 1, OrderKind::kDescribe));
    CPPUNIT_ASSERT(!site.Lists());
    CPPUNIT_ASSERT(NextCalls(site.m_agent, site.m_now).empty());
  }

  void ADrainingWorkerStartsNothing() {
    Granted site;
    auto draining = site.m_worker;
    draining.m_draining = true;
    OnHeartbeat(site.m_agent, site.m_now, draining, 2);
    CPPUNIT_ASSERT(site.Order(1, 1));
    CPPUNIT_ASSERT(!site.Lists());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerAgentTest);

}  // namespace
}  // namespace ebonypin::core::fleet
