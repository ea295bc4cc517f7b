/// Replays serving tasks with a varying own load beside filling tasks of several images.
#include "ebonypin/core/fleet/image_pairs.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cmath>

namespace ebonypin::core::fleet {
namespace {

using namespace std::chrono_literals;

const ImageName kServing{"serving"};
const ImageName kHeavy{"heavy"};
const ImageName kLight{"light"};

constexpr double kProcessors = 16.0;

/// Worker with 16 processors and one serving task, whose load has a period of 14 s as in recorded
/// workloads.
struct Worker {
  /// A starting serving task reports its latency without load.
  Worker() { ObserveLatency(m_pairs, kServing, m_idle_ms); }

  ImagePairs m_pairs;
  OwnLoadEstimate m_own_load;
  std::map<ImageName, double> m_before;
  Time m_now{1h};
  double m_heavy_growth = 0.8;  ///< Caused by one processor of the heavy image.
  double m_idle_ms = 10.0;

  double OwnLoad() const {
    const double seconds = std::chrono::duration<double>(m_now.time_since_epoch()).count();
    return 0.42 * (1.0 + 0.5 * std::sin(2.0 * 3.14159265 * seconds / 14.0));
  }

  double Latency(const std::map<ImageName, double>& cores) const {
    const auto heavy = cores.find(kHeavy);
    const double growth = heavy != cores.end() ? heavy->second * m_heavy_growth : 0.0;
    return m_idle_ms / (1.0 - std::min(0.97, OwnLoad() * (1.0 + growth)));
  }

  /// Simulates half a second and updates the model.
  double Step(const std::map<ImageName, double>& cores) {
    m_now += 500ms;
    const double latency = Latency(cores);
    std::map<ImageName, double> shares;
    for (const auto& [image, used] : cores) shares[image] = used / kProcessors;
    const auto loads = LoadRanges(m_before, shares);
    m_before = shares;
    ObserveLatency(m_pairs, kServing, latency);
    if (m_own_load.m_load > 0.0) {
      LearnPairs(m_pairs, kServing, m_own_load.m_load, latency, loads, m_now);
    }
    UpdateOwnLoad(m_own_load, m_pairs, kServing, latency,
                  PredictedGrowth(m_pairs, kServing, loads, m_now));
    return latency;
  }

  /// Returns the learned growth by one processor of the image.
  double Growth(const ImageName& filling) const {
    return GrowthWhenFull(m_pairs, kServing, filling, m_now) / kProcessors;
  }
};

class ImagePairsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ImagePairsTest);
  CPPUNIT_TEST(AChangeOfTheOwnLoadIsNotBlamedOnHarmlessTasks);
  CPPUNIT_TEST(TheDisturbingImageAmongSeveralIsFound);
  CPPUNIT_TEST(AWrongEstimateIsCorrectedByLowLatencies);
  CPPUNIT_TEST(TheOwnLoadEstimateFollowsTheLoad);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against throttling harmless filling tasks for a peak of the serving task's own load: 18
  /// of 41 jobs were not done, with a tenth of the processors in use (trouble-1).
  void AChangeOfTheOwnLoadIsNotBlamedOnHarmlessTasks() {
    Worker worker;
    worker.Step({});
    for (int i = 0; i < 56; ++i) worker.Step({{kLight, 8.0}});
    CPPUNIT_ASSERT(8.0 * worker.Growth(kLight) < 0.15);
  }

  void TheDisturbingImageAmongSeveralIsFound() {
    Worker worker;
    for (int i = 0; i < 28; ++i) worker.Step({{kLight, 6.0}});
    for (int i = 0; i < 10; ++i) worker.Step({{kLight, 6.0}, {kHeavy, 2.0}});
    CPPUNIT_ASSERT(worker.Growth(kHeavy) > 0.3);
    CPPUNIT_ASSERT(6.0 * worker.Growth(kLight) < 0.3);
  }

  void AWrongEstimateIsCorrectedByLowLatencies() {
    Worker worker;
    worker.m_pairs.m_pairs[{kServing, kLight}] = {.m_growth = 5.0 * kProcessors,
                                                  .m_learned = worker.m_now};
    for (int i = 0; i < 30; ++i) worker.Step({{kLight, 2.0}});
    CPPUNIT_ASSERT(worker.Growth(kLight) < 0.15);
  }

  /// Guards against an estimate of the own load that includes the disturbance by filling tasks or
  /// lags behind changes of the load.
  void TheOwnLoadEstimateFollowsTheLoad() {
    Worker worker;
    for (int i = 0; i < 56; ++i) {
      worker.Step({{kLight, 4.0}});
      if (i > 28) CPPUNIT_ASSERT_DOUBLES_EQUAL(worker.OwnLoad(), worker.m_own_load.m_load, 0.15);
    }
    worker.m_pairs.m_pairs[{kServing, kHeavy}] = {.m_growth = 0.8 * kProcessors,
                                                  .m_learned = worker.m_now};
    for (int i = 0; i < 6; ++i) worker.Step({{kHeavy, 1.0}});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(worker.OwnLoad(), worker.m_own_load.m_load, 0.15);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ImagePairsTest);

}  // namespace
}  // namespace ebonypin::core::fleet
