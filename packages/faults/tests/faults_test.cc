#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>
#include <string>

#include "ebonypin/faults/explore.h"
#include "ebonypin/faults/world.h"

namespace ebonypin::faults {
namespace {

void ExpectNoViolations(const ExploreOptions& options) {
  const Exploration found = Explore(options);
  std::string message = "seed " + std::to_string(options.m_seed) + ": " + found.m_schedule;
  for (const std::string& violation : found.m_violations) message += "\n" + violation;
  CPPUNIT_ASSERT_MESSAGE(message, found.m_violations.empty());
  CPPUNIT_ASSERT(found.m_operations > 0);
}

class FaultsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FaultsTest);
  CPPUNIT_TEST(GeneratedSchedulesViolateNothing);
  CPPUNIT_TEST(EveryKindOfFaultViolatesNothing);
  CPPUNIT_TEST(SameScheduleGivesSameHistory);
  CPPUNIT_TEST(RunWithoutFaultsDoesAllWork);
  CPPUNIT_TEST(EveryDefectIsCaught);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against violations of I1 to I9 and untrue answers under injected faults.
  void GeneratedSchedulesViolateNothing() {
    for (const std::uint64_t seed : {1, 2, 3}) ExpectNoViolations({.m_seed = seed, .m_rounds = 50});
  }

  /// Guards against the same failures under a long fault of each kind, alone and with other faults.
  void EveryKindOfFaultViolatesNothing() {
    for (std::size_t kind = 0; kind < kFaultKinds; ++kind)
      ExpectNoViolations({.m_seed = 4, .m_rounds = 8, .m_always = static_cast<FaultKind>(kind)});
  }

  /// Guards against nondeterministic runs, which would make a failing schedule impossible to
  /// repeat.
  void SameScheduleGivesSameHistory() {
    const Schedule schedule{
        .m_seed = 7,
        .m_faults = {{.m_kind = FaultKind::kCrashEntry, .m_at_ms = 20'000, .m_length_ms = 9'000}}};
    const History first = Run(schedule);
    const History second = Run(schedule);
    CPPUNIT_ASSERT_EQUAL(first.size(), second.size());
    for (std::size_t i = 0; i < first.size(); ++i) {
      CPPUNIT_ASSERT_EQUAL(first[i].m_at_us, second[i].m_at_us);
      CPPUNIT_ASSERT_EQUAL(first[i].m_job, second[i].m_job);
    }
  }

  /// Guards against a harness that does no work and therefore never violates anything.
  void RunWithoutFaultsDoesAllWork() {
    int accepted = 0;
    int done = 0;
    int ended = 0;
    for (const Event& event : Run({.m_seed = 5})) {
      if (event.m_kind == EventKind::kRequestAnswered && event.m_text == "accepted") ++accepted;
      if (event.m_kind == EventKind::kRequestAnswered && event.m_text == "done") ++done;
      if (event.m_kind == EventKind::kTaskEnd && event.m_text == "ended") ++ended;
    }
    CPPUNIT_ASSERT_EQUAL(14, accepted);
    CPPUNIT_ASSERT_EQUAL(40, done);
    CPPUNIT_ASSERT(ended >= 8);
  }

  /// Guards against a checker that passes everything. Prints, for each defect, whether and in which
  /// round it was caught.
  void EveryDefectIsCaught() {
    std::printf("\n");
    for (const Defect defect : kDefects) {
      ExploreOptions options{.m_seed = 1, .m_rounds = 400, .m_defect = defect, .m_shrink = false};
      // This defect shows only if an owner and its worker are cut off together for longer than the
      // owner's authority lasts.
      if (defect == Defect::kAuthorityForever) options.m_always = FaultKind::kPartition;
      const Exploration found = Explore(options);
      const bool caught = !found.m_violations.empty();
      std::printf("defect %-24s %s in round %zu: %s\n", std::string(DefectName(defect)).c_str(),
                  caught ? "caught" : "MISSED", found.m_rounds,
                  caught ? found.m_violations.front().c_str() : "");
      std::fflush(stdout);
      CPPUNIT_ASSERT_MESSAGE(std::string(DefectName(defect)), caught);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultsTest);

}  // namespace
}  // namespace ebonypin::faults
