#include <algorithm>
#include <utility>

#include "job_owner_steps.h"

namespace ebonypin::core {
namespace {

using namespace std::chrono_literals;
using owner::Transition;

/// Reports are answered after this time even when no end was read back; the agent repeats them.
constexpr Duration kHoldReport = 3s;

/// Answers reports about unknown jobs. The table may lag behind the log, so a report is
/// acknowledged only when a log read that was requested after the report's arrival did not contain
/// the job.
void AnswerUnknown(Transition& transition) {
  JobOwner& owner = transition.m_owner;
  const JobTable& table = transition.m_context.m_table;
  std::erase_if(owner.m_unknown_reports, [&](const UnknownReport& report) {
    const bool read_since = owner.m_last_log_read >= report.m_received;
    if (!read_since && transition.m_context.m_now - report.m_received < kHoldReport) return false;
    const ShardIndex shard = ShardOf(report.m_job);
    TaskReportReply reply;
    if (owner.m_epochs[shard] == 0) {
      reply = owner::NotOwnerReply(table, shard);
    } else {
      reply.m_acknowledged = read_since && FindOpen(table, report.m_job) == nullptr;
    }
    transition.m_actions.emplace_back(ReplyToReport{.m_call = report.m_call, .m_reply = reply});
    return true;
  });
}

/// Records the agent's incarnation. A new process may not know the attempts of an earlier one, so
/// they are probed.
void RecordIncarnation(Transition& transition, const Heartbeat& heartbeat) {
  Incarnation& newest = transition.m_owner.m_agents[heartbeat.m_agent];
  if (heartbeat.m_incarnation <= newest) return;
  newest = heartbeat.m_incarnation;
  for (auto& [id, job] : transition.m_owner.m_jobs) {
    if (job.m_stage != OwnedStage::kRunning || job.m_agent != heartbeat.m_agent ||
        job.m_agent_incarnation >= newest)
      continue;
    job.m_agent_replaced = true;
    owner::SetStage(transition, id, job, OwnedStage::kRunning, transition.m_context.m_now);
  }
}

}  // namespace

void owner::AnswerWaitingReports(Transition& transition) {
  AnswerUnknown(transition);
  auto& held = transition.m_owner.m_held_reports;
  while (!held.empty() && transition.m_context.m_now - held.begin()->first >= kHoldReport) {
    const auto found = transition.m_owner.m_jobs.find(held.begin()->second);
    held.erase(held.begin());
    if (found != transition.m_owner.m_jobs.end())
      owner::AnswerReports(transition, found->second, {});
  }
}

OwnerActions OnTaskReport(JobOwner& owner, const OwnerContext& context, const ReportCallId call,
                          const TaskReport& report) {
  Transition transition{.m_owner = owner, .m_context = context};
  const auto answer = [&transition, call](TaskReportReply reply) {
    transition.m_actions.emplace_back(ReplyToReport{.m_call = call, .m_reply = std::move(reply)});
    return std::move(transition.m_actions);
  };
  const ShardIndex shard = ShardOf(report.m_job);
  if (!owner.m_caught_up) return answer({});
  if (owner.m_epochs[shard] == 0) return answer(owner::NotOwnerReply(context.m_table, shard));
  const JobState* const state = FindOpen(context.m_table, report.m_job);
  if (state == nullptr) {
    if (FindClosed(context.m_table, report.m_job) != nullptr)
      return answer({.m_acknowledged = true});
    owner.m_unknown_reports.push_back(
        {.m_call = call, .m_job = report.m_job, .m_received = context.m_now});
    return {};
  }
  const auto found = owner.m_jobs.find(report.m_job);
  if (report.m_attempt < state->m_attempt ||
      (report.m_attempt == state->m_attempt && !state->m_assigned))
    return answer({.m_acknowledged = true});
  // While the log is not available, the agent keeps the completion and repeats the report.
  if (report.m_attempt > state->m_attempt || found == owner.m_jobs.end() ||
      !owner::LogIsFresh(transition) || report.m_phase == AttemptPhase::kRunning)
    return answer({});
  OwnedJob& job = found->second;
  job.m_reports.push_back(call);
  owner.m_held_reports.emplace(context.m_now, report.m_job);
  if (job.m_stage != OwnedStage::kEnding)
    owner::EndAttempt(transition, *state, job, report.m_phase, report.m_outcome, report.m_result,
                      report.m_checkpoint);
  return std::move(transition.m_actions);
}

std::vector<Grant> OnHeartbeat(JobOwner& owner, const OwnerContext& context,
                               const Heartbeat& heartbeat) {
  Transition transition{.m_owner = owner, .m_context = context};
  std::vector<Grant> grants;
  RecordIncarnation(transition, heartbeat);
  if (!owner::HasAuthority(transition)) return grants;
  for (const AttemptRef& ref : heartbeat.m_attempts) {
    const ShardIndex shard = ShardOf(ref.m_job);
    if (owner.m_epochs[shard] == 0) continue;
    Grant grant{.m_job = ref.m_job, .m_epoch = owner.m_epochs[shard]};
    const JobState* const state = FindOpen(context.m_table, ref.m_job);
    if (state == nullptr || ref.m_attempt < state->m_attempt ||
        (ref.m_attempt == state->m_attempt && !state->m_assigned)) {
      // The number of a later attempt tells the agent that this one has ended.
      grant.m_attempt =
          state == nullptr || !state->m_assigned ? ref.m_attempt + 1 : state->m_attempt;
      grants.push_back(std::move(grant));
      continue;
    }
    const auto found = owner.m_jobs.find(ref.m_job);
    if (found == owner.m_jobs.end() || ref.m_attempt != state->m_attempt ||
        heartbeat.m_agent != state->m_agent)
      continue;
    OwnedJob& job = found->second;
    if (job.m_stage == OwnedStage::kEnding) continue;
    job.m_own_grants_end =
        std::max(job.m_own_grants_end,
                 context.m_now + AddClockMargin(owner.m_options, owner.m_options.m_grant));
    if (ref.m_epoch == grant.m_epoch && heartbeat.m_incarnation == state->m_agent_incarnation)
      job.m_former_grants_end = {};
    job.m_agent_removed = false;
    job.m_agent_replaced = false;
    grant.m_attempt = ref.m_attempt;
    grant.m_granted = true;
    grants.push_back(std::move(grant));
  }
  return grants;
}

OwnerActions OnAgentRemoved(JobOwner& owner, const OwnerContext& context, const AgentId& agent) {
  Transition transition{.m_owner = owner, .m_context = context};
  owner.m_agents.erase(agent);
  for (auto& [id, job] : owner.m_jobs) {
    const JobState* const state = FindOpen(context.m_table, id);
    if (state == nullptr || !state->m_assigned || state->m_agent != agent) continue;
    job.m_agent_removed = true;
    if (job.m_stage == OwnedStage::kRunning) owner::BeginProbe(transition, *state, job);
    if (job.m_stage == OwnedStage::kProbing && !job.m_exclusive && !job.m_non_idempotent)
      owner::DecideProbe(transition, *state, job);
  }
  return std::move(transition.m_actions);
}

}  // namespace ebonypin::core
