#include "coordinator_service.h"

#include <utility>
#include <variant>

#include "boot_clock.h"
#include "ebonypin/daemon/events.h"
#include "ebonypin/wire/fleet_codec.h"
#include "fleet_parts.h"

namespace ebonypin::daemon {
namespace {

using core::fleet::CoordinatorRecord;
using core::fleet::JobCallReply;
using core::fleet::JobCallStatus;
using core::fleet::JobKey;
using core::fleet::LeadershipStage;
using core::fleet::LeadershipStep;
using core::fleet::MemberKey;
using core::fleet::ProgressKey;
using platform::AppendStatus;
using namespace std::chrono_literals;

constexpr auto kGroup = "ebonypin.coordinator";
constexpr auto kWriterName = "ebonypin.coordinator";
/// Events of one burst are planned together; short against a task of half a second.
constexpr auto kPumpDelay = 3ms;
/// Between two appends, so that records of a burst share a call; each call costs 2 ms at the store.
constexpr auto kAppendInterval = 12ms;
constexpr auto kAppendRetry = 100ms;
constexpr auto kTickInterval = 250ms;
/// Between two questions whether the office lasts, while the partition is not held.
constexpr auto kConfirmInterval = 1s;
constexpr auto kOrdersDeadline = 600ms;
constexpr auto kOrdersRetry = 120ms;
constexpr std::size_t kMaxOrdersPerCall = 32;
constexpr auto kStepDownDeadline = 500ms;
/// New submissions are refused at once after appends have failed for this long.
constexpr auto kFailingLimit = 400ms;
constexpr auto kStoreRetryAfter = 1s;

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
                                       CoordinatorServiceOptions options)
    : m_events(std::move(events)),
      m_store(store),
      m_rpc(rpc),
      m_advice(advice),
      m_options(std::move(options)),
      m_leadership{.m_options = m_options.m_leadership} {}

void CoordinatorService::Start() {
  m_events->Post([this] { Join(); });
  m_events->Every(kTickInterval, [this] { Tick(); });
}

void CoordinatorService::Leave() {
  m_leaving = true;
  BackToFollower("planned stop");
  m_store.Leave(kGroup, m_options.m_entry + "@" + m_options.m_rpc_address, m_generation);
}

bool CoordinatorService::IsActive() const noexcept {
  return m_leadership.m_stage == LeadershipStage::kActive;
}

void CoordinatorService::Join() {
  if (m_leaving) return;
  m_events->At(Now() + m_options.m_leadership.m_join_interval, [this] { Join(); });
  JoinOnce();
}

void CoordinatorService::JoinOnce() {
  const auto sent = BootNow();
  m_store.Join(kGroup, m_options.m_entry + "@" + m_options.m_rpc_address,
               m_options.m_coordinator_topic, m_options.m_leadership.m_ttl, m_generation,
               [this, events = m_events, sent](core::Captured<platform::GroupReply> reply) {
                 events->Post([this, sent, reply = std::move(reply)] {
                   if (m_leaving || !reply.Ok()) return;
                   const auto step = OnJoined(m_leadership, sent, reply.m_value->m_holds_first);
                   if (step != LeadershipStep::kKeep) m_generation = reply.m_value->m_generation;
                   switch (step) {
                     case LeadershipStep::kNone:
                     case LeadershipStep::kKeep:
                       return;
                     case LeadershipStep::kClaim:
                       return Claim();
                     case LeadershipStep::kRelease:
                       return JoinOnce();
                   }
                 });
               });
}

void CoordinatorService::Claim() {
  m_leadership.m_stage = LeadershipStage::kClaiming;
  m_leadership.m_epoch = 0;
  m_store.ReadNewest(m_options.m_coordinator_topic, {},
                     [this, events = m_events](core::Captured<platform::NewestPage> page) {
                       events->Post([this, page = std::move(page)] {
                         if (m_leadership.m_stage != LeadershipStage::kClaiming) return;
                         if (!page.Ok()) return BackToFollower(page.m_error->m_message);
                         CoordinatorRecord previous;
                         for (const auto& record : page.m_value->m_records) {
                           const auto decoded = core::Capture(
                               [&] { return wire::DecodeCoordinator(record.m_value); });
                           if (!decoded.Ok()) return BackToFollower(decoded.m_error->m_message);
                           previous = *decoded.m_value;
                         }
                         Append({.m_epoch = previous.m_epoch + 1,
                                 .m_entry = m_options.m_entry,
                                 .m_rpc_address = m_options.m_rpc_address,
                                 .m_incarnation = m_options.m_incarnation},
                                page.m_value->m_end, previous);
                       });
                     });
}

void CoordinatorService::Append(const CoordinatorRecord& record, const std::uint64_t at_end,
                                const CoordinatorRecord& previous) {
  m_store.Append(m_options.m_coordinator_topic,
                 {{.m_key = "coordinator", .m_value = wire::Encode(record)}}, {.m_at_end = at_end},
                 [this, events = m_events, record, previous](const platform::AppendReply& reply) {
                   events->Post([this, record, previous, reply] {
                     if (m_leadership.m_stage != LeadershipStage::kClaiming) return;
                     // After a lost answer the next claim finds this epoch taken and takes another.
                     if (reply.m_status != AppendStatus::kAppended) {
                       return BackToFollower("claim: " + reply.m_reason);
                     }
                     m_leadership.m_epoch = record.m_epoch;
                     Fence(previous);
                   });
                 });
}

void CoordinatorService::Fence(const CoordinatorRecord& previous) {
  const auto sent = BootNow();
  m_store.Append(
      m_options.m_jobs_topic, {},
      {.m_writer = platform::StoreWriter{.m_name = kWriterName, .m_epoch = m_leadership.m_epoch}},
      [this, events = m_events, previous, sent](const platform::AppendReply& reply) {
        events->Post([this, previous, sent, reply] {
          if (m_leadership.m_stage != LeadershipStage::kClaiming) return;
          if (reply.m_status != AppendStatus::kAppended) {
            return BackToFollower("fence: " + reply.m_reason);
          }
          m_leadership.m_confirmed = sent;
          m_sequence = 0;
          m_state = core::fleet::Coordinator{.m_options = m_options.m_coordinator,
                                             .m_epoch = m_leadership.m_epoch,
                                             .m_rpc_address = m_options.m_rpc_address};
          Recover({}, previous);
        });
      });
}

void CoordinatorService::Recover(const std::string& after, const CoordinatorRecord& previous) {
  m_store.ReadNewest(
      m_options.m_jobs_topic, after,
      [this, events = m_events, previous](core::Captured<platform::NewestPage> page) {
        events->Post([this, previous, page = std::move(page)] {
          if (m_leadership.m_stage != LeadershipStage::kClaiming) return;
          if (!page.Ok()) return BackToFollower(page.m_error->m_message);
          const auto& records = page.m_value->m_records;
          for (const auto& record : records) Restore(record);
          if (page.m_value->m_more && !records.empty()) {
            return Recover(records.back().m_key, previous);
          }
          Activate(previous);
        });
      });
}

void CoordinatorService::Restore(const platform::KeyedRecord& record) {
  if (record.m_value.empty()) return;
  const auto restore = [&](const auto& decoded, auto apply) {
    if (decoded.Ok()) return apply(*decoded.m_value);
    LogEvent(kRecordNotDecoded, {{"key", record.m_key}, {"reason", decoded.m_error->m_message}});
  };
  // Keys are read in their order, so a job comes before its progress.
  if (record.m_key.starts_with("job/")) {
    restore(core::Capture([&] { return wire::DecodeJobSpec(record.m_value); }),
            [&](const auto& job) { core::fleet::Restore(m_state, BootNow(), job); });
  } else if (record.m_key.starts_with("progress/")) {
    restore(core::Capture([&] { return wire::DecodeJobProgress(record.m_value); }),
            [&](const auto& progress) { core::fleet::Restore(m_state, progress); });
  } else if (record.m_key.starts_with("member/")) {
    restore(core::Capture([&] { return wire::DecodeMember(record.m_value); }),
            [&](const auto& member) { core::fleet::Restore(m_state, member); });
  } else if (record.m_key == core::fleet::kImagePairsKey) {
    restore(core::Capture([&] { return wire::DecodeImagePairs(record.m_value); }),
            [&](const auto& pairs) { core::fleet::Restore(m_state, BootNow(), pairs); });
  }
}

void CoordinatorService::Activate(const CoordinatorRecord& previous) {
  const auto now = BootNow();
  const auto& options = m_options.m_coordinator;
  const auto grants_end = options.m_grant + options.m_lapse_slack;
  // A predecessor on this machine ended before this process began.
  const bool same_place = previous.m_rpc_address == m_options.m_rpc_address;
  const auto authority =
      previous.m_epoch == 0 || same_place ? core::Duration{} : m_options.m_leadership.m_authority;
  FinishRestore(m_state, now, now + authority + grants_end);
  m_leadership.m_stage = LeadershipStage::kActive;
  Learn(m_leadership.m_epoch, m_options.m_rpc_address);
  LogEvent(kCoordinatorActive, {{"epoch", m_leadership.m_epoch},
                                {"jobs", m_state.m_jobs.size()},
                                {"members", m_state.m_silent_members.size()},
                                {"previous", previous.m_entry}});
  if (!same_place && previous.m_epoch > 0) {
    m_rpc.Call(previous.m_rpc_address,
               core::fleet::StepDown{.m_epoch = m_leadership.m_epoch,
                                     .m_coordinator = m_options.m_rpc_address},
               kStepDownDeadline, [this, grants_end](const wire::CallResult& result) {
                 const auto* const reply = result.Get<core::fleet::StepDownReply>();
                 if (reply == nullptr || !reply->m_stepped_down) return;
                 m_events->Post([this, grants_end] {
                   m_state.m_silent_until =
                       std::min(m_state.m_silent_until, BootNow() + grants_end);
                 });
               });
  }
  Announce();
  SchedulePump();
}

void CoordinatorService::Announce() {
  for (const auto& [id, agent] : m_state.m_agents) AnnounceTo(agent.m_rpc_address);
  m_store.Members(kGroup, [this,
                           events = m_events](core::Captured<std::vector<std::string>> members) {
    events->Post([this, members = std::move(members)] {
      if (!members.Ok()) {
        LogEvent(kStoreCallFailed, {{"call", "members"}, {"reason", members.m_error->m_message}});
        return;
      }
      const std::set<std::string> distinct(members.m_value->begin(), members.m_value->end());
      for (const auto& member : distinct) {
        const auto address = member.substr(member.find('@') + 1);
        if (address != m_options.m_rpc_address) AnnounceTo(address);
      }
    });
  });
}

void CoordinatorService::AnnounceTo(const std::string& rpc_address) {
  if (!IsActive()) return;
  m_rpc.Call(rpc_address,
             core::fleet::AgentOrders{.m_epoch = m_leadership.m_epoch,
                                      .m_coordinator = m_options.m_rpc_address},
             kOrdersDeadline, [this](const wire::CallResult& result) {
               const auto* const reply = result.Get<core::fleet::AgentOrdersReply>();
               // A peer that does not answer is announced to again by Tick while it is silent.
               if (reply == nullptr) return;
               m_events->Post([this, epoch = reply->m_epoch] { Learn(epoch, {}); });
             });
}

void CoordinatorService::BackToFollower(const std::string& reason) {
  if (m_leadership.m_stage == LeadershipStage::kFollower) return;
  LogEvent(kCoordinatorEnded, {{"epoch", m_leadership.m_epoch}, {"reason", reason}});
  m_leadership.m_stage = LeadershipStage::kFollower;
  m_leadership.m_released = false;
  m_batch_open = m_batch_sent = false;
  m_state = {};
  m_sending.clear();
  m_send_after.clear();
  m_failing_since = {};
  for (auto& waiter : std::exchange(m_waiters, {})) {
    waiter.m_done({.m_status = JobCallStatus::kUnknown, .m_reason = "the coordinator changed"});
  }
}

void CoordinatorService::Learn(const core::Epoch epoch, const std::string& rpc_address) {
  if (IsDeposedBy(m_leadership, epoch)) BackToFollower("a later epoch exists");
  if (epoch < m_known.m_epoch || rpc_address.empty()) return;
  if (m_known.m_rpc_address != rpc_address) {
    LogEvent(kCoordinatorKnown, {{"epoch", epoch}, {"address", rpc_address}});
  }
  m_known = {.m_epoch = epoch, .m_rpc_address = rpc_address};
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
  if (is_new && m_failing_since != core::Time{} && now - m_failing_since > kFailingLimit) {
    ++m_state.m_counters.m_refused;
    return done({.m_status = JobCallStatus::kRefused,
                 .m_retry_after = kStoreRetryAfter,
                 .m_reason = "the store does not take records"});
  }
  auto reply = OnCall(m_state, now, call);
  SchedulePump();
  if (reply) return done(std::move(*reply));
  m_waiters.push_back({.m_call = call, .m_deadline = now + deadline, .m_done = std::move(done)});
}

core::fleet::AgentReportReply CoordinatorService::OnReport(const core::fleet::AgentReport& report) {
  Learn(report.m_epoch, {});
  const auto now = BootNow();
  if (!MayAct(m_leadership, now)) {
    return {.m_epoch = m_known.m_epoch,
            .m_coordinator = IsActive() ? std::string{} : m_known.m_rpc_address};
  }
  auto reply = core::fleet::OnReport(m_state, now, report);
  SchedulePump();
  return reply;
}

core::fleet::StepDownReply CoordinatorService::OnStepDown(const core::fleet::StepDown& request) {
  Learn(request.m_epoch, request.m_coordinator);
  return {.m_stepped_down = m_leadership.m_stage == LeadershipStage::kFollower};
}

void CoordinatorService::SchedulePump() {
  if (std::exchange(m_pump_scheduled, true)) return;
  m_events->At(Now() + kPumpDelay, [this] {
    m_pump_scheduled = false;
    Pump();
  });
}

void CoordinatorService::Pump() {
  if (!IsActive()) return;
  if (MayAct(m_leadership, BootNow())) {
    Plan(m_state, BootNow(), WallNow());
    for (auto& [id, agent] : m_state.m_agents) SendOrders(agent);
    AskAdvice();
  }
  Flush();
  LogDecisions();
}

void CoordinatorService::SendOrders(core::fleet::Agent& agent) {
  const auto now = BootNow();
  if (agent.m_orders.empty() || agent.m_session == 0 || m_sending.count(agent.m_id) > 0) return;
  const auto paused = m_send_after.find(agent.m_id);
  if (paused != m_send_after.end() && now < paused->second) return;
  core::fleet::AgentOrders orders{.m_epoch = m_leadership.m_epoch,
                                  .m_coordinator = m_options.m_rpc_address,
                                  .m_session = agent.m_session};
  for (const auto& order : agent.m_orders) {
    if (orders.m_orders.size() == kMaxOrdersPerCall) break;
    orders.m_orders.push_back(order);
  }
  m_sending.insert(agent.m_id);
  m_rpc.Call(agent.m_rpc_address, orders, kOrdersDeadline,
             [this, id = agent.m_id, session = agent.m_session,
              epoch = m_leadership.m_epoch](const wire::CallResult& result) {
               core::fleet::AgentOrdersReply reply;
               if (const auto* const r = result.Get<core::fleet::AgentOrdersReply>()) reply = *r;
               m_events->Post([this, id, session, epoch, reply] {
                 if (epoch != m_leadership.m_epoch) return;
                 m_sending.erase(id);
                 Learn(reply.m_epoch, {});
                 if (reply.m_accepted) {
                   OnOrdersTaken(m_state, id, session, reply.m_last_order);
                 } else {
                   m_send_after[id] = BootNow() + kOrdersRetry;
                 }
                 SchedulePump();
               });
             });
}

void CoordinatorService::AskAdvice() {
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
        // Half of the validity, counted from the request, leaves time for the start.
        OnAdvice(m_state, step, advice.m_value->m_tickets, asked + advice.m_value->m_valid / 2);
        SchedulePump();
      });
    });
  }
}

