#include "ebonypin/core/job_owner.h"

#include <algorithm>
#include <utility>

#include "job_owner_steps.h"

namespace ebonypin::core {
namespace {

using namespace std::chrono_literals;
using owner::Transition;

constexpr Duration kProbeRetry = 1s;

/// Handles the current assignment of a job that was not assigned before.
void OnAssigned(Transition& transition, const JobState& state, OwnedJob& job) {
  const bool expected = job.m_stage == OwnedStage::kAssigning && job.m_attempt == state.m_attempt &&
                        job.m_agent == state.m_agent &&
                        job.m_agent_incarnation == state.m_agent_incarnation &&
                        job.m_reservation == state.m_reservation;
  if (expected && state.m_cancel_requested) {
    owner::Finish(transition, state, job, JobOutcome::kCancelled, {});
  } else if (expected) {
    owner::SendStart(transition, state, job);
  } else {
    // An earlier record of this owner that was not read back in time and was superseded. No start
    // was sent for it.
    job.m_attempt = state.m_attempt;
    owner::Requeue(transition, state, job, {}, "assignment superseded");
  }
}

/// Returns whether the stage of the owned job is consistent with the job's state in the table.
bool IsConsistent(const OwnedJob& job, const JobState& state) {
  const bool begins = job.m_stage == OwnedStage::kWaiting ||
                      job.m_stage == OwnedStage::kReserving ||
                      job.m_stage == OwnedStage::kAssigning;
  if (begins) return !state.m_assigned;
  return job.m_attempt == state.m_attempt &&
         (state.m_assigned || job.m_stage == OwnedStage::kEnding);
}

/// Updates the owned job from the table after one of the job's records was read back.
void SyncJob(Transition& transition, const JobEvent& event) {
  JobOwner& owner = transition.m_owner;
  if (owner.m_epochs[event.m_shard] == 0 || event.m_job.IsEmpty()) return;
  const JobState* const state = FindOpen(transition.m_context.m_table, event.m_job);
  if (state == nullptr) {
    owner::RemoveJob(transition, event.m_job, {.m_acknowledged = true});
    return;
  }
  const auto found = owner.m_jobs.find(event.m_job);
  if (found == owner.m_jobs.end()) {
    owner::AddJob(transition, *state, true);
    return;
  }
  if (event.m_kind == JobEventKind::kSnapshot && !IsConsistent(found->second, *state)) {
    // A partial table had a wrong state of the job until this snapshot.
    owner::RemoveJob(transition, event.m_job, {});
    owner::AddJob(transition, *state, true);
    return;
  }
  OwnedJob& job = found->second;
  const bool begins = job.m_stage == OwnedStage::kWaiting ||
                      job.m_stage == OwnedStage::kReserving ||
                      job.m_stage == OwnedStage::kAssigning;
  if (!state->m_assigned) {
    const bool own_void = event.m_kind == JobEventKind::kVoid &&
                          job.m_stage == OwnedStage::kAssigning && event.m_attempt == job.m_attempt;
    if (!begins && job.m_end == AttemptEnd::kFinish && job.m_attempt == state->m_attempt &&
        event.m_kind == JobEventKind::kVoid) {
      // A finish without an attempt was void by its old epoch.
      owner::AppendEndRecord(transition, *state, job);
    } else if (!begins && event.m_kind == JobEventKind::kRequeued) {
      owner::AnswerReports(transition, job, {.m_acknowledged = true});
      owner::QueueForPlacement(transition, event.m_job, job,
                               job.m_failures > 0 ? Duration{1s} : Duration::zero());
    } else if (own_void) {
      owner::QueueForPlacement(transition, event.m_job, job, 100ms);
    }
  } else if (begins) {
    OnAssigned(transition, *state, job);
  } else if (job.m_stage == OwnedStage::kEnding && event.m_kind == JobEventKind::kVoid &&
             event.m_attempt == state->m_attempt) {
    // The record was void because a renewed claim raised the epoch.
    owner::AppendEndRecord(transition, *state, job);
  } else if (event.m_kind == JobEventKind::kCancelRequested &&
             job.m_stage == OwnedStage::kRunning) {
    owner::SendCancel(transition, *state, job);
  }
}

void OnReserveReply(Transition& transition, const JobState& state, OwnedJob& job,
                    const Message& message) {
  const auto* const reply = std::get_if<ReserveReply>(&message);
  if (reply == nullptr || !reply->m_granted) {
    ++job.m_failures;
    const auto* const error = std::get_if<Error>(&message);
    job.m_last_refusal = reply != nullptr   ? reply->m_error.m_message
                         : error != nullptr ? error->m_message
                                            : "unexpected reply";
    owner::QueueForPlacement(transition, state.m_job, job,
                             100ms * (1U << std::min(job.m_failures, 4U)));
    return;
  }
  const JobOwner& owner = transition.m_owner;
  job.m_reservation = reply->m_reservation;
  // At the agent, the first grant starts when the reservation is made.
  job.m_own_grants_end =
      transition.m_context.m_now + AddClockMargin(owner.m_options, owner.m_options.m_grant);
  job.m_former_grants_end = {};
  owner::SetStage(transition, state.m_job, job, OwnedStage::kAssigning,
                  transition.m_context.m_now + owner.m_options.m_read_back_timeout);
  transition.m_actions.emplace_back(
      AppendRecord{JobAssigned{.m_job = state.m_job,
                               .m_attempt = job.m_attempt,
                               .m_epoch = owner.m_epochs[ShardOf(state.m_job)],
                               .m_entry = owner.m_options.m_entry,
                               .m_agent = job.m_agent,
                               .m_agent_incarnation = job.m_agent_incarnation,
                               .m_reservation = job.m_reservation}});
}

void OnStartReply(Transition& transition, const JobState& state, OwnedJob& job,
                  const Message& message) {
  if (const auto* const reply = std::get_if<StartReply>(&message)) {
    if (reply->m_started) {
      owner::MarkRunning(transition, state, job);
      return;
    }
    // The start may have reached an earlier process of the agent and run there.
    if (reply->m_error.m_kind != ErrorKind::kStaleIncarnation) {
      ++job.m_failures;
      owner::Requeue(transition, state, job, {}, reply->m_error.m_message);
      return;
    }
  } else if (const auto* const error = std::get_if<Error>(&message);
             error != nullptr && error->m_kind == ErrorKind::kNoCapacity) {
    ++job.m_failures;
    owner::Requeue(transition, state, job, {}, "the start was not sent");
    return;
  }
  owner::BeginProbe(transition, state, job);
}

void OnFenceReply(Transition& transition, const JobState& state, OwnedJob& job,
                  const Message& message) {
  const auto* const reply = std::get_if<FenceReply>(&message);
  if (reply == nullptr || reply->m_incarnation < state.m_agent_incarnation) {
    owner::DecideProbe(transition, state, job);
    return;
  }
  const bool same_process = reply->m_incarnation == state.m_agent_incarnation;
  if (reply->m_phase == AttemptPhase::kNeverStarted && !same_process && job.m_may_have_started &&
      (job.m_non_idempotent || job.m_exclusive)) {
    // The new process does not know whether the earlier one ran the attempt.
    owner::DecideProbe(transition, state, job);
    return;
  }
  if (reply->m_phase == AttemptPhase::kRunning) {
    const JobOwnerOptions& options = transition.m_owner.m_options;
    // The agent now refuses grants of former owners. Their earlier grants end no later than a grant
    // given now.
    if (same_process) job.m_former_grants_end = {};
    job.m_own_grants_end =
        std::max(job.m_own_grants_end,
                 transition.m_context.m_now + AddClockMargin(options, options.m_grant));
  }
  owner::EndAttempt(transition, state, job, reply->m_phase, reply->m_outcome, reply->m_result,
                    reply->m_checkpoint);
}

void OnCancelReply(Transition& transition, const JobState& state, OwnedJob& job,
                   const Message& message) {
  const auto* const reply = std::get_if<CancelReply>(&message);
  if (reply != nullptr && !reply->m_stopped) {
    owner::SetStage(transition, state.m_job, job, OwnedStage::kCancelling,
                    transition.m_context.m_now + kProbeRetry);
    return;
  }
  // The probe determines how the attempt ended, or that the agent was removed.
  owner::BeginProbe(transition, state, job);
  if (reply == nullptr)  // The agent did not answer, so the probe waits.
    owner::SetStage(transition, state.m_job, job, OwnedStage::kProbing,
                    transition.m_context.m_now + kProbeRetry);
}

/// Handles a job whose timer is due.
void OnDue(Transition& transition, const JobId& id, OwnedJob& job) {
  const Time now = transition.m_context.m_now;
  const JobState* const state = FindOpen(transition.m_context.m_table, id);
  if (state == nullptr) {  // The job is closed; its event has not been passed on yet.
    owner::SetStage(transition, id, job, job.m_stage, now + 1s);
    return;
  }
  switch (job.m_stage) {
    case OwnedStage::kWaiting:
      owner::QueueForPlacement(transition, id, job, Duration::zero());
      return;
    case OwnedStage::kReserving:
      OnReserveReply(transition, *state, job, Error{.m_kind = ErrorKind::kTimeout});
      return;
    case OwnedStage::kStarting:
    case OwnedStage::kCancelling:
      if (state->m_cancel_requested && job.m_stage == OwnedStage::kCancelling && job.m_call == 0) {
        owner::SendCancel(transition, *state, job);
      } else {
        owner::BeginProbe(transition, *state, job);
      }
      return;
    case OwnedStage::kProbing:
      if (job.m_call != 0) {
        owner::DecideProbe(transition, *state, job);
      } else {
        owner::SendFence(transition, *state, job);
      }
      return;
    case OwnedStage::kRunning:
      if (!job.m_agent_replaced && transition.m_context.m_policy.m_is_live(state->m_agent)) {
        owner::SetStage(transition, id, job, OwnedStage::kRunning,
                        now + transition.m_owner.m_options.m_agent_removal_timeout / 2);
      } else {
        owner::BeginProbe(transition, *state, job);
      }
      return;
    case OwnedStage::kAssigning:
    case OwnedStage::kEnding:
      if (!owner::LogIsFresh(transition)) {
        owner::SetStage(transition, id, job, job.m_stage, now + 1s);
      } else if (job.m_stage == OwnedStage::kEnding) {
        owner::AppendEndRecord(transition, *state, job);
      } else {
        owner::QueueForPlacement(transition, id, job, Duration::zero());
      }
      return;
  }
}

void RunTimers(Transition& transition) {
  auto& timers = transition.m_owner.m_timers;
  std::vector<JobId> due;
  for (auto it = timers.begin(); it != timers.end() && it->first <= transition.m_context.m_now;
       ++it)
    due.push_back(it->second);
  for (const JobId& id : due) {
    const auto found = transition.m_owner.m_jobs.find(id);
    if (found != transition.m_owner.m_jobs.end()) OnDue(transition, id, found->second);
  }
  owner::AnswerWaitingReports(transition);
}

}  // namespace

JobOwner MakeJobOwner(JobOwnerOptions options) { return {.m_options = std::move(options)}; }

Duration AddClockMargin(const JobOwnerOptions& options, const Duration wait) noexcept {
  return wait + wait * options.m_clock_error_percent / 100 + options.m_clock_margin;
}

bool OwnsShard(const JobOwner& owner, const JobTable& table, const ShardIndex shard) noexcept {
  const ShardState& state = table.m_shards[shard];
  return state.m_owner == owner.m_options.m_entry &&
         state.m_owner_incarnation == owner.m_options.m_incarnation;
}

std::size_t UnresolvedCount(const JobOwner& owner) noexcept {
  return static_cast<std::size_t>(
      std::count_if(owner.m_jobs.begin(), owner.m_jobs.end(), [](const auto& item) {
        return item.second.m_stage == OwnedStage::kProbing && item.second.m_non_idempotent;
      }));
}

void OnLogRead(JobOwner& owner, const Time asked) {
  owner.m_caught_up = true;
  owner.m_last_log_read = std::max(owner.m_last_log_read, asked);
}

OwnerActions OnJobEvents(JobOwner& owner, const OwnerContext& context,
                         const std::span<const JobEvent> events) {
  Transition transition{.m_owner = owner, .m_context = context};
  for (const JobEvent& event : events) {
    if (event.m_kind == JobEventKind::kShardClaimed || event.m_kind == JobEventKind::kShardReleased)
      owner::SyncShard(transition, event.m_shard);
    if (!event.m_job.IsEmpty()) SyncJob(transition, event);
  }
  owner::PlaceReady(transition);
  return std::move(transition.m_actions);
}

OwnerActions OnAgentReply(JobOwner& owner, const OwnerContext& context, const OwnerCallId call,
                          const Message& reply) {
  Transition transition{.m_owner = owner, .m_context = context};
  const auto found = owner.m_calls.find(call);
  if (found == owner.m_calls.end()) return {};
  const JobId id = found->second;
  owner.m_calls.erase(found);
  const auto owned = owner.m_jobs.find(id);
  const JobState* const state = FindOpen(context.m_table, id);
  if (owned == owner.m_jobs.end() || state == nullptr || owned->second.m_call != call) return {};
  OwnedJob& job = owned->second;
  job.m_call = 0;
  switch (job.m_stage) {
    case OwnedStage::kReserving:
      OnReserveReply(transition, *state, job, reply);
      break;
    case OwnedStage::kStarting:
      OnStartReply(transition, *state, job, reply);
      break;
    case OwnedStage::kProbing:
      OnFenceReply(transition, *state, job, reply);
      break;
    case OwnedStage::kCancelling:
      OnCancelReply(transition, *state, job, reply);
      break;
    default:
      break;
  }
  owner::PlaceReady(transition);
  return std::move(transition.m_actions);
}

OwnerActions OnTick(JobOwner& owner, const OwnerContext& context, const TickInput& input) {
  Transition transition{.m_owner = owner, .m_context = context};
  RunTimers(transition);
  if (owner::LogIsFresh(transition)) {
    owner::ApplyShardPlan(transition, input.m_plan);
    owner::RewriteOldRecords(transition, input);
  }
  owner::PlaceReady(transition);
  return std::move(transition.m_actions);
}

}  // namespace ebonypin::core
