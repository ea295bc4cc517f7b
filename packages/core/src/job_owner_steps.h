/// Steps of the owner's state machine, used by the event functions of job_owner.cc.
#pragma once

#include <string>

#include "ebonypin/core/job_owner.h"

namespace ebonypin::core::owner {

/// One event being handled.
struct Transition {
  JobOwner& m_owner;
  const OwnerContext& m_context;
  OwnerActions m_actions;
};

/// Whether the log was read recently enough to begin new attempts.
[[nodiscard]] bool LogIsFresh(const Transition& transition) noexcept;

/// Whether grants may still be issued.
[[nodiscard]] bool HasAuthority(const Transition& transition) noexcept;

/// Moves the job to `stage` and sets when it is due next.
void SetStage(Transition& transition, const JobId& id, OwnedJob& job, OwnedStage stage, Time due);

/// Queues the job for placement, at once or after `delay`.
void QueueForPlacement(Transition& transition, const JobId& id, OwnedJob& job, Duration delay);

/// Places ready jobs in the order of their slack.
void PlaceReady(Transition& transition);

void SendStart(Transition& transition, const JobState& state, OwnedJob& job);

/// Finds out what became of the current attempt.
void BeginProbe(Transition& transition, const JobState& state, OwnedJob& job);
void SendFence(Transition& transition, const JobState& state, OwnedJob& job);
/// Decides about an attempt whose agent does not answer, when enough time has passed.
void DecideProbe(Transition& transition, const JobState& state, OwnedJob& job);

void SendCancel(Transition& transition, const JobState& state, OwnedJob& job);

void MarkRunning(Transition& transition, const JobState& state, OwnedJob& job);

/// The attempt is over or was never started, as its agent says.
void EndAttempt(Transition& transition, const JobState& state, OwnedJob& job, AttemptPhase phase,
                JobOutcome outcome, const std::string& result, const std::string& checkpoint);

void Requeue(Transition& transition, const JobState& state, OwnedJob& job, std::string checkpoint,
             std::string reason);
void Finish(Transition& transition, const JobState& state, OwnedJob& job, JobOutcome outcome,
            std::string result);
/// Appends the record that `m_end` names, with the current epoch.
void AppendEndRecord(Transition& transition, const JobState& state, OwnedJob& job);

/// Answers all held reports of the job.
void AnswerReports(Transition& transition, OwnedJob& job, const TaskReportReply& reply);

/// Answers reports that waited long enough, or whose job a later read of the log did not bring.
void AnswerWaitingReports(Transition& transition);

/// Takes a job of a shard that was just claimed, or that was just accepted.
void AddJob(Transition& transition, const JobState& state, bool adopted);
void RemoveJob(Transition& transition, const JobId& id, const TaskReportReply& reply);

/// Reply to a report about a job of a shard that this entry does not own.
[[nodiscard]] TaskReportReply NotOwnerReply(const JobTable& table, ShardIndex shard);
/// Takes over or gives up the shard as the table says.
void SyncShard(Transition& transition, ShardIndex shard);
/// Appends the claims and releases that are due.
void ApplyShardPlan(Transition& transition, const ShardPlan& plan);
/// Rewrites records of owned shards before the log's retention removes them.
void RewriteOldRecords(Transition& transition, const TickInput& input);

}  // namespace ebonypin::core::owner
