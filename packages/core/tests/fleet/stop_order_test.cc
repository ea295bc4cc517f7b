/// Stop orders for runs that the agent does not hold when it takes the order.
#include <cppunit/extensions/HelperMacros.h>

#include <map>

#include "agent_fixture.h"
#include "fleet_fixture.h"

namespace ebonypin::core::fleet {
namespace {

using namespace std::chrono_literals;

/// Returns the stop calls that are due, and answers them.
std::vector<RunNumber> AnswerStops(GrantedAgent& fixture, const RunAnswer answer) {
  std::vector<RunNumber> stops;
  for (const auto& call : NextCalls(fixture.m_agent, fixture.m_now)) {
    if (call.m_kind == RunCallKind::kStop) stops.push_back(call.m_order.m_run);
    OnRunAnswer(fixture.m_agent, fixture.m_now, call, answer);
  }
  return stops;
}

/// Adds runs of the tasks with these indices, which the agent has been ordered to stop just now.
void AddStopping(GrantedAgent& fixture, const std::uint32_t first, const std::uint32_t last) {
  for (std::uint32_t i = first; i < last; ++i) {
    auto task = kTask;
    task.m_index = i;
    fixture.m_agent.m_runs[task] = {.m_order = {.m_task = task, .m_run = 7},
                                    .m_stage = RunStage::kStopping,
                                    .m_next_call = fixture.m_now};
  }
}

using Runs = std::vector<RunNumber>;

class StopOrderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StopOrderTest);
  CPPUNIT_TEST(ARunThatTheWorkerListsAfterTheStopOrderIsStopped);
  CPPUNIT_TEST(ARunThatTheWorkerStartsAfterTheStopOrderIsRefused);
  CPPUNIT_TEST(AStopWithoutAnAnswerIsRepeated);
  CPPUNIT_TEST(ARunWhoseEndIsListedNeedsNoStop);
  CPPUNIT_TEST(AnEarlierRunOfATaskIsStoppedBesideTheLaterOne);
  CPPUNIT_TEST(ALaterRunThanTheOneHeldIsReported);
  CPPUNIT_TEST(StopsDoNotWaitForStarts);
  CPPUNIT_TEST(StartsDoNotWaitForStops);
  CPPUNIT_TEST(AsManyRunsAsStatedAreStoppedInTime);
  CPPUNIT_TEST(TheStopThatHasWaitedLongestGoesFirst);
  CPPUNIT_TEST(FewStopsAreSentToASilentWorker);
  CPPUNIT_TEST(ARunThatIsListedOnAfterItsStopWasTakenIsStoppedAgain);
  CPPUNIT_TEST(AStopIsNotRepeatedWhileItIsCarriedOut);
  CPPUNIT_TEST(OrdersThatAReportingAgentDoesNotTakeAreLoggedOnce);
  CPPUNIT_TEST(ARunThatIsStoppedTakesUpRoomUntilItsAgentHasTakenTheOrders);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against runs of cancelled jobs that work on: their agent had taken the stop order while
  /// it regarded the start as refused, and the worker had carried the start out.
  void ARunThatTheWorkerListsAfterTheStopOrderIsStopped() {
    GrantedAgent fixture;
    (void)fixture.Order(1, 1);
    const auto calls = NextCalls(fixture.m_agent, fixture.m_now);
    OnRunAnswer(fixture.m_agent, fixture.m_now, calls.at(0), RunAnswer::kBusy);
    CPPUNIT_ASSERT(fixture.Order(2, 1, OrderKind::kStop));
    (void)fixture.Hold({{.m_task = kTask, .m_run = 1, .m_percent = 1}});
    CPPUNIT_ASSERT(fixture.Lists());
    CPPUNIT_ASSERT(AnswerStops(fixture, RunAnswer::kOk) == Runs{1});
    (void)fixture.Hold({});
    CPPUNIT_ASSERT(!fixture.Lists());
  }

  /// Guards against the same when the worker carries out the start after the stop order.
  void ARunThatTheWorkerStartsAfterTheStopOrderIsRefused() {
    GrantedAgent fixture;
    CPPUNIT_ASSERT(fixture.Order(1, 1, OrderKind::kStop));
    // A worker that has stopped a run refuses to start it.
    CPPUNIT_ASSERT(AnswerStops(fixture, RunAnswer::kOk) == Runs{1});
    CPPUNIT_ASSERT(!fixture.Lists());
    fixture.m_now += 10s;
    CPPUNIT_ASSERT(NextCalls(fixture.m_agent, fixture.m_now).empty());
  }

