/// Drives an agent's ledger: passes calls, heartbeat replies, worker events and time to it, and
/// carries out the resulting actions.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "../event_thread.h"
#include "ebonypin/core/agent_ledger.h"
#include "ebonypin/platform/worker_client.h"
#include "ebonypin/wire/rpc.h"
#include "entry_book.h"

namespace ebonypin::daemon {

struct AgentDriverOptions {
  core::AgentOptions m_agent;
  std::vector<std::string> m_seeds;
};

/// Calls arrive on the RPC thread, and outcomes of calls to the worker are posted to the event
/// thread. One lock guards the ledger. Nothing is sent while it is held.
class AgentDriver {
 public:
  /// `events` must be stopped before the driver is destroyed.
  AgentDriver(AgentDriverOptions options, std::shared_ptr<EventThread> events,
              std::unique_ptr<platform::Worker> worker);

  /// Sets the RPC for outgoing calls. Call it before Start. `rpc` may call this object back until
  /// it is destroyed.
  void SetRpc(wire::Rpc& rpc) noexcept { m_rpc = &rpc; }

  /// Requests the list of tasks from the worker. Heartbeats begin once it has answered.
  void Start();

  /// Serves a call of an entry.
  void Serve(const core::Message& message, wire::ReplyFunction reply);

  /// Begins a planned stop.
  void BeginStop();

  /// Returns whether the planned stop has nothing left to finish, the entries have been informed,
  /// and the last reply had time to be sent.
  [[nodiscard]] bool IsStopped() const;

  [[nodiscard]] core::AgentCounters Counters() const;
  [[nodiscard]] core::AgentLoad Load() const;

 private:
  /// Runs `event` on the ledger under the lock, then carries out its actions.
  template <typename F>
  void Handle(F event);

  void Perform(const core::AgentActions& actions);
  void Reply(core::ReplyToCall reply);
  void Serve(const core::CallEndpoint& call);
  void StartAtWorker(const core::StartTask& start);
  void Throttle(const core::ThrottleTask& throttle);
  void Stop(const core::StopTask& stop);
  void Report(core::SendReport send);
  void Renew(const std::vector<core::RenewTask>& renewals);

  void Schedule(core::Time next);
  void Tick();
  void SendHeartbeats();
  void OnHeartbeatReply(const std::string& from, core::Time sent_at,
                        const core::HeartbeatReply& reply);

  void ListTasks();
  void OnTasksListed(core::Time sent_at, const core::Captured<platform::WorkerTasks>& tasks);
  void PollEvents();
  void OnEvents(const core::Captured<platform::WorkerEvents>& events);
  void RequestUsage();
  void LogSuspensions();

  /// Returns a function that runs `function` with the outcome on the event thread.
  template <typename T, typename F>
  platform::WorkerDone<T> OnEventThread(F function);

  const std::shared_ptr<EventThread> m_events;
  const std::unique_ptr<platform::Worker> m_worker;
  wire::Rpc* m_rpc = nullptr;

  mutable std::mutex m_mutex;
  core::AgentLedger m_ledger;
  EntryBook m_book;
  std::map<core::CallId, wire::ReplyFunction> m_replies;
  core::CallId m_last_call = 0;
  core::Time m_next_tick = core::Time::max();
  std::uint64_t m_boot = 0;
  core::Time m_stop_began;
  core::Time m_last_reply;
  std::vector<core::EntryInfo> m_sent_homes;
  std::uint64_t m_heartbeat_rounds = 0;
  /// An entry has answered a heartbeat sent after the stop began.
  bool m_stop_acknowledged = false;

  // Used on the event thread only.
  platform::WorkerPosition m_position;
  bool m_listing = false;
  bool m_worker_silent = false;
  std::uint64_t m_suspensions_logged = 0;
};

template <typename F>
void AgentDriver::Handle(F event) {
  core::AgentActions actions;
  core::Time next;
  {
    const std::lock_guard lock(m_mutex);
    const auto now = Now();
    actions = event(m_ledger, now);
    next = core::NextTick(m_ledger, now);
  }
  Perform(actions);
  Schedule(next);
}

template <typename T, typename F>
platform::WorkerDone<T> AgentDriver::OnEventThread(F function) {
  // The outcome may arrive after this object is gone; the event thread has been stopped by then.
  return [events = m_events, function = std::move(function)](core::Captured<T> outcome) {
    events->Post(
        [function, outcome = std::move(outcome)]() mutable { function(std::move(outcome)); });
  };
}

}  // namespace ebonypin::daemon
