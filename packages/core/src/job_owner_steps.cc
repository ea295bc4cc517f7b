#include "job_owner_steps.h"

#include <algorithm>
#include <utility>

namespace ebonypin::core::owner {
namespace {

using namespace std::chrono_literals;

constexpr Duration kFirstBackoff = 100ms;
constexpr Duration kMaxBackoff = 2s;
constexpr Duration kProbeInterval = 1s;
/// Jobs looked at in one turn; the rest follows in the next one.
constexpr std::size_t kPlacementsPerTurn = 256;
/// A class without a target leaves jobs this much slack.
constexpr Duration kDefaultSlack = 24h;

Duration Backoff(const std::uint32_t failures) {
  return std::min<Duration>(kMaxBackoff, kFirstBackoff * (1U << std::min(failures, 8U)));
}

bool IsStarting(const OwnedStage stage) {
  return stage == OwnedStage::kReserving || stage == OwnedStage::kAssigning ||
         stage == OwnedStage::kStarting;
}

Epoch EpochOf(const Turn& turn, const JobId& id) { return turn.m_owner.m_epochs[ShardOf(id)]; }

Duration ExpectedRun(const Turn& turn, const WorkRequest& request) {
  const auto& expected = turn.m_context.m_policy.m_expected_run;
  return expected ? expected(request) : request.m_declared_run;
}

void Call(Turn& turn, const JobId& id, OwnedJob& job, const AgentId& agent, Message request) {
  JobOwner& owner = turn.m_owner;
  owner.m_calls.erase(job.m_call);
  job.m_call = ++owner.m_last_call;
  owner.m_calls.emplace(job.m_call, id);
  turn.m_actions.emplace_back(CallAgent{.m_call = job.m_call,
                                        .m_agent = agent,
                                        .m_request = std::move(request),
                                        .m_deadline = owner.m_options.m_call_deadline});
}

/// When a call whose outcome never arrives counts as failed.
Time CallDue(const Turn& turn) {
  return turn.m_context.m_now + turn.m_owner.m_options.m_call_deadline + 1s;
}

void ReadClass(const Turn& turn, const JobState& state, OwnedJob& job) {
  const ClassSpec* const spec = turn.m_context.m_policy.m_class(state.m_request.m_class);
  job.m_exclusive = spec == nullptr || spec->m_exclusive;
  job.m_non_idempotent =
      spec == nullptr || spec->m_non_idempotent || state.m_request.m_non_idempotent;
}

Time LatestStart(const Turn& turn, const JobState& state) {
  const WorkRequest& request = state.m_request;
  const ClassSpec* const spec = turn.m_context.m_policy.m_class(request.m_class);
  Duration slack = kDefaultSlack;
  if (spec != nullptr && spec->m_target.m_start_within)
    slack = std::min(slack, *spec->m_target.m_start_within);
  const Duration run = ExpectedRun(turn, request);
  if (spec != nullptr && spec->m_target.m_finish_within)
    slack = std::min(slack, *spec->m_target.m_finish_within - run);
  if (request.m_deadline) slack = std::min(slack, *request.m_deadline - run);
  return turn.m_context.m_now + slack;
}

void SendReserve(Turn& turn, const JobState& state, OwnedJob& job, const OwnerPlacement& place) {
  ReadClass(turn, state, job);
  job.m_agent = place.m_agent;
  job.m_agent_incarnation = place.m_incarnation;
  job.m_attempt = state.m_attempt + 1;
  SetStage(turn, state.m_job, job, OwnedStage::kReserving, CallDue(turn));
  Call(turn, state.m_job, job, place.m_agent,
       ReserveRequest{.m_job = state.m_job,
                      .m_attempt = job.m_attempt,
                      .m_epoch = EpochOf(turn, state.m_job),
                      .m_incarnation = place.m_incarnation,
                      .m_class = state.m_request.m_class,
                      .m_size = state.m_request.m_size,
                      .m_expected_run = ExpectedRun(turn, state.m_request)});
}

}  // namespace

bool LogIsFresh(const Turn& turn) noexcept {
  return turn.m_owner.m_caught_up &&
         turn.m_context.m_now - turn.m_owner.m_last_log_read <= turn.m_owner.m_options.m_log_fresh;
}

bool HasAuthority(const Turn& turn) noexcept {
  return turn.m_owner.m_caught_up &&
         turn.m_context.m_now - turn.m_owner.m_last_log_read <= turn.m_owner.m_options.m_authority;
}

void SetStage(Turn& turn, const JobId& id, OwnedJob& job, const OwnedStage stage, const Time due) {
  JobOwner& owner = turn.m_owner;
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

void Wait(Turn& turn, const JobId& id, OwnedJob& job, const Duration delay) {
  job.m_end = AttemptEnd::kNone;
  job.m_text.clear();
  job.m_may_have_started = false;
  job.m_lost = false;
  job.m_replaced = false;
  if (delay > Duration::zero()) {
    SetStage(turn, id, job, OwnedStage::kWaiting, turn.m_context.m_now + delay);
  } else {
    SetStage(turn, id, job, OwnedStage::kWaiting, Time::max());
    turn.m_owner.m_ready.emplace(job.m_latest_start, id);
  }
}

void PlaceReady(Turn& turn) {
  JobOwner& owner = turn.m_owner;
  if (!LogIsFresh(turn)) return;
  for (std::size_t i = 0; i < kPlacementsPerTurn && !owner.m_ready.empty() &&
                          owner.m_starting < owner.m_options.m_max_starting;
       ++i) {
    const JobId id = owner.m_ready.begin()->second;
    OwnedJob& job = owner.m_jobs.at(id);
    const JobState* const state = FindOpen(turn.m_context.m_table, id);
    if (state == nullptr) {  // Its closing event follows in this turn.
      owner.m_ready.erase(owner.m_ready.begin());
      continue;
    }
    if (owner.m_releasing[ShardOf(id)]) {
      Wait(turn, id, job, kMaxBackoff);
      continue;
    }
    const OwnerPlacement place = turn.m_context.m_policy.m_place(*state);
    switch (place.m_kind) {
      case OwnerPlacementKind::kAgent:
        SendReserve(turn, *state, job, place);
        break;
      case OwnerPlacementKind::kLater:
        // The job leaves the ready queue for a while, so that it does not block those behind it.
        job.m_last_refusal = place.m_reason;
        Wait(turn, id, job, Backoff(job.m_failures++));
        break;
      case OwnerPlacementKind::kNeverFits:
        job.m_attempt = state->m_attempt;
        Finish(turn, *state, job, JobOutcome::kNeverFits, place.m_reason);
        break;
    }
  }
}

void SendStart(Turn& turn, const JobState& state, OwnedJob& job) {
  job.m_may_have_started = true;
  SetStage(turn, state.m_job, job, OwnedStage::kStarting, CallDue(turn));
  Call(turn, state.m_job, job, state.m_agent,
       StartRequest{.m_job = state.m_job,
                    .m_attempt = state.m_attempt,
                    .m_epoch = EpochOf(turn, state.m_job),
                    .m_incarnation = state.m_agent_incarnation,
                    .m_reservation = state.m_reservation,
                    .m_exclusive = job.m_exclusive,
                    .m_checkpoint = state.m_checkpoint,
                    .m_payload = state.m_request.m_payload});
}

void BeginProbe(Turn& turn, const JobState& state, OwnedJob& job) {
  if (job.m_stage != OwnedStage::kProbing) {
    job.m_probe_since = turn.m_context.m_now;
    job.m_failures = 0;
  }
  SendFence(turn, state, job);
}

void SendFence(Turn& turn, const JobState& state, OwnedJob& job) {
  SetStage(turn, state.m_job, job, OwnedStage::kProbing, CallDue(turn));
  Call(turn, state.m_job, job, state.m_agent,
       FenceRequest{.m_job = state.m_job,
                    .m_attempt = state.m_attempt,
                    .m_epoch = EpochOf(turn, state.m_job),
                    .m_stop = false});
}

void DecideProbe(Turn& turn, const JobState& state, OwnedJob& job) {
  const Time now = turn.m_context.m_now;
  const JobOwnerOptions& options = turn.m_owner.m_options;
  SetStage(turn, state.m_job, job, OwnedStage::kProbing, now + kProbeInterval);
  if (!job.m_may_have_started) {
    Requeue(turn, state, job, {}, "never started");
  } else if (job.m_non_idempotent) {
    if (now >= job.m_probe_since + options.m_unresolved)
      Finish(turn, state, job, JobOutcome::kUnknown, "the attempt's end cannot be learned");
  } else if (job.m_exclusive) {
    if (now >= job.m_safe_after && now >= job.m_former_until)
      Requeue(turn, state, job, {}, "the attempt's grants have ended");
  } else if (job.m_lost || (now >= job.m_probe_since + options.m_removal &&
                            !turn.m_context.m_policy.m_is_live(state.m_agent))) {
    Requeue(turn, state, job, {}, "the agent was removed");
  }
}

void SendCancel(Turn& turn, const JobState& state, OwnedJob& job) {
  SetStage(turn, state.m_job, job, OwnedStage::kCancelling, CallDue(turn));
  Call(turn, state.m_job, job, state.m_agent,
       CancelRequest{.m_job = state.m_job, .m_epoch = EpochOf(turn, state.m_job)});
}

void MarkRunning(Turn& turn, const JobState& state, OwnedJob& job) {
  job.m_failures = 0;
  job.m_lost = false;
  job.m_replaced = false;
  if (state.m_cancel_requested) {
    SendCancel(turn, state, job);
    return;
  }
  SetStage(turn, state.m_job, job, OwnedStage::kRunning,
           turn.m_context.m_now + turn.m_owner.m_options.m_removal / 2);
}

void EndAttempt(Turn& turn, const JobState& state, OwnedJob& job, const AttemptPhase phase,
                const JobOutcome outcome, const std::string& result,
                const std::string& checkpoint) {
  switch (phase) {
    case AttemptPhase::kRunning:
      MarkRunning(turn, state, job);
      return;
    case AttemptPhase::kNeverStarted:
      Requeue(turn, state, job, {}, "never started");
      return;
    case AttemptPhase::kStopped:
      if (state.m_cancel_requested) {
        Finish(turn, state, job, JobOutcome::kCancelled, {});
      } else if (job.m_non_idempotent && checkpoint.empty()) {
        // A second run would repeat what this one did.
        Finish(turn, state, job, JobOutcome::kUnknown, "stopped without a checkpoint");
      } else {
        Requeue(turn, state, job, checkpoint, "stopped");
      }
      return;
    case AttemptPhase::kEnded:
      if (outcome != JobOutcome::kUnknown) {
        Finish(turn, state, job, outcome, result);
      } else if (job.m_non_idempotent) {
        Finish(turn, state, job, outcome, "the attempt's end cannot be learned");
      } else {
        Requeue(turn, state, job, {}, "lost");
      }
      return;
  }
}

void Requeue(Turn& turn, const JobState& state, OwnedJob& job, std::string checkpoint,
             std::string reason) {
  job.m_end = AttemptEnd::kRequeue;
  job.m_text = std::move(checkpoint);
  job.m_reason = std::move(reason);
  AppendOutcomeKind(turn, state, job);
}

void Finish(Turn& turn, const JobState& state, OwnedJob& job, const JobOutcome outcome,
            std::string result) {
  job.m_end = AttemptEnd::kFinish;
  job.m_outcome = outcome;
  job.m_text = std::move(result);
  AppendOutcomeKind(turn, state, job);
}

void AppendOutcomeKind(Turn& turn, const JobState& state, OwnedJob& job) {
  const Epoch epoch = EpochOf(turn, state.m_job);
  SetStage(turn, state.m_job, job, OwnedStage::kEnding,
           turn.m_context.m_now + turn.m_owner.m_options.m_read_back);
  if (job.m_end == AttemptEnd::kRequeue) {
    turn.m_actions.emplace_back(AppendRecord{JobRequeued{.m_job = state.m_job,
                                                         .m_attempt = state.m_attempt,
                                                         .m_epoch = epoch,
                                                         .m_checkpoint = job.m_text,
                                                         .m_reason = job.m_reason}});
  } else {
    turn.m_actions.emplace_back(AppendRecord{JobFinished{.m_job = state.m_job,
                                                         .m_attempt = state.m_attempt,
                                                         .m_epoch = epoch,
                                                         .m_outcome = job.m_outcome,
                                                         .m_result = job.m_text}});
  }
}

void AnswerReports(Turn& turn, OwnedJob& job, const TaskReportReply& reply) {
  for (const ReportCallId report : job.m_reports)
    turn.m_actions.emplace_back(ReplyToReport{.m_call = report, .m_reply = reply});
  job.m_reports.clear();
}

void TakeJob(Turn& turn, const JobState& state, const bool adopted) {
  auto [found, inserted] = turn.m_owner.m_jobs.try_emplace(state.m_job);
  if (!inserted) return;
  OwnedJob& job = found->second;
  ReadClass(turn, state, job);
  job.m_latest_start = LatestStart(turn, state);
  if (!state.m_assigned) {
    Wait(turn, state.m_job, job, Duration::zero());
    return;
  }
  job.m_attempt = state.m_attempt;
  job.m_agent = state.m_agent;
  job.m_agent_incarnation = state.m_agent_incarnation;
  job.m_reservation = state.m_reservation;
  job.m_may_have_started = adopted;
  const JobOwnerOptions& options = turn.m_owner.m_options;
  job.m_former_until =
      turn.m_context.m_now +
      Lengthen(options, options.m_authority + options.m_grant + options.m_reservation);
  BeginProbe(turn, state, job);
}

void DropJob(Turn& turn, const JobId& id, const TaskReportReply& reply) {
  const auto found = turn.m_owner.m_jobs.find(id);
  if (found == turn.m_owner.m_jobs.end()) return;
  OwnedJob& job = found->second;
  AnswerReports(turn, job, reply);
  SetStage(turn, id, job, OwnedStage::kRunning, Time::max());
  turn.m_owner.m_jobs.erase(found);
}

}  // namespace ebonypin::core::owner
