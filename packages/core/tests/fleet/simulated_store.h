/// The store's topics of the coordinator: the newest claim and the records of jobs.
#pragma once

#include <map>
#include <string>

#include "ebonypin/core/fleet/append_queue.h"
#include "ebonypin/core/fleet/coordinator.h"

namespace ebonypin::core::fleet {

struct SimulatedStore {
  CoordinatorRecord m_claim;  ///< Newest record of the coordinator; epoch zero: none.
  std::map<JobId, JobSpec> m_jobs;
  std::map<std::string, JobProgress> m_progress;  ///< By key.
  std::map<std::string, MemberRecord> m_members;
  Epoch m_settled = 0;
  Epoch m_epoch = 0;  ///< Of the newest accepted append.
  std::uint64_t m_sequence = 0;
};

/// Appends records under an epoch and a sequence number, as the platform's documentation describes.
/// No records: confirms the epoch, or begins it.
[[nodiscard]] AppendOutcome Append(SimulatedStore& store, Epoch epoch, std::uint64_t sequence,
                                   const std::vector<RecordChange>& records);

/// Restores all records.
void RestoreAll(Coordinator& state, Time now, const SimulatedStore& store);

}  // namespace ebonypin::core::fleet