  void AStopWithoutAnAnswerIsRepeated() {
    GrantedAgent fixture;
    CPPUNIT_ASSERT(fixture.Order(1, 1, OrderKind::kStop));
    for (const auto answer : {RunAnswer::kNoAnswer, RunAnswer::kBusy, RunAnswer::kFenced}) {
      CPPUNIT_ASSERT(AnswerStops(fixture, answer) == Runs{1});
      CPPUNIT_ASSERT(NextCalls(fixture.m_agent, fixture.m_now).empty());
      fixture.m_now += fixture.m_agent.m_options.m_call_retry;
    }
    // Another life of the worker has no runs of the former one.
    CPPUNIT_ASSERT(AnswerStops(fixture, RunAnswer::kOtherWorker) == Runs{1});
    fixture.m_now += fixture.m_agent.m_options.m_call_retry;
    CPPUNIT_ASSERT(NextCalls(fixture.m_agent, fixture.m_now).empty());
  }

  /// Guards against a call for each run that ends while its stop order is on the way.
  void ARunWhoseEndIsListedNeedsNoStop() {
    GrantedAgent fixture;
    fixture.StartRun(1, 1);
    (void)fixture.Hold({}, {{.m_number = 1, .m_task = kTask, .m_run = 1}});
    CPPUNIT_ASSERT(fixture.Order(2, 1, OrderKind::kStop));
    CPPUNIT_ASSERT(NextCalls(fixture.m_agent, fixture.m_now).empty());
  }

  /// Guards against a run that nobody hears of, because its agent holds another run of the task.
  void AnEarlierRunOfATaskIsStoppedBesideTheLaterOne() {
    GrantedAgent fixture;
    CPPUNIT_ASSERT(fixture.Order(1, 2));
    (void)NextCalls(fixture.m_agent, fixture.m_now);
    (void)fixture.Hold({{.m_task = kTask, .m_run = 1}});
    CPPUNIT_ASSERT(AnswerStops(fixture, RunAnswer::kOk) == Runs{1});
    const auto report = MakeReport(fixture.m_agent, fixture.m_now);
    CPPUNIT_ASSERT_EQUAL(RunNumber{2}, report.m_runs.at(0).m_run);
  }

  /// Guards against the same where the worker has the later run.
  void ALaterRunThanTheOneHeldIsReported() {
    GrantedAgent fixture;
    fixture.StartRun(1, 1);
    (void)fixture.Hold({{.m_task = kTask, .m_run = 2}});
    const auto report = MakeReport(fixture.m_agent, fixture.m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report.m_runs.size());
    CPPUNIT_ASSERT_EQUAL(RunNumber{2}, report.m_runs[0].m_run);
    CPPUNIT_ASSERT(!report.m_runs[0].m_order_known);
  }

  /// Guards against stops that wait for the deadlines of starts at a worker that does not answer.
  void StopsDoNotWaitForStarts() {
    GrantedAgent fixture;
    fixture.m_agent.m_options.m_max_calls = 1;
    CPPUNIT_ASSERT(fixture.Order(1, 1));
    AddStopping(fixture, 1, 2);
    const auto calls = NextCalls(fixture.m_agent, fixture.m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, calls.size());
    CPPUNIT_ASSERT(calls[0].m_kind == RunCallKind::kStop);
    CPPUNIT_ASSERT(calls[1].m_kind == RunCallKind::kStart);
    // The start has no answer, and further stops go on.
    AddStopping(fixture, 2, 5);
    const auto more = NextCalls(fixture.m_agent, fixture.m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, more.size());
    for (const auto& call : more) CPPUNIT_ASSERT(call.m_kind == RunCallKind::kStop);
  }

  /// Guards against a member of a gang that waits for seconds behind the stops of cancelled jobs,
  /// while the members that started elsewhere end alone.
  void StartsDoNotWaitForStops() {
    GrantedAgent fixture;
    AddStopping(fixture, 1, 150);
    CPPUNIT_ASSERT_EQUAL(fixture.m_agent.m_options.m_max_stops,
                         NextCalls(fixture.m_agent, fixture.m_now).size());
    CPPUNIT_ASSERT(fixture.Order(1, 1));
    const auto calls = NextCalls(fixture.m_agent, fixture.m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, calls.size());
    CPPUNIT_ASSERT(calls[0].m_kind == RunCallKind::kStart);
  }

  /// Guards against runs of cancelled jobs that work on longer than they may, because their stops
  /// wait for others: a run has to be gone 3 s and the time of a stop, 0.4 s, after its cancel.
  void AsManyRunsAsStatedAreStoppedInTime() {
    constexpr Duration kStopTime = 400ms;
    constexpr Duration kLimit = 3s + kStopTime;
    constexpr std::uint32_t kRuns = 320;
    GrantedAgent fixture;
    AddStopping(fixture, 1, 1 + kRuns);
    const Time ordered = fixture.m_now;
    std::multimap<Time, RunCall> open;
    std::size_t stopped = 0;
    while (stopped < kRuns) {
      for (auto& call : NextCalls(fixture.m_agent, fixture.m_now)) {
        open.emplace(fixture.m_now + kStopTime, std::move(call));
      }
      CPPUNIT_ASSERT(open.size() <= 48);  // A worker accepts 64 connections, and holds use some.
      CPPUNIT_ASSERT(!open.empty());
      fixture.m_now = open.begin()->first;
      const auto& call = open.begin()->second;
      OnRunAnswer(fixture.m_agent, fixture.m_now, call, RunAnswer::kOk);
      fixture.m_agent.m_runs.erase(call.m_order.m_task);  // The worker lists its end.
      open.erase(open.begin());
      ++stopped;
    }
    CPPUNIT_ASSERT(fixture.m_now - ordered <= kLimit);
  }

