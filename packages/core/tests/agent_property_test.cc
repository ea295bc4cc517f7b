#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <set>

#include "agent_fixture.h"

namespace ebonypin::core {
namespace {

/// One generated event. Its meaning is derived from the numbers, so that it stays valid when
/// RapidCheck shrinks it.
using Step = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t, std::uint8_t>;

constexpr int kJobs = 6;

/// Tracks the resources that the ledger commits, derived only from the ledger's actions.
class Account {
 public:
  void Take(const AgentActions& actions) {
    for (const auto& action : actions) {
      if (const auto* const run = std::get_if<CallEndpoint>(&action)) {
        RC_ASSERT(m_running.insert(run->m_call).second);
        RC_ASSERT(!m_answered.contains(run->m_call));
      } else if (const auto* const start = std::get_if<StartTask>(&action)) {
        const auto& task = start->m_spec.m_task;
        RC_ASSERT(!m_ended.contains(task));
        RC_ASSERT(!m_fenced.contains(task) || m_tasks.contains(task));
        m_tasks[task] = start->m_spec.m_size;
      } else if (const auto* const throttle = std::get_if<ThrottleTask>(&action)) {
        m_throttles[throttle->m_task] = *throttle;
        m_preempted.erase(throttle->m_task);
      } else if (const auto* const reply = std::get_if<ReplyToCall>(&action)) {
        RC_ASSERT(m_answered.insert(reply->m_call).second);
        const auto* const run_reply = std::get_if<RunReply>(&reply->m_reply);
        if (run_reply != nullptr && run_reply->m_kind == AnswerKind::kNotRun)
          RC_ASSERT(!m_running.contains(reply->m_call));
      }
    }
  }

  void Check(const AgentLedger& ledger) const {
    Resources sum;
    for (const auto call : m_running) sum = sum + m_run_sizes.at(call);
    std::size_t slots = m_running.size() + m_tasks.size();
    for (const auto& [task, size] : m_tasks) {
      sum = sum + size;
      if (!m_preempted.contains(task)) continue;
      sum.m_cpu_millis -= size.m_cpu_millis;
      --slots;
    }
    RC_ASSERT(Fits(sum, ledger.m_options.m_capacity));
    RC_ASSERT(slots <= ledger.m_options.m_slots);
    RC_ASSERT(Fits(CommittedResources(ledger), ledger.m_options.m_capacity));
    RC_ASSERT(Fits(sum, CommittedResources(ledger)));
    RC_ASSERT(SlotsBusy(ledger) <= ledger.m_options.m_slots);
    RC_ASSERT(ledger.m_report_bytes <= kMaxReportBytes);
  }

  std::map<CallId, Resources> m_run_sizes;
  std::set<CallId> m_running;
  std::set<CallId> m_answered;
  std::map<TaskId, Resources> m_tasks;
  std::map<TaskId, ThrottleTask> m_throttles;  ///< The last throttle of each task.
  std::set<TaskId> m_preempted;                ///< Confirmed suspended, without a later throttle.
  std::set<TaskId> m_ended;
  std::set<TaskId> m_fenced;
};

/// Returns an iterator to one element of a container that is not empty.
template <typename Container>
auto Pick(const Container& container, const std::uint8_t pick) {
  return std::next(container.begin(), pick % static_cast<std::ptrdiff_t>(container.size()));
}

class History {
 public:
  void Apply(const Step& step) {
    const auto& [kind, a, b, c] = step;
    // Small sizes fill the slots, large ones the resources, and some are invalid.
    const Resources size = a % 3 != 0
                               ? Resources{.m_cpu_millis = 100}
                               : Resources{.m_cpu_millis = (b % 8) * 1000 - (b == 255 ? 9000 : 0),
                                           .m_memory_mb = std::int64_t{c % 7} * 5000,
                                           .m_accelerators = c % 3};
    const JobId job{"j" + std::to_string(a % kJobs)};
    const auto attempt = static_cast<Attempt>(1 + b % 4);
    const Epoch epoch = c % 4;
    switch (kind % 11) {
      case 0:
      case 1:
        m_account.m_run_sizes[m_agent.m_call + 1] = size;
        Send(RunRequest{.m_request = {"r" + std::to_string(a)},
                        .m_size = size,
                        .m_expected_run = std::chrono::milliseconds{b},
                        .m_start_within = std::chrono::milliseconds{c}});
        break;
      case 2:
        Send(ReserveRequest{.m_job = job,
                            .m_attempt = attempt,
                            .m_epoch = epoch,
                            .m_incarnation = 5,
                            .m_size = size,
                            .m_expected_run = std::chrono::seconds{c}});
        break;
      case 3:
        StartReserved(a, c % 2 == 0);
        break;
      case 4:
        if (a % 2 == 0) {
          Send(CancelRequest{.m_request = {"r" + std::to_string(b)}});
        } else {
          Send(CancelRequest{.m_job = job, .m_epoch = epoch});
        }
        break;
      case 5:
        Fence({.m_job = job, .m_attempt = attempt, .m_epoch = epoch, .m_stop = a % 2 == 0});
        break;
      case 6:
        EndRun(a);
        break;
      case 7:
        EndTask(a, b);
        break;
      case 9:
        ConfirmThrottle(a);
        break;
      case 8:
        if (a == 255) {
          m_account.Take(OnStop(m_agent.m_ledger, m_agent.m_now));
        } else {
          Grant(job, attempt, epoch, c);
        }
        break;
      default:
        m_account.Take(m_agent.Advance(std::chrono::milliseconds{a * 20}));
        break;
    }
    m_account.Check(m_agent.m_ledger);
  }

