/// Client of a fleet worker, which runs tasks under one lease. Used by the worker's agent.
///
/// All calls return immediately and report their outcome exactly once, on a thread of the HTTP
/// library.
#pragma once

#include <functional>
#include <optional>

#include "ebonypin/core/fleet/worker_agent.h"

namespace ebonypin::platform {

/// Outcome of a hold: the worker's answer, or why there is no answer.
struct HoldReply {
  std::optional<core::fleet::HoldAnswer> m_answer;
  bool m_fenced = false;  ///< The worker has seen a larger fence.
  std::string m_reason;   ///< For logs.
};

/// Worker incarnation that a call addresses, and the fencing token of the agent.
struct CallTarget {
  core::fleet::WorkerId m_worker;
  std::uint64_t m_fence = 0;
};

class FleetWorkerClient {
 public:
  FleetWorkerClient() = default;
  virtual ~FleetWorkerClient() = default;
  FleetWorkerClient(const FleetWorkerClient&) = delete;
  FleetWorkerClient& operator=(const FleetWorkerClient&) = delete;

  /// Starts or stops a run, or sets its pace. `reason` explains an answer other than kOk.
  virtual void Call(
      const CallTarget& target, const core::fleet::RunCall& call,
      std::function<void(core::fleet::RunAnswer, const std::string& reason)> done) = 0;

  virtual void Hold(const CallTarget& target, const core::fleet::HoldCall& call,
                    std::function<void(HoldReply)> done) = 0;
};

}  // namespace ebonypin::platform
