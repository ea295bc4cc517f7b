#include "request_service.h"

#include <algorithm>
#include <utility>

#include "ebonypin/wire/limits.h"

namespace ebonypin::daemon {
namespace {

constexpr core::Duration kCancelDeadline = std::chrono::seconds{1};

core::CallFailure FailureOf(const core::Error& error) {
  switch (error.m_kind) {
    case core::ErrorKind::kNoCapacity:
      return core::CallFailure::kNotSent;
    case core::ErrorKind::kTimeout:
      return core::CallFailure::kTimeout;
    default:
      return core::CallFailure::kDisconnected;
  }
}

}  // namespace

RequestService::RequestService(EventThread& events, RpcCaller call, core::DispatchOptions options,
                               const bool eject, const std::uint64_t seed)
    : m_events(events), m_call(std::move(call)), m_options(std::move(options)), m_eject(eject) {
  for (std::size_t i = 0; i < m_shards.size(); ++i) m_shards[i].m_random.seed(seed + i);
}

core::DispatchContext RequestService::Context(Shard& shard) const {
  return {.m_fleet = shard.m_fleet,
          .m_options = m_options,
          .m_now = Now(),
          .m_random = shard.m_random,
          .m_ejection = m_eject ? &shard.m_ejection : nullptr};
}

void RequestService::Run(const core::WorkRequest& request, const core::ClassSpec& spec,
                         AnswerFunction done) {
  auto& shard = m_shards[m_next_shard++ % kRequestShards];
  core::DispatchActions actions;
  {
    const std::lock_guard lock(shard.m_mutex);
    const auto ticket = ++shard.m_last_ticket;
    shard.m_callers.emplace(ticket, std::move(done));
    actions = core::OnRequest(shard.m_dispatch, Context(shard), ticket, request, spec);
  }
  Perform(shard, std::move(actions));
}

void RequestService::Perform(Shard& shard, core::DispatchActions actions) {
  for (auto& action : actions) {
    std::visit(wire::Overloaded{[&](core::SendRun& send) { Send(shard, std::move(send)); },
                                [&](core::SendCancel& send) {
                                  m_call(send.m_rpc_address, send.m_cancel, kCancelDeadline,
                                         [](const wire::CallResult&) {});
                                },
                                [&](core::AnswerCaller& answer) {
                                  AnswerFunction done;
                                  {
                                    const std::lock_guard lock(shard.m_mutex);
                                    const auto found = shard.m_callers.find(answer.m_ticket);
                                    done = std::move(found->second);
                                    shard.m_callers.erase(found);
                                  }
                                  done(answer.m_answer);
                                },
                                [&](const core::ScheduleTick& tick) {
                                  m_events.At(tick.m_at, [this, &shard] {
                                    core::DispatchActions due;
                                    {
                                      const std::lock_guard lock(shard.m_mutex);
                                      due = core::OnTick(shard.m_dispatch, Context(shard));
                                    }
                                    Perform(shard, std::move(due));
                                  });
                                }},
               action);
  }
}

void RequestService::Send(Shard& shard, core::SendRun action) {
  const auto try_number = action.m_run.m_try;
  m_call(std::move(action.m_rpc_address), std::move(action.m_run), action.m_timeout,
         [this, &shard, agent = std::move(action.m_agent), try_number](
             const wire::CallResult& result) { OnCallEnd(shard, agent, try_number, result); });
}

void RequestService::OnCallEnd(Shard& shard, const core::AgentId& agent,
                               const std::uint64_t try_number, const wire::CallResult& result) {
  core::DispatchActions actions;
  {
    const std::lock_guard lock(shard.m_mutex);
    if (const auto* const reply = result.Get<core::RunReply>()) {
      actions = core::OnRunReply(shard.m_dispatch, Context(shard), agent, *reply);
    } else {
      const auto* const error = result.GetError();
      const auto failure = error == nullptr ? core::CallFailure::kDisconnected : FailureOf(*error);
      actions = core::OnCallFailed(shard.m_dispatch, Context(shard), try_number, failure);
    }
  }
  Perform(shard, std::move(actions));
}

void RequestService::OnHeartbeat(const core::Heartbeat& heartbeat, const bool drained) {
  for (auto& shard : m_shards) {
    const std::lock_guard lock(shard.m_mutex);
    core::ObserveHeartbeat(shard.m_fleet, heartbeat, Now());
    core::SetDrained(shard.m_fleet, heartbeat.m_agent, drained);
  }
}

void RequestService::SetPeerSizes(const core::EntryId& peer,
                                  const std::vector<core::Resources>& sizes) {
  for (auto& shard : m_shards) {
    const std::lock_guard lock(shard.m_mutex);
    core::SetPeerSizes(shard.m_fleet, peer, sizes);
  }
}

void RequestService::SetDrained(const core::AgentId& agent, const bool drained) {
  for (auto& shard : m_shards) {
    const std::lock_guard lock(shard.m_mutex);
    core::SetDrained(shard.m_fleet, agent, drained);
  }
}

core::SweepResult RequestService::Sweep() {
  core::SweepResult result;
  for (auto& shard : m_shards) {
    const std::lock_guard lock(shard.m_mutex);
    result = core::SweepFleet(shard.m_fleet, {}, Now());
    (void)core::SweepEjection(shard.m_ejection, shard.m_fleet, Now());
  }
  return result;
}

std::optional<core::Error> RequestService::CheckNeverFits(const core::Resources& size) const {
  const std::lock_guard lock(m_shards.front().m_mutex);
  return core::CheckNeverFits(m_shards.front().m_fleet, size);
}

std::vector<core::Resources> RequestService::OwnWorkerSizes() const {
  const std::lock_guard lock(m_shards.front().m_mutex);
  return core::OwnWorkerSizes(m_shards.front().m_fleet);
}

std::vector<core::AgentView> RequestService::Agents() const {
  std::vector<core::AgentView> agents;
  std::unordered_map<core::AgentId, std::uint32_t> in_flight;
  for (const auto& shard : m_shards) {
    const std::lock_guard lock(shard.m_mutex);
    for (const auto& agent : shard.m_fleet.m_agents) in_flight[agent.m_agent] += agent.m_in_flight;
    if (&shard != &m_shards.front()) continue;
    for (const auto& agent : shard.m_fleet.m_agents) {
      if (agent.m_present) agents.push_back(agent);
    }
  }
  for (auto& agent : agents) agent.m_in_flight = in_flight[agent.m_agent];
  std::sort(agents.begin(), agents.end(),
            [](const auto& a, const auto& b) { return a.m_agent < b.m_agent; });
  return agents;
}

RequestCounters RequestService::Counters() const {
  RequestCounters sum;
  for (const auto& shard : m_shards) {
    const std::lock_guard lock(shard.m_mutex);
    const auto& counters = shard.m_dispatch.m_counters;
    sum.m_dispatch.m_tries += counters.m_tries;
    sum.m_dispatch.m_retries += counters.m_retries;
    sum.m_dispatch.m_hedges += counters.m_hedges;
    sum.m_dispatch.m_late_replies += counters.m_late_replies;
    sum.m_dispatch.m_damaged_replies += counters.m_damaged_replies;
    sum.m_in_flight += shard.m_callers.size();
  }
  return sum;
}

}  // namespace ebonypin::daemon
