#include "ebonypin/core/connection_table.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>
#include <string>

namespace ebonypin::core {
namespace {

using namespace std::chrono_literals;
using Ids = std::vector<ConnectionId>;

// Actions of the generated crowd besides moves to the phase of that number.
constexpr int kRemove = 5;
constexpr int kTake = 6;
/// Several steps pass within kPromptWrite.
constexpr auto kStep = 300ms;

class ConnectionTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConnectionTableTest);
  CPPUNIT_TEST(ClosesIdleThenHeadsThenBodies);
  CPPUNIT_TEST(ClosesThoseFirstThatDoNotTakeTheirResponse);
  CPPUNIT_TEST(MemoryIsTakenFromThoseThatHoldIt);
  CPPUNIT_TEST(RequestThatNeverFitsClosesNoOther);
  CPPUNIT_TEST(CrowdStaysWithinTheLimits);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against closing a request in progress, or a newer connection before an older one.
  void ClosesIdleThenHeadsThenBodies() {
    ConnectionTable table{.m_limits = {.m_max_connections = 7}};
    for (ConnectionId id = 1; id <= 7; ++id) AddConnection(table, id, At(id));
    MoveConnection(table, 1, ConnectionPhase::kHandled, 10, At(10));
    MoveConnection(table, 2, ConnectionPhase::kBody, 10, At(12));
    MoveConnection(table, 3, ConnectionPhase::kBody, 10, At(11));
    MoveConnection(table, 6, ConnectionPhase::kIdle, 0, At(14));
    MoveConnection(table, 7, ConnectionPhase::kIdle, 0, At(13));
    CPPUNIT_ASSERT(AddConnection(table, 8, At(20)).m_close == Ids{7});
    for (const ConnectionId expected : {6, 4, 5, 8, 3, 2}) {
      CPPUNIT_ASSERT(TakeConnectionToClose(table, At(20)) == expected);
    }
    CPPUNIT_ASSERT(!TakeConnectionToClose(table, At(20)));
    table.m_limits.m_max_connections = 1;
    CPPUNIT_ASSERT(!AddConnection(table, 9, At(21)).m_admitted);
  }

  /// Guards against clients that do not read and so keep connections and memory from all others,
  /// and against closing a client that has not had the time to read.
  void ClosesThoseFirstThatDoNotTakeTheirResponse() {
    ConnectionTable table{.m_limits = {.m_max_connections = 5, .m_max_bytes = 100}};
    for (ConnectionId id = 1; id <= 5; ++id) AddConnection(table, id, At(id));
    MoveConnection(table, 1, ConnectionPhase::kIdle, 0, At(6));
    MoveConnection(table, 2, ConnectionPhase::kBody, 10, At(6));
    MoveConnection(table, 3, ConnectionPhase::kWriting, 20, At(8));
    MoveConnection(table, 4, ConnectionPhase::kWriting, 20, At(7));
    MoveConnection(table, 5, ConnectionPhase::kWriting, 20, At(9));
    CPPUNIT_ASSERT(MoveConnection(table, 2, ConnectionPhase::kBody, 50, At(9)).m_close == Ids{4});
    CPPUNIT_ASSERT(AddConnection(table, 6, At(9)).m_close.empty());
    CPPUNIT_ASSERT(AddConnection(table, 7, At(9)).m_close == Ids{3});
    CPPUNIT_ASSERT(AddConnection(table, 8, At(9)).m_close == Ids{1});
    CPPUNIT_ASSERT(TakeConnectionToClose(table, At(9)) == 6);
    CPPUNIT_ASSERT(TakeConnectionToClose(table, At(9) + kPromptWrite) == 5);
  }

