/// Entries of the region: heartbeats between them and the shards that fall to each.
#pragma once

#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "../event_thread.h"
#include "config_service.h"
#include "ebonypin/core/entry_members.h"
#include "job_service.h"
#include "log_stream.h"
#include "request_service.h"
#include "rpc_caller.h"

namespace ebonypin::daemon {

struct MemberOptions {
  core::EntryInfo m_self;
  std::vector<std::string> m_seeds;
};

/// All members may be used from any thread.
class MemberService {
 public:
  MemberService(MemberOptions options, RpcCaller call, ConfigService& config, JobService& jobs,
                RequestService& requests);

  /// Returns the part that reads EntryAlive records, and sets the stream that records go to.
  [[nodiscard]] LogReader Reader();
  void SetStream(LogStream* stream) { m_stream = stream; }

  /// Sends heartbeats. Call it about once a second.
  void Tick();

  /// Makes this entry known in the log. Call it every 30 s.
  void AppendAlive();

  /// Begins a planned stop: peers get the shards.
  void Leave();

  /// Returns the shards to claim and release. Called under the lock of `table`.
  [[nodiscard]] core::ShardPlan Plan(const core::JobTable& table) const;

  /// Returns whether this entry owns no shard, or nobody else is there to take it.
  [[nodiscard]] bool HasHandedOver() const;

  [[nodiscard]] core::EntryHeartbeatReply OnHeartbeat(const core::EntryHeartbeat& heartbeat);

  /// Takes over what an agent's heartbeat says of entries.
  void OnNamed(const std::vector<core::EntryInfo>& entries);

  /// Returns the live entries with this one.
  [[nodiscard]] std::vector<core::EntryInfo> Live() const;
  [[nodiscard]] core::EntryInfo Self() const;

 private:
  void SendHeartbeats();
  void OnReply(const wire::CallResult& result);
  [[nodiscard]] core::EntryHeartbeat MakeHeartbeat() const;

  const std::vector<std::string> m_seeds;
  const RpcCaller m_call;
  ConfigService& m_config;
  JobService& m_jobs;
  RequestService& m_requests;
  LogStream* m_stream = nullptr;
  mutable std::mutex m_mutex;
  core::EntryMembers m_members;
};

}  // namespace ebonypin::daemon
