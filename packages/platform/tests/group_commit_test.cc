#include "ebonypin/platform/group_commit.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <set>

#include "ebonypin/wire/record_codec.h"

namespace ebonypin::platform {
namespace {

using namespace std::chrono_literals;

core::LogRecord Record(const std::uint64_t n) {
  return core::JobCancelled{.m_job = {std::to_string(n)}};
}

/// Log of the property test, in which some writes take effect later or never.
struct SimulatedLog {
  std::vector<AppendAction> m_entries;
  std::vector<AppendAction> m_late;  ///< Appends without an answer that have not taken effect yet.
};

std::set<std::string> JobsIn(const SimulatedLog& log) {
  std::set<std::string> jobs;
  for (const auto& entry : log.m_entries) {
    const auto batch = core::Capture([&] { return wire::DecodeBatch(entry.m_bytes); });
    for (const auto& record : batch.m_value->m_records) {
      jobs.insert(std::get<core::JobCancelled>(record).m_job.m_value);
    }
  }
  return jobs;
}

class GroupCommitTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(GroupCommitTest);
  CPPUNIT_TEST(LostAnswerIsRepeatedUnderTheSameBatchId);
  CPPUNIT_TEST(OutageIsReportedAsNotAppendedAndLostAnswersAsUnknown);
  CPPUNIT_TEST(SlowLogGetsOneLargeAppendAtATime);
  CPPUNIT_TEST(RateAndQueueAreLimited);
  CPPUNIT_TEST(OutcomesAgreeWithTheLog);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a second copy of records whose append was written but not answered.
  void LostAnswerIsRepeatedUnderTheSameBatchId() {
    GroupCommit state;
    core::Time now{};
    CPPUNIT_ASSERT(Submit(state, now, Record(1)));
    now += 10ms;
    const auto first = NextAppend(state, now);
    CPPUNIT_ASSERT(first);
    OnAppendAnswer(state, now, AppendAnswer::kNoAnswer);
    now += 100ms;
    const auto second = NextAppend(state, now);
    CPPUNIT_ASSERT(second);
    CPPUNIT_ASSERT_EQUAL(first->m_batch_id, second->m_batch_id);
    // The answer alone does not complete the record. The read-back does, exactly once.
    OnAppendAnswer(state, now, AppendAnswer::kOk);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, OnReadBack(state, first->m_batch_id, 7).size());
    CPPUNIT_ASSERT(OnReadBack(state, first->m_batch_id, 8).empty());
  }

  /// Guards against reporting "not recorded" for a record that may appear in the log later, and
  /// against callers that wait too long for a log service that is down.
  void OutageIsReportedAsNotAppendedAndLostAnswersAsUnknown() {
    for (const auto answer : {AppendAnswer::kNotWritten, AppendAnswer::kNoAnswer}) {
      GroupCommit state;
      CPPUNIT_ASSERT(Submit(state, core::Time{}, Record(1)));
      CPPUNIT_ASSERT(NextAppend(state, core::Time{10ms}));
      OnAppendAnswer(state, core::Time{20ms}, answer);
      CPPUNIT_ASSERT(Submit(state, core::Time{30ms}, Record(2)));
      const auto early = Expire(state, core::Time{1040ms});
      const bool written = answer == AppendAnswer::kNoAnswer;
      CPPUNIT_ASSERT_EQUAL(std::size_t{written ? 1U : 2U}, early.size());
      for (const auto& completion : early) {
        CPPUNIT_ASSERT(completion.m_outcome.m_kind == AppendOutcomeKind::kNotAppended);
        CPPUNIT_ASSERT(completion.m_outcome.m_error->m_retry_after > 0s);
      }
      const auto late = Expire(state, core::Time{6s});
      CPPUNIT_ASSERT_EQUAL(std::size_t{written ? 1U : 0U}, late.size());
      if (written) CPPUNIT_ASSERT(late[0].m_outcome.m_kind == AppendOutcomeKind::kUnknown);
    }
  }

