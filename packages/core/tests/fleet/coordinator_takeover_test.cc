#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "ebonypin/core/fleet/coordinator.h"
#include "fleet_fixture.h"

namespace ebonypin::core::fleet {
namespace {

using namespace std::chrono_literals;

std::string MemberName(const int number) { return "m-" + std::to_string(number); }

/// Returns a site whose new coordinator inherits one job and `members` members that are silent.
Site TakenOver(const int members) {
  Site site;
  site.m_state.m_epoch = 2;
  Restore(site.m_state, site.m_now, MakeServingJob("watch", 1, {"search"}));
  for (int i = 0; i < members; ++i) {
    Restore(site.m_state, MemberRecord{.m_agent = {MemberName(i)},
                                       .m_rpc_address = MemberName(i),
                                       .m_worker = {"w-" + MemberName(i)}});
  }
  FinishRestore(site.m_state, site.m_now, {.m_until = site.m_now + 15s});
  return site;
}

/// Takeover by a new coordinator.
class CoordinatorTakeoverTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CoordinatorTakeoverTest);
  CPPUNIT_TEST(InheritedWorkWaitsForSilentMembers);
  CPPUNIT_TEST(InheritedWorkDoesNotWaitForWorkersThatEnded);
  CPPUNIT_TEST(ACutOffWorkerIsWaitedFor);
  CPPUNIT_TEST(AMemberIsRecordedAnewWithItsNextWorker);
  CPPUNIT_TEST(ListedRunsAreAdopted);
  CPPUNIT_TEST(OccurrencesOfAClockThatWasAheadGoOn);
  CPPUNIT_TEST(ARestartedAgentIsToldWhatItsRunsAre);
  CPPUNIT_TEST(EndsOfSeveralRunsCountInAnyOrder);
  CPPUNIT_TEST(RecordedProgressIsRestored);
  CPPUNIT_TEST(TheInterferenceModelOutlivesItsCoordinator);
  CPPUNIT_TEST(OddRecordsOfJobsAreIgnored);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a second run of a task of an occurrence that the former coordinator, whose
  /// clock was ahead, has opened, and which is not due yet by the clock of the new one.
  void OccurrencesOfAClockThatWasAheadGoOn() {
    Site site;
    site.m_state.m_epoch = 2;
    auto timed = MakeJob("timed", 2);
    timed.m_times = 2;
    timed.m_first_due = site.m_wall + 1000;
    timed.m_interval_ms = 60'000;
    Restore(site.m_state, site.m_now, timed);
    Restore(site.m_state, MemberRecord{.m_agent = {"a"}, .m_rpc_address = "a"});
    FinishRestore(site.m_state, site.m_now, {.m_until = site.m_now + 15s});
    auto report = site.Report("a");
    report.m_runs = {{.m_task = Ref("timed", 0), .m_run = 1}};
    report.m_ends = {{.m_number = 1, .m_task = Ref("timed", 1), .m_run = 1}};
    (void)site.ReportInNewSession(report);
    CPPUNIT_ASSERT(site.Stops().empty());
    site.Advance(2s);
    CPPUNIT_ASSERT(site.Starts().empty());

    // The second occurrence is not due, and the end that was counted is in the record.
    const auto& job = site.m_state.m_jobs.at({"timed"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, job.m_occurrences.size());
    const auto& tasks = job.m_occurrences.at(0).m_steps[0].m_tasks;
    CPPUNIT_ASSERT(tasks[0].m_phase == TaskPhase::kPlaced);
    CPPUNIT_ASSERT(tasks[1].m_phase == TaskPhase::kDone);

    // Occurrences that the job does not have are not opened.
    report.m_runs = {{.m_task = Ref("timed", 0, 0, 2), .m_run = 1}};
    (void)site.ReportInNewSession(report);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, job.m_occurrences.size());
  }

