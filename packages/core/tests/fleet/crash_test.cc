/// Replays of tasks that crash the workers that start them.
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet_fixture.h"

namespace ebonypin::core::fleet {
namespace {

using namespace std::chrono_literals;

const std::vector<std::string> kAgents{"a", "b", "c", "d", "e", "f"};
constexpr auto kStep = 50ms;
constexpr auto kAway = 3s;
constexpr auto kRunTime = 800ms;

/// Site whose workers crash when they have started one of some tasks, and are back three seconds
/// later with another process.
class CrashSite : public Site {
 public:
  std::set<TaskRef> m_deadly;
  std::map<TaskRef, int> m_crashes;             ///< Workers that crashed with the task at work.
  std::map<TaskRef, int> m_starts;              ///< Starts of the task.
  std::map<TaskRef, int> m_starts_after_three;  ///< Starts after three workers had crashed.

  CrashSite() {
    for (const auto& agent : kAgents) {
      (void)ReportInNewSession(ReportOf(agent));
      Write();
      Exchange(agent);
    }
  }

  /// Workers crash, come back and end runs, agents report, and the coordinator plans.
  void Step() {
    Advance(kStep);
    for (const auto& agent : kAgents) StepWorker(agent);
    Write();
    Tick(m_state, m_now, m_wall, m_now);
    for (const auto& [agent, start] : Starts()) {
      const TaskRef& task = start.m_task;
      m_workers[agent].m_runs[task] = {.m_run = start.m_run, .m_started = m_now};
      ++m_starts[task];
      if (m_crashes[task] >= 3) ++m_starts_after_three[task];
    }
    for (auto& [id, agent] : m_state.m_agents) {
      for (const auto& order : agent.m_orders) {
        if (order.m_kind == OrderKind::kStop)
          m_workers[id.m_value].m_runs.erase(order.m_start.m_task);
      }
      OnOrdersTaken(m_state, id, agent.m_session, agent.m_next_order - 1);
    }
    Write();
  }

  void StepFor(const Duration time) {
    for (const Time until = m_now + time; m_now < until;) Step();
  }

  /// Replaces the coordinator by one that knows only what is stored.
  void TakeOver() {
    Coordinator next{.m_epoch = m_state.m_epoch + 1, .m_rpc_address = "c"};
    for (const auto& [id, job] : m_state.m_jobs) Restore(next, m_now, job.m_spec);
    for (const auto& [id, progress] : m_progress) Restore(next, progress);
    FinishRestore(next, m_now, {.m_until = m_now});
    m_state = std::move(next);
    for (const auto& agent : kAgents) (void)ReportInNewSession(ReportOf(agent));
    Write();
  }

  void Write() {
    const auto batch = TakeWrites(m_state, m_wall);
    for (const auto& record : batch.m_records) {
      const auto* const progress = std::get_if<JobProgress>(&record);
      if (progress != nullptr) m_progress[progress->m_job] = *progress;
    }
    OnWritten(m_state, batch);
  }

 private:
  struct WorkerRun {
    RunNumber m_run = 0;
    Time m_started;
  };
  struct Worker {
    std::int64_t m_born = 7;
    Time m_back;
    std::map<TaskRef, WorkerRun> m_runs;  ///< After a crash: those that were lost.
    std::vector<CrashedRun> m_lost;
    std::vector<CrashedRun> m_crashed;
    std::vector<RunEnded> m_ends;
    std::uint64_t m_last_end = 0;
  };

  AgentReport ReportOf(const std::string& agent) {
    const Worker& worker = m_workers[agent];
    auto report = Report(agent);
    report.m_worker.m_born = worker.m_born;
    report.m_worker.m_id = {"w-" + agent + std::to_string(worker.m_born)};
    report.m_worker.m_reachable = m_now >= worker.m_back;
    report.m_ends = worker.m_ends;
    report.m_crashed = worker.m_crashed;
    for (const auto& [task, run] : worker.m_runs) {
      const bool works = m_now > run.m_started && m_now >= worker.m_back;
      report.m_runs.push_back({.m_task = task, .m_run = run.m_run, .m_percent = works ? 1U : 0U});
    }
    return report;
  }

