/// Records of the store's keyed topic, the only state that outlives all processes.
///
/// Each record has a key; the newest record of a key is kept for good. A job has one record with
/// what was submitted, written once, and one with its progress, rewritten when it changes.
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
  RunNumber m_run = 0;  ///< Newest run whose end is part of this record.
  std::string m_checkpoint;

  friend bool operator==(const TaskProgress&, const TaskProgress&) = default;
};

struct JobProgress {
  JobId m_job;
  bool m_cancelled = false;
  bool m_closed = false;  ///< Done, failed or cancelled for good; the tasks are left out.
  JobPhase m_phase = JobPhase::kQueued;
  WallMillis m_closed_at = 0;
  bool m_begun = false;  ///< A task of it was started.
  std::vector<std::uint32_t> m_closed_occurrences;
  std::vector<TaskProgress> m_tasks;

  friend bool operator==(const JobProgress&, const JobProgress&) = default;
};

/// Agent that the coordinator may give grants to.
struct MemberRecord {
  AgentId m_agent;
  std::string m_rpc_address;

  friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

/// Coordinator in office.
struct CoordinatorRecord {
  Epoch m_epoch = 0;
  std::string m_entry;
  std::string m_rpc_address;
  Incarnation m_incarnation = 0;

  friend bool operator==(const CoordinatorRecord&, const CoordinatorRecord&) = default;
};

/// What was learned of pairs of images, so that it need not be learned again after all processes
/// were lost: until then filling tasks disturb serving ones, or rest for nothing.
struct ImagePairsRecord {
  std::vector<ImagePair> m_pairs;

  friend bool operator==(const ImagePairsRecord&, const ImagePairsRecord&) = default;
};

/// Removal of the record of a key.
struct RemovedRecord {
  std::string m_key;

  friend bool operator==(const RemovedRecord&, const RemovedRecord&) = default;
};

/// Change of one key of the topic.
using RecordChange =
    std::variant<JobSpec, JobProgress, MemberRecord, ImagePairsRecord, RemovedRecord>;

[[nodiscard]] std::string JobKey(const JobId& job);
[[nodiscard]] std::string ProgressKey(const JobId& job);
[[nodiscard]] std::string MemberKey(const AgentId& agent);
inline constexpr std::string_view kImagePairsKey = "pairs";

}  // namespace ebonypin::core::fleet
