#include "ebonypin/core/run_time_model.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace ebonypin::core {
namespace {

using namespace std::chrono_literals;

class RunTimeModelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RunTimeModelTest);
  CPPUNIT_TEST(LearnedRunTimeReplacesAWrongDeclaration);
  CPPUNIT_TEST(StragglerIsRecognisedWhileItRuns);
  CPPUNIT_TEST(ExpectedTimeLeftGrowsWithAHeavyTail);
  CPPUNIT_TEST(LearnedSizeStaysWithinLimitsOfTheDeclaredSize);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LearnedRunTimeReplacesAWrongDeclaration() {
    RunTimeModel model;
    const RunTimeOptions options;
    CPPUNIT_ASSERT(RunTimeQuantile(model, options, 0.5, 10s) == 10s);
    const double unknown = RunTimeUncertainty(model, options, 10s);
    for (int i = 0; i < 200; ++i) LearnRun(model, options, 1s, {});
    const Duration learned = RunTimeQuantile(model, options, 0.5, 10s);
    CPPUNIT_ASSERT(learned > 900ms && learned < 1200ms);
    CPPUNIT_ASSERT(RunTimeUncertainty(model, options, 10s) < unknown);
    // When the class becomes slower, the weight of the older runs fades.
    for (int i = 0; i < 3000; ++i) LearnRun(model, options, 1s, {});
    for (int i = 0; i < 2600; ++i) LearnRun(model, options, 4s, {});
    CPPUNIT_ASSERT(RunTimeQuantile(model, options, 0.5, 10s) > 3500ms);
  }

  void StragglerIsRecognisedWhileItRuns() {
    RunTimeModel model;
    const RunTimeOptions options;
    for (int i = 0; i < 19; ++i) LearnRun(model, options, 5s, {});
    CPPUNIT_ASSERT(!IsStraggler(model, options, 250s));
    for (int i = 0; i < 100; ++i) LearnRun(model, options, i < 2 ? 250s : 5s, {});
    CPPUNIT_ASSERT(!IsStraggler(model, options, 6s));
    CPPUNIT_ASSERT(IsStraggler(model, options, 15s));
  }

  void ExpectedTimeLeftGrowsWithAHeavyTail() {
    RunTimeModel model;
    const RunTimeOptions options;
    for (int i = 0; i < 100; ++i) LearnRun(model, options, i < 3 ? 250s : 5s, {});
    CPPUNIT_ASSERT(ExpectedLeft(model, options, 1s, 5s) < 6s);
    CPPUNIT_ASSERT(ExpectedLeft(model, options, 20s, 5s) > 100s);
    CPPUNIT_ASSERT(ExpectedLeft(model, options, 1000s, 5s) == 1000s);
  }

  void LearnedSizeStaysWithinLimitsOfTheDeclaredSize() {
    RunTimeModel model;
    const RunTimeOptions options;
    const Resources used{.m_cpu_millis = 1000, .m_memory_mb = 3000};
    const Resources declared{.m_cpu_millis = 50, .m_memory_mb = 30000, .m_accelerators = 2};
    CPPUNIT_ASSERT(LearnedSize(model, options, declared) == declared);
    for (int i = 0; i < 50; ++i) LearnRun(model, options, 1s, used);
    const Resources learned = LearnedSize(model, options, declared);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{500}, learned.m_cpu_millis);
    CPPUNIT_ASSERT(learned.m_memory_mb >= 3000 && learned.m_memory_mb < 4200);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, learned.m_accelerators);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RunTimeModelTest);

}  // namespace
}  // namespace ebonypin::core
