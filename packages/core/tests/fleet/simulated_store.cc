#include "simulated_store.h"

namespace ebonypin::core::fleet {
namespace {

/// Number of appends whose repeat gets the first answer again.
constexpr std::uint64_t kRemembered = 5;

void Apply(SimulatedStore& store, const RecordChange& change) {
  if (const auto* const job = std::get_if<JobSpec>(&change)) {
    store.m_jobs[job->m_id] = *job;
  } else if (const auto* const progress = std::get_if<JobProgress>(&change)) {
    store.m_progress[ProgressKey(progress->m_job, progress->m_part)] = *progress;
  } else if (const auto* const member = std::get_if<MemberRecord>(&change)) {
    store.m_members[MemberKey(member->m_agent)] = *member;
  } else if (const auto* const settled = std::get_if<SettledRecord>(&change)) {
    store.m_settled = settled->m_epoch;
  } else if (const auto* const removed = std::get_if<RemovedRecord>(&change)) {
    store.m_members.erase(removed->m_key);
    store.m_progress.erase(removed->m_key);
  }
}

}  // namespace

AppendOutcome Append(SimulatedStore& store, const Epoch epoch, const std::uint64_t sequence,
                     const std::vector<RecordChange>& records) {
  if (epoch < store.m_epoch) return AppendOutcome::kFenced;
  if (epoch > store.m_epoch) {
    store.m_epoch = epoch;
  } else if (sequence <= store.m_sequence && sequence + kRemembered > store.m_sequence) {
    return AppendOutcome::kAppended;
  } else if (sequence != store.m_sequence + 1) {
    return AppendOutcome::kOutOfSequence;
  }
  store.m_sequence = sequence;
  for (const auto& change : records) Apply(store, change);
  return AppendOutcome::kAppended;
}

void RestoreAll(Coordinator& state, const Time now, const SimulatedStore& store) {
  for (const auto& [key, job] : store.m_jobs) Restore(state, now, job);
  for (const auto& [key, member] : store.m_members) Restore(state, member);
  for (const auto& [key, progress] : store.m_progress) Restore(state, progress);
  if (store.m_settled > 0) Restore(state, SettledRecord{.m_epoch = store.m_settled});
}

}  // namespace ebonypin::core::fleet
