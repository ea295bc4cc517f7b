#include <cppunit/extensions/HelperMacros.h>

#include "ebonypin/core/fleet/leadership.h"
#include "ebonypin/core/fleet/queue_table.h"
#include "ebonypin/core/fleet/worker_health.h"
#include "fleet_fixture.h"

namespace ebonypin::core::fleet {
namespace {

using namespace std::chrono_literals;

class LeadershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LeadershipTest);
  CPPUNIT_TEST(TheHolderOfThePartitionClaims);
  CPPUNIT_TEST(ACoordinatorStaysUntilItsSuccessorIsKnown);
  CPPUNIT_TEST(AClaimIsNotEndedByTheEpochThatItReplaces);
  CPPUNIT_TEST(AuthorityEndsWithoutTheStore);
  CPPUNIT_TEST(APartitionThatComesBackDoesNotProlongAuthority);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TheHolderOfThePartitionClaims() {
    Leadership state;
    CPPUNIT_ASSERT(OnJoined(state, Time{1s}, false) == LeadershipStep::kNone);
    CPPUNIT_ASSERT(OnJoined(state, Time{2s}, true) == LeadershipStep::kClaim);
  }

  /// Guards against seconds without a coordinator when partitions are reassigned, and against a
  /// change of coordinator for each entry that returns in a rolling restart: there were six within
  /// 9 s (trouble-2).
  void ACoordinatorStaysUntilItsSuccessorIsKnown() {
    Leadership state{.m_stage = LeadershipStage::kActive, .m_epoch = 3, .m_confirmed = Time{1s}};
    CPPUNIT_ASSERT(OnJoined(state, Time{2s}, false) == LeadershipStep::kKeep);
    CPPUNIT_ASSERT(OnJoined(state, Time{2s}, false) == LeadershipStep::kKeep);
    CPPUNIT_ASSERT(MayAct(state, Time{3s}));
    // An answer without the partition does not confirm the leadership, and a coordinator whose
    // authority has ended releases the partition.
    const Time end = Time{1s} + state.m_options.m_authority;
    CPPUNIT_ASSERT(!MayAct(state, end));
    CPPUNIT_ASSERT(OnJoined(state, end, false) == LeadershipStep::kRelease);
    CPPUNIT_ASSERT(OnJoined(state, end, false) == LeadershipStep::kNone);
    CPPUNIT_ASSERT(!IsSupersededBy(state, 3));
    CPPUNIT_ASSERT(IsSupersededBy(state, 4));
  }

  /// Guards against takeovers that fail because the claiming entry steps down for the epoch that it
  /// replaces, which leaves the site without a coordinator.
  void AClaimIsNotEndedByTheEpochThatItReplaces() {
    const Leadership state{.m_stage = LeadershipStage::kClaiming};
    CPPUNIT_ASSERT(!IsSupersededBy(state, 7));
  }

  /// Guards against orders of a coordinator that is cut off from the store for longer than its
  /// successor waits.
  void AuthorityEndsWithoutTheStore() {
    Leadership state{.m_stage = LeadershipStage::kActive, .m_epoch = 3, .m_confirmed = Time{1s}};
    CPPUNIT_ASSERT(MayAct(state, Time{1s} + state.m_options.m_authority - 1ms));
    CPPUNIT_ASSERT(!MayAct(state, Time{1s} + state.m_options.m_authority));
  }

  /// Guards against orders of a former coordinator that gets the partition back after a successor
  /// has claimed the next epoch, and that does not learn of this epoch.
  void APartitionThatComesBackDoesNotProlongAuthority() {
    Leadership state{.m_stage = LeadershipStage::kActive, .m_epoch = 3, .m_confirmed = Time{1s}};
    CPPUNIT_ASSERT(OnJoined(state, Time{2s}, false) == LeadershipStep::kKeep);
    CPPUNIT_ASSERT(OnJoined(state, Time{9s}, true) == LeadershipStep::kNone);
    CPPUNIT_ASSERT(!MayAct(state, Time{1s} + state.m_options.m_authority));
  }
};

class WorkerHealthTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkerHealthTest);
  CPPUNIT_TEST(AWorkerThatFailsEverythingIsPaused);
  CPPUNIT_TEST(RareFailuresDoNotPauseAWorker);
  CPPUNIT_TEST(SlownessIsEstimatedAndDecays);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Replays a worker whose runs fail at once, so that it is always the least loaded.
  void AWorkerThatFailsEverythingIsPaused() {
    const WorkerHealthOptions options;
    WorkerHealth health;
    Time now{1h};
    int failures = 0;
    while (!IsPaused(health, now) && failures < 10) {
      OnFailure(health, now, options);
      ++failures;
      now += 100ms;
    }
    CPPUNIT_ASSERT_EQUAL(3, failures);
    now += options.m_first_pause;
    CPPUNIT_ASSERT(!IsPaused(health, now));
    CPPUNIT_ASSERT(OnFailure(health, now, options) || OnFailure(health, now, options));
    CPPUNIT_ASSERT(IsPaused(health, now + options.m_first_pause + 1s));
  }

  void RareFailuresDoNotPauseAWorker() {
    const WorkerHealthOptions options;
    WorkerHealth health;
    Time now{1h};
    for (int i = 0; i < 200; ++i) {
      now += 100ms;
      if (i % 10 == 0) {
        OnFailure(health, now, options);
      } else {
        OnSuccess(health, now, 1s, 1s, options);
      }
      CPPUNIT_ASSERT(!IsPaused(health, now));
    }
  }

  /// Replays a worker on which runs take six times as long for some seconds.
  void SlownessIsEstimatedAndDecays() {
    const WorkerHealthOptions options;
    WorkerHealth health;
    Time now{1h};
    for (int i = 0; i < 6; ++i) {
      now += 500ms;
      OnSuccess(health, now, 6s, 1s, options);
    }
    CPPUNIT_ASSERT(Slowness(health, now, options) > 3.0);
    CPPUNIT_ASSERT(Slowness(health, now + 30s, options) < 1.1);
  }
};

class PlacementPolicyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PlacementPolicyTest);
  CPPUNIT_TEST(UrgentWorkFindsRoomAtPeakLoad);
  CPPUNIT_TEST(ServingTasksOfOneImageShareWorkers);
  CPPUNIT_TEST(ServingTasksLeaveWorkersFree);
  CPPUNIT_TEST(UrgentTasksLeaveFreeWorkersToFillingOnes);
  CPPUNIT_TEST(AFillingTaskStaysAwayFromWhatItDisturbs);
  CPPUNIT_TEST(AFillingTaskGoesWhereItUsesUpTheLeastGrowth);
  CPPUNIT_TEST(AGoodWorkerAmongManyIsFound);
  CPPUNIT_TEST(AHarmlessFillingTaskUsesWhatThrottledOnesLeave);
  CPPUNIT_TEST(ASlowFillingTaskMovesToWhereItIsHarmless);
  CPPUNIT_TEST(AJobWithoutRunningTasksAcceptsAnyWorker);
  CPPUNIT_TEST(AdviceIsAskedOnWorkersWithRoom);
  CPPUNIT_TEST(JobsThatMissTheirObjectiveComeLast);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Replays a preview after a burst of renders: the preview starts at once.
  void UrgentWorkFindsRoomAtPeakLoad() {
    Site site;
    site.m_state.m_options.m_headroom = 0.25;
    site.Join("a");
    auto render = MakeJob("render", 20);
    render.m_policy.m_priority = 2;
    site.Accept(render);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, site.Starts().size());
    site.Accept(MakeJob("preview"));
    CPPUNIT_ASSERT_EQUAL(std::string{"preview"}, site.Starts().at(0).second.m_task.m_job.m_value);
  }

  /// Guards against serving tasks that are spread over all workers, which leaves no worker for a
  /// filling task that disturbs them.
  void ServingTasksOfOneImageShareWorkers() {
    Site site;
    for (const auto* agent : {"a", "b", "c", "d"}) site.Join(agent);
    site.Accept(MakeServingJob("watch", 4, {"watch"}));
    std::set<std::string> used;
    for (const auto& [agent, start] : site.Starts()) used.insert(agent);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, used.size());
  }

  /// Replays the start of serving jobs of several images. They were spread over all eleven workers
  /// with 267 of 400 processors reserved, and filling tasks got only 100 of the others (trouble-3).
  void ServingTasksLeaveWorkersFree() {
    Site site;
    for (const auto* agent : {"a", "b", "c", "d"}) site.Join(agent);
    std::set<std::string> used;
    for (const auto* image : {"watch", "guard", "listen"}) {
      site.Accept(MakeServingJob(image, 2, {image}));
      for (const auto& [agent, start] : site.Starts()) used.insert(agent);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, used.size());
  }

  /// Replays previews at peak load. They do not disturb serving tasks, and on workers without
  /// serving tasks they would take up the room of filling tasks.
  void UrgentTasksLeaveFreeWorkersToFillingOnes() {
    Site site;
    site.Join("a");
    site.Accept(MakeServingJob("watch", 1, {"watch"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.Starts().size());
    site.Join("b");
    site.Accept(MakeJob("preview", 4));
    std::map<std::string, int> placed;
    for (const auto& [agent, start] : site.Starts()) ++placed[agent];
    CPPUNIT_ASSERT_EQUAL(3, placed["a"]);
    CPPUNIT_ASSERT_EQUAL(1, placed["b"]);
  }

  void AFillingTaskStaysAwayFromWhatItDisturbs() {
    Site site;
    site.Join("a");
    site.Accept(MakeServingJob("watch", 1, {"watch"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.Starts().size());
    site.m_state.m_pairs.m_pairs[{{"watch"}, {"press"}}] = {.m_growth = 12.0,
                                                            .m_learned = site.m_now};
    auto press = MakeFillingJob("press", 1, {"press"});
    site.Accept(press);
    CPPUNIT_ASSERT(site.Starts().empty());
    site.Join("b");
    CPPUNIT_ASSERT_EQUAL(std::string{"b"}, site.Starts().at(0).first);
  }

  /// Replays filling tasks of several images beside serving tasks. Each task gets its full share
  /// where it is placed, but it uses up allowed growth there, and the next tasks got no share at
  /// all (on a large site, scale-2 with seed 61).
  void AFillingTaskGoesWhereItUsesUpTheLeastGrowth() {
    Site site;
    site.Join("a");
    auto watch = MakeServingJob("watch", 1, {"watch"});
    watch.m_steps[0].m_size.m_memory_mb = 3800;
    site.Accept(watch);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.Starts().size());
    site.Join("b");
    auto guard = MakeServingJob("guard", 3, {"guard"});
    guard.m_steps[0].m_size.m_memory_mb = 300;
    site.Accept(guard);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, site.Starts().size());
    auto& pairs = site.m_state.m_pairs.m_pairs;
    pairs[{{"watch"}, {"press"}}] = {.m_growth = 1.0, .m_learned = site.m_now};
    pairs[{{"guard"}, {"press"}}] = {.m_growth = 0.1, .m_learned = site.m_now};
    site.Accept(MakeFillingJob("press", 1, {"press"}));
    CPPUNIT_ASSERT_EQUAL(std::string{"b"}, site.Starts().at(0).first);
  }

  /// Replays a site of hundreds of workers of which only one can give a filling task its share: a
  /// plan compares a limited number of workers, and the good one is still found within a second.
  void AGoodWorkerAmongManyIsFound() {
    Site site;
    const auto places = 5 * site.m_state.m_options.m_max_compared_workers;
    for (std::size_t i = 0; i < places; ++i) site.Join("a" + std::to_string(1000 + i));
    auto watch = MakeServingJob("watch", static_cast<std::uint32_t>(places), {"watch"});
    watch.m_steps[0].m_max_per_worker = 1;
    site.Accept(watch);
    CPPUNIT_ASSERT_EQUAL(places, site.Starts().size());
    site.m_state.m_pairs.m_pairs[{{"watch"}, {"press"}}] = {.m_growth = 12.0,
                                                            .m_learned = site.m_now};
    site.Join("z");
    site.Accept(MakeFillingJob("press", 1, {"press"}));
    for (int plans = 0; plans < 25; ++plans) {
      const auto compared = site.m_state.m_next_compared;
      const auto starts = site.Starts();
      if (!starts.empty()) {
        CPPUNIT_ASSERT_EQUAL(std::string{"z"}, starts[0].first);
        return;
      }
      CPPUNIT_ASSERT(site.m_state.m_next_compared != compared);
      const auto blocked = site.m_state.m_next_compared;
      CPPUNIT_ASSERT(site.Starts().empty());
      CPPUNIT_ASSERT(site.m_state.m_next_compared == blocked);
      site.Advance(site.m_state.m_options.m_blocked_delay);
    }
    CPPUNIT_FAIL("the good place was not found");
  }

  /// Replays a worker whose filling tasks are throttled beside a serving task. They were counted at
  /// their declared sizes, so that half of the processors stayed unused: 70 to 110 of the 160 to
  /// 180 processors given to filling tasks were in use (scale-1).
  void AHarmlessFillingTaskUsesWhatThrottledOnesLeave() {
    Site site;
    site.Join("a");
    site.Accept(MakeServingJob("watch", 1, {"watch"}));
    auto& pairs = site.m_state.m_pairs.m_pairs;
    pairs[{{"watch"}, {"press"}}] = {.m_growth = 0.0, .m_learned = site.m_now};
    pairs[{{"watch"}, {"hammer"}}] = {.m_growth = 12.0, .m_learned = site.m_now};
    pairs[{{"watch"}, {"brush"}}] = {.m_growth = 0.0, .m_learned = site.m_now};
    site.Accept(MakeFillingJob("press", 3, {"press"}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, site.Starts().size());
    site.Accept(MakeFillingJob("hammer", 1, {"hammer"}));
    site.Accept(MakeFillingJob("brush", 1, {"brush"}));
    CPPUNIT_ASSERT(site.Starts().empty());
    site.Advance(site.m_state.m_options.m_usage_settle_time);
    auto report = site.Report("a");
    report.m_runs = {{.m_task = Ref("watch"), .m_run = 1, .m_percent = 100, .m_figure = 9.0}};
    for (std::uint32_t i = 0; i < 3; ++i) {
      report.m_runs.push_back({.m_task = Ref("press", i), .m_run = 1, .m_figure = 400.0});
    }
    (void)OnReport(site.m_state, site.m_now, report);
    site.Advance(1s);
    const auto starts = site.Starts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    CPPUNIT_ASSERT(starts[0].second.m_task == Ref("brush"));
  }

  /// Guards against a job whose last task is slow beside a serving task while other workers have
  /// room: 8 of 26 such jobs were late (quiet-1).
  void ASlowFillingTaskMovesToWhereItIsHarmless() {
    Site site;
    site.Join("a");
    auto press = MakeFillingJob("press", 1, {"press"});
    press.m_steps[0].m_checkpointing = true;
    site.Accept(press);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.Starts().size());
    site.Join("b");
    const auto play = [&](const double cpu_in_use) {
      for (int i = 0; i < 4; ++i) {
        site.Advance(500ms);
        auto report = site.Report("a");
        report.m_last_order = 1;  // The start; the stop is not taken yet.
        report.m_runs = {{.m_task = Ref("press"), .m_run = 1, .m_figure = cpu_in_use}};
        (void)OnReport(site.m_state, site.m_now, report);
        (void)OnReport(site.m_state, site.m_now, site.Report("b"));
        Tick(site.m_state, site.m_now, site.m_wall, site.m_now);
      }
    };
    play(900.0);
    CPPUNIT_ASSERT(site.Stops().empty());
    play(100.0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.Stops().size());
  }

  /// Guards against a job that waits for a good worker for ever, since accepted work has to run.
  void AJobWithoutRunningTasksAcceptsAnyWorker() {
    Site site;
    site.Join("a");
    site.Accept(MakeServingJob("watch", 1, {"watch"}));
    (void)site.Starts();
    site.m_state.m_pairs.m_pairs[{{"watch"}, {"press"}}] = {.m_growth = 12.0,
                                                            .m_learned = site.m_now};
    auto press = MakeFillingJob("press", 2, {"press"});
    site.Accept(press);
    CPPUNIT_ASSERT(site.Starts().empty());
    site.Advance(site.m_state.m_options.m_max_placement_wait);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.Starts().size());
  }

  /// Replays a site with more full workers than an advice request may name. The other workers
  /// stayed idle because each request named the first workers by id.
  void AdviceIsAskedOnWorkersWithRoom() {
    Site site;
    constexpr std::size_t kWorkers = 240;
    constexpr std::size_t kFull = 120;
    for (std::size_t i = 0; i < kWorkers; ++i) site.Join("a" + std::to_string(1000 + i));
    std::size_t filled = 0;
    for (auto& [id, agent] : site.m_state.m_agents) {
      if (filled++ < kFull) agent.m_used = agent.m_worker.m_capacity;
    }
    auto job = MakeJob("j", 2);
    job.m_policy.m_advised = true;
    site.Accept(job);
    CPPUNIT_ASSERT(site.Starts().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.m_state.m_advice_requests.size());
    const auto first = std::exchange(site.m_state.m_advice_requests, {}).front();
    CPPUNIT_ASSERT_EQUAL(std::size_t{100}, first.m_workers.size());
    CPPUNIT_ASSERT(first.m_workers.front() >= WorkerId{"w-a" + std::to_string(1000 + kFull)});
    // No worker of the answer may run the step, so the next request names the other workers with
    // room, and only once.
    OnAdvice(site.m_state, site.m_now, first.m_number, {}, 20s);
    CPPUNIT_ASSERT(site.Starts().empty());
    const auto second = std::exchange(site.m_state.m_advice_requests, {}).front();
    CPPUNIT_ASSERT_EQUAL(kWorkers - kFull - 100, second.m_workers.size());
    OnAdvice(site.m_state, site.m_now, second.m_number, {{second.m_workers.back(), "ticket"}}, 20s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, site.Starts().size());
    CPPUNIT_ASSERT(site.m_state.m_advice_requests.empty());
  }

  /// Replays an overload in which running the oldest jobs first would make all jobs late. Jobs that
  /// miss their objective of 3 s in any case are placed after those that can still meet it.
  void JobsThatMissTheirObjectiveComeLast() {
    PlayOverload(60s);
    PlayOverload(2500ms);
  }

  void PlayOverload(const Duration age) {
    Site site;
    site.Accept(MakeJob("old", 4));
    site.Advance(age);
    site.Accept(MakeJob("new", 4));
    site.Join("a");
    for (const auto& [agent, start] : site.Starts()) {
      CPPUNIT_ASSERT_EQUAL(std::string{"new"}, start.m_task.m_job.m_value);
    }
  }
};

class QueueTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(QueueTableTest);
  CPPUNIT_TEST(TheLongestPrefixOfTheHostSelects);
  CPPUNIT_TEST(AnOlderVersionNeverReplacesANewerOne);
  CPPUNIT_TEST(AJobThatCannotBeRunIsRefusedWithAReason);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TheLongestPrefixOfTheHostSelects() {
    QueueTable table;
    table.m_routes = {{.m_host = "h", .m_path_prefix = "/a/", .m_policy = {.m_queue = {"short"}}},
                      {.m_host = "h", .m_path_prefix = "/a/b/", .m_policy = {.m_queue = {"long"}}},
                      {.m_host = "i", .m_path_prefix = "/a/", .m_policy = {.m_queue = {"other"}}}};
    CPPUNIT_ASSERT_EQUAL(std::string{"long"},
                         FindQueue(table, "h", "/a/b/x")->m_policy.m_queue.m_value);
    CPPUNIT_ASSERT_EQUAL(std::string{"short"},
                         FindQueue(table, "h", "/a/x")->m_policy.m_queue.m_value);
    CPPUNIT_ASSERT(FindQueue(table, "h", "/c/x") == nullptr);
    CPPUNIT_ASSERT(FindQueue(table, "j", "/a/x") == nullptr);
  }

  /// Guards against a delayed read that reverts the configuration.
  void AnOlderVersionNeverReplacesANewerOne() {
    QueueTable table;
    CPPUNIT_ASSERT(Replace(table, {.m_version = 7}));
    CPPUNIT_ASSERT(!Replace(table, {.m_version = 5}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, table.m_version);
  }

  void AJobThatCannotBeRunIsRefusedWithAReason() {
    CPPUNIT_ASSERT_EQUAL(std::string{}, CheckJob(MakeJob("j", 3)));
    CPPUNIT_ASSERT(!CheckJob({.m_id = {"j"}}).empty());
    auto circle = MakeJob("j");
    circle.m_steps[0].m_after = {0};
    CPPUNIT_ASSERT(!CheckJob(circle).empty());
    CPPUNIT_ASSERT(!CheckJob(MakeJob("j", 0)).empty());
    CPPUNIT_ASSERT(!CheckJob(MakeJob("j", kMaxTasksPerJob + 1)).empty());
    auto many = MakeJob("j");
    many.m_times = kMaxOccurrences + 1;
    CPPUNIT_ASSERT(!CheckJob(many).empty());
    auto endless = MakeJob("j");
    endless.m_steps[0].m_estimate = Duration::max();
    CPPUNIT_ASSERT(!CheckJob(endless).empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeadershipTest);
CPPUNIT_TEST_SUITE_REGISTRATION(WorkerHealthTest);
CPPUNIT_TEST_SUITE_REGISTRATION(PlacementPolicyTest);
CPPUNIT_TEST_SUITE_REGISTRATION(QueueTableTest);

}  // namespace
}  // namespace ebonypin::core::fleet