  /// Guards against many concurrent small appends to a slow log service.
  void SlowLogGetsOneLargeAppendAtATime() {
    GroupCommit state;
    CPPUNIT_ASSERT(Submit(state, core::Time{}, Record(0)));
    CPPUNIT_ASSERT(NextAppend(state, core::Time{10ms}));
    for (int i = 1; i <= 300; ++i) CPPUNIT_ASSERT(Submit(state, core::Time{20ms}, Record(i)));
    CPPUNIT_ASSERT(!NextAppend(state, core::Time{500ms}));
    OnAppendAnswer(state, core::Time{500ms}, AppendAnswer::kOk);
    const auto second = NextAppend(state, core::Time{500ms});
    CPPUNIT_ASSERT(second);
    const auto batch = core::Capture([&] { return wire::DecodeBatch(second->m_bytes); });
    CPPUNIT_ASSERT_EQUAL(std::size_t{256}, batch.m_value->m_records.size());
  }

  /// Guards against more appends than the log service allows, and against unbounded memory use
  /// during an outage.
  void RateAndQueueAreLimited() {
    GroupCommit state{.m_options = {.m_queue_limit = 100'000}};
    int appends = 0;
    for (core::Time now{}; now < core::Time{2s}; now += 1ms) {
      for (int i = 0; i < 40; ++i) CPPUNIT_ASSERT(Submit(state, now, Record(0)));
      if (!NextAppend(state, now)) continue;
      ++appends;
      OnAppendAnswer(state, now, AppendAnswer::kOk);
      (void)OnReadBack(state, state.m_open.front().m_batch_id, 1);
    }
    CPPUNIT_ASSERT_EQUAL(200, appends);
    state.m_options.m_queue_limit = state.m_queue.size();
    CPPUNIT_ASSERT(!Submit(state, core::Time{2s}, Record(0)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, state.m_counters.m_refused);
  }

  /// Guards against reported outcomes that contradict the log, under any mix of refused, lost and
  /// late writes and delays of the tail.
  void OutcomesAgreeWithTheLog() {
    CPPUNIT_ASSERT(rc::check("outcomes agree with the log", [] {
      GroupCommit state;
      SimulatedLog log;
      std::size_t read = 0;
      std::map<std::uint64_t, AppendOutcomeKind> ends;
      std::map<std::uint64_t, std::string> jobs;
      const auto take = [&](const std::vector<AppendCompletion>& completions) {
        for (const auto& completion : completions) {
          RC_ASSERT(ends.emplace(completion.m_ticket, completion.m_outcome.m_kind).second);
        }
      };
      const auto steps = *rc::gen::container<std::vector<int>>(150, rc::gen::inRange(0, 100));
      core::Time now{};
      for (const int step : steps) {
        now += std::chrono::milliseconds{*rc::gen::inRange(0, 200)};
        if (step < 35) {
          const auto job = std::to_string(jobs.size());
          const auto ticket = Submit(state, now, core::JobCancelled{.m_job = {job}});
          jobs.emplace(ticket.value(), job);
        }
        if (const auto append = NextAppend(state, now)) {
          const auto answer = static_cast<AppendAnswer>(*rc::gen::inRange(0, 3));
          now += std::chrono::milliseconds{*rc::gen::inRange(0, 2000)};
          const bool late = answer == AppendAnswer::kNoAnswer && *rc::gen::inRange(0, 2) == 0;
          if (late) log.m_late.push_back(*append);
          if (answer != AppendAnswer::kNotWritten && !late) log.m_entries.push_back(*append);
          OnAppendAnswer(state, now, answer);
        }
        if (step > 90 && !log.m_late.empty()) {
          log.m_entries.push_back(log.m_late.back());
          log.m_late.pop_back();
        }
        if (step % 3 == 0 && read < log.m_entries.size()) {
          take(OnReadBack(state, log.m_entries[read].m_batch_id, read));
          ++read;
        }
        if (step % 5 == 0) take(Expire(state, now));
      }
      take(Expire(state, core::Time::max()));
      for (const auto& append : log.m_late) log.m_entries.push_back(append);
      const auto in_log = JobsIn(log);
      for (const auto& [ticket, job] : jobs) {
        RC_ASSERT(ends.contains(ticket));
        if (ends[ticket] == AppendOutcomeKind::kAppended) RC_ASSERT(in_log.contains(job));
        if (ends[ticket] == AppendOutcomeKind::kNotAppended) RC_ASSERT(!in_log.contains(job));
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupCommitTest);

}  // namespace
}  // namespace ebonypin::platform
