#include "ebonypin/core/retry_budget.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <set>

namespace ebonypin::core {
namespace {

using namespace std::chrono_literals;

class RetryBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryBudgetTest);
  CPPUNIT_TEST(RetriesStayBelowTheirShare);
  CPPUNIT_TEST(BackoffGrowsWithJitterUpToItsLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against retries that amplify an overload.
  void RetriesStayBelowTheirShare() {
    CPPUNIT_ASSERT(rc::check("retries never exceed the capacity and their share of tries", [] {
      RetryBudget budget;
      const RetryBudgetOptions options{.m_ratio = 0.1, .m_capacity = 3.0};
      double tries = 0.0;
      double retries = 0.0;
      const auto steps = *rc::gen::container<std::vector<bool>>(rc::gen::arbitrary<bool>());
      for (const bool is_try : steps) {
        if (is_try) {
          CreditTry(budget, options);
          tries += 1.0;
        } else {
          retries += TakeTry(budget, options) ? 1.0 : 0.0;
        }
        RC_ASSERT(retries <= options.m_capacity + options.m_ratio * tries + 1e-9);
      }
    }));
  }

  /// Guards against callers that failed together and then retry together.
  void BackoffGrowsWithJitterUpToItsLimit() {
    std::mt19937_64 random{3};
    const BackoffOptions options{.m_first = 2ms, .m_largest = 200ms};
    std::set<Duration> waits;
    for (int i = 0; i < 100; ++i) {
      const Duration third = BackoffBefore(3, options, random);
      waits.insert(third);
      CPPUNIT_ASSERT(third >= 4ms && third <= 8ms);
      const Duration late = BackoffBefore(60, options, random);
      CPPUNIT_ASSERT(late >= 100ms && late <= 200ms);
    }
    CPPUNIT_ASSERT(waits.size() > 50);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryBudgetTest);

}  // namespace
}  // namespace ebonypin::core
