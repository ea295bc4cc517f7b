#include "agent_driver.h"

#include <algorithm>
#include <utility>

#include "ebonypin/daemon/events.h"
#include "ebonypin/wire/limits.h"

namespace ebonypin::daemon {
namespace {

using namespace std::chrono_literals;

constexpr core::Duration kHeartbeatInterval = 1s;
constexpr core::Duration kHeartbeatDeadline = 900ms;
constexpr core::Duration kReportDeadline = 2s;

/// Heartbeats include the home entries when they change, and otherwise once in this many rounds.
/// This keeps the control traffic to three homes below its limit of 8 KB/s.
constexpr std::uint64_t kHomesPeriodInRounds = 10;

/// Heartbeats list an attempt to the owner that granted it last, and once in this many rounds to
/// all home entries, so that a new owner learns of the attempt well within the 10 s of a grant.
constexpr std::uint64_t kAllAttemptsPeriodInRounds = 4;

/// A call to the endpoint ends this long after the deadline of the caller. The entry has answered
/// the caller by then.
constexpr core::Duration kEndpointGrace = 1s;
/// Timeout of a call to the endpoint when the request has no deadline.
constexpr core::Duration kDefaultEndpointTimeout = 30s;

/// Longest wait, in a planned stop, for an entry to acknowledge it, and time for the last reply to
/// be sent before the process ends.
constexpr core::Duration kStopNoticeTimeout = 1s;
constexpr core::Duration kReplySendTime = 200ms;

core::RunEnd EndOf(core::Captured<std::string> outcome) {
  if (outcome.Ok())
    return {.m_kind = core::AnswerKind::kDone, .m_result = std::move(*outcome.m_value)};
  const bool not_run = outcome.m_error->m_kind == core::ErrorKind::kNoCapacity;
  return {.m_kind = not_run ? core::AnswerKind::kNotRun : core::AnswerKind::kUnknown,
          .m_error = std::move(*outcome.m_error)};
}

}  // namespace

AgentDriver::AgentDriver(AgentDriverOptions options, std::shared_ptr<EventThread> events,
                         std::unique_ptr<platform::Worker> worker)
    : m_events(std::move(events)),
      m_worker(std::move(worker)),
      m_ledger(core::MakeAgentLedger(options.m_agent)),
      m_book({.m_agent = options.m_agent.m_agent, .m_seeds = std::move(options.m_seeds)}) {}

void AgentDriver::Start() {
  ListTasks();
  m_events->Every(kHeartbeatInterval, [this] {
    SendHeartbeats();
    RequestUsage();
    LogSuspensions();
  });
}

void AgentDriver::Serve(const core::Message& message, wire::ReplyFunction reply) {
  Handle([&](core::AgentLedger& ledger, const core::Time now) {
    const auto call = ++m_last_call;
    m_replies.emplace(call, std::move(reply));
    return core::OnMessage(ledger, call, message, now);
  });
}

void AgentDriver::BeginStop() {
  Handle([this](core::AgentLedger& ledger, const core::Time now) {
    m_stop_began = now;
    return core::OnStop(ledger, now);
  });
  m_events->Post([this] { SendHeartbeats(); });
}

bool AgentDriver::IsStopped() const {
  const std::lock_guard lock(m_mutex);
  const auto now = Now();
  const bool informed = m_stop_acknowledged || now - m_stop_began >= kStopNoticeTimeout;
  // An agent that never got the task list of its worker has nothing to finish.
  const bool done = (core::IsDrained(m_ledger) || !m_ledger.m_ready) && m_replies.empty();
  return done && informed && now - m_last_reply >= kReplySendTime;
}

core::AgentCounters AgentDriver::Counters() const {
  const std::lock_guard lock(m_mutex);
  return m_ledger.m_counters;
}

core::AgentLoad AgentDriver::Load() const {
  const std::lock_guard lock(m_mutex);
  return core::LoadOf(m_ledger);
}

void AgentDriver::Perform(const core::AgentActions& actions) {
  std::vector<core::RenewTask> renewals;
  std::vector<core::TaskId> forgotten;
  for (const auto& action : actions) {
    std::visit(wire::Overloaded{
                   [&](const core::ReplyToCall& reply) { Reply(reply); },
                   [&](const core::CallEndpoint& call) { Serve(call); },
                   [&](const core::StartTask& start) { StartAtWorker(start); },
                   [&](const core::RenewTask& renewal) { renewals.push_back(renewal); },
                   [&](const core::ThrottleTask& throttle) { Throttle(throttle); },
                   [&](const core::StopTask& stop) { Stop(stop); },
                   [&](const core::ForgetTask& forget) { forgotten.push_back(forget.m_task); },
                   [&](const core::SendReport& send) { Report(send); }},
               action);
  }
  if (!renewals.empty()) Renew(renewals);
  if (!forgotten.empty()) m_worker->Forget(forgotten, [](const core::Captured<core::Unit>&) {});
}

void AgentDriver::Reply(core::ReplyToCall reply) {
  wire::ReplyFunction function;
  {
    const std::lock_guard lock(m_mutex);
    auto found = m_replies.extract(reply.m_call);
    if (!found) return;
    function = std::move(found.mapped());
    m_last_reply = Now();
  }
  function(std::move(reply.m_reply));
}

void AgentDriver::Serve(const core::CallEndpoint& call) {
  const auto deadline = call.m_time_left > core::Duration::zero()
                            ? call.m_time_left + kEndpointGrace
                            : kDefaultEndpointTimeout;
  m_worker->Serve(
      {.m_request = call.m_request,
       .m_class = call.m_class,
       .m_payload = call.m_payload,
       .m_deadline = deadline},
      OnEventThread<std::string>([this, id = call.m_call](core::Captured<std::string> outcome) {
        Handle([&](core::AgentLedger& ledger, const core::Time now) {
          return core::OnRunEnded(ledger, id, EndOf(std::move(outcome)), now);
        });
      }));
}

void AgentDriver::StartAtWorker(const core::StartTask& start) {
  std::uint64_t boot = 0;
  {
    const std::lock_guard lock(m_mutex);
    boot = m_boot;
  }
  m_worker->Start(
      start, boot,
      OnEventThread<core::TaskEvent>([this](const core::Captured<core::TaskEvent>& event) {
        if (event.Ok()) {
          Handle([&](core::AgentLedger& ledger, const core::Time now) {
            return core::OnTaskEvent(ledger, *event.m_value, now);
          });
        } else if (event.m_error->m_kind == core::ErrorKind::kStaleIncarnation) {
          ListTasks();
        }
      }));
}

void AgentDriver::Throttle(const core::ThrottleTask& throttle) {
  m_worker->Throttle(
      throttle,
      OnEventThread<std::uint32_t>([this, throttle](const core::Captured<std::uint32_t>& share) {
        if (!share.Ok()) return;
        Handle([&](core::AgentLedger& ledger, const core::Time now) {
          return core::OnTaskThrottled(ledger, throttle.m_task, *share.m_value, throttle.m_version,
                                       now);
        });
      }));
}

void AgentDriver::Stop(const core::StopTask& stop) {
  m_worker->Stop(
      stop, OnEventThread<core::TaskEvent>([this](const core::Captured<core::TaskEvent>& event) {
        if (!event.Ok()) return;
        Handle([&](core::AgentLedger& ledger, const core::Time now) {
          return core::OnTaskEvent(ledger, *event.m_value, now);
        });
      }));
}

void AgentDriver::Renew(const std::vector<core::RenewTask>& renewals) {
  m_worker->Renew(renewals, OnEventThread<std::vector<core::TaskId>>(
                                [this](const core::Captured<std::vector<core::TaskId>>& gone) {
                                  // The list reports how these tasks ended, in case their events
                                  // are late or lost.
                                  if (gone.Ok() && !gone.m_value->empty()) ListTasks();
                                }));
}

void AgentDriver::Report(core::SendReport send) {
  if (send.m_to.empty()) {
    const std::lock_guard lock(m_mutex);
    send.m_to = NextEntry(m_book);
  }
  if (send.m_to.empty()) return;  // The ledger sends the report again later.
  const core::TaskId task{.m_job = send.m_report.m_job, .m_attempt = send.m_report.m_attempt};
  m_rpc->Call(send.m_to, std::move(send.m_report), kReportDeadline,
              [this, task, from = send.m_to](const wire::CallResult& result) {
                const auto* const reply = result.Get<core::TaskReportReply>();
                if (reply == nullptr) return;
                Handle([&](core::AgentLedger& ledger, const core::Time now) {
                  return core::OnReportReply(ledger, task, *reply, from, now);
                });
              });
}

void AgentDriver::Schedule(const core::Time next) {
  {
    const std::lock_guard lock(m_mutex);
    if (next >= m_next_tick) return;
    m_next_tick = next;
  }
  m_events->At(next, [this] { Tick(); });
}

void AgentDriver::Tick() {
  {
    const std::lock_guard lock(m_mutex);
    // This tick was replaced by an earlier one, which has run.
    if (Now() < m_next_tick) return;
    m_next_tick = core::Time::max();
  }
  Handle([](core::AgentLedger& ledger, const core::Time now) { return core::OnTick(ledger, now); });
}

void AgentDriver::SendHeartbeats() {
  std::vector<std::pair<std::string, core::Heartbeat>> heartbeats;
  {
    const std::lock_guard lock(m_mutex);
    if (!m_ledger.m_ready) return;
    UpdateEntries(m_book, {}, Now());
    auto homes = HomesOf(m_book);
    const bool list_all_attempts = m_heartbeat_rounds % kAllAttemptsPeriodInRounds == 0;
    const bool include_homes =
        homes != m_sent_homes || m_heartbeat_rounds % kHomesPeriodInRounds == 0;
    ++m_heartbeat_rounds;
    m_sent_homes = homes;
    if (!include_homes) homes.clear();
    for (auto& target : HeartbeatTargets(m_book)) {
      auto heartbeat =
          core::BuildHeartbeat(m_ledger, homes, list_all_attempts ? std::string{} : target);
      heartbeats.emplace_back(std::move(target), std::move(heartbeat));
    }
  }
  const auto sent_at = Now();
  for (auto& [target, heartbeat] : heartbeats) {
    m_rpc->Call(target, std::move(heartbeat), kHeartbeatDeadline,
                [this, from = target, sent_at](const wire::CallResult& result) {
                  if (const auto* const reply = result.Get<core::HeartbeatReply>())
                    OnHeartbeatReply(from, sent_at, *reply);
                });
  }
}

void AgentDriver::OnHeartbeatReply(const std::string& from, const core::Time sent_at,
                                   const core::HeartbeatReply& reply) {
  bool was_draining = false;
  bool is_draining = false;
  Handle([&](core::AgentLedger& ledger, const core::Time now) {
    UpdateEntries(m_book, reply.m_entries, now);
    m_stop_acknowledged = m_stop_acknowledged || (ledger.m_stopping && sent_at >= m_stop_began);
    was_draining = ledger.m_drained_by_operator;
    auto actions = core::OnHeartbeatReply(ledger, reply, from, sent_at, now);
    is_draining = ledger.m_drained_by_operator;
    return actions;
  });
  if (is_draining != was_draining)
    LogEvent(is_draining ? kWorkerDrained : kWorkerUndrained, {{"entry", from}});
}

void AgentDriver::RequestUsage() {
  {
    const std::lock_guard lock(m_mutex);
    // Usage is needed only to throttle batch work.
    if (m_ledger.m_attempts.empty()) return;
  }
  m_worker->Usage(
      OnEventThread<core::UsageReport>([this](const core::Captured<core::UsageReport>& usage) {
        if (!usage.Ok()) return;
        Handle([&](core::AgentLedger& ledger, const core::Time now) {
          return core::OnUsage(ledger, *usage.m_value, now);
        });
      }));
}

void AgentDriver::LogSuspensions() {
  const auto suspensions = Counters().m_suspensions;
  if (suspensions == m_suspensions_logged) return;
  LogEvent(kTasksSuspended, {{"count", suspensions - m_suspensions_logged}});
  m_suspensions_logged = suspensions;
}

}  // namespace ebonypin::daemon
