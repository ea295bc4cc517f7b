/// Forwards callers' job calls to the coordinator, in this process or through RPC.
#pragma once

#include <memory>
#include <set>
#include <string>

#include "coordinator_service.h"

namespace ebonypin::daemon {

struct CallRouterOptions {
  /// Longest time for which a call is retried; outlasts a takeover from a coordinator that stopped
  /// as planned. A caller with a shorter deadline gets its answer before that deadline.
  core::Duration m_budget = std::chrono::milliseconds{1500};
  /// Timeout of one attempt.
  core::Duration m_attempt_timeout = std::chrono::milliseconds{800};
  /// Retry-After when no coordinator was found; a takeover takes about 2 s.
  core::Duration m_retry_after = std::chrono::seconds{1};
  /// Delay before the next attempt.
  core::Duration m_retry_delay = std::chrono::milliseconds{120};
  /// Calls are held while the store is unavailable: `m_wait` of a call says for how long.
  bool m_holds = false;
};

/// Sends job calls to the current coordinator and retries them. Runs on the event thread.
class CallRouter {
 public:
  CallRouter(std::shared_ptr<EventThread> events, wire::Rpc& rpc, CoordinatorService& coordinator,
             CallRouterOptions options = {});

  /// Calls `done` once, within the shorter of `budget` and the router's own budget, or soon after
  /// `m_wait` of the call if that is longer and calls are held; then it is not called without an
  /// answer before `m_wait` has passed, unless the coordinator gives the call up for another one.
  /// The status is never kNotCoordinator. Without an answer of a coordinator it is kUnknown, also
  /// for a submission that was not sent: an earlier call for the job may have been accepted through
  /// another entry.
  void Call(core::fleet::JobCall call, core::Duration budget, JobCallDone done);

  /// Answers all calls that are still open, for a process that ends. `reason` is for logs.
  void GiveUpAll(const std::string& reason);

 private:
  struct PendingCall;

  void Attempt(const std::shared_ptr<PendingCall>& pending);
  /// Repeats the calls that wait for an answer of an entry that is no longer the coordinator. It
  /// may be frozen or cut off, and they would wait for it as long as it may hold them.
  void AskNewCoordinator();
  /// Handles the reply to the attempt with this number. Replies to earlier ones are ignored.
  void OnReply(const std::shared_ptr<PendingCall>& pending, std::uint64_t attempt,
               const core::fleet::JobCallReply& reply);
  /// Answers a call without a final reply: its outcome is unknown.
  void GiveUp(const std::shared_ptr<PendingCall>& pending, core::fleet::JobCallReply last);
  void Finish(const std::shared_ptr<PendingCall>& pending, const core::fleet::JobCallReply& reply);

  const std::shared_ptr<EventThread> m_events;
  wire::Rpc& m_rpc;
  CoordinatorService& m_coordinator;
  const CallRouterOptions m_options;
  std::set<std::shared_ptr<PendingCall>> m_open;
};

}  // namespace ebonypin::daemon
