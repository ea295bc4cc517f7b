/// Handling of calls by callers and operators, and of messages from other processes, by an entry.
#include <algorithm>
#include <utility>

#include "sim_entry.h"

namespace ebonypin::faults {
namespace {

using namespace std::chrono_literals;

constexpr Duration kMaxLogReadAge = 2s;

bool IsLogReadStale(const Sim& sim, const SimEntry& entry) {
  return !entry.m_owner.m_caught_up ||
         LocalTime(sim, entry.m_process) - entry.m_owner.m_last_log_read > kMaxLogReadAge;
}

std::vector<core::ClassSpec> ClassesOf(const core::ConfigView& view) {
  std::vector<core::ClassSpec> classes;
  for (const auto& [name, spec] : view.m_classes) classes.push_back(spec);
  return classes;
}

core::HeartbeatReply OnAgentHeartbeat(Sim& sim, SimEntry& entry, const core::Heartbeat& heartbeat) {
  const Time now = LocalTime(sim, entry.m_process);
  core::ObserveHeartbeat(entry.m_fleet, heartbeat, now);
  const core::ConfigView& view = core::InForce(entry.m_config);
  core::SetDrained(entry.m_fleet, heartbeat.m_agent,
                   core::IsDrained(entry.m_config, heartbeat.m_agent));
  core::HeartbeatReply reply{
      .m_grants = core::OnHeartbeat(entry.m_owner, OwnerContextOf(sim, entry), heartbeat),
      .m_entries = core::LiveEntries(entry.m_members, now),
      .m_config_offset = view.m_offset,
      .m_drain = core::IsDrained(entry.m_config, heartbeat.m_agent)};
  if (heartbeat.m_config_offset < view.m_offset) reply.m_classes = ClassesOf(view);
  if (sim.m_defect == Defect::kConfigReplay && heartbeat.m_config_offset > 3 && Chance(sim, 2)) {
    reply.m_config_offset = heartbeat.m_config_offset + 1;
    reply.m_classes = ClassesOf(view);
    for (core::ClassSpec& spec : reply.m_classes) {
      spec.m_revision = 1;
      spec.m_team = {"team 0"};
    }
  }
  return reply;
}

core::EntryHeartbeatReply OnPeerHeartbeat(Sim& sim, SimEntry& entry,
                                          const core::EntryHeartbeat& heartbeat) {
  const Time now = LocalTime(sim, entry.m_process);
  core::OnEntryHeard(entry.m_members, heartbeat.m_self, now);
  core::SetPeerSizes(entry.m_fleet, heartbeat.m_self.m_entry, heartbeat.m_worker_sizes);
  const core::ConfigView& view = core::InForce(entry.m_config);
  core::EntryHeartbeatReply reply{.m_self = entry.m_members.m_self,
                                  .m_entries = core::LiveEntries(entry.m_members, now),
                                  .m_config_offset = view.m_offset};
  if (heartbeat.m_config_offset < view.m_offset) {
    reply.m_classes = ClassesOf(view);
    for (const auto& [agent, offset] : view.m_drained) reply.m_drained_agents.push_back(agent);
  }
  return reply;
}

}  // namespace

void HandleMessage(Sim& sim, SimEntry& entry, const core::Message& message, ReplyFunction reply) {
  if (const auto* const heartbeat = std::get_if<core::Heartbeat>(&message)) {
    reply(OnAgentHeartbeat(sim, entry, *heartbeat));
  } else if (const auto* const peer = std::get_if<core::EntryHeartbeat>(&message)) {
    reply(OnPeerHeartbeat(sim, entry, *peer));
  } else if (const auto* const report = std::get_if<core::TaskReport>(&message)) {
    if (sim.m_defect == Defect::kEarlyAcknowledgement && entry.m_owner.m_caught_up) {
      reply(core::TaskReportReply{.m_acknowledged = true});
      reply = [](const core::Message&) {};
    }
    const core::ReportCallId call = ++entry.m_last_report;
    entry.m_reports[call] = std::move(reply);
    Perform(sim, entry,
            core::OnTaskReport(entry.m_owner, OwnerContextOf(sim, entry), call, *report));
  }
}

void SubmitJob(Sim& sim, SimEntry& entry, const core::WorkRequest& request, TextFunction answer) {
  AfterInProcess(
      sim, entry.m_process, RandomDuration(sim, 1ms, 5ms),
      [&sim, &entry, request, answer = std::move(answer)] {
        if (entry.m_members.m_self.m_leaving) return answer("not_run", "draining");
        if (IsLogReadStale(sim, entry)) return answer("not_run", "log_unavailable");
        if (core::FindClass(entry.m_config, request.m_class) == nullptr)
          return answer("not_run", "unknown_class");
        const core::JobId job{entry.m_process.m_name + "." +
                              std::to_string(entry.m_process.m_incarnation) + "." +
                              std::to_string(++entry.m_last_job)};
        if (sim.m_defect == Defect::kAcceptUnread) {
          answer("accepted", job.m_value);
        } else {
          entry.m_submits[job] = answer;
        }
        QueueRecord(sim, entry, entry.m_job_appends,
                    core::JobAccepted{
                        .m_job = job, .m_entry = {entry.m_process.m_name}, .m_request = request});
      });
}

void CancelJob(Sim& sim, SimEntry& entry, const core::JobId& job, TextFunction answer) {
  AfterInProcess(sim, entry.m_process, RandomDuration(sim, 1ms, 5ms),
                 [&sim, &entry, job, answer = std::move(answer)] {
                   if (core::FindClosed(entry.m_jobs, job) != nullptr) return answer("closed", {});
                   if (sim.m_defect == Defect::kCancelUnread) {
                     answer("cancelled", {});
                   } else {
                     entry.m_cancels[job] = answer;
                   }
                   QueueRecord(
                       sim, entry, entry.m_job_appends,
                       core::JobCancelled{.m_job = job, .m_entry = {entry.m_process.m_name}});
                 });
}

void QueryStatus(Sim& sim, SimEntry& entry, const core::JobId& job, TextFunction answer) {
  AfterInProcess(sim, entry.m_process, RandomDuration(sim, 1ms, 5ms),
                 [&entry, job, answer = std::move(answer)] {
                   if (const auto* const closed = core::FindClosed(entry.m_jobs, job)) {
                     answer(OutcomeName(closed->m_outcome), closed->m_result);
                   } else if (core::FindOpen(entry.m_jobs, job) != nullptr) {
                     answer("open", {});
                   } else {
                     answer(entry.m_owner.m_caught_up ? "not_found" : "unavailable", {});
                   }
                 });
}

void RunRequest(Sim& sim, SimEntry& entry, const core::WorkRequest& request, TextFunction answer) {
  AfterInProcess(sim, entry.m_process, RandomDuration(sim, 1ms, 5ms),
                 [&sim, &entry, request, answer = std::move(answer)] {
                   if (entry.m_members.m_self.m_leaving) return answer("not_run", "draining");
                   const core::ClassSpec* const spec =
                       core::FindClass(entry.m_config, request.m_class);
                   if (spec == nullptr) return answer("not_run", "unknown_class");
                   const core::Ticket ticket = ++entry.m_last_ticket;
                   entry.m_runs[ticket] = answer;
                   Perform(sim, entry,
                           core::OnRequest(entry.m_dispatch, DispatchContextOf(sim, entry), ticket,
                                           request, *spec));
                 });
}

void ChangeClass(Sim& sim, SimEntry& entry, const std::string& name, const std::string& team,
                 const std::string& change, TextFunction answer) {
  AfterInProcess(
      sim, entry.m_process, RandomDuration(sim, 1ms, 5ms),
      [&sim, &entry, name, team, change, answer = std::move(answer)] {
        const core::ClassSpec* const current = core::FindClass(entry.m_config, {name});
        if (IsLogReadStale(sim, entry)) return answer("unknown", {});
        core::ClassSpec spec{.m_name = {name}, .m_kind = core::ClassKind::kJob};
        if (current != nullptr) {
          spec = *current;
        } else if (name == "preview") {
          spec.m_kind = core::ClassKind::kRequest;
          spec.m_target.m_latency = 1s;
        } else {
          spec.m_exclusive = name != "archive_sync";
          spec.m_non_idempotent = name == "render" || name == "certificate";
        }
        spec.m_team = {team};
        entry.m_changes[change] = answer;
        QueueRecord(sim, entry, entry.m_config_appends,
                    core::ClassPut{.m_spec = spec,
                                   .m_base_revision = current == nullptr ? 0 : current->m_revision,
                                   .m_operator = "operator",
                                   .m_change_id = change});
      });
}

void DrainWorker(Sim& sim, SimEntry& entry, const std::string& agent, const bool on,
                 const std::string& change) {
  AfterInProcess(sim, entry.m_process, 2ms, [&sim, &entry, agent, on, change] {
    QueueRecord(
        sim, entry, entry.m_config_appends,
        core::WorkerDrain{
            .m_agent = {agent}, .m_draining = on, .m_operator = "operator", .m_change_id = change});
  });
}

void PostUpdate(Sim& sim, SimEntry& entry, const std::string& topic, const std::string& update,
                TextFunction answer) {
  AfterInProcess(sim, entry.m_process, RandomDuration(sim, 1ms, 5ms),
                 [&sim, &entry, topic, update, answer = std::move(answer)] {
                   if (IsLogReadStale(sim, entry)) return answer("not_run", {});
                   entry.m_posts[update] = answer;
                   QueueRecord(sim, entry, entry.m_job_appends,
                               core::WatchUpdated{
                                   .m_topic = {topic}, .m_update_id = update, .m_value = update});
                 });
}

}  // namespace ebonypin::faults
