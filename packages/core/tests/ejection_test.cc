#include "ebonypin/core/ejection.h"

#include <cppunit/extensions/HelperMacros.h>

namespace ebonypin::core {
namespace {

using namespace std::chrono_literals;

/// Nine agents, three to a failure domain.
struct Site {
  Site() {
    for (int i = 0; i < 9; ++i) Hear(i, 1);
  }

  void Hear(const int agent, const Incarnation incarnation) {
    ObserveHeartbeat(m_fleet,
                     {.m_agent = Name(agent),
                      .m_incarnation = incarnation,
                      .m_domain = {"d" + std::to_string(agent / 3)},
                      .m_capacity = {.m_cpu_millis = 16000}},
                     m_now);
  }

  static AgentId Name(const int agent) { return {"a" + std::to_string(agent)}; }

  EjectionChange Outcome(const int agent, const bool good) {
    return RecordOutcome(m_state, m_fleet, {}, Name(agent), good, m_now);
  }

  void Fail(const int agent, const int times) {
    for (int i = 0; i < times; ++i) Outcome(agent, false);
  }

  [[nodiscard]] bool Usable(const int agent) const {
    return IsUsable(*FindAgent(m_fleet, Name(agent)));
  }

  /// Sends one piece of work to a worker on trial and reports its outcome.
  EjectionChange Trial(const int agent, const bool good) {
    RecordSent(m_state, m_fleet, {}, Name(agent), m_now);
    CPPUNIT_ASSERT(!Usable(agent));
    return Outcome(agent, good);
  }

  Time m_now{100s};
  FleetView m_fleet;
  EjectionState m_state;
};

class EjectionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EjectionTest);
  CPPUNIT_TEST(FailingWorkerIsEjectedAndReadmittedAfterTrials);
  CPPUNIT_TEST(FailedTrialEjectsForLonger);
  CPPUNIT_TEST(NoWorkerIsEjectedWhenWorkFailsEverywhere);
  CPPUNIT_TEST(OnlyAShareOfADomainIsEjected);
  CPPUNIT_TEST(NewIncarnationIsNotEjected);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a worker that fails its work quickly and therefore attracts more.
  void FailingWorkerIsEjectedAndReadmittedAfterTrials() {
    Site site;
    for (int i = 0; i < 8; ++i) site.Outcome(i, true);
    site.Fail(8, 2);
    CPPUNIT_ASSERT(site.Usable(8));
    CPPUNIT_ASSERT(site.Outcome(8, false) == EjectionChange::kEjected);
    CPPUNIT_ASSERT(!site.Usable(8));
    site.Outcome(8, true);  // Sent before the ejection.
    CPPUNIT_ASSERT(SweepEjection(site.m_state, site.m_fleet, site.m_now + 9s).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         SweepEjection(site.m_state, site.m_fleet, site.m_now + 10s).size());
    CPPUNIT_ASSERT(site.Usable(8));
    CPPUNIT_ASSERT(site.Trial(8, true) == EjectionChange::kNone);
    CPPUNIT_ASSERT(site.Trial(8, true) == EjectionChange::kNone);
    CPPUNIT_ASSERT(site.Trial(8, true) == EjectionChange::kReturned);
    CPPUNIT_ASSERT(site.Usable(8));
  }

  void FailedTrialEjectsForLonger() {
    Site site;
    for (int i = 0; i < 8; ++i) site.Outcome(i, true);
    site.Fail(8, 3);
    site.m_now += 10s;
    SweepEjection(site.m_state, site.m_fleet, site.m_now);
    CPPUNIT_ASSERT(site.Trial(8, false) == EjectionChange::kEjected);
    CPPUNIT_ASSERT(SweepEjection(site.m_state, site.m_fleet, site.m_now + 19s).empty());
    CPPUNIT_ASSERT(!SweepEjection(site.m_state, site.m_fleet, site.m_now + 20s).empty());
  }

  /// Guards against ejecting workers because of a class that fails on every worker.
  void NoWorkerIsEjectedWhenWorkFailsEverywhere() {
    Site site;
    for (int round = 0; round < 20; ++round) {
      for (int i = 0; i < 9; ++i) site.Outcome(i, round % 2 == 0);
    }
    for (int i = 0; i < 9; ++i) CPPUNIT_ASSERT(site.Usable(i));
  }

  /// Guards against ejecting all workers of a failure domain.
  void OnlyAShareOfADomainIsEjected() {
    Site site;
    for (int i = 0; i < 60; ++i) site.Outcome(i % 6, true);
    for (int i = 6; i < 9; ++i) site.Fail(i, 10);
    int usable = 0;
    for (int i = 6; i < 9; ++i) usable += site.Usable(i) ? 1 : 0;
    CPPUNIT_ASSERT_EQUAL(2, usable);
  }

  void NewIncarnationIsNotEjected() {
    Site site;
    for (int i = 0; i < 8; ++i) site.Outcome(i, true);
    site.Fail(8, 3);
    site.Hear(8, 2);
    SweepEjection(site.m_state, site.m_fleet, site.m_now);
    CPPUNIT_ASSERT(site.Usable(8));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EjectionTest);

}  // namespace
}  // namespace ebonypin::core
