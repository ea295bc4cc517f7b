#include "judge.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

namespace ebonypin::chaos {
namespace {

const CheckOptions kOptions{.m_exclusive_classes = {"render"}};

/// Returns a history in which every guarantee holds.
History ValidHistory() {
  History history;
  history.m_calls = {{.m_id = "r1",
                      .m_class = "preview",
                      .m_expected = "a",
                      .m_answer_status = AnswerStatus::kDone,
                      .m_result = "a",
                      .m_answer_id = "r1"},
                     {.m_id = "r2",
                      .m_class = "preview",
                      .m_answer_status = AnswerStatus::kNotRun,
                      .m_answer_id = "r2",
                      .m_error = "no_capacity"},
                     {.m_id = "j1",
                      .m_class = "render",
                      .m_key = "k1",
                      .m_expected = "b",
                      .m_answer_status = AnswerStatus::kAccepted,
                      .m_job = "job-1",
                      .m_answer_id = "j1",
                      .m_non_idempotent = true},
                     {.m_id = "j2",
                      .m_class = "render",
                      .m_key = "k1",
                      .m_expected = "b",
                      .m_answer_status = AnswerStatus::kAccepted,
                      .m_job = "job-1",
                      .m_answer_id = "j2",
                      .m_non_idempotent = true}};
  history.m_worker_events = {
      {.m_worker = "w1", .m_at_us = 1, .m_what = "serve", .m_id = "r1"},
      {.m_worker = "w1", .m_at_us = 2, .m_what = "served", .m_id = "r1"},
      {.m_worker = "w1", .m_at_us = 3, .m_what = "start", .m_id = "job-1", .m_attempt = 1},
      {.m_worker = "w1", .m_at_us = 5, .m_what = "stop", .m_id = "job-1", .m_attempt = 1},
      {.m_worker = "w2", .m_at_us = 6, .m_what = "start", .m_id = "job-1", .m_attempt = 2},
      {.m_worker = "w2", .m_at_us = 9, .m_what = "end", .m_id = "job-1", .m_attempt = 2}};
  history.m_jobs = {{.m_job = "job-1",
                     .m_request = "j1",
                     .m_class = "render",
                     .m_state = "closed",
                     .m_outcome = "succeeded",
                     .m_result = "b"}};
  history.m_watchers["watcher"] = {{.m_sequence = 1, .m_update = "u1", .m_value = "value of u1"},
                                   {.m_sequence = 2, .m_update = "u2", .m_value = "value of u2"}};
  history.m_posted_updates = {"u1", "u2"};
  history.m_revisions["entry"] = {1, 1, 2};
  return history;
}

struct Defect {
  const char* m_rule;
  std::function<void(History&)> m_apply;
};

class JudgeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(JudgeTest);
  CPPUNIT_TEST(ValidHistoryHasNoViolation);
  CPPUNIT_TEST(EachDefectIsReported);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against false violations.
  void ValidHistoryHasNoViolation() {
    const auto verdict = CheckHistory(ValidHistory(), kOptions);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, verdict.m_violations.size());
    CPPUNIT_ASSERT(verdict.m_checked > 15);
  }

  /// Guards against rules that never report a violation.
  void EachDefectIsReported() {
    const std::vector<Defect> defects = {
        {"answer to the wrong request", [](History& h) { h.m_calls[0].m_answer_id = "r2"; }},
        {"wrong or partial result", [](History& h) { h.m_calls[0].m_result = ""; }},
        {"not_run, but it ran",
         [](History& h) { h.m_calls[0].m_answer_status = AnswerStatus::kNotRun; }},
        {"accepted job lost", [](History& h) { h.m_jobs.clear(); }},
        {"accepted job not closed at the end", [](History& h) { h.m_jobs[0].m_state = "queued"; }},
        {"accepted job did not succeed", [](History& h) { h.m_jobs[0].m_outcome = "failed"; }},
        {"wrong result of a job", [](History& h) { h.m_jobs[0].m_result = "c"; }},
        {"one key, two jobs", [](History& h) { h.m_calls[3].m_job = "job-2"; }},
        {"ran to its end more than once", [](History& h) { h.m_worker_events[3].m_what = "end"; }},
        {"ran in two places at once", [](History& h) { h.m_worker_events[4].m_at_us = 4; }},
        {"non-idempotent request ran outside the job path",
         [](History& h) { h.m_worker_events[0].m_id = "j1"; }},
        {"watch sequence goes back or repeats",
         [](History& h) { h.m_watchers["watcher"][1].m_sequence = 1; }},
        {"watch update twice", [](History& h) { h.m_watchers["watcher"][1].m_update = "u1"; }},
        {"watch update dropped", [](History& h) { h.m_watchers["watcher"].pop_back(); }},
        {"configuration reverted",
         [](History& h) {
           h.m_revisions["entry"] = {2, 1};
         }},
    };
    for (const auto& defect : defects) {
      auto history = ValidHistory();
      defect.m_apply(history);
      bool reported = false;
      for (const auto& violation : CheckHistory(history, kOptions).m_violations)
        reported |= violation.m_rule == defect.m_rule;
      CPPUNIT_ASSERT_MESSAGE(defect.m_rule, reported);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JudgeTest);

}  // namespace
}  // namespace ebonypin::chaos
