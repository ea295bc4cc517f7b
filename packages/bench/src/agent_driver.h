/// Drives the agent's part of the core for one endpoint.
#pragma once

#include <unordered_map>

#include "ebonypin/core/admission.h"
#include "ebonypin/core/interference.h"
#include "ebonypin/core/messages.h"
#include "ebonypin/core/run_time_model.h"
#include "ebonypin/core/slot_plan.h"
#include "ebonypin/core/work_queue.h"
#include "world.h"

namespace ebonypin::bench {

class AgentDriver {
 public:
  AgentDriver(World& world, std::uint32_t worker);

  using Reply = std::function<void(core::RunReply)>;

  /// A request has arrived; `travel` is the way it came.
  void OnRun(const core::RunRequest& run, Duration travel, Reply reply);
  void OnCancel(const core::RequestId& request);
  /// Reserves room for a job; returns false when there is none.
  [[nodiscard]] bool Reserve(std::uint64_t item, const core::Resources& size);
  /// Starts a reserved job with `left_us` of work.
  void StartJob(std::uint64_t item, core::Attempt attempt, double left_us, Duration travel);
  void CancelJob(std::uint64_t item);
  void OnUsage(const std::vector<ClassUsage>& usage);
  [[nodiscard]] core::AgentLoad Load() const;

  /// Called with an ended job and whether it succeeded.
  std::function<void(const Task&, bool)> m_on_job_end;
  /// Called with an evicted job, after its checkpoint.
  std::function<void(const Task&)> m_on_evicted;

 private:
  struct Pending {
    core::RunRequest m_run;
    std::uint64_t m_item = 0;
    Duration m_travel{};
    Time m_arrived{};
    Reply m_reply;
  };
  struct Job {
    core::Attempt m_attempt = 1;
    bool m_leaving = false;  ///< Its checkpoint is being written.
  };

  void Tick();
  /// Plans the slots, carries the plan out and starts short work that fits.
  void Pump();
  [[nodiscard]] core::SlotPlan Plan();
  [[nodiscard]] Duration ExpectedLeft(const Task& task);
  /// Predicted extra slowdown of the short work here by one task of class `cause`.
  [[nodiscard]] double HarmOf(std::uint32_t cause) const;
  /// Wait for a slot that short work bears within its start target.
  [[nodiscard]] Duration Patience() const;
  /// Extra slowdown that the short work here bears without missing its target.
  [[nodiscard]] double HarmLimit() const;
  void StartShort();
  void OnEnd(const Task& task, bool done);
  void Evict(std::uint64_t item);
  [[nodiscard]] core::Resources Free() const;
  [[nodiscard]] core::QueueSnapshot Outlook() const;
  [[nodiscard]] Duration ExpectedRun(const core::ClassName& name, Duration declared);

  World& m_world;
  const std::uint32_t m_worker;
  Endpoint& m_endpoint;
  core::WorkQueue m_queue;
  core::SlotPlanState m_slots;
  core::SlotPlanOptions m_slot_options;
  std::unordered_map<std::uint64_t, Pending> m_waiting;  ///< By try.
  std::unordered_map<std::uint64_t, Pending> m_running;  ///< By item.
  std::unordered_map<std::uint64_t, core::Resources> m_reserved;
  std::unordered_map<std::uint64_t, Job> m_jobs;
  std::unordered_map<core::ClassName, core::RunTimeModel> m_models;
  core::RunTimeOptions m_run_options;
  core::InterferenceModel m_interference;
  core::InterferenceOptions m_interference_options;
  double m_latency_us = 0.0;
  double m_run_us = 0.0;
  bool m_target_missed = false;
};

}  // namespace ebonypin::bench
