/// Runs synchronous requests by means of core/dispatch.h, in shards that each have their own lock
/// and view of the agents.
#pragma once

#include <array>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <unordered_map>
#include <vector>

#include "../event_thread.h"
#include "ebonypin/core/dispatch.h"
#include "rpc_caller.h"

namespace ebonypin::daemon {

/// Each shard sees only its own requests in flight and the reports of agents, so more shards reduce
/// lock contention and make placement slightly worse.
inline constexpr std::size_t kRequestShards = 2;

struct RequestCounters {
  core::DispatchCounters m_dispatch;
  std::size_t m_in_flight = 0;
};

/// All members may be used from any thread.
class RequestService {
 public:
  using AnswerFunction = std::function<void(const core::Answer&)>;

  /// When `eject` is true, workers that fail requests are ejected; see core/ejection.h.
  RequestService(EventThread& events, RpcCaller call, core::DispatchOptions options, bool eject,
                 std::uint64_t seed);

  /// Runs `request`; `done` is called exactly once, from any thread.
  void Run(const core::WorkRequest& request, const core::ClassSpec& spec, AnswerFunction done);

  void OnHeartbeat(const core::Heartbeat& heartbeat, bool drained);
  void SetPeerSizes(const core::EntryId& peer, const std::vector<core::Resources>& sizes);
  void SetDrained(const core::AgentId& agent, bool drained);

  /// Suspects and removes silent agents. Call it about once a second.
  core::SweepResult Sweep();

  /// Returns an error when no known worker is large enough for `size`.
  [[nodiscard]] std::optional<core::Error> CheckNeverFits(const core::Resources& size) const;
  [[nodiscard]] std::vector<core::Resources> OwnWorkerSizes() const;
  [[nodiscard]] std::vector<core::AgentView> Agents() const;
  [[nodiscard]] RequestCounters Counters() const;

 private:
  struct Shard {
    mutable std::mutex m_mutex;
    core::FleetView m_fleet;
    core::EjectionState m_ejection;
    core::DispatchState m_dispatch;
    std::mt19937_64 m_random;
    core::Ticket m_last_ticket = 0;
    std::unordered_map<core::Ticket, AnswerFunction> m_callers;
  };

  [[nodiscard]] core::DispatchContext Context(Shard& shard) const;
  void Perform(Shard& shard, core::DispatchActions actions);
  void Send(Shard& shard, core::SendRun action);
  void OnCallEnd(Shard& shard, const core::AgentId& agent, std::uint64_t try_number,
                 const wire::CallResult& result);

  EventThread& m_events;
  const RpcCaller m_call;
  const core::DispatchOptions m_options;
  const bool m_eject;
  std::array<Shard, kRequestShards> m_shards;
  std::atomic<std::size_t> m_next_shard{0};
};

}  // namespace ebonypin::daemon
