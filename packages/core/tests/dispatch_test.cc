#include "ebonypin/core/dispatch.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

namespace ebonypin::core {
namespace {

using namespace std::chrono_literals;

/// An entry with agents a0, a1, ... on a virtual clock, which collects the returned actions.
struct Entry {
  explicit Entry(const std::uint32_t agents) {
    for (std::uint32_t i = 0; i < agents; ++i) {
      const auto id = "a" + std::to_string(i);
      ObserveHeartbeat(m_fleet,
                       {.m_agent = {id},
                        .m_incarnation = 1,
                        .m_domain = {"d"},
                        .m_rpc_address = id,
                        .m_capacity = {.m_cpu_millis = 16000, .m_memory_mb = 60000},
                        .m_slots = 8},
                       m_now);
    }
  }

  DispatchContext Context() { return {m_fleet, m_options, m_now, m_random}; }

  void Send(const Ticket ticket, const std::string& id, const bool non_idempotent = false,
            const Duration deadline = 1s) {
    Take(OnRequest(m_state, Context(), ticket,
                   {.m_id = {id},
                    .m_class = {"preview"},
                    .m_deadline = deadline,
                    .m_non_idempotent = non_idempotent},
                   {.m_name = {"preview"}}));
  }

  void Reply(const SendRun& run, const AnswerKind kind, const std::string& result = "",
             const std::optional<std::uint64_t> hash = std::nullopt) {
    Take(OnRunReply(m_state, Context(), run.m_agent,
                    {.m_request = run.m_run.m_request,
                     .m_try = run.m_run.m_try,
                     .m_kind = kind,
                     .m_error = {.m_kind = ErrorKind::kNoCapacity, .m_message = "full"},
                     .m_result = result,
                     .m_result_hash = hash.value_or(StableHash(result))}));
  }

  void Fail(const SendRun& run, const CallFailure failure) {
    Take(OnCallFailed(m_state, Context(), run.m_run.m_try, failure));
  }

  void Advance(const Duration by) {
    m_now += by;
    Take(OnTick(m_state, Context()));
  }

  void Take(const DispatchActions& actions) {
    for (const auto& action : actions) {
      if (const auto* const run = std::get_if<SendRun>(&action)) m_runs.push_back(*run);
      if (const auto* const answer = std::get_if<AnswerCaller>(&action)) {
        m_answers.push_back(*answer);
      }
      if (const auto* const cancel = std::get_if<SendCancel>(&action)) m_cancels.push_back(*cancel);
    }
  }

