#include "member_service.h"

#include <set>
#include <utility>

namespace ebonypin::daemon {
namespace {

constexpr core::Duration kHeartbeatDeadline = std::chrono::milliseconds{900};

}  // namespace

MemberService::MemberService(MemberOptions options, RpcCaller call, ConfigService& config,
                             JobService& jobs, RequestService& requests)
    : m_seeds(std::move(options.m_seeds)),
      m_call(std::move(call)),
      m_config(config),
      m_jobs(jobs),
      m_requests(requests),
      m_members(core::MakeEntryMembers(std::move(options.m_self), Now())) {}

LogReader MemberService::Reader() {
  return {.m_on_batch =
              [this](const platform::TailBatch& batch) {
                for (const auto& record : batch.m_batch.m_records) {
                  const auto* const alive = std::get_if<core::EntryAlive>(&record);
                  if (alive == nullptr) continue;
                  const std::lock_guard lock(m_mutex);
                  core::OnEntryMentioned(m_members,
                                         {.m_entry = alive->m_entry,
                                          .m_incarnation = alive->m_incarnation,
                                          .m_rpc_address = alive->m_rpc_address,
                                          .m_http_address = alive->m_http_address,
                                          .m_leaving = alive->m_leaving},
                                         !m_stream->IsCaughtUp(), Now());
                }
              },
          .m_on_gap = [] {}};
}

void MemberService::Tick() {
  {
    const std::lock_guard lock(m_mutex);
    core::RemoveSilentEntries(m_members, Now());
  }
  SendHeartbeats();
}

core::EntryHeartbeat MemberService::MakeHeartbeat() const {
  return {.m_self = Self(),
          .m_config_offset = m_config.Offset(),
          .m_worker_sizes = m_requests.OwnWorkerSizes()};
}

void MemberService::SendHeartbeats() {
  const auto heartbeat = MakeHeartbeat();
  std::set<std::string> addresses(m_seeds.begin(), m_seeds.end());
  {
    const std::lock_guard lock(m_mutex);
    for (const auto& peer : core::KnownPeers(m_members)) addresses.insert(peer.m_rpc_address);
  }
  addresses.erase(heartbeat.m_self.m_rpc_address);
  for (const auto& address : addresses) {
    m_call(address, heartbeat, kHeartbeatDeadline,
           [this](const wire::CallResult& result) { OnReply(result); });
  }
}

void MemberService::OnReply(const wire::CallResult& result) {
  const auto* const reply = result.Get<core::EntryHeartbeatReply>();
  if (reply == nullptr) return;
  {
    const std::lock_guard lock(m_mutex);
    core::OnEntryHeard(m_members, reply->m_self, Now());
    for (const auto& entry : reply->m_entries) {
      core::OnEntryMentioned(m_members, entry, false, Now());
    }
  }
  if (!reply->m_classes.empty() || !reply->m_drained_agents.empty()) m_config.Adopt(*reply);
}

core::EntryHeartbeatReply MemberService::OnHeartbeat(const core::EntryHeartbeat& heartbeat) {
  {
    const std::lock_guard lock(m_mutex);
    core::OnEntryHeard(m_members, heartbeat.m_self, Now());
  }
  m_requests.SetPeerSizes(heartbeat.m_self.m_entry, heartbeat.m_worker_sizes);
  core::EntryHeartbeatReply reply{.m_self = Self(), .m_entries = Live()};
  const auto config = m_config.View();
  reply.m_config_offset = config.m_offset;
  if (config.m_offset > heartbeat.m_config_offset) {
    for (const auto& [name, spec] : config.m_classes) reply.m_classes.push_back(spec);
    for (const auto& [agent, offset] : config.m_drained) reply.m_drained_agents.push_back(agent);
  }
  return reply;
}

void MemberService::OnKnownEntries(const std::vector<core::EntryInfo>& entries) {
  const std::lock_guard lock(m_mutex);
  for (const auto& entry : entries) core::OnEntryMentioned(m_members, entry, false, Now());
}

core::ShardPlan MemberService::Plan(const core::JobTable& table) const {
  const std::lock_guard lock(m_mutex);
  return core::PlanShards(m_members, table, Now());
}

void MemberService::AppendAlive() {
  const auto self = Self();
  m_stream->Submit(core::EntryAlive{.m_entry = self.m_entry,
                                    .m_incarnation = self.m_incarnation,
                                    .m_rpc_address = self.m_rpc_address,
                                    .m_http_address = self.m_http_address,
                                    .m_leaving = self.m_leaving},
                   [](const platform::AppendOutcome&) {});
}

void MemberService::Leave() {
  {
    const std::lock_guard lock(m_mutex);
    m_members.m_self.m_leaving = true;
  }
  AppendAlive();
  Tick();
}

bool MemberService::HasHandedOver() const {
  bool owns = false;
  m_jobs.WithTable([&](const core::JobTable& table) {
    const std::lock_guard lock(m_mutex);
    for (const auto& shard : table.m_shards) {
      owns = owns || shard.m_owner == m_members.m_self.m_entry;
    }
  });
  if (!owns) return true;
  const std::lock_guard lock(m_mutex);
  for (const auto& entry : core::LiveEntries(m_members, Now())) {
    if (entry.m_entry != m_members.m_self.m_entry) return false;
  }
  return true;
}

std::vector<core::EntryInfo> MemberService::Live() const {
  const std::lock_guard lock(m_mutex);
  return core::LiveEntries(m_members, Now());
}

core::EntryInfo MemberService::Self() const {
  const std::lock_guard lock(m_mutex);
  return m_members.m_self;
}

}  // namespace ebonypin::daemon
