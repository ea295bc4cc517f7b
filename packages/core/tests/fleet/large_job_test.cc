#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <set>

#include "ebonypin/core/fleet/coordinator.h"
#include "fleet_fixture.h"

namespace ebonypin::core::fleet {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t kManyTasks = 4000;
const std::string kState(64, 's');

/// Newest records by key, as the store keeps them.
using StoredRecords = std::map<std::string, RecordChange>;

void Store(StoredRecords& stored, const RecordChange& change) {
  if (const auto* const removed = std::get_if<RemovedRecord>(&change)) {
    stored.erase(removed->m_key);
  } else {
    stored.insert_or_assign(KeyOf(change), change);
  }
}

/// Returns a coordinator of the next epoch that has read the records in the order of their keys.
Site Successor(const StoredRecords& stored) {
  Site site;
  site.m_state.m_epoch = 2;
  for (const auto& [key, change] : stored) {
    if (const auto* const job = std::get_if<JobSpec>(&change)) {
      Restore(site.m_state, site.m_now, *job);
    } else if (const auto* const progress = std::get_if<JobProgress>(&change)) {
      Restore(site.m_state, *progress);
    }
  }
  FinishRestore(site.m_state, site.m_now, {.m_until = site.m_now});
  return site;
}

JobSpec MakeLargeJob(const std::uint32_t count) {
  auto job = MakeJob("large", count);
  job.m_steps[0].m_size = {.m_cpu_millis = 1};
  job.m_steps[0].m_checkpointing = true;
  return job;
}

/// Site whose only agent lists a run of each task, with `state` saved.
Site SiteAtWork(const JobSpec& job, const std::string& state) {
  Site site;
  Restore(site.m_state, site.m_now, job);
  FinishRestore(site.m_state, site.m_now, {.m_until = site.m_now});
  auto report = site.Report("a");
  for (std::uint32_t step = 0; step < job.m_steps.size(); ++step) {
    for (std::uint32_t i = 0; i < job.m_steps[step].m_count; ++i) {
      report.m_runs.push_back(
          {.m_task = Ref(job.m_id.m_value, i, step), .m_run = 1, .m_checkpoint = state});
    }
  }
  (void)site.ReportInNewSession(report);
  site.Write();
  return site;
}

/// Reports that all runs of tasks from `first` to `last` have ended, as the ends that follow.
void EndRuns(Site& site, const std::uint32_t first, const std::uint32_t last,
             const RunOutcome outcome, const std::string& state = {}) {
  auto report = site.Report("a");
  report.m_ends_complete = false;  // The other runs go on.
  for (std::uint32_t i = first; i < last; ++i) {
    report.m_ends.push_back({.m_number = i + 1,
                             .m_task = Ref("large", i),
                             .m_run = 1,
                             .m_outcome = outcome,
                             .m_checkpoint = state});
  }
  (void)OnReport(site.m_state, site.m_now, report);
}

std::size_t BytesOf(const WriteBatch& batch) {
  std::size_t bytes = 0;
  for (const auto& change : batch.m_records) bytes += MaxRecordBytes(change);
  return bytes;
}

std::size_t CountDone(const Site& site) {
  std::size_t done = 0;
  for (const auto& [number, occurrence] : site.m_state.m_jobs.at({"large"}).m_occurrences) {
    for (const auto& step : occurrence.m_steps) done += step.m_tasks.size() - step.m_left;
  }
  return done;
}

/// Jobs whose progress is larger than a record or an append of the store.
class LargeJobTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LargeJobTest);
  CPPUNIT_TEST(NoRecordIsLargerThanTheStoreTakes);
  CPPUNIT_TEST(AChangeOfOneTaskWritesOnePart);
  CPPUNIT_TEST(ASuccessorContinuesFromTheParts);
  CPPUNIT_TEST(NoAppendIsLargerThanTheStoreTakes);
  CPPUNIT_TEST(ADoneJobAndItsPartsAreRecordedTogether);
  CPPUNIT_TEST(PartsOfAnOccurrenceOutliveItsRecord);
  CPPUNIT_TEST(ProgressOfAnEarlierVersionMovesIntoParts);
  CPPUNIT_TEST(TheEndOfAGangIsWrittenForAllMembers);
  CPPUNIT_TEST(AGangThatIsRecordedInPartIsDone);
  CPPUNIT_TEST(LeftoverPartsAreRemoved);
  CPPUNIT_TEST(AJobIsForgottenBeforeItsProgress);
  CPPUNIT_TEST(AnAcknowledgedEndIsNeverLost);
  CPPUNIT_TEST(SubmissionsThatTheStoreRefusesAreFound);
  CPPUNIT_TEST(TheNewestPairsAreKept);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a progress record that the store refuses for good, behind which nothing is
  /// stored any more.
  void NoRecordIsLargerThanTheStoreTakes() {
    for (const auto length : {std::size_t{64}, std::size_t{1200}, kMaxCheckpointBytes}) {
      auto site = SiteAtWork(MakeLargeJob(kManyTasks), {});
      EndRuns(site, 0, kManyTasks, RunOutcome::kStopped, std::string(length, 's'));
      std::size_t records = 0;
      while (HasWrites(site.m_state)) {
        const auto batch = TakeWrites(site.m_state, site.m_wall);
        for (const auto& change : batch.m_records) {
          CPPUNIT_ASSERT(MaxRecordBytes(change) <= RecordLimits{}.m_record_bytes);
        }
        records += batch.m_records.size();
        OnWritten(site.m_state, batch);
      }
      CPPUNIT_ASSERT(records >= kManyTasks / kTasksPerPart);
    }
    // States that do not fit into the records of a store with lower limits are left out.
    auto site = SiteAtWork(MakeLargeJob(kManyTasks), {});
    site.m_state.m_options.m_record_limits = {.m_record_bytes = 32'768, .m_append_bytes = 65'536};
    EndRuns(site, 0, kManyTasks, RunOutcome::kStopped, std::string(kMaxCheckpointBytes, 's'));
    while (HasWrites(site.m_state)) {
      const auto batch = TakeWrites(site.m_state, site.m_wall);
      CPPUNIT_ASSERT(BytesOf(batch) <= 65'536);
      for (const auto& change : batch.m_records) CPPUNIT_ASSERT(MaxRecordBytes(change) <= 32'768);
      OnWritten(site.m_state, batch);
    }
  }

  /// Guards against writing all tasks of a job each time one of them ends, which is more than a
  /// partition of the store takes.
  void AChangeOfOneTaskWritesOnePart() {
    auto site = SiteAtWork(MakeLargeJob(kManyTasks), kState);
    EndRuns(site, 100, 101, RunOutcome::kDone);
    const auto batch = TakeWrites(site.m_state, site.m_wall);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, batch.m_records.size());
    const auto& part = std::get<JobProgress>(batch.m_records[0]);
    CPPUNIT_ASSERT_EQUAL(100 / kTasksPerPart, part.m_part);
    CPPUNIT_ASSERT_EQUAL(std::size_t{kTasksPerPart}, part.m_tasks.size());
  }

  /// Guards against tasks that are run again, or lose their saved state, because a successor reads
  /// only some of the parts.
  void ASuccessorContinuesFromTheParts() {
    const auto job = MakeLargeJob(100);
    auto site = SiteAtWork(job, kState);
    StoredRecords stored;
    Store(stored, job);
    EndRuns(site, 0, 60, RunOutcome::kDone);
    EndRuns(site, 60, 100, RunOutcome::kStopped, "half");
    for (const auto& change : TakeWrites(site.m_state, site.m_wall).m_records)
      Store(stored, change);
    auto next = Successor(stored);
    CPPUNIT_ASSERT_EQUAL(std::size_t{60}, CountDone(next));
    CPPUNIT_ASSERT(!HasWrites(next.m_state));
    next.Join("b");
    const auto starts = next.Starts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{40}, starts.size());
    for (const auto& [agent, start] : starts) {
      CPPUNIT_ASSERT(start.m_task.m_index >= 60);
      CPPUNIT_ASSERT(start.m_run > 1);
      CPPUNIT_ASSERT_EQUAL(std::string{"half"}, start.m_checkpoint);
    }
  }

  /// Guards against records, each of which the store takes, that it refuses together; and against
  /// workers that forget an end while a record that it changed waits for the next append.
  void NoAppendIsLargerThanTheStoreTakes() {
    auto site = SiteAtWork(MakeLargeJob(kManyTasks), {});
    site.m_state.m_options.m_record_limits.m_append_bytes = 300'000;
    EndRuns(site, 0, kManyTasks, RunOutcome::kStopped, std::string(400, 's'));
    std::size_t appends = 0;
    while (HasWrites(site.m_state)) {
      const auto batch = TakeWrites(site.m_state, site.m_wall);
      CPPUNIT_ASSERT(BytesOf(batch) <= 300'000);
      OnWritten(site.m_state, batch);
      ++appends;
      const bool last = site.m_state.m_unwritten_progress.empty();
      CPPUNIT_ASSERT_EQUAL(last, !batch.m_ends.empty());
      CPPUNIT_ASSERT_EQUAL(
          last ? kManyTasks : 0U,
          static_cast<std::uint32_t>(site.m_state.m_agents.at({"a"}).m_ends_recorded));
    }
    CPPUNIT_ASSERT(appends > 4);
    // A dozen large submissions at once.
    for (int i = 0; i < 12; ++i) {
      auto job = MakeLargeJob(1);
      job.m_id = {"s" + std::to_string(i)};
      job.m_payload = std::string(100'000, 'p');
      (void)site.Submit(job);
    }
    std::set<JobId> accepted;
    while (!site.m_state.m_unwritten_jobs.empty()) {
      const auto batch = TakeWrites(site.m_state, site.m_wall);
      CPPUNIT_ASSERT(BytesOf(batch) <= 300'000);
      accepted.insert(batch.m_accepted.begin(), batch.m_accepted.end());
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{12}, accepted.size());
  }

  /// Guards against a successor that sees a job without some of its parts, but not that it is done,
  /// and runs it again.
  void ADoneJobAndItsPartsAreRecordedTogether() {
    auto site = SiteAtWork(MakeLargeJob(100), {});
    EndRuns(site, 0, 99, RunOutcome::kDone);
    site.Write();
    site.m_state.m_options.m_record_limits.m_append_bytes = 1;
    EndRuns(site, 99, 100, RunOutcome::kDone);
    const auto batch = TakeWrites(site.m_state, site.m_wall);
    CPPUNIT_ASSERT(std::get<JobProgress>(batch.m_records[0]).m_closed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1 + 99 / kTasksPerPart}, batch.m_records.size());
    for (std::size_t i = 1; i < batch.m_records.size(); ++i) {
      CPPUNIT_ASSERT_EQUAL(ProgressKey({"large"}, static_cast<std::uint32_t>(i)),
                           std::get<RemovedRecord>(batch.m_records[i]).m_key);
    }
    CPPUNIT_ASSERT(site.PhaseOf("large") == JobPhase::kQueued || !batch.m_recorded_phases.empty());
    OnWritten(site.m_state, batch);
    CPPUNIT_ASSERT(site.PhaseOf("large") == JobPhase::kDone);
  }

  /// Guards against a timed occurrence that is run again because its parts are gone before the
  /// record says that it is over, with appends cut at any record.
  void PartsOfAnOccurrenceOutliveItsRecord() {
    auto job = MakeLargeJob(40);
    job.m_times = 3;
    job.m_first_due = kWall;
    job.m_interval_ms = 60'000;
    Site site;
    site.Accept(job);
    StoredRecords stored;
    Store(stored, job);
    const auto write_all = [&] {
      site.m_state.m_options.m_record_limits.m_append_bytes = 1;
      while (HasWrites(site.m_state)) {
        const auto batch = TakeWrites(site.m_state, site.m_wall);
        for (const auto& change : batch.m_records) Store(stored, change);
        OnWritten(site.m_state, batch);
        const auto next = Successor(stored);
        const auto& read = next.m_state.m_jobs.at({"large"});
        const auto open = read.m_occurrences.find(0);
        if (open == read.m_occurrences.end()) continue;
        CPPUNIT_ASSERT(open->second.m_steps[0].m_left <= 1);
      }
    };
    auto report = site.Report("a");
    for (std::uint32_t i = 0; i < 40; ++i)
      report.m_runs.push_back({.m_task = Ref("large", i), .m_run = 1});
    (void)site.ReportInNewSession(report);
    site.Write();
    EndRuns(site, 0, 39, RunOutcome::kDone);
    for (const auto& change : TakeWrites(site.m_state, site.m_wall).m_records)
      Store(stored, change);
    CPPUNIT_ASSERT(stored.count("progress/large/2") > 0);
    EndRuns(site, 39, 40, RunOutcome::kDone);
    write_all();
    CPPUNIT_ASSERT(stored.count("progress/large/1") == 0 && stored.count("progress/large/2") == 0);
    const auto& closed = std::get<JobProgress>(stored.at("progress/large")).m_closed_occurrences;
    CPPUNIT_ASSERT(closed == std::vector<std::uint32_t>{0});
  }

  /// Guards against tasks that run again after an upgrade: earlier versions write all tasks into
  /// one record, which is rewritten without those that other parts take over.
  void ProgressOfAnEarlierVersionMovesIntoParts() {
    JobProgress earlier{.m_job = {"large"}, .m_begun = true};
    for (std::uint32_t i = 0; i < 90; ++i) {
      earlier.m_tasks.push_back({.m_index = i, .m_done = i < 80, .m_run = 1});
      earlier.m_tasks.back().m_checkpoint = i < 80 ? "" : "half";
    }
    StoredRecords stored;
    Store(stored, MakeLargeJob(90));
    Store(stored, earlier);
    auto site = Successor(stored);
    CPPUNIT_ASSERT_EQUAL(std::size_t{80}, CountDone(site));
    site.m_state.m_options.m_record_limits.m_append_bytes = 1;
    (void)site.End("a", 1, Ref("large", 85), 2, RunOutcome::kDone);
    while (HasWrites(site.m_state)) {
      const auto batch = TakeWrites(site.m_state, site.m_wall);
      for (const auto& change : batch.m_records) Store(stored, change);
      OnWritten(site.m_state, batch);
      CPPUNIT_ASSERT(CountDone(Successor(stored)) >= 80);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{81}, CountDone(Successor(stored)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{kTasksPerPart},
                         std::get<JobProgress>(stored.at("progress/large")).m_tasks.size());
    // A coordinator of the earlier version takes over, writes everything into part 0, and the other
    // parts stay as they were.
    auto later = earlier;
    for (auto& task : later.m_tasks) task = {.m_index = task.m_index, .m_done = true, .m_run = 3};
    Store(stored, later);
    CPPUNIT_ASSERT(Successor(stored).PhaseOf("large") != JobPhase::kFailed);
    CPPUNIT_ASSERT(Successor(stored).m_state.m_open_jobs.count({"large"}) == 0);
  }

  /// Guards against members of a gang that are not recorded as done, because the end of one member
  /// lets only its own part be written.
  void TheEndOfAGangIsWrittenForAllMembers() {
    auto job = MakeLargeJob(40);
    job.m_steps[0].m_gang = true;
    job.m_steps.push_back(MakeJob("x").m_steps[0]);
    auto site = SiteAtWork(job, {});
    EndRuns(site, 20, 21, RunOutcome::kDone);
    std::size_t done = 0;
    for (const auto& change : TakeWrites(site.m_state, site.m_wall).m_records) {
      for (const auto& task : std::get<JobProgress>(change).m_tasks) done += task.m_done ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{40}, done);
  }

  /// Guards against a gang that is started again, in part, because its end was recorded in one part
  /// only.
  void AGangThatIsRecordedInPartIsDone() {
    auto job = MakeLargeJob(40);
    job.m_steps[0].m_gang = true;
    job.m_steps.push_back(MakeJob("x").m_steps[0]);
    job.m_steps[1].m_after = {0};
    StoredRecords stored;
    Store(stored, job);
    JobProgress part{.m_job = job.m_id, .m_begun = true, .m_part = 1};
    for (std::uint32_t i = 16; i < 32; ++i) {
      part.m_tasks.push_back({.m_index = i, .m_done = true, .m_run = 4});
    }
    Store(stored, part);
    auto next = Successor(stored);
    CPPUNIT_ASSERT_EQUAL(std::size_t{40}, CountDone(next));
    next.Join("b");
    const auto starts = next.Starts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    CPPUNIT_ASSERT(starts[0].second.m_task == Ref("large", 0, 1));
  }

  /// Guards against records that stay in the store for good, and against an ended job that a part
  /// opens again.
  void LeftoverPartsAreRemoved() {
    const JobProgress part{.m_job = {"large"},
                           .m_begun = true,
                           .m_tasks = {{.m_index = 20, .m_done = true, .m_run = 1}},
                           .m_part = 1};
    StoredRecords stored;
    Store(stored, part);
    auto unknown = Successor(stored);
    CPPUNIT_ASSERT(unknown.m_state.m_removed_keys == std::vector<std::string>{"progress/large/1"});
    Store(stored, MakeLargeJob(90));
    Store(stored, JobProgress{.m_job = {"large"},
                              .m_cancelled = true,
                              .m_closed = true,
                              .m_phase = JobPhase::kCancelled,
                              .m_closed_at = kWall});
    auto closed = Successor(stored);
    CPPUNIT_ASSERT(closed.m_state.m_removed_keys == std::vector<std::string>{"progress/large/1"});
    CPPUNIT_ASSERT(closed.PhaseOf("large") == JobPhase::kCancelled);
  }

  /// Guards against a forgotten job that begins anew because its progress was removed first.
  void AJobIsForgottenBeforeItsProgress() {
    auto site = SiteAtWork(MakeLargeJob(1), {});
    EndRuns(site, 0, 1, RunOutcome::kDone);
    site.Write();
    site.Advance(200s);
    Tick(site.m_state, site.m_now, site.m_wall, site.m_now);
    const auto& keys = site.m_state.m_removed_keys;
    const auto job = std::find(keys.begin(), keys.end(), JobKey({"large"}));
    const auto progress = std::find(keys.begin(), keys.end(), ProgressKey({"large"}, 0));
    CPPUNIT_ASSERT(job < progress && progress != keys.end());
  }

  /// Guards against a task that starts again after its worker has forgotten its end: whatever the
  /// order of the ends, the limits and the appends that a coordinator completes, its successor
  /// knows each end that was acknowledged.
  void AnAcknowledgedEndIsNeverLost() {
    CPPUNIT_ASSERT(rc::check("an acknowledged end is never lost", [] {
      const auto tasks = *rc::gen::inRange(1U, 120U);
      const auto job = MakeLargeJob(tasks);
      auto site = SiteAtWork(job, {});
      site.m_state.m_options.m_record_limits.m_append_bytes = *rc::gen::inRange(1, 20'000);
      StoredRecords stored;
      Store(stored, job);
      const auto steps = *rc::gen::inRange(1, 12);
      std::uint32_t ended = 0;
      for (int i = 0; i < steps; ++i) {
        const auto more = std::min(ended + *rc::gen::inRange(0U, 60U), tasks);
        EndRuns(site, ended, more, RunOutcome::kDone);
        ended = more;
        const auto appends = *rc::gen::inRange(0, 5);
        for (int n = 0; n < appends && HasWrites(site.m_state); ++n) {
          const auto batch = TakeWrites(site.m_state, site.m_wall);
          for (const auto& change : batch.m_records) Store(stored, change);
          OnWritten(site.m_state, batch);
          auto next = Successor(stored);
          const auto& agent = site.m_state.m_agents.at({"a"});
          const bool closed = next.PhaseOf("large") == JobPhase::kDone;
          RC_ASSERT(closed || CountDone(next) >= agent.m_ends_recorded);
          RC_ASSERT(!closed || ended == tasks);
        }
      }
    }));
  }

  /// Guards against an accepted submission that the store refuses, and behind which nothing is
  /// stored; and against refusing one that fits, because only an upper bound of its size was taken.
  void SubmissionsThatTheStoreRefusesAreFound() {
    const RecordLimits limits;
    auto job = MakeLargeJob(1);
    const auto never = [](const JobSpec&) -> std::size_t {
      CPPUNIT_FAIL("the exact size was asked for");
      return 0;
    };
    CPPUNIT_ASSERT(FitsRecord(job, limits, never));
    job.m_payload = std::string(limits.m_record_bytes - 2000, 'p');
    const auto key = JobKey(job.m_id).size();
    const auto exact = [&](const std::size_t bytes) {
      return FitsRecord(job, limits, [bytes](const JobSpec&) { return bytes; });
    };
    CPPUNIT_ASSERT(exact(limits.m_record_bytes - 1 - key));
    CPPUNIT_ASSERT(!exact(limits.m_record_bytes - key));
  }

  /// Guards against a model of many images that is larger than a record.
  void TheNewestPairsAreKept() {
    Site site;
    for (int i = 0; i < 3000; ++i) {
      const ImageName image{"image-" + std::to_string(i)};
      ObserveLatency(site.m_state.m_pairs, image, 4.0);
      site.m_state.m_pairs.m_pairs[{image, {"press"}}] = {
          .m_growth = 1.0, .m_learned = site.m_now - std::chrono::milliseconds{i}};
    }
    site.m_state.m_pairs_changed = true;
    Tick(site.m_state, site.m_now, site.m_wall, site.m_now);
    const auto& record = *site.m_state.m_unwritten_pairs;
    CPPUNIT_ASSERT(MaxRecordBytes(record) <= RecordLimits{}.m_record_bytes);
    CPPUNIT_ASSERT(!record.m_pairs.empty() && record.m_pairs.size() < 3000);
    CPPUNIT_ASSERT_EQUAL(std::string{"image-0"}, record.m_pairs[0].m_serving.m_value);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LargeJobTest);

}  // namespace
}  // namespace ebonypin::core::fleet
