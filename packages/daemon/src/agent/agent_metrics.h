/// Metrics of an agent.
#pragma once

#include <vector>

#include "ebonypin/core/agent_ledger.h"
#include "ebonypin/daemon/metrics.h"
#include "ebonypin/wire/rpc.h"

namespace ebonypin::daemon {

/// Returns the current values.
[[nodiscard]] std::vector<Metric> ReadAgentMetrics(const core::AgentCounters& counters,
                                                   const core::AgentLoad& load,
                                                   const wire::Rpc& rpc);

}  // namespace ebonypin::daemon
