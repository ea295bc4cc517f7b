#include "coordinator_service.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "boot_clock.h"
#include "ebonypin/daemon/events.h"
#include "ebonypin/wire/fleet_codec.h"
#include "fleet_parts.h"

namespace ebonypin::daemon {
namespace {

using core::fleet::JobCallReply;
using core::fleet::JobCallStatus;
using core::fleet::JobKey;
using core::fleet::LeadershipStage;
using core::fleet::MemberKey;
using core::fleet::ProgressKey;
using platform::AppendStatus;
using namespace std::chrono_literals;

/// Delay before a cycle, so that one cycle handles all events of a burst. It is small compared with
/// a task of half a second.
constexpr auto kCycleDelay = 3ms;
/// Pause after a cycle, in multiples of the time it took. It leaves most of the processor to
/// reports and calls, however many workers and jobs a cycle has to examine.
constexpr int kCyclePauseFactor = 2;
constexpr core::Duration kMaxCyclePause = 50ms;
/// Interval between two appends, so that the records of a burst share one append; each append costs
/// 2 ms at the store.
constexpr auto kAppendInterval = 12ms;
constexpr auto kAppendRetryDelay = 100ms;
constexpr auto kTickInterval = 250ms;
constexpr auto kOrdersDeadline = 600ms;
constexpr auto kOrdersRetryDelay = 120ms;
constexpr std::size_t kMaxOrdersPerCall = 32;
/// Retry-After while the store does not take records. Callers wait about 3 s in all, so a longer
/// one would leave them no second try.
constexpr auto kStoreRetryAfter = 1s;
constexpr auto kStoreSilentReason = "the store does not take records; retry later";

platform::KeyedRecord ToRecord(const core::fleet::RecordChange& change) {
  return std::visit(
      [](const auto& record) -> platform::KeyedRecord {
        using T = std::decay_t<decltype(record)>;
        if constexpr (std::is_same_v<T, core::fleet::JobSpec>) {
          return {.m_key = JobKey(record.m_id), .m_value = wire::Encode(record)};
        } else if constexpr (std::is_same_v<T, core::fleet::JobProgress>) {
          return {.m_key = ProgressKey(record.m_job), .m_value = wire::Encode(record)};
        } else if constexpr (std::is_same_v<T, core::fleet::MemberRecord>) {
          return {.m_key = MemberKey(record.m_agent), .m_value = wire::Encode(record)};
        } else if constexpr (std::is_same_v<T, core::fleet::ImagePairsRecord>) {
          return {.m_key = std::string{core::fleet::kImagePairsKey},
                  .m_value = wire::Encode(record)};
        } else {
          return {.m_key = record.m_key};
        }
      },
      change);
}

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
      m_leadership{.m_options = m_options.m_leadership} {}

void CoordinatorService::Start() {
  m_membership_thread.Post([this] { Join(); });
  m_events->At(Now() + FirstCandidacyCheckDelay(), [this] { CheckCandidacy(); });
  m_events->Every(kTickInterval, [this] { Tick(); });
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
  const bool is_new = call.m_kind == core::fleet::JobCallKind::kSubmit &&
                      m_state.m_jobs.count(call.m_job.m_id) == 0;
  if (is_new && MustRefuseSubmissions(m_state, m_append_began, now)) {
    ++m_state.m_counters.m_refused;
    return done({.m_status = JobCallStatus::kRefused,
                 .m_retry_after = kStoreRetryAfter,
                 .m_reason = kStoreSilentReason});
  }
  auto reply = OnCall(m_state, now, call);
  ScheduleCycle();
  if (reply) return done(std::move(*reply));
  m_waiters.push_back({.m_call = call, .m_deadline = now + deadline, .m_done = std::move(done)});
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
  return {.m_stepped_down = m_leadership.m_stage == LeadershipStage::kFollower};
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
    RequestAdvice();
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
                                  .m_session = agent.m_session};
  for (const auto& order : agent.m_orders) {
    if (orders.m_orders.size() == kMaxOrdersPerCall) break;
    orders.m_orders.push_back(order);
  }
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

void CoordinatorService::RequestAdvice() {
  for (auto& request : std::exchange(m_state.m_advice_requests, {})) {
    if (m_advice == nullptr) continue;
    const auto asked = BootNow();
    m_advice->Ask(request, [this, events = m_events, asked,
                            step = request.m_step](core::Captured<platform::Advice> advice) {
      events->Post([this, asked, step, advice = std::move(advice)] {
        if (!advice.Ok()) {
          LogEvent(kAdviceFailed,
                   {{"step", TaskText(step)}, {"reason", advice.m_error->m_message}});
          return;
        }
        // The advice is used for half of its validity, counted from the request, so that a start
        // is carried out while the ticket is still valid.
        OnAdvice(m_state, step, advice.m_value->m_tickets, asked + advice.m_value->m_valid / 2);
        ScheduleCycle();
      });
    });
  }
}

void CoordinatorService::Flush() {
  if (m_batch_open) {
    if (!m_batch_in_flight && BootNow() >= m_next_append) SendBatch();
    return;
  }
  if (!HasWrites(m_state)) return;
  const auto now = BootNow();
  if (now < m_next_append) {
    m_events->At(Now() + (m_next_append - now), [this] { ScheduleCycle(); });
    return;
  }
  m_batch = TakeWrites(m_state, WallNow());
  if (m_batch.m_records.empty()) {
    OnWritten(m_state, m_batch);
    return;
  }
  m_batch_records.clear();
  for (const auto& change : m_batch.m_records) m_batch_records.push_back(ToRecord(change));
  m_batch_open = true;
  m_append_began = now;
  ScheduleRefusals();
  ++m_sequence;
  SendBatch();
}

void CoordinatorService::SendBatch() {
  m_batch_in_flight = true;
  const auto sent = BootNow();
  m_store.Append(m_options.m_jobs_topic, m_batch_records, {.m_writer = Writer()},
                 [this, events = m_events, sent,
                  epoch = m_leadership.m_epoch](const platform::AppendReply& reply) {
                   events->Post([this, sent, epoch, reply] {
                     if (IsActive() && epoch == m_leadership.m_epoch) OnAppended(sent, reply);
                   });
                 });
}

void CoordinatorService::OnAppended(const core::Time sent, const platform::AppendReply& reply) {
  m_batch_in_flight = false;
  const auto now = BootNow();
  switch (reply.m_status) {
    case AppendStatus::kAppended:
      if (m_appends_failing_since != core::Time{}) {
        LogEvent(kLogAvailable, {{"topic", m_options.m_jobs_topic}});
      }
      m_appends_failing_since = {};
      m_append_began = {};
      m_leadership.m_confirmed = std::max(m_leadership.m_confirmed, sent);
      m_batch_open = false;
      m_next_append = sent + kAppendInterval;
      OnWritten(m_state, m_batch);
      for (const auto& member : m_batch.m_members) {
        AnnounceTo(member.m_rpc_address);
      }
      ResumeWaiters();
      return ScheduleCycle();
    case AppendStatus::kFenced:
    case AppendStatus::kOutOfSequence:
    case AppendStatus::kEndMismatch:
      return BecomeFollower("append failed: " + reply.m_reason);
    case AppendStatus::kNotAppended:
    case AppendStatus::kUnknown:
      // Retried under the same sequence number, so that the batch is appended only once.
      if (m_appends_failing_since == core::Time{}) {
        m_appends_failing_since = now;
        LogEvent(kLogUnavailable, {{"topic", m_options.m_jobs_topic}, {"reason", reply.m_reason}});
      }
      m_next_append = now + kAppendRetryDelay;
      m_events->At(Now() + kAppendRetryDelay, [this] { ScheduleCycle(); });
      return;
  }
}

void CoordinatorService::ScheduleRefusals() {
  m_events->At(Now() + m_state.m_options.m_append_patience + kCycleDelay,
               [this, epoch = m_leadership.m_epoch, sequence = m_sequence + 1] {
                 const bool same = epoch == m_leadership.m_epoch && sequence == m_sequence;
                 if (IsActive() && same) RefuseUnwritten();
               });
}

void CoordinatorService::RefuseUnwritten() {
  if (!MustRefuseSubmissions(m_state, m_append_began, BootNow())) return;
  const auto withdrawn = WithdrawUnwritten(m_state);
  for (auto waiter = m_waiters.begin(); waiter != m_waiters.end();) {
    if (withdrawn.count(waiter->m_call.m_job.m_id) == 0) {
      ++waiter;
      continue;
    }
    const bool submits = waiter->m_call.m_kind == core::fleet::JobCallKind::kSubmit;
    waiter->m_done(submits ? JobCallReply{.m_status = JobCallStatus::kRefused,
                                          .m_retry_after = kStoreRetryAfter,
                                          .m_reason = kStoreSilentReason}
                           : JobCallReply{.m_status = JobCallStatus::kNoSuchJob});
    waiter = m_waiters.erase(waiter);
  }
  LogDecisions();
}

void CoordinatorService::ResumeWaiters() {
  for (auto waiter = m_waiters.begin(); waiter != m_waiters.end();) {
    auto reply = Resume(m_state, waiter->m_call);
    if (!reply) {
      ++waiter;
      continue;
    }
    waiter->m_done(std::move(*reply));
    waiter = m_waiters.erase(waiter);
  }
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

void CoordinatorService::Tick() {
  const auto now = BootNow();
  for (auto waiter = m_waiters.begin(); waiter != m_waiters.end();) {
    if (now < waiter->m_deadline) {
      ++waiter;
      continue;
    }
    waiter->m_done({.m_status = JobCallStatus::kUnknown,
                    .m_reason = "the change was not recorded before the deadline of the call"});
    waiter = m_waiters.erase(waiter);
  }
  if (!IsActive()) return;
  ConfirmLeadership();
  if (MayAct(m_leadership, now)) {
    core::fleet::Tick(m_state, now, WallNow());
    for (const auto& [id, agent] : m_state.m_agents) {
      const bool silent = agent.m_session == 0 || now - agent.m_granted > 2s;
      if (silent && agent.m_recorded) AnnounceTo(agent.m_rpc_address);
    }
  }
  ScheduleCycle();
}

}  // namespace ebonypin::daemon
