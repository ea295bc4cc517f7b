/// Site whose starts need tickets, with an advice service and workers in virtual time.
///
/// The service follows the platform's page: it handles one call at a time, in the order of arrival,
/// for a fixed time and a time for each worker named, refuses calls while 32 are waiting, and
/// handles calls that were given up like the others. Tickets are valid from the answer.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fleet_fixture.h"

namespace ebonypin::core::fleet {

struct AdvisedWork {
  int m_jobs = 1;
  Duration m_interval{};  ///< Between two submissions.
  std::uint32_t m_steps = 1;
  std::uint32_t m_tasks = 2;
  Duration m_run_time = std::chrono::milliseconds{300};
};

struct AdviceService {
  Duration m_call_time = std::chrono::milliseconds{100};
  Duration m_worker_time = std::chrono::milliseconds{10};
  Duration m_valid = std::chrono::seconds{3};
  std::set<WorkerId> m_good;  ///< Workers that may run any step.
  /// Calls wait without an answer in this span.
  Time m_silent_from;
  Time m_silent_until;
};

class AdviceSite {
 public:
  AdviceSite(std::size_t workers, std::size_t good, AdviceService service);

  Site m_site;
  AdviceService m_service;

  /// Returns a job of the advised queue; see MakeJob.
  [[nodiscard]] JobSpec MakeAdvisedJob(const std::string& id, std::uint32_t tasks) const;

  /// Submits a job of the advised queue and returns its id.
  std::string Submit(const AdvisedWork& work, std::uint32_t priority = 0);

  /// Submits all jobs of `work`, and runs the site until they are done or `limit` has passed.
  /// Returns the time that this took.
  Duration Play(const AdvisedWork& work, Duration limit);

  void RunFor(Duration time);

  [[nodiscard]] bool IsDone(const std::string& job) const;
  [[nodiscard]] bool AllDone() const { return m_site.m_state.m_open_jobs.empty(); }
  /// Calls that the service has handled, and those that it has refused.
  [[nodiscard]] std::size_t Answered() const { return m_answered; }
  [[nodiscard]] std::size_t Refused() const { return m_refused; }
  /// Starts with a ticket that was no longer valid.
  [[nodiscard]] std::size_t Rejected() const { return m_rejected; }

 private:
  struct WaitingCall {
    AdviceRequest m_request;
    Time m_arrived;
    Time m_deadline;
    bool m_given_up = false;
  };
  struct ActiveRun {
    std::string m_agent;
    Time m_ends;
  };

  void Step();
  void StepService();
  void StartWork();
  void EndWork();

  std::map<std::string, Duration> m_run_times;
  std::deque<WaitingCall> m_calls;
  Time m_busy_until;  ///< Of the first call; epoch: it has not begun.
  std::map<TaskRef, ActiveRun> m_runs;
  std::map<std::string, std::uint64_t> m_ends;
  std::size_t m_submitted = 0;
  std::size_t m_answered = 0;
  std::size_t m_refused = 0;
  std::size_t m_rejected = 0;
};

}  // namespace ebonypin::core::fleet
