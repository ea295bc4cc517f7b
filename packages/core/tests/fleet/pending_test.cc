#include <cppunit/extensions/HelperMacros.h>

#include "fleet_fixture.h"

namespace ebonypin::core::fleet {
namespace {

/// Number of a queue's jobs that wait for their first start.
class PendingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PendingTest);
  CPPUNIT_TEST(AJobWhoseAgentIsOutOfReachHasNotBegun);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a count of zero while jobs wait for seconds: they were placed at an agent that
  /// was cut off just before and took no order until its grant ended.
  void AJobWhoseAgentIsOutOfReachHasNotBegun() {
    Site site;
    site.Join("a");
    site.Accept(MakeJob("j"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.Starts().size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, Pending(site));
    site.ListPlacedRuns("a");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Pending(site));
  }

 private:
  static std::uint64_t Pending(Site& site) {
    const JobCall call{.m_kind = JobCallKind::kPending,
                       .m_job = {.m_policy = {.m_queue = {"renders"}}}};
    return OnCall(site.m_state, site.m_now, call)->m_pending;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PendingTest);

}  // namespace
}  // namespace ebonypin::core::fleet
