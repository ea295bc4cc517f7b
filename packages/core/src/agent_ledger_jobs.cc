/// Messages of shard owners about jobs: reservations, starts, cancellations and fences.
#include <algorithm>
#include <limits>
#include <utility>

#include "agent_ledger_internal.h"

namespace ebonypin::core {
namespace {

using namespace std::chrono_literals;

/// Age and count limits of stored fences and ended attempts. A start needs a live reservation, so
/// removing a fence cannot let an old start through.
constexpr Duration kHistoryRetention = 600s;
constexpr std::size_t kMaxHistoryEntries = 8192;

/// How long the cancellation of a request is kept, in case it overtook the request; longer than any
/// call lasts.
constexpr Duration kCancelledRequestRetention = 60s;

void SetFence(AgentLedger& ledger, const JobId& job, const Attempt attempt, const Time now) {
  auto& fence = ledger.m_fences[job];
  fence = std::max(fence, attempt);
  ledger.m_fence_order.emplace_back(now, job);
}

bool IsFenced(const AgentLedger& ledger, const TaskId& task) {
  const auto fence = ledger.m_fences.find(task.m_job);
  return fence != ledger.m_fences.end() && task.m_attempt <= fence->second;
}

void DropReservations(AgentLedger& ledger, const JobId& job, const Attempt up_to) {
  std::erase_if(ledger.m_reservations, [&](const auto& item) {
    const auto& task = item.second.m_spec.m_task;
    return task.m_job == job && task.m_attempt <= up_to;
  });
}

/// Returns whether an attempt of `job` up to `up_to` holds capacity.
bool HoldsCapacity(const AgentLedger& ledger, const JobId& job, const Attempt up_to) {
  const auto first = ledger.m_attempts.lower_bound({.m_job = job, .m_attempt = 0});
  return first != ledger.m_attempts.end() && first->first.m_job == job &&
         first->first.m_attempt <= up_to;
}

/// Returns whether the attempt was started here, now or earlier.
bool WasStarted(const AgentLedger& ledger, const TaskId& task) {
  if (ledger.m_attempts.contains(task)) return true;
  if (const auto report = ledger.m_reports.find(task); report != ledger.m_reports.end())
    return report->second.m_report.m_phase != AttemptPhase::kNeverStarted;
  const auto ended_attempt = ledger.m_ended_attempts.find(task);
  return ended_attempt != ledger.m_ended_attempts.end() &&
         ended_attempt->second.m_phase != AttemptPhase::kNeverStarted;
}

Error StaleEpoch() {
  return {.m_kind = ErrorKind::kStaleEpoch,
          .m_message = "the shard has a newer owner; read the log and stop acting as its owner"};
}

Error StaleAttempt() {
  return {
      .m_kind = ErrorKind::kStaleAttempt,
      .m_message = "the attempt is fenced or was started here before; use the next attempt number"};
}

/// Returns the free capacity for batch work, which excludes the recent peak of requests.
Resources BatchHeadroom(const AgentLedger& ledger) {
  const auto busy = agent::RunsCommitted(ledger);
  const auto& peak = ledger.m_request_peak;
  const Resources held_for_requests{
      .m_cpu_millis = std::max(busy.m_cpu_millis, peak.m_cpu_millis),
      .m_memory_mb = std::max(busy.m_memory_mb, peak.m_memory_mb),
      .m_accelerators = std::max(busy.m_accelerators, peak.m_accelerators)};
  return ledger.m_options.m_capacity - agent::BatchCommitted(ledger) - held_for_requests;
}

/// Returns an error when no capacity is available for `request`.
std::optional<Error> CheckCapacity(const AgentLedger& ledger, const ReserveRequest& request) {
  const auto no_capacity = [](const char* const message) {
    return Error{.m_kind = ErrorKind::kNoCapacity, .m_message = message};
  };
  if (!Fits(request.m_size, ledger.m_options.m_capacity))
    return no_capacity("the worker is too small for the work; try a larger worker");
  if (ledger.m_reservations.size() >= ledger.m_admit ||
      SlotsBusy(ledger) >= ledger.m_options.m_slots)
    return no_capacity("the slots for batch work are taken; try another worker");
  if (!Fits(request.m_size, BatchHeadroom(ledger)))
    return no_capacity("the capacity for batch work is taken; try another worker");
  const std::size_t unfinished = ledger.m_reservations.size() + ledger.m_attempts.size() + 1;
  if (ledger.m_report_bytes + unfinished * kMaxResultBytes > kMaxReportBytes) {
    return Error{
        .m_kind = ErrorKind::kLogUnavailable,
        .m_message = "too many completions wait to be recorded in the log; try another worker",
        .m_retry_after = 1s};
  }
  return std::nullopt;
}

/// Returns an error when `request` is invalid, stale or refused because of a drain.
std::optional<Error> CheckReservation(AgentLedger& ledger, const ReserveRequest& request) {
  const TaskId task{.m_job = request.m_job, .m_attempt = request.m_attempt};
  if (request.m_incarnation != ledger.m_options.m_incarnation) {
    return Error{.m_kind = ErrorKind::kStaleIncarnation,
                 .m_message = "the agent was replaced; use the incarnation of its heartbeat"};
  }
  if (!agent::RaiseEpoch(ledger, request.m_job, request.m_epoch)) return StaleEpoch();
  if (request.m_attempt == 0 || request.m_job.IsEmpty() || agent::IsNegative(request.m_size)) {
    return Error{.m_kind = ErrorKind::kInvalidRequest,
                 .m_message =
                     "the job or attempt is missing or the size is negative; send a job, "
                     "an attempt from 1 and sizes of zero or more"};
  }
  if (IsDraining(ledger)) {
    return Error{.m_kind = ErrorKind::kDraining,
                 .m_message = "the worker is draining; try another worker"};
  }
  if (IsFenced(ledger, task) || WasStarted(ledger, task) || ledger.m_reports.contains(task) ||
      HoldsCapacity(ledger, request.m_job, std::numeric_limits<Attempt>::max()))
    return StaleAttempt();
  return std::nullopt;
}

}  // namespace

namespace agent {

bool RaiseEpoch(AgentLedger& ledger, const JobId& job, const Epoch epoch) noexcept {
  auto& newest = ledger.m_epochs[ShardOf(job)];
  if (epoch < newest) return false;
  if (epoch > newest) ledger.m_owners[ShardOf(job)].clear();
  newest = epoch;
  return true;
}

void OnReserve(AgentLedger& ledger, const CallId call, const ReserveRequest& request,
               const Time now, AgentActions& out) {
  ExpireReservations(ledger, now);
  ReserveReply reply;
  if (auto error = CheckReservation(ledger, request)) {
    reply.m_error = std::move(*error);
  } else {
    const TaskSpec spec{.m_task = {.m_job = request.m_job, .m_attempt = request.m_attempt},
                        .m_epoch = request.m_epoch,
                        .m_class = request.m_class,
                        .m_size = request.m_size,
                        .m_expected_run = request.m_expected_run};
    const auto same = std::find_if(ledger.m_reservations.begin(), ledger.m_reservations.end(),
                                   [&](const auto& item) { return item.second.m_spec == spec; });
    if (same != ledger.m_reservations.end()) {
      // The first reply may have been lost. The lifetime is not extended, because the first grant
      // starts when the reservation was made.
      reply.m_granted = true;
      reply.m_reservation = same->first;
    } else {
      DropReservations(ledger, request.m_job, std::numeric_limits<Attempt>::max());
      PlanBatch(ledger, now, out);
      if (auto no_capacity_error = CheckCapacity(ledger, request)) {
        reply.m_error = std::move(*no_capacity_error);
      } else {
        reply.m_granted = true;
        reply.m_reservation = ++ledger.m_last_reservation;
        ledger.m_reservations.emplace(
            reply.m_reservation,
            LedgerReservation{
                .m_spec = spec, .m_made = now, .m_expires = now + kReservationLifetime});
      }
    }
  }
  reply.m_load = LoadOf(ledger);
  out.emplace_back(ReplyToCall{call, std::move(reply)});
  StartQueued(ledger, now, out);
}

void OnStart(AgentLedger& ledger, const CallId call, const StartRequest& request, const Time now,
             AgentActions& out) {
  ExpireReservations(ledger, now);
  const TaskId task{.m_job = request.m_job, .m_attempt = request.m_attempt};
  const auto reserved = ledger.m_reservations.find(request.m_reservation);
  const bool live = reserved != ledger.m_reservations.end() &&
                    reserved->second.m_spec.m_task == task &&
                    reserved->second.m_spec.m_epoch == request.m_epoch;
  StartReply reply;
  if (WasStarted(ledger, task)) {
    // This check comes first: the attempt was started, possibly by an earlier agent from which this
    // one adopted it, so no other check may answer "not started".
    reply.m_started = true;
  } else if (request.m_incarnation != ledger.m_options.m_incarnation) {
    reply.m_error = {.m_kind = ErrorKind::kStaleIncarnation,
                     .m_message = "the agent was replaced; ask the new one what runs"};
  } else if (!RaiseEpoch(ledger, request.m_job, request.m_epoch)) {
    reply.m_error = StaleEpoch();
  } else if (IsFenced(ledger, task)) {
    reply.m_error = StaleAttempt();
  } else if (IsDraining(ledger)) {
    reply.m_error = {.m_kind = ErrorKind::kDraining,
                     .m_message = "the worker is draining; requeue the job"};
  } else if (!live) {
    reply.m_error = {.m_kind = ErrorKind::kReservationGone,
                     .m_message = "the reservation expired or never existed; requeue the job"};
  } else {
    auto spec = reserved->second.m_spec;
    spec.m_exclusive = request.m_exclusive;
    LedgerAttempt attempt{.m_spec = spec,
                          .m_payload = request.m_payload,
                          .m_checkpoint = request.m_checkpoint,
                          .m_started = now,
                          .m_last_sent = now,
                          .m_last_renewed = now,
                          // The owner learned of the reservation later, so this grant ends later by
                          // the owner's count.
                          .m_grant_until = reserved->second.m_made + kGrantLifetime};
    out.emplace_back(StartTask{.m_spec = spec,
                               .m_lease = LeaseOf(attempt, now),
                               .m_checkpoint = attempt.m_checkpoint,
                               .m_payload = attempt.m_payload});
    ledger.m_reservations.erase(reserved);
    ledger.m_attempts.emplace(task, std::move(attempt));
    ++ledger.m_counters.m_starts;
    reply.m_started = true;
  }
  if (!reply.m_started) {
    ++ledger.m_counters.m_starts_refused;
    // A repeat of this start must not succeed after it was refused.
    if (live) ledger.m_reservations.erase(reserved);
  }
  reply.m_load = LoadOf(ledger);
  out.emplace_back(ReplyToCall{call, std::move(reply)});
  StartQueued(ledger, now, out);
}

void CancelJob(AgentLedger& ledger, const CallId call, const CancelRequest& request, const Time now,
               AgentActions& out) {
  if (!RaiseEpoch(ledger, request.m_job, request.m_epoch)) {
    out.emplace_back(ReplyToCall{call, StaleEpoch()});
    return;
  }
  ++ledger.m_counters.m_cancelled;
  constexpr auto kAll = std::numeric_limits<Attempt>::max();
  SetFence(ledger, request.m_job, kAll, now);
  DropReservations(ledger, request.m_job, kAll);
  for (auto& [task, attempt] : ledger.m_attempts) {
    if (task.m_job != request.m_job) continue;
    attempt.m_cancelled = attempt.m_result_ignored = true;
    BeginStop(attempt, now, out);
  }
  const bool stopped = !HoldsCapacity(ledger, request.m_job, kAll);
  out.emplace_back(ReplyToCall{call, CancelReply{.m_stopped = stopped}});
  StartQueued(ledger, now, out);
}

void OnFence(AgentLedger& ledger, const CallId call, const FenceRequest& request, const Time now,
             AgentActions& out) {
  if (!RaiseEpoch(ledger, request.m_job, request.m_epoch)) {
    out.emplace_back(ReplyToCall{call, StaleEpoch()});
    return;
  }
  const TaskId task{.m_job = request.m_job, .m_attempt = request.m_attempt};
  SetFence(ledger, request.m_job, request.m_attempt, now);
  DropReservations(ledger, request.m_job, request.m_attempt);
  if (request.m_stop) {
    for (auto& [id, attempt] : ledger.m_attempts)
      if (id.m_job == request.m_job && id.m_attempt <= request.m_attempt)
        BeginStop(attempt, now, out);
  }
  FenceReply reply{.m_incarnation = ledger.m_options.m_incarnation};
  const auto report = ledger.m_reports.find(task);
  const auto ended_attempt = ledger.m_ended_attempts.find(task);
  if (HoldsCapacity(ledger, request.m_job, request.m_attempt)) {
    reply.m_phase = AttemptPhase::kRunning;
  } else if (report != ledger.m_reports.end()) {
    reply.m_phase = report->second.m_report.m_phase;
    reply.m_outcome = report->second.m_report.m_outcome;
    reply.m_result = report->second.m_report.m_result;
    reply.m_checkpoint = report->second.m_report.m_checkpoint;
  } else if (ended_attempt != ledger.m_ended_attempts.end()) {
    reply.m_phase = ended_attempt->second.m_phase;
    reply.m_outcome = ended_attempt->second.m_outcome;
  }
  out.emplace_back(ReplyToCall{call, std::move(reply)});
  StartQueued(ledger, now, out);
}

void ExpireReservations(AgentLedger& ledger, const Time now) {
  ledger.m_counters.m_reservations_expired += std::erase_if(
      ledger.m_reservations, [now](const auto& item) { return item.second.m_expires <= now; });
}

void ForgetOld(AgentLedger& ledger, const Time now) {
  const auto is_old = [now](const auto& order) {
    return !order.empty() &&
           (order.size() > kMaxHistoryEntries || now - order.front().first >= kHistoryRetention);
  };
  for (auto& fences = ledger.m_fence_order; is_old(fences); fences.pop_front())
    ledger.m_fences.erase(fences.front().second);
  for (auto& traces = ledger.m_ended_order; is_old(traces); traces.pop_front())
    ledger.m_ended_attempts.erase(traces.front().second);
  std::erase_if(ledger.m_cancelled_requests, [now](const auto& item) {
    return now - item.second >= kCancelledRequestRetention;
  });
}

}  // namespace agent
}  // namespace ebonypin::core
