#include "ebonypin/core/fleet/coordinator.h"

#include <cppunit/extensions/HelperMacros.h>

#include "fleet_fixture.h"

namespace ebonypin::core::fleet {
namespace {

using namespace std::chrono_literals;

/// Jobs from submission to end.
class CoordinatorJobsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CoordinatorJobsTest);
  CPPUNIT_TEST(AJobIsAcceptedAndStartedOnlyWhenItIsRecorded);
  CPPUNIT_TEST(ARepeatedSubmissionStaysOneJob);
  CPPUNIT_TEST(AStepWaitsForEveryTaskBeforeIt);
  CPPUNIT_TEST(AJobIsShownAsDoneOnlyWhenThatIsRecorded);
  CPPUNIT_TEST(AnEndIsAcknowledgedOnlyWhenItIsRecorded);
  CPPUNIT_TEST(AFailedTaskIsTriedElsewhereAndFailsItsJobInTheEnd);
  CPPUNIT_TEST(ALongRunningTaskIsRestartedHoweverItEnds);
  CPPUNIT_TEST(ACancelledJobStopsItsRunsAndStartsNothing);
  CPPUNIT_TEST(OnlySubmissionsThatWereNotSentAreWithdrawn);
  CPPUNIT_TEST(PendingCountsJobsThatHaveNotBegun);
  CPPUNIT_TEST(AnOccurrenceIsNotStartedBeforeItIsDue);
  CPPUNIT_TEST(AGangStartsAsAWholeUnderOneNumber);
  CPPUNIT_TEST(AClosedJobIsRemovedAfterItsRetention);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against runs of a job that a power loss would erase.
  void AJobIsAcceptedAndStartedOnlyWhenItIsRecorded() {
    Site site;
    site.Join("a");
    CPPUNIT_ASSERT(!site.Submit(MakeJob("j")).has_value());
    CPPUNIT_ASSERT(site.Starts().empty());
    const auto batch = TakeWrites(site.m_state, site.m_wall);
    CPPUNIT_ASSERT(site.Starts().empty());
    OnWritten(site.m_state, batch);
    const JobCall call{.m_kind = JobCallKind::kSubmit, .m_job = MakeJob("j")};
    CPPUNIT_ASSERT(Resume(site.m_state, call)->m_status == JobCallStatus::kOk);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.Starts().size());
  }

  /// Guards against a repeated call that runs a job twice, and so bills it twice.
  void ARepeatedSubmissionStaysOneJob() {
    Site site;
    site.Join("a");
    site.Accept(MakeJob("j"));
    CPPUNIT_ASSERT(site.Submit(MakeJob("j"))->m_status == JobCallStatus::kOk);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.Starts().size());
    CPPUNIT_ASSERT(site.Starts().empty());
  }

  /// Guards against a step that starts before all its inputs exist.
  void AStepWaitsForEveryTaskBeforeIt() {
    Site site;
    site.Join("a");
    auto job = MakeJob("j", 2);
    job.m_steps.push_back(job.m_steps[0]);
    job.m_steps[1].m_after = {0};
    site.Accept(job);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, site.Starts().size());
    auto report = site.Report("a");
    report.m_runs = {{.m_task = Ref("j", 1), .m_run = 1}};
    report.m_ends = {{.m_number = 1, .m_task = Ref("j", 0), .m_run = 1}};
    (void)OnReport(site.m_state, site.m_now, report);
    CPPUNIT_ASSERT(site.Starts().empty());
    (void)site.End("a", 2, Ref("j", 1), 1, RunOutcome::kDone);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, site.Starts().size());
  }

  /// Guards against showing callers a state that a later coordinator would contradict.
  void AJobIsShownAsDoneOnlyWhenThatIsRecorded() {
    Site site;
    site.Join("a");
    site.Accept(MakeJob("j"));
    (void)site.Starts();
    CPPUNIT_ASSERT(site.PhaseOf("j") == JobPhase::kQueued);
    site.ListPlacedRuns("a");
    CPPUNIT_ASSERT(site.PhaseOf("j") == JobPhase::kRunning);
    (void)site.End("a", 1, Ref("j"), 1, RunOutcome::kDone);
    CPPUNIT_ASSERT(site.PhaseOf("j") == JobPhase::kRunning);
    site.Write();
    CPPUNIT_ASSERT(site.PhaseOf("j") == JobPhase::kDone);
  }

  /// Guards against an end that the worker discards before it is in the store: after a power loss
  /// the task would run a second time.
  void AnEndIsAcknowledgedOnlyWhenItIsRecorded() {
    Site site;
    site.Join("a");
    site.Accept(MakeJob("j"));
    (void)site.Starts();
    const auto reply = site.End("a", 5, Ref("j"), 1, RunOutcome::kDone);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, reply.m_recorded_end);
    site.Write();
    const auto later = site.End("a", 5, Ref("j"), 1, RunOutcome::kDone);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, later.m_recorded_end);
    CPPUNIT_ASSERT(site.Starts().empty());
  }

  /// Guards against retries on a worker where the task failed, and against more attempts than
  /// allowed.
  void AFailedTaskIsTriedElsewhereAndFailsItsJobInTheEnd() {
    Site site;
    for (const auto* agent : {"a", "b", "c"}) site.Join(agent);
    site.Accept(MakeJob("j"));
    std::set<std::string> used;
    for (std::uint64_t attempt = 1; attempt <= 3; ++attempt) {
      const auto starts = site.Starts();
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
      CPPUNIT_ASSERT(used.insert(starts[0].first).second);
      (void)site.End(starts[0].first, attempt, Ref("j"), starts[0].second.m_run,
                     RunOutcome::kFailed);
      site.Advance(1s);
    }
    CPPUNIT_ASSERT(site.Starts().empty());
    site.Write();
    CPPUNIT_ASSERT(site.PhaseOf("j") == JobPhase::kFailed);
  }

  /// Guards against giving up a long-running task after some failures.
  void ALongRunningTaskIsRestartedHoweverItEnds() {
    Site site;
    for (const auto* agent : {"a", "b", "c", "d", "e"}) site.Join(agent);
    auto job = MakeJob("j");
    job.m_steps[0].m_long_running = true;
    site.Accept(job);
    for (std::uint64_t attempt = 1; attempt <= 5; ++attempt) {
      const auto starts = site.Starts();
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
      (void)site.End(starts[0].first, 1, Ref("j"), starts[0].second.m_run, RunOutcome::kFailed);
      site.Advance(1s);
    }
    CPPUNIT_ASSERT(site.PhaseOf("j") == JobPhase::kRunning);
  }

  /// Guards against cancelled work that continues to run or starts later.
  void ACancelledJobStopsItsRunsAndStartsNothing() {
    Site site;
    site.Join("a");
    site.Accept(MakeJob("j", 6));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, site.Starts().size());
    const JobCall cancel{.m_kind = JobCallKind::kCancel, .m_job = {.m_id = {"j"}}};
    CPPUNIT_ASSERT(!OnCall(site.m_state, site.m_now, cancel).has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, site.Stops().size());
    site.Write();
    CPPUNIT_ASSERT(Resume(site.m_state, cancel)->m_status == JobCallStatus::kOk);
    CPPUNIT_ASSERT(site.PhaseOf("j") == JobPhase::kCancelled);
    for (std::uint32_t i = 0; i < 4; ++i) {
      (void)site.End("a", i + 1, Ref("j", i), 1, RunOutcome::kStopped);
    }
    site.Advance(1s);
    CPPUNIT_ASSERT(site.Starts().empty());
    const JobCall unknown{.m_kind = JobCallKind::kCancel, .m_job = {.m_id = {"k"}}};
    CPPUNIT_ASSERT(!OnCall(site.m_state, site.m_now, unknown).has_value());
    site.Write();
    CPPUNIT_ASSERT(Resume(site.m_state, unknown)->m_status == JobCallStatus::kNoSuchJob);
  }

  /// Guards against a wrong queue length in the answers to callers.
  /// Guards against a refusal of a job whose record may be in the store, and which then runs.
  void OnlySubmissionsThatWereNotSentAreWithdrawn() {
    Site site;
    site.Join("a");
    (void)site.Submit(MakeJob("sent"));
    const auto batch = TakeWrites(site.m_state, site.m_wall);
    (void)site.Submit(MakeJob("kept"));
    const Time began = site.m_now;
    site.Advance(site.m_state.m_options.m_append_patience);
    CPPUNIT_ASSERT(!IsStoreSilent(site.m_state, began, site.m_now));
    CPPUNIT_ASSERT(!IsStoreSilent(site.m_state, {}, site.m_now));
    site.Advance(1ms);
    CPPUNIT_ASSERT(IsStoreSilent(site.m_state, began, site.m_now));
    CPPUNIT_ASSERT(WithdrawUnwritten(site.m_state) == std::set<JobId>{{"kept"}});
    CPPUNIT_ASSERT(WithdrawUnwritten(site.m_state).empty());
    CPPUNIT_ASSERT(!HasWrites(site.m_state));
    OnWritten(site.m_state, batch);
    const auto starts = site.Starts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    CPPUNIT_ASSERT(starts[0].second.m_task == Ref("sent"));
    CPPUNIT_ASSERT(!site.Submit(MakeJob("kept")).has_value());
  }

  void PendingCountsJobsThatHaveNotBegun() {
    Site site;
    site.Join("a");
    for (const auto* id : {"j", "k", "l"}) site.Accept(MakeJob(id, 3));
    const JobCall call{.m_kind = JobCallKind::kPending,
                       .m_job = {.m_policy = {.m_queue = {"renders"}}}};
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, Resume(site.m_state, call)->m_pending);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, site.Starts().size());
    site.ListPlacedRuns("a");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Resume(site.m_state, call)->m_pending);
  }

  /// Guards against scheduled work that runs early or twice.
  void AnOccurrenceIsNotStartedBeforeItIsDue() {
    Site site;
    site.Join("a");
    auto job = MakeJob("j");
    job.m_times = 2;
    job.m_first_due = kWall + 1000;
    job.m_interval_ms = 4000;
    site.Accept(job);
    CPPUNIT_ASSERT(site.Starts().empty());
    site.Advance(1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.Starts().size());
    (void)site.End("a", 1, Ref("j"), 1, RunOutcome::kDone);
    site.Advance(3900ms);
    CPPUNIT_ASSERT(site.Starts().empty());
    site.Advance(100ms);
    (void)OnReport(site.m_state, site.m_now, site.Report("a"));
    CPPUNIT_ASSERT_EQUAL(1U, site.Starts().at(0).second.m_task.m_occurrence);
    (void)site.End("a", 2, Ref("j", 0, 0, 1), 1, RunOutcome::kDone);
    site.Write();
    CPPUNIT_ASSERT(site.PhaseOf("j") == JobPhase::kDone);
  }

  /// Guards against members of a gang that take up room while they wait in vain for the others.
  void AGangStartsAsAWholeUnderOneNumber() {
    Site site;
    site.Join("a");
    auto job = MakeJob("j", 6);
    job.m_steps[0].m_gang = true;
    site.Accept(job);
    CPPUNIT_ASSERT(site.Starts().empty());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, site.m_state.m_agents.at({"a"}).m_used.m_cpu_millis);
    site.Join("b");
    const auto starts = site.Starts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, starts.size());
    for (const auto& [agent, start] : starts) CPPUNIT_ASSERT_EQUAL(RunNumber{1}, start.m_run);
    (void)site.End("a", 1, Ref("j"), 1, RunOutcome::kDone);
    site.Write();
    CPPUNIT_ASSERT(site.PhaseOf("j") == JobPhase::kDone);
  }

  /// Guards against unbounded growth of the store and of memory.
  void AClosedJobIsRemovedAfterItsRetention() {
    Site site;
    site.Join("a");
    site.Accept(MakeJob("j"));
    (void)site.Starts();
    (void)site.End("a", 1, Ref("j"), 1, RunOutcome::kDone);
    site.Write();
    site.Advance(site.m_state.m_options.m_closed_retention - 1s);
    Tick(site.m_state, site.m_now, site.m_wall, site.m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.m_state.m_jobs.size());
    site.Advance(2s);
    Tick(site.m_state, site.m_now, site.m_wall, site.m_now);
    CPPUNIT_ASSERT(site.m_state.m_jobs.empty());
    std::set<std::string> removed;
    for (const auto& change : TakeWrites(site.m_state, site.m_wall).m_records) {
      if (const auto* const record = std::get_if<RemovedRecord>(&change)) {
        removed.insert(record->m_key);
      }
    }
    CPPUNIT_ASSERT(removed.count(JobKey({"j"})) == 1 && removed.count(ProgressKey({"j"}, 0)) == 1);
  }
};

