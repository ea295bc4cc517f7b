/// Records in the store's keyed topic, the only state that survives the loss of all processes.
///
/// Each record has a key, and the store keeps the newest record of a key. A job has one record of
/// its submission, which is written once, and records of its progress. Each of these, a part, holds
/// a fixed group of tasks and is rewritten when one of them changes, so that what is written for a
/// change does not grow with the job, and no record exceeds what the store takes.
///
/// Parts of a job may come from different times: a coordinator may end between two appends. Each
/// task is in one part only, and a part that was not written yet shows tasks in an earlier state,
/// whose ends no worker was allowed to forget.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "ebonypin/core/fleet/image_pairs.h"
#include "ebonypin/core/fleet/job.h"

namespace ebonypin::core::fleet {

/// Progress of a task that is not in its initial state.
struct TaskProgress {
  std::uint32_t m_occurrence = 0;
  std::uint32_t m_step = 0;
  std::uint32_t m_index = 0;
  bool m_done = false;
  std::uint32_t m_failures = 0;
  RunNumber m_run = 0;  ///< Newest run whose end is included in this record.
  std::string m_checkpoint;
  std::vector<RunNumber> m_crashes;  ///< Runs under which a worker crashed.

  friend bool operator==(const TaskProgress&, const TaskProgress&) = default;
};

/// Part of a job's progress. Part 0 also describes the job as a whole.
struct JobProgress {
  JobId m_job;
  bool m_cancelled = false;  ///< Also without a submission, which may arrive later.
  bool m_closed = false;     ///< The final phase is reached; the tasks are omitted.
  JobPhase m_phase = JobPhase::kQueued;
  WallMillis m_closed_at = 0;
  bool m_begun = false;  ///< An agent has listed a run of it.
  std::vector<std::uint32_t> m_closed_occurrences;
  std::vector<TaskProgress> m_tasks;
  std::uint32_t m_part = 0;  ///< See PartOf.

  friend bool operator==(const JobProgress&, const JobProgress&) = default;
};

/// Tasks in one part of a job's progress. With states of kMaxCheckpointBytes a part still fits into
/// a record of 256 KiB, which the platform's store takes.
inline constexpr std::uint32_t kTasksPerPart = 16;

/// Agent that the coordinator may give grants to.
struct MemberRecord {
  AgentId m_agent;
  std::string m_rpc_address;
  WorkerId m_worker;  ///< Its worker; empty in records of earlier versions.

  friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

/// Largest epoch of a coordinator. Session numbers hold the epoch and 24 bits more.
inline constexpr Epoch kMaxEpoch = (Epoch{1} << 40U) - 1;

/// Current coordinator.
struct CoordinatorRecord {
  Epoch m_epoch = 0;
  std::string m_entry;
  std::string m_rpc_address;
  Incarnation m_incarnation = 0;

  friend bool operator==(const CoordinatorRecord&, const CoordinatorRecord&) = default;
};

/// Interference model, stored so that it need not be learned again after the loss of all processes.
/// While it is being learned, filling tasks disturb serving tasks or rest without need.
struct ImagePairsRecord {
  std::vector<ImagePair> m_pairs;

  friend bool operator==(const ImagePairsRecord&, const ImagePairsRecord&) = default;
};

/// Written by a coordinator once no grant of an epoch before its own is left. A later coordinator
/// whose predecessor did not write it waits as long as any earlier epoch may act.
struct SettledRecord {
  Epoch m_epoch = 0;

  friend bool operator==(const SettledRecord&, const SettledRecord&) = default;
};

/// Removes the record of a key.
struct RemovedRecord {
  std::string m_key;

  friend bool operator==(const RemovedRecord&, const RemovedRecord&) = default;
};

/// Change of the record of one key.
using RecordChange = std::variant<JobSpec, JobProgress, MemberRecord, ImagePairsRecord,
                                  SettledRecord, RemovedRecord>;

[[nodiscard]] std::string JobKey(const JobId& job);
[[nodiscard]] std::string ProgressKey(const JobId& job, std::uint32_t part);
[[nodiscard]] std::string MemberKey(const AgentId& agent);
/// Returns the key under which the change is stored.
[[nodiscard]] std::string KeyOf(const RecordChange& change);

/// Returns the part of the job's progress that holds the task: parts are numbered by occurrence,
/// and within it by groups of kTasksPerPart tasks in the order of steps and indices.
[[nodiscard]] std::uint32_t PartOf(const JobSpec& job, const TaskRef& task) noexcept;

/// Returns the first part of an occurrence.
[[nodiscard]] std::uint32_t FirstPart(const JobSpec& job, std::uint32_t occurrence) noexcept;

inline constexpr std::string_view kImagePairsKey = "pairs";
inline constexpr std::string_view kSettledKey = "settled";

}  // namespace ebonypin::core::fleet