  Time m_now{1000s};
  FleetView m_fleet;
  DispatchOptions m_options;
  DispatchState m_state;
  std::mt19937_64 m_random{7};
  std::vector<SendRun> m_runs;
  std::vector<AnswerCaller> m_answers;
  std::vector<SendCancel> m_cancels;
};

class DispatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DispatchTest);
  CPPUNIT_TEST(ReplyAnswersItsOwnRequest);
  CPPUNIT_TEST(ReplyOfAnotherRequestOrAgentIsNotUsed);
  CPPUNIT_TEST(DamagedResultIsNotPassedOn);
  CPPUNIT_TEST(NotRunIsTriedAtAnotherAgent);
  CPPUNIT_TEST(NonIdempotentWorkIsNotRepeatedAfterATimeout);
  CPPUNIT_TEST(IdempotentWorkIsRepeatedWithinItsBudget);
  CPPUNIT_TEST(LateReplyOfAFailedCallAnswersIdempotentWork);
  CPPUNIT_TEST(NotRunIsNeverAnsweredWhileATryMayHaveRun);
  CPPUNIT_TEST(RequestIsAnsweredAtItsDeadline);
  CPPUNIT_TEST(EarlyTicksScheduleNoFurtherTicks);
  CPPUNIT_TEST(SlowIdempotentWorkIsHedgedAndTheOtherTryCancelled);
  CPPUNIT_TEST(HedgesStayWithinTheirBudget);
  CPPUNIT_TEST(PredictedLateStartIsRefusedWithoutASend);
  CPPUNIT_TEST(CancelIsAnsweredAndReachesTheAgent);
  CPPUNIT_TEST(AnyEventSequenceKeepsTheAnswerInvariants);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReplyAnswersItsOwnRequest() {
    Entry entry(2);
    entry.Send(1, "r");
    entry.Send(2, "r");
    entry.Reply(entry.m_runs[1], AnswerKind::kDone, "two");
    entry.Reply(entry.m_runs[0], AnswerKind::kDone, "one");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, entry.m_answers.size());
    CPPUNIT_ASSERT_EQUAL(Ticket{2}, entry.m_answers[0].m_ticket);
    CPPUNIT_ASSERT_EQUAL(std::string{"two"}, entry.m_answers[0].m_answer.m_result);
    CPPUNIT_ASSERT_EQUAL(std::string{"one"}, entry.m_answers[1].m_answer.m_result);
    CPPUNIT_ASSERT(entry.m_state.m_tries.empty() && entry.m_state.m_wakes.empty());
    CPPUNIT_ASSERT_EQUAL(0U, entry.m_fleet.m_agents[0].m_in_flight);
  }

  void ReplyOfAnotherRequestOrAgentIsNotUsed() {
    Entry entry(2);
    entry.Send(1, "r");
    SendRun wrong = entry.m_runs[0];
    wrong.m_run.m_request = {"other"};
    entry.Reply(wrong, AnswerKind::kDone, "x");
    wrong = entry.m_runs[0];
    wrong.m_run.m_try += 1;
    entry.Reply(wrong, AnswerKind::kDone, "x");
    wrong = entry.m_runs[0];
    wrong.m_agent = {"elsewhere"};
    entry.Reply(wrong, AnswerKind::kDone, "x");
    CPPUNIT_ASSERT(entry.m_answers.empty());
  }

  void DamagedResultIsNotPassedOn() {
    Entry entry(2);
    entry.Send(1, "r", true);
    entry.Reply(entry.m_runs[0], AnswerKind::kDone, "cut", 5);
    CPPUNIT_ASSERT(entry.m_answers.at(0).m_answer.m_kind == AnswerKind::kUnknown);
    CPPUNIT_ASSERT(entry.m_answers[0].m_answer.m_error->m_kind == ErrorKind::kBadMessage);
  }

  void NotRunIsTriedAtAnotherAgent() {
    Entry entry(3);
    entry.Send(1, "r", true);
    entry.Reply(entry.m_runs[0], AnswerKind::kNotRun);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, entry.m_runs.size());  // Backoff comes first.
    entry.Advance(5ms);
    entry.Fail(entry.m_runs.at(1), CallFailure::kNotSent);
    entry.Advance(5ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, entry.m_runs.size());
    CPPUNIT_ASSERT(entry.m_runs[0].m_agent != entry.m_runs[1].m_agent);
    CPPUNIT_ASSERT(entry.m_runs[0].m_agent != entry.m_runs[2].m_agent);
    entry.Reply(entry.m_runs[2], AnswerKind::kNotRun);
    entry.Advance(20ms);
    CPPUNIT_ASSERT(entry.m_answers.at(0).m_answer.m_kind == AnswerKind::kNotRun);
  }

  void NonIdempotentWorkIsNotRepeatedAfterATimeout() {
    Entry entry(3);
    entry.Send(1, "r", true);
    entry.Fail(entry.m_runs[0], CallFailure::kDisconnected);
    entry.Advance(500ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, entry.m_runs.size());
    CPPUNIT_ASSERT(entry.m_answers.at(0).m_answer.m_kind == AnswerKind::kUnknown);
  }

  void IdempotentWorkIsRepeatedWithinItsBudget() {
    Entry entry(3);
    entry.m_options.m_retries = {.m_ratio = 0.0, .m_capacity = 2.0};
    for (Ticket ticket = 1; ticket <= 5; ++ticket) {
      entry.Send(ticket, "r" + std::to_string(ticket));
      entry.Fail(entry.m_runs.back(), CallFailure::kTimeout);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, entry.m_answers.size());
    entry.Advance(10ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, entry.m_runs.size());
  }

  void LateReplyOfAFailedCallAnswersIdempotentWork() {
    Entry entry(3);
    entry.Send(1, "r");
    entry.Fail(entry.m_runs[0], CallFailure::kTimeout);
    entry.Advance(10ms);
    entry.Reply(entry.m_runs[0], AnswerKind::kDone, "late");
    entry.Reply(entry.m_runs.at(1), AnswerKind::kDone, "second");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, entry.m_answers.size());
    CPPUNIT_ASSERT_EQUAL(std::string{"late"}, entry.m_answers[0].m_answer.m_result);
    CPPUNIT_ASSERT(entry.m_cancels.at(0).m_agent == entry.m_runs[1].m_agent);
  }

  void NotRunIsNeverAnsweredWhileATryMayHaveRun() {
    Entry entry(2);
    entry.Send(1, "r");
    entry.Fail(entry.m_runs[0], CallFailure::kTimeout);
    entry.Advance(10ms);
    entry.Reply(entry.m_runs.at(1), AnswerKind::kNotRun);
    entry.Advance(2s);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, entry.m_answers.size());
    CPPUNIT_ASSERT(entry.m_answers[0].m_answer.m_kind == AnswerKind::kUnknown);
  }

  void RequestIsAnsweredAtItsDeadline() {
    Entry entry(2);
    entry.Send(1, "r", false, 100ms);
    entry.Advance(99ms);
    CPPUNIT_ASSERT(entry.m_answers.empty());
    entry.Advance(1ms);
    CPPUNIT_ASSERT(entry.m_answers.at(0).m_answer.m_kind == AnswerKind::kUnknown);
    CPPUNIT_ASSERT_EQUAL(0U, entry.m_fleet.m_agents[0].m_in_flight);
  }

  /// Guards against ticks that schedule further ticks until they use up the entry's processor time.
  void EarlyTicksScheduleNoFurtherTicks() {
    Entry entry(2);
    entry.Send(1, "r", false, 1s);
    entry.Send(2, "s", false, 100ms);
    entry.Advance(100ms);
    for (int i = 0; i < 10; ++i) {
      entry.m_now += 10ms;
      CPPUNIT_ASSERT(OnTick(entry.m_state, entry.Context()).empty());
    }
    entry.Advance(800ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, entry.m_answers.size());
  }

  void SlowIdempotentWorkIsHedgedAndTheOtherTryCancelled() {
    Entry entry(4);
    for (Ticket ticket = 1; ticket <= 30; ++ticket) {
      entry.Send(ticket, "r");
      entry.Reply(entry.m_runs.back(), AnswerKind::kDone, "x");
    }
    entry.Send(40, "slow");
    entry.Send(41, "slow-once", true);
    entry.Advance(30ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{33}, entry.m_runs.size());
    CPPUNIT_ASSERT(entry.m_runs[32].m_run.m_request == RequestId{"slow"});
    entry.Reply(entry.m_runs[32], AnswerKind::kDone, "fast");
    CPPUNIT_ASSERT(entry.m_cancels.at(0).m_agent == entry.m_runs[30].m_agent);
    entry.Reply(entry.m_runs[30], AnswerKind::kDone, "slow");
    CPPUNIT_ASSERT_EQUAL(std::size_t{31}, entry.m_answers.size());
  }

  /// Guards against hedges that double the load when everything is slow.
  void HedgesStayWithinTheirBudget() {
    Entry entry(4);
    entry.m_options.m_hedges = {.m_ratio = 0.0, .m_capacity = 2.0};
    for (Ticket ticket = 1; ticket <= 30; ++ticket) {
      entry.Send(ticket, "r");
      entry.Reply(entry.m_runs.back(), AnswerKind::kDone, "x");
    }
    for (Ticket ticket = 40; ticket < 50; ++ticket) entry.Send(ticket, "slow");
    entry.Advance(30ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{42}, entry.m_runs.size());
  }

  /// Guards against work that is accepted although its start is predicted too late.
  void PredictedLateStartIsRefusedWithoutASend() {
    Entry entry(2);
    for (AgentView& agent : entry.m_fleet.m_agents) {
      agent.m_load = {.m_slots_busy = 8, .m_queued = 40, .m_latency_us = 480'000};
    }
    const ClassSpec spec{.m_name = {"preview"}, .m_target = {.m_start_within = 100ms}};
    const WorkRequest request{.m_id = {"r"}, .m_class = spec.m_name};
    entry.Take(OnRequest(entry.m_state, entry.Context(), 1, request, spec));
    CPPUNIT_ASSERT(entry.m_runs.empty());
    const Answer& answer = entry.m_answers.at(0).m_answer;
    CPPUNIT_ASSERT(answer.m_kind == AnswerKind::kNotRun);
    CPPUNIT_ASSERT(answer.m_error->m_kind == ErrorKind::kOverloaded);
    CPPUNIT_ASSERT(answer.m_error->m_retry_after > 0s);
    entry.Send(2, "without-a-target");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, entry.m_runs.size());
  }

  void CancelIsAnsweredAndReachesTheAgent() {
    Entry entry(2);
    entry.Send(1, "r");
    entry.Take(OnCancel(entry.m_state, entry.Context(), 1));
    entry.Take(OnCancel(entry.m_state, entry.Context(), 1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, entry.m_answers.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, entry.m_cancels.size());
  }

  /// Guards invariants I4, I5 and I6 for any behaviour of agents and connections: each ticket is
  /// answered once, with the result of its own request; kNotRun is answered only for work that was
  /// not run; non-idempotent work runs at most once.
  void AnyEventSequenceKeepsTheAnswerInvariants() {
    CPPUNIT_ASSERT(rc::check("any sequence of events keeps the invariants of answers", [] {
      Entry entry(4);
      entry.m_random.seed(*rc::gen::arbitrary<std::uint64_t>());
      std::map<std::string, int> runs;
      std::vector<std::pair<SendRun, std::string>> results;  // Kept for late and repeated replies.
      std::size_t next_run = 0;
      Ticket last_ticket = 0;
      const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
          rc::gen::pair(rc::gen::inRange(0, 10), rc::gen::inRange(0, 100)));
      for (const auto& [kind, pick] : steps) {
        if (kind <= 2) {
          ++last_ticket;
          entry.Send(last_ticket, "r" + std::to_string(last_ticket), last_ticket % 3 == 0, 300ms);
        } else if (kind == 3) {
          entry.Advance(std::chrono::milliseconds{pick});
        } else if (kind == 4 && last_ticket > 0) {
          entry.Take(OnCancel(entry.m_state, entry.Context(), 1 + pick % last_ticket));
        } else if (kind == 5 && !results.empty()) {
          const auto& [run, result] = results[pick % results.size()];
          entry.Reply(run, AnswerKind::kDone, result);
        } else if (next_run < entry.m_runs.size()) {
          const SendRun run = entry.m_runs[next_run++];
          const std::string id = run.m_run.m_request.m_value;
          const std::string result = id + " try " + std::to_string(run.m_run.m_try);
          // 6: runs; 7: is refused; 8: runs, and its reply is lost, late or damaged; 9: is not
          // sent.
          if (kind == 6 || kind == 8) {
            ++runs[id];
            results.emplace_back(run, result);
          }
          if (kind == 6) entry.Reply(run, AnswerKind::kDone, result);
          if (kind == 7) entry.Reply(run, AnswerKind::kNotRun);
          if (kind == 8 && pick % 3 == 0) entry.Reply(run, AnswerKind::kDone, result, 1);
          if (kind == 8 && pick % 3 == 1) entry.Fail(run, CallFailure::kTimeout);
          if (kind == 8 && pick % 3 == 2) entry.Fail(run, CallFailure::kDisconnected);
          if (kind == 9) entry.Fail(run, CallFailure::kNotSent);
        }
      }
      // Tries that are still open have not run in this model. The deadline ends their requests.
      entry.Advance(1s);
      RC_ASSERT(entry.m_answers.size() == last_ticket);
      std::set<Ticket> answered;
      for (const AnswerCaller& answer : entry.m_answers) {
        RC_ASSERT(answered.insert(answer.m_ticket).second);
        const std::string id = "r" + std::to_string(answer.m_ticket);
        RC_ASSERT(answer.m_answer.m_request.m_value == id);
        if (answer.m_answer.m_kind == AnswerKind::kNotRun) RC_ASSERT(runs[id] == 0);
        if (answer.m_answer.m_kind == AnswerKind::kDone) {
          RC_ASSERT(answer.m_answer.m_result.starts_with(id + " try "));
        }
        if (answer.m_ticket % 3 == 0) RC_ASSERT(runs[id] <= 1);
      }
      RC_ASSERT(entry.m_state.m_requests.empty() && entry.m_state.m_tries.empty());
      for (const AgentView& agent : entry.m_fleet.m_agents) RC_ASSERT(agent.m_in_flight == 0);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatchTest);

}  // namespace
}  // namespace ebonypin::core
