#include "ebonypin/core/fleet/append_queue.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

#include "fleet_fixture.h"

namespace ebonypin::core::fleet {
namespace {

using namespace std::chrono_literals;

const Time kStart{1h};

WriteBatch BatchOf(const std::string& job) {
  return {.m_records = {MakeJob(job)}, .m_accepted = {{job}}};
}

std::vector<std::string> AcceptedIn(const AppendResult& result) {
  std::vector<std::string> jobs;
  for (const auto& batch : result.m_written) {
    for (const auto& job : batch.m_accepted) jobs.push_back(job.m_value);
  }
  return jobs;
}

/// Returns the longest wait of changes that come every 20 ms for 2 s, at a store that answers after
/// `answer_time`.
Duration LongestWait(const AppendQueueOptions& options, const Duration answer_time) {
  AppendQueue queue{.m_options = options, .m_first_taken = true};
  std::map<std::uint64_t, Time> answers;
  std::map<std::uint64_t, Time> oldest_change;
  std::optional<Time> unsent_since;
  Duration longest{};
  for (Time now = kStart; now < kStart + 2s; now += 1ms) {
    if ((now - kStart) % 20ms == Duration{} && !unsent_since) unsent_since = now;
    for (auto answer = answers.begin(); answer != answers.end() && answer->second <= now;) {
      (void)OnOutcome(queue, now, answer->first, AppendOutcome::kAppended);
      longest = std::max(longest, now - oldest_change.at(answer->first));
      answer = answers.erase(answer);
    }
    if (!unsent_since || !MayBegin(queue, now)) continue;
    const auto sequence = Begin(queue, now, BatchOf("j")).m_sequence;
    answers[sequence] = now + answer_time;
    oldest_change[sequence] = *std::exchange(unsent_since, std::nullopt);
  }
  return longest;
}

class AppendQueueTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AppendQueueTest);
  CPPUNIT_TEST(AChangeWaitsForAboutOneAnswerOfASlowStore);
  CPPUNIT_TEST(AFastStoreGetsOneAppendAtATime);
  CPPUNIT_TEST(TheFirstAppendOfAnEpochIsNotOvertaken);
  CPPUNIT_TEST(BatchesAreWrittenInOrder);
  CPPUNIT_TEST(ALaterSuccessShowsThatALostAnswerWasASuccess);
  CPPUNIT_TEST(AnAppendThatOvertookIsRepeatedAfterTheOlderOne);
  CPPUNIT_TEST(AnAnswerThatWasOvertakenDoesNotEndTheLeadership);
  CPPUNIT_TEST(NothingNewBeginsWhileAppendsFail);
  CPPUNIT_TEST(AnotherWriterEndsTheLeadership);
  CPPUNIT_TEST(EndsWithoutRecordsWaitForOpenAppends);
  CPPUNIT_TEST(ARepeatConfirmsTheTimeOfItsFirstCall);
  CPPUNIT_TEST(AnAppendThatTheStoreWillNeverTakeEndsTheLeadership);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against authority that a repeated append prolongs although a successor has fenced the
  /// store since its first call.
  void ARepeatConfirmsTheTimeOfItsFirstCall() {
    AppendQueue queue;
    const Time began{1h};
    const auto sequence = Begin(queue, began, BatchOf("j")).m_sequence;
    (void)OnOutcome(queue, began + 1s, sequence, AppendOutcome::kUnknown);
    CPPUNIT_ASSERT(NextRepeat(queue, began + 2s) != nullptr);
    const auto result = OnOutcome(queue, began + 3s, sequence, AppendOutcome::kAppended);
    CPPUNIT_ASSERT(result.m_confirmed == began);
  }

