#include "demo/demo_report.h"

#include <cppunit/extensions/HelperMacros.h>

namespace ebonypin::bench::demo {
namespace {

const std::vector<Flow> kFlows = {
    {.m_class = "preview"},
    {.m_class = "render", .m_kind = Flow::Kind::kJob, .m_non_idempotent = true},
    {.m_class = "price_watch", .m_kind = Flow::Kind::kWatch},
};

/// Items of a run in which every promise held.
std::vector<Item> GoodItems() {
  return {{.m_flow = 0, .m_id = "r1", .m_told = Told::kDone, .m_millis = 10},
          {.m_flow = 0, .m_id = "r2", .m_told = Told::kDone, .m_millis = 30},
          {.m_flow = 0, .m_id = "r3", .m_told = Told::kNotRun},
          {.m_flow = 0, .m_id = "r4", .m_told = Told::kUnknown},
          {.m_flow = 1, .m_id = "j", .m_told = Told::kDone, .m_job = "job-1", .m_millis = 500},
          {.m_flow = 2, .m_id = "u", .m_told = Told::kDone, .m_received = 1, .m_millis = 5}};
}

const std::vector<WorkerEvent> kGoodHistory = {
    {1, "serve", "r1"},   {2, "served", "r1"},   {3, "serve", "r2"},
    {4, "served", "r2"},  {5, "serve", "r4"},    {6, "start", "job-1"},
    {7, "stop", "job-1"}, {8, "start", "job-1"}, {9, "end", "job-1"}};

class DemoReportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DemoReportTest);
  CPPUNIT_TEST(GoodRunIsCounted);
  CPPUNIT_TEST(EachBrokenPromiseIsFound);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against figures that do not add up, and false alarms about checkpointed work.
  void GoodRunIsCounted() {
    // Workers are asked one after the other, so that their histories are not in the order of time.
    const std::vector<WorkerEvent> reversed(kGoodHistory.rbegin(), kGoodHistory.rend());
    const auto result = Judge(kFlows, GoodItems(), reversed);
    CPPUNIT_ASSERT_MESSAGE(FormatResult(result), result.PromisesHeld());
    const auto& preview = result.m_classes[0];
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, preview.m_sent);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, preview.m_done);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, preview.m_not_run);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, preview.m_unknown);
    CPPUNIT_ASSERT_EQUAL(10.0, preview.m_p50_ms);
    CPPUNIT_ASSERT_EQUAL(30.0, preview.m_p99_ms);
  }

  /// Guards against a demo that succeeds although a promise was broken.
  void EachBrokenPromiseIsFound() {
    using Ids = std::vector<std::string>;
    auto items = GoodItems();
    items[4].m_told = Told::kAccepted;
    CPPUNIT_ASSERT((Judge(kFlows, items, kGoodHistory).m_lost == Ids{"render/j"}));

    items = GoodItems();
    items[5].m_received = 2;
    CPPUNIT_ASSERT((Judge(kFlows, items, kGoodHistory).m_doubled == Ids{"price_watch/u"}));

    items = GoodItems();
    items[0].m_wrong_result = true;
    CPPUNIT_ASSERT((Judge(kFlows, items, kGoodHistory).m_wrong == Ids{"preview/r1"}));

    items = GoodItems();
    items[3].m_told = Told::kNotRun;
    CPPUNIT_ASSERT((Judge(kFlows, items, kGoodHistory).m_ran_anyway == Ids{"preview/r4"}));

    items = GoodItems();
    items[5].m_told = Told::kUnknown;
    CPPUNIT_ASSERT((Judge(kFlows, items, kGoodHistory).m_without_end == Ids{"price_watch"}));

    // A second attempt after an end, after a lost lease, and beside a running one.
    const std::vector<std::vector<std::string>> doubled_runs = {
        {"start", "end", "start", "end"}, {"start", "lost", "start"}, {"start", "start"}};
    for (const auto& whats : doubled_runs) {
      std::vector<WorkerEvent> history;
      for (const auto& what : whats)
        history.insert(history.begin(),
                       {100 + static_cast<std::int64_t>(history.size()), what, "job-1"});
      CPPUNIT_ASSERT((Judge(kFlows, GoodItems(), history).m_doubled == Ids{"render/j"}));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DemoReportTest);

}  // namespace
}  // namespace ebonypin::bench::demo
