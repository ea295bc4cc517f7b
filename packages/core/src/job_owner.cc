#include "ebonypin/core/job_owner.h"

#include <algorithm>
#include <utility>

#include "job_owner_steps.h"

namespace ebonypin::core {
namespace {

using namespace std::chrono_literals;
using owner::Turn;

constexpr Duration kProbeRetry = 1s;

/// The JobAssigned that the fold accepted.
void OnAssigned(Turn& turn, const JobState& state, OwnedJob& job) {
  const bool expected = job.m_stage == OwnedStage::kAssigning && job.m_attempt == state.m_attempt &&
                        job.m_agent == state.m_agent &&
                        job.m_agent_incarnation == state.m_agent_incarnation &&
                        job.m_reservation == state.m_reservation;
  if (expected && state.m_cancel_requested) {
    owner::Finish(turn, state, job, JobOutcome::kCancelled, {});
  } else if (expected) {
    owner::SendStart(turn, state, job);
  } else {
    // An earlier record of this owner, given up because it was not read back in time. No Start was
    // sent for it.
    job.m_attempt = state.m_attempt;
    owner::Requeue(turn, state, job, {}, "assignment superseded");
  }
}

/// Whether the owned job's stage fits the state of the table.
bool Agrees(const OwnedJob& job, const JobState& state) {
  const bool begins = job.m_stage == OwnedStage::kWaiting ||
                      job.m_stage == OwnedStage::kReserving ||
                      job.m_stage == OwnedStage::kAssigning;
  if (begins) return !state.m_assigned;
  return job.m_attempt == state.m_attempt &&
         (state.m_assigned || job.m_stage == OwnedStage::kEnding);
}

/// Brings the owned job in line with the table after one of its records was read back.
void SyncJob(Turn& turn, const JobEvent& event) {
  JobOwner& owner = turn.m_owner;
  if (owner.m_epochs[event.m_shard] == 0 || event.m_job.IsEmpty()) return;
  const JobState* const state = FindOpen(turn.m_context.m_table, event.m_job);
  if (state == nullptr) {
    owner::DropJob(turn, event.m_job, {.m_acknowledged = true});
    return;
  }
  const auto found = owner.m_jobs.find(event.m_job);
  if (found == owner.m_jobs.end()) {
    owner::TakeJob(turn, *state, true);
    return;
  }
  if (event.m_kind == JobEventKind::kSnapshot && !Agrees(found->second, *state)) {
    // A table that began behind truncated records had the job wrong until now.
    owner::DropJob(turn, event.m_job, {});
    owner::TakeJob(turn, *state, true);
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
      owner::AppendOutcomeKind(turn, *state,
                               job);  // A finish without an attempt, with an old epoch.
    } else if (!begins && event.m_kind == JobEventKind::kRequeued) {
      owner::AnswerReports(turn, job, {.m_acknowledged = true});
      owner::Wait(turn, event.m_job, job, job.m_failures > 0 ? Duration{1s} : Duration::zero());
    } else if (own_void) {
      owner::Wait(turn, event.m_job, job, 100ms);
    }
  } else if (begins) {
    OnAssigned(turn, *state, job);
  } else if (job.m_stage == OwnedStage::kEnding && event.m_kind == JobEventKind::kVoid &&
             event.m_attempt == state->m_attempt) {
    owner::AppendOutcomeKind(turn, *state, job);  // Void by the epoch of a renewed claim.
  } else if (event.m_kind == JobEventKind::kCancelRequested &&
             job.m_stage == OwnedStage::kRunning) {
    owner::SendCancel(turn, *state, job);
  }
}

void OnReserveReply(Turn& turn, const JobState& state, OwnedJob& job, const Message& message) {
  const auto* const reply = std::get_if<ReserveReply>(&message);
  if (reply == nullptr || !reply->m_granted) {
    ++job.m_failures;
    const auto* const error = std::get_if<Error>(&message);
    job.m_last_refusal = reply != nullptr   ? reply->m_error.m_message
                         : error != nullptr ? error->m_message
                                            : "unexpected reply";
    owner::Wait(turn, state.m_job, job, 100ms * (1U << std::min(job.m_failures, 4U)));
    return;
  }
  const JobOwner& owner = turn.m_owner;
  job.m_reservation = reply->m_reservation;
  // The first grant counts at the agent from when it made the reservation.
  job.m_safe_after = turn.m_context.m_now + Lengthen(owner.m_options, owner.m_options.m_grant);
  job.m_former_until = {};
  owner::SetStage(turn, state.m_job, job, OwnedStage::kAssigning,
                  turn.m_context.m_now + owner.m_options.m_read_back);
  turn.m_actions.emplace_back(
      AppendRecord{JobAssigned{.m_job = state.m_job,
                               .m_attempt = job.m_attempt,
                               .m_epoch = owner.m_epochs[ShardOf(state.m_job)],
                               .m_entry = owner.m_options.m_entry,
                               .m_agent = job.m_agent,
                               .m_agent_incarnation = job.m_agent_incarnation,
                               .m_reservation = job.m_reservation}});
}

void OnStartReply(Turn& turn, const JobState& state, OwnedJob& job, const Message& message) {
  if (const auto* const reply = std::get_if<StartReply>(&message)) {
    if (reply->m_started) {
      owner::MarkRunning(turn, state, job);
      return;
    }
    // A start that reached an earlier process of the agent may have run there.
    if (reply->m_error.m_kind != ErrorKind::kStaleIncarnation) {
      ++job.m_failures;
      owner::Requeue(turn, state, job, {}, reply->m_error.m_message);
      return;
    }
  } else if (const auto* const error = std::get_if<Error>(&message);
             error != nullptr && error->m_kind == ErrorKind::kNoCapacity) {
    ++job.m_failures;
    owner::Requeue(turn, state, job, {}, "the start was not sent");
    return;
  }
  owner::BeginProbe(turn, state, job);
}

void OnFenceReply(Turn& turn, const JobState& state, OwnedJob& job, const Message& message) {
  const auto* const reply = std::get_if<FenceReply>(&message);
  if (reply == nullptr || reply->m_incarnation < state.m_agent_incarnation) {
    owner::DecideProbe(turn, state, job);
    return;
  }
  const bool same_process = reply->m_incarnation == state.m_agent_incarnation;
  if (reply->m_phase == AttemptPhase::kNeverStarted && !same_process && job.m_may_have_started &&
      (job.m_non_idempotent || job.m_exclusive)) {
    // The new process does not know what the earlier one did.
    owner::DecideProbe(turn, state, job);
    return;
  }
  if (reply->m_phase == AttemptPhase::kRunning) {
    const JobOwnerOptions& options = turn.m_owner.m_options;
    // The agent now refuses grants of former owners; earlier ones end with a grant from now.
    if (same_process) job.m_former_until = {};
    job.m_safe_after =
        std::max(job.m_safe_after, turn.m_context.m_now + Lengthen(options, options.m_grant));
  }
  owner::EndAttempt(turn, state, job, reply->m_phase, reply->m_outcome, reply->m_result,
                    reply->m_checkpoint);
}

void OnCancelReply(Turn& turn, const JobState& state, OwnedJob& job, const Message& message) {
  const auto* const reply = std::get_if<CancelReply>(&message);
  if (reply != nullptr && !reply->m_stopped) {
    owner::SetStage(turn, state.m_job, job, OwnedStage::kCancelling,
                    turn.m_context.m_now + kProbeRetry);
    return;
  }
  // Learns how the attempt ended, or that the agent is gone.
  owner::BeginProbe(turn, state, job);
  if (reply == nullptr)  // Not at once, since the agent does not answer.
    owner::SetStage(turn, state.m_job, job, OwnedStage::kProbing,
                    turn.m_context.m_now + kProbeRetry);
}

/// What to do with a job whose time has come.
void OnDue(Turn& turn, const JobId& id, OwnedJob& job) {
  const Time now = turn.m_context.m_now;
  const JobState* const state = FindOpen(turn.m_context.m_table, id);
  if (state == nullptr) {  // Closed; the event is about to be passed on.
    owner::SetStage(turn, id, job, job.m_stage, now + 1s);
    return;
  }
  switch (job.m_stage) {
    case OwnedStage::kWaiting:
      owner::Wait(turn, id, job, Duration::zero());
      return;
    case OwnedStage::kReserving:
      OnReserveReply(turn, *state, job, Error{.m_kind = ErrorKind::kTimeout});
      return;
    case OwnedStage::kStarting:
    case OwnedStage::kCancelling:
      if (state->m_cancel_requested && job.m_stage == OwnedStage::kCancelling && job.m_call == 0) {
        owner::SendCancel(turn, *state, job);
      } else {
        owner::BeginProbe(turn, *state, job);
      }
      return;
    case OwnedStage::kProbing:
      if (job.m_call != 0) {
        owner::DecideProbe(turn, *state, job);
      } else {
        owner::SendFence(turn, *state, job);
      }
      return;
    case OwnedStage::kRunning:
      if (!job.m_replaced && turn.m_context.m_policy.m_is_live(state->m_agent)) {
        owner::SetStage(turn, id, job, OwnedStage::kRunning,
                        now + turn.m_owner.m_options.m_removal / 2);
      } else {
        owner::BeginProbe(turn, *state, job);
      }
      return;
    case OwnedStage::kAssigning:
    case OwnedStage::kEnding:
      if (!owner::LogIsFresh(turn)) {
        owner::SetStage(turn, id, job, job.m_stage, now + 1s);
      } else if (job.m_stage == OwnedStage::kEnding) {
        owner::AppendOutcomeKind(turn, *state, job);
      } else {
        owner::Wait(turn, id, job, Duration::zero());
      }
      return;
  }
}

void RunTimers(Turn& turn) {
  auto& timers = turn.m_owner.m_timers;
  std::vector<JobId> due;
  for (auto it = timers.begin(); it != timers.end() && it->first <= turn.m_context.m_now; ++it)
    due.push_back(it->second);
  for (const JobId& id : due) {
    const auto found = turn.m_owner.m_jobs.find(id);
    if (found != turn.m_owner.m_jobs.end()) OnDue(turn, id, found->second);
  }
  owner::AnswerWaitingReports(turn);
}

}  // namespace

