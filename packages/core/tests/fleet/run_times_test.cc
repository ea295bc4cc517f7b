/// Replays queues whose callers estimate well, badly or not at all.
#include "ebonypin/core/fleet/run_times.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cmath>
#include <random>

namespace ebonypin::core::fleet {
namespace {

using namespace std::chrono_literals;

const QueueName kQueue{"certificates"};

/// Learns 60 tasks whose run times spread by half and whose estimates are off by `off`, in logs.
RunTimes Learn(const double off) {
  RunTimes times;
  std::mt19937 random{7};
  std::normal_distribution<double> normal;
  for (int i = 0; i < 60; ++i) {
    const double actual = 2.0 * std::exp(0.5 * normal(random));
    const double estimate = actual * std::exp(off * normal(random));
    const auto micros = [](const double seconds) {
      return Duration{static_cast<std::int64_t>(seconds * 1e6)};
    };
    LearnRunTime(times, kQueue, micros(estimate), micros(actual));
  }
  return times;
}

class RunTimesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunTimesTest);
  CPPUNIT_TEST(AnEstimateCountsUntilMoreIsKnown);
  CPPUNIT_TEST(GoodEstimatesAreKept);
  CPPUNIT_TEST(WildEstimatesAreDrawnToTheMean);
  CPPUNIT_TEST(EstimatesInAnotherUnitAreCorrected);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AnEstimateCountsUntilMoreIsKnown() {
    CPPUNIT_ASSERT(ExpectedRunTime({}, kQueue, 3s) == 3s);
    RunTimes times;
    LearnRunTime(times, kQueue, 1s, 9s);
    CPPUNIT_ASSERT(ExpectedRunTime(times, kQueue, 3s) == 3s);
  }

  void GoodEstimatesAreKept() {
    const auto times = Learn(0.05);
    const auto expected = ExpectedRunTime(times, kQueue, 6s);
    CPPUNIT_ASSERT(expected > 4s && expected < 7s);
  }

  /// Guards against a certificate of 2 s that is put behind all others since its caller guessed
  /// 17 s (association's trouble-3).
  void WildEstimatesAreDrawnToTheMean() {
    const auto times = Learn(0.9);
    CPPUNIT_ASSERT(ExpectedRunTime(times, kQueue, 17s) < 6s);
    CPPUNIT_ASSERT(ExpectedRunTime(times, kQueue, 200ms) > 700ms);
  }

  void EstimatesInAnotherUnitAreCorrected() {
    RunTimes times;
    for (int i = 1; i <= 40; ++i) LearnRunTime(times, kQueue, i * 1ms, i * 100ms);
    const auto expected = ExpectedRunTime(times, kQueue, 20ms);
    CPPUNIT_ASSERT(expected > 1500ms && expected < 2500ms);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunTimesTest);

}  // namespace
}  // namespace ebonypin::core::fleet