void CoordinatorService::Flush() {
  if (m_batch_open) {
    if (!m_batch_sent && BootNow() >= m_next_append) SendBatch();
    return;
  }
  if (!HasWrites(m_state)) return;
  const auto now = BootNow();
  if (now < m_next_append) {
    m_events->At(Now() + (m_next_append - now), [this] { SchedulePump(); });
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
  ++m_sequence;
  SendBatch();
}

void CoordinatorService::SendBatch() {
  m_batch_sent = true;
  const auto sent = BootNow();
  m_store.Append(m_options.m_jobs_topic, m_batch_records,
                 {.m_writer = platform::StoreWriter{.m_name = kWriterName,
                                                    .m_epoch = m_leadership.m_epoch,
                                                    .m_sequence = m_sequence}},
                 [this, events = m_events, sent,
                  epoch = m_leadership.m_epoch](const platform::AppendReply& reply) {
                   events->Post([this, sent, epoch, reply] {
                     if (IsActive() && epoch == m_leadership.m_epoch) OnAppended(sent, reply);
                   });
                 });
}

/// Asks the store whether a later epoch exists, when nothing else has told so for a while.
void CoordinatorService::ConfirmOffice() {
  const auto sent = BootNow();
  if (m_batch_open || sent - m_leadership.m_confirmed < kConfirmInterval) return;
  m_store.Append(m_options.m_jobs_topic, {},
                 {.m_writer = platform::StoreWriter{.m_name = kWriterName,
                                                    .m_epoch = m_leadership.m_epoch,
                                                    .m_sequence = m_sequence}},
                 [this, events = m_events, sent,
                  epoch = m_leadership.m_epoch](const platform::AppendReply& reply) {
                   events->Post([this, sent, epoch, reply] {
                     if (!IsActive() || epoch != m_leadership.m_epoch) return;
                     if (reply.m_status == AppendStatus::kFenced) {
                       return BackToFollower("confirm: " + reply.m_reason);
                     }
                     if (reply.m_status == AppendStatus::kAppended) {
                       m_leadership.m_confirmed = std::max(m_leadership.m_confirmed, sent);
                     }
                   });
                 });
}

void CoordinatorService::OnAppended(const core::Time sent, const platform::AppendReply& reply) {
  m_batch_sent = false;
  const auto now = BootNow();
  switch (reply.m_status) {
    case AppendStatus::kAppended:
      if (m_failing_since != core::Time{}) {
        LogEvent(kLogAvailable, {{"topic", m_options.m_jobs_topic}});
      }
      m_failing_since = {};
      m_leadership.m_confirmed = std::max(m_leadership.m_confirmed, sent);
      m_batch_open = false;
      m_next_append = sent + kAppendInterval;
      OnWritten(m_state, m_batch);
      for (const auto& member : m_batch.m_members) {
        AnnounceTo(m_state.m_agents.at(member).m_rpc_address);
      }
      ResumeWaiters();
      return SchedulePump();
    case AppendStatus::kFenced:
    case AppendStatus::kOutOfSequence:
    case AppendStatus::kMoved:
      return BackToFollower("append: " + reply.m_reason);
    case AppendStatus::kNotAppended:
    case AppendStatus::kUnknown:
      // Repeated under the same sequence number, so that it is appended once.
      if (m_failing_since == core::Time{}) {
        m_failing_since = now;
        LogEvent(kLogUnavailable, {{"topic", m_options.m_jobs_topic}, {"reason", reply.m_reason}});
      }
      m_next_append = now + kAppendRetry;
      m_events->At(Now() + kAppendRetry, [this] { SchedulePump(); });
      return;
  }
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
    LogEvent(kRunDecision, {{"what", decision.m_what},
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
    waiter->m_done({.m_status = JobCallStatus::kUnknown, .m_reason = "not recorded in time"});
    waiter = m_waiters.erase(waiter);
  }
  if (!IsActive()) return;
  ConfirmOffice();
  if (MayAct(m_leadership, now)) {
    core::fleet::Tick(m_state, now, WallNow());
    for (const auto& [id, agent] : m_state.m_agents) {
      const bool silent = agent.m_session == 0 || now - agent.m_granted > 2s;
      if (silent && agent.m_recorded) AnnounceTo(agent.m_rpc_address);
    }
  }
  SchedulePump();
}

}  // namespace ebonypin::daemon