  void Exchange(const std::string& agent) {
    auto report = ReportOf(agent);
    const auto reply =
        report.m_session == 0 ? ReportInNewSession(report) : OnReport(m_state, m_now, report);
    auto& worker = m_workers[agent];
    std::erase_if(worker.m_crashed,
                  [&](const auto& run) { return run.m_born <= reply.m_recorded_crash; });
    if (reply.m_worker_born != worker.m_born) return;
    std::erase_if(worker.m_ends,
                  [&](const auto& end) { return end.m_number <= reply.m_recorded_end; });
  }

  void StepWorker(const std::string& agent) {
    auto& worker = m_workers[agent];
    if (m_now >= worker.m_back) {
      if (!worker.m_lost.empty()) ComeBack(worker);
      RunTasks(worker);
    }
    Exchange(agent);
  }

  void ComeBack(Worker& worker) {
    worker.m_crashed.insert(worker.m_crashed.end(), worker.m_lost.begin(), worker.m_lost.end());
    worker.m_lost.clear();
    worker.m_runs.clear();
    worker.m_ends.clear();
    worker.m_last_end = 0;
    ++worker.m_born;
  }

  void RunTasks(Worker& worker) {
    bool crashes = false;
    std::vector<TaskRef> done;
    for (const auto& [task, run] : worker.m_runs) {
      crashes = crashes || m_deadly.contains(task);
      const Job& job = m_state.m_jobs.at(task.m_job);
      const bool lasts = job.m_spec.m_steps[task.m_step].m_long_running;
      if (!lasts && m_now - run.m_started >= kRunTime) done.push_back(task);
    }
    if (crashes) {
      for (const auto& [task, run] : worker.m_runs) {
        ++m_crashes[task];
        worker.m_lost.push_back({.m_born = worker.m_born,
                                 .m_task = task,
                                 .m_run = run.m_run,
                                 .m_age = m_now - run.m_started});
      }
      worker.m_back = m_now + kAway;
      return;
    }
    for (const auto& task : done) {
      worker.m_ends.push_back(
          {.m_number = ++worker.m_last_end, .m_task = task, .m_run = worker.m_runs[task].m_run});
      worker.m_runs.erase(task);
    }
  }

  std::map<std::string, Worker> m_workers;
  std::map<JobId, JobProgress> m_progress;
};

class CrashTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashTest);
  CPPUNIT_TEST(ATaskThatCrashesItsWorkersIsGivenUp);
  CPPUNIT_TEST(InnocentTasksBesideADeadlyOneEndDone);
  CPPUNIT_TEST(ACrashCountSurvivesATakeover);
  CPPUNIT_TEST(ATaskThatHasBeenAtWorkIsNoSuspect);
  CPPUNIT_TEST(ASuspectThatGoesOnIsCleared);
  CPPUNIT_TEST(OldCrashesDoNotEndAWorkingRun);
  CPPUNIT_TEST(SuspectsAreStartedApart);
  CPPUNIT_TEST(AGangOfSuspectsIsStarted);
  CPPUNIT_TEST(OnlyTasksThatCrashWorkersAreGivenUp);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against a task that crashes one worker after the other, with everything that runs
  /// there.
  void ATaskThatCrashesItsWorkersIsGivenUp() {
    CrashSite site;
    site.m_deadly = {Ref("deadly")};
    site.Accept(MakeJob("deadly", 2));
    site.StepFor(30s);
    CPPUNIT_ASSERT(site.PhaseOf("deadly") == JobPhase::kFailed);
    CPPUNIT_ASSERT(site.m_crashes[Ref("deadly")] >= 2);
    CPPUNIT_ASSERT(site.m_starts_after_three[Ref("deadly")] < 3);
  }