JobOwner MakeJobOwner(JobOwnerOptions options) { return {.m_options = std::move(options)}; }

Duration Lengthen(const JobOwnerOptions& options, const Duration wait) noexcept {
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
  Turn turn{.m_owner = owner, .m_context = context};
  for (const JobEvent& event : events) {
    if (event.m_kind == JobEventKind::kShardClaimed || event.m_kind == JobEventKind::kShardReleased)
      owner::SyncShard(turn, event.m_shard);
    if (!event.m_job.IsEmpty()) SyncJob(turn, event);
  }
  owner::PlaceReady(turn);
  return std::move(turn.m_actions);
}

OwnerActions OnAgentReply(JobOwner& owner, const OwnerContext& context, const OwnerCallId call,
                          const Message& reply) {
  Turn turn{.m_owner = owner, .m_context = context};
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
      OnReserveReply(turn, *state, job, reply);
      break;
    case OwnedStage::kStarting:
      OnStartReply(turn, *state, job, reply);
      break;
    case OwnedStage::kProbing:
      OnFenceReply(turn, *state, job, reply);
      break;
    case OwnedStage::kCancelling:
      OnCancelReply(turn, *state, job, reply);
      break;
    default:
      break;
  }
  owner::PlaceReady(turn);
  return std::move(turn.m_actions);
}

OwnerActions OnTick(JobOwner& owner, const OwnerContext& context, const TickInput& input) {
  Turn turn{.m_owner = owner, .m_context = context};
  RunTimers(turn);
  if (owner::LogIsFresh(turn)) {
    owner::FollowPlan(turn, input.m_plan);
    owner::RewriteOld(turn, input);
  }
  owner::PlaceReady(turn);
  return std::move(turn.m_actions);
}

}  // namespace ebonypin::core
