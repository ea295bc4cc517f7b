/// Messages between the entries and agents that run jobs of steps.
///
/// One entry at a time is the coordinator; its epoch is a fencing token that agents check. Agents
/// report to the coordinator, which replies with grants and sends orders. Callers' calls reach it
/// through any entry.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "ebonypin/core/fleet/image_pairs.h"
#include "ebonypin/core/fleet/job.h"

namespace ebonypin::core::fleet {

/// State of a worker as known to its agent.
struct WorkerInfo {
  WorkerId m_id;
  std::int64_t m_born = 0;  ///< Unix milliseconds of its start; identifies the incarnation.
  ServiceName m_service;
  std::string m_machine;  ///< The platform's name of its machine.
  std::string m_domain;   ///< Failure domain.
  Resources m_capacity;
  std::vector<std::string> m_labels;
  std::string m_rack;
  bool m_draining = false;
  Duration m_remaining{};    ///< While draining: minimum time before the worker leaves.
  bool m_reachable = false;  ///< The worker answered the agent's last call.

  friend bool operator==(const WorkerInfo&, const WorkerInfo&) = default;
};

/// Run that is, or may be, on a worker.
struct RunStatus {
  TaskRef m_task;
  RunNumber m_run = 0;
  std::uint32_t m_percent = 0;  ///< Progress.
  std::string m_checkpoint;     ///< Newest checkpoint; empty: none.
  /// Measured over the last half second. Serving tasks: tail latency in milliseconds; other tasks:
  /// processors in use, in thousandths.
  double m_figure = 0.0;
  /// Whether the agent has the start order of the run; it is lost when the agent restarts.
  bool m_order_known = true;

  friend bool operator==(const RunStatus&, const RunStatus&) = default;
};

/// End of a run that has not been acknowledged to the worker yet.
struct RunEnded {
  std::uint64_t m_number = 0;  ///< Assigned by the worker, from 1 in each incarnation.
  TaskRef m_task;
  RunNumber m_run = 0;
  RunOutcome m_outcome = RunOutcome::kDone;
  std::string m_checkpoint;

  friend bool operator==(const RunEnded&, const RunEnded&) = default;
};

/// Run that was, or may have been, at work on a worker when the worker crashed.
struct CrashedRun {
  std::int64_t m_born = 0;  ///< Incarnation of the worker that crashed.
  TaskRef m_task;
  RunNumber m_run = 0;
  Duration m_age{};  ///< Time from the start of the run until the worker fell silent.

  friend bool operator==(const CrashedRun&, const CrashedRun&) = default;
};

/// Sent by an agent to the coordinator twice a second and after each change.
struct AgentReport {
  AgentId m_agent;
  std::string m_rpc_address;
  Epoch m_epoch = 0;               ///< Highest epoch that the agent knows.
  std::uint64_t m_number = 0;      ///< Increases with each report of the agent process.
  std::uint64_t m_session = 0;     ///< Zero: no session, for example after the grant has expired.
  std::uint64_t m_last_order = 0;  ///< Newest order of the session that the agent has taken.
  bool m_runs_known = false;       ///< The worker has listed its runs to this agent.
  WorkerInfo m_worker;
  std::vector<RunStatus> m_runs;
  std::vector<RunEnded> m_ends;
  std::vector<CrashedRun> m_crashed;  ///< Not recorded yet. Earlier versions send none.
  /// If not, a run that is not listed may have ended: the worker lists its end only after earlier
  /// ends have been acknowledged. Earlier versions always send true.
  bool m_ends_complete = true;

  friend bool operator==(const AgentReport&, const AgentReport&) = default;
};

struct AgentReportReply {
  bool m_accepted = false;  ///< The entry that answers is the coordinator.
  Epoch m_epoch = 0;
  std::string m_coordinator;         ///< RPC address of the coordinator, when known.
  std::uint64_t m_session = 0;       ///< Begins with the first report that names it.
  Duration m_grant{};                ///< Limit on leases, counted from the sending of the report.
  std::uint64_t m_recorded_end = 0;  ///< Ends up to this number are in the store.
  std::int64_t m_worker_born = 0;    ///< Incarnation of the worker that `m_recorded_end` refers to.
  std::vector<ImagePair> m_pairs;    ///< Interference between the images that run there.
  /// Crashes of incarnations up to this one are in the store. Earlier versions send zero.
  std::int64_t m_recorded_crash = 0;