  /// Guards against jobs that are shown as failed because their tasks shared a worker with one that
  /// crashes it.
  void InnocentTasksBesideADeadlyOneEndDone() {
    CrashSite site;
    site.m_deadly = {Ref("deadly")};
    site.Accept(MakeJob("innocent", 8));
    site.Accept(MakeJob("deadly", 4));
    site.Accept(MakeJob("other", 8));
    site.StepFor(30s);
    CPPUNIT_ASSERT(site.PhaseOf("deadly") == JobPhase::kFailed);
    CPPUNIT_ASSERT_EQUAL(2, site.m_crashes[Ref("deadly")]);
    CPPUNIT_ASSERT(site.PhaseOf("innocent") == JobPhase::kDone);
    CPPUNIT_ASSERT(site.PhaseOf("other") == JobPhase::kDone);
  }

  /// Guards against a count that begins at zero with each coordinator.
  void ACrashCountSurvivesATakeover() {
    CrashSite site;
    site.m_deadly = {Ref("deadly")};
    site.Accept(MakeJob("deadly"));
    for (int i = 0; i < 4; ++i) {
      site.StepFor(kAway + 1s);
      site.TakeOver();
    }
    site.StepFor(10s);
    CPPUNIT_ASSERT(site.PhaseOf("deadly") == JobPhase::kFailed);
    CPPUNIT_ASSERT_EQUAL(2, site.m_starts[Ref("deadly")]);
  }

  /// Guards against a serving task that is given up because others crash its worker.
  void ATaskThatHasBeenAtWorkIsNoSuspect() {
    CrashSite site;
    site.Accept(MakeServingJob("serving", 6, {"search"}));
    site.StepFor(10s);
    for (int i = 0; i < 4; ++i) {
      const auto id = "deadly-" + std::to_string(i);
      site.m_deadly.insert(Ref(id));
      site.Accept(MakeJob(id));
      site.StepFor(15s);
      CPPUNIT_ASSERT(site.PhaseOf(id) == JobPhase::kFailed);
    }
    int crashes = 0;
    for (std::uint32_t i = 0; i < 6; ++i) crashes += site.m_crashes[Ref("serving", i)];
    CPPUNIT_ASSERT(crashes > 0);
    CPPUNIT_ASSERT(site.PhaseOf("serving") != JobPhase::kFailed);
    for (const auto& task :
         site.m_state.m_jobs.at({"serving"}).m_occurrences.at(0).m_steps[0].m_tasks)
      CPPUNIT_ASSERT(task.m_crashes.empty());
  }

  /// Guards against a count that adds up over unrelated crashes in the life of a task.
  void ASuspectThatGoesOnIsCleared() {
    Site site;
    site.Join("a");
    site.Accept(MakeServingJob("serving", 1, {"search"}));
    (void)site.Starts();
    auto report = site.Report("a");
    report.m_crashed = {{.m_born = 6, .m_task = Ref("serving"), .m_run = 1, .m_age = 20ms}};
    (void)OnReport(site.m_state, site.m_now, report);
    site.Advance(200ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, site.Starts().size());
    const auto& task =
        site.m_state.m_jobs.at({"serving"}).m_occurrences.at(0).m_steps[0].m_tasks[0];
    const auto report_run = [&](const std::uint32_t percent) {
      auto next = site.Report("a");
      next.m_runs = {{.m_task = Ref("serving"), .m_run = 2, .m_percent = percent}};
      (void)OnReport(site.m_state, site.m_now, next);
    };
    site.Advance(2s);
    report_run(0);
    CPPUNIT_ASSERT(task.m_suspect);
    report_run(1);
    CPPUNIT_ASSERT(!task.m_suspect && task.m_crashes.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, site.m_state.m_agents.at({"a"}).m_suspects);
  }

  /// Guards against a job that fails while its task works well, because a new coordinator learns of
  /// several earlier crashes at once.
  void OldCrashesDoNotEndAWorkingRun() {
    Site site;
    site.Join("a");
    site.Accept(MakeServingJob("serving", 1, {"search"}));
    (void)site.Starts();
    auto report = site.Report("a");
    report.m_runs = {{.m_task = Ref("serving"), .m_run = 1}};
    for (std::int64_t born = 4; born < 7; ++born) {
      report.m_crashed.push_back({.m_born = born,
                                  .m_task = Ref("serving"),
                                  .m_run = 100 + static_cast<RunNumber>(born),
                                  .m_age = 20ms});
    }
    (void)OnReport(site.m_state, site.m_now, report);
    (void)site.Starts();
    CPPUNIT_ASSERT(site.PhaseOf("serving") != JobPhase::kFailed);
    site.Advance(2s);
    report = site.Report("a");
    report.m_runs = {{.m_task = Ref("serving"), .m_run = 1, .m_percent = 1}};
    (void)OnReport(site.m_state, site.m_now, report);
    const auto& job = site.m_state.m_jobs.at({"serving"});
    CPPUNIT_ASSERT(!job.m_closed);
    CPPUNIT_ASSERT(!job.m_occurrences.at(0).m_steps[0].m_tasks[0].m_given_up);
  }

