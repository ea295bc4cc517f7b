#include "coordinator_service.h"

#include <algorithm>
#include <utility>

#include "boot_clock.h"
#include "ebonypin/daemon/events.h"
#include "fleet_parts.h"

namespace ebonypin::daemon {
namespace {

using core::fleet::JobCallReply;
using core::fleet::JobCallStatus;
using core::fleet::LeadershipStage;
using namespace std::chrono_literals;

/// Delay before a cycle, so that one cycle handles all events of a burst. It is small compared with
/// a task of half a second.
constexpr auto kCycleDelay = 3ms;
/// Pause after a cycle, in multiples of the time it took. It leaves most of the processor to
/// reports and calls, however many workers and jobs a cycle has to examine.
constexpr int kCyclePauseFactor = 2;
constexpr core::Duration kMaxCyclePause = 50ms;
constexpr auto kTickInterval = 250ms;
constexpr auto kOrdersDeadline = 600ms;
constexpr auto kOrdersRetryDelay = 120ms;
/// Retry-After for a job that another entry would have refused for good: this entry knows lower
/// limits of the store than that one.
constexpr auto kTooLargeRetryAfter = 5s;

}  // namespace

CoordinatorService::CoordinatorService(std::shared_ptr<EventThread> events,
                                       platform::KeyedStore& store, wire::Rpc& rpc,
                                       platform::AdviceService* advice,
                                       platform::MachineList* machines,
                                       CoordinatorServiceOptions options)
    : m_events(std::move(events)),
      m_store(store),
      m_rpc(rpc),
      m_advice(advice),
      m_machines(machines),
      m_options(std::move(options)),
      m_leadership{.m_options = m_options.m_leadership},
      m_record_limits(m_options.m_coordinator.m_record_limits) {}

void CoordinatorService::Start() {
  m_membership_thread.Post([this] { Join(); });
  m_events->At(Now() + FirstCandidacyCheckDelay(), [this] { CheckCandidacy(); });
  m_events->Every(kTickInterval, [this] { Tick(); });
  StartHold();
}

bool CoordinatorService::IsActive() const noexcept {
  return m_leadership.m_stage == LeadershipStage::kActive;
}

void CoordinatorService::Call(const core::fleet::JobCall& call, const core::Duration deadline,
                              JobCallDone done) {
  if (!IsActive()) {
    return done({.m_status = JobCallStatus::kNotCoordinator,
                 .m_epoch = m_known.m_epoch,
                 .m_coordinator = m_known.m_rpc_address});
  }
  const auto now = BootNow();
  if (call.m_kind == core::fleet::JobCallKind::kCancel) DropHeldSubmissions(call);
  Serve({.m_call = std::make_shared<const core::fleet::JobCall>(call),
         .m_arrived = now,
         .m_deadline = now + WaitOf(call, deadline),
         .m_done = std::move(done)},
        /*released=*/false);
}

void CoordinatorService::Serve(Waiter waiter, const bool released) {
  const auto now = BootNow();
  const auto& call = *waiter.m_call;
  using core::fleet::JobCallKind;
  const bool writes = call.m_kind == JobCallKind::kSubmit || call.m_kind == JobCallKind::kCancel;
  const bool is_new = writes && m_state.m_jobs.count(call.m_job.m_id) == 0;
  if (is_new && !released && IsStoreSilent(now)) {
    if (HoldsCalls()) return HoldCall(std::move(waiter));
    ++m_state.m_counters.m_refused;
    return waiter.m_done(StoreSilentReply());
  }
  if (is_new && call.m_kind == JobCallKind::kSubmit && !IsStorable(call.m_job, m_record_limits)) {
    ++m_state.m_counters.m_refused;
    return waiter.m_done({.m_status = JobCallStatus::kRefused,
                          .m_retry_after = kTooLargeRetryAfter,
                          .m_epoch = m_state.m_epoch,
                          .m_reason = "the job is larger than a record of the store"});
  }
  auto reply = OnCall(m_state, now, call);
  ScheduleCycle();
  if (reply) {
    reply->m_epoch = m_state.m_epoch;
    reply->m_basis = core::fleet::AnswerBasis::kMemory;
    // "No such job" is true if it was so at some time since the arrival. Other answers of a call
    // that was held rest on what the coordinator knows now, and may not be older than that allows.
    const bool missing =
        call.m_kind == JobCallKind::kState && reply->m_status == JobCallStatus::kNoSuchJob;
    const auto needed = NeededConfirmation(call, *reply, missing ? waiter.m_arrived : now);
    if (m_leadership.m_confirmed >= needed) return waiter.m_done(std::move(*reply));
    if (!released && IsStoreSilent(now)) {
      if (HoldsCalls()) return HoldCall(std::move(waiter));
      return waiter.m_done(StoreSilentReply());
    }
    waiter.m_held = {.m_reply = std::move(*reply), .m_needed = needed, .m_arrived = now};
    ScheduleGiveUp();
  }
  m_waiters.push_back(std::move(waiter));
  if (m_waiters.back().m_held) ConfirmHeldAnswers();
}

core::fleet::AgentReportReply CoordinatorService::OnReport(const core::fleet::AgentReport& report) {
  ObserveCoordinator(report.m_epoch, {});
  const auto now = BootNow();
  if (!MayAct(m_leadership, now)) {
    return {.m_epoch = m_known.m_epoch,
            .m_coordinator = IsActive() ? std::string{} : m_known.m_rpc_address};
  }
  auto reply = core::fleet::OnReport(m_state, now, report);
  ScheduleCycle();
  return reply;
}

void CoordinatorService::SetEvacuations(const core::fleet::Evacuations& evacuations) {
  m_evacuations = evacuations;
  if (!IsActive()) return;
  core::fleet::SetEvacuations(m_state, evacuations.m_domains);
  ScheduleCycle();
}

core::fleet::StepDownReply CoordinatorService::OnStepDown(const core::fleet::StepDown& request) {
  ObserveCoordinator(request.m_epoch, request.m_coordinator);
  return DescribeLastTerm();
}

void CoordinatorService::ScheduleCycle() {
  if (std::exchange(m_cycle_scheduled, true)) return;
  m_events->At(std::max(Now() + kCycleDelay, m_next_cycle), [this] {
    m_cycle_scheduled = false;
    const auto began = Now();
    RunCycle();
    const auto ended = Now();
    m_next_cycle =
        ended + std::min<core::Duration>(kCyclePauseFactor * (ended - began), kMaxCyclePause);
  });
}

void CoordinatorService::RunCycle() {
  if (!IsActive()) return;
  if (MayAct(m_leadership, BootNow()) && m_evacuations.m_known) {
    Plan(m_state, BootNow(), WallNow());
    for (auto& [id, agent] : m_state.m_agents) SendOrders(agent);
    SendAdviceRequests();
  }
  Flush();
  LogDecisions();
}

void CoordinatorService::SendOrders(core::fleet::Agent& agent) {
  const auto now = BootNow();
  if (agent.m_orders.empty() || agent.m_session == 0 || m_orders_in_flight.count(agent.m_id) > 0)
    return;
  const auto next_orders = m_next_orders.find(agent.m_id);
  if (next_orders != m_next_orders.end() && now < next_orders->second) return;
  core::fleet::AgentOrders orders{.m_epoch = m_leadership.m_epoch,
                                  .m_coordinator = m_options.m_rpc_address,
                                  .m_session = agent.m_session,
                                  .m_orders = NextOrders(m_state, agent)};
  m_orders_in_flight.insert(agent.m_id);
  m_rpc.Call(agent.m_rpc_address, orders, kOrdersDeadline,
             [this, id = agent.m_id, session = agent.m_session,
              epoch = m_leadership.m_epoch](const wire::CallResult& result) {
               core::fleet::AgentOrdersReply reply;
               if (const auto* const r = result.Get<core::fleet::AgentOrdersReply>()) reply = *r;
               m_events->Post([this, id, session, epoch, reply] {
                 if (epoch != m_leadership.m_epoch) return;
                 m_orders_in_flight.erase(id);
                 ObserveCoordinator(reply.m_epoch, {});
                 if (reply.m_accepted) {
                   OnOrdersTaken(m_state, id, session, reply.m_last_order);
                 } else {
                   m_next_orders[id] = BootNow() + kOrdersRetryDelay;
                 }
                 ScheduleCycle();
               });
             });
}

void CoordinatorService::SendAdviceRequests() {
  for (auto& request : std::exchange(m_state.m_advice_requests, {})) {
    const auto on_answer = [this, request, epoch = m_leadership.m_epoch,
                            sent = BootNow()](const core::Captured<platform::Advice>& advice) {
      // A call of an earlier epoch is unknown to the state of this one.
      if (IsActive() && epoch == m_leadership.m_epoch) OnAdviceAnswer(request, sent, advice);
    };
    if (m_advice == nullptr) {
      on_answer({.m_error = core::Error{.m_kind = core::ErrorKind::kNotFound,
                                        .m_message = "no advice service is configured; set url in "
                                                     "section [advice] of the settings"}});
      continue;
    }
    m_advice->Ask(request, [events = m_events, on_answer](core::Captured<platform::Advice> advice) {
      events->Post([on_answer, advice = std::move(advice)] { on_answer(advice); });
    });
  }
}

void CoordinatorService::OnAdviceAnswer(const core::fleet::AdviceRequest& request,
                                        const core::Time sent,
                                        const core::Captured<platform::Advice>& advice) {
  const auto now = BootNow();
  if (advice.Ok()) {
    const auto& answer = *advice.m_value;
    LogEvent(kAdviceReceived, {{"step", TaskText(request.m_step)},
                               {"workers", request.m_workers.size()},
                               {"good", answer.m_tickets.size()},
                               {"waited_ms", (now - sent).count() / 1000},
                               {"valid_ms", answer.m_valid.count() / 1000},
                               {"steps_waiting", m_state.m_unadvised_steps}});
    OnAdvice(m_state, now, request.m_number, answer.m_tickets, answer.m_valid);
  } else {
    LogEvent(kAdviceFailed, {{"step", TaskText(request.m_step)},
                             {"workers", request.m_workers.size()},
                             {"waited_ms", (now - sent).count() / 1000},
                             {"steps_waiting", m_state.m_unadvised_steps},
                             {"reason", advice.m_error->m_message}});
    OnAdviceFailed(m_state, now, request.m_number);
  }
  ScheduleCycle();
}

void CoordinatorService::LogDecisions() {
  for (const auto& decision : std::exchange(m_state.m_decisions, {})) {
    LogEvent(decision.m_failure ? kRunFailure : kRunDecision, {{"what", decision.m_what},
                                                               {"task", TaskText(decision.m_task)},
                                                               {"run", decision.m_run},
                                                               {"agent", decision.m_agent.m_value},
                                                               {"epoch", m_state.m_epoch},
                                                               {"why", decision.m_reason}});
  }
}

void CoordinatorService::ExpireWaiters(const core::Time now) {
  for (auto waiter = m_waiters.begin(); waiter != m_waiters.end();) {
    if (now < waiter->m_deadline) {
      ++waiter;
      continue;
    }
    JobCallReply reply{.m_status = JobCallStatus::kUnknown};
    // With a retry time, the router does not repeat the call.
    if (HoldsCalls()) reply = GivenUpReply(waiter->m_call->m_job.m_id);
    reply.m_reason = waiter->m_held ? "the epoch was not confirmed before the deadline of the call"
                                    : "the change was not recorded before the deadline of the call";
    waiter->m_done(std::move(reply));
    waiter = m_waiters.erase(waiter);
  }
}

void CoordinatorService::Tick() {
  const auto now = BootNow();
  ExpireWaiters(now);
  if (!IsActive()) return;
  ConfirmLeadership();
  if (MayAct(m_leadership, now)) {
    core::fleet::Tick(m_state, now, WallNow(), m_leadership.m_confirmed);
    for (const auto& [id, agent] : m_state.m_agents) {
      const bool silent = agent.m_session == 0 || now - agent.m_granted > 2s;
      if (silent && agent.m_recorded) AnnounceTo(agent.m_rpc_address);
    }
  }
  ScheduleCycle();
}

}  // namespace ebonypin::daemon
