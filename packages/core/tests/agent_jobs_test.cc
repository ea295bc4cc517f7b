#include <cppunit/extensions/HelperMacros.h>

#include "agent_fixture.h"

namespace ebonypin::core {
namespace {

class AgentJobsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgentJobsTest);
  CPPUNIT_TEST(RepeatedStartIsConfirmedAndStartsOnce);
  CPPUNIT_TEST(StartNeedsALiveReservation);
  CPPUNIT_TEST(FencedAttemptNeverStarts);
  CPPUNIT_TEST(OlderEpochIsRefused);
  CPPUNIT_TEST(MessagesForAnEarlierIncarnationAreRefused);
  CPPUNIT_TEST(ExclusiveAttemptIsSuspendedWithoutGrantThenStopped);
  CPPUNIT_TEST(LeaseEndsWithTheGrantUntilSuspensionIsConfirmed);
  CPPUNIT_TEST(GrantCountsFromWhenItWasAsked);
  CPPUNIT_TEST(AttemptDeniedByANewerOwnerStops);
  CPPUNIT_TEST(HeartbeatNamesAttemptsToTheirOwner);
  CPPUNIT_TEST(FenceReportsTheStateOfTheAttempt);
  CPPUNIT_TEST(CompletionIsRepeatedUntilAcknowledged);
  CPPUNIT_TEST(HeldCompletionsLimitNewWork);
  CPPUNIT_TEST(NewAgentAdoptsRunningTasksAndReportsEndedOnes);
  CPPUNIT_TEST(StartIsNotRepeatedAfterTheWorkerRestarted);
  CPPUNIT_TEST(StartThatCrossesARestartIsStoppedBeforeItIsReported);
  CPPUNIT_TEST(RefusedStopOfATaskThatRanIsNotReportedAsNeverStarted);
  CPPUNIT_TEST(UnconfirmedStartAndStopAreRepeated);
  CPPUNIT_TEST(BatchWorkIsThrottledAtOnceAndGrowsSlowly);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a second run of a job whose start was repeated after a lost reply.
  void RepeatedStartIsConfirmedAndStartsOnce() {
    AgentFixture agent;
    const auto start = AgentFixture::StartOf("j", agent.Reserve("j").m_reservation);
    const auto first = agent.Send(start);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ActionsOf<StartTask>(first).size());
    const auto repeated = agent.Send(start);
    CPPUNIT_ASSERT(ReplyTo<StartReply>(repeated, agent.m_call).m_started);
    CPPUNIT_ASSERT(ActionsOf<StartTask>(repeated).empty());
    (void)agent.SendTaskEvent({.m_kind = TaskEventKind::kEnded, .m_task = {{"j"}, 1}});
    const auto late = agent.Send(start);
    CPPUNIT_ASSERT(ReplyTo<StartReply>(late, agent.m_call).m_started);
    CPPUNIT_ASSERT(ActionsOf<StartTask>(late).empty());
  }

  /// Guards against work started by an owner that was paused since its reservation.
  void StartNeedsALiveReservation() {
    AgentFixture agent;
    const auto reserved = agent.Reserve("j");
    agent.m_now += 3s;
    const auto late = agent.Ask<StartReply>(AgentFixture::StartOf("j", reserved.m_reservation));
    CPPUNIT_ASSERT(!late.m_started);
    CPPUNIT_ASSERT(late.m_error.m_kind == ErrorKind::kReservationGone);
    CPPUNIT_ASSERT_EQUAL(0U, SlotsBusy(agent.m_ledger));
    const auto other = agent.Reserve("k");
    CPPUNIT_ASSERT(
        !agent.Ask<StartReply>(AgentFixture::StartOf("j", other.m_reservation)).m_started);
  }

  /// Guards against an attempt that starts after its owner was told that it never will.
  void FencedAttemptNeverStarts() {
    AgentFixture agent;
    const auto reserved = agent.Reserve("j");
    const auto fence =
        agent.Ask<FenceReply>(FenceRequest{.m_job = {"j"}, .m_attempt = 1, .m_epoch = 1});
    CPPUNIT_ASSERT(fence.m_phase == AttemptPhase::kNeverStarted);
    CPPUNIT_ASSERT_EQUAL(0U, SlotsBusy(agent.m_ledger));
    const auto start = agent.Send(AgentFixture::StartOf("j", reserved.m_reservation));
    CPPUNIT_ASSERT(ActionsOf<StartTask>(start).empty());
    CPPUNIT_ASSERT(ReplyTo<StartReply>(start, agent.m_call).m_error.m_kind ==
                   ErrorKind::kStaleAttempt);
    CPPUNIT_ASSERT(!agent.Reserve("j", 1).m_granted);
    CPPUNIT_ASSERT(agent.Reserve("j", 2).m_granted);
  }

  /// Guards against actions of a former owner of the shard after a message of a newer owner.
  void OlderEpochIsRefused() {
    AgentFixture agent;
    const auto reserved = agent.Reserve("j", 1, 3);
    (void)agent.Ask<FenceReply>(FenceRequest{.m_job = {"j"}, .m_attempt = 0, .m_epoch = 4});
    const auto start =
        agent.Ask<StartReply>(AgentFixture::StartOf("j", reserved.m_reservation, false, 1, 3));
    CPPUNIT_ASSERT(!start.m_started);
    CPPUNIT_ASSERT(start.m_error.m_kind == ErrorKind::kStaleEpoch);
    CPPUNIT_ASSERT_EQUAL(0U, SlotsBusy(agent.m_ledger));
    CPPUNIT_ASSERT(agent.Reserve("j", 2, 3).m_error.m_kind == ErrorKind::kStaleEpoch);
    CPPUNIT_ASSERT(agent.Ask<Error>(CancelRequest{.m_job = {"j"}, .m_epoch = 3}).m_kind ==
                   ErrorKind::kStaleEpoch);
    CPPUNIT_ASSERT(agent.Reserve("j", 2, 4).m_granted);
  }

  /// Guards against a later process that accepts reservations of an earlier one.
  void MessagesForAnEarlierIncarnationAreRefused() {
    AgentFixture agent;
    const auto reserved = agent.Reserve("j");
    auto start = AgentFixture::StartOf("j", reserved.m_reservation);
    start.m_incarnation = 4;
    CPPUNIT_ASSERT(agent.Ask<StartReply>(start).m_error.m_kind == ErrorKind::kStaleIncarnation);
  }

  /// Guards against an exclusive task that keeps running while its owner may start it elsewhere.
  void ExclusiveAttemptIsSuspendedWithoutGrantThenStopped() {
    AgentFixture agent;
    agent.RunJob("j", true);
    CPPUNIT_ASSERT(ActionsOf<ThrottleTask>(agent.Advance(8900ms)).empty());
    const auto suspended = ActionsOf<ThrottleTask>(agent.Advance(1100ms));
    CPPUNIT_ASSERT(!suspended.empty());
    CPPUNIT_ASSERT_EQUAL(0U, suspended.back().m_share);
    (void)agent.Confirm(suspended.back());

    const auto resumed = ActionsOf<ThrottleTask>(agent.GrantAt("j", agent.m_now));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, resumed.size());
    CPPUNIT_ASSERT_EQUAL(1000U, resumed[0].m_share);
    (void)agent.Confirm(resumed[0]);

    const auto again = ActionsOf<ThrottleTask>(agent.Advance(10s));
    CPPUNIT_ASSERT(!again.empty());
    (void)agent.Confirm(again.back());
    CPPUNIT_ASSERT(ActionsOf<StopTask>(agent.Advance(8s)).empty());
    const auto stops = ActionsOf<StopTask>(agent.Advance(2s));
    CPPUNIT_ASSERT(!stops.empty());
    CPPUNIT_ASSERT(stops[0].m_checkpoint);
    const auto reports = ActionsOf<SendReport>(agent.SendTaskEvent(
        {.m_kind = TaskEventKind::kStopped, .m_task = {{"j"}, 1}, .m_checkpoint = "c7"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports.size());
    CPPUNIT_ASSERT(reports[0].m_report.m_phase == AttemptPhase::kStopped);
    CPPUNIT_ASSERT_EQUAL(std::string{"c7"}, reports[0].m_report.m_checkpoint);
  }

  /// Guards against an exclusive task that outlives its grant because no throttle reaches the
  /// worker.
  void LeaseEndsWithTheGrantUntilSuspensionIsConfirmed() {
    AgentFixture agent;
    agent.RunJob("j", true);
    const auto grant_end = agent.m_now + kGrantLifetime;
    std::vector<ThrottleTask> throttles;
    while (agent.m_now < grant_end + 3s) {
      const auto actions = agent.Advance(1ms);
      for (const auto& renewal : ActionsOf<RenewTask>(actions))
        CPPUNIT_ASSERT(agent.m_now + renewal.m_lease <= grant_end);
      for (const auto& throttle : ActionsOf<ThrottleTask>(actions)) throttles.push_back(throttle);
    }
    CPPUNIT_ASSERT(throttles.size() >= 3);
    (void)agent.Confirm(throttles.front());
    const auto unconfirmed = agent.Advance(1100ms);
    CPPUNIT_ASSERT(ActionsOf<RenewTask>(unconfirmed).empty());
    (void)agent.Confirm(ActionsOf<ThrottleTask>(unconfirmed).back());
    const auto renewals = ActionsOf<RenewTask>(agent.Advance(1s));
    CPPUNIT_ASSERT(!renewals.empty());
    CPPUNIT_ASSERT(renewals[0].m_lease == kTaskLease);
  }

  /// Guards against a grant that arrives late and whose lifetime is then counted from its arrival.
  void GrantCountsFromWhenItWasAsked() {
    AgentFixture agent;
    agent.RunJob("j", true);
    const auto asked = agent.m_now;
    (void)agent.Advance(5s);
    (void)agent.GrantAt("j", asked);
    CPPUNIT_ASSERT(!ActionsOf<ThrottleTask>(agent.Advance(4s)).empty());
  }

  /// Guards against a superseded attempt that goes on after the shard's new owner refused its
  /// grant.
  void AttemptDeniedByANewerOwnerStops() {
    AgentFixture agent;
    agent.RunJob("j", true);
    CPPUNIT_ASSERT(ActionsOf<StopTask>(agent.GrantAt("j", agent.m_now, 1, false)).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         ActionsOf<StopTask>(agent.GrantAt("j", agent.m_now, 2, false)).size());
    CPPUNIT_ASSERT(BuildHeartbeat(agent.m_ledger, {}).m_attempts.empty());
  }

  /// Guards against attempts that are not listed to their owner, and against control traffic that
  /// grows with the number of entries that cannot grant.
  void HeartbeatNamesAttemptsToTheirOwner() {
    AgentFixture agent;
    agent.RunJob("j", true);
    const auto named = [&](const std::string& to) {
      return BuildHeartbeat(agent.m_ledger, {}, to).m_attempts.size();
    };
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, named("other"));
    (void)agent.GrantAt("j", agent.m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, named("127.0.0.1:1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, named("other"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, named(""));
    (void)agent.Ask<FenceReply>(FenceRequest{.m_job = {"j"}, .m_attempt = 0, .m_epoch = 2});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, named("other"));
  }

  /// Guards against an owner that reassigns an attempt that still runs or has ended.
  void FenceReportsTheStateOfTheAttempt() {
    AgentFixture agent;
    agent.RunJob("j", true);
    const FenceRequest fence{.m_job = {"j"}, .m_attempt = 1, .m_epoch = 1, .m_stop = true};
    const auto stopping = agent.Send(fence);
    CPPUNIT_ASSERT(ReplyTo<FenceReply>(stopping, agent.m_call).m_phase == AttemptPhase::kRunning);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ActionsOf<StopTask>(stopping).size());
    (void)agent.SendTaskEvent(
        {.m_kind = TaskEventKind::kStopped, .m_task = {{"j"}, 1}, .m_checkpoint = "c1"});
    const auto stopped = agent.Ask<FenceReply>(fence);
    CPPUNIT_ASSERT(stopped.m_phase == AttemptPhase::kStopped);
    CPPUNIT_ASSERT_EQUAL(std::string{"c1"}, stopped.m_checkpoint);

    agent.RunJob("k");
    (void)agent.SendTaskEvent({.m_kind = TaskEventKind::kEnded,
                               .m_task = {{"k"}, 1},
                               .m_outcome = JobOutcome::kSucceeded,
                               .m_result = "plate"});
    const auto ended =
        agent.Ask<FenceReply>(FenceRequest{.m_job = {"k"}, .m_attempt = 1, .m_epoch = 1});
    CPPUNIT_ASSERT(ended.m_phase == AttemptPhase::kEnded);
    CPPUNIT_ASSERT(ended.m_outcome == JobOutcome::kSucceeded);
    CPPUNIT_ASSERT_EQUAL(std::string{"plate"}, ended.m_result);
  }

  /// Guards against a result that is lost with a single message, or that is sent to a former owner
  /// indefinitely.
  void CompletionIsRepeatedUntilAcknowledged() {
    AgentFixture agent;
    agent.RunJob("j");
    const TaskId task{{"j"}, 1};
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         ActionsOf<SendReport>(
                             agent.SendTaskEvent({.m_kind = TaskEventKind::kEnded, .m_task = task}))
                             .size());
    CPPUNIT_ASSERT(ActionsOf<SendReport>(agent.Advance(20s)).size() >= 3);
    (void)OnReportReply(agent.m_ledger, task,
                        {.m_not_owner = true, .m_owner = {.m_rpc_address = "owner"}}, "entry",
                        agent.m_now);
    const auto redirected = ActionsOf<SendReport>(agent.Advance(200ms));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, redirected.size());
    CPPUNIT_ASSERT_EQUAL(std::string{"owner"}, redirected[0].m_to);
    const auto done =
        OnReportReply(agent.m_ledger, task, {.m_acknowledged = true}, "owner", agent.m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ActionsOf<ForgetTask>(done).size());
    CPPUNIT_ASSERT(ActionsOf<SendReport>(agent.Advance(60s)).empty());
  }

  /// Guards against unbounded memory, or dropped results, while the log is unavailable.
  void HeldCompletionsLimitNewWork() {
    AgentFixture agent;
    std::size_t done = 0;
    ReserveReply reply;
    while (done < 100 && (reply = agent.Reserve("j" + std::to_string(done))).m_granted) {
      const auto job = "j" + std::to_string(done++);
      (void)agent.Send(AgentFixture::StartOf(job, reply.m_reservation));
      (void)agent.SendTaskEvent({.m_kind = TaskEventKind::kEnded,
                                 .m_task = {{job}, 1},
                                 .m_result = std::string(kMaxResultBytes, 'x')});
    }
    CPPUNIT_ASSERT(reply.m_error.m_kind == ErrorKind::kLogUnavailable);
    CPPUNIT_ASSERT(agent.m_ledger.m_report_bytes <= kMaxReportBytes);
    CPPUNIT_ASSERT_EQUAL(done, agent.m_ledger.m_reports.size());
    (void)OnReportReply(agent.m_ledger, {{"j0"}, 1}, {.m_acknowledged = true}, "e", agent.m_now);
    CPPUNIT_ASSERT(agent.Reserve("next").m_granted);
  }

  /// Guards against tasks that are not renewed or reported after the agent was replaced, exclusive
  /// tasks that run without a known grant, and tasks that the former agent preempted and that are
  /// never resumed.
  void NewAgentAdoptsRunningTasksAndReportsEndedOnes() {
    AgentFixture agent;
    const TaskList list{
        .m_tasks = {{.m_spec = {.m_task = {{"x"}, 2}, .m_epoch = 1, .m_exclusive = true},
                     .m_running = true},
                    {.m_spec = {.m_task = {{"b"}, 1}, .m_epoch = 1}, .m_running = true},
                    {.m_spec = {.m_task = {{"e"}, 1}, .m_epoch = 1},
                     .m_end = {.m_kind = TaskEventKind::kEnded, .m_result = "r"}}},
        .m_asked = agent.m_now};
    const auto actions = OnTaskList(agent.m_ledger, list, agent.m_now);
    const auto renewals = ActionsOf<RenewTask>(actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, renewals.size());
    CPPUNIT_ASSERT_EQUAL(std::string{"b"}, renewals[0].m_task.m_job.m_value);
    const auto throttles = ActionsOf<ThrottleTask>(actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, throttles.size());
    for (const auto& throttle : throttles) {
      CPPUNIT_ASSERT_EQUAL(throttle.m_task.m_job.m_value == "x" ? 0U : 1000U, throttle.m_share);
      // The version is larger than any that the earlier agent can have sent.
      CPPUNIT_ASSERT(throttle.m_version > agent.m_ledger.m_options.m_incarnation);
    }
    const auto reports = ActionsOf<SendReport>(actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports.size());
    CPPUNIT_ASSERT_EQUAL(std::string{"r"}, reports[0].m_report.m_result);
    CPPUNIT_ASSERT(agent.Ask<StartReply>(AgentFixture::StartOf("b", 1)).m_started);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, BuildHeartbeat(agent.m_ledger, {}).m_attempts.size());
  }

  /// Guards against a second run of a task that started before the worker restarted.
  void StartIsNotRepeatedAfterTheWorkerRestarted() {
    AgentFixture agent;
    (void)agent.Send(AgentFixture::StartOf("j", agent.Reserve("j").m_reservation));
    agent.m_now += 10ms;  // The list is requested after the start.
    const auto actions =
        OnTaskList(agent.m_ledger, {.m_asked = agent.m_now, .m_restarted = true}, agent.m_now);
    const auto reports = ActionsOf<SendReport>(actions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports.size());
    CPPUNIT_ASSERT(reports[0].m_report.m_phase == AttemptPhase::kStopped);
    CPPUNIT_ASSERT(reports[0].m_report.m_checkpoint.empty());
    CPPUNIT_ASSERT(ActionsOf<StartTask>(agent.Advance(10s)).empty());
  }

  /// Guards against two attempts of an exclusive job that run at the same time: a start crossed a
  /// restart of the worker and was taken for lost, but took effect. Found by fault injection.
  void StartThatCrossesARestartIsStoppedBeforeItIsReported() {
    AgentFixture agent;
    const Time asked = agent.m_now;
    agent.m_now += 2ms;
    (void)agent.Send(AgentFixture::StartOf("j", agent.Reserve("j").m_reservation, true));
    const auto actions =
        OnTaskList(agent.m_ledger, {.m_asked = asked, .m_restarted = true}, agent.m_now);
    CPPUNIT_ASSERT(ActionsOf<SendReport>(actions).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ActionsOf<StopTask>(actions).size());
    // The worker does not know the task, but the task may have run before the restart.
    const auto refused =
        agent.SendTaskEvent({.m_kind = TaskEventKind::kStartRefused, .m_task = {{"j"}, 1}});
    const auto reports = ActionsOf<SendReport>(refused);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports.size());
    CPPUNIT_ASSERT(reports[0].m_report.m_phase == AttemptPhase::kStopped);
  }

  /// Guards against a report of "never started" for a task that ran until its worker restarted. The
  /// restarted worker does not know the task and refuses the stop.
  void RefusedStopOfATaskThatRanIsNotReportedAsNeverStarted() {
    AgentFixture agent;
    agent.RunJob("j");
    (void)agent.Send(FenceRequest{.m_job = {"j"}, .m_attempt = 1, .m_epoch = 1, .m_stop = true});
    const auto refused =
        agent.SendTaskEvent({.m_kind = TaskEventKind::kStartRefused, .m_task = {{"j"}, 1}});
    const auto reports = ActionsOf<SendReport>(refused);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports.size());
    CPPUNIT_ASSERT(reports[0].m_report.m_phase == AttemptPhase::kStopped);
  }

  /// Guards against a task that is never started or stopped because a call to the worker was lost.
  void UnconfirmedStartAndStopAreRepeated() {
    AgentFixture agent;
    (void)agent.Send(AgentFixture::StartOf("j", agent.Reserve("j").m_reservation));
    CPPUNIT_ASSERT(!ActionsOf<StartTask>(agent.Advance(2s)).empty());
    (void)agent.Send(CancelRequest{.m_job = {"j"}, .m_epoch = 1});
    const auto actions = agent.Advance(2s);
    CPPUNIT_ASSERT(ActionsOf<StartTask>(actions).empty());
    CPPUNIT_ASSERT(!ActionsOf<StopTask>(actions).empty());
    CPPUNIT_ASSERT(!agent.Ask<CancelReply>(CancelRequest{.m_job = {"j"}, .m_epoch = 1}).m_stopped);
    (void)agent.SendTaskEvent({.m_kind = TaskEventKind::kStartRefused, .m_task = {{"j"}, 1}});
    CPPUNIT_ASSERT(agent.Ask<CancelReply>(CancelRequest{.m_job = {"j"}, .m_epoch = 1}).m_stopped);
  }

  /// Guards against batch work that keeps the processors while requests need them, and against a
  /// second throttle for the same overload because usage reports lag.
  void BatchWorkIsThrottledAtOnceAndGrowsSlowly() {
    AgentFixture agent;
    agent.RunJob("j");
    (void)agent.Request("r", 10ms, 1s);
    const UsageReport busy{.m_used = {16000, 0, 0}, .m_lag = 2s};
    agent.m_now += 10s;
    const auto throttles = ActionsOf<ThrottleTask>(OnUsage(agent.m_ledger, busy, agent.m_now));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, throttles.size());
    CPPUNIT_ASSERT_EQUAL(500U, throttles[0].m_share);
    agent.m_now += 1s;
    (void)OnUsage(agent.m_ledger, busy, agent.m_now);
    CPPUNIT_ASSERT_EQUAL(500U, agent.m_ledger.m_batch_share);
    (void)OnUsage(agent.m_ledger, {.m_used = {1000, 0, 0}, .m_lag = 2s}, agent.m_now);
    CPPUNIT_ASSERT_EQUAL(550U, agent.m_ledger.m_batch_share);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentJobsTest);

}  // namespace
}  // namespace ebonypin::core
