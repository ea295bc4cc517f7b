/// Orders that an agent has taken although the coordinator got no reply in time.
#include <cppunit/extensions/HelperMacros.h>

#include "fleet_fixture.h"

namespace ebonypin::core::fleet {
namespace {

using namespace std::chrono_literals;

class OrdersTakenTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OrdersTakenTest);
  CPPUNIT_TEST(AReportConfirmsOrdersWhoseReplyWasLate);
  CPPUNIT_TEST(AReportConfirmsNoLaterOrders);
  CPPUNIT_TEST(AReportOfAFormerSessionConfirmsNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against the same orders being sent again for as long as each reply of a slow agent
  /// comes after the deadline of its call: the orders behind them, stops among them, were never
  /// sent.
  void AReportConfirmsOrdersWhoseReplyWasLate() {
    Site site = StartTwo();
    site.ListPlacedRuns("a");
    CPPUNIT_ASSERT(Orders(site).empty());
  }

  /// Guards against an order that is lost because a report made before it confirms it.
  void AReportConfirmsNoLaterOrders() {
    Site site = StartTwo();
    auto report = site.Report("a");
    report.m_last_order = 1;
    (void)OnReport(site.m_state, site.m_now, report);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Orders(site).size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Orders(site).front().m_number);
  }

  /// Guards against the same when the numbers are those of an earlier session.
  void AReportOfAFormerSessionConfirmsNothing() {
    Site site = StartTwo();
    auto report = site.Report("a");
    report.m_session -= 1;
    (void)OnReport(site.m_state, site.m_now, report);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Orders(site).size());
  }

 private:
  /// Returns a site whose agent was sent two starts and has not replied.
  static Site StartTwo() {
    Site site;
    site.Join("a");
    site.Accept(MakeJob("j", 2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, site.Starts().size());
    return site;
  }

  static const std::deque<Order>& Orders(const Site& site) {
    return site.m_state.m_agents.at({"a"}).m_orders;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrdersTakenTest);

}  // namespace
}  // namespace ebonypin::core::fleet
