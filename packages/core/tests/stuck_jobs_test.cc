#include "ebonypin/core/stuck_jobs.h"

#include <cppunit/extensions/HelperMacros.h>

namespace ebonypin::core {
namespace {

/// A table with the open jobs "a" to "d", and an owner that holds them.
struct Fixture {
  JobTable m_table;
  JobOwner m_owner = MakeJobOwner({.m_entry = {"entry-1"}, .m_incarnation = 1});

  Fixture() {
    std::vector<JobEvent> events;
    LogBatch batch{.m_batch_id = "b"};
    for (const char* const id : {"a", "b", "c", "d"}) {
      batch.m_records.emplace_back(
          JobAccepted{.m_job = {id}, .m_request = {.m_class = {"render"}}});
      m_owner.m_jobs[{id}] = {};
    }
    Apply(m_table, 1, batch, events);
  }

  OwnedJob& Job(const char* const id) { return m_owner.m_jobs.at({id}); }
};

class StuckJobsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StuckJobsTest);
  CPPUNIT_TEST(JobsWithoutProgressAreListedWithTheirReason);
  CPPUNIT_TEST(TheListIsBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a job that waits forever without a reason that operators can see, and against
  /// listing jobs that only wait for their turn.
  void JobsWithoutProgressAreListedWithTheirReason() {
    Fixture fixture;
    fixture.Job("a").m_failures = kStuckFailures - 1;
    fixture.Job("b").m_failures = kStuckFailures;
    fixture.Job("b").m_last_refusal = "all slots are taken";
    fixture.Job("c").m_stage = OwnedStage::kProbing;
    fixture.Job("c").m_non_idempotent = true;
    fixture.Job("d").m_stage = OwnedStage::kRunning;
    const auto stuck = StuckJobs(fixture.m_owner, fixture.m_table, 10);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, stuck.size());
    CPPUNIT_ASSERT_EQUAL(std::string{"b"}, stuck[0].m_job.m_value);
    CPPUNIT_ASSERT_EQUAL(std::string{"no worker accepts it: all slots are taken"},
                         stuck[0].m_reason);
    CPPUNIT_ASSERT_EQUAL(std::string{"c"}, stuck[1].m_job.m_value);
    CPPUNIT_ASSERT(stuck[1].m_reason.find("unresolved") != std::string::npos);
  }

  /// Guards against a list that grows with the number of waiting jobs.
  void TheListIsBounded() {
    Fixture fixture;
    for (const char* const id : {"a", "b", "c", "d"}) fixture.Job(id).m_failures = kStuckFailures;
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, StuckJobs(fixture.m_owner, fixture.m_table, 2).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StuckJobsTest);

}  // namespace
}  // namespace ebonypin::core