  friend bool operator==(const AgentReportReply&, const AgentReportReply&) = default;
};

/// Order to start a run.
struct StartOrder {
  TaskRef m_task;
  RunNumber m_run = 0;
  std::string m_payload;
  std::string m_checkpoint;
  std::string m_ticket;         ///< Ticket of the advice service; empty: none.
  Duration m_latency_target{};  ///< Zero: not a serving task.
  bool m_fills = false;
  ImageName m_image;
  std::int64_t m_cpu_millis = 0;  ///< Declared processors, in thousandths.

  friend bool operator==(const StartOrder&, const StartOrder&) = default;
};

enum class OrderKind : std::uint8_t {
  kStart,
  kStop,     ///< Uses only the task and the run number.
  kDescribe  ///< Sends the start order of a run that an earlier agent started; starts nothing.
};

/// Order of the coordinator to an agent.
struct Order {
  std::uint64_t m_number = 0;  ///< Increases by one within a session.
  OrderKind m_kind = OrderKind::kStart;
  StartOrder m_start;

  friend bool operator==(const Order&, const Order&) = default;
};

/// Returns the number of bytes in the texts of the order, to which fields of fixed size are added.
[[nodiscard]] std::size_t TextBytes(const Order& order) noexcept;

/// Sent by the coordinator to an agent; without orders it announces the coordinator.
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

/// Operation that a caller requests on a job or a queue.
enum class JobCallKind : std::uint8_t { kSubmit, kState, kCancel, kPending };

/// Sent by an entry to the coordinator on behalf of a caller.
struct JobCall {
  JobCallKind m_kind = JobCallKind::kState;
  JobSpec m_job;  ///< kSubmit uses all of it, the other calls only the id and the queue.
  /// Time for which the sender waits for the answer while the store is unavailable. Zero: it does
  /// not hold calls, or is of an earlier version.
  Duration m_wait{};

  friend bool operator==(const JobCall&, const JobCall&) = default;
};

enum class JobCallStatus : std::uint8_t {
  kOk,
  kNoSuchJob,
  kRefused,         ///< The job was not accepted; retry after `m_retry_after`.
  kUnknown,         ///< The call, or an earlier one, may have taken effect. With a retry time the
                    ///< coordinator has given it up: ask again after that.
  kNotCoordinator,  ///< Nothing was done; `m_coordinator` names the coordinator when known.
};

/// What the coordinator's answer to a call rests on.
enum class AnswerBasis : std::uint8_t {
  kNotTold,    ///< Answered by an earlier version, or not by a coordinator.
  kMemory,     ///< What the coordinator held in memory when the call arrived.
  kConfirmed,  ///< The same, and the answer waited until the store had confirmed the epoch.
  kRecorded,   ///< A record that the store took in the epoch of the answer.
};

struct JobCallReply {
  JobCallStatus m_status = JobCallStatus::kUnknown;
  JobPhase m_phase = JobPhase::kQueued;
  std::uint64_t m_pending = 0;
  Duration m_retry_after{};
  Epoch m_epoch = 0;  ///< Of the coordinator that answers, or that `m_coordinator` names.
  std::string m_coordinator;
  std::string m_reason;  ///< Text for logs.
  AnswerBasis m_basis = AnswerBasis::kNotTold;

  friend bool operator==(const JobCallReply&, const JobCallReply&) = default;
};

/// Sent by a new coordinator to its predecessor.
struct StepDown {
  Epoch m_epoch = 0;  ///< Epoch of the new coordinator.
  std::string m_coordinator;

  friend bool operator==(const StepDown&, const StepDown&) = default;
};

struct StepDownReply {
  bool m_stepped_down = false;  ///< The predecessor gives no more orders or grants.
  /// Newest epoch in which the answering process was active; zero: none, or not told.
  Epoch m_epoch = 0;
  Duration m_earlier_grants_left{};  ///< Time left of grants of epochs before `m_epoch`.

  friend bool operator==(const StepDownReply&, const StepDownReply&) = default;
};

}  // namespace ebonypin::core::fleet
