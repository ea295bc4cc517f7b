/// Actions that an agent's ledger asks its driver to carry out.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "ebonypin/core/agent_state.h"

namespace ebonypin::core {

/// Reply to the call `m_call`: a RunReply, ReserveReply, StartReply, CancelReply, FenceReply or
/// Error.
struct ReplyToCall {
  CallId m_call = 0;
  Message m_reply;
};

/// Send a request to the endpoint. Its end is passed to OnRunEnded.
struct CallEndpoint {
  CallId m_call = 0;
  RequestId m_request;
  ClassName m_class;
  Duration m_time_left{};  ///< The caller's remaining time; zero means no limit.
  std::string m_payload;
};

/// Start a task at the worker. Repeated until the worker confirms it; the worker starts each task
/// id only once.
struct StartTask {
  TaskSpec m_spec;
  Duration m_lease{};
  std::string m_checkpoint;
  std::string m_payload;
};

/// Renew the lease of a task for `m_lease` from now.
struct RenewTask {
  TaskId m_task;
  Duration m_lease{};
};

/// Limit a task to a share of its size; 0 suspends it. The confirmation is passed to
/// OnTaskThrottled.
struct ThrottleTask {
  TaskId m_task;
  std::uint32_t m_share = 1000;  ///< Thousandths.
  std::uint64_t m_version = 0;   ///< The worker ignores a version below the last one.
};

/// Stop a task permanently, with a checkpoint of its current state when `m_checkpoint` is set. A
/// worker that does not know the task refuses later starts of it. Repeated until a TaskEvent
/// confirms the stop.
struct StopTask {
  TaskId m_task;
  bool m_checkpoint = true;
};

/// Let the worker forget an ended task.
struct ForgetTask {
  TaskId m_task;
};

/// Send a report to the entry at `m_to`, or to any known entry when `m_to` is empty. The reply is
/// passed to OnReportReply; the report is repeated until acknowledged.
struct SendReport {
  std::string m_to;
  TaskReport m_report;
};

using AgentAction = std::variant<ReplyToCall, CallEndpoint, StartTask, RenewTask, ThrottleTask,
                                 StopTask, ForgetTask, SendReport>;

/// Actions in the order in which the driver carries them out.
using AgentActions = std::vector<AgentAction>;

}  // namespace ebonypin::core
