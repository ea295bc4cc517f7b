/// Appends of the coordinator's records, and the calls that wait for them.
#include <algorithm>
#include <utility>
#include <variant>

#include "boot_clock.h"
#include "coordinator_service.h"
#include "ebonypin/daemon/events.h"
#include "ebonypin/wire/fleet_codec.h"

namespace ebonypin::daemon {
namespace {

using core::fleet::AppendOutcome;
using core::fleet::JobCallReply;
using core::fleet::JobCallStatus;
using platform::AppendStatus;
using namespace std::chrono_literals;

/// Retry-After while the store does not take records. Callers wait about 3 s in all, so a longer
/// one would leave them no second try.
constexpr auto kStoreRetryAfter = 1s;

platform::KeyedRecord ToRecord(const core::fleet::RecordChange& change) {
  return {.m_key = KeyOf(change),
          .m_value = std::visit(
              [](const auto& record) -> std::string {
                using T = std::decay_t<decltype(record)>;
                if constexpr (std::is_same_v<T, core::fleet::RemovedRecord>) {
                  return {};
                } else {
                  return wire::Encode(record);
                }
              },
              change)};
}

AppendOutcome OutcomeOf(const AppendStatus status) noexcept {
  switch (status) {
    case AppendStatus::kAppended:
      return AppendOutcome::kAppended;
    case AppendStatus::kNotAppended:
      return AppendOutcome::kNotAppended;
    case AppendStatus::kUnknown:
      return AppendOutcome::kUnknown;
    case AppendStatus::kOutOfSequence:
      return AppendOutcome::kOutOfSequence;
    case AppendStatus::kFenced:
    case AppendStatus::kEndMismatch:
      return AppendOutcome::kFenced;
    case AppendStatus::kRefused:
      return AppendOutcome::kRefused;
  }
  return AppendOutcome::kUnknown;
}

}  // namespace

bool CoordinatorService::IsStoreSilent(const core::Time now) const noexcept {
  return core::fleet::IsStoreSilent(m_state, SilentSince(m_confirmations, OldestBegan(m_appends)),
                                    now);
}

JobCallReply CoordinatorService::StoreSilentReply() const {
  return {.m_status = JobCallStatus::kUnknown,
          .m_retry_after = kStoreRetryAfter,
          .m_epoch = m_state.m_epoch,
          .m_reason =
              "the store does not answer, and there may be a later coordinator; retry "
              "later"};
}

void CoordinatorService::Flush() {
  const auto now = BootNow();
  if (const auto* const repeated = NextRepeat(m_appends, now)) SendAppend(*repeated);
  if (!HasWrites(m_state)) return;
  if (!MayBegin(m_appends, now)) {
    const auto& options = m_appends.m_options;
    m_events->At(Now() + (m_appends.m_open.empty() ? options.m_interval : options.m_overlap_after),
                 [this] { ScheduleCycle(); });
    return;
  }
  auto batch = TakeWrites(m_state, WallNow());
  if (batch.m_records.empty()) {
    if (TakeEmpty(m_appends, batch)) OnWritten(m_state, batch);
    return;
  }
  SendAppend(Begin(m_appends, now, std::move(batch)));
  ScheduleGiveUp();
}

void CoordinatorService::SendAppend(const core::fleet::OpenAppend& append) {
  std::vector<platform::KeyedRecord> records;
  records.reserve(append.m_batch.m_records.size());
  for (const auto& change : append.m_batch.m_records) records.push_back(ToRecord(change));
  m_store.Append(m_options.m_jobs_topic, records, {.m_writer = Writer(append.m_sequence)},
                 [this, events = m_events, sequence = append.m_sequence,
                  epoch = m_leadership.m_epoch](const platform::AppendReply& reply) {
                   events->Post([this, sequence, epoch, reply] {
                     if (!IsActive() || epoch != m_leadership.m_epoch) return;
                     OnAppended(sequence, reply);
                   });
                 });
}

void CoordinatorService::OnAppended(const std::uint64_t sequence,
                                    const platform::AppendReply& reply) {
  const bool was_failing = m_appends.m_failing_since != core::Time{};
  const auto result = OnOutcome(m_appends, BootNow(), sequence, OutcomeOf(reply.m_status));
  if (result.m_superseded) return BecomeFollower("append failed: " + reply.m_reason);
  if (result.m_refused) return OnAppendRefused(sequence, reply.m_reason);
  if (result.m_failed) {
    if (!was_failing) {
      LogEvent(kLogUnavailable, {{"topic", m_options.m_jobs_topic}, {"reason", reply.m_reason}});
    }
    m_events->At(Now() + m_appends.m_options.m_retry_delay, [this] { ScheduleCycle(); });
    return;
  }
  if (!result.m_written.empty() && was_failing) {
    LogEvent(kLogAvailable, {{"topic", m_options.m_jobs_topic}});
  }
  for (const auto& batch : result.m_written) {
    OnWritten(m_state, batch);
    for (const auto& member : batch.m_members) AnnounceTo(member.m_record.m_rpc_address);
  }
  if (!result.m_written.empty()) OnConfirmed(result.m_confirmed);
  ResumeWaiters();
  ConfirmHeldAnswers();
  ScheduleCycle();
}

void CoordinatorService::OnAppendRefused(const std::uint64_t sequence, const std::string& reason) {
  std::size_t bytes = 0;
  platform::KeyedRecord largest;
  for (const auto& open : m_appends.m_open) {
    if (open.m_sequence != sequence) continue;
    for (const auto& change : open.m_batch.m_records) {
      auto record = ToRecord(change);
      bytes += record.m_key.size() + record.m_value.size();
      if (record.m_value.size() >= largest.m_value.size()) largest = std::move(record);
    }
  }
  auto& limits = m_record_limits;
  limits = core::fleet::LowerLimits(limits);
  LogEvent(kAppendRefused, {{"epoch", m_leadership.m_epoch},
                            {"reason", reason},
                            {"bytes", bytes},
                            {"largest_key", largest.m_key},
                            {"largest_bytes", largest.m_value.size()},
                            {"next_record_limit", limits.m_record_bytes},
                            {"next_append_limit", limits.m_append_bytes}});
  BecomeFollower("the store refuses an append for good: " + reason);
}

void CoordinatorService::ScheduleGiveUp() {
  m_events->At(Now() + m_state.m_options.m_append_patience + 1ms,
               [this, epoch = m_leadership.m_epoch] {
                 if (IsActive() && epoch == m_leadership.m_epoch) GiveUpWaiters();
               });
}

void CoordinatorService::GiveUpWaiters() {
  if (HoldsCalls()) return UpdateHold();
  const auto now = BootNow();
  std::set<core::JobId> withdrawn;
  if (IsStoreSilent(now)) withdrawn = WithdrawUnwritten(m_state);
  for (auto waiter = m_waiters.begin(); waiter != m_waiters.end();) {
    const bool submits = waiter->m_call->m_kind == core::fleet::JobCallKind::kSubmit;
    const bool given_up =
        waiter->m_held ? now - waiter->m_held->m_arrived > m_state.m_options.m_append_patience
                       : submits && withdrawn.count(waiter->m_call->m_job.m_id) > 0;
    if (!given_up) {
      ++waiter;
      continue;
    }
    waiter->m_done(StoreSilentReply());
    waiter = m_waiters.erase(waiter);
  }
  LogDecisions();
}

void CoordinatorService::ResumeWaiters() {
  for (auto waiter = m_waiters.begin(); waiter != m_waiters.end();) {
    auto reply = waiter->m_held ? std::nullopt : Resume(m_state, *waiter->m_call);
    auto basis = core::fleet::AnswerBasis::kRecorded;
    if (waiter->m_held && m_leadership.m_confirmed >= waiter->m_held->m_needed) {
      reply = std::move(waiter->m_held->m_reply);
      basis = core::fleet::AnswerBasis::kConfirmed;
    }
    if (!reply) {
      ++waiter;
      continue;
    }
    reply->m_epoch = m_state.m_epoch;
    reply->m_basis = basis;
    waiter->m_done(std::move(*reply));
    waiter = m_waiters.erase(waiter);
  }
}

}  // namespace ebonypin::daemon
