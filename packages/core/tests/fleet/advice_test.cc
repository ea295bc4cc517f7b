/// Tickets of the advice service, which are valid for one life of a worker.
#include <cppunit/extensions/HelperMacros.h>

#include "fleet_fixture.h"

namespace ebonypin::core::fleet {
namespace {

using namespace std::chrono_literals;

class AdviceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdviceTest);
  CPPUNIT_TEST(AWorkerThatComesBackIsAskedAboutAgain);
  CPPUNIT_TEST(AnAnswerAboutAFormerLifeStartsNothing);
  CPPUNIT_TEST(ALostStartIsRepeatedWithANewTicket);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against starts that carry the ticket of a worker's former life, which are refused until
  /// the ticket expires.
  void AWorkerThatComesBackIsAskedAboutAgain() {
    Site site = AskAboutOneWorker();
    const auto first = TakeRequest(site);
    OnAdvice(site.m_state, site.m_now, first.m_number, {{{"w-a"}, "old"}}, 120s);
    auto starts = site.Starts();
    CPPUNIT_ASSERT_EQUAL(std::string{"old"}, starts.at(0).second.m_ticket);

    ComeBack(site);
    site.Advance(2s);
    CPPUNIT_ASSERT(site.Starts().empty());
    const auto second = TakeRequest(site);
    CPPUNIT_ASSERT(second.m_workers == first.m_workers);
    OnAdvice(site.m_state, site.m_now, second.m_number, {{{"w-a"}, "new"}}, 120s);
    starts = site.Starts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, starts.size());
    CPPUNIT_ASSERT_EQUAL(std::string{"new"}, starts[0].second.m_ticket);
  }

  /// Guards against a start that is repeated with a ticket that the worker has refused, because the
  /// answer of the service was late, until the coordinator takes the ticket for expired.
  void ALostStartIsRepeatedWithANewTicket() {
    Site site = AskAboutOneWorker();
    const auto first = TakeRequest(site);
    OnAdvice(site.m_state, site.m_now, first.m_number, {{{"w-a"}, "old"}}, 120s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.Starts().size());
    (void)OnReport(site.m_state, site.m_now, site.Report("a"));  // Lists no run.
    site.Advance(2s);
    CPPUNIT_ASSERT(site.Starts().empty());
    const auto second = TakeRequest(site);
    OnAdvice(site.m_state, site.m_now, second.m_number, {{{"w-a"}, "new"}}, 120s);
    CPPUNIT_ASSERT_EQUAL(std::string{"new"}, site.Starts().at(0).second.m_ticket);
  }

  /// Guards against a start with the ticket of a former life when the worker comes back before the
  /// answer arrives.
  void AnAnswerAboutAFormerLifeStartsNothing() {
    Site site = AskAboutOneWorker();
    const auto first = TakeRequest(site);
    ComeBack(site);
    OnAdvice(site.m_state, site.m_now, first.m_number, {{{"w-a"}, "old"}}, 120s);
    CPPUNIT_ASSERT(site.Starts().empty());
    CPPUNIT_ASSERT(TakeRequest(site).m_workers == first.m_workers);
  }

 private:
  static Site AskAboutOneWorker() {
    Site site;
    site.Join("a");
    auto job = MakeJob("j");
    job.m_policy.m_advised = true;
    site.Accept(job);
    CPPUNIT_ASSERT(site.Starts().empty());
    return site;
  }

  static AdviceRequest TakeRequest(Site& site) {
    auto requests = std::exchange(site.m_state.m_advice_requests, {});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requests.size());
    return requests.front();
  }

  /// The worker of agent `a` begins another life under its id, with nothing running.
  static void ComeBack(Site& site) {
    auto report = site.Report("a");
    report.m_worker.m_born += 5000;
    (void)site.ReportInNewSession(report);
    site.Write();
    report = site.Report("a");
    report.m_worker.m_born += 5000;
    (void)OnReport(site.m_state, site.m_now, report);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdviceTest);

}  // namespace
}  // namespace ebonypin::core::fleet
