#include "ebonypin/core/work_queue.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace ebonypin::core {
namespace {

using namespace std::chrono_literals;

bool Always(const QueueItem&) { return true; }

class WorkQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(WorkQueueTest);
  CPPUNIT_TEST(LeastSlackComesFirst);
  CPPUNIT_TEST(ItemsThatDoNotFitBlockNoOthers);
  CPPUNIT_TEST(AgreesWithASortedList);
  CPPUNIT_TEST_SUITE_END();

 public:
  void LeastSlackComesFirst() {
    WorkQueue queue;
    const Time now{100s};
    const auto push = [&](const std::uint64_t id, const Target& target, const Duration run) {
      PushWork(queue, {.m_id = id, .m_latest_start = LatestStart(target, {}, run, now)});
    };
    push(1, {}, 1s);
    push(2, {.m_finish_within = 60s}, 50s);
    push(3, {.m_start_within = 2s}, 1s);
    push(4, {.m_finish_within = 60s}, 59s);
    for (const std::uint64_t expected : {4U, 3U, 2U, 1U}) {
      CPPUNIT_ASSERT_EQUAL(expected, FirstWork(queue)->m_id);
      CPPUNIT_ASSERT_EQUAL(expected, PopWork(queue, Always)->m_id);
    }
    CPPUNIT_ASSERT(FirstWork(queue) == nullptr);
  }

  /// Guards against large jobs at the head that block the queue or cost one check each.
  void ItemsThatDoNotFitBlockNoOthers() {
    WorkQueue queue;
    for (std::uint64_t id = 1; id <= 1000; ++id) {
      PushWork(queue, {.m_id = id, .m_latest_start = Time{1s}, .m_size = {.m_cpu_millis = 32000}});
    }
    PushWork(queue, {.m_id = 2000, .m_latest_start = Time{5s}, .m_size = {.m_cpu_millis = 100}});
    int checks = 0;
    const auto popped = PopWork(queue, [&checks](const QueueItem& item) {
      ++checks;
      return item.m_size.m_cpu_millis <= 16000;
    });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2000}, popped.value().m_id);
    CPPUNIT_ASSERT_EQUAL(2, checks);
  }

  /// Compares any sequence of pushes, cancellations and pops with a sorted list. Guards against
  /// popping a cancelled item.
  void AgreesWithASortedList() {
    CPPUNIT_ASSERT(rc::check("the queue pops what a sorted list would", [] {
      WorkQueue queue;
      std::vector<QueueItem> list;
      const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
          rc::gen::tuple(rc::gen::inRange(0, 4), rc::gen::inRange(0, 12), rc::gen::inRange(0, 5)));
      for (const auto& [kind, number, size] : steps) {
        const auto id = static_cast<std::uint64_t>(number);
        const auto listed = std::find_if(list.begin(), list.end(),
                                         [id](const QueueItem& item) { return item.m_id == id; });
        if (kind <= 1) {
          // Sizes of one group are equal, so that the group fits when its first item does.
          const QueueItem item{.m_id = id,
                               .m_latest_start = Time{std::chrono::seconds{number % 5}},
                               .m_size = {.m_cpu_millis = std::int64_t{1} << size},
                               .m_expected_run = 1s};
          RC_ASSERT(PushWork(queue, item) == (listed == list.end()));
          if (listed == list.end()) list.push_back(item);
        } else if (kind == 2) {
          RC_ASSERT(CancelWork(queue, id) == (listed != list.end()));
          if (listed != list.end()) list.erase(listed);
        } else {
          const auto fits = [limit = size](const QueueItem& item) {
            return item.m_size.m_cpu_millis <= std::int64_t{1} << limit;
          };
          std::vector<QueueItem> order = list;
          std::stable_sort(order.begin(), order.end(), [](const QueueItem& a, const QueueItem& b) {
            return a.m_latest_start < b.m_latest_start;
          });
          const auto expected = std::find_if(order.begin(), order.end(), fits);
          const auto popped = PopWork(queue, fits);
          RC_ASSERT(popped.has_value() == (expected != order.end()));
          if (popped) {
            RC_ASSERT(*popped == *expected);
            std::erase(list, *popped);
          }
        }
        RC_ASSERT(queue.m_locations.size() == list.size());
        RC_ASSERT(queue.m_expected_run == 1s * list.size());
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkQueueTest);

}  // namespace
}  // namespace ebonypin::core
