/// Reports of an agent whose worker lists many runs, ends and saved states.
#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

#include "agent_fixture.h"
#include "fleet_fixture.h"

namespace ebonypin::core::fleet {
namespace {

using namespace std::chrono_literals;

std::size_t StateBytes(const AgentReport& report) {
  std::size_t bytes = 0;
  for (const auto& run : report.m_runs) bytes += run.m_checkpoint.size();
  for (const auto& end : report.m_ends) bytes += end.m_checkpoint.size();
  return bytes;
}

TaskRef TaskAt(const std::uint32_t index) {
  auto task = kTask;
  task.m_index = index;
  return task;
}

class AgentReportTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgentReportTest);
  CPPUNIT_TEST(StatesThatDoNotFitComeWithTheNextReports);
  CPPUNIT_TEST(EndsThatDoNotFitComeWithLaterReports);
  CPPUNIT_TEST(RunsWhoseEndsAreLeftOutAreNotLost);
  CPPUNIT_TEST(StatesThatAreTooLongAreNotKept);
  CPPUNIT_TEST(OrdersFitIntoAMessage);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a report that is larger than a message, which no coordinator can read, so that
  /// the agent gets no grant and its runs lapse.
  void StatesThatDoNotFitComeWithTheNextReports() {
    GrantedAgent fixture;
    std::vector<ListedRun> runs;
    for (std::uint32_t i = 0; i < 1000; ++i) {
      runs.push_back({.m_task = TaskAt(i), .m_run = 1, .m_checkpoint = std::string(1200, 's')});
    }
    (void)fixture.Hold(runs);
    std::set<TaskRef> with_state;
    for (int i = 0; i < 4; ++i) {
      const auto report = MakeReport(fixture.m_agent, fixture.m_now);
      CPPUNIT_ASSERT_EQUAL(runs.size(), report.m_runs.size());
      CPPUNIT_ASSERT(StateBytes(report) <= fixture.m_agent.m_options.m_max_report_states);
      for (const auto& run : report.m_runs) {
        if (!run.m_checkpoint.empty()) with_state.insert(run.m_task);
      }
    }
    CPPUNIT_ASSERT_EQUAL(runs.size(), with_state.size());
  }

  /// Guards against the same when many runs end at once.
  void EndsThatDoNotFitComeWithLaterReports() {
    GrantedAgent fixture;
    std::vector<RunEnded> ends;
    for (std::uint32_t i = 0; i < 500; ++i) {
      ends.push_back({.m_number = i + 1,
                      .m_task = TaskAt(i),
                      .m_run = 1,
                      .m_outcome = RunOutcome::kStopped,
                      .m_checkpoint = std::string(1200, 's')});
    }
    (void)fixture.Hold({}, ends);
    std::uint64_t recorded = 0;
    for (int i = 0; i < 3 && recorded < ends.size(); ++i) {
      const auto report = MakeReport(fixture.m_agent, fixture.m_now);
      CPPUNIT_ASSERT(StateBytes(report) <= fixture.m_agent.m_options.m_max_report_states);
      CPPUNIT_ASSERT_EQUAL(recorded + 1, report.m_ends.at(0).m_number);
      recorded = report.m_ends.back().m_number;
      CPPUNIT_ASSERT_EQUAL(recorded == ends.size(), report.m_ends_complete);
      fixture.m_agent.m_report_due = false;
      OnReportReply(fixture.m_agent, fixture.m_now,
                    {.m_accepted = true,
                     .m_epoch = 1,
                     .m_session = fixture.m_session,
                     .m_recorded_end = recorded,
                     .m_worker_born = fixture.m_worker.m_born});
      CPPUNIT_ASSERT_EQUAL(recorded < ends.size(), fixture.m_agent.m_report_due);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{500}, recorded);
  }

  /// Guards against a task that starts elsewhere although its run has ended as done: the end was
  /// left out of the report, and the run is not listed any more.
  void RunsWhoseEndsAreLeftOutAreNotLost() {
    Site site;
    site.Join("a");
    site.Accept(MakeJob("j"));
    const auto start = site.Starts().at(0).second;
    auto report = site.Report("a");
    report.m_ends_complete = false;
    (void)OnReport(site.m_state, site.m_now, report);
    site.Advance(1s);
    CPPUNIT_ASSERT(site.Starts().empty());
    (void)site.End("a", 1, start.m_task, start.m_run, RunOutcome::kDone);
    site.Write();
    CPPUNIT_ASSERT(site.PhaseOf("j") == JobPhase::kDone);
  }

  /// Guards against one state that is larger than records and messages.
  void StatesThatAreTooLongAreNotKept() {
    GrantedAgent fixture;
    const std::string longest(kMaxCheckpointBytes, 's');
    const auto listed = [&](const std::string& state) {
      (void)fixture.Hold({{.m_task = kTask, .m_run = 1, .m_checkpoint = state}});
      return MakeReport(fixture.m_agent, fixture.m_now).m_runs.at(0).m_checkpoint;
    };
    CPPUNIT_ASSERT_EQUAL(longest, listed(longest));
    CPPUNIT_ASSERT_EQUAL(longest, listed(longest + "s"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, fixture.m_agent.m_states_ignored);
    (void)fixture.Hold({}, {{.m_number = 1,
                             .m_task = kTask,
                             .m_run = 1,
                             .m_outcome = RunOutcome::kStopped,
                             .m_checkpoint = longest + "s"}});
    const auto report = MakeReport(fixture.m_agent, fixture.m_now);
    CPPUNIT_ASSERT(report.m_ends.at(0).m_checkpoint.empty());
  }

  /// Guards against orders that never arrive because they are larger than a message together.
  void OrdersFitIntoAMessage() {
    Coordinator state;
    Agent agent;
    for (std::uint64_t i = 1; i <= 40; ++i) agent.m_orders.push_back({.m_number = i});
    CPPUNIT_ASSERT_EQUAL(state.m_options.m_max_orders_sent, NextOrders(state, agent).size());
    for (auto& order : agent.m_orders) order.m_start.m_image = {std::string(200'000, 'i')};
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, NextOrders(state, agent).size());
    agent.m_orders[0].m_start.m_image = {std::string(600'000, 'i')};
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, NextOrders(state, agent).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentReportTest);

}  // namespace
}  // namespace ebonypin::core::fleet
