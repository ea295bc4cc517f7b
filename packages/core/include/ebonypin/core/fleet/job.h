/// Jobs of steps: what callers submit, and what a task requires of a worker.
///
/// A job consists of steps, and a step of identical tasks. A step starts when all tasks of the
/// steps in `m_after` are done. A scheduled job runs all its steps once per occurrence.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "ebonypin/core/ids.h"
#include "ebonypin/core/resources.h"
#include "ebonypin/core/time.h"

namespace ebonypin::core::fleet {

using QueueName = Id<struct QueueTag>;
using ServiceName = Id<struct ServiceTag>;
using WorkerId = Id<struct WorkerTag>;
/// Tasks of one image behave alike, so the interference model treats an image as a class.
using ImageName = ClassName;

/// Number of a run of a task. Increases with each start and serves as the task's fencing token.
using RunNumber = std::uint64_t;

/// Step of a job: tasks with the same requirements.
struct StepSpec {
  std::uint32_t m_count = 1;               ///< Number of tasks.
  Resources m_size;                        ///< Size of one task.
  Duration m_estimate{};                   ///< Estimated run time of one task.
  std::vector<std::uint32_t> m_after;      ///< Earlier steps that must be done first.
  std::string m_required_label;            ///< Label that the worker must have; empty: any worker.
  std::string m_data_rack;                 ///< Rack of the input data; empty: any rack.
  ImageName m_image;                       ///< Program that the tasks run.
  Duration m_latency_target{};             ///< Tail latency of a serving task; zero: none.
  std::uint32_t m_max_per_worker = 0;      ///< Tasks of one occurrence; zero: no limit.
  std::uint32_t m_may_be_unavailable = 0;  ///< Tasks that may be stopped at the same time.
  bool m_checkpointing = false;
  bool m_gang = false;          ///< Tasks start together and end together.
  bool m_same_rack = false;     ///< Tasks run faster when they share a rack.
  bool m_speculative = false;   ///< Copies may run in parallel; not used by the scheduler.
  bool m_long_running = false;  ///< Runs until the job is cancelled.
  bool m_fills = false;  ///< Filling task: runs on processor time that others leave unused; its
                         ///< processors do not count against the capacity.

  friend bool operator==(const StepSpec&, const StepSpec&) = default;
};

/// Queue of a job, with the queue's policy at the time when the job was accepted.
struct QueuePolicy {
  QueueName m_queue;
  ServiceName m_service;         ///< Workers that may run its tasks.
  std::uint32_t m_priority = 0;  ///< 0 is the most urgent.
  std::uint32_t m_attempts = 1;  ///< Number of failed runs of one task that fails the job.
  double m_stretch = 1.0;        ///< Objective relative to the time of the longest chain of steps.
  Duration m_objective{};        ///< Added to the stretched time of the chain.
  bool m_advised = false;        ///< Starts need a ticket of the advice service.
  /// Time that the advice service needs for a call, and for each worker that the call names.
  Duration m_advice_call_time{};
  Duration m_advice_worker_time{};

  friend bool operator==(const QueuePolicy&, const QueuePolicy&) = default;
};

/// Job as submitted.
struct JobSpec {
  JobId m_id;
  QueuePolicy m_policy;
  std::string m_payload;  ///< Passed unchanged to every task.
  std::vector<StepSpec> m_steps;
  std::uint32_t m_times = 0;       ///< Number of occurrences; zero: one, as soon as possible.
  WallMillis m_first_due = 0;      ///< Due time of occurrence 0.
  std::int64_t m_interval_ms = 0;  ///< Time between occurrences.

  friend bool operator==(const JobSpec&, const JobSpec&) = default;
};

/// One task of a job.
struct TaskRef {
  JobId m_job;
  std::uint32_t m_occurrence = 0;
  std::uint32_t m_step = 0;
  std::uint32_t m_index = 0;

  friend auto operator<=>(const TaskRef&, const TaskRef&) = default;
};

/// State of a job as shown to callers.
enum class JobPhase : std::uint8_t { kQueued, kRunning, kDone, kFailed, kCancelled };

/// How a run ended, as reported by the worker.
enum class RunOutcome : std::uint8_t {
  kDone,
  kFailed,   ///< The task or the worker failed; counts as an attempt.
  kStopped,  ///< Stopped by an order.
  kLapsed,   ///< The lease ended.
  kBroken,   ///< Another member of the gang ended.
  kAlone,    ///< The run waited too long for the other members of its gang.
};

/// Limits of an accepted job. They bound the memory that it takes; its records are bounded by
/// kTasksPerPart and by RecordLimits.
inline constexpr std::uint32_t kMaxSteps = 64;
inline constexpr std::uint32_t kMaxTasksPerJob = 4096;
inline constexpr std::uint32_t kMaxOccurrences = 4096;
/// Largest saved state of a task, in bytes; a larger one is treated as not saved, and the task then
/// starts again from the newest state within the limit. Messages and records hold several states,
/// and a message is limited to 1 MiB.
inline constexpr std::size_t kMaxCheckpointBytes = 10'240;
/// Longest estimate, target or interval. Sums and multiples of it fit into a Duration.
inline constexpr Duration kMaxSpan = std::chrono::hours{24 * 365 * 4};
/// Largest component of the size of a task; the sum over all tasks fits into 64 bits.
inline constexpr std::int64_t kMaxSize = std::int64_t{1} << 40U;

}  // namespace ebonypin::core::fleet
