/// Messages between entries and agents that run jobs of steps.
///
/// One entry at a time is the coordinator; its epoch is a fencing token that agents check. Agents
/// report to it and get grants; it sends them orders. Callers' calls reach it through any entry.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "ebonypin/core/fleet/image_pairs.h"
#include "ebonypin/core/fleet/job.h"

namespace ebonypin::core::fleet {

/// Worker as its agent knows it.
struct WorkerInfo {
  WorkerId m_id;
  std::int64_t m_born = 0;  ///< Unix milliseconds of its start; tells lives with one id apart.
  ServiceName m_service;
  std::string m_machine;  ///< Name of its machine at the platform.
  std::string m_domain;   ///< Failure domain.
  Resources m_capacity;
  std::vector<std::string> m_labels;
  std::string m_rack;
  bool m_draining = false;
  Duration m_remaining{};    ///< Least time left while it drains.
  bool m_reachable = false;  ///< It answered the agent's last call.

  friend bool operator==(const WorkerInfo&, const WorkerInfo&) = default;
};

/// Run that is, or may be, at a worker.
struct RunStatus {
  TaskRef m_task;
  RunNumber m_run = 0;
  std::uint32_t m_percent = 0;  ///< Of its work.
  std::string m_checkpoint;     ///< Newest one; empty: none.
  /// Of the last half second. Serving tasks: tail latency in milliseconds; others: processors in
  /// use, in thousandths.
  double m_figure = 0.0;
  /// The agent has the order that started it; not after a restart of the agent.
  bool m_order_known = true;

  friend bool operator==(const RunStatus&, const RunStatus&) = default;
};

/// End of a run that was not acknowledged to the worker yet.
struct RunEnded {
  std::uint64_t m_number = 0;  ///< Of the worker, increasing from 1 in each of its lives.
  TaskRef m_task;
  RunNumber m_run = 0;
  RunOutcome m_outcome = RunOutcome::kDone;
  std::string m_checkpoint;

  friend bool operator==(const RunEnded&, const RunEnded&) = default;
};

/// Agent to coordinator, twice a second and after each change.
struct AgentReport {
  AgentId m_agent;
  std::string m_rpc_address;
  Epoch m_epoch = 0;               ///< Highest one that the agent knows.
  std::uint64_t m_number = 0;      ///< Increases with each report of this process.
  std::uint64_t m_session = 0;     ///< Zero: none, for example after its grant has expired.
  std::uint64_t m_last_order = 0;  ///< Newest order of the session that was taken.
  bool m_runs_known = false;       ///< The worker has listed its runs to this agent.
  WorkerInfo m_worker;
  std::vector<RunStatus> m_runs;
  std::vector<RunEnded> m_ends;

  friend bool operator==(const AgentReport&, const AgentReport&) = default;
};

struct AgentReportReply {
  bool m_accepted = false;  ///< The answering entry is the coordinator.
  Epoch m_epoch = 0;
  std::string m_coordinator;    ///< RPC address of the coordinator, when known.
  std::uint64_t m_session = 0;  ///< To report with; it begins with the report that names it.
  Duration m_grant{};           ///< Leases may last until then, from the sending of the report.
  std::uint64_t m_recorded_end = 0;  ///< Ends up to this number are in the store.
  std::int64_t m_worker_born = 0;    ///< Life of the worker that `m_recorded_end` belongs to.
  std::vector<ImagePair> m_pairs;    ///< Learned for the images that run there.

  friend bool operator==(const AgentReportReply&, const AgentReportReply&) = default;
};

/// Order to start a run.
struct StartOrder {
  TaskRef m_task;
  RunNumber m_run = 0;
  std::string m_payload;
  std::string m_checkpoint;
  std::string m_ticket;         ///< Of the advice service; empty: none.
  Duration m_latency_target{};  ///< Zero: no serving task.
  bool m_fills = false;
  ImageName m_image;
  std::int64_t m_cpu_millis = 0;  ///< Declared processors, in thousandths.

  friend bool operator==(const StartOrder&, const StartOrder&) = default;
};

enum class OrderKind : std::uint8_t {
  kStart,
  kStop,     ///< Uses only the task and the run.
  kDescribe  ///< Tells what a run is that an earlier agent started; never starts anything.
};

/// Order of a coordinator to an agent.
struct Order {
  std::uint64_t m_number = 0;  ///< Increases by one within a session.
  OrderKind m_kind = OrderKind::kStart;
  StartOrder m_start;

  friend bool operator==(const Order&, const Order&) = default;
};

/// Coordinator to agent; without orders it announces the coordinator.
struct AgentOrders {
  Epoch m_epoch = 0;
  std::string m_coordinator;  ///< RPC address.
  std::uint64_t m_session = 0;
  std::vector<Order> m_orders;

  friend bool operator==(const AgentOrders&, const AgentOrders&) = default;
};

struct AgentOrdersReply {
  bool m_accepted = false;
  Epoch m_epoch = 0;
  std::uint64_t m_last_order = 0;

  friend bool operator==(const AgentOrdersReply&, const AgentOrdersReply&) = default;
};

/// What a caller wants of a job or a queue.
enum class JobCallKind : std::uint8_t { kSubmit, kState, kCancel, kPending };

/// Entry to coordinator, on behalf of a caller.
struct JobCall {
  JobCallKind m_kind = JobCallKind::kState;
  JobSpec m_job;  ///< Only the id and the queue are used, but for kSubmit.

  friend bool operator==(const JobCall&, const JobCall&) = default;
};

enum class JobCallStatus : std::uint8_t {
  kOk,
  kNoSuchJob,
  kRefused,         ///< Certain not to run; come back after `m_retry_after`.
  kUnknown,         ///< May have taken effect; ask again.
  kNotCoordinator,  ///< Nothing was done; `m_coordinator` names the coordinator when known.
};

struct JobCallReply {
  JobCallStatus m_status = JobCallStatus::kUnknown;
  JobPhase m_phase = JobPhase::kQueued;
  std::uint64_t m_pending = 0;
  Duration m_retry_after{};
  Epoch m_epoch = 0;
  std::string m_coordinator;
  std::string m_reason;  ///< For logs.

  friend bool operator==(const JobCallReply&, const JobCallReply&) = default;
};

/// New coordinator to its predecessor.
struct StepDown {
  Epoch m_epoch = 0;  ///< Of the new coordinator.
  std::string m_coordinator;

  friend bool operator==(const StepDown&, const StepDown&) = default;
};

struct StepDownReply {
  bool m_stepped_down = false;  ///< The predecessor gives no order and no grant from now on.

  friend bool operator==(const StepDownReply&, const StepDownReply&) = default;
};

}  // namespace ebonypin::core::fleet