  /// Guards against closing idle callers when that frees no memory.
  void MemoryIsTakenFromThoseThatHoldIt() {
    ConnectionTable table{.m_limits = {.m_max_bytes = 100}};
    for (ConnectionId id = 1; id <= 4; ++id) AddConnection(table, id, At(id));
    MoveConnection(table, 1, ConnectionPhase::kIdle, 0, At(5));
    MoveConnection(table, 2, ConnectionPhase::kBody, 40, At(6));
    MoveConnection(table, 3, ConnectionPhase::kHead, 40, At(7));
    CPPUNIT_ASSERT(MoveConnection(table, 4, ConnectionPhase::kHead, 20, At(8)).m_close.empty());
    CPPUNIT_ASSERT(MoveConnection(table, 4, ConnectionPhase::kHead, 21, At(8)).m_close == Ids{3});
    CPPUNIT_ASSERT(MoveConnection(table, 4, ConnectionPhase::kBody, 90, At(9)).m_close == Ids{2});
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, table.m_records.size());
  }

  /// Guards against a request over the limit that takes the connections of all others with it.
  void RequestThatNeverFitsClosesNoOther() {
    ConnectionTable table{.m_limits = {.m_max_bytes = 100}};
    for (ConnectionId id = 1; id <= 3; ++id) AddConnection(table, id, At(id));
    MoveConnection(table, 1, ConnectionPhase::kHandled, 60, At(4));
    MoveConnection(table, 2, ConnectionPhase::kBody, 30, At(5));
    const auto verdict = MoveConnection(table, 3, ConnectionPhase::kBody, 41, At(6));
    CPPUNIT_ASSERT(!verdict.m_admitted && verdict.m_close.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{90}, table.m_bytes);
  }

  /// Guards against memory or connections that are not counted, and against a request in progress
  /// that is closed, in a generated crowd of clients.
  void CrowdStaysWithinTheLimits() {
    CPPUNIT_ASSERT(rc::check("a crowd stays within the limits", [] {
      ConnectionTable table{.m_limits = {.m_max_connections = *rc::gen::inRange<std::size_t>(1, 12),
                                         .m_max_bytes = *rc::gen::inRange<std::size_t>(1, 400)}};
      const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, std::size_t>>>(
          rc::gen::tuple(rc::gen::inRange(0, 20), rc::gen::inRange(0, kTake + 1),
                         rc::gen::inRange<std::size_t>(0, 120)));
      Time now;
      for (const auto& [index, action, bytes] : steps) {
        Step(table, static_cast<ConnectionId>(index), action, bytes, now += kStep);
      }
    }));
  }

 private:
  static Time At(const ConnectionId second) { return Time{} + second * 1s; }

  using Records = std::unordered_map<ConnectionId, ConnectionRecord>;

  static void Step(ConnectionTable& table, const ConnectionId id, const int action,
                   std::size_t bytes, const Time now) {
    const Records before = table.m_records;
    if (action == kRemove) {
      RemoveConnection(table, id);
      RC_ASSERT(!table.m_records.contains(id));
    } else if (action == kTake) {
      const auto closed = TakeConnectionToClose(table, now);
      const auto order = InOrder(before, {}, 0, now);
      RC_ASSERT((closed ? *closed == order.front() : order.empty()));
    } else if (!before.contains(id)) {
      const auto verdict = AddConnection(table, id, now);
      CheckClosed(verdict, InOrder(before, {}, 0, now));
      // One more would be closed without need.
      RC_ASSERT((verdict.m_close.empty() ||
                 before.size() - verdict.m_close.size() + 1 == table.m_limits.m_max_connections));
      RC_ASSERT(verdict.m_admitted == table.m_records.contains(id));
    } else {
      const auto& record = before.at(id);
      const auto phase = static_cast<ConnectionPhase>(action);
      // The bytes of a request in progress and of its response are not checked.
      if (record.m_phase == ConnectionPhase::kHandled && phase >= ConnectionPhase::kWriting) {
        bytes = std::min(bytes, record.m_bytes);
      }
      const auto verdict = MoveConnection(table, id, phase, bytes, now);
      CheckClosed(verdict, InOrder(before, id, 1, now));
      RC_ASSERT(
          (verdict.m_close.empty() ||
           table.m_bytes + before.at(verdict.m_close.back()).m_bytes > table.m_limits.m_max_bytes));
      RC_ASSERT(verdict.m_admitted == table.m_records.contains(id));
    }
    CheckSums(table, now);
  }

  /// The connections that may be closed and hold `least_bytes`, other than `asking`.
  static Ids InOrder(const Records& records, const std::optional<ConnectionId> asking,
                     const std::size_t least_bytes, const Time now) {
    std::vector<std::tuple<bool, ConnectionPhase, Time, ConnectionId>> order;
    for (const auto& [id, record] : records) {
      if (id == asking || record.m_bytes < least_bytes) continue;
      if (record.m_phase == ConnectionPhase::kHandled) continue;
      const bool is_late =
          record.m_phase == ConnectionPhase::kWriting && now - record.m_since >= kPromptWrite;
      order.emplace_back(!is_late, record.m_phase, record.m_since, id);
    }
    std::sort(order.begin(), order.end());
    Ids ids;
    for (const auto& [is_prompt, phase, since, id] : order) ids.push_back(id);
    return ids;
  }

  static void CheckClosed(const ConnectionVerdict& verdict, const Ids& order) {
    RC_ASSERT(verdict.m_close.size() <= order.size());
    RC_ASSERT(std::equal(verdict.m_close.begin(), verdict.m_close.end(), order.begin()));
    RC_ASSERT((verdict.m_admitted || verdict.m_close.empty()));
  }

  static void CheckSums(const ConnectionTable& table, const Time now) {
    std::size_t bytes = 0;
    std::size_t handled = 0;
    for (const auto& [id, record] : table.m_records) {
      bytes += record.m_bytes;
      if (record.m_phase == ConnectionPhase::kHandled) handled += record.m_bytes;
    }
    RC_ASSERT(table.m_bytes == bytes);
    RC_ASSERT(table.m_handled_bytes == handled);
    RC_ASSERT(bytes <= table.m_limits.m_max_bytes);
    RC_ASSERT(table.m_records.size() <= table.m_limits.m_max_connections);
    RC_ASSERT(table.m_closable.size() == InOrder(table.m_records, {}, 0, now).size());
    RC_ASSERT(table.m_closable_memory.size() == InOrder(table.m_records, {}, 1, now).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectionTableTest);

}  // namespace
}  // namespace ebonypin::core
