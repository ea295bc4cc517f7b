#include <cppunit/extensions/HelperMacros.h>

#include "agent_fixture.h"

namespace ebonypin::core {
namespace {

class AgentRunsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgentRunsTest);
  CPPUNIT_TEST(LeastSlackStartsFirst);
  CPPUNIT_TEST(LateStartIsRefusedAtOnceAsNotRun);
  CPPUNIT_TEST(QueuedRequestIsRefusedWhenItsPredictionFails);
  CPPUNIT_TEST(NewcomerDoesNotDisplaceQueuedRequests);
  CPPUNIT_TEST(CancelledQueuedRequestNeverStarts);
  CPPUNIT_TEST(RequestsNeverWaitForBatchWork);
  CPPUNIT_TEST(PreemptedTaskResumesOnlyOnFreeProcessors);
  CPPUNIT_TEST(RepeatedTryIsNotReportedAsNotRun);
  CPPUNIT_TEST(DrainRefusesNewWorkAndFinishesWorkInProgress);
  CPPUNIT_TEST(NoWorkIsAcceptedBeforeTheTasksAreListed);
  CPPUNIT_TEST(OnlyNewerConfigurationIsApplied);
  CPPUNIT_TEST_SUITE_END();

  /// Fills the 8 slots with requests that are expected to run for `run`.
  static void Fill(AgentFixture& agent, const Duration run) {
    for (int i = 0; i < 8; ++i) (void)agent.Request("full" + std::to_string(i), run, 0s);
    CPPUNIT_ASSERT_EQUAL(8U, SlotsBusy(agent.m_ledger));
  }

  static RunReply Refused(const AgentActions& actions, const CallId call) {
    auto reply = ReplyTo<RunReply>(actions, call);
    CPPUNIT_ASSERT(reply.m_kind == AnswerKind::kNotRun);
    return reply;
  }

