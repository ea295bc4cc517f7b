/// Steps of the owner's state machine, used by the event functions of job_owner.cc.
#pragma once

#include <string>

#include "ebonypin/core/job_owner.h"

namespace ebonypin::core::owner {

/// Handling of one event: the state that it changes, its inputs, and the actions collected so far.
struct Transition {
  JobOwner& m_owner;
  const OwnerContext& m_context;
  OwnerActions m_actions;
};

/// Returns whether the log was read recently enough to begin new attempts.
[[nodiscard]] bool LogIsFresh(const Transition& transition) noexcept;

/// Returns whether grants may still be issued.
[[nodiscard]] bool HasAuthority(const Transition& transition) noexcept;

/// Moves the job to `stage` and sets when it is due next.
void SetStage(Transition& transition, const JobId& id, OwnedJob& job, OwnedStage stage, Time due);

/// Queues the job for placement, at once or after `delay`.
void QueueForPlacement(Transition& transition, const JobId& id, OwnedJob& job, Duration delay);

/// Places ready jobs, least slack first.
void PlaceReady(Transition& transition);

void SendStart(Transition& transition, const JobState& state, OwnedJob& job);

/// Starts to determine the state of the current attempt by fencing it at its agent.
void BeginProbe(Transition& transition, const JobState& state, OwnedJob& job);
void SendFence(Transition& transition, const JobState& state, OwnedJob& job);
/// Requeues or finishes an attempt of unknown state when enough time has passed.
void DecideProbe(Transition& transition, const JobState& state, OwnedJob& job);

void SendCancel(Transition& transition, const JobState& state, OwnedJob& job);

void MarkRunning(Transition& transition, const JobState& state, OwnedJob& job);

/// Handles the state of the attempt that its agent reported.
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

/// Answers reports that have waited for their time limit, and reports about jobs that a later read
/// of the log did not contain.
void AnswerWaitingReports(Transition& transition);

/// Adds a job that is new to this owner. When `adopted`, a former owner may have started its
/// current attempt.
void AddJob(Transition& transition, const JobState& state, bool adopted);
void RemoveJob(Transition& transition, const JobId& id, const TaskReportReply& reply);

/// Returns the reply to a report about a job of a shard that this entry does not own.
[[nodiscard]] TaskReportReply NotOwnerReply(const JobTable& table, ShardIndex shard);
/// Adds or removes the shard's jobs when its ownership in the table has changed.
void SyncShard(Transition& transition, ShardIndex shard);
/// Appends the claims and releases that are due.
void ApplyShardPlan(Transition& transition, const ShardPlan& plan);
/// Rewrites records of owned shards before the log's retention removes them.
void RewriteOldRecords(Transition& transition, const TickInput& input);

}  // namespace ebonypin::core::owner