  /// Guards against a stop that never has its turn because tasks with smaller names are stopped
  /// again and again.
  void TheStopThatHasWaitedLongestGoesFirst() {
    GrantedAgent fixture;
    fixture.m_agent.m_options.m_max_stops = 1;
    AddStopping(fixture, 9, 10);
    fixture.m_now += 1s;
    AddStopping(fixture, 1, 5);
    const auto calls = NextCalls(fixture.m_agent, fixture.m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, calls.size());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{9}, calls[0].m_order.m_task.m_index);
  }

  /// Guards against an agent that spends its processor time on calls to a worker that is silent.
  void FewStopsAreSentToASilentWorker() {
    GrantedAgent fixture;
    AddStopping(fixture, 1, 150);
    fixture.FallSilent();
    CPPUNIT_ASSERT_EQUAL(fixture.m_agent.m_options.m_max_stops_unanswered,
                         NextCalls(fixture.m_agent, fixture.m_now).size());
  }

  /// Guards against a run of a cancelled job that works on because its agent took the only stop
  /// order before it tracked the run.
  void ARunThatIsListedOnAfterItsStopWasTakenIsStoppedAgain() {
    Site site = CancelRunningJob();
    site.ListPlacedRuns("a");
    CPPUNIT_ASSERT(site.Stops().empty());
    site.Advance(site.m_state.m_options.m_stop_repeat);
    site.ListPlacedRuns("a");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.Stops().size());
  }

  /// Guards against an agent that cannot be reached with orders, unseen because its reports arrive.
  void OrdersThatAReportingAgentDoesNotTakeAreLoggedOnce() {
    Site site;
    site.Join("a");
    site.Accept(MakeJob("j"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.Starts().size());
    std::size_t logged = 0;
    for (int i = 0; i < 40; ++i) {
      auto report = site.Report("a");
      report.m_last_order = 0;
      (void)OnReport(site.m_state, site.m_now, report);
      Tick(site.m_state, site.m_now, site.m_wall, site.m_now);
      const bool due = site.m_state.m_options.m_order_patience <= i * 250ms;
      for (const auto& decision : std::exchange(site.m_state.m_decisions, {})) {
        if (decision.m_what != "orders not taken") continue;
        CPPUNIT_ASSERT(due && decision.m_failure);
        ++logged;
      }
      site.Advance(250ms);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, logged);
  }

  /// Guards against starts beyond a worker's capacity, beside a run that is stopped because another
  /// run of its task is done: a report that was made before its start order arrived does not list
  /// it.
  void ARunThatIsStoppedTakesUpRoomUntilItsAgentHasTakenTheOrders() {
    Site site;
    site.Join("a");
    site.Join("b");
    site.Accept(MakeJob("j"));
    const auto first = site.Starts().at(0);
    (void)OnReport(site.m_state, site.m_now, site.Report(first.first));  // Lists nothing.
    site.Advance(1s);
    const auto second = site.Starts().at(0);
    const auto other = second.first == "a" ? "b" : "a";
    auto early = site.Report(second.first);
    early.m_last_order = 0;
    (void)site.End(other, 1, Ref("j"), first.second.m_run, RunOutcome::kDone);
    const auto& agent = site.m_state.m_agents.at({second.first});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, agent.m_strays.size());
    early.m_number = site.Report(second.first).m_number;
    (void)OnReport(site.m_state, site.m_now, early);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, agent.m_strays.size());

    (void)OnReport(site.m_state, site.m_now, site.Report(second.first));
    CPPUNIT_ASSERT(agent.m_strays.empty());
  }

  /// Guards against an order with each report while a stop is carried out.
  void AStopIsNotRepeatedWhileItIsCarriedOut() {
    Site site = CancelRunningJob();
    for (int i = 0; i < 3; ++i) {
      site.ListPlacedRuns("a");
      CPPUNIT_ASSERT(site.Stops().empty());
      site.Advance(site.m_state.m_options.m_stop_repeat / 4);
    }
  }

 private:
  /// Returns a site with a run whose job is cancelled and whose agent has taken the stop order.
  static Site CancelRunningJob() {
    Site site;
    site.Join("a");
    site.Accept(MakeJob("j"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.Starts().size());
    (void)OnCall(site.m_state, site.m_now,
                 {.m_kind = JobCallKind::kCancel, .m_job = {.m_id = {"j"}}});
    site.Write();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.Stops().size());
    const auto& agent = site.m_state.m_agents.at({"a"});
    OnOrdersTaken(site.m_state, {"a"}, agent.m_session, agent.m_next_order - 1);
    return site;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopOrderTest);

}  // namespace
}  // namespace ebonypin::core::fleet
