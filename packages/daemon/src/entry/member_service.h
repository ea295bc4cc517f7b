/// Entries of the region: heartbeats between them and the assignment of shards to them.
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

  /// Returns the reader of EntryAlive records.
  [[nodiscard]] LogReader Reader();
  /// Sets the stream to which records are appended.
  void SetStream(LogStream* stream) { m_stream = stream; }

  /// Removes silent entries and sends heartbeats. Call it about once a second.
  void Tick();

  /// Appends an EntryAlive record of this entry to the log. Call it every 30 s.
  void AppendAlive();

  /// Begins a planned stop, in which peers take over the shards.
  void Leave();

  /// Returns the shards to claim and to release. Call it under the lock of `table`.
  [[nodiscard]] core::ShardPlan Plan(const core::JobTable& table) const;

  /// Returns whether this entry owns no shard, or no other entry is live to take one over.
  [[nodiscard]] bool HasHandedOver() const;

  [[nodiscard]] core::EntryHeartbeatReply OnHeartbeat(const core::EntryHeartbeat& heartbeat);

  /// Adds the entries that an agent's heartbeat lists.
  void OnKnownEntries(const std::vector<core::EntryInfo>& entries);

  /// Returns the live entries, including this one.
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
