/// What an agent's ledger asks its driver to do.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "ebonypin/core/agent_state.h"

namespace ebonypin::core {

/// Reply to the call `m_call`. RunReply, ReserveReply, StartReply, CancelReply, FenceReply or
/// Error.
struct ReplyToCall {
  CallId m_call = 0;
  Message m_reply;
};

/// Serve a request at the endpoint; answered by OnRunEnded.
struct CallEndpoint {
  CallId m_call = 0;
  RequestId m_request;
  ClassName m_class;
  Duration m_time_left{};  ///< The caller's remaining time; zero when not limited.
  std::string m_payload;
};

/// Start a task at the worker. Repeated until confirmed; the worker starts a task id only once.
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

/// Limit a task to a share of its size; 0 suspends it. Answered by OnTaskThrottled.
struct ThrottleTask {
  TaskId m_task;
  std::uint32_t m_share = 1000;  ///< Thousandths.
  std::uint64_t m_version = 0;   ///< The worker ignores a version lower than the last one.
};

/// Stop a task for good, at a checkpoint taken where it stands when asked for. A worker that does
/// not know the task refuses later starts of it. Repeated until a TaskEvent confirms it.
struct StopTask {
  TaskId m_task;
  bool m_checkpoint = true;
};

/// The worker may forget an ended task.
struct ForgetTask {
  TaskId m_task;
};

/// Send a report to the entry at `m_to`, or to any known entry when it is empty. Answered by
/// OnReportReply; repeated until acknowledged.
struct SendReport {
  std::string m_to;
  TaskReport m_report;
};

using AgentAction = std::variant<ReplyToCall, CallEndpoint, StartTask, RenewTask, ThrottleTask,
                                 StopTask, ForgetTask, SendReport>;

/// Actions in the order in which the driver carries them out.
using AgentActions = std::vector<AgentAction>;

}  // namespace ebonypin::core
