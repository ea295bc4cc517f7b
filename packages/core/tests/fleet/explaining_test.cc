/// Log texts about late jobs and the shares of filling tasks.
#include <cppunit/extensions/HelperMacros.h>

#include "ebonypin/core/fleet/share_report.h"
#include "fleet_fixture.h"

namespace ebonypin::core::fleet {
namespace {

using namespace std::chrono_literals;

class ExplainingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExplainingTest);
  CPPUNIT_TEST(ALateJobSaysWhereItsTimeWent);
  CPPUNIT_TEST(AJobOnTimeIsNoFailure);
  CPPUNIT_TEST(TheSharesOfAWorkerAreExplained);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a log that does not show whether a late job waited or ran slowly.
  void ALateJobSaysWhereItsTimeWent() {
    PlayJob(500ms, 4s);
    const Decision& last = m_site.m_state.m_decisions.back();
    CPPUNIT_ASSERT_EQUAL(std::string{"job late"}, std::string{last.m_what});
    CPPUNIT_ASSERT(last.m_failure);
    CPPUNIT_ASSERT_EQUAL(std::string{"took 4500 ms, objective 3000 ms; first start after 500 ms; 1 "
                                     "tasks in 1 runs waited 500 ms and were held 4000 ms, "
                                     "estimated 1000 ms"},
                         last.m_reason);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_site.m_state.m_counters.m_jobs_late);
  }

  void AJobOnTimeIsNoFailure() {
    PlayJob(0ms, 1s);
    const Decision& last = m_site.m_state.m_decisions.back();
    CPPUNIT_ASSERT_EQUAL(std::string{"job done"}, std::string{last.m_what});
    CPPUNIT_ASSERT(!last.m_failure);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_site.m_state.m_counters.m_jobs_late);
  }

  /// Guards against a log that does not explain a missed target or a throttled run.
  void TheSharesOfAWorkerAreExplained() {
    WorkerAgent agent;
    LocalRun watch{.m_figure = 27.0, .m_own_load = {.m_load = 0.5}};
    watch.m_order.m_latency_target = 18ms;
    watch.m_order.m_image = {"watch"};
    LocalRun press{.m_figure = 900.0, .m_full_cpu = 1800.0, .m_paced = 50};
    press.m_order.m_fills = true;
    press.m_order.m_image = {"press"};
    agent.m_runs[Ref("w")] = watch;
    agent.m_runs[Ref("p", 0)] = press;
    press.m_paced = 0;
    press.m_figure = 0.0;
    agent.m_runs[Ref("p", 1)] = press;
    agent.m_pairs.m_pairs[{{"watch"}, {"press"}}] = {.m_growth = 3.25, .m_learned = m_site.m_now};
    const ShareCounts counts{.m_full = 0, .m_partial = 1, .m_resting = 1, .m_missed = 1};
    CPPUNIT_ASSERT(counts == CountShares(agent));
    const auto report = DescribeShares(agent, m_site.m_now);
    CPPUNIT_ASSERT_EQUAL(std::string{"watch 27/18ms load 0.50"}, report.m_serving);
    CPPUNIT_ASSERT_EQUAL(std::string{"press 50% 900/1800m, press 0% 0/1800m"}, report.m_filling);
    CPPUNIT_ASSERT_EQUAL(std::string{"watch<press 3.25"}, report.m_pairs);
  }

 private:
  /// Simulates a job of one task with an objective of 3 s, which has no worker for `unplaced_time`
  /// and then runs for `run_time`.
  void PlayJob(const Duration unplaced_time, const Duration run_time) {
    m_site.Accept(MakeJob("j"));
    (void)m_site.Starts();
    m_site.Advance(unplaced_time);
    m_site.Join("a");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_site.Starts().size());
    m_site.Advance(run_time);
    (void)m_site.End("a", 1, Ref("j"), 1, RunOutcome::kDone);
  }

  Site m_site;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExplainingTest);

}  // namespace
}  // namespace ebonypin::core::fleet
