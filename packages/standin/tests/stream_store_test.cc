#include "log/stream_store.h"

#include <cppunit/extensions/HelperMacros.h>

namespace ebonypin::standin {
namespace {

class StreamStoreTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StreamStoreTest);
  CPPUNIT_TEST(RetentionMovesTheFirstOffsetAndKeepsTheOthers);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a stand-in that renumbers entries or hides a retention gap from its readers.
  void RetentionMovesTheFirstOffsetAndKeepsTheOthers() {
    Stream stream;
    for (std::int64_t wall = 0; wall < 5; ++wall) Append(stream, wall * 1000, std::to_string(wall));
    Trim(stream, {.m_max_entries = 4}, 4000);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, Read(stream, 1, 10).m_first);
    Trim(stream, {.m_max_age_ms = 1500}, 4000);
    const auto read = Read(stream, 1, 10);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, read.m_first);
    CPPUNIT_ASSERT_EQUAL(std::string{"3"}, read.m_entries.front().m_data);
    AppendAndLose(stream);
    DropOldest(stream, 10);
    CPPUNIT_ASSERT(Read(stream, 1, 10).m_entries.empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, Read(stream, 1, 10).m_first);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, Append(stream, 5000, "a"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamStoreTest);

}  // namespace
}  // namespace ebonypin::standin