/// Runs at agents that stop reporting, restart or answer late.
class CoordinatorAgentsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CoordinatorAgentsTest);
  CPPUNIT_TEST(AnAgentGetsNoGrantBeforeItIsRecorded);
  CPPUNIT_TEST(AMemberThatCameBackStaysRecorded);
  CPPUNIT_TEST(ASilentAgentKeepsItsRunsUntilItsGrantHasEnded);
  CPPUNIT_TEST(AnOrderInTransitIsNotTakenForLost);
  CPPUNIT_TEST(AnAgentThatLostItsSessionLosesWhatItDoesNotList);
  CPPUNIT_TEST(AReportOfAFormerSessionEndsNothing);
  CPPUNIT_TEST(AnOvertakenReportAdoptsNothing);
  CPPUNIT_TEST(ATaskWaitsForItsStrayRun);
  CPPUNIT_TEST(APlacedStepIsOneLogLine);
  CPPUNIT_TEST(AStrayRunIsStopped);
  CPPUNIT_TEST(ARunIsLostWhenItsAgentListsAnEarlierOne);
  CPPUNIT_TEST(NoWorkerIsOvercommitted);
  CPPUNIT_TEST(AWorkerThatShrankGetsNothingBeyondItsRoom);
  CPPUNIT_TEST(AStalledRunIsMoved);
  CPPUNIT_TEST(ATaskThatReportsNoProgressIsGivenTimeToFinish);
  CPPUNIT_TEST(ADrainingWorkerGetsNoTasksAndHandsOverLongRunningOnes);
  CPPUNIT_TEST(LabelsAndLimitsOfAStepAreKept);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against runs that a succeeding coordinator does not know of.
  void AnAgentGetsNoGrantBeforeItIsRecorded() {
    Site site;
    const auto first = site.ReportInNewSession(site.Report("a"));
    CPPUNIT_ASSERT(first.m_session != 0 && first.m_grant == Duration{});
    site.Accept(MakeJob("j"));
    const auto second = OnReport(site.m_state, site.m_now, site.Report("a"));
    CPPUNIT_ASSERT(second.m_grant == site.m_state.m_options.m_grant);
  }

  /// Guards against a succeeding coordinator that does not wait for this agent's runs. The agent's
  /// removal and its new record were in one batch in the wrong order, which led to two runs at once
  /// (HistoryTest, seed 22313130275276).
  void AMemberThatCameBackStaysRecorded() {
    Site site;
    site.Join("a");
    site.Advance(site.m_state.m_options.m_grant + site.m_state.m_options.m_lapse_slack + 1ms);
    Tick(site.m_state, site.m_now, site.m_wall, site.m_now);
    (void)site.ReportInNewSession(site.Report("a"));
    const auto batch = TakeWrites(site.m_state, site.m_wall);
    CPPUNIT_ASSERT(std::holds_alternative<RemovedRecord>(batch.m_records.front()));
    CPPUNIT_ASSERT(std::holds_alternative<MemberRecord>(batch.m_records.back()));
  }

  /// Guards against a second run while the first continues on a worker that is cut off.
  void ASilentAgentKeepsItsRunsUntilItsGrantHasEnded() {
    Site site;
    site.Join("a");
    site.Accept(MakeJob("j"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.Starts().size());
    site.Join("b");
    const auto silent = site.m_now;
    while (site.m_now - silent <=
           site.m_state.m_options.m_grant + site.m_state.m_options.m_lapse_slack) {
      Tick(site.m_state, site.m_now, site.m_wall, site.m_now);
      (void)OnReport(site.m_state, site.m_now, site.Report("b"));
      CPPUNIT_ASSERT(site.Starts().empty());
      site.Advance(100ms);
    }
    Tick(site.m_state, site.m_now, site.m_wall, site.m_now);
    site.Advance(200ms);
    const auto starts = site.Starts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    CPPUNIT_ASSERT_EQUAL(std::string{"b"}, starts[0].first);
    CPPUNIT_ASSERT_EQUAL(RunNumber{2}, starts[0].second.m_run);
  }

  /// Guards against a second start while the first order is still in transit.
  void AnOrderInTransitIsNotTakenForLost() {
    Site site;
    site.Join("a");
    auto before = site.Report("a");
    site.Accept(MakeJob("j"));
    (void)site.Starts();
    (void)OnReport(site.m_state, site.m_now, before);
    site.Advance(1s);
    CPPUNIT_ASSERT(site.Starts().empty());
    (void)OnReport(site.m_state, site.m_now, site.Report("a"));
    site.Advance(1s);
    CPPUNIT_ASSERT_EQUAL(RunNumber{2}, site.Starts().at(0).second.m_run);
  }

  /// Guards against treating orders of a former session as carried out.
  void AnAgentThatLostItsSessionLosesWhatItDoesNotList() {
    Site site;
    site.Join("a");
    site.Accept(MakeJob("j", 2));
    (void)site.Starts();
    auto report = site.Report("a");
    report.m_runs = {{.m_task = Ref("j", 1), .m_run = 1}};
    const auto old_session = site.m_state.m_agents.at({"a"}).m_session;
    const auto reply = site.ReportInNewSession(report);
    CPPUNIT_ASSERT(reply.m_session != old_session);
    site.Advance(1s);
    const auto starts = site.Starts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    CPPUNIT_ASSERT_EQUAL(0U, starts[0].second.m_task.m_index);
  }

  /// Guards against a second run of a task after a delayed report. The report was sent before the
  /// session in which the start was ordered, so it does not list the run. This happens when workers
  /// are cut off and return.
  void AReportOfAFormerSessionEndsNothing() {
    Site site;
    auto held_up = site.Report("a");
    site.Join("a");
    site.Accept(MakeJob("j"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.Starts().size());
    const auto session = site.m_state.m_agents.at({"a"}).m_session;
    (void)OnReport(site.m_state, site.m_now, held_up);
    site.Advance(1s);
    CPPUNIT_ASSERT(site.Starts().empty());
    CPPUNIT_ASSERT_EQUAL(session, site.m_state.m_agents.at({"a"}).m_session);
  }

  /// Guards against adopting a run that an overtaken report lists although it has ended since.
  void AnOvertakenReportAdoptsNothing() {
    Site site;
    site.Join("a");
    site.Accept(MakeJob("j"));
    (void)site.Starts();
    auto overtaken = site.Report("a");
    overtaken.m_runs = {{.m_task = Ref("j"), .m_run = 1}};
    (void)site.End("a", 1, Ref("j"), 1, RunOutcome::kStopped);
    (void)OnReport(site.m_state, site.m_now, overtaken);
    CPPUNIT_ASSERT_EQUAL(RunNumber{2}, site.Starts().at(0).second.m_run);
  }

  /// Guards against starting a task while an agent still lists a stray run of it.
  void ATaskWaitsForItsStrayRun() {
    Site site;
    site.Join("a");
    site.Accept(MakeJob("j"));
    (void)site.Starts();
    (void)site.ReportInNewSession(site.Report("a"));
    site.Advance(1s);
    site.Join("b");
    const auto second = site.Starts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, second.size());
    (void)site.ReportInNewSession(site.Report(second[0].first));
    auto stray = site.Report("a");
    stray.m_runs = {{.m_task = Ref("j"), .m_run = 1}};
    (void)OnReport(site.m_state, site.m_now, stray);
    site.Advance(1s);
    CPPUNIT_ASSERT(site.Starts().empty());
    (void)OnReport(site.m_state, site.m_now, site.Report("a"));
    CPPUNIT_ASSERT_EQUAL(RunNumber{3}, site.Starts().at(0).second.m_run);
  }

  /// Guards against dropped log lines on a site of hundreds of workers: with one line per task, two
  /// thirds of the placements were missing from the log at a peak of 900 starts a second.
  void APlacedStepIsOneLogLine() {
    Site site;
    site.Join("a");
    site.Join("b");
    site.Accept(MakeJob("j", 8));
    site.m_state.m_decisions.clear();
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, site.Starts().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.m_state.m_decisions.size());
    const auto& decision = site.m_state.m_decisions[0];
    CPPUNIT_ASSERT_EQUAL(std::string{"runs placed"}, std::string{decision.m_what});
    CPPUNIT_ASSERT(decision.m_reason.starts_with("8 tasks: 0"));
    CPPUNIT_ASSERT(decision.m_reason.find(" at a (committed ") != std::string::npos);
    CPPUNIT_ASSERT(decision.m_reason.find(" at b (committed ") != std::string::npos);
  }

  /// Guards against runs of unknown tasks that continue until their lease ends.
  void AStrayRunIsStopped() {
    Site site;
    site.Join("a");
    auto report = site.Report("a");
    report.m_runs = {{.m_task = Ref("gone"), .m_run = 3}};
    (void)OnReport(site.m_state, site.m_now, report);
    CPPUNIT_ASSERT(site.Stops() == std::vector<TaskRef>{Ref("gone")});
  }

  /// Guards against a task that waits for ever for a start that its agent ignored because an
  /// earlier run of the task was still there, and against a start beside that run.
  void ARunIsLostWhenItsAgentListsAnEarlierOne() {
    Site site;
    site.Join("a");
    site.Accept(MakeJob("j"));
    (void)site.Starts();
    site.m_state.m_jobs.at({"j"}).m_occurrences.at(0).m_steps[0].m_tasks[0].m_run = 2;
    auto report = site.Report("a");
    report.m_runs = {{.m_task = Ref("j"), .m_run = 1}};
    (void)OnReport(site.m_state, site.m_now, report);
    CPPUNIT_ASSERT(!site.Stops().empty());
    site.Join("b");
    site.Advance(1s);
    CPPUNIT_ASSERT(site.Starts().empty());
    (void)OnReport(site.m_state, site.m_now, site.Report("a"));
    site.m_state.m_agents.at({"a"}).m_worker.m_draining = true;
    const auto starts = site.Starts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    CPPUNIT_ASSERT_EQUAL(std::string{"b"}, starts[0].first);
  }

  /// Guards against overcommitting a worker, since workers do not refuse runs that do not fit.
  void NoWorkerIsOvercommitted() {
    Site site;
    site.Join("a");
    site.Accept(MakeJob("j", 9));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, site.Starts().size());
    const JobCall cancel{.m_kind = JobCallKind::kCancel, .m_job = {.m_id = {"j"}}};
    (void)OnCall(site.m_state, site.m_now, cancel);
    site.Accept(MakeJob("k"));
    // Runs that are being stopped still take up room.
    CPPUNIT_ASSERT(site.Starts().empty());
    (void)site.End("a", 1, Ref("j"), 1, RunOutcome::kStopped);
    site.Advance(1s);
    CPPUNIT_ASSERT(!site.Starts().empty());
  }

  /// Guards against tasks that make no progress on a worker whose heartbeats are good.
  void AStalledRunIsMoved() {
    Site site;
    site.Join("a");
    site.Accept(MakeJob("j"));
    (void)site.Starts();
    site.Join("b");
    for (int i = 0; i < 40; ++i) {
      auto report = site.Report("a");
      report.m_last_order = 1;  // The start; the stop is not taken yet.
      report.m_runs = {{.m_task = Ref("j"), .m_run = 1, .m_percent = 30}};
      (void)OnReport(site.m_state, site.m_now, report);
      (void)OnReport(site.m_state, site.m_now, site.Report("b"));
      Tick(site.m_state, site.m_now, site.m_wall, site.m_now);
      site.Advance(100ms);
    }
    CPPUNIT_ASSERT(site.Stops() == std::vector<TaskRef>{Ref("j")});
    (void)site.End("a", 1, Ref("j"), 1, RunOutcome::kStopped);
    CPPUNIT_ASSERT_EQUAL(std::string{"b"}, site.Starts().at(0).first);
  }

  /// Guards against a task that never finishes because it reports no progress and is stopped again
  /// and again.
  void ATaskThatReportsNoProgressIsGivenTimeToFinish() {
    Site site;
    site.Join("a");
    site.Accept(MakeJob("j"));
    RunNumber run = 0;
    Time started;
    Duration longest{};
    for (int i = 0; i < 400; ++i) {
      for (const auto& [agent, start] : site.Starts()) {
        run = start.m_run;
        started = site.m_now;
      }
      auto report = site.Report("a");
      if (!site.Stops().empty()) {
        OnOrdersTaken(site.m_state, {"a"}, report.m_session, report.m_last_order);
        (void)site.End("a", run, Ref("j"), run, RunOutcome::kStopped);
      } else if (run > 0) {
        longest = std::max(longest, site.m_now - started);
        report.m_runs = {{.m_task = Ref("j"), .m_run = run}};
        (void)OnReport(site.m_state, site.m_now, report);
      }
      Tick(site.m_state, site.m_now, site.m_wall, site.m_now);
      site.Advance(100ms);
    }
    CPPUNIT_ASSERT(longest > 10s);
  }

  /// Guards against losing a long-running task when its worker leaves, and against new starts
  /// there.
  /// Guards against starts beyond the capacity of a worker that has shrunk, where a run that is
  /// being stopped still takes its room.
  void AWorkerThatShrankGetsNothingBeyondItsRoom() {
    Site site;
    site.Join("a");
    site.Accept(MakeJob("running", 2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, site.Starts().size());
    const auto report = [&](const std::int64_t cpu_millis, const std::uint32_t runs) {
      auto next = site.Report("a");
      next.m_worker.m_capacity.m_cpu_millis = cpu_millis;
      for (std::uint32_t i = 0; i < runs; ++i) {
        next.m_runs.push_back({.m_task = Ref("running", i), .m_run = 1});
      }
      (void)OnReport(site.m_state, site.m_now, next);
    };
    report(2000, 2);
    site.Accept(MakeJob("waiting", 2));
    CPPUNIT_ASSERT(site.Starts().empty());
    (void)OnCall(site.m_state, site.m_now,
                 {.m_kind = JobCallKind::kCancel, .m_job = {.m_id = {"running"}}});
    site.Write();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, site.Stops().size());
    CPPUNIT_ASSERT(site.Starts().empty());
    report(2000, 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.Starts().size());
    report(4000, 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.Starts().size());
  }

  void ADrainingWorkerGetsNoTasksAndHandsOverLongRunningOnes() {
    Site site;
    site.Join("a");
    auto job = MakeJob("j");
    job.m_steps[0].m_long_running = true;
    site.Accept(job);
    (void)site.Starts();
    auto report = site.Report("a");
    report.m_runs = {{.m_task = Ref("j"), .m_run = 1, .m_percent = 100}};
    report.m_worker.m_draining = true;
    (void)OnReport(site.m_state, site.m_now, report);
    site.Accept(MakeJob("k"));
    CPPUNIT_ASSERT(site.Starts().empty());
    Tick(site.m_state, site.m_now, site.m_wall, site.m_now);
    CPPUNIT_ASSERT(site.Stops() == std::vector<TaskRef>{Ref("j")});
  }

  /// Guards against starts on workers that the step does not allow.
  void LabelsAndLimitsOfAStepAreKept() {
    Site site;
    site.Join("a");
    auto labelled = site.Report("b");
    labelled.m_worker.m_labels = {"fast"};
    (void)site.ReportInNewSession(labelled);
    site.Write();
    auto job = MakeJob("j", 4);
    job.m_steps[0].m_required_label = "fast";
    job.m_steps[0].m_max_per_worker = 2;
    site.Accept(job);
    const auto starts = site.Starts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, starts.size());
    for (const auto& [agent, start] : starts) CPPUNIT_ASSERT_EQUAL(std::string{"b"}, agent);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoordinatorJobsTest);
CPPUNIT_TEST_SUITE_REGISTRATION(CoordinatorAgentsTest);

}  // namespace
}  // namespace ebonypin::core::fleet
