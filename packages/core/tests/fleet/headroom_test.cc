/// Processors that are left free for urgent tasks.
#include <cppunit/extensions/HelperMacros.h>

#include "fleet_fixture.h"

namespace ebonypin::core::fleet {
namespace {

/// Returns a job of low priority with one task of `cpu_millis`; workers have 4000.
JobSpec MakeLowJob(const std::string& id, const std::int64_t cpu_millis) {
  auto job = MakeJob(id);
  job.m_policy.m_priority = 2;
  job.m_steps[0].m_size.m_cpu_millis = cpu_millis;
  return job;
}

class HeadroomTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HeadroomTest);
  CPPUNIT_TEST(ATaskOfNearlyAWholeWorkerIsStartedOnAnEmptyOne);
  CPPUNIT_TEST(AWorkerThatIsNotEmptyKeepsItsHeadroom);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against accepted jobs that are never started: the headroom was taken off the room of an
  /// empty worker too, so that a task of over 0.92 of a worker fitted nowhere.
  void ATaskOfNearlyAWholeWorkerIsStartedOnAnEmptyOne() {
    for (const std::int64_t cpu_millis : {3750, 4000}) {
      Site site;
      site.Join("a");
      site.Accept(MakeLowJob("large", cpu_millis));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.Starts().size());
    }
  }

  /// Guards against urgent tasks without room for their start.
  void AWorkerThatIsNotEmptyKeepsItsHeadroom() {
    Site site;
    site.Join("a");
    site.Accept(MakeLowJob("first", 2000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.Starts().size());
    site.Accept(MakeLowJob("second", 1900));
    CPPUNIT_ASSERT(site.Starts().empty());
    auto urgent = MakeLowJob("urgent", 1900);
    urgent.m_policy.m_priority = 0;
    site.Accept(urgent);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.Starts().size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeadroomTest);

}  // namespace
}  // namespace ebonypin::core::fleet
