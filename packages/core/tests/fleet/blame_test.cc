/// Replays workers whose filling tasks start and end at different times, as on a site of hundreds
/// of workers.
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cmath>
#include <random>
#include <string>
#include <vector>

#include "ebonypin/core/fleet/image_pairs.h"

namespace ebonypin::core::fleet {
namespace {

using namespace std::chrono_literals;

const ImageName kServing{"serving"};
constexpr double kIdleMs = 4.0;
constexpr double kHarmless = 0.4;  ///< Growth by a worker full of a harmless image.
constexpr double kHeavy = 5.0;     ///< Growth by a disturbing image; one image in three is one.
constexpr std::size_t kImages = 30;

ImageName Image(const std::size_t number) { return {"filling-" + std::to_string(number)}; }

bool IsHeavy(const std::size_t number) { return number % 3 == 0; }

/// Simulates 30 s of one serving image on 24 workers, each with up to four filling images that
/// change every few seconds. Latencies have an error of a twentieth and are rounded, as reported by
/// workers. The own load that the other tasks of the step show has a slightly larger error.
ImagePairs Learn(const unsigned seed) {
  constexpr std::size_t kWorkers = 24;
  std::mt19937 random(seed);
  std::normal_distribution<double> noise(1.0, 0.05);
  std::normal_distribution<double> peers(1.0, 0.08);
  std::uniform_int_distribution<std::size_t> image(0, kImages - 1);
  std::uniform_real_distribution<double> share(0.05, 0.25);
  std::bernoulli_distribution changes(0.2);
  std::vector<std::map<ImageName, double>> filling(kWorkers);
  std::vector<double> growth(kWorkers, 1.0);
  ImagePairs pairs;
  ObserveLatency(pairs, kServing, kIdleMs);
  for (int step = 0; step < 60; ++step) {
    const Time now{1h + step * 500ms};
    const double own = 0.42 * (1.0 + 0.5 * std::sin(2.0 * 3.14159265 * step / 20.0));
    for (std::size_t worker = 0; worker < kWorkers; ++worker) {
      const auto before = filling[worker];
      if (changes(random)) {
        filling[worker].clear();
        growth[worker] = 1.0;
        for (int i = 0; i < 4; ++i) {
          const auto number = image(random);
          const double load = share(random);
          filling[worker][Image(number)] += load;
          growth[worker] += load * (IsHeavy(number) ? kHeavy : kHarmless);
        }
      }
      const double utilisation = std::min(own * growth[worker], 0.97);
      const double latency =
          std::max(std::round(kIdleMs / (1.0 - utilisation) * noise(random)), kIdleMs);
      LearnPairs(pairs, kServing, own * peers(random), latency, LoadRanges(before, filling[worker]),
                 now, kPeerEstimateError);
    }
  }
  return pairs;
}

class BlameTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BlameTest);
  CPPUNIT_TEST(AHarmlessImageIsNotBlamedForItsNeighbours);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a harmless image that is estimated as more disturbing than an unknown one
  /// because it ran beside a disturbing image, and the reverse. On a large site (scale-2 with seed
  /// 61) a quarter of the harmless pairs were, and jobs of filling tasks took twice their
  /// objective. After 30 s no pair may be on the wrong side of the estimate for an unknown one.
  void AHarmlessImageIsNotBlamedForItsNeighbours() {
    for (unsigned seed = 1; seed <= 5; ++seed) {
      const Time now{1h + 30s};
      const auto pairs = Learn(seed);
      const double unknown = GrowthWhenFull({}, kServing, Image(0), now);
      std::string wrong;
      for (std::size_t i = 0; i < kImages; ++i) {
        const double growth = GrowthWhenFull(pairs, kServing, Image(i), now);
        if ((growth > unknown) != IsHeavy(i)) {
          wrong += " " + Image(i).m_value + "=" + std::to_string(growth);
        }
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string{}, wrong);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BlameTest);

}  // namespace
}  // namespace ebonypin::core::fleet
