#include "ebonypin/core/dispatch.h"

#include <algorithm>

#include "ebonypin/core/admission.h"

namespace ebonypin::core {
namespace {

using std::chrono_literals::operator""s;

/// Fewest latency samples of a class before its requests are hedged.
constexpr std::uint64_t kMinHedgeSamples = 20;
/// Smallest weight of a new sample in the moving means of latency and deviation.
constexpr double kLatencyGain = 0.05;
/// The mean plus this many mean absolute deviations is about the 95th percentile of a skewed
/// distribution.
constexpr double kHedgeDeviations = 4.0;

/// One event being handled: the state it changes and the actions it returns.
struct Transition {
  DispatchState& m_state;
  const DispatchContext& m_context;
  DispatchActions m_actions{};
};

void SetWake(Transition& transition, const Ticket ticket, DispatchRequest& request) {
  Time wake = request.m_deadline;
  if (request.m_retry_at) wake = std::min(wake, *request.m_retry_at);
  if (request.m_hedge_at) wake = std::min(wake, *request.m_hedge_at);
  if (wake == request.m_wake) return;
  transition.m_state.m_wakes.erase({request.m_wake, ticket});
  request.m_wake = wake;
  transition.m_state.m_wakes.insert({wake, ticket});
}

/// Schedules a tick at the earliest wake unless one is already scheduled by then. Returns the
/// actions of the event.
DispatchActions Finish(Transition& transition) {
  DispatchState& state = transition.m_state;
  if (!state.m_wakes.empty()) {
    const Time first = state.m_wakes.begin()->first;
    if (!state.m_next_tick || *state.m_next_tick > first) {
      state.m_next_tick = first;
      transition.m_actions.emplace_back(ScheduleTick{.m_at = first});
    }
  }
  return std::move(transition.m_actions);
}

/// Answers the caller, cancels the other open tries and removes the request.
void AnswerAndRemove(Transition& transition, const Ticket ticket, Answer answer,
                     const std::uint64_t answered_try = 0) {
  const auto found = transition.m_state.m_requests.find(ticket);
  DispatchRequest& request = found->second;
  answer.m_request = request.m_request.m_id;
  for (const DispatchTry& other : request.m_tries) {
    transition.m_state.m_tries.erase(other.m_try);
    if (!other.m_open) continue;
    CountEnded(transition.m_context.m_fleet, other.m_agent, other.m_incarnation);
    if (other.m_try == answered_try) continue;
    transition.m_actions.emplace_back(
        SendCancel{.m_agent = other.m_agent,
                   .m_rpc_address = other.m_rpc_address,
                   .m_cancel = {.m_request = request.m_request.m_id}});
  }
  transition.m_actions.emplace_back(
      AnswerCaller{.m_ticket = ticket, .m_answer = std::move(answer)});
  transition.m_state.m_wakes.erase({request.m_wake, ticket});
  transition.m_state.m_requests.erase(found);
}

/// Answers the request with `error`: kNotRun when no try can have run, else kUnknown.
void GiveUp(Transition& transition, const Ticket ticket, Error error) {
  const bool may_have_run = !transition.m_state.m_requests.at(ticket).m_tries.empty();
  AnswerAndRemove(transition, ticket,
                  {.m_kind = may_have_run ? AnswerKind::kUnknown : AnswerKind::kNotRun,
                   .m_error = std::move(error)});
}

/// Records the outcome of a try for ejection.
void ReportOutcome(const DispatchContext& context, const AgentId& agent, const bool good) {
  if (context.m_ejection == nullptr) return;
  (void)RecordOutcome(*context.m_ejection, context.m_fleet, context.m_options.m_ejection, agent,
                      good, context.m_now);
}

/// Returns the time from `now` to the latest start that still meets the target and the deadline.
Duration StartWithin(const DispatchRequest& request, const Time now) {
  const Duration elapsed = std::chrono::duration_cast<Duration>(now - request.m_arrived);
  Duration left = std::chrono::duration_cast<Duration>(request.m_deadline - now);
  const Target& target = request.m_target;
  if (target.m_start_within) left = std::min(left, *target.m_start_within - elapsed);
  if (target.m_finish_within) left = std::min(left, *target.m_finish_within - elapsed);
  return std::max(left, Duration{0});
}

/// Returns a refusal when `agent`, the best one found, is predicted to start the work too late. The
/// agent itself predicts more precisely, but a refusal here saves the call.
std::optional<Error> RefuseLate(const DispatchContext& context, const DispatchRequest& request,
                                const AgentView& agent) {
  if (!context.m_options.m_admission) return std::nullopt;
  // The report counts slots of batch work as busy although the agent can reclaim them. Only a queue
  // at the agent shows that all slots are in use by short work.
  if (agent.m_load.m_queued == 0 || agent.m_slots == 0) return std::nullopt;
  const std::uint32_t outstanding = Outstanding(agent);
  const std::uint32_t queued = outstanding > agent.m_slots ? outstanding - agent.m_slots : 0;
  // The reported latency includes the wait in the reported queue.
  const double turns = 1.0 + static_cast<double>(agent.m_load.m_queued) / agent.m_slots;
  const Duration wait = PredictWait(
      {.m_slots = agent.m_slots,
       .m_busy = agent.m_slots,
       .m_queued = queued,
       .m_run = Duration{static_cast<std::int64_t>(agent.m_load.m_latency_us / turns)}});
  return CheckAdmission(
      {.m_wait = wait,
       .m_elapsed = std::chrono::duration_cast<Duration>(context.m_now - request.m_arrived),
       .m_target = {.m_start_within = request.m_target.m_start_within,
                    .m_finish_within = request.m_target.m_finish_within},
       .m_deadline = std::chrono::duration_cast<Duration>(request.m_deadline - request.m_arrived)});
}

/// Sends the request to an agent. Returns false and sets `error` when no agent can be tried now.
bool SendTry(Transition& transition, const Ticket ticket, DispatchRequest& request, Error& error) {
  const DispatchContext& context = transition.m_context;
  const Placement placement =
      PlaceWork(context.m_fleet, context.m_options.m_placement,
                {.m_size = request.m_request.m_size, .m_avoid = request.m_tried}, context.m_random);
  if (!placement.m_agent) {
    error = placement.m_error;
    return false;
  }
  const AgentView& agent = context.m_fleet.m_agents[*placement.m_agent];
  if (auto refusal = RefuseLate(context, request, agent)) {
    error = std::move(*refusal);
    return false;
  }
  const std::uint64_t number = ++transition.m_state.m_last_try;
  const Duration left = std::chrono::duration_cast<Duration>(request.m_deadline - context.m_now);
  request.m_tries.push_back({.m_try = number,
                             .m_agent = agent.m_agent,
                             .m_incarnation = agent.m_incarnation,
                             .m_rpc_address = agent.m_rpc_address,
                             .m_sent = context.m_now});
  request.m_tried.push_back(agent.m_agent);
  ++request.m_tries_started;
  transition.m_state.m_tries.emplace(number, ticket);
  ++transition.m_state.m_counters.m_tries;
  transition.m_actions.emplace_back(
      SendRun{.m_agent = agent.m_agent,
              .m_rpc_address = agent.m_rpc_address,
              .m_run = {.m_request = request.m_request.m_id,
                        .m_try = number,
                        .m_incarnation = agent.m_incarnation,
                        .m_class = request.m_request.m_class,
                        .m_size = request.m_request.m_size,
                        .m_expected_run = request.m_request.m_declared_run,
                        .m_start_within = StartWithin(request, context.m_now),
                        .m_time_left = left,
                        .m_payload = request.m_request.m_payload},
              .m_timeout = left});
  CountSent(context.m_fleet, *placement.m_agent, request.m_request.m_size);
  if (context.m_ejection != nullptr) {
    RecordSent(*context.m_ejection, context.m_fleet, context.m_options.m_ejection,
               request.m_tries.back().m_agent, context.m_now);
  }
  const DispatchClass& class_state = transition.m_state.m_classes[request.m_request.m_class];
  request.m_hedge_at.reset();
  if (context.m_options.m_hedge && request.m_idempotent && !request.m_hedged &&
      class_state.m_samples >= kMinHedgeSamples) {
    const Duration wait{static_cast<std::int64_t>(class_state.m_latency_us +
                                                  kHedgeDeviations * class_state.m_deviation_us)};
    request.m_hedge_at = context.m_now + std::max(wait, context.m_options.m_min_hedge_wait);
  }
  return true;
}

/// Schedules another try after a backoff, or gives up when the tries are used up or the deadline
/// would pass.
void RetryOrGiveUp(Transition& transition, const Ticket ticket, DispatchRequest& request) {
  const DispatchContext& context = transition.m_context;
  if (request.m_tries_started >= context.m_options.m_max_tries) {
    GiveUp(transition, ticket, request.m_last_error);
    return;
  }
  const Duration wait =
      BackoffBefore(request.m_tries_started, context.m_options.m_backoff, context.m_random);
  if (context.m_now + wait >= request.m_deadline) {
    GiveUp(transition, ticket, request.m_last_error);
    return;
  }
  ++transition.m_state.m_counters.m_retries;
  request.m_retry_at = context.m_now + wait;
  SetWake(transition, ticket, request);
}

/// Returns whether another agent may accept a request that was refused with `kind`.
bool MayRetryElsewhere(const ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalidRequest:
    case ErrorKind::kUnknownClass:
    case ErrorKind::kTooLarge:
    case ErrorKind::kBadMessage:
    case ErrorKind::kQuotaExceeded:
      return false;
    default:
      return true;
  }
}

bool HasOpenTry(const DispatchRequest& request) {
  return std::any_of(request.m_tries.begin(), request.m_tries.end(),
                     [](const DispatchTry& one) { return one.m_open; });
}

/// Handles a try that was not run: removes it, and tries another agent unless another try is open
/// or scheduled.
void HandleNotRun(Transition& transition, const Ticket ticket, const std::uint64_t number,
                  Error error) {
  DispatchRequest& request = transition.m_state.m_requests.at(ticket);
  std::erase_if(request.m_tries, [number](const DispatchTry& one) { return one.m_try == number; });
  transition.m_state.m_tries.erase(number);
  request.m_last_error = std::move(error);
  if (HasOpenTry(request) || request.m_retry_at) return;
  if (!MayRetryElsewhere(request.m_last_error.m_kind)) {
    GiveUp(transition, ticket, request.m_last_error);
    return;
  }
  RetryOrGiveUp(transition, ticket, request);
}

/// Handles a try that may have run: only idempotent work within its retry budget is tried again.
void HandleUnknownOutcome(Transition& transition, const Ticket ticket, Error error) {
  DispatchRequest& request = transition.m_state.m_requests.at(ticket);
  request.m_last_error = std::move(error);
  if (HasOpenTry(request) || request.m_retry_at) return;
  DispatchClass& class_state = transition.m_state.m_classes[request.m_request.m_class];
  if (!request.m_idempotent ||
      !TakeTry(class_state.m_retries, transition.m_context.m_options.m_retries)) {
    GiveUp(transition, ticket, request.m_last_error);
    return;
  }
  RetryOrGiveUp(transition, ticket, request);
}

void LearnLatency(DispatchClass& class_state, const Duration latency) {
  const auto sample = static_cast<double>(latency.count());
  ++class_state.m_samples;
  const double gain = std::max(kLatencyGain, 1.0 / static_cast<double>(class_state.m_samples));
  class_state.m_deviation_us +=
      gain * (std::abs(sample - class_state.m_latency_us) - class_state.m_deviation_us);
  class_state.m_latency_us += gain * (sample - class_state.m_latency_us);
}

void Hedge(Transition& transition, const Ticket ticket, DispatchRequest& request) {
  request.m_hedge_at.reset();
  DispatchClass& class_state = transition.m_state.m_classes[request.m_request.m_class];
  if (request.m_tries_started >= transition.m_context.m_options.m_max_tries ||
      !TakeTry(class_state.m_hedges, transition.m_context.m_options.m_hedges)) {
    return;
  }
  request.m_hedged = true;
  Error ignored;
  if (SendTry(transition, ticket, request, ignored)) ++transition.m_state.m_counters.m_hedges;
}

void Retry(Transition& transition, const Ticket ticket, DispatchRequest& request) {
  request.m_retry_at.reset();
  Error error;
  if (!SendTry(transition, ticket, request, error)) {
    // The last error of an agent that was tried is more specific than "no further agent".
    GiveUp(transition, ticket, request.m_tried.empty() ? error : request.m_last_error);
  }
}

}  // namespace