 private:
  void Send(const Message& message) { m_account.Take(m_agent.Send(message)); }

  void StartReserved(const std::uint8_t pick, const bool exclusive) {
    const auto& reservations = m_agent.m_ledger.m_reservations;
    if (reservations.empty()) return;
    const auto chosen = Pick(reservations, pick);
    const auto& spec = chosen->second.m_spec;
    Send(StartRequest{.m_job = spec.m_task.m_job,
                      .m_attempt = spec.m_task.m_attempt,
                      .m_epoch = spec.m_epoch,
                      .m_incarnation = 5,
                      .m_reservation = chosen->first,
                      .m_exclusive = exclusive});
  }

  void Fence(const FenceRequest& request) {
    const auto actions = m_agent.Send(request);
    const auto reply = ActionsOf<ReplyToCall>(actions).at(0);
    if (std::holds_alternative<FenceReply>(reply.m_reply)) {
      for (Attempt attempt = 1; attempt <= request.m_attempt; ++attempt)
        m_account.m_fenced.insert({request.m_job, attempt});
    }
    m_account.Take(actions);
  }

  void EndRun(const std::uint8_t pick) {
    auto& running = m_account.m_running;
    if (running.empty()) return;
    const auto call = *Pick(running, pick);
    running.erase(call);
    m_account.Take(
        OnRunEnded(m_agent.m_ledger, call, {.m_kind = AnswerKind::kDone}, m_agent.m_now));
  }

  void ConfirmThrottle(const std::uint8_t pick) {
    auto& throttles = m_account.m_throttles;
    if (throttles.empty()) return;
    const auto throttle = Pick(throttles, pick)->second;
    if (throttle.m_share == 0) m_account.m_preempted.insert(throttle.m_task);
    m_account.Take(m_agent.Confirm(throttle));
  }

  void EndTask(const std::uint8_t pick, const std::uint8_t how) {
    auto& tasks = m_account.m_tasks;
    if (tasks.empty()) return;
    const auto task = Pick(tasks, pick)->first;
    const auto kind = static_cast<TaskEventKind>(how % 6);
    const bool starting = m_agent.m_ledger.m_attempts.at(task).m_state == AttemptState::kStarting;
    if (kind == TaskEventKind::kStartRefused && !starting) return;
    if (kind != TaskEventKind::kStarted && kind != TaskEventKind::kCheckpointFailed) {
      tasks.erase(task);
      m_account.m_ended.insert(task);
    }
    m_account.Take(m_agent.SendTaskEvent({.m_kind = kind, .m_task = task}));
  }

  void Grant(const JobId& job, const Attempt attempt, const Epoch epoch, const std::uint8_t flags) {
    m_account.Take(OnHeartbeatReply(
        m_agent.m_ledger,
        {.m_grants =
             {{.m_job = job, .m_attempt = attempt, .m_epoch = epoch, .m_granted = flags % 3 != 0}},
         .m_drain = flags % 16 == 15},
        "e", m_agent.m_now, m_agent.m_now));
  }

  AgentFixture m_agent;
  Account m_account;
};

class AgentPropertyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgentPropertyTest);
  CPPUNIT_TEST(NoHistoryCommitsTheWorkerBeyondItsCapacity);
  CPPUNIT_TEST_SUITE_END();

 public:
  /// Guards against overcommitted workers, calls answered twice, "not run" for work that runs,
  /// fenced attempts that start, and ended attempts that start again, for any order of events.
  void NoHistoryCommitsTheWorkerBeyondItsCapacity() {
    CPPUNIT_ASSERT(rc::check("no history commits a worker beyond its capacity", [] {
      const auto length = *rc::gen::inRange<std::size_t>(0, 300);
      const auto steps = *rc::gen::container<std::vector<Step>>(length, rc::gen::arbitrary<Step>());
      History history;
      for (const auto& step : steps) history.Apply(step);
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentPropertyTest);

}  // namespace
}  // namespace ebonypin::core
