#include "ebonypin/core/interference.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <cmath>

namespace ebonypin::core {
namespace {

using namespace std::chrono_literals;

const ClassName kPreview{"preview"};
const ClassName kRender{"render"};
const ClassName kArchive{"archive"};

class InterferenceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InterferenceTest);
  CPPUNIT_TEST(InterferingClassIsDistinguishedFromAHarmlessOne);
  CPPUNIT_TEST(ErrorIsAttributedByNumberOfTasks);
  CPPUNIT_TEST(EstimateDecaysToThePrior);
  CPPUNIT_TEST(EstimatesStayWithinTheirLimits);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against throttling a harmless class that ran at the same time as an interfering one.
  void InterferingClassIsDistinguishedFromAHarmlessOne() {
    InterferenceModel model;
    const InterferenceOptions options;
    Time now{100s};
    for (int i = 0; i < 200; ++i) {
      now += 1s;
      const double renders = i % 3;
      const double archives = (i / 3) % 3;
      LearnInterference(model, options, kPreview, 1.0 + 0.5 * renders + 0.02 * archives,
                        {{kRender, renders}, {kArchive, archives}}, now);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, PairSlowdown(model, options, kPreview, kRender, now), 0.05);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.02, PairSlowdown(model, options, kPreview, kArchive, now), 0.05);
    CPPUNIT_ASSERT_EQUAL(options.m_prior, PairSlowdown(model, options, kRender, kPreview, now));
  }

  /// Guards against attributing a slowdown to a class that hardly ran.
  void ErrorIsAttributedByNumberOfTasks() {
    InterferenceModel model;
    const InterferenceOptions options{.m_prior = 0.0};
    LearnInterference(model, options, kPreview, 4.0, {{kRender, 3.0}, {kArchive, 0.3}}, Time{1s});
    const double render = PairSlowdown(model, options, kPreview, kRender, Time{1s});
    const double archive = PairSlowdown(model, options, kPreview, kArchive, Time{1s});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10.0 * archive, render, 0.001);
  }

  /// Guards against separating two classes permanently because of interference that has passed.
  void EstimateDecaysToThePrior() {
    InterferenceModel model;
    const InterferenceOptions options;
    const Time now{100s};
    for (int i = 0; i < 100; ++i) {
      LearnInterference(model, options, kPreview, 2.0, {{kRender, 1.0}}, now);
    }
    const double half = PairSlowdown(model, options, kPreview, kRender, now + options.m_half_life);
    CPPUNIT_ASSERT_DOUBLES_EQUAL((1.0 + options.m_prior) / 2.0, half, 0.01);
    const double later = PairSlowdown(model, options, kPreview, kRender, now + 2h);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(options.m_prior, later, 0.01);
  }

  void EstimatesStayWithinTheirLimits() {
    CPPUNIT_ASSERT(rc::check("no measurement moves an estimate outside its limits", [] {
      InterferenceModel model;
      const InterferenceOptions options;
      Time now{100s};
      for (int i = 0; i < 30; ++i) {
        now += 1s;
        const double slowdown = *rc::gen::inRange(0, 100000) / 10.0;
        LearnInterference(model, options, kPreview, slowdown,
                          {{kRender, *rc::gen::inRange(0, 80) / 10.0}, {kArchive, 1.0}}, now);
        const double extra = PairSlowdown(model, options, kPreview, kRender, now);
        RC_ASSERT(std::isfinite(extra) && extra >= 0.0 && extra <= options.m_max_extra);
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InterferenceTest);

}  // namespace
}  // namespace ebonypin::core