DispatchActions OnRequest(DispatchState& state, const DispatchContext& context, const Ticket ticket,
                          const WorkRequest& request, const ClassSpec& spec) {
  Transition transition{.m_state = state, .m_context = context};
  const Duration deadline = request.m_deadline.value_or(context.m_options.m_default_deadline);
  auto& pending = state.m_requests[ticket];
  pending = {.m_request = request,
             .m_target = spec.m_target,
             .m_idempotent = !spec.m_non_idempotent && !request.m_non_idempotent,
             .m_arrived = context.m_now,
             .m_deadline = context.m_now + deadline};
  CreditTry(state.m_classes[request.m_class].m_retries, context.m_options.m_retries);
  CreditTry(state.m_classes[request.m_class].m_hedges, context.m_options.m_hedges);
  Error error;
  if (deadline <= Duration{0}) {
    GiveUp(transition, ticket,
           {.m_kind = ErrorKind::kDeadlineTooShort,
            .m_message = "the deadline has passed; send a larger deadline_ms"});
  } else if (!SendTry(transition, ticket, pending, error)) {
    GiveUp(transition, ticket, std::move(error));
  } else {
    SetWake(transition, ticket, pending);
  }
  return Finish(transition);
}

DispatchActions OnRunReply(DispatchState& state, const DispatchContext& context,
                           const AgentId& agent, const RunReply& reply) {
  Transition transition{.m_state = state, .m_context = context};
  ObserveLoad(context.m_fleet, agent, reply.m_load, context.m_now);
  const auto found = state.m_tries.find(reply.m_try);
  if (found == state.m_tries.end()) {
    ++state.m_counters.m_late_replies;
    return Finish(transition);
  }
  const Ticket ticket = found->second;
  DispatchRequest& request = state.m_requests.at(ticket);
  const auto current =
      std::find_if(request.m_tries.begin(), request.m_tries.end(),
                   [&reply](const DispatchTry& one) { return one.m_try == reply.m_try; });
  if (reply.m_request != request.m_request.m_id || current->m_agent != agent) {
    ++state.m_counters.m_damaged_replies;
    return Finish(transition);
  }
  const bool was_open = current->m_open;
  if (reply.m_kind != AnswerKind::kNotRun) {
    ReportOutcome(context, agent, reply.m_kind == AnswerKind::kDone);
  } else if (context.m_ejection != nullptr) {
    RecordNotRun(*context.m_ejection, context.m_fleet, agent);
  }
  if (!was_open) ++state.m_counters.m_late_replies;
  if (reply.m_kind == AnswerKind::kDone) {
    if (StableHash(reply.m_result) == reply.m_result_hash) {
      if (was_open && request.m_tries_started == 1) {
        LearnLatency(state.m_classes[request.m_request.m_class],
                     std::chrono::duration_cast<Duration>(context.m_now - current->m_sent));
      }
      AnswerAndRemove(transition, ticket, {.m_kind = AnswerKind::kDone, .m_result = reply.m_result},
                      reply.m_try);
      return Finish(transition);
    }
    ++state.m_counters.m_damaged_replies;
  }
  if (was_open) CountEnded(context.m_fleet, agent, current->m_incarnation);
  current->m_open = false;
  if (reply.m_kind == AnswerKind::kNotRun) {
    HandleNotRun(transition, ticket, reply.m_try, reply.m_error);
  } else if (reply.m_kind == AnswerKind::kDone) {
    HandleUnknownOutcome(
        transition, ticket,
        {.m_kind = ErrorKind::kBadMessage,
         .m_message = "the result does not match its hash; send idempotent work again"});
  } else {
    HandleUnknownOutcome(transition, ticket, reply.m_error);
  }
  return Finish(transition);
}

