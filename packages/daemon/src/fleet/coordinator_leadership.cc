/// Leadership of the coordinator: election, fencing, recovery of the state, and stepping down.
#include <algorithm>
#include <cmath>
#include <utility>

#include "boot_clock.h"
#include "coordinator_service.h"
#include "ebonypin/daemon/events.h"
#include "ebonypin/wire/fleet_codec.h"
#include "fleet_parts.h"

namespace ebonypin::daemon {
namespace {

using core::fleet::CoordinatorRecord;
using core::fleet::JobCallStatus;
using core::fleet::LeadershipStage;
using core::fleet::LeadershipStep;
using platform::AppendStatus;
using namespace std::chrono_literals;

constexpr auto kWriterName = "ebonypin.coordinator";
/// An active coordinator without records to append asks the store at this interval whether its
/// epoch is still the latest.
constexpr auto kConfirmInterval = 1s;
/// Intervals between two reads of the group's members. Non-candidates read more often: when all
/// larger entries are lost, there is no coordinator until a non-candidate reads the members again.
constexpr auto kCandidateCheckInterval = 5000ms;
constexpr auto kNonCandidateCheckInterval = 1500ms;
/// Longest delay of the first candidacy check.
constexpr auto kMaxFirstCheckDelay = 500ms;
/// Delay of the first candidacy check in milliseconds, times the processors of the entry: entries
/// with more processors join the group first.
constexpr double kFirstCheckDelayMsProcessors = 50.0;
constexpr auto kStepDownDeadline = 500ms;
constexpr auto kCoordinatorKey = "coordinator";
}  // namespace

core::fleet::Candidate CoordinatorService::OwnCandidate() const {
  return {.m_entry = m_options.m_entry,
          .m_rpc_address = m_options.m_rpc_address,
          .m_cpu_millis = m_options.m_cpu_millis};
}

void CoordinatorService::Leave() {
  m_leaving = true;
  if (!IsActive()) BecomeFollower("planned stop");
  LeaveGroup();
}

void CoordinatorService::Stop() {
  m_leaving = true;
  BecomeFollower("the process ends");
}

void CoordinatorService::LeaveGroup() {
  m_store.Leave(kCoordinatorGroup, MemberName(OwnCandidate()), m_generation);
}

core::Duration CoordinatorService::FirstCandidacyCheckDelay() const noexcept {
  if (m_options.m_cpu_millis == 0) return {};
  const double delay_ms = kFirstCheckDelayMsProcessors * 1000.0 / m_options.m_cpu_millis;
  return std::min<core::Duration>(kMaxFirstCheckDelay,
                                  std::chrono::milliseconds{std::lround(delay_ms)});
}

void CoordinatorService::CheckCandidacy() {
  if (m_leaving) return;
  m_events->At(Now() + (m_is_candidate ? kCandidateCheckInterval : kNonCandidateCheckInterval),
               [this] { CheckCandidacy(); });
  m_store.Members(kCoordinatorGroup, [this, events = m_events](
                                         core::Captured<std::vector<std::string>> members) {
    if (!members.Ok()) {
      // Candidacy stays as it is while the store is unavailable.
      LogEvent(kStoreCallFailed, {{"call", "members"}, {"reason", members.m_error->m_message}});
      return;
    }
    events->Post([this, members = std::move(*members.m_value)] {
      if (!m_leaving) OnMembers(members);
    });
  });
}

void CoordinatorService::OnMembers(const std::vector<std::string>& members) {
  const bool is_candidate =
      DecideCandidacy(OwnCandidate(), members) == core::fleet::CandidacyStep::kStand;
  if (is_candidate == m_is_candidate) return;
  m_is_candidate = is_candidate;
  LogEvent(kCandidacyChanged, {{"stands", is_candidate},
                               {"cpu_millis", m_options.m_cpu_millis},
                               {"members", members.size()},
                               {"epoch", m_known.m_epoch}});
  if (is_candidate) return JoinOnce();
  BecomeFollower("an entry with more processors is a candidate");
  LeaveGroup();
}

void CoordinatorService::Join() {
  if (m_leaving) return;
  m_membership_thread.At(Now() + m_options.m_leadership.m_join_interval, [this] { Join(); });
  if (m_is_candidate) JoinOnce();
}

void CoordinatorService::JoinOnce() {
  const auto sent = BootNow();
  m_store.Join(kCoordinatorGroup, MemberName(OwnCandidate()), m_options.m_coordinator_topic,
               m_options.m_leadership.m_ttl, m_generation,
               [this, events = m_events, sent](core::Captured<platform::GroupReply> reply) {
                 events->Post([this, sent, reply = std::move(reply)] {
                   if (m_leaving || !m_is_candidate || !reply.Ok()) return;
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

bool CoordinatorService::IsClaiming(const std::uint64_t claim) const noexcept {
  return m_leadership.m_stage == LeadershipStage::kClaiming && claim == m_claims;
}

void CoordinatorService::Claim() {
  m_leadership.m_stage = LeadershipStage::kClaiming;
  m_leadership.m_epoch = 0;
  const auto claim = ++m_claims;
  m_store.ReadNewest(m_options.m_coordinator_topic, {},
                     [this, events = m_events, claim](core::Captured<platform::NewestPage> page) {
                       events->Post([this, claim, page = std::move(page)] {
                         if (!IsClaiming(claim)) return;
                         if (!page.Ok()) return BecomeFollower(page.m_error->m_message);
                         auto previous = PreviousClaim(page.m_value->m_records);
                         const CoordinatorRecord record{
                             .m_epoch = std::max(previous.m_epoch, m_epoch_floor) + 1,
                             .m_entry = m_options.m_entry,
                             .m_rpc_address = m_options.m_rpc_address,
                             .m_incarnation = m_options.m_incarnation};
                         // A claim of this process that never became active gave no grants; its
                         // predecessor is the one to wait for.
                         if (m_open_claim && previous == m_open_claim->m_record) {
                           previous = m_open_claim->m_previous;
                         }
                         m_open_claim = {.m_record = record, .m_previous = previous};
                         Append(record, page.m_value->m_end, previous);
                       });
                     });
}

CoordinatorRecord CoordinatorService::PreviousClaim(
    const std::vector<platform::KeyedRecord>& records) {
  const auto found = std::find_if(records.begin(), records.end(), [](const auto& record) {
    return record.m_key == kCoordinatorKey;
  });
  if (found == records.end()) return {};
  const auto decoded = core::Capture([&] { return wire::DecodeCoordinator(found->m_value); });
  if (decoded.Ok()) return *decoded.m_value;
  LogEvent(kRecordNotDecoded, {{"key", found->m_key}, {"reason", decoded.m_error->m_message}});
  RaiseEpochFloor();
  return {.m_epoch = m_epoch_floor, .m_rpc_address = m_known.m_rpc_address};
}

void CoordinatorService::RaiseEpochFloor() {
  // Epochs begin at 1 and rise by one at a change of coordinator, so they stay below the seconds of
  // the wall clock.
  const auto seconds = static_cast<core::Epoch>(std::max<core::WallMillis>(WallNow(), 0) / 1000);
  m_epoch_floor = std::max({m_epoch_floor, m_known.m_epoch, seconds});
}

void CoordinatorService::Append(const CoordinatorRecord& record, const std::uint64_t at_end,
                                const CoordinatorRecord& previous) {
  m_store.Append(m_options.m_coordinator_topic,
                 {{.m_key = kCoordinatorKey, .m_value = wire::Encode(record)}},
                 {.m_expected_end = at_end},
                 [this, events = m_events, claim = m_claims, record,
                  previous](const platform::AppendReply& reply) {
                   events->Post([this, claim, record, previous, reply] {
                     if (!IsClaiming(claim)) return;
                     // If the append took effect but its answer was lost, the next claim reads this
                     // epoch and uses a later one.
                     if (reply.m_status != AppendStatus::kAppended) {
                       return BecomeFollower("claim of the epoch failed: " + reply.m_reason);
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
      [this, events = m_events, claim = m_claims, previous,
       sent](const platform::AppendReply& reply) {
        events->Post([this, claim, previous, sent, reply] {
          if (!IsClaiming(claim)) return;
          if (reply.m_status != AppendStatus::kAppended) {
            // The claim was made from a record that another writer has replaced or removed, unless
            // a later claim was made meanwhile.
            if (reply.m_status == AppendStatus::kFenced) RaiseEpochFloor();
            return BecomeFollower("fence append failed: " + reply.m_reason);
          }
          m_leadership.m_confirmed = sent;
          m_appends = {};
          m_confirmations = {};
          m_state = core::fleet::Coordinator{.m_options = m_options.m_coordinator,
                                             .m_epoch = m_leadership.m_epoch,
                                             .m_rpc_address = m_options.m_rpc_address};
          m_state.m_options.m_record_limits = m_record_limits;
          core::fleet::SetEvacuations(m_state, m_evacuations.m_domains);
          Recover({}, previous);
        });
      });
}

void CoordinatorService::Recover(const std::string& after, const CoordinatorRecord& previous) {
  m_store.ReadNewest(m_options.m_jobs_topic, after,
                     [this, events = m_events, claim = m_claims, after,
                      previous](core::Captured<platform::NewestPage> page) {
                       events->Post([this, claim, after, previous, page = std::move(page)] {
                         if (!IsClaiming(claim)) return;
                         if (!page.Ok()) return BecomeFollower(page.m_error->m_message);
                         const auto& read = *page.m_value;
                         if (read.m_unreadable > 0) {
                           LogEvent(kRecordNotDecoded, {{"topic", m_options.m_jobs_topic},
                                                        {"records", read.m_unreadable}});
                         }
                         for (const auto& record : read.m_records) Restore(record);
                         if (read.m_more && read.m_last_key > after)
                           return Recover(read.m_last_key, previous);
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
  // Records are read in key order, so a job is restored before its progress.
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
  } else if (record.m_key == core::fleet::kSettledKey) {
    restore(core::Capture([&] { return wire::DecodeSettled(record.m_value); }),
            [&](const auto& settled) { core::fleet::Restore(m_state, settled); });
  }
}

void CoordinatorService::Activate(const CoordinatorRecord& previous) {
  const auto now = BootNow();
  // A predecessor with the same address ran on this machine and ended before this process began, or
  // was an earlier term of this process.
  const core::fleet::EarlierEpochs earlier{
      .m_previous = previous.m_epoch,
      .m_settled = m_state.m_settled_epoch,
      .m_previous_ended = previous.m_rpc_address == m_options.m_rpc_address};
  auto wait = WaitAfterFence(Times(), now, earlier);
  if (earlier.m_previous_ended) {
    wait = WaitAfterStepDown(Times(), now, earlier, wait, DescribeLastTerm());
  }
  FinishRestore(m_state, now, wait);
  m_leadership.m_stage = LeadershipStage::kActive;
  m_open_claim = {};
  ObserveCoordinator(m_leadership.m_epoch, m_options.m_rpc_address);
  LogEvent(kCoordinatorActive, {{"epoch", m_leadership.m_epoch},
                                {"jobs", m_state.m_jobs.size()},
                                {"members", m_state.m_silent_members.size()},
                                {"previous", previous.m_entry},
                                {"previous_epoch", previous.m_epoch},
                                {"settled_epoch", earlier.m_settled},
                                {"wait_ms", core::ToMillis(wait.m_until - now)},
                                {"cause", WaitCauseName(wait.m_cause)}});
  ++m_waits[wait.m_cause];
  if (!earlier.m_previous_ended && previous.m_epoch > 0) AskToStepDown(previous, earlier);
  Announce();
  CheckSilentMembers();
  ScheduleCycle();
}

void CoordinatorService::AskToStepDown(const CoordinatorRecord& previous,
                                       const core::fleet::EarlierEpochs& earlier) {
  m_rpc.Call(previous.m_rpc_address,
             core::fleet::StepDown{.m_epoch = m_leadership.m_epoch,
                                   .m_coordinator = m_options.m_rpc_address},
             kStepDownDeadline,
             [this, earlier, epoch = m_leadership.m_epoch](const wire::CallResult& result) {
               const auto* const reply = result.Get<core::fleet::StepDownReply>();
               if (reply == nullptr) return;
               m_events->Post([this, earlier, epoch, reply = *reply] {
                 if (!IsActive() || epoch != m_leadership.m_epoch) return;
                 OnSteppedDown(earlier, reply);
               });
             });
}

void CoordinatorService::OnSteppedDown(const core::fleet::EarlierEpochs& earlier,
                                       const core::fleet::StepDownReply& reply) {
  const auto now = BootNow();
  const auto wait = WaitAfterStepDown(Times(), now, earlier, m_state.m_silent_wait, reply);
  if (wait == m_state.m_silent_wait) return;
  m_state.m_silent_wait = wait;
  ++m_waits[wait.m_cause];
  LogEvent(kSilentWaitShortened, {{"epoch", m_leadership.m_epoch},
                                  {"previous_epoch", earlier.m_previous},
                                  {"wait_ms", core::ToMillis(wait.m_until - now)},
                                  {"cause", WaitCauseName(wait.m_cause)},
                                  {"members", m_state.m_silent_members.size()}});
}

core::fleet::GrantTimes CoordinatorService::Times() const noexcept {
  const auto& options = m_options.m_coordinator;
  return {.m_authority = m_options.m_leadership.m_authority,
          .m_grant = options.m_grant + options.m_lapse_slack};
}

core::fleet::StepDownReply CoordinatorService::DescribeLastTerm() const {
  return {.m_stepped_down = m_leadership.m_stage != LeadershipStage::kActive,
          .m_epoch = m_last_term.m_epoch,
          .m_earlier_grants_left =
              std::max(m_last_term.m_earlier_grants_until - BootNow(), core::Duration{})};
}

void CoordinatorService::BecomeFollower(const std::string& reason) {
  if (m_leadership.m_stage == LeadershipStage::kFollower) return;
  LogEvent(kLeadershipEnded, {{"epoch", m_leadership.m_epoch}, {"reason", reason}});
  if (IsActive()) {
    const auto now = BootNow();
    m_last_term = {.m_epoch = m_leadership.m_epoch,
                   .m_earlier_grants_until = now + EarlierGrantsLeft(m_state, now)};
  }
  m_leadership.m_stage = LeadershipStage::kFollower;
  m_leadership.m_released = false;
  m_appends = {};
  const auto unwritten = WithdrawUnwritten(m_state);
  m_state = {};
  m_orders_in_flight.clear();
  m_next_orders.clear();
  for (auto& waiter : std::exchange(m_waiters, {})) {
    const bool sent = !waiter.m_held && unwritten.count(waiter.m_call->m_job.m_id) == 0;
    waiter.m_done({.m_status = sent ? JobCallStatus::kUnknown : JobCallStatus::kNotCoordinator,
                   .m_reason = "the coordinator changed"});
  }
  EndHold();
}

void CoordinatorService::ObserveCoordinator(const core::Epoch epoch,
                                            const std::string& rpc_address) {
  if (IsSupersededBy(m_leadership, epoch)) BecomeFollower("a later epoch exists");
  if (epoch < m_known.m_epoch || rpc_address.empty()) return;
  if (m_known.m_rpc_address != rpc_address) {
    LogEvent(kCoordinatorKnown, {{"epoch", epoch}, {"address", rpc_address}});
  }
  m_known = {.m_epoch = epoch, .m_rpc_address = rpc_address};
}

platform::StoreWriter CoordinatorService::Writer(const std::uint64_t sequence) const {
  return {.m_name = kWriterName, .m_epoch = m_leadership.m_epoch, .m_sequence = sequence};
}

void CoordinatorService::OnConfirmed(const core::Time sent) {
  const auto now = BootNow();
  const bool was_needed = NeedsConfirmation(m_state, now, m_leadership.m_confirmed);
  m_leadership.m_confirmed = std::max(m_leadership.m_confirmed, sent);
  OnEpochConfirmed(m_confirmations, sent);
  ResumeWaiters();
  ReleaseHeld();
  if (!was_needed || !MayAct(m_leadership, now)) return;
  core::fleet::Tick(m_state, now, WallNow(), m_leadership.m_confirmed);
  ScheduleCycle();
}

/// Asks the store whether a later epoch exists, unless a recent append has confirmed the
/// leadership. Asks at once when the end of a grant depends on it.
void CoordinatorService::ConfirmLeadership() {
  const auto now = BootNow();
  const auto confirmed = m_leadership.m_confirmed;
  const bool due = now - confirmed >= kConfirmInterval ||
                   core::fleet::NeedsConfirmation(m_state, now, confirmed);
  if (m_appends.m_open.empty() && due) SendConfirmation();
}

void CoordinatorService::ConfirmHeldAnswers() {
  // While an append is open, a call without records could take its sequence number.
  const bool held = !m_held.m_calls.empty() ||
                    std::any_of(m_waiters.begin(), m_waiters.end(),
                                [](const Waiter& waiter) { return waiter.m_held.has_value(); });
  if (!IsActive() || !held || !m_appends.m_open.empty()) return;
  core::fleet::ConfirmationOptions options;
  // A store that does not respond is probed at the retry interval, also if calls stay open.
  if (!m_held.m_calls.empty()) options.m_overlap_after = options.m_retry_delay;
  if (NextConfirmation(m_confirmations, options) <= BootNow()) SendConfirmation();
  // An answer makes the next call due earlier than the timer of the call that it answers.
  const auto due = NextConfirmation(m_confirmations, options);
  if (m_confirmation_due != core::Time{} && m_confirmation_due <= due) return;
  m_confirmation_due = due;
  m_events->At(Now() + (due - BootNow()), [this, due] {
    if (m_confirmation_due != due) return;
    m_confirmation_due = {};
    ConfirmHeldAnswers();
  });
}

void CoordinatorService::SendConfirmation() {
  const auto sent = BootNow();
  OnConfirmationSent(m_confirmations, sent);
  m_store.Append(m_options.m_jobs_topic, {}, {.m_writer = Writer(m_appends.m_last_sequence)},
                 [this, events = m_events, sent,
                  epoch = m_leadership.m_epoch](const platform::AppendReply& reply) {
                   events->Post([this, sent, epoch, reply] {
                     if (!IsActive() || epoch != m_leadership.m_epoch) return;
                     if (reply.m_status == AppendStatus::kFenced) {
                       return BecomeFollower("confirmation failed: " + reply.m_reason);
                     }
                     const bool confirmed = reply.m_status == AppendStatus::kAppended;
                     OnConfirmationAnswered(m_confirmations, sent);
                     if (confirmed) OnConfirmed(sent);
                     ConfirmHeldAnswers();
                   });
                 });
}

}  // namespace ebonypin::daemon
