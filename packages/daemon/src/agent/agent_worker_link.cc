/// The driver's connection to its worker: lists the tasks, then long-polls their events. Lists the
/// tasks again when the worker has restarted or events were lost.
#include <utility>

#include "agent_driver.h"
#include "ebonypin/daemon/events.h"

namespace ebonypin::daemon {
namespace {

using namespace std::chrono_literals;

/// Length of a long poll. A broken connection delays events by at most this time plus the deadline
/// of a call.
constexpr core::Duration kPollWait = 2s;
constexpr core::Duration kWorkerRetryInterval = 1s;

}  // namespace

void AgentDriver::ListTasks() {
  m_events->Post([this] {
    if (m_listing) return;
    m_listing = true;
    m_worker->List(OnEventThread<platform::WorkerTasks>(
        [this, sent_at = Now()](const core::Captured<platform::WorkerTasks>& tasks) {
          m_listing = false;
          OnTasksListed(sent_at, tasks);
        }));
  });
}

void AgentDriver::OnTasksListed(const core::Time sent_at,
                                const core::Captured<platform::WorkerTasks>& tasks) {
  if (!tasks.Ok()) {
    if (!m_worker_silent) LogEvent(kWorkerSilent, {{"reason", tasks.m_error->m_message}});
    m_worker_silent = true;
    // Once events are polled, the poll detects that the worker is back.
    if (m_position.m_boot == 0) m_events->At(Now() + kWorkerRetryInterval, [this] { ListTasks(); });
    return;
  }
  const auto& position = tasks.m_value->m_position;
  const bool first = m_position.m_boot == 0;
  const bool restarted = !first && position.m_boot != m_position.m_boot;
  m_worker_silent = false;
  Handle([&](core::AgentLedger& ledger, const core::Time now) {
    m_boot = position.m_boot;
    return core::OnTaskList(
        ledger, {.m_tasks = tasks.m_value->m_tasks, .m_asked = sent_at, .m_restarted = restarted},
        now);
  });
  if (first || restarted) {
    LogEvent(restarted ? kWorkerRestarted : kWorkerListed,
             {{"tasks", tasks.m_value->m_tasks.size()}, {"boot", position.m_boot}});
  }
  // The list contains the effect of all events up to its position. The ledger ignores older events
  // that a running poll delivers again.
  m_position = position;
  if (!first) return;
  // Exclusive tasks taken over from a former agent wait for grants, which heartbeats request.
  SendHeartbeats();
  PollEvents();
}

void AgentDriver::PollEvents() {
  m_worker->PollEvents(
      m_position.m_event, kPollWait,
      OnEventThread<platform::WorkerEvents>(
          [this](const core::Captured<platform::WorkerEvents>& events) { OnEvents(events); }));
}

void AgentDriver::OnEvents(const core::Captured<platform::WorkerEvents>& events) {
  if (!events.Ok()) {
    if (!m_worker_silent) LogEvent(kWorkerSilent, {{"reason", events.m_error->m_message}});
    m_worker_silent = true;
    m_events->At(Now() + kWorkerRetryInterval, [this] { PollEvents(); });
    return;
  }
  m_worker_silent = false;
  if (events.m_value->m_position.m_boot != m_position.m_boot || events.m_value->m_gap) {
    ListTasks();
    m_events->At(Now() + kWorkerRetryInterval, [this] { PollEvents(); });
    return;
  }
  for (const auto& event : events.m_value->m_events) {
    Handle([&](core::AgentLedger& ledger, const core::Time now) {
      return core::OnTaskEvent(ledger, event, now);
    });
  }
  m_position.m_event = std::max(m_position.m_event, events.m_value->m_position.m_event);
  PollEvents();
}

}  // namespace ebonypin::daemon
