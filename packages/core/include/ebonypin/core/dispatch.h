/// State machine of the synchronous requests of one entry.
///
/// The driver calls one function per kind of event and carries out the returned actions in order.
/// Each request has a ticket, chosen by the driver and unique within the entry, because request ids
/// come from callers and may repeat. Each try has a number that is unique within the entry. Replies
/// are matched by request id and try number.
///
/// Example:
///
///     DispatchState state;
///     const DispatchContext context{fleet, options, now, random};
///     for (auto& action : OnRequest(state, context, ticket, request, spec)) CarryOut(action);
#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "ebonypin/core/class_spec.h"
#include "ebonypin/core/ejection.h"
#include "ebonypin/core/fleet_view.h"
#include "ebonypin/core/placement.h"
#include "ebonypin/core/retry_budget.h"

namespace ebonypin::core {

/// Identifies a request within one entry.
using Ticket = std::uint64_t;

struct DispatchOptions {
  PlacementOptions m_placement;
  RetryBudgetOptions m_retries{.m_ratio = 0.1, .m_capacity = 10.0};
  RetryBudgetOptions m_hedges{.m_ratio = 0.05, .m_capacity = 5.0};
  BackoffOptions m_backoff;
  EjectionOptions m_ejection;
  std::uint32_t m_max_tries = 4;
  Duration m_default_deadline = std::chrono::seconds{10};
  /// Shortest wait before a hedge. An earlier hedge costs more than it saves.
  Duration m_min_hedge_wait = std::chrono::milliseconds{20};
  bool m_hedge = true;
  /// Refuses requests at the entry when the best agent is predicted to start them too late.
  bool m_admission = true;
};

/// Why a call to an agent ended without a reply.
enum class CallFailure : std::uint8_t {
  kNotSent,       ///< The request was not sent, so it was not run.
  kTimeout,       ///< No reply within the call's deadline; the request may have run.
  kDisconnected,  ///< The connection was lost after sending; the request may have run.
};

/// Calls the agent. The driver calls OnRunReply or OnCallFailed exactly once for each SendRun, and
/// OnRunReply once more when a reply arrives after the call failed.
struct SendRun {
  AgentId m_agent;
  std::string m_rpc_address;
  RunRequest m_run;
  Duration m_timeout{};  ///< Deadline of the call.
};

/// Tells the agent to drop the request; its reply is not needed.
struct SendCancel {
  AgentId m_agent;
  std::string m_rpc_address;
  CancelRequest m_cancel;
};

/// Answers the caller. Sent exactly once for each ticket.
struct AnswerCaller {
  Ticket m_ticket = 0;
  Answer m_answer;
};

/// Schedules a call of OnTick at `m_at` or shortly after. Additional calls are harmless.
struct ScheduleTick {
  Time m_at{};
};

using DispatchAction = std::variant<SendRun, SendCancel, AnswerCaller, ScheduleTick>;
using DispatchActions = std::vector<DispatchAction>;

/// One try of a request at an agent.
struct DispatchTry {
  std::uint64_t m_try = 0;
  AgentId m_agent;
  Incarnation m_incarnation = 0;
  std::string m_rpc_address;
  Time m_sent{};
  bool m_open = true;  ///< False after the call failed; the try may still run at the agent.
};

/// A request that is not answered yet.
struct DispatchRequest {
  WorkRequest m_request;
  Target m_target;
  bool m_idempotent = true;
  Time m_arrived{};
  Time m_deadline{};
  std::vector<DispatchTry> m_tries;  ///< Tries that may have run or may still run.
  std::vector<AgentId> m_tried;      ///< Agents that were tried and are not tried again.
  std::uint32_t m_tries_started = 0;
  bool m_hedged = false;
  std::optional<Time> m_retry_at;
  std::optional<Time> m_hedge_at;
  Error m_last_error;
  Time m_wake{};  ///< Time under which the request is listed in `DispatchState::m_wakes`.
};

/// State of a class that is kept between its requests.
struct DispatchClass {
  RetryBudget m_retries;
  RetryBudget m_hedges;
  double m_latency_us = 0.0;    ///< Moving mean of the latency of first tries.
  double m_deviation_us = 0.0;  ///< Moving mean of the absolute deviation.
  std::uint64_t m_samples = 0;
};

struct DispatchCounters {
  std::uint64_t m_tries = 0;
  std::uint64_t m_retries = 0;
  std::uint64_t m_hedges = 0;
  std::uint64_t m_late_replies = 0;  ///< Replies to tries that are unknown or no longer open.
  std::uint64_t m_damaged_replies = 0;
};

struct DispatchState {
  std::unordered_map<Ticket, DispatchRequest> m_requests;
  std::unordered_map<std::uint64_t, Ticket> m_tries;  ///< Tries of unanswered requests.
  std::set<std::pair<Time, Ticket>> m_wakes;  ///< Next deadline, retry or hedge of each request.
  std::unordered_map<ClassName, DispatchClass> m_classes;
  std::uint64_t m_last_try = 0;
  std::optional<Time> m_next_tick;  ///< Time of the earliest tick that is scheduled.
  DispatchCounters m_counters;
};

/// Inputs of every event function, provided by the driver.
struct DispatchContext {
  FleetView& m_fleet;
  const DispatchOptions& m_options;
  Time m_now;
  std::mt19937_64& m_random;
  /// Records the outcomes of tries; nullptr switches ejection off.
  EjectionState* m_ejection = nullptr;
};

/// Handles the arrival of a caller's request. Its class must be of kind kRequest.
[[nodiscard]] DispatchActions OnRequest(DispatchState& state, const DispatchContext& context,
                                        Ticket ticket, const WorkRequest& request,
                                        const ClassSpec& spec);

/// Handles a reply of `agent`, in time or late.
[[nodiscard]] DispatchActions OnRunReply(DispatchState& state, const DispatchContext& context,
                                         const AgentId& agent, const RunReply& reply);

/// Handles the failure of the call of try number `failed_try`.
[[nodiscard]] DispatchActions OnCallFailed(DispatchState& state, const DispatchContext& context,
                                           std::uint64_t failed_try, CallFailure failure);

/// Handles the deadlines, retries and hedges that are due.
[[nodiscard]] DispatchActions OnTick(DispatchState& state, const DispatchContext& context);

/// Handles a caller that cancelled its request or disconnected.
[[nodiscard]] DispatchActions OnCancel(DispatchState& state, const DispatchContext& context,
                                       Ticket ticket);

}  // namespace ebonypin::core
