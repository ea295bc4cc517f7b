/// Records of the log streams. Which records take effect depends only on their order in the log.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "ebonypin/core/class_spec.h"
#include "ebonypin/core/ids.h"
#include "ebonypin/core/request.h"

namespace ebonypin::core {

/// How a job ended.
enum class JobOutcome : std::uint8_t {
  kSucceeded,
  kFailed,     ///< The work ran and reported a failure.
  kCancelled,  ///< Cancelled before it ended.
  kUnknown,    ///< A non-idempotent attempt started and its end cannot be determined.
  kNeverFits,  ///< No worker is large enough.
};

struct JobAccepted {
  JobId m_job;
  EntryId m_entry;
  WorkRequest m_request;
  WallMillis m_wall = 0;
  friend bool operator==(const JobAccepted&, const JobAccepted&) = default;
};

struct JobAssigned {
  JobId m_job;
  Attempt m_attempt = 0;
  Epoch m_epoch = 0;
  EntryId m_entry;
  AgentId m_agent;
  Incarnation m_agent_incarnation = 0;
  std::uint64_t m_reservation = 0;
  friend bool operator==(const JobAssigned&, const JobAssigned&) = default;
};

struct JobRequeued {
  JobId m_job;
  Attempt m_attempt = 0;
  Epoch m_epoch = 0;
  std::string m_checkpoint;  ///< Empty keeps the job's previous checkpoint, if any.
  std::string m_reason;
  friend bool operator==(const JobRequeued&, const JobRequeued&) = default;
};

struct JobFinished {
  JobId m_job;
  Attempt m_attempt = 0;  ///< 0 for a job that ends without an attempt.
  Epoch m_epoch = 0;
  JobOutcome m_outcome = JobOutcome::kSucceeded;
  std::string m_result;
  friend bool operator==(const JobFinished&, const JobFinished&) = default;
};

struct JobCancelled {
  JobId m_job;
  EntryId m_entry;
  friend bool operator==(const JobCancelled&, const JobCancelled&) = default;
};

struct ShardClaimed {
  ShardIndex m_shard = 0;
  Epoch m_epoch = 0;  ///< The record is valid only when this is the current epoch plus one.
  EntryId m_entry;
  Incarnation m_incarnation = 0;
  friend bool operator==(const ShardClaimed&, const ShardClaimed&) = default;
};

struct ShardReleased {
  ShardIndex m_shard = 0;
  Epoch m_epoch = 0;
  EntryId m_entry;
  friend bool operator==(const ShardReleased&, const ShardReleased&) = default;
};

/// State of a job as determined by the order of records in the log.
struct JobState {
  JobId m_job;
  WorkRequest m_request;
  WallMillis m_accepted_wall = 0;
  LogOffset m_accepted_offset = 0;
  LogOffset m_last_offset = 0;  ///< Offset of the last record that changed this job.
  Attempt m_attempt = 0;        ///< Last assigned attempt; 0 before the first.
  /// Whether attempt `m_attempt` is current: assigned, and neither requeued nor ended.
  bool m_assigned = false;
  AgentId m_agent;
  Incarnation m_agent_incarnation = 0;
  std::uint64_t m_reservation = 0;
  std::string m_checkpoint;
  bool m_cancel_requested = false;
  bool m_closed = false;
  JobOutcome m_outcome = JobOutcome::kUnknown;  ///< Meaningful when closed.
  std::string m_result;
  friend bool operator==(const JobState&, const JobState&) = default;
};

struct JobSnapshot {
  JobState m_state;
  /// The snapshot is void when another record of the job lies between this offset and the snapshot.
  LogOffset m_as_of = 0;
  friend bool operator==(const JobSnapshot&, const JobSnapshot&) = default;
};

struct ClassPut {
  ClassSpec m_spec;                   ///< ConfigTable sets `m_revision` and `m_accepted_offset`.
  std::uint64_t m_base_revision = 0;  ///< 0 creates the class.
  std::string m_operator;
  std::string m_change_id;  ///< Identifies the change when its reply is lost.
  WallMillis m_wall = 0;
  friend bool operator==(const ClassPut&, const ClassPut&) = default;
};

struct ClassRemoved {
  ClassName m_name;
  std::uint64_t m_base_revision = 0;
  std::string m_operator;
  std::string m_change_id;
  WallMillis m_wall = 0;
  friend bool operator==(const ClassRemoved&, const ClassRemoved&) = default;
};

struct WorkerDrain {
  AgentId m_agent;
  bool m_draining = true;
  std::string m_operator;
  std::string m_change_id;
  WallMillis m_wall = 0;
  friend bool operator==(const WorkerDrain&, const WorkerDrain&) = default;
};

struct WatchUpdated {
  TopicName m_topic;
  std::string m_update_id;
  std::string m_value;
  friend bool operator==(const WatchUpdated&, const WatchUpdated&) = default;
};

struct EntryAlive {
  EntryId m_entry;
  Incarnation m_incarnation = 0;
  std::string m_rpc_address;   ///< "ip:port".
  std::string m_http_address;  ///< "ip:port".
  bool m_leaving = false;
  friend bool operator==(const EntryAlive&, const EntryAlive&) = default;
};

using LogRecord = std::variant<JobAccepted, JobAssigned, JobRequeued, JobFinished, JobCancelled,
                               ShardClaimed, ShardReleased, JobSnapshot, ClassPut, ClassRemoved,
                               WorkerDrain, WatchUpdated, EntryAlive>;

/// Records appended together (group commit). A batch whose id was seen before is void as a whole,
/// so that an appender can repeat an append whose reply was lost.
struct LogBatch {
  std::string m_batch_id;
  EntryId m_entry;
  std::vector<LogRecord> m_records;
  friend bool operator==(const LogBatch&, const LogBatch&) = default;
};

}  // namespace ebonypin::core
