/// Functions shared by the source files of the worker agent.
#pragma once

#include <cstdint>

#include "ebonypin/core/fleet/worker_agent.h"

namespace ebonypin::core::fleet {

/// Returns a deadline in ms on the worker's clock for a lease that is given now, or zero when there
/// is no grant or the clock is not known.
[[nodiscard]] std::int64_t GiveLease(WorkerAgent& agent, Time now);

/// Gives up the starts that the worker has not confirmed when their session or its grant has ended.
/// The coordinator takes these runs for ended and starts their tasks elsewhere, so a later grant
/// must not start them. A session without a grant of its own takes starts on the rest of the former
/// grant, so these too are given up when that has ended.
void GiveUpStarts(WorkerAgent& agent, Time now);

/// Decides the share of each filling run from the latencies of the serving runs.
void UpdatePace(WorkerAgent& agent, Time now);

}  // namespace ebonypin::core::fleet
