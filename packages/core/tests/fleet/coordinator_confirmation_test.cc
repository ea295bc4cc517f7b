/// Coordinator that loses the store and does not know whether it has a successor.
#include <cppunit/extensions/HelperMacros.h>

#include "ebonypin/core/fleet/coordinator.h"
#include "fleet_fixture.h"

namespace ebonypin::core::fleet {
namespace {

using namespace std::chrono_literals;

class CoordinatorConfirmationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CoordinatorConfirmationTest);
  CPPUNIT_TEST(AnAgentThatMayHaveASuccessorsGrantKeepsItsRun);
  CPPUNIT_TEST(ASilentMemberThatMayHaveASuccessorsGrantIsWaitedFor);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a second run of a task whose agent went over to a successor. The former
  /// coordinator does not know of it and acts for 10 s after its last confirmation, which is longer
  /// than its grant to that agent.
  void AnAgentThatMayHaveASuccessorsGrantKeepsItsRun() {
    Site site;
    site.Join("a");
    site.Accept(MakeJob("j"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.Starts().size());
    const auto confirmed = site.m_now;
    site.Join("b");

    site.Advance(6s);
    CPPUNIT_ASSERT(NeedsConfirmation(site.m_state, site.m_now, confirmed));
    Tick(site.m_state, site.m_now, site.m_wall, confirmed);
    site.Join("b");
    site.Advance(1s);
    CPPUNIT_ASSERT(site.Starts().empty());

    // No successor has fenced the store by now, so no other grant was given.
    Tick(site.m_state, site.m_now, site.m_wall, site.m_now);
    CPPUNIT_ASSERT(!NeedsConfirmation(site.m_state, site.m_now, site.m_now));
    site.Join("b");
    site.Advance(1s);
    const auto starts = site.Starts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    CPPUNIT_ASSERT_EQUAL(std::string{"b"}, starts[0].first);
  }

  /// Guards against the same for a member that has not reported since the last takeover.
  void ASilentMemberThatMayHaveASuccessorsGrantIsWaitedFor() {
    Site site;
    site.m_state.m_epoch = 2;
    Restore(site.m_state, site.m_now, MakeJob("old"));
    Restore(site.m_state, MemberRecord{.m_agent = {"a"}, .m_rpc_address = "a"});
    const auto until = site.m_now + 5600ms;
    FinishRestore(site.m_state, site.m_now, {.m_until = until});
    site.Advance(6s);
    site.Join("b");
    CPPUNIT_ASSERT(NeedsConfirmation(site.m_state, site.m_now, until - 1ms));
    Tick(site.m_state, site.m_now, site.m_wall, until - 1ms);
    CPPUNIT_ASSERT(site.Starts().empty());
    Tick(site.m_state, site.m_now, site.m_wall, until);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.Starts().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoordinatorConfirmationTest);

}  // namespace
}  // namespace ebonypin::core::fleet
