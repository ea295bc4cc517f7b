#include "ebonypin/core/watch_table.h"

#include <cppunit/extensions/HelperMacros.h>

namespace ebonypin::core {
namespace {

const TopicName kTopic{"sleeves"};

void Write(WatchTable& table, const LogOffset offset, const std::vector<std::string>& ids) {
  LogBatch batch{.m_batch_id = std::to_string(offset)};
  for (const std::string& id : ids)
    batch.m_records.emplace_back(WatchUpdated{.m_topic = kTopic, .m_update_id = id, .m_value = id});
  std::vector<TopicName> changed;
  Apply(table, offset, batch, changed);
}

std::string Ids(const WatchRead& read) {
  std::string ids;
  for (const WatchUpdate& update : read.m_updates) ids += update.m_update_id;
  return ids;
}

class WatchTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WatchTableTest);
  CPPUNIT_TEST(CursorNeitherDropsNorRepeatsUpdates);
  CPPUNIT_TEST(CursorBehindTheKeptUpdatesReportsAGap);
  CPPUNIT_TEST(CursorIsValidAtAnEntryThatReadATruncatedLog);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against updates that are dropped, or delivered twice after a repeated post.
  void CursorNeitherDropsNorRepeatsUpdates() {
    WatchTable table;
    Write(table, 1, {"a", "b"});
    Write(table, 2, {"b", "c"});
    const auto first = Read(table, kTopic, 0, 2);
    CPPUNIT_ASSERT_EQUAL(std::string("ab"), Ids(first));
    const auto second = Read(table, kTopic, first.m_next, 2);
    CPPUNIT_ASSERT_EQUAL(std::string("c"), Ids(second));
    const auto third = Read(table, kTopic, second.m_next, 2);
    CPPUNIT_ASSERT(third.m_updates.empty() && !third.m_gap && third.m_next == second.m_next);
  }

  /// Guards against dropped updates of which the caller is not told.
  void CursorBehindTheKeptUpdatesReportsAGap() {
    WatchTable table;
    for (LogOffset i = 1; i <= kUpdatesPerTopic + 2; ++i) Write(table, i, {std::to_string(i)});
    CPPUNIT_ASSERT(Read(table, kTopic, 1 * kSequencesPerOffset, 1).m_gap);
    CPPUNIT_ASSERT(!Read(table, kTopic, 2 * kSequencesPerOffset, 1).m_gap);
  }

  /// Guards against a cursor that refers to a different update at a newly started entry.
  void CursorIsValidAtAnEntryThatReadATruncatedLog() {
    WatchTable whole;
    WatchTable late{.m_partial = true};
    for (LogOffset i = 1; i <= 4; ++i) {
      Write(whole, i, {std::to_string(i)});
      if (i >= 3) Write(late, i, {std::to_string(i)});
    }
    const auto third = Read(whole, kTopic, 2 * kSequencesPerOffset, 1);
    CPPUNIT_ASSERT_EQUAL(std::string("4"), Ids(Read(late, kTopic, third.m_next, 9)));
    CPPUNIT_ASSERT(!Read(late, kTopic, third.m_next, 9).m_gap);
    CPPUNIT_ASSERT(Read(late, kTopic, 2 * kSequencesPerOffset, 9).m_gap);
    CPPUNIT_ASSERT(Read(late, {"other"}, 2 * kSequencesPerOffset, 9).m_gap);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WatchTableTest);

}  // namespace
}  // namespace ebonypin::core
