/// Runs the jobs of the shards that this entry owns, by means of core/job_owner.h.
///
/// The lock of the job table guards all state, because every decision reads the table. The
/// resulting actions are carried out in order on the event thread.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "../event_thread.h"
#include "config_service.h"
#include "ebonypin/core/ejection.h"
#include "ebonypin/core/fleet_view.h"
#include "ebonypin/core/job_owner.h"
#include "ebonypin/core/offset_clock.h"
#include "ebonypin/core/placement.h"
#include "ebonypin/core/run_time_model.h"
#include "ebonypin/core/stuck_jobs.h"
#include "job_service.h"
#include "log_stream.h"
#include "member_service.h"
#include "rpc_caller.h"

namespace ebonypin::daemon {

struct OwnerServiceOptions {
  core::JobOwnerOptions m_owner;
  core::PlacementOptions m_placement;
  core::Duration m_retention{};  ///< Retention of the log; see [log] retention.
  bool m_eject = true;  ///< Whether workers that fail jobs are ejected; see core/ejection.h.
  std::uint64_t m_seed = 0;
};

struct OwnerCounters {
  std::size_t m_owned = 0;       ///< Open jobs of the owned shards.
  std::size_t m_starting = 0;    ///< Owned jobs between reservation and start.
  std::size_t m_unresolved = 0;  ///< Owned non-idempotent attempts whose end is not known.
};

/// All members but OnEvents and OnReset may be used from any thread.
class OwnerService {
 public:
  OwnerService(EventThread& events, OwnerServiceOptions options, RpcCaller call,
               ConfigService& config, JobService& jobs, MemberService& members);

  void SetStream(LogStream* stream) { m_stream = stream; }

  /// Processes the changes that a batch made to the table. Called under the table's lock.
  void OnEvents(const core::JobTable& table, const std::vector<core::JobEvent>& events);

  /// Resets the state after the table was reset because of a gap in the log. Called under the
  /// table's lock.
  void OnReset();

  /// Notes that a read of the log that began at `read_began` reached the end of the log.
  void OnLogRead(core::Time read_began);

  /// Returns the grants for the reply to `heartbeat`.
  [[nodiscard]] std::vector<core::Grant> OnHeartbeat(const core::Heartbeat& heartbeat,
                                                     bool drained);

  /// Processes an agent's report. `reply` is called from the event thread, or never when a gap in
  /// the log resets the state before; the agent then repeats the report.
  void OnTaskReport(const core::TaskReport& report, wire::ReplyFunction reply);

  /// Applies the current classes and drains. Call it after each change of the configuration.
  void OnConfigChange();

  /// Suspects and removes silent agents. Call it about once a second.
  void Sweep();

  /// Performs periodic work. Call it every 100 ms.
  void Tick();

  [[nodiscard]] OwnerCounters Counters() const;

  /// Returns at most `limit` jobs of the owned shards that are stuck; see core/stuck_jobs.h.
  [[nodiscard]] std::vector<core::StuckJob> Stuck(std::size_t limit) const;

 private:
  /// Action with the data for carrying it out, which were collected under the lock.
  struct PreparedAction {
    core::OwnerAction m_action;
    std::string m_address;        ///< RPC address of the agent to call; empty when unknown.
    wire::ReplyFunction m_reply;  ///< Reply to the report to answer.
  };

  [[nodiscard]] core::OwnerPlacement Place(const core::JobState& job);
  [[nodiscard]] core::OwnerContext Context(const core::JobTable& table) const;
  void Post(core::OwnerActions actions);
  void Perform(PreparedAction& prepared);
  void Call(const core::CallAgent& call, const std::string& address);
  void OnReply(core::OwnerCallId call, const core::Message& reply);

  EventThread& m_events;
  const OwnerServiceOptions m_options;
  const RpcCaller m_call;
  ConfigService& m_config;
  JobService& m_jobs;
  MemberService& m_members;
  LogStream* m_stream = nullptr;
  core::JobOwner m_owner;
  core::OwnerPolicy m_policy;
  core::FleetView m_fleet;
  core::EjectionState m_ejection;
  std::optional<core::OffsetClock> m_offsets;  ///< Set once the log has been read to its end.
  core::ConfigView m_classes;
  std::mt19937_64 m_random;
  std::unordered_map<core::ClassName, core::RunTimeModel> m_run_times;
  core::ReportCallId m_last_report = 0;
  std::unordered_map<core::ReportCallId, wire::ReplyFunction> m_reports;
};

}  // namespace ebonypin::daemon