  /// Guards against suspects that crash the next worker together, so that no crash names the cause.
  void SuspectsAreStartedApart() {
    Site site;
    for (const auto* const agent : {"a", "b", "c"}) site.Join(agent);
    site.Accept(MakeJob("j", 4));
    std::map<std::string, std::vector<CrashedRun>> crashed;
    for (const auto& [agent, start] : site.Starts()) {
      crashed[agent].push_back({.m_born = 6, .m_task = start.m_task, .m_run = 1, .m_age = 20ms});
    }
    for (const auto& [agent, runs] : crashed) {
      auto report = site.Report(agent);
      report.m_crashed = runs;
      (void)OnReport(site.m_state, site.m_now, report);
    }
    site.Advance(200ms);
    std::set<std::string> agents;
    const auto starts = site.Starts();
    for (const auto& [agent, start] : starts) agents.insert(agent);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, starts.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, agents.size());
  }

  /// Guards against a gang that waits for ever because its members are more than the workers.
  void AGangOfSuspectsIsStarted() {
    Site site;
    site.Join("a");
    JobSpec job = MakeJob("gang", 3);
    job.m_steps[0].m_gang = true;
    site.Accept(job);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, site.Starts().size());
    auto report = site.Report("a");
    for (std::uint32_t i = 0; i < 3; ++i) {
      report.m_crashed.push_back(
          {.m_born = 6, .m_task = Ref("gang", i), .m_run = 1, .m_age = 20ms});
    }
    (void)OnReport(site.m_state, site.m_now, report);
    site.Advance(200ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, site.Starts().size());
  }

  /// Guards against starts beyond the limit, and against innocent jobs that are given up, whichever
  /// tasks crash their workers and whenever the coordinator changes.
  void OnlyTasksThatCrashWorkersAreGivenUp() {
    CPPUNIT_ASSERT(rc::check("only tasks that crash workers are given up", [] {
      CrashSite site;
      const auto jobs = *rc::gen::inRange(2, 12);
      for (int i = 0; i < jobs; ++i) {
        const auto id = "j" + std::to_string(i);
        const auto tasks = *rc::gen::inRange<std::uint32_t>(1, 7);
        if (*rc::gen::inRange(0, 5) == 0) {
          site.m_deadly.insert(Ref(id, *rc::gen::inRange<std::uint32_t>(0, tasks)));
        }
        site.Accept(MakeJob(id, tasks));
        site.StepFor(*rc::gen::inRange(0, 10) * 100ms);
        if (*rc::gen::inRange(0, 8) == 0) site.TakeOver();
      }
      site.StepFor(60s);
      for (int i = 0; i < jobs; ++i) {
        const auto id = "j" + std::to_string(i);
        bool deadly = false;
        int most = 0;
        for (std::uint32_t task = 0; task < 7; ++task) {
          deadly = deadly || site.m_deadly.contains(Ref(id, task));
          most = std::max(most, site.m_crashes[Ref(id, task)]);
          RC_ASSERT(site.m_starts_after_three[Ref(id, task)] < 3);
        }
        const bool failed = site.PhaseOf(id) == JobPhase::kFailed;
        if (deadly) RC_ASSERT(failed);
        if (!deadly && failed) RC_ASSERT(most >= 2);
        if (!deadly && !failed) RC_ASSERT(site.PhaseOf(id) == JobPhase::kDone);
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashTest);

}  // namespace
}  // namespace ebonypin::core::fleet
