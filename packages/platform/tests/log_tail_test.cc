#include "ebonypin/platform/log_tail.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>

#include "ebonypin/platform/log_writer.h"
#include "ebonypin/wire/record_codec.h"
#include "fake_log.h"

namespace ebonypin::platform {
namespace {

using namespace std::chrono_literals;

constexpr auto kDeadline = 20s;

/// Records what a tail delivers, and lets a test wait for it.
class DeliveryRecorder {
 public:
  void Add(const std::string& what) {
    const std::lock_guard lock(m_mutex);
    m_items.push_back(what);
    m_changed.notify_all();
  }

  /// Waits until `count` items were delivered and returns all of them.
  std::vector<std::string> Wait(const std::size_t count) {
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, kDeadline, [&] { return m_items.size() >= count; });
    return m_items;
  }

 private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<std::string> m_items;
};

LogTailOptions Options(DeliveryRecorder& delivered) {
  return {.m_stream = "jobs.r",
          .m_from = 1,
          .m_wait = 20ms,
          .m_retry_delay = 1ms,
          .m_on_batch = [&](const TailBatch& batch) { delivered.Add(batch.m_batch.m_batch_id); },
          .m_on_gap =
              [&](const TailGap& gap) {
                delivered.Add("gap " + std::to_string(gap.m_expected) + "-" +
                              std::to_string(gap.m_first_kept));
              },
          .m_on_bad_entry = [&](core::LogOffset, const core::Error&) { delivered.Add("bad"); }};
}

std::string Bytes(const std::string& batch_id) {
  return wire::EncodeBatch({.m_batch_id = batch_id});
}

class LogTailTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogTailTest);
  CPPUNIT_TEST(DeliversBatchesInOrderAcrossAnOutageABadEntryAndAGap);
  CPPUNIT_TEST(RecordWhoseAnswerWasLostIsReportedAsAppended);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a tail that stops, or that skips or repeats entries, after a fault.
  void DeliversBatchesInOrderAcrossAnOutageABadEntryAndAGap() {
    FakeLog log;
    DeliveryRecorder delivered;
    (void)core::Capture([&] { return log.Append("jobs.r", Bytes("a")); });
    const LogTail tail(log, Options(delivered));
    CPPUNIT_ASSERT(delivered.Wait(1) == std::vector<std::string>{"a"});
    log.Set([](FakeLog& fake) { fake.m_down = true; });
    while (tail.Status().m_failures == 0) std::this_thread::yield();
    log.Set([](FakeLog& fake) {
      // The outage outlasted the retention of offsets 2 and 3.
      fake.m_next = 4;
      fake.m_first = 4;
      fake.m_streams["jobs.r"].clear();
      for (const auto& bytes : {Bytes("d"), std::string{"not a batch"}, Bytes("f")}) {
        fake.m_streams["jobs.r"].push_back({.m_offset = fake.m_next++, .m_bytes = bytes});
      }
      fake.m_down = false;
    });
    const std::vector<std::string> expected = {"a", "gap 2-4", "d", "bad", "f"};
    CPPUNIT_ASSERT(delivered.Wait(expected.size()) == expected);
    const auto status = tail.Status();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, status.m_gaps);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, status.m_bad_entries);
  }

  /// Guards against a written record being reported as failed when the answer to its append is
  /// lost.
  void RecordWhoseAnswerWasLostIsReportedAsAppended() {
    FakeLog log;
    log.m_lose_answers = 1;
    DeliveryRecorder delivered;
    LogWriter writer(log, {.m_stream = "jobs.r", .m_commit = {.m_entry = {"e"}}});
    auto options = Options(delivered);
    options.m_on_batch = [&](const TailBatch& batch) {
      writer.OnBatch(batch.m_batch.m_batch_id, batch.m_offset);
    };
    const LogTail tail(log, options);
    std::promise<AppendOutcome> outcome;
    writer.Submit(core::JobCancelled{.m_job = {"j"}},
                  [&](const AppendOutcome& end) { outcome.set_value(end); });
    auto future = outcome.get_future();
    CPPUNIT_ASSERT(future.wait_for(kDeadline) == std::future_status::ready);
    const auto end = future.get();
    CPPUNIT_ASSERT(end.m_kind == AppendOutcomeKind::kAppended);
    CPPUNIT_ASSERT_EQUAL(core::LogOffset{1}, end.m_offset);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogTailTest);

}  // namespace
}  // namespace ebonypin::platform
