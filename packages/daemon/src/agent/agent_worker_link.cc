/// The driver's link to its worker: the list of tasks, then a long poll of their events.
#include <utility>

#include "agent_driver.h"
#include "ebonypin/daemon/events.h"

namespace ebonypin::daemon {
namespace {

using namespace std::chrono_literals;

/// A silent connection delays events by this much at most, plus the deadline of a call.
constexpr core::Duration kPollWait = 2s;
constexpr core::Duration kWorkerRetry = 1s;

}  // namespace

void AgentDriver::ListTasks() {
  m_events->Post([this] {
    if (m_listing) return;
    m_listing = true;
    m_worker->List(OnEventThread<platform::WorkerTasks>(
        [this, asked = Now()](const core::Captured<platform::WorkerTasks>& tasks) {
          m_listing = false;
          OnTasks(asked, tasks);
        }));
  });
}

void AgentDriver::OnTasks(const core::Time asked,
                          const core::Captured<platform::WorkerTasks>& tasks) {
  if (!tasks.Ok()) {
    if (!m_worker_silent) LogEvent(kWorkerSilent, {{"reason", tasks.m_error->m_message}});
    m_worker_silent = true;
    // While events are polled, the poll notices when the worker is back.
    if (m_position.m_boot == 0) m_events->At(Now() + kWorkerRetry, [this] { ListTasks(); });
    return;
  }
  const auto& position = tasks.m_value->m_position;
  const bool first = m_position.m_boot == 0;
  const bool restarted = !first && position.m_boot != m_position.m_boot;
  m_worker_silent = false;
  Handle([&](core::AgentLedger& ledger, const core::Time now) {
    m_boot = position.m_boot;
    return core::OnTaskList(
        ledger, {.m_tasks = tasks.m_value->m_tasks, .m_asked = asked, .m_restarted = restarted},
        now);
  });
  if (first || restarted) {
    LogEvent(restarted ? kWorkerRestarted : kWorkerListed,
             {{"tasks", tasks.m_value->m_tasks.size()}, {"boot", position.m_boot}});
  }
  // Events up to the list are contained in it. Events that a running poll brings twice are ignored.
  m_position = position;
  if (!first) return;
  // Adopted exclusive tasks wait for grants.
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
    m_events->At(Now() + kWorkerRetry, [this] { PollEvents(); });
    return;
  }
  m_worker_silent = false;
  if (events.m_value->m_position.m_boot != m_position.m_boot || events.m_value->m_gap) {
    ListTasks();
    m_events->At(Now() + kWorkerRetry, [this] { PollEvents(); });
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