  /// Guards against an append that is repeated for good while everything behind it waits.
  void AnAppendThatTheStoreWillNeverTakeEndsTheLeadership() {
    AppendQueue queue = TwoOpen();
    const auto result = OnOutcome(queue, kStart + 1s, 1, AppendOutcome::kRefused);
    CPPUNIT_ASSERT(result.m_refused && !result.m_failed && result.m_written.empty());
    CPPUNIT_ASSERT(!OnOutcome(queue, kStart + 1s, 2, AppendOutcome::kNotAppended).m_refused);
    // The next term writes less at a time, and never less than a record without states needs.
    auto limits = LowerLimits({.m_record_bytes = 262'144, .m_append_bytes = 2'097'152});
    CPPUNIT_ASSERT(
        (limits == RecordLimits{.m_record_bytes = 131'072, .m_append_bytes = 1'048'576}));
    for (int i = 0; i < 10; ++i) limits = LowerLimits(limits);
    CPPUNIT_ASSERT(limits == LowerLimits(limits) && limits.m_record_bytes >= 32'768);
  }

  /// Guards against callers that wait for two answers while the store is slow: one of the append in
  /// progress, one of their own.
  void AChangeWaitsForAboutOneAnswerOfASlowStore() {
    constexpr Duration kAnswer = 230ms;
    const AppendQueueOptions options;
    CPPUNIT_ASSERT(LongestWait(options, kAnswer) <= kAnswer + 2 * options.m_overlap_after);
    CPPUNIT_ASSERT(LongestWait({.m_max_open = 1}, kAnswer) > kAnswer + kAnswer / 2);
  }

  void AFastStoreGetsOneAppendAtATime() {
    AppendQueue queue;
    CPPUNIT_ASSERT(MayBegin(queue, kStart));
    (void)Begin(queue, kStart, BatchOf("a"));
    CPPUNIT_ASSERT(!MayBegin(queue, kStart + queue.m_options.m_interval));
    (void)OnOutcome(queue, kStart + 4ms, 1, AppendOutcome::kAppended);
    CPPUNIT_ASSERT(!MayBegin(queue, kStart + 4ms));
    CPPUNIT_ASSERT(MayBegin(queue, kStart + queue.m_options.m_interval));
    CPPUNIT_ASSERT(OldestBegan(queue) == Time{});
  }

  /// Guards against an accepted job that is not in the store: the store takes any sequence number
  /// as the first one of an epoch, so a second append that arrives before the first would be taken,
  /// and the first one refused.
  void TheFirstAppendOfAnEpochIsNotOvertaken() {
    AppendQueue queue;
    (void)Begin(queue, kStart, BatchOf("a"));
    CPPUNIT_ASSERT(!MayBegin(queue, kStart + queue.m_options.m_overlap_after));
    (void)OnOutcome(queue, kStart + 1s, 1, AppendOutcome::kUnknown);
    CPPUNIT_ASSERT(!MayBegin(queue, kStart + 2s));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, NextRepeat(queue, kStart + 2s)->m_sequence);
    CPPUNIT_ASSERT(!MayBegin(queue, kStart + 3s));
    (void)OnOutcome(queue, kStart + 3s, 1, AppendOutcome::kAppended);
    (void)Begin(queue, kStart + 3s, BatchOf("b"));
    CPPUNIT_ASSERT(MayBegin(queue, kStart + 3s + queue.m_options.m_overlap_after));
  }

  /// Guards against a coordinator that steps down without a successor: an append arrived before the
  /// one sent before it, and its refusal arrived after the success of that one.
  void AnAnswerThatWasOvertakenDoesNotEndTheLeadership() {
    AppendQueue queue = TwoOpen();
    (void)OnOutcome(queue, kStart + 1s, 1, AppendOutcome::kAppended);
    CPPUNIT_ASSERT(!OnOutcome(queue, kStart + 1s, 2, AppendOutcome::kOutOfSequence).m_superseded);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, NextRepeat(queue, kStart + 2s)->m_sequence);
    CPPUNIT_ASSERT(OnOutcome(queue, kStart + 3s, 2, AppendOutcome::kOutOfSequence).m_superseded);
  }

  void BatchesAreWrittenInOrder() {
    AppendQueue queue = TwoOpen();
    CPPUNIT_ASSERT(AcceptedIn(OnOutcome(queue, kStart + 1s, 1, AppendOutcome::kAppended)) ==
                   std::vector<std::string>{"a"});
    CPPUNIT_ASSERT(AcceptedIn(OnOutcome(queue, kStart + 1s, 2, AppendOutcome::kAppended)) ==
                   std::vector<std::string>{"b"});
    CPPUNIT_ASSERT(OnOutcome(queue, kStart + 1s, 1, AppendOutcome::kUnknown).m_written.empty());
  }

  void ALaterSuccessShowsThatALostAnswerWasASuccess() {
    AppendQueue queue = TwoOpen();
    CPPUNIT_ASSERT(OnOutcome(queue, kStart + 1s, 1, AppendOutcome::kUnknown).m_failed);
    const auto result = OnOutcome(queue, kStart + 1s, 2, AppendOutcome::kAppended);
    CPPUNIT_ASSERT((AcceptedIn(result) == std::vector<std::string>{"a", "b"}));
    CPPUNIT_ASSERT(queue.m_failing_since == Time{});
  }

  /// Guards against a coordinator that steps down because two of its own calls changed places.
  void AnAppendThatOvertookIsRepeatedAfterTheOlderOne() {
    AppendQueue queue = TwoOpen();
    CPPUNIT_ASSERT(!OnOutcome(queue, kStart + 1s, 2, AppendOutcome::kOutOfSequence).m_superseded);
    CPPUNIT_ASSERT(NextRepeat(queue, kStart + 1s) == nullptr);
    (void)OnOutcome(queue, kStart + 1s, 1, AppendOutcome::kAppended);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, NextRepeat(queue, kStart + 1s)->m_sequence);
    CPPUNIT_ASSERT(NextRepeat(queue, kStart + 1s) == nullptr);
  }

  void NothingNewBeginsWhileAppendsFail() {
    AppendQueue queue = TwoOpen();
    (void)OnOutcome(queue, kStart + 1s, 1, AppendOutcome::kNotAppended);
    CPPUNIT_ASSERT(!MayBegin(queue, kStart + 2s));
    CPPUNIT_ASSERT(NextRepeat(queue, kStart + 1s) == nullptr);
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t{1},
        NextRepeat(queue, kStart + 1s + queue.m_options.m_retry_delay)->m_sequence);
    CPPUNIT_ASSERT(OldestBegan(queue) == kStart);
  }

  void AnotherWriterEndsTheLeadership() {
    AppendQueue queue = TwoOpen();
    CPPUNIT_ASSERT(OnOutcome(queue, kStart + 1s, 1, AppendOutcome::kOutOfSequence).m_superseded);
    CPPUNIT_ASSERT(OnOutcome(queue, kStart + 1s, 2, AppendOutcome::kFenced).m_superseded);
  }

  /// Guards against ends that are acknowledged to a worker before the record of an earlier end is
  /// in the store.
  void EndsWithoutRecordsWaitForOpenAppends() {
    AppendQueue queue = TwoOpen();
    const WriteBatch ends{.m_ends = {{.m_agent = {"x"}, .m_number = 6}}};
    CPPUNIT_ASSERT(!TakeEmpty(queue, ends));
    CPPUNIT_ASSERT(
        OnOutcome(queue, kStart + 1s, 1, AppendOutcome::kAppended).m_written[0].m_ends.empty());
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t{6},
        OnOutcome(queue, kStart + 1s, 2, AppendOutcome::kAppended).m_written[0].m_ends[0].m_number);
    CPPUNIT_ASSERT(TakeEmpty(queue, ends));
  }

 private:
  static AppendQueue TwoOpen() {
    AppendQueue queue{.m_first_taken = true};
    (void)Begin(queue, kStart, BatchOf("a"));
    CPPUNIT_ASSERT(MayBegin(queue, kStart + queue.m_options.m_overlap_after));
    (void)Begin(queue, kStart + queue.m_options.m_overlap_after, BatchOf("b"));
    return queue;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AppendQueueTest);

}  // namespace
}  // namespace ebonypin::core::fleet
