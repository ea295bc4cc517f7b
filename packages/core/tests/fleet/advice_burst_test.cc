/// Bursts on a queue whose starts need advice.
///
/// Guards against steps whose questions wait at the service for longer than the coordinator waits
/// for an answer: every answer then comes too late, each step asks anew behind the others, and
/// accepted jobs never start, although the burst is long over.
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include "advice_site.h"

namespace ebonypin::core::fleet {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kWorkers = 6;

Duration CallTime(const AdviceService& service) {
  return service.m_call_time + kWorkers * service.m_worker_time;
}

/// Returns the least time in which the work can be done: each step takes one call that names all
/// workers, and the good ones have room for eight tasks each.
Duration IdealTime(const AdviceSite& site, const AdvisedWork& work) {
  const auto& service = site.m_service;
  const auto steps = work.m_jobs * static_cast<std::int64_t>(work.m_steps);
  const auto rooms = 8 * static_cast<std::int64_t>(service.m_good.size());
  return std::max<Duration>({work.m_jobs * work.m_interval, steps * CallTime(service),
                             steps * work.m_tasks * work.m_run_time / rooms});
}

/// Returns the longest time that the work may take: 1.3 times the ideal, and the time of the last
/// job's calls, which wait for one before them, and of its runs.
Duration LongestTime(const AdviceSite& site, const AdvisedWork& work) {
  const Duration step = 2 * CallTime(site.m_service) + work.m_run_time + 100ms;
  return IdealTime(site, work) * 13 / 10 + work.m_steps * step;
}

class AdviceBurstTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdviceBurstTest);
  CPPUNIT_TEST(ABacklogClearsAtTheRateOfTheService);
  CPPUNIT_TEST(EachShapeOfLoadClears);
  CPPUNIT_TEST(UrgentWorkIsAskedAboutFirst);
  CPPUNIT_TEST(AStepThatCannotStartYetDoesNotHoldUpOthers);
  CPPUNIT_TEST(WorkIsDoneAfterASilenceOfTheService);
  CPPUNIT_TEST(AStepWithoutGoodWorkersIsAskedAboutOnce);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Replays review case 6: 64 jobs in 4 s, 160 ms a call. 50 of the jobs never started.
  void ABacklogClearsAtTheRateOfTheService() {
    AdviceSite site(kWorkers, kWorkers, {});
    const AdvisedWork work{.m_jobs = 64, .m_interval = 63ms};
    const auto took = site.Play(work, 30s);
    CPPUNIT_ASSERT(site.AllDone());
    CPPUNIT_ASSERT(took <= LongestTime(site, work));
    CPPUNIT_ASSERT_EQUAL(std::size_t{64}, site.Answered());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, site.Refused());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, site.Rejected());
  }

  /// Guards against a remedy that fits the figures of one load only.
  void EachShapeOfLoadClears() {
    CPPUNIT_ASSERT(rc::check("work on an advised queue is done", [] {
      const AdviceService service{.m_call_time = *rc::gen::inRange(5, 500) * 1ms,
                                  .m_worker_time = *rc::gen::inRange(0, 30) * 1ms,
                                  .m_valid = *rc::gen::inRange(500, 5000) * 1ms};
      const AdvisedWork work{.m_jobs = *rc::gen::inRange(1, 80),
                             .m_interval = *rc::gen::inRange(1, 200) * 1ms,
                             .m_steps = *rc::gen::inRange<std::uint32_t>(1, 4),
                             .m_tasks = *rc::gen::inRange<std::uint32_t>(1, 4)};
      AdviceSite site(kWorkers, *rc::gen::inRange<std::size_t>(1, kWorkers + 1), service);
      (void)site.Play(work, LongestTime(site, work));
      RC_ASSERT(site.AllDone());
      RC_ASSERT(site.Refused() == 0U);
      RC_ASSERT(site.Rejected() == 0U);
    }));
  }

  /// Guards against urgent work that waits behind the questions of a burst.
  void UrgentWorkIsAskedAboutFirst() {
    AdviceSite site(kWorkers, kWorkers, {});
    for (int i = 0; i < 64; ++i) (void)site.Submit({}, 2);
    site.RunFor(1s);
    const auto urgent = site.Submit({}, 0);
    // Two calls are open at most, and its own is the next one: 3 x 160 ms, and 300 ms at work.
    site.RunFor(900ms);
    CPPUNIT_ASSERT(site.IsDone(urgent));
    CPPUNIT_ASSERT(!site.AllDone());
  }

  /// Guards against a service that is kept busy with renewed questions about work for which there
  /// is no room, while other work could start.
  void AStepThatCannotStartYetDoesNotHoldUpOthers() {
    AdviceSite site(kWorkers, kWorkers, {});
    for (int i = 0; i < 40; ++i) {
      auto job = site.MakeAdvisedJob("gang" + std::to_string(i), 4);
      job.m_steps[0].m_gang = true;
      job.m_steps[0].m_size.m_cpu_millis = 3800;
      job.m_steps[0].m_max_per_worker = 1;
      site.m_site.Accept(job);
    }
    // Three members of a gang find room, the fourth does not.
    std::size_t filled = 0;
    for (auto& [id, agent] : site.m_site.m_state.m_agents) {
      if (filled++ < 3) agent.m_used.m_cpu_millis = 3000;
    }
    site.RunFor(5s);
    const auto small = site.Submit({}, 2);
    site.RunFor(1s);
    CPPUNIT_ASSERT(site.IsDone(small));
  }

  /// Guards against calls that are given up and made again while the service still works on those
  /// before them, so that it never catches up.
  void WorkIsDoneAfterASilenceOfTheService() {
    for (const Duration silence : {1s, 5s, 20s}) {
      AdviceSite site(kWorkers, kWorkers, {});
      site.m_service.m_silent_from = site.m_site.m_now + 1s;
      site.m_service.m_silent_until = site.m_service.m_silent_from + silence;
      const AdvisedWork work{.m_jobs = 40, .m_interval = 63ms};
      // A call that was sent just before the service goes on may wait out its deadline.
      const auto took = site.Play(work, 60s);
      CPPUNIT_ASSERT(site.AllDone());
      CPPUNIT_ASSERT(took <= silence + 5s + LongestTime(site, work));
    }
  }

  /// Guards against endless questions about a step that no worker may run.
  void AStepWithoutGoodWorkersIsAskedAboutOnce() {
    AdviceSite site(kWorkers, 0, {});
    (void)site.Submit({});
    site.RunFor(20s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.Answered());
    CPPUNIT_ASSERT(!site.AllDone());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdviceBurstTest);

}  // namespace
}  // namespace ebonypin::core::fleet
