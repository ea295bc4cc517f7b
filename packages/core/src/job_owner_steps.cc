#include "job_owner_steps.h"

#include <algorithm>
#include <utility>

namespace ebonypin::core::owner {
namespace {

using namespace std::chrono_literals;

constexpr Duration kFirstBackoff = 100ms;
constexpr Duration kMaxBackoff = 2s;
constexpr Duration kProbeInterval = 1s;
/// Limit of placements while one event is handled; the rest follows with the next event.
constexpr std::size_t kPlacementsPerEvent = 256;
/// Slack of jobs without a deadline whose class has no target.
constexpr Duration kDefaultSlack = 24h;

Duration Backoff(const std::uint32_t failures) {
  return std::min<Duration>(kMaxBackoff, kFirstBackoff * (1U << std::min(failures, 8U)));
}

bool IsStarting(const OwnedStage stage) {
  return stage == OwnedStage::kReserving || stage == OwnedStage::kAssigning ||
         stage == OwnedStage::kStarting;
}

Epoch EpochOf(const Transition& transition, const JobId& id) {
  return transition.m_owner.m_epochs[ShardOf(id)];
}

Duration ExpectedRun(const Transition& transition, const WorkRequest& request) {
  const auto& expected = transition.m_context.m_policy.m_expected_run;
  return expected ? expected(request) : request.m_declared_run;
}

void SendCall(Transition& transition, const JobId& id, OwnedJob& job, const AgentId& agent,
              Message request) {
  JobOwner& owner = transition.m_owner;
  owner.m_calls.erase(job.m_call);
  job.m_call = ++owner.m_last_call;
  owner.m_calls.emplace(job.m_call, id);
  transition.m_actions.emplace_back(CallAgent{.m_call = job.m_call,
                                              .m_agent = agent,
                                              .m_request = std::move(request),
                                              .m_deadline = owner.m_options.m_call_deadline});
}

/// Returns the time at which a call without an outcome counts as failed.
Time CallDue(const Transition& transition) {
  return transition.m_context.m_now + transition.m_owner.m_options.m_call_deadline + 1s;
}

void ReadClass(const Transition& transition, const JobState& state, OwnedJob& job) {
  const ClassSpec* const spec = transition.m_context.m_policy.m_class(state.m_request.m_class);
  job.m_exclusive = spec == nullptr || spec->m_exclusive;
  job.m_non_idempotent =
      spec == nullptr || spec->m_non_idempotent || state.m_request.m_non_idempotent;
}

Time LatestStart(const Transition& transition, const JobState& state) {
  const WorkRequest& request = state.m_request;
  const ClassSpec* const spec = transition.m_context.m_policy.m_class(request.m_class);
  Duration slack = kDefaultSlack;
  if (spec != nullptr && spec->m_target.m_start_within)
    slack = std::min(slack, *spec->m_target.m_start_within);
  const Duration run = ExpectedRun(transition, request);
  if (spec != nullptr && spec->m_target.m_finish_within)
    slack = std::min(slack, *spec->m_target.m_finish_within - run);
  if (request.m_deadline) slack = std::min(slack, *request.m_deadline - run);
  return transition.m_context.m_now + slack;
}

void SendReserve(Transition& transition, const JobState& state, OwnedJob& job,
                 const OwnerPlacement& place) {
  ReadClass(transition, state, job);
  job.m_agent = place.m_agent;
  job.m_agent_incarnation = place.m_incarnation;
  job.m_attempt = state.m_attempt + 1;
  SetStage(transition, state.m_job, job, OwnedStage::kReserving, CallDue(transition));
  SendCall(transition, state.m_job, job, place.m_agent,
           ReserveRequest{.m_job = state.m_job,
                          .m_attempt = job.m_attempt,
                          .m_epoch = EpochOf(transition, state.m_job),
                          .m_incarnation = place.m_incarnation,
                          .m_class = state.m_request.m_class,
                          .m_size = state.m_request.m_size,
                          .m_expected_run = ExpectedRun(transition, state.m_request)});
}

}  // namespace

bool LogIsFresh(const Transition& transition) noexcept {
  return transition.m_owner.m_caught_up &&
         transition.m_context.m_now - transition.m_owner.m_last_log_read <=
             transition.m_owner.m_options.m_max_log_age;
}

bool HasAuthority(const Transition& transition) noexcept {
  return transition.m_owner.m_caught_up &&
         transition.m_context.m_now - transition.m_owner.m_last_log_read <=
             transition.m_owner.m_options.m_authority;
}

void SetStage(Transition& transition, const JobId& id, OwnedJob& job, const OwnedStage stage,
              const Time due) {
  JobOwner& owner = transition.m_owner;
  if (job.m_stage == OwnedStage::kWaiting) owner.m_ready.erase({job.m_latest_start, id});
  if (job.m_due != Time::max()) owner.m_timers.erase({job.m_due, id});
  owner.m_starting += IsStarting(stage) ? 1 : 0;
  owner.m_starting -= IsStarting(job.m_stage) ? 1 : 0;
  owner.m_calls.erase(job.m_call);
  job.m_call = 0;
  job.m_stage = stage;
  job.m_due = due;
  if (due != Time::max()) owner.m_timers.emplace(due, id);
}

void QueueForPlacement(Transition& transition, const JobId& id, OwnedJob& job,
                       const Duration delay) {
  job.m_end = AttemptEnd::kNone;
  job.m_result_or_checkpoint.clear();
  job.m_may_have_started = false;
  job.m_agent_removed = false;
  job.m_agent_replaced = false;
  if (delay > Duration::zero()) {
    SetStage(transition, id, job, OwnedStage::kWaiting, transition.m_context.m_now + delay);
  } else {
    SetStage(transition, id, job, OwnedStage::kWaiting, Time::max());
    transition.m_owner.m_ready.emplace(job.m_latest_start, id);
  }
}

void PlaceReady(Transition& transition) {
  JobOwner& owner = transition.m_owner;
  if (!LogIsFresh(transition)) return;
  for (std::size_t i = 0; i < kPlacementsPerEvent && !owner.m_ready.empty() &&
                          owner.m_starting < owner.m_options.m_max_starting;
       ++i) {
    const JobId id = owner.m_ready.begin()->second;
    OwnedJob& job = owner.m_jobs.at(id);
    const JobState* const state = FindOpen(transition.m_context.m_table, id);
    if (state == nullptr) {  // Its closing event is handled next.
      owner.m_ready.erase(owner.m_ready.begin());
      continue;
    }
    if (owner.m_releasing[ShardOf(id)]) {
      QueueForPlacement(transition, id, job, kMaxBackoff);
      continue;
    }
    const OwnerPlacement place = transition.m_context.m_policy.m_place(*state);
    switch (place.m_kind) {
      case OwnerPlacementKind::kAgent:
        SendReserve(transition, *state, job, place);
        break;
      case OwnerPlacementKind::kLater:
        // The job leaves the ready queue for the backoff, so that it does not block jobs behind it.
        job.m_last_refusal = place.m_reason;
        QueueForPlacement(transition, id, job, Backoff(job.m_failures++));
        break;
      case OwnerPlacementKind::kNeverFits:
        job.m_attempt = state->m_attempt;
        Finish(transition, *state, job, JobOutcome::kNeverFits, place.m_reason);
        break;
    }
  }
}

void SendStart(Transition& transition, const JobState& state, OwnedJob& job) {
  job.m_may_have_started = true;
  SetStage(transition, state.m_job, job, OwnedStage::kStarting, CallDue(transition));
  SendCall(transition, state.m_job, job, state.m_agent,
           StartRequest{.m_job = state.m_job,
                        .m_attempt = state.m_attempt,
                        .m_epoch = EpochOf(transition, state.m_job),
                        .m_incarnation = state.m_agent_incarnation,
                        .m_reservation = state.m_reservation,
                        .m_exclusive = job.m_exclusive,
                        .m_checkpoint = state.m_checkpoint,
                        .m_payload = state.m_request.m_payload});
}

void BeginProbe(Transition& transition, const JobState& state, OwnedJob& job) {
  if (job.m_stage != OwnedStage::kProbing) {
    job.m_probe_since = transition.m_context.m_now;
    job.m_failures = 0;
  }
  SendFence(transition, state, job);
}

void SendFence(Transition& transition, const JobState& state, OwnedJob& job) {
  SetStage(transition, state.m_job, job, OwnedStage::kProbing, CallDue(transition));
  SendCall(transition, state.m_job, job, state.m_agent,
           FenceRequest{.m_job = state.m_job,
                        .m_attempt = state.m_attempt,
                        .m_epoch = EpochOf(transition, state.m_job),
                        .m_stop = false});
}

void DecideProbe(Transition& transition, const JobState& state, OwnedJob& job) {
  const Time now = transition.m_context.m_now;
  const JobOwnerOptions& options = transition.m_owner.m_options;
  SetStage(transition, state.m_job, job, OwnedStage::kProbing, now + kProbeInterval);
  if (!job.m_may_have_started) {
    Requeue(transition, state, job, {}, "never started");
  } else if (job.m_non_idempotent) {
    if (now >= job.m_probe_since + options.m_unresolved_timeout)
      Finish(transition, state, job, JobOutcome::kUnknown, "the attempt's end cannot be learned");
  } else if (job.m_exclusive) {
    if (now >= job.m_own_grants_end && now >= job.m_former_grants_end)
      Requeue(transition, state, job, {}, "the attempt's grants have ended");
  } else if (job.m_agent_removed || (now >= job.m_probe_since + options.m_agent_removal_timeout &&
                                     !transition.m_context.m_policy.m_is_live(state.m_agent))) {
    Requeue(transition, state, job, {}, "the agent was removed");
  }
}

void SendCancel(Transition& transition, const JobState& state, OwnedJob& job) {
  SetStage(transition, state.m_job, job, OwnedStage::kCancelling, CallDue(transition));
  SendCall(transition, state.m_job, job, state.m_agent,
           CancelRequest{.m_job = state.m_job, .m_epoch = EpochOf(transition, state.m_job)});
}

void MarkRunning(Transition& transition, const JobState& state, OwnedJob& job) {
  job.m_failures = 0;
  job.m_agent_removed = false;
  job.m_agent_replaced = false;
  if (state.m_cancel_requested) {
    SendCancel(transition, state, job);
    return;
  }
  SetStage(transition, state.m_job, job, OwnedStage::kRunning,
           transition.m_context.m_now + transition.m_owner.m_options.m_agent_removal_timeout / 2);
}

void EndAttempt(Transition& transition, const JobState& state, OwnedJob& job,
                const AttemptPhase phase, const JobOutcome outcome, const std::string& result,
                const std::string& checkpoint) {
  switch (phase) {
    case AttemptPhase::kRunning:
      MarkRunning(transition, state, job);
      return;
    case AttemptPhase::kNeverStarted:
      Requeue(transition, state, job, {}, "never started");
      return;
    case AttemptPhase::kStopped:
      if (state.m_cancel_requested) {
        Finish(transition, state, job, JobOutcome::kCancelled, {});
      } else if (job.m_non_idempotent && checkpoint.empty()) {
        // Another attempt would repeat the effects of this one.
        Finish(transition, state, job, JobOutcome::kUnknown, "stopped without a checkpoint");
      } else {
        Requeue(transition, state, job, checkpoint, "stopped");
      }
      return;
    case AttemptPhase::kEnded:
      if (outcome != JobOutcome::kUnknown) {
        Finish(transition, state, job, outcome, result);
      } else if (job.m_non_idempotent) {
        Finish(transition, state, job, outcome, "the attempt's end cannot be learned");
      } else {
        Requeue(transition, state, job, {}, "lost");
      }
      return;
  }
}

void Requeue(Transition& transition, const JobState& state, OwnedJob& job, std::string checkpoint,
             std::string reason) {
  job.m_end = AttemptEnd::kRequeue;
  job.m_result_or_checkpoint = std::move(checkpoint);
  job.m_reason = std::move(reason);
  AppendEndRecord(transition, state, job);
}

void Finish(Transition& transition, const JobState& state, OwnedJob& job, const JobOutcome outcome,
            std::string result) {
  job.m_end = AttemptEnd::kFinish;
  job.m_outcome = outcome;
  job.m_result_or_checkpoint = std::move(result);
  AppendEndRecord(transition, state, job);
}

void AppendEndRecord(Transition& transition, const JobState& state, OwnedJob& job) {
  const Epoch epoch = EpochOf(transition, state.m_job);
  SetStage(transition, state.m_job, job, OwnedStage::kEnding,
           transition.m_context.m_now + transition.m_owner.m_options.m_read_back_timeout);
  if (job.m_end == AttemptEnd::kRequeue) {
    transition.m_actions.emplace_back(
        AppendRecord{JobRequeued{.m_job = state.m_job,
                                 .m_attempt = state.m_attempt,
                                 .m_epoch = epoch,
                                 .m_checkpoint = job.m_result_or_checkpoint,
                                 .m_reason = job.m_reason}});
  } else {
    transition.m_actions.emplace_back(
        AppendRecord{JobFinished{.m_job = state.m_job,
                                 .m_attempt = state.m_attempt,
                                 .m_epoch = epoch,
                                 .m_outcome = job.m_outcome,
                                 .m_result = job.m_result_or_checkpoint}});
  }
}

void AnswerReports(Transition& transition, OwnedJob& job, const TaskReportReply& reply) {
  for (const ReportCallId report : job.m_reports)
    transition.m_actions.emplace_back(ReplyToReport{.m_call = report, .m_reply = reply});
  job.m_reports.clear();
}

void AddJob(Transition& transition, const JobState& state, const bool adopted) {
  auto [found, inserted] = transition.m_owner.m_jobs.try_emplace(state.m_job);
  if (!inserted) return;
  OwnedJob& job = found->second;
  ReadClass(transition, state, job);
  job.m_latest_start = LatestStart(transition, state);
  if (!state.m_assigned) {
    QueueForPlacement(transition, state.m_job, job, Duration::zero());
    return;
  }
  job.m_attempt = state.m_attempt;
  job.m_agent = state.m_agent;
  job.m_agent_incarnation = state.m_agent_incarnation;
  job.m_reservation = state.m_reservation;
  job.m_may_have_started = adopted;
  const JobOwnerOptions& options = transition.m_owner.m_options;
  job.m_former_grants_end =
      transition.m_context.m_now +
      AddClockMargin(options, options.m_authority + options.m_grant + options.m_reservation);
  BeginProbe(transition, state, job);
}

void RemoveJob(Transition& transition, const JobId& id, const TaskReportReply& reply) {
  const auto found = transition.m_owner.m_jobs.find(id);
  if (found == transition.m_owner.m_jobs.end()) return;
  OwnedJob& job = found->second;
  AnswerReports(transition, job, reply);
  SetStage(transition, id, job, OwnedStage::kRunning, Time::max());
  transition.m_owner.m_jobs.erase(found);
}

}  // namespace ebonypin::core::owner
