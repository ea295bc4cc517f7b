/// Steps of the owner's state machine, used by the event functions of job_owner.cc.
#pragma once

#include <string>

#include "ebonypin/core/job_owner.h"

namespace ebonypin::core::owner {

/// One event being handled.
struct Turn {
  JobOwner& m_owner;
  const OwnerContext& m_context;
  OwnerActions m_actions;
};

/// Whether the log was read recently enough to begin new attempts.
[[nodiscard]] bool LogIsFresh(const Turn& turn) noexcept;

/// Whether grants may still be issued.
[[nodiscard]] bool HasAuthority(const Turn& turn) noexcept;

/// Moves the job to `stage` and sets when it is due next.
void SetStage(Turn& turn, const JobId& id, OwnedJob& job, OwnedStage stage, Time due);

/// Queues the job for placement, at once or after `delay`.
void Wait(Turn& turn, const JobId& id, OwnedJob& job, Duration delay);

/// Places ready jobs in the order of their slack.
void PlaceReady(Turn& turn);

void SendStart(Turn& turn, const JobState& state, OwnedJob& job);

/// Finds out what became of the current attempt.
void BeginProbe(Turn& turn, const JobState& state, OwnedJob& job);
void SendFence(Turn& turn, const JobState& state, OwnedJob& job);
/// Decides about an attempt whose agent does not answer, when enough time has passed.
void DecideProbe(Turn& turn, const JobState& state, OwnedJob& job);

void SendCancel(Turn& turn, const JobState& state, OwnedJob& job);

void MarkRunning(Turn& turn, const JobState& state, OwnedJob& job);

/// The attempt is over or was never started, as its agent says.
void EndAttempt(Turn& turn, const JobState& state, OwnedJob& job, AttemptPhase phase,
                JobOutcome outcome, const std::string& result, const std::string& checkpoint);

void Requeue(Turn& turn, const JobState& state, OwnedJob& job, std::string checkpoint,
             std::string reason);
void Finish(Turn& turn, const JobState& state, OwnedJob& job, JobOutcome outcome,
            std::string result);
/// Appends the record that `m_end` names, with the current epoch.
void AppendOutcomeKind(Turn& turn, const JobState& state, OwnedJob& job);

/// Answers all held reports of the job.
void AnswerReports(Turn& turn, OwnedJob& job, const TaskReportReply& reply);

/// Answers reports that waited long enough, or whose job a later read of the log did not bring.
void AnswerWaitingReports(Turn& turn);

/// Takes a job of a shard that was just claimed, or that was just accepted.
void TakeJob(Turn& turn, const JobState& state, bool adopted);
void DropJob(Turn& turn, const JobId& id, const TaskReportReply& reply);

/// Reply to a report about a job of a shard that this entry does not own.
[[nodiscard]] TaskReportReply NotOwner(const JobTable& table, ShardIndex shard);
/// Takes over or gives up the shard as the table says.
void SyncShard(Turn& turn, ShardIndex shard);
/// Appends the claims and releases that are due.
void FollowPlan(Turn& turn, const ShardPlan& plan);
/// Rewrites records of owned shards before the log's retention removes them.
void RewriteOld(Turn& turn, const TickInput& input);

}  // namespace ebonypin::core::owner