  /// Guards against a record of another writer that ends each coordinator that reads it: an index
  /// beyond the steps, more tasks than fit into memory, or occurrences that never end.
  void OddRecordsOfJobsAreIgnored() {
    Site site;
    site.m_state.m_epoch = 2;
    auto beyond = MakeJob("beyond");
    beyond.m_steps[0].m_after = {1'000'000};
    Restore(site.m_state, site.m_now, beyond);
    Restore(site.m_state, site.m_now, MakeJob("huge", 4'000'000'000));
    auto times = MakeJob("times");
    times.m_times = 4'000'000'000;
    Restore(site.m_state, site.m_now, times);
    Restore(site.m_state, site.m_now, MakeJob("good", 2));
    Restore(site.m_state, JobProgress{.m_job = {"good"},
                                      .m_closed_occurrences = {7, 4'000'000'000},
                                      .m_tasks = {{.m_occurrence = 4'000'000'000, .m_done = true},
                                                  {.m_index = 9, .m_done = true},
                                                  {.m_index = 1, .m_done = true},
                                                  {.m_index = 1, .m_done = true}}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, site.m_state.m_jobs.size());
    FinishRestore(site.m_state, site.m_now, {.m_until = site.m_now});
    Plan(site.m_state, site.m_now, 0);
    CPPUNIT_ASSERT(site.m_state.m_jobs.at({"times"}).m_occurrences.size() <= kMaxTasksPerJob);
    const auto& good = site.m_state.m_jobs.at({"good"});
    CPPUNIT_ASSERT(!good.m_closed);
    CPPUNIT_ASSERT_EQUAL(1U, good.m_occurrences.at(0).m_steps[0].m_left);
  }

  /// Guards against a second run of a task that still runs at an agent which the new coordinator
  /// cannot reach.
  void InheritedWorkWaitsForSilentMembers() {
    Site site;
    site.m_state.m_epoch = 2;
    Restore(site.m_state, site.m_now, MakeJob("old"));
    Restore(site.m_state, MemberRecord{.m_agent = {"a"}, .m_rpc_address = "a"});
    FinishRestore(site.m_state, site.m_now, {.m_until = site.m_now + 15s});
    site.Join("b");
    site.Accept(MakeJob("new"));
    const auto starts = site.Starts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    CPPUNIT_ASSERT_EQUAL(std::string{"new"}, starts[0].second.m_task.m_job.m_value);
    site.Advance(15s);
    Tick(site.m_state, site.m_now, site.m_wall, site.m_now);
    site.Join("b");
    CPPUNIT_ASSERT(site.m_state.m_silent_members.empty());
    const auto later = site.Starts();
    CPPUNIT_ASSERT(std::any_of(later.begin(), later.end(), [](const auto& start) {
      return start.second.m_task == Ref("old") && start.second.m_run > 4096;
    }));
  }

  /// Guards against lasting tasks that stay away for a quarter of a minute because a coordinator
  /// died while workers were being removed: of 300 members a tenth never reports again.
  void InheritedWorkDoesNotWaitForWorkersThatEnded() {
    constexpr int kMembers = 300;
    Site site = TakenOver(kMembers);
    std::set<WorkerId> live;
    for (int i = 0; i < kMembers; ++i) {
      if (i % 10 == 0) continue;
      site.Join(MemberName(i));
      live.insert({"w-" + MemberName(i)});
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{kMembers / 10}, site.m_state.m_silent_members.size());
    OnLiveWorkers(site.m_state, site.m_now, live);
    CPPUNIT_ASSERT(site.Starts().empty());
    site.Advance(site.m_state.m_options.m_unlisted_time);
    OnLiveWorkers(site.m_state, site.m_now, live);
    CPPUNIT_ASSERT(site.m_state.m_silent_members.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.Starts().size());
    // The records of the ended members are removed, so that a later coordinator does not wait.
    const auto batch = TakeWrites(site.m_state, site.m_wall);
    CPPUNIT_ASSERT_EQUAL(
        std::ptrdiff_t{kMembers / 10},
        std::count_if(batch.m_records.begin(), batch.m_records.end(), [](const auto& record) {
          return std::holds_alternative<RemovedRecord>(record);
        }));
  }

  /// Guards against a second run of a task that runs on at a worker which cannot be reached, and
  /// against one list that missed a worker.
  void ACutOffWorkerIsWaitedFor() {
    Site site = TakenOver(1);
    const std::set<WorkerId> live{{"w-" + MemberName(0)}};
    site.Join("b");
    for (const auto& listed : {std::set<WorkerId>{}, live, std::set<WorkerId>{}, live}) {
      OnLiveWorkers(site.m_state, site.m_now, listed);
      site.Advance(site.m_state.m_options.m_unlisted_time);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.m_state.m_silent_members.size());
    CPPUNIT_ASSERT(site.Starts().empty());
  }

  /// Guards against a successor that takes an agent's next worker for ended because the record
  /// names the one before it.
  void AMemberIsRecordedAnewWithItsNextWorker() {
    Site site;
    site.Join("a");
    auto report = site.Report("a");
    report.m_worker.m_id = {"next"};
    CPPUNIT_ASSERT(OnReport(site.m_state, site.m_now, report).m_grant == Duration{});
    const auto batch = TakeWrites(site.m_state, site.m_wall);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, batch.m_members.size());
    CPPUNIT_ASSERT_EQUAL(std::string{"next"}, batch.m_members[0].m_record.m_worker.m_value);
    report.m_worker.m_id = {"one after"};
    report.m_number += 100;
    (void)OnReport(site.m_state, site.m_now, report);
    OnWritten(site.m_state, batch);
    CPPUNIT_ASSERT(!site.m_state.m_agents.at({"a"}).m_recorded);
  }

  /// Guards against a takeover that stops running tasks or starts them twice.
  void ListedRunsAreAdopted() {
    Site site;
    site.m_state.m_epoch = 2;
    Restore(site.m_state, site.m_now, MakeJob("j"));
    Restore(site.m_state, MemberRecord{.m_agent = {"a"}, .m_rpc_address = "a"});
    FinishRestore(site.m_state, site.m_now, {.m_until = site.m_now + 15s});
    auto report = site.Report("a");
    report.m_runs = {{.m_task = Ref("j"), .m_run = 3, .m_percent = 40}};
    (void)site.ReportInNewSession(report);
    CPPUNIT_ASSERT(site.Starts().empty());
    CPPUNIT_ASSERT(site.Stops().empty());
    (void)site.End("a", 9, Ref("j"), 3, RunOutcome::kDone);
    site.Write();
    CPPUNIT_ASSERT(site.PhaseOf("j") == JobPhase::kDone);
  }

  void ARestartedAgentIsToldWhatItsRunsAre() {
    Site site;
    site.Join("a");
    site.Accept(MakeServingJob("watch", 1, {"search"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.Starts().size());
    auto report = site.Report("a");
    report.m_runs = {{.m_task = Ref("watch"), .m_run = 1, .m_order_known = false}};
    (void)site.ReportInNewSession(report);
    const auto& orders = site.m_state.m_agents.at({"a"}).m_orders;
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
    CPPUNIT_ASSERT(orders[0].m_kind == OrderKind::kDescribe);
    CPPUNIT_ASSERT(orders[0].m_start.m_latency_target == 18ms);
    CPPUNIT_ASSERT_EQUAL(std::string{"search"}, orders[0].m_start.m_image.m_value);
  }

  /// Guards against a failure that is not counted because another agent reported the end of a later
  /// run first. It happened with a store outage and a change of coordinator, and led to a fourth
  /// attempt.
  void EndsOfSeveralRunsCountInAnyOrder() {
    Site site;
    site.m_state.m_epoch = 2;
    Restore(site.m_state, site.m_now, MakeJob("j"));
    Restore(site.m_state, JobProgress{.m_job = {"j"}, .m_tasks = {{.m_failures = 1, .m_run = 1}}});
    FinishRestore(site.m_state, site.m_now, {.m_until = site.m_now});
    (void)site.End("a", 4, Ref("j"), 3, RunOutcome::kFailed);
    (void)site.End("b", 2, Ref("j"), 2, RunOutcome::kFailed);
    (void)site.End("b", 2, Ref("j"), 2, RunOutcome::kFailed);
    site.Write();
    CPPUNIT_ASSERT(site.PhaseOf("j") == JobPhase::kFailed);
    CPPUNIT_ASSERT(site.Starts().empty());
  }

  /// Guards against filling tasks that disturb serving tasks after a rolling restart or a power
  /// loss until the interference model is learned again.
  void TheInterferenceModelOutlivesItsCoordinator() {
    Site before;
    before.Join("a");
    ObserveLatency(before.m_state.m_pairs, {"watch"}, 4.0);
    before.m_state.m_pairs.m_pairs[{{"watch"}, {"press"}}] = {.m_growth = 2.5,
                                                              .m_learned = before.m_now};
    before.m_state.m_pairs_changed = true;
    Tick(before.m_state, before.m_now, before.m_wall, before.m_now);
    Site after;
    after.m_state.m_epoch = 2;
    for (const auto& change : TakeWrites(before.m_state, before.m_wall).m_records) {
      if (const auto* const pairs = std::get_if<ImagePairsRecord>(&change)) {
        Restore(after.m_state, after.m_now, *pairs);
      }
    }
    CPPUNIT_ASSERT_EQUAL(2.5,
                         GrowthWhenFull(after.m_state.m_pairs, {"watch"}, {"press"}, after.m_now));
    CPPUNIT_ASSERT_EQUAL(IdleLatency(before.m_state.m_pairs, {"watch"}),
                         IdleLatency(after.m_state.m_pairs, {"watch"}));
    before.Advance(1s);
    before.m_state.m_pairs_changed = true;
    Tick(before.m_state, before.m_now, before.m_wall, before.m_now);
    CPPUNIT_ASSERT(!before.m_state.m_unwritten_pairs);
  }

  /// Guards against work that is repeated after the loss of all processes.
  void RecordedProgressIsRestored() {
    Site before;
    before.Join("a");
    before.Accept(MakeJob("j", 2));
    (void)before.Starts();
    auto report = before.Report("a");
    report.m_ends = {{.m_number = 1, .m_task = Ref("j", 0), .m_run = 1},
                     {.m_number = 2,
                      .m_task = Ref("j", 1),
                      .m_run = 1,
                      .m_outcome = RunOutcome::kStopped,
                      .m_checkpoint = "half"}};
    (void)OnReport(before.m_state, before.m_now, report);
    Site after;
    after.m_state.m_epoch = 2;
    Restore(after.m_state, after.m_now, MakeJob("j", 2));
    for (const auto& change : TakeWrites(before.m_state, before.m_wall).m_records) {
      if (const auto* const progress = std::get_if<JobProgress>(&change)) {
        Restore(after.m_state, *progress);
      }
    }
    FinishRestore(after.m_state, after.m_now, {.m_until = after.m_now});
    after.Join("b");
    const auto starts = after.Starts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    CPPUNIT_ASSERT(starts[0].second.m_task == Ref("j", 1));
    CPPUNIT_ASSERT_EQUAL(std::string{"half"}, starts[0].second.m_checkpoint);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoordinatorTakeoverTest);

}  // namespace
}  // namespace ebonypin::core::fleet
