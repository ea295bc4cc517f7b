#include "sim_entry.h"

#include <algorithm>
#include <utility>

namespace ebonypin::faults {
namespace {

using namespace std::chrono_literals;

/// These times are shorter than in production, so that each passes several times in one run.
constexpr Duration kAuthority = 8s;
constexpr Duration kUnresolved = 30s;
constexpr Duration kRestartDelay = 2s;

core::JobOwnerOptions OwnerOptions(const Sim& sim, const SimEntry& entry) {
  core::JobOwnerOptions options{.m_entry = {entry.m_process.m_name},
                                .m_incarnation = entry.m_process.m_incarnation,
                                .m_authority = kAuthority,
                                .m_unresolved_timeout = kUnresolved};
  if (sim.m_defect == Defect::kEarlyRestart) {
    options.m_grant = 1s;
    options.m_authority = 1s;
    options.m_reservation = 0s;
    options.m_clock_margin = 0s;
  }
  return options;
}

core::OwnerPlacement PlaceJob(Sim& sim, SimEntry& entry, const core::JobState& job) {
  const core::Placement place =
      core::PlaceWork(entry.m_fleet, entry.m_dispatch_options.m_placement,
                      {.m_size = job.m_request.m_size, .m_job = true}, sim.m_random);
  if (!place.m_agent) {
    const bool never = place.m_error.m_kind == core::ErrorKind::kNeverFits;
    return {
        .m_kind = never ? core::OwnerPlacementKind::kNeverFits : core::OwnerPlacementKind::kLater,
        .m_reason = place.m_error.m_message};
  }
  const core::AgentView& agent = entry.m_fleet.m_agents[*place.m_agent];
  core::CountSent(entry.m_fleet, *place.m_agent, job.m_request.m_size);
  return {.m_kind = core::OwnerPlacementKind::kAgent,
          .m_agent = agent.m_agent,
          .m_incarnation = agent.m_incarnation};
}

void SetPolicy(Sim& sim, SimEntry& entry) {
  entry.m_policy = {
      .m_place = [&sim, &entry](const core::JobState& job) { return PlaceJob(sim, entry, job); },
      .m_class =
          [&sim, &entry](const core::ClassName& name) {
            static thread_local core::ClassSpec changed;
            const core::ClassSpec* const spec = core::FindClass(entry.m_config, name);
            if (spec == nullptr || sim.m_defect != Defect::kRepeatedRun) return spec;
            changed = *spec;
            changed.m_non_idempotent = false;
            return static_cast<const core::ClassSpec*>(&changed);
          },
      .m_is_live =
          [&entry](const core::AgentId& agent) {
            const core::AgentView* const view = core::FindAgent(entry.m_fleet, agent);
            return view != nullptr && !view->m_suspected;
          }};
}

void SendAgentCall(Sim& sim, SimEntry& entry, const core::CallAgent& action) {
  std::optional<core::Incarnation> reserved;
  if (const auto* const reserve = std::get_if<core::ReserveRequest>(&action.m_request))
    reserved = reserve->m_incarnation;
  Call(sim, entry.m_process, action.m_agent.m_value, action.m_request, action.m_deadline,
       [&sim, &entry, call = action.m_call, agent = action.m_agent,
        reserved](const core::Message& reply) {
         const Time now = LocalTime(sim, entry.m_process);
         if (reserved) core::CountEnded(entry.m_fleet, agent, *reserved);
         if (const auto* const reserve = std::get_if<core::ReserveReply>(&reply))
           core::ObserveLoad(entry.m_fleet, agent, reserve->m_load, now);
         if (const auto* const start = std::get_if<core::StartReply>(&reply))
           core::ObserveLoad(entry.m_fleet, agent, start->m_load, now);
         core::Message applied_reply = reply;
         if (auto* const fence = std::get_if<core::FenceReply>(&applied_reply);
             fence != nullptr && sim.m_defect == Defect::kNoFence)
           fence->m_incarnation = entry.m_owner.m_agents[agent];
         Perform(
             sim, entry,
             core::OnAgentReply(entry.m_owner, OwnerContextOf(sim, entry), call, applied_reply));
       });
}

/// With Defect::kNoReadBack, starts work as soon as its assignment is sent to the log.
void StartBeforeReadBack(Sim& sim, SimEntry& entry, const core::LogRecord& record) {
  const auto* const assigned = std::get_if<core::JobAssigned>(&record);
  const core::JobState* const state =
      assigned == nullptr ? nullptr : core::FindOpen(entry.m_jobs, assigned->m_job);
  if (state == nullptr || sim.m_defect != Defect::kNoReadBack) return;
  Call(sim, entry.m_process, assigned->m_agent.m_value,
       core::StartRequest{.m_job = assigned->m_job,
                          .m_attempt = assigned->m_attempt,
                          .m_epoch = assigned->m_epoch,
                          .m_incarnation = assigned->m_agent_incarnation,
                          .m_reservation = assigned->m_reservation,
                          .m_exclusive = true,
                          .m_checkpoint = state->m_checkpoint,
                          .m_payload = state->m_request.m_payload},
       2s, [](const core::Message&) {});
}

void SendPeerHeartbeats(Sim& sim, SimEntry& entry) {
  for (const std::string& name : kEntries) {
    if (name == entry.m_process.m_name) continue;
    Call(sim, entry.m_process, name,
         core::EntryHeartbeat{.m_self = entry.m_members.m_self,
                              .m_config_offset = core::InForce(entry.m_config).m_offset,
                              .m_worker_sizes = core::OwnWorkerSizes(entry.m_fleet)},
         2s, [&sim, &entry](const core::Message& message) {
           const auto* const reply = std::get_if<core::EntryHeartbeatReply>(&message);
           if (reply == nullptr) return;
           core::OnEntryHeard(entry.m_members, reply->m_self, LocalTime(sim, entry.m_process));
           if (core::Adopt(entry.m_config, reply->m_config_offset, reply->m_classes,
                           reply->m_drained_agents))
             RecordConfigInForce(sim, entry);
         });
  }
  const core::SweepResult sweep =
      core::SweepFleet(entry.m_fleet, {}, LocalTime(sim, entry.m_process));
  for (const core::AgentId& agent : sweep.m_removed)
    Perform(sim, entry, core::OnAgentRemoved(entry.m_owner, OwnerContextOf(sim, entry), agent));
  AfterInProcess(sim, entry.m_process, TrueDuration(entry.m_process, 1s),
                 [&sim, &entry] { SendPeerHeartbeats(sim, entry); });
}

/// Appends config records again before the log drops them. The owner of shard 0 does so at half of
/// the retention, the other entries at five eighths if it has not.
void RewriteConfig(Sim& sim, SimEntry& entry, const Time now) {
  if (!entry.m_log->m_retention || now < entry.m_next_rewrite) return;
  entry.m_next_rewrite = now + 3s;
  const Duration age = *entry.m_log->m_retention / 8 * (entry.m_owner.m_epochs[0] == 0 ? 5 : 4);
  const core::LogOffset before = core::OffsetBefore(entry.m_config_clock, age, now);
  for (core::LogRecord& record : core::RewritesBefore(entry.m_config, before, 0))
    QueueRecord(sim, entry, entry.m_config_appends, std::move(record));
}

void Tick(Sim& sim, SimEntry& entry) {
  const Time now = LocalTime(sim, entry.m_process);
  core::TickInput input;
  if (entry.m_owner.m_caught_up) {
    input.m_plan = core::PlanShards(entry.m_members, entry.m_jobs, now);
    if (entry.m_log->m_retention) {
      const Duration eighth = *entry.m_log->m_retention / 8;
      input.m_rewrite_late_before = core::OffsetBefore(entry.m_job_clock, eighth * 5, now);
      input.m_rewrite_before = core::OffsetBefore(entry.m_job_clock, eighth * 4, now);
    }
  }
  Perform(sim, entry, core::OnTick(entry.m_owner, OwnerContextOf(sim, entry), input));
  Perform(sim, entry, core::OnTick(entry.m_dispatch, DispatchContextOf(sim, entry)));
  RewriteConfig(sim, entry, now);
  AfterInProcess(sim, entry.m_process, 100ms, [&sim, &entry] { Tick(sim, entry); });
}

void AppendEntryAlive(Sim& sim, SimEntry& entry) {
  QueueRecord(sim, entry, entry.m_job_appends,
              core::EntryAlive{.m_entry = entry.m_members.m_self.m_entry,
                               .m_incarnation = entry.m_process.m_incarnation,
                               .m_rpc_address = entry.m_process.m_name,
                               .m_leaving = entry.m_members.m_self.m_leaving});
  AfterInProcess(sim, entry.m_process, 30s, [&sim, &entry] { AppendEntryAlive(sim, entry); });
}

void ContinueStop(Sim& sim, SimEntry& entry, const Duration since) {
  const bool owns = std::any_of(entry.m_owner.m_epochs.begin(), entry.m_owner.m_epochs.end(),
                                [](const core::Epoch epoch) { return epoch != 0; });
  const bool busy = owns || !entry.m_runs.empty() || !entry.m_submits.empty();
  if (busy && sim.m_now - since < 20s && sim.m_defect != Defect::kCutOnStop) {
    AfterInProcess(sim, entry.m_process, 100ms,
                   [&sim, &entry, since] { ContinueStop(sim, entry, since); });
    return;
  }
  for (const auto& [ticket, answer] : entry.m_runs)
    RecordEvent(sim, EventKind::kRunCutByStop, entry.m_process.m_name).m_request =
        "ticket " + std::to_string(ticket);
  CrashEntry(sim, entry);
  After(sim, kRestartDelay, [&sim, &entry] { StartEntry(sim, entry); });
}

}  // namespace

core::OwnerContext OwnerContextOf(const Sim& sim, const SimEntry& entry) {
  return {.m_table = entry.m_jobs,
          .m_policy = entry.m_policy,
          .m_now = LocalTime(sim, entry.m_process)};
}

core::DispatchContext DispatchContextOf(Sim& sim, SimEntry& entry) {
  return {.m_fleet = entry.m_fleet,
          .m_options = entry.m_dispatch_options,
          .m_now = LocalTime(sim, entry.m_process),
          .m_random = sim.m_random};
}

void RecordConfigInForce(Sim& sim, SimEntry& entry) {
  const core::ConfigView& view = core::InForce(entry.m_config);
  if (view.m_offset == entry.m_recorded_config) return;
  entry.m_recorded_config = view.m_offset;
  for (const auto& [name, spec] : view.m_classes) {
    Event& event = RecordEvent(sim, EventKind::kConfigInForce, entry.m_process.m_name);
    event.m_class = name.m_value;
    event.m_revision = spec.m_revision;
    event.m_text = spec.m_team.m_value;
    event.m_offset = view.m_offset;
  }
}

void Perform(Sim& sim, SimEntry& entry, const core::OwnerActions& actions) {
  for (const core::OwnerAction& action : actions) {
    if (const auto* const append = std::get_if<core::AppendRecord>(&action)) {
      StartBeforeReadBack(sim, entry, append->m_record);
      QueueRecord(sim, entry, entry.m_job_appends, append->m_record);
    } else if (const auto* const call = std::get_if<core::CallAgent>(&action)) {
      SendAgentCall(sim, entry, *call);
    } else {
      const auto& answer = std::get<core::ReplyToReport>(action);
      const auto reply = entry.m_reports.find(answer.m_call);
      if (reply == entry.m_reports.end()) continue;
      core::TaskReportReply message = answer.m_reply;
      message.m_owner.m_rpc_address = message.m_owner.m_entry.m_value;
      reply->second(message);
      entry.m_reports.erase(reply);
    }
  }
}

void Perform(Sim& sim, SimEntry& entry, const core::DispatchActions& actions) {
  for (const core::DispatchAction& action : actions) {
    if (const auto* const run = std::get_if<core::SendRun>(&action)) {
      Call(sim, entry.m_process, run->m_agent.m_value, run->m_run, run->m_timeout,
           [&sim, &entry, agent = run->m_agent,
            number = run->m_run.m_try](const core::Message& message) {
             const core::DispatchContext context = DispatchContextOf(sim, entry);
             if (const auto* const reply = std::get_if<core::RunReply>(&message)) {
               core::RunReply applied_reply = *reply;
               if (sim.m_defect == Defect::kWrongAnswer && entry.m_last_reply &&
                   applied_reply.m_kind == core::AnswerKind::kDone && Chance(sim, 20)) {
                 applied_reply.m_result = entry.m_last_reply->m_result;
                 applied_reply.m_result_hash = entry.m_last_reply->m_result_hash;
               }
               if (reply->m_kind == core::AnswerKind::kDone) entry.m_last_reply = *reply;
               Perform(sim, entry,
                       core::OnRunReply(entry.m_dispatch, context, agent, applied_reply));
             } else {
               const auto* const error = std::get_if<core::Error>(&message);
               const auto failure =
                   error == nullptr || error->m_kind == core::ErrorKind::kDisconnected
                       ? core::CallFailure::kDisconnected
                   : error->m_kind == core::ErrorKind::kNoCapacity ? core::CallFailure::kNotSent
                                                                   : core::CallFailure::kTimeout;
               Perform(sim, entry, core::OnCallFailed(entry.m_dispatch, context, number, failure));
             }
           });
    } else if (const auto* const cancel = std::get_if<core::SendCancel>(&action)) {
      Call(sim, entry.m_process, cancel->m_agent.m_value, cancel->m_cancel, 2s,
           [](const core::Message&) {});
    } else if (const auto* const answer = std::get_if<core::AnswerCaller>(&action)) {
      const auto waiting = entry.m_runs.find(answer->m_ticket);
      if (waiting == entry.m_runs.end()) continue;
      const core::AnswerKind kind = answer->m_answer.m_kind;
      waiting->second(kind == core::AnswerKind::kDone     ? "done"
                      : kind == core::AnswerKind::kNotRun ? "not_run"
                                                          : "unknown",
                      answer->m_answer.m_result);
      entry.m_runs.erase(waiting);
    }
    // ScheduleTick needs no handling, because Tick runs every 100 ms anyway.
  }
}

void StartEntry(Sim& sim, SimEntry& entry) {
  if (entry.m_process.m_up) return;
  Process process = entry.m_process;
  SimLog* const log = entry.m_log;
  entry = {};
  entry.m_process = std::move(process);
  entry.m_log = log;
  Start(sim, entry.m_process);
  const Time now = LocalTime(sim, entry.m_process);
  entry.m_members = core::MakeEntryMembers({.m_entry = {entry.m_process.m_name},
                                            .m_incarnation = entry.m_process.m_incarnation,
                                            .m_rpc_address = entry.m_process.m_name},
                                           now);
  entry.m_owner = core::MakeJobOwner(OwnerOptions(sim, entry));
  entry.m_job_appends.m_stream = "jobs";
  entry.m_config_appends.m_stream = "config";
  SetPolicy(sim, entry);
  entry.m_process.m_handler = [&sim, &entry](const core::Message& message, ReplyFunction reply) {
    HandleMessage(sim, entry, message, std::move(reply));
  };
  AppendEntryAlive(sim, entry);
  ReadTails(sim, entry);
  AfterInProcess(sim, entry.m_process, RandomDuration(sim, 10ms, 100ms),
                 [&sim, &entry] { Tick(sim, entry); });
  AfterInProcess(sim, entry.m_process, RandomDuration(sim, 10ms, 500ms),
                 [&sim, &entry] { SendPeerHeartbeats(sim, entry); });
}

void CrashEntry(Sim& sim, SimEntry& entry) { Stop(sim, entry.m_process); }

void StopEntry(Sim& sim, SimEntry& entry) {
  if (!entry.m_process.m_up || entry.m_members.m_self.m_leaving) return;
  AfterInProcess(sim, entry.m_process, 0ms, [&sim, &entry] {
    entry.m_members.m_self.m_leaving = true;
    ContinueStop(sim, entry, sim.m_now);
  });
}

}  // namespace ebonypin::faults