DispatchActions OnCallFailed(DispatchState& state, const DispatchContext& context,
                             const std::uint64_t failed_try, const CallFailure failure) {
  Transition transition{.m_state = state, .m_context = context};
  const auto found = state.m_tries.find(failed_try);
  if (found == state.m_tries.end()) return Finish(transition);
  const Ticket ticket = found->second;
  DispatchRequest& request = state.m_requests.at(ticket);
  const auto current =
      std::find_if(request.m_tries.begin(), request.m_tries.end(),
                   [failed_try](const DispatchTry& one) { return one.m_try == failed_try; });
  if (!current->m_open) return Finish(transition);
  current->m_open = false;
  CountEnded(context.m_fleet, current->m_agent, current->m_incarnation);
  if (failure == CallFailure::kNotSent) {
    if (context.m_ejection != nullptr) {
      RecordNotRun(*context.m_ejection, context.m_fleet, current->m_agent);
    }
    SuspectAgent(context.m_fleet, current->m_agent);
    HandleNotRun(transition, ticket, failed_try,
                 {.m_kind = ErrorKind::kNoCapacity,
                  .m_message = "the worker could not be reached; retry in a second",
                  .m_retry_after = 1s});
  } else if (failure == CallFailure::kDisconnected) {
    ReportOutcome(context, current->m_agent, false);
    SuspectAgent(context.m_fleet, current->m_agent);
    HandleUnknownOutcome(
        transition, ticket,
        {.m_kind = ErrorKind::kDisconnected,
         .m_message = "the connection to the worker was lost and the work may have run; "
                      "send idempotent work again"});
  } else {
    ReportOutcome(context, current->m_agent, false);
    HandleUnknownOutcome(
        transition, ticket,
        {.m_kind = ErrorKind::kTimeout,
         .m_message = "the worker did not answer in time and the work may have run; "
                      "send idempotent work again"});
  }
  return Finish(transition);
}

