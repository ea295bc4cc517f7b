#include "ebonypin/core/fleet/evacuation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "fleet_fixture.h"

namespace ebonypin::core::fleet {
namespace {

using namespace std::chrono_literals;

AgentReport ReportFrom(Site& site, const std::string& agent, const std::string& domain) {
  auto report = site.Report(agent);
  report.m_worker.m_domain = domain;
  return report;
}

/// Adds an agent whose worker is in `domain`.
void JoinIn(Site& site, const std::string& agent, const std::string& domain) {
  (void)site.ReportInNewSession(ReportFrom(site, agent, domain));
  site.Write();
  (void)OnReport(site.m_state, site.m_now, ReportFrom(site, agent, domain));
}

std::set<std::string> AgentsOf(const std::vector<std::pair<std::string, StartOrder>>& starts) {
  std::set<std::string> agents;
  for (const auto& [agent, start] : starts) agents.insert(agent);
  return agents;
}

/// Failure domains under evacuation.
class EvacuationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuationTest);
  CPPUNIT_TEST(NothingStartsInADomainUnderEvacuation);
  CPPUNIT_TEST(AWorkerThatComesLaterIsBarredToo);
  CPPUNIT_TEST(WorkWaitsWhileAllDomainsAreUnderEvacuation);
  CPPUNIT_TEST(RunningWorkGoesOn);
  CPPUNIT_TEST(AServingTaskThatEndsThereRestartsElsewhere);
  CPPUNIT_TEST(AStartThatNoAgentHasTakenIsWithdrawn);
  CPPUNIT_TEST(AGangIsWithdrawnAsAWhole);
  CPPUNIT_TEST(OtherDomainsKeepTheirStarts);
  CPPUNIT_TEST(RecordsThatVanishedEndTheirEvacuations);
  CPPUNIT_TEST(AnEmptyNameChangesNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void NothingStartsInADomainUnderEvacuation() {
    Site site;
    JoinIn(site, "a", "north");
    JoinIn(site, "b", "south");
    SetEvacuations(site.m_state, {"north"});
    site.Accept(MakeJob("j", 8));
    CPPUNIT_ASSERT(AgentsOf(site.Starts()) == std::set<std::string>{"b"});
    SetEvacuations(site.m_state, {});
    CPPUNIT_ASSERT(AgentsOf(site.Starts()) == std::set<std::string>{"a"});
  }

  /// Guards against a worker that joins, or that a new coordinator hears of, during the evacuation.
  void AWorkerThatComesLaterIsBarredToo() {
    Site site;
    SetEvacuations(site.m_state, {"north", "a name that no instance has"});
    JoinIn(site, "a", "north");
    site.Accept(MakeJob("j"));
    CPPUNIT_ASSERT(site.Starts().empty());
  }

  void WorkWaitsWhileAllDomainsAreUnderEvacuation() {
    Site site;
    JoinIn(site, "a", "north");
    JoinIn(site, "b", "south");
    SetEvacuations(site.m_state, {"north"});
    SetEvacuations(site.m_state, {"north", "south"});
    site.Accept(MakeJob("j", 2));
    CPPUNIT_ASSERT(site.Starts().empty());
    SetEvacuations(site.m_state, {"north"});
    CPPUNIT_ASSERT(AgentsOf(site.Starts()) == std::set<std::string>{"b"});
  }

  void RunningWorkGoesOn() {
    Site site;
    JoinIn(site, "a", "north");
    site.Accept(MakeJob("j"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.Starts().size());
    auto report = ReportFrom(site, "a", "north");
    report.m_runs = {{.m_task = Ref("j"), .m_run = 1}};
    (void)OnReport(site.m_state, site.m_now, report);
    OnOrdersTaken(site.m_state, {"a"}, report.m_session, 1);
    SetEvacuations(site.m_state, {"north"});
    Tick(site.m_state, site.m_now, site.m_wall, site.m_now);
    CPPUNIT_ASSERT(site.Stops().empty());
  }

  /// Guards against a lasting task that is started again where it ran.
  void AServingTaskThatEndsThereRestartsElsewhere() {
    Site site;
    JoinIn(site, "a", "north");
    site.Accept(MakeServingJob("watch", 1, {"search"}));
    CPPUNIT_ASSERT(AgentsOf(site.Starts()) == std::set<std::string>{"a"});
    SetEvacuations(site.m_state, {"north"});
    auto end = ReportFrom(site, "a", "north");
    end.m_ends = {
        {.m_number = 1, .m_task = Ref("watch"), .m_run = 1, .m_outcome = RunOutcome::kFailed}};
    (void)OnReport(site.m_state, site.m_now, end);
    site.Write();
    site.Advance(1s);
    (void)OnReport(site.m_state, site.m_now, ReportFrom(site, "a", "north"));
    CPPUNIT_ASSERT(site.Starts().empty());
    JoinIn(site, "b", "south");
    CPPUNIT_ASSERT(AgentsOf(site.Starts()) == std::set<std::string>{"b"});
  }

  /// Guards against a start that an unreachable agent takes after the time allowed.
  void AStartThatNoAgentHasTakenIsWithdrawn() {
    Site site;
    JoinIn(site, "a", "north");
    site.Accept(MakeJob("j"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.Starts().size());
    SetEvacuations(site.m_state, {"north"});
    CPPUNIT_ASSERT(site.Stops() == std::vector<TaskRef>{Ref("j")});
    SetEvacuations(site.m_state, {"north"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.Stops().size());
  }

  /// Guards against members of a gang that wait for one that was withdrawn.
  void AGangIsWithdrawnAsAWhole() {
    Site site;
    JoinIn(site, "a", "north");
    JoinIn(site, "b", "south");
    auto job = MakeJob("g", 8);
    job.m_steps[0].m_gang = true;
    site.Accept(job);
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, site.Starts().size());
    SetEvacuations(site.m_state, {"north"});
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, site.Stops().size());
  }

  void OtherDomainsKeepTheirStarts() {
    Site site;
    JoinIn(site, "b", "south");
    site.Accept(MakeJob("j"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.Starts().size());
    SetEvacuations(site.m_state, {"north"});
    CPPUNIT_ASSERT(site.Stops().empty());
  }

  /// Guards against an evacuation that lasts for ever because the record of its end was dropped
  /// from the store's history.
  void RecordsThatVanishedEndTheirEvacuations() {
    Evacuations evacuations;
    CPPUNIT_ASSERT(Apply(evacuations, "north", true));
    CPPUNIT_ASSERT(Apply(evacuations, "south", true));
    CPPUNIT_ASSERT(!Apply(evacuations, "south", true));
    CPPUNIT_ASSERT(!evacuations.m_known);
    CPPUNIT_ASSERT(KeepOnly(evacuations, {"south"}) == std::vector<std::string>{"north"});
    CPPUNIT_ASSERT(evacuations.m_known);
    CPPUNIT_ASSERT(evacuations.m_domains == std::set<std::string>{"south"});
    CPPUNIT_ASSERT(Apply(evacuations, "south", false));
    CPPUNIT_ASSERT(!Apply(evacuations, "south", false));
  }

  void AnEmptyNameChangesNothing() {
    Evacuations evacuations;
    CPPUNIT_ASSERT(!Apply(evacuations, "", true));
    CPPUNIT_ASSERT(evacuations.m_domains.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationTest);

}  // namespace
}  // namespace ebonypin::core::fleet