 public:
  /// Guards against urgent requests that wait behind requests with more slack.
  void LeastSlackStartsFirst() {
    AgentFixture agent;
    Fill(agent, 100ms);
    (void)agent.Request("patient", 10ms, 2s);
    (void)agent.Request("urgent", 10ms, 500ms);
    const auto next = ActionsOf<CallEndpoint>(
        OnRunEnded(agent.m_ledger, 1, {.m_kind = AnswerKind::kDone}, agent.m_now));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, next.size());
    CPPUNIT_ASSERT_EQUAL(std::string{"urgent"}, next[0].m_request.m_value);
  }

  /// Guards against a refusal that is sent only when the caller's time is nearly over.
  void LateStartIsRefusedAtOnceAsNotRun() {
    AgentFixture agent;
    Fill(agent, 1s);
    const auto actions = agent.Request("r", 10ms, 500ms);
    CPPUNIT_ASSERT(ActionsOf<CallEndpoint>(actions).empty());
    const auto reply = Refused(actions, agent.m_call);
    CPPUNIT_ASSERT(reply.m_error.m_kind == ErrorKind::kOverloaded);
    CPPUNIT_ASSERT(reply.m_error.m_retry_after == 1s);
  }

  /// Guards against a queued request that starts, or is refused, only after its latest start
  /// because the requests ahead of it take longer than expected.
  void QueuedRequestIsRefusedWhenItsPredictionFails() {
    AgentFixture agent;
    Fill(agent, 100ms);
    CPPUNIT_ASSERT(ActionsOf<ReplyToCall>(agent.Request("r", 10ms, 500ms)).empty());
    const auto call = agent.m_call;
    agent.m_now += 400ms;
    Refused(OnTick(agent.m_ledger, agent.m_now), call);
  }

  /// Guards against a queued request that is refused because a newer request is accepted.
  void NewcomerDoesNotDisplaceQueuedRequests() {
    AgentFixture agent;
    Fill(agent, 100ms);
    for (int i = 0; i < 8; ++i) (void)agent.Request("q" + std::to_string(i), 100ms, 150ms);
    const auto actions = agent.Request("newcomer", 100ms, 140ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ActionsOf<ReplyToCall>(actions).size());
    Refused(actions, agent.m_call);
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, agent.m_ledger.m_queue.size());
  }

  /// Guards against work that runs after its caller was told that it is cancelled, also when the
  /// cancellation overtakes the request.
  void CancelledQueuedRequestNeverStarts() {
    AgentFixture agent;
    Fill(agent, 100ms);
    (void)agent.Request("r", 10ms, 10s);
    const auto call = agent.m_call;
    const auto cancelled = agent.Send(CancelRequest{.m_request = {"r"}});
    CPPUNIT_ASSERT(ReplyTo<CancelReply>(cancelled, agent.m_call).m_stopped);
    CPPUNIT_ASSERT(Refused(cancelled, call).m_error.m_kind == ErrorKind::kCancelled);
    CPPUNIT_ASSERT(ActionsOf<CallEndpoint>(OnRunEnded(agent.m_ledger, 1, {}, agent.m_now)).empty());
    CPPUNIT_ASSERT(!agent.Ask<CancelReply>(CancelRequest{.m_request = {"full3"}}).m_stopped);

    CPPUNIT_ASSERT(agent.Ask<CancelReply>(CancelRequest{.m_request = {"late"}}).m_stopped);
    const auto late = agent.Request("late", 10ms, 10s);
    CPPUNIT_ASSERT(ActionsOf<CallEndpoint>(late).empty());
    Refused(late, agent.m_call);
  }

  /// Guards against batch work that takes every slot, or the memory that requests use.
  void RequestsNeverWaitForBatchWork() {
    AgentFixture agent;
    (void)agent.Send(RunRequest{.m_request = {"big"}, .m_size = {4000, 57500, 0}});
    (void)OnRunEnded(agent.m_ledger, agent.m_call, {.m_kind = AnswerKind::kDone}, agent.m_now);
    int granted = 0;
    for (int i = 0; i < 10; ++i)
      granted += agent.Reserve("j" + std::to_string(i)).m_granted ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(2, granted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         ActionsOf<CallEndpoint>(agent.Send(RunRequest{.m_request = {"big again"},
                                                                       .m_size = {4000, 57500, 0}}))
                             .size());

    AgentFixture slots;
    for (int i = 0; i < 10; ++i) slots.RunJob("j" + std::to_string(i));
    CPPUNIT_ASSERT_EQUAL(7U, SlotsBusy(slots.m_ledger));
    const auto first = slots.Request("r0", 1s, 0s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ActionsOf<CallEndpoint>(first).size());
    const auto parked = ActionsOf<ThrottleTask>(first);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, parked.size());
    CPPUNIT_ASSERT_EQUAL(0U, parked[0].m_share);
    // The slot is about to be released, so the second request is queued and not refused.
    CPPUNIT_ASSERT(ActionsOf<ReplyToCall>(slots.Request("r1", 10ms, 20ms)).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ActionsOf<CallEndpoint>(slots.Confirm(parked[0])).size());
    CPPUNIT_ASSERT_EQUAL(8U, SlotsBusy(slots.m_ledger));
    // Batch work uses the slots again after the requests have ended.
    for (const auto& [call, run] : std::map(slots.m_ledger.m_runs))
      (void)OnRunEnded(slots.m_ledger, call, {.m_kind = AnswerKind::kDone}, slots.m_now);
    CPPUNIT_ASSERT(!ActionsOf<ThrottleTask>(slots.Advance(2s)).empty());
    CPPUNIT_ASSERT_EQUAL(7U, SlotsBusy(slots.m_ledger));
  }

  /// Guards against overcommitted processors when a preempted task resumes, and against processors
  /// of a preempted task that requests cannot use.
  void PreemptedTaskResumesOnlyOnFreeProcessors() {
    AgentFixture agent;
    agent.m_ledger.m_options.m_capacity.m_cpu_millis = 8000;
    for (int i = 0; i < 7; ++i) agent.RunJob("j" + std::to_string(i));
    const auto parked = ActionsOf<ThrottleTask>(agent.Request("small", 1s, 0s));
    (void)agent.Confirm(parked.at(0));
    const auto big = agent.Send(RunRequest{.m_request = {"big"}, .m_size = {1900, 0, 0}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ActionsOf<CallEndpoint>(big).size());
    (void)OnRunEnded(agent.m_ledger, 15, {.m_kind = AnswerKind::kDone}, agent.m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, agent.m_ledger.m_runs.size());
    for (const auto& throttle : ActionsOf<ThrottleTask>(agent.Advance(3s)))
      CPPUNIT_ASSERT(throttle.m_task != parked[0].m_task || throttle.m_share == 0);
    CPPUNIT_ASSERT(Fits(CommittedResources(agent.m_ledger), agent.m_ledger.m_options.m_capacity));
  }

  /// Guards against a "not run" reply for a request whose first copy is running.
  void RepeatedTryIsNotReportedAsNotRun() {
    AgentFixture agent;
    (void)agent.Request("r", 10ms, 0s);
    const auto repeated = agent.Request("r", 10ms, 0s);
    CPPUNIT_ASSERT(ActionsOf<CallEndpoint>(repeated).empty());
    CPPUNIT_ASSERT(ReplyTo<RunReply>(repeated, agent.m_call).m_kind == AnswerKind::kUnknown);
  }

  /// Guards against a planned stop that accepts new work or interrupts work in progress.
  void DrainRefusesNewWorkAndFinishesWorkInProgress() {
    AgentFixture agent;
    agent.RunJob("short", false, 5s);
    agent.RunJob("long", true);
    const auto reserved = agent.Reserve("reserved");
    for (int i = 0; i < 6; ++i) (void)agent.Request("r" + std::to_string(i), 50ms, 1s);
    (void)agent.Request("queued", 50ms, 1s);
    const auto queued = agent.m_call;

    const auto stops = ActionsOf<StopTask>(OnStop(agent.m_ledger, agent.m_now));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stops.size());
    CPPUNIT_ASSERT_EQUAL(std::string{"long"}, stops[0].m_task.m_job.m_value);
    CPPUNIT_ASSERT(agent.m_ledger.m_reservations.empty());
    CPPUNIT_ASSERT(BuildHeartbeat(agent.m_ledger, {}).m_load.m_draining);
    const auto refused = agent.Request("new", 1ms, 1s);
    CPPUNIT_ASSERT(Refused(refused, agent.m_call).m_error.m_kind == ErrorKind::kDraining);
    CPPUNIT_ASSERT(agent.Reserve("new").m_error.m_kind == ErrorKind::kDraining);
    CPPUNIT_ASSERT(!agent.Ask<StartReply>(AgentFixture::StartOf("reserved", reserved.m_reservation))
                        .m_started);

    while (!agent.m_ledger.m_runs.empty()) {
      const auto call = agent.m_ledger.m_runs.begin()->first;
      const auto ended =
          OnRunEnded(agent.m_ledger, call, {.m_kind = AnswerKind::kDone}, agent.m_now);
      CPPUNIT_ASSERT(ReplyTo<RunReply>(ended, call).m_kind == AnswerKind::kDone);
    }
    CPPUNIT_ASSERT(queued != 0 && agent.m_ledger.m_counters.m_runs_done == 7);
    CPPUNIT_ASSERT(!IsDrained(agent.m_ledger));
    (void)agent.SendTaskEvent({.m_kind = TaskEventKind::kEnded, .m_task = {{"short"}, 1}});
    (void)agent.SendTaskEvent({.m_kind = TaskEventKind::kStopped, .m_task = {{"long"}, 1}});
    CPPUNIT_ASSERT(!IsDrained(agent.m_ledger));
    for (const auto* const job : {"short", "long"})
      (void)OnReportReply(agent.m_ledger, {{job}, 1}, {.m_acknowledged = true}, "e", agent.m_now);
    CPPUNIT_ASSERT(IsDrained(agent.m_ledger));
  }

  /// Guards against a new agent that commits capacity held by tasks of the former agent.
  void NoWorkIsAcceptedBeforeTheTasksAreListed() {
    AgentFixture agent;
    agent.m_ledger = MakeAgentLedger(agent.m_ledger.m_options);
    CPPUNIT_ASSERT(agent.Ask<Error>(FenceRequest{.m_job = {"j"}}).m_kind == ErrorKind::kNoCapacity);
    CPPUNIT_ASSERT(agent.Ask<Error>(RunRequest{.m_request = {"r"}}).m_kind ==
                   ErrorKind::kNoCapacity);
  }

  /// Guards against an entry that has read less of the log and reverts a configuration or a drain.
  void OnlyNewerConfigurationIsApplied() {
    AgentFixture agent;
    const auto apply = [&](const LogOffset offset, const std::string& name, const bool drain) {
      (void)OnHeartbeatReply(
          agent.m_ledger,
          {.m_classes = {{.m_name = {name}}}, .m_config_offset = offset, .m_drain = drain}, "e",
          agent.m_now, agent.m_now);
    };
    apply(7, "new", true);
    apply(6, "old", false);
    CPPUNIT_ASSERT_EQUAL(std::string{"new"}, agent.m_ledger.m_classes.at(0).m_name.m_value);
    CPPUNIT_ASSERT_EQUAL(LogOffset{7}, BuildHeartbeat(agent.m_ledger, {}).m_config_offset);
    CPPUNIT_ASSERT(IsDraining(agent.m_ledger));
    apply(8, "newer", false);
    CPPUNIT_ASSERT(!IsDraining(agent.m_ledger));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentRunsTest);

}  // namespace
}  // namespace ebonypin::core
