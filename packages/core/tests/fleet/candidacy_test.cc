#include "ebonypin/core/fleet/candidacy.h"

#include <cppunit/extensions/HelperMacros.h>

namespace ebonypin::core::fleet {
namespace {

class CandidacyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CandidacyTest);
  CPPUNIT_TEST(ASmallEntryStandsAsideForALargerOne);
  CPPUNIT_TEST(TheSmallestEntryStandsWithoutLargerOnes);
  CPPUNIT_TEST(EqualEntriesAllStand);
  CPPUNIT_TEST(AMemberNameIsReadAsItWasWritten);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a leadership that moves from one entry to the next because all are too small
  /// for it: on a large site it changed 17 times in 51 s between entries of 0.12 processors.
  void ASmallEntryStandsAsideForALargerOne() {
    const Candidate large{.m_entry = "l", .m_rpc_address = "10.0.0.1:1", .m_cpu_millis = 500};
    const Candidate small{.m_entry = "s", .m_rpc_address = "10.0.0.2:1", .m_cpu_millis = 120};
    const std::vector<std::string> members{MemberName(small), MemberName(large)};
    CPPUNIT_ASSERT(DecideCandidacy(small, members) == CandidacyStep::kStandAside);
    CPPUNIT_ASSERT(DecideCandidacy(large, members) == CandidacyStep::kStand);
  }

  /// Guards against a site without a coordinator after the loss of the large entries.
  void TheSmallestEntryStandsWithoutLargerOnes() {
    const Candidate small{.m_entry = "s", .m_rpc_address = "10.0.0.2:1", .m_cpu_millis = 120};
    CPPUNIT_ASSERT(DecideCandidacy(small, {}) == CandidacyStep::kStand);
    CPPUNIT_ASSERT(DecideCandidacy(small, {MemberName(small)}) == CandidacyStep::kStand);
    CPPUNIT_ASSERT(DecideCandidacy(small, {"no member's name"}) == CandidacyStep::kStand);
  }

  void EqualEntriesAllStand() {
    const Candidate a{.m_entry = "a", .m_rpc_address = "10.0.0.1:1", .m_cpu_millis = 250};
    const Candidate b{.m_entry = "b", .m_rpc_address = "10.0.0.2:1", .m_cpu_millis = 250};
    CPPUNIT_ASSERT(DecideCandidacy(a, {MemberName(b)}) == CandidacyStep::kStand);
    CPPUNIT_ASSERT(DecideCandidacy(b, {MemberName(a)}) == CandidacyStep::kStand);
  }

  void AMemberNameIsReadAsItWasWritten() {
    const Candidate a{.m_entry = "a", .m_rpc_address = "10.0.0.1:7", .m_cpu_millis = 250};
    CPPUNIT_ASSERT(ParseMember(MemberName(a)) == a);
    CPPUNIT_ASSERT(ParseMember("a@10.0.0.1:7")->m_cpu_millis == 0);
    CPPUNIT_ASSERT(!ParseMember("a"));
    CPPUNIT_ASSERT(!ParseMember("a@10.0.0.1:7#many"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CandidacyTest);

}  // namespace
}  // namespace ebonypin::core::fleet