DispatchActions OnTick(DispatchState& state, const DispatchContext& context) {
  Transition transition{.m_state = state, .m_context = context};
  // A tick before the scheduled time schedules no further one. Otherwise each tick that was
  // superseded by an earlier one would start a second chain of ticks.
  if (state.m_next_tick && *state.m_next_tick <= context.m_now) state.m_next_tick.reset();
  while (!state.m_wakes.empty() && state.m_wakes.begin()->first <= context.m_now) {
    const Ticket ticket = state.m_wakes.begin()->second;
    DispatchRequest& request = state.m_requests.at(ticket);
    if (request.m_deadline <= context.m_now) {
      GiveUp(transition, ticket,
             {.m_kind = ErrorKind::kTimeout,
              .m_message = "no answer within the deadline; send a larger deadline_ms"});
      continue;
    }
    if (request.m_retry_at && *request.m_retry_at <= context.m_now) {
      Retry(transition, ticket, request);
      if (!state.m_requests.contains(ticket)) continue;
    }
    if (request.m_hedge_at && *request.m_hedge_at <= context.m_now)
      Hedge(transition, ticket, request);
    SetWake(transition, ticket, request);
  }
  return Finish(transition);
}

DispatchActions OnCancel(DispatchState& state, const DispatchContext& context,
                         const Ticket ticket) {
  Transition transition{.m_state = state, .m_context = context};
  if (state.m_requests.contains(ticket)) {
    GiveUp(transition, ticket,
           {.m_kind = ErrorKind::kCancelled, .m_message = "the caller cancelled the request"});
  }
  return Finish(transition);
}

}  // namespace ebonypin::core
