/// Agent ledger with a simulated clock, for tests.
#pragma once

#include <algorithm>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "ebonypin/core/agent_ledger.h"

namespace ebonypin::core {

using namespace std::chrono_literals;

/// Returns the actions of type `T`.
template <typename T>
std::vector<T> ActionsOf(const AgentActions& actions) {
  std::vector<T> found;
  for (const auto& action : actions)
    if (const auto* const item = std::get_if<T>(&action)) found.push_back(*item);
  return found;
}

/// Returns the reply of type `T` to `call`; throws when there is none.
template <typename T>
T ReplyTo(const AgentActions& actions, const CallId call) {
  for (const auto& reply : ActionsOf<ReplyToCall>(actions))
    if (reply.m_call == call) return std::get<T>(reply.m_reply);
  throw std::runtime_error("no reply to call " + std::to_string(call));
}

/// Ledger of a ready worker with 8 slots, and helper functions for common events.
struct AgentFixture {
  AgentLedger m_ledger = MakeAgentLedger(
      {.m_agent = {"a"}, .m_incarnation = 5, .m_capacity = {16000, 60000, 2}, .m_slots = 8});
  Time m_now{1000s};
  CallId m_call = 0;

  AgentFixture() { (void)OnTaskList(m_ledger, {}, m_now); }

  AgentActions Send(const Message& message) {
    return OnMessage(m_ledger, ++m_call, message, m_now);
  }

  /// Sends `message` and returns its reply, which must be a T.
  template <typename T>
  T Ask(const Message& message) {
    const auto actions = Send(message);
    return ReplyTo<T>(actions, m_call);
  }

  ReserveReply Reserve(const std::string& job, const Attempt attempt = 1, const Epoch epoch = 1,
                       const Duration run = 60s) {
    return Ask<ReserveReply>(ReserveRequest{.m_job = {job},
                                            .m_attempt = attempt,
                                            .m_epoch = epoch,
                                            .m_incarnation = 5,
                                            .m_size = {1000, 1000, 0},
                                            .m_expected_run = run});
  }

  static StartRequest StartOf(const std::string& job, const std::uint64_t reservation,
                              const bool exclusive = false, const Attempt attempt = 1,
                              const Epoch epoch = 1) {
    return {.m_job = {job},
            .m_attempt = attempt,
            .m_epoch = epoch,
            .m_incarnation = 5,
            .m_reservation = reservation,
            .m_exclusive = exclusive};
  }

  /// Reserves, starts and confirms attempt 1 of `job`.
  void RunJob(const std::string& job, const bool exclusive = false, const Duration run = 60s) {
    const auto reservation = Reserve(job, 1, 1, run);
    (void)Send(StartOf(job, reservation.m_reservation, exclusive));
    (void)SendTaskEvent({.m_kind = TaskEventKind::kStarted, .m_task = {{job}, 1}});
  }

  AgentActions SendTaskEvent(const TaskEvent& event) { return OnTaskEvent(m_ledger, event, m_now); }

  AgentActions Request(const std::string& id, const Duration run, const Duration within) {
    return Send(RunRequest{.m_request = {id},
                           .m_try = 1,
                           .m_class = {"preview"},
                           .m_size = {100, 100, 0},
                           .m_expected_run = run,
                           .m_start_within = within});
  }

  /// Advances the clock by `time`, runs each due tick and returns the actions of all ticks.
  AgentActions Advance(const Duration time) {
    AgentActions all;
    const auto end = m_now + time;
    while (m_now < end) {
      m_now = std::min(end, std::max(NextTick(m_ledger, m_now), m_now + 1ms));
      for (auto& action : OnTick(m_ledger, m_now)) all.push_back(std::move(action));
    }
    return all;
  }

  AgentActions GrantAt(const std::string& job, const Time asked, const Epoch epoch = 1,
                       const bool granted = true) {
    return OnHeartbeatReply(
        m_ledger,
        {.m_grants = {{.m_job = {job}, .m_attempt = 1, .m_epoch = epoch, .m_granted = granted}}},
        "127.0.0.1:1", asked, m_now);
  }

  AgentActions Confirm(const ThrottleTask& throttle) {
    return OnTaskThrottled(m_ledger, throttle.m_task, throttle.m_share, throttle.m_version, m_now);
  }
};

}  // namespace ebonypin::core
