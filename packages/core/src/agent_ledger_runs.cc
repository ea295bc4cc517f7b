/// Synchronous requests: a queue ordered by slack. Requests that would start too late are refused
/// at once.
#include <algorithm>
#include <functional>
#include <queue>
#include <utility>

#include "agent_ledger_internal.h"

namespace ebonypin::core {
namespace {

using namespace std::chrono_literals;

/// Expected run time of a class that has not run yet.
constexpr Duration kDefaultRunTime = 10ms;

/// How long a cancellation that overtook its request is kept; longer than any call lasts.
constexpr Duration kCancelledRequestRetention = 60s;
constexpr std::size_t kMaxCancelledRequests = 4096;

/// Number of recent run times whose median is reported as the load's latency.
constexpr std::size_t kRecentRuns = 32;

/// Weight of a new observation in the moving average of run times.
constexpr double kSmoothingFactor = 0.1;

using SlotTimes = std::priority_queue<Time, std::vector<Time>, std::greater<>>;

Duration ExpectedRun(const AgentLedger& ledger, const RunRequest& request) {
  if (request.m_expected_run > Duration::zero()) return request.m_expected_run;
  const auto learned = ledger.m_run_us.find(request.m_class);
  return learned == ledger.m_run_us.end() ? kDefaultRunTime
                                          : Duration{static_cast<Duration::rep>(learned->second)};
}

/// Returns when each slot that requests may use becomes free. Slots of batch work are left out,
/// because no request waits for them.
SlotTimes FreeTimes(const AgentLedger& ledger, const Time now) {
  SlotTimes times;
  for (const auto& [call, run] : ledger.m_runs) {
    if (!run.m_started) continue;
    const Duration elapsed = now - *run.m_started;
    const Duration left = ExpectedRun(ledger, run.m_request) - elapsed;
    // Run times have a heavy tail: a request that has run longer than expected is expected to take
    // half of its elapsed time more.
    times.push(now + (left > Duration::zero() ? left : elapsed / 2));
  }
  auto held = agent::BatchSlots(ledger);
  for (const auto& [task, attempt] : ledger.m_attempts) {
    if (!attempt.m_preempted || !agent::HoldsSlot(attempt)) continue;
    times.push(now + SlotPlanOptions{}.m_reclaim);
    --held;
  }
  const auto slots = ledger.m_options.m_slots;
  while (times.size() + held < slots) times.push(now);
  return times;
}

/// Takes the slot that becomes free first for `run` and returns the time at which it becomes free.
Time TakeSlot(SlotTimes& times, const Duration run) {
  const auto start = times.top();
  times.pop();
  times.push(start + run);
  return start;
}

/// Returns whether `request` and, with it, all requests already queued would start in time. Sets
/// `predicted` to the start of `request`, or to Time::max() when batch work holds all slots.
bool WouldStartInTime(const AgentLedger& ledger, const RunRequest& request, const Time latest,
                      const Time now, Time& predicted) {
  auto times = FreeTimes(ledger, now);
  predicted = Time::max();
  if (times.empty()) return false;
  bool placed = false;
  bool in_time = true;
  const auto place = [&] {
    placed = true;
    predicted = TakeSlot(times, ExpectedRun(ledger, request));
    in_time = in_time && predicted <= latest;
  };
  for (const auto& [latest_start, call] : ledger.m_queue) {
    if (!placed && latest < latest_start) place();
    const auto start = TakeSlot(times, ExpectedRun(ledger, ledger.m_runs.at(call).m_request));
    // Only requests behind the new one can be delayed by it; RefuseLate handles the others.
    if (placed) in_time = in_time && start <= latest_start;
  }
  if (!placed) place();
  return in_time;
}

void EraseRun(AgentLedger& ledger, const CallId call) {
  const auto found = ledger.m_runs.find(call);
  const auto& run = found->second;
  ledger.m_queue.erase({run.m_latest_start, call});
  const auto [first, last] = ledger.m_calls_of_request.equal_range(run.m_request.m_request);
  const auto entry =
      std::find_if(first, last, [call](const auto& pair) { return pair.second == call; });
  if (entry != last) ledger.m_calls_of_request.erase(entry);
  ledger.m_runs.erase(found);
}

void Refuse(AgentLedger& ledger, const CallId call, const RunRequest& request, Error error,
            AgentActions& out) {
  ++ledger.m_counters.m_runs_refused;
  out.emplace_back(ReplyToCall{call, RunReply{.m_request = request.m_request,
                                              .m_try = request.m_try,
                                              .m_kind = AnswerKind::kNotRun,
                                              .m_error = std::move(error),
                                              .m_load = LoadOf(ledger)}});
}

void RefuseQueued(AgentLedger& ledger, const CallId call, Error error, AgentActions& out) {
  const auto request = ledger.m_runs.at(call).m_request;
  EraseRun(ledger, call);
  Refuse(ledger, call, request, std::move(error), out);
}

Error Overloaded(const Duration wait) {
  return {.m_kind = ErrorKind::kOverloaded,
          .m_message = "the predicted start is too late; try another worker or retry later",
          .m_retry_after = std::clamp<Duration>(wait, 1ms, 10s)};
}

bool IsKnownTry(const AgentLedger& ledger, const RunRequest& request) {
  const auto [first, last] = ledger.m_calls_of_request.equal_range(request.m_request);
  return std::any_of(first, last, [&](const auto& pair) {
    return ledger.m_runs.at(pair.second).m_request.m_try == request.m_try;
  });
}

/// Returns an error when `request` cannot be accepted at any predicted start.
std::optional<Error> CheckRequest(const AgentLedger& ledger, const RunRequest& request) {
  // Incarnation 0 means any: a synchronous request may run at a newer agent of the same worker.
  if (request.m_incarnation != 0 && request.m_incarnation != ledger.m_options.m_incarnation) {
    return Error{.m_kind = ErrorKind::kStaleIncarnation,
                 .m_message = "the agent was replaced; use the incarnation of its heartbeat"};
  }
  if (agent::IsNegative(request.m_size)) {
    return Error{.m_kind = ErrorKind::kInvalidRequest,
                 .m_message = "the size is negative; send sizes of zero or more"};
  }
  if (IsDraining(ledger)) {
    return Error{.m_kind = ErrorKind::kDraining,
                 .m_message = "the worker is draining; try another worker"};
  }
  if (ledger.m_cancelled_requests.contains(request.m_request)) {
    return Error{.m_kind = ErrorKind::kCancelled,
                 .m_message = "the request was cancelled; send a new one if it is still needed"};
  }
  if (!Fits(request.m_size, ledger.m_options.m_capacity - agent::BatchCommitted(ledger))) {
    return Error{.m_kind = ErrorKind::kNoCapacity,
                 .m_message = "batch work holds the capacity; try another worker"};
  }
  if (ledger.m_queue.size() >= ledger.m_options.m_max_queue) {
    return Error{.m_kind = ErrorKind::kOverloaded,
                 .m_message = "the queue is full; try another worker",
                 .m_retry_after = 100ms};
  }
  return std::nullopt;
}

void UpdateRunTime(AgentLedger& ledger, const ClassName& name, const Duration run) {
  const auto micros = std::clamp<Duration::rep>(run.count(), 0, 3'600'000'000);
  const auto [estimate, first] = ledger.m_run_us.try_emplace(name, static_cast<double>(micros));
  if (!first)
    estimate->second += kSmoothingFactor * (static_cast<double>(micros) - estimate->second);
  ledger.m_recent_run_us.push_back(static_cast<std::uint32_t>(micros));
  if (ledger.m_recent_run_us.size() > kRecentRuns) ledger.m_recent_run_us.pop_front();
}

}  // namespace

namespace agent {

void OnRun(AgentLedger& ledger, const CallId call, const RunRequest& request, const Time now,
           AgentActions& out) {
  if (IsKnownTry(ledger, request)) {
    // The reply must not say "not run", because the first copy of the request may run.
    out.emplace_back(ReplyToCall{
        call, RunReply{.m_request = request.m_request,
                       .m_try = request.m_try,
                       .m_kind = AnswerKind::kUnknown,
                       .m_error = {.m_kind = ErrorKind::kStaleAttempt,
                                   .m_message = "this try was already received; wait "
                                                "for its reply or use a new try number"},
                       .m_load = LoadOf(ledger)}});
    return;
  }
  if (auto error = CheckRequest(ledger, request)) {
    Refuse(ledger, call, request, std::move(*error), out);
    return;
  }
  auto within = std::max(request.m_start_within, Duration::zero());
  if (request.m_time_left > Duration::zero()) within = std::min(within, request.m_time_left);
  const auto latest = now + within;
  Time predicted;
  if (!WouldStartInTime(ledger, request, latest, now, predicted)) {
    const auto wait = predicted == Time::max() ? Duration{100ms} : Duration{predicted - now};
    Refuse(ledger, call, request, Overloaded(wait), out);
    return;
  }
  ledger.m_runs.emplace(
      call, LedgerRun{.m_request = request, .m_arrived = now, .m_latest_start = latest});
  ledger.m_queue.emplace(latest, call);
  ledger.m_calls_of_request.emplace(request.m_request, call);
  StartQueued(ledger, now, out);
  RefuseLate(ledger, now, out);
  PlanBatch(ledger, now, out);
}

void StartQueued(AgentLedger& ledger, const Time now, AgentActions& out) {
  auto free = ledger.m_options.m_capacity - CommittedResources(ledger);
  auto next = ledger.m_queue.begin();
  while (next != ledger.m_queue.end() && SlotsBusy(ledger) < ledger.m_options.m_slots) {
    const auto call = next->second;
    auto& run = ledger.m_runs.at(call);
    if (run.m_latest_start < now || !Fits(run.m_request.m_size, free)) {
      ++next;
      continue;
    }
    free = free - run.m_request.m_size;
    run.m_started = now;
    next = ledger.m_queue.erase(next);
    const Duration waited = now - run.m_arrived;
    out.emplace_back(CallEndpoint{
        .m_call = call,
        .m_request = run.m_request.m_request,
        .m_class = run.m_request.m_class,
        .m_time_left = run.m_request.m_time_left > Duration::zero()
                           ? std::max<Duration>(run.m_request.m_time_left - waited, 1ms)
                           : Duration::zero(),
        .m_payload = std::exchange(run.m_request.m_payload, {})});
  }
  const auto busy = RunsCommitted(ledger);
  auto& peak = ledger.m_request_peak;
  peak = {.m_cpu_millis = std::max(peak.m_cpu_millis, busy.m_cpu_millis),
          .m_memory_mb = std::max(peak.m_memory_mb, busy.m_memory_mb),
          .m_accelerators = std::max(peak.m_accelerators, busy.m_accelerators)};
}

void RefuseLate(AgentLedger& ledger, const Time now, AgentActions& out) {
  if (ledger.m_queue.empty()) return;
  auto times = FreeTimes(ledger, now);
  std::vector<std::pair<CallId, Duration>> late;
  for (const auto& [latest_start, call] : ledger.m_queue) {
    if (latest_start < now || times.empty() || times.top() > latest_start) {
      late.emplace_back(call, times.empty() ? Duration{100ms} : Duration{times.top() - now});
    } else {
      TakeSlot(times, ExpectedRun(ledger, ledger.m_runs.at(call).m_request));
    }
  }
  for (const auto& [call, wait] : late) RefuseQueued(ledger, call, Overloaded(wait), out);
}

void CancelRun(AgentLedger& ledger, const CallId call, const CancelRequest& request, const Time now,
               AgentActions& out) {
  ++ledger.m_counters.m_cancelled;
  const auto [first, last] = ledger.m_calls_of_request.equal_range(request.m_request);
  std::vector<CallId> queued;
  bool stopped = true;
  for (auto entry = first; entry != last; ++entry) {
    if (ledger.m_runs.at(entry->second).m_started) {
      stopped = false;
    } else {
      queued.push_back(entry->second);
    }
  }
  for (const auto id : queued) {
    RefuseQueued(ledger, id,
                 {.m_kind = ErrorKind::kCancelled,
                  .m_message = "the request was cancelled; send a new one if it is still needed"},
                 out);
  }
  // The request may still be on its way to this agent.
  if (ledger.m_cancelled_requests.size() < kMaxCancelledRequests) {
    ledger.m_cancelled_requests[request.m_request] = now;
  } else {
    stopped = false;
  }
  out.emplace_back(ReplyToCall{call, CancelReply{.m_stopped = stopped}});
}

}  // namespace agent

AgentActions OnRunEnded(AgentLedger& ledger, const CallId call, RunEnd end, const Time now) {
  AgentActions out;
  const auto found = ledger.m_runs.find(call);
  if (found == ledger.m_runs.end() || !found->second.m_started) return out;
  const auto run = found->second;
  EraseRun(ledger, call);
  if (end.m_kind == AnswerKind::kDone) {
    ++ledger.m_counters.m_runs_done;
    UpdateRunTime(ledger, run.m_request.m_class, now - *run.m_started);
  } else {
    ++(end.m_kind == AnswerKind::kNotRun ? ledger.m_counters.m_runs_refused
                                         : ledger.m_counters.m_runs_unknown);
  }
  RunReply reply{.m_request = run.m_request.m_request,
                 .m_try = run.m_request.m_try,
                 .m_kind = end.m_kind,
                 .m_error = std::move(end.m_error),
                 .m_result = std::move(end.m_result),
                 .m_load = LoadOf(ledger)};
  reply.m_result_hash = StableHash(reply.m_result);
  out.emplace_back(ReplyToCall{call, std::move(reply)});
  agent::StartQueued(ledger, now, out);
  agent::RefuseLate(ledger, now, out);
  agent::PlanBatch(ledger, now, out);
  return out;
}

}  // namespace ebonypin::core
