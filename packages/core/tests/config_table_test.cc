#include "ebonypin/core/config_table.h"

#include <cppunit/extensions/HelperMacros.h>

namespace ebonypin::core {
namespace {

const ClassName kName{"preview"};

ClassPut Put(const std::uint64_t base, const std::string& who, const std::string& change,
             const std::string& team = "t") {
  return {.m_spec = {.m_name = kName, .m_team = {team}},
          .m_base_revision = base,
          .m_operator = who,
          .m_change_id = change,
          .m_wall = 7};
}

AuditEntry Write(ConfigTable& table, const LogOffset offset, const LogRecord& record) {
  std::vector<AuditEntry> changes;
  Apply(table, offset, {.m_batch_id = "b" + std::to_string(offset), .m_records = {record}},
        changes);
  return changes.empty() ? AuditEntry{} : changes.back();
}

class ConfigTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigTableTest);
  CPPUNIT_TEST(FirstOfTwoConflictingChangesWins);
  CPPUNIT_TEST(RepeatedChangeIsAppliedOnce);
  CPPUNIT_TEST(PeerConfigurationNeverReverts);
  CPPUNIT_TEST(UndecodableRecordKeepsConfigurationInForce);
  CPPUNIT_TEST(RecreatedClassGetsALargerRevision);
  CPPUNIT_TEST(PeerClassesAreKeptInAPartialTable);
  CPPUNIT_TEST(RewrittenConfigurationSurvivesTruncation);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a lost update when two operators change the same class.
  void FirstOfTwoConflictingChangesWins() {
    ConfigTable table;
    CPPUNIT_ASSERT(Write(table, 1, Put(0, "ann", "c1")).m_outcome == ChangeOutcome::kInForce);
    CPPUNIT_ASSERT(Write(table, 2, Put(1, "ann", "c2", "a")).m_outcome == ChangeOutcome::kInForce);
    const auto lost = Write(table, 3, Put(1, "bob", "c3", "b"));
    CPPUNIT_ASSERT(lost.m_outcome == ChangeOutcome::kRevisionConflict);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, lost.m_current_revision);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), FindClass(table, kName)->m_team.m_value);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, table.m_audit.size());
    const AuditEntry& audit = table.m_audit[1];
    CPPUNIT_ASSERT(audit.m_operator == "ann" && audit.m_wall == 7 && audit.m_offset == 2);
    CPPUNIT_ASSERT(audit.m_old->m_team.m_value == "t" && audit.m_new->m_team.m_value == "a");
  }

  /// Guards against a change that is applied again because its answer was lost.
  void RepeatedChangeIsAppliedOnce() {
    ConfigTable table;
    const WorkerDrain on{.m_agent = {"w"}, .m_draining = true, .m_change_id = "d1"};
    Write(table, 1, on);
    Write(table, 2, WorkerDrain{.m_agent = {"w"}, .m_draining = false, .m_change_id = "d2"});
    CPPUNIT_ASSERT(Write(table, 3, on).m_outcome == ChangeOutcome::kRepeated);
    CPPUNIT_ASSERT(!IsDrained(table, {"w"}));
    CPPUNIT_ASSERT_EQUAL(LogOffset{1}, FindChange(table, "d1")->m_offset);
  }

  /// Guards against reverting a change when an older peer or older log records are read after it.
  void PeerConfigurationNeverReverts() {
    ConfigTable table;
    const ClassSpec newer{.m_name = kName, .m_team = {"new"}, .m_revision = 5};
    CPPUNIT_ASSERT(Adopt(table, 50, {newer}, {{"w"}}));
    CPPUNIT_ASSERT(!Adopt(table, 50, {}, {}));
    CPPUNIT_ASSERT(!Adopt(table, 49, {}, {}));
    Write(table, 1, Put(0, "ann", "c1", "old"));
    CPPUNIT_ASSERT_EQUAL(std::string("new"), FindClass(table, kName)->m_team.m_value);
    CPPUNIT_ASSERT(IsDrained(table, {"w"}));
    Write(table, 51, Put(1, "ann", "c2", "newest"));
    CPPUNIT_ASSERT_EQUAL(std::string("newest"), FindClass(table, kName)->m_team.m_value);
    CPPUNIT_ASSERT_EQUAL(LogOffset{51}, InForce(table).m_offset);
  }

  /// Guards against dropping all classes because a newer process wrote an unknown record.
  void UndecodableRecordKeepsConfigurationInForce() {
    ConfigTable table;
    Write(table, 1, Put(0, "ann", "c1"));
    NoteUndecodable(table, 2, "unknown record type");
    CPPUNIT_ASSERT(FindClass(table, kName) != nullptr);
    CPPUNIT_ASSERT_EQUAL(LogOffset{2}, table.m_undecodable_offset);
    CPPUNIT_ASSERT_EQUAL(LogOffset{1}, InForce(table).m_offset);
  }

  /// Guards against accepting a change that is based on a class that was removed and created again.
  void RecreatedClassGetsALargerRevision() {
    ConfigTable table;
    Write(table, 1, Put(0, "ann", "c1"));
    Write(table, 2, ClassRemoved{.m_name = kName, .m_base_revision = 1, .m_change_id = "c2"});
    CPPUNIT_ASSERT(FindClass(table, kName) == nullptr);
    Write(table, 3, Put(0, "ann", "c3"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, FindClass(table, kName)->m_revision);
    CPPUNIT_ASSERT(Write(table, 4, Put(1, "bob", "c4")).m_outcome ==
                   ChangeOutcome::kRevisionConflict);
  }

  /// Guards against an entry that drops the classes received from a peer when it applies its first
  /// record from the log. This occurs when an outage is longer than half of the log's retention.
  void PeerClassesAreKeptInAPartialTable() {
    ConfigTable table{.m_partial = true};
    const ClassSpec other{.m_name = {"render"}, .m_revision = 3};
    CPPUNIT_ASSERT(Adopt(table, 50, {other, {.m_name = kName, .m_revision = 2}}, {{"w"}}));
    Write(table, 51, Put(2, "ann", "c1", "new"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, FindClass(table, other.m_name)->m_revision);
    CPPUNIT_ASSERT_EQUAL(std::string("new"), FindClass(table, kName)->m_team.m_value);
    CPPUNIT_ASSERT(IsDrained(table, {"w"}));
  }

  /// Guards against losing classes and drains when retention truncates the log.
  void RewrittenConfigurationSurvivesTruncation() {
    ConfigTable table;
    Write(table, 1, Put(0, "ann", "c1"));
    Write(table, 2, WorkerDrain{.m_agent = {"w"}, .m_change_id = "d1"});
    ConfigTable late{.m_partial = true};
    std::vector<AuditEntry> changes;
    const LogBatch rewritten{.m_batch_id = "r", .m_records = RewritesBefore(table, 3, 9)};
    Apply(table, 3, rewritten, changes);
    Apply(late, 3, rewritten, changes);
    CPPUNIT_ASSERT(InForce(late) == InForce(table));
    CPPUNIT_ASSERT(RewritesBefore(table, 3, 9).empty());
    // A second entry that rewrites the same revision changes nothing.
    LogBatch again = rewritten;
    again.m_batch_id = "s";
    Apply(table, 4, again, changes);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, FindClass(table, kName)->m_revision);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigTableTest);

}  // namespace
}  // namespace ebonypin::core
