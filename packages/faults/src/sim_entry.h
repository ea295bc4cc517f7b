/// Runs an entry's state machines in the simulation.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "ebonypin/core/config_table.h"
#include "ebonypin/core/dispatch.h"
#include "ebonypin/core/entry_members.h"
#include "ebonypin/core/job_owner.h"
#include "ebonypin/core/offset_clock.h"
#include "ebonypin/core/watch_table.h"
#include "sim.h"
#include "sim_log.h"

namespace ebonypin::faults {

/// Group commit to one log stream. There is one append at a time, repeated with the same batch id
/// until it is confirmed or read back.
struct Appender {
  std::string m_stream;
  std::deque<core::LogRecord> m_queue;
  std::optional<core::LogBatch> m_batch;  ///< Batch being appended.
  std::uint64_t m_last_batch = 0;
  bool m_append_pending = false;  ///< An append has not been answered yet.
};

/// Read position in one log stream.
struct Tail {
  core::LogOffset m_offset = 0;
  bool m_reading = false;
  bool m_caught_up = false;
};

using TextFunction = std::function<void(const std::string& kind, const std::string& text)>;

struct SimEntry {
  Process m_process;
  SimLog* m_log = nullptr;
  core::EntryMembers m_members;
  core::JobTable m_jobs;
  core::ConfigTable m_config;
  core::WatchTable m_watches;
  core::JobOwner m_owner;
  core::OwnerPolicy m_policy;
  core::FleetView m_fleet;
  core::DispatchState m_dispatch;
  core::DispatchOptions m_dispatch_options;
  core::OffsetClock m_job_clock;
  core::OffsetClock m_config_clock;
  Appender m_job_appends;
  Appender m_config_appends;
  Tail m_job_tail;
  Tail m_config_tail;
  core::LogOffset m_recorded_config = 0;
  Time m_next_rewrite;
  std::uint64_t m_last_job = 0;
  core::ReportCallId m_last_report = 0;
  std::map<core::ReportCallId, ReplyFunction> m_reports;
  std::map<core::JobId, TextFunction> m_submits;  ///< Answered when the record is read back.
  std::map<core::JobId, TextFunction> m_cancels;
  std::map<std::string, TextFunction> m_changes;  ///< By change id.
  std::map<std::string, TextFunction> m_posts;    ///< By update id.
  std::map<core::Ticket, TextFunction> m_runs;
  core::Ticket m_last_ticket = 0;
  std::optional<core::RunReply> m_last_reply;  ///< For Defect::kWrongAnswer.
};

void StartEntry(Sim& sim, SimEntry& entry);
void CrashEntry(Sim& sim, SimEntry& entry);
/// Begins a planned stop: hands over the shards, ends the process and starts a new one.
void StopEntry(Sim& sim, SimEntry& entry);

/// The following functions are calls by callers and operators. Each call is answered at most once;
/// if there is no answer, the caller's own timeout makes the outcome unknown.
void SubmitJob(Sim& sim, SimEntry& entry, const core::WorkRequest& request, TextFunction answer);
void CancelJob(Sim& sim, SimEntry& entry, const core::JobId& job, TextFunction answer);
void QueryStatus(Sim& sim, SimEntry& entry, const core::JobId& job, TextFunction answer);
void RunRequest(Sim& sim, SimEntry& entry, const core::WorkRequest& request, TextFunction answer);
void ChangeClass(Sim& sim, SimEntry& entry, const std::string& name, const std::string& team,
                 const std::string& change, TextFunction answer);
void DrainWorker(Sim& sim, SimEntry& entry, const std::string& agent, bool on,
                 const std::string& change);
void PostUpdate(Sim& sim, SimEntry& entry, const std::string& topic, const std::string& update,
                TextFunction answer);

// Functions shared by the sim_entry*.cc files.
void Perform(Sim& sim, SimEntry& entry, const core::OwnerActions& actions);
void Perform(Sim& sim, SimEntry& entry, const core::DispatchActions& actions);
[[nodiscard]] core::OwnerContext OwnerContextOf(const Sim& sim, const SimEntry& entry);
[[nodiscard]] core::DispatchContext DispatchContextOf(Sim& sim, SimEntry& entry);
void QueueRecord(Sim& sim, SimEntry& entry, Appender& appender, core::LogRecord record);
void ReadTails(Sim& sim, SimEntry& entry);
void RecordConfigInForce(Sim& sim, SimEntry& entry);
void HandleMessage(Sim& sim, SimEntry& entry, const core::Message& message, ReplyFunction reply);

}  // namespace ebonypin::faults
