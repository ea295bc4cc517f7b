#include <algorithm>
#include <utility>

#include "job_owner_steps.h"

namespace ebonypin::core::owner {
namespace {

using namespace std::chrono_literals;

/// Time between the decision to release a shard and the release, for reservations and starts in
/// progress.
constexpr Duration kReleaseDelay = 1s;
constexpr Duration kRewriteInterval = 2s;
/// Limit of snapshots per shard in one tick; bounds their part of the log's append rate.
constexpr std::size_t kSnapshotsPerTick = 64;

/// Returns the claim of `shard` by this process.
ShardClaimed Claim(const JobOwner& owner, const JobTable& table, const ShardIndex shard) {
  Epoch epoch = table.m_shards[shard].m_epoch + 1;
  // Retention has removed all records of the shard. Each claim used an offset of its own, so the
  // first retained offset is larger than every epoch that agents have seen.
  if (table.m_partial && epoch == 1) epoch = table.m_first_offset;
  return {.m_shard = shard,
          .m_epoch = epoch,
          .m_entry = owner.m_options.m_entry,
          .m_incarnation = owner.m_options.m_incarnation};
}

}  // namespace

TaskReportReply NotOwnerReply(const JobTable& table, const ShardIndex shard) {
  return {.m_not_owner = true, .m_owner = {.m_entry = table.m_shards[shard].m_owner}};
}

void SyncShard(Transition& transition, const ShardIndex shard) {
  JobOwner& owner = transition.m_owner;
  const JobTable& table = transition.m_context.m_table;
  const bool had = owner.m_epochs[shard] != 0;
  if (!OwnsShard(owner, table, shard)) {
    owner.m_epochs[shard] = 0;
    owner.m_releasing[shard].reset();
    if (!had) return;
    std::vector<JobId> lost;
    for (const auto& [id, job] : owner.m_jobs)
      if (ShardOf(id) == shard) lost.push_back(id);
    for (const JobId& id : lost) RemoveJob(transition, id, NotOwnerReply(table, shard));
    return;
  }
  // When the shard was owned before, a renewed claim changes only the epoch.
  owner.m_epochs[shard] = table.m_shards[shard].m_epoch;
  owner.m_claim_due[shard] = {};
  if (had) return;
  for (const auto& [id, open] : table.m_shards[shard].m_open)
    AddJob(transition, open.m_state, true);
}

void ApplyShardPlan(Transition& transition, const ShardPlan& plan) {
  JobOwner& owner = transition.m_owner;
  const JobTable& table = transition.m_context.m_table;
  const Time now = transition.m_context.m_now;
  for (const ShardIndex shard : plan.m_claim) {
    if (owner.m_claim_due[shard] > now) continue;
    owner.m_claim_due[shard] = now + owner.m_options.m_read_back_timeout;
    transition.m_actions.emplace_back(AppendRecord{Claim(owner, table, shard)});
  }
  for (ShardIndex shard = 0; shard < kShardCount; ++shard) {
    const bool leave =
        owner.m_epochs[shard] != 0 &&
        std::find(plan.m_release.begin(), plan.m_release.end(), shard) != plan.m_release.end();
    auto& since = owner.m_releasing[shard];
    if (!leave) {
      since.reset();
    } else if (!since) {
      since = now;
      owner.m_release_due[shard] = now + kReleaseDelay;
    } else if (now >= owner.m_release_due[shard]) {
      owner.m_release_due[shard] = now + owner.m_options.m_read_back_timeout;
      transition.m_actions.emplace_back(AppendRecord{ShardReleased{
          .m_shard = shard, .m_epoch = owner.m_epochs[shard], .m_entry = owner.m_options.m_entry}});
    }
  }
}

void RewriteOldRecords(Transition& transition, const TickInput& input) {
  JobOwner& owner = transition.m_owner;
  const JobTable& table = transition.m_context.m_table;
  for (ShardIndex shard = 0; shard < kShardCount; ++shard) {
    if (owner.m_releasing[shard] || owner.m_rewrite_due[shard] > transition.m_context.m_now)
      continue;
    const bool owned = owner.m_epochs[shard] != 0;
    const LogOffset before = owned ? input.m_rewrite_before : input.m_rewrite_late_before;
    owner.m_rewrite_due[shard] = transition.m_context.m_now + kRewriteInterval;
    // The claim comes before the snapshots, so that an entry that starts later knows the epoch of
    // valid records. An owner that does not renew its claim in time cannot reach the log, so
    // another entry claims the shard.
    const ShardState& state = table.m_shards[shard];
    if (state.m_claimed_offset < before && state.m_epoch > 0) {
      transition.m_actions.emplace_back(AppendRecord{Claim(owner, table, shard)});
      continue;
    }
    for (JobSnapshot& snapshot : SnapshotsBefore(table, shard, before, kSnapshotsPerTick))
      transition.m_actions.emplace_back(AppendRecord{std::move(snapshot)});
  }
}

}  // namespace ebonypin::core::owner
