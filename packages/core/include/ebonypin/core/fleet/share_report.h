/// Shares of filling tasks on a worker, for the agent's log and metrics.
///
/// Three things explain a serving task over its target or a filling task with a small share: the
/// latency of each serving task, the processors that each filling run uses, and the interference
/// that the agent assumes between their images.
#pragma once

#include <string>

#include "ebonypin/core/fleet/worker_agent.h"

namespace ebonypin::core::fleet {

/// Number of runs on a worker by allowed share and missed target.
struct ShareCounts {
  std::uint32_t m_full = 0;     ///< Filling runs at the full share.
  std::uint32_t m_partial = 0;  ///< Filling runs at a reduced share.
  std::uint32_t m_resting = 0;  ///< Filling runs at share zero.
  std::uint32_t m_missed = 0;   ///< Serving runs over their target.

  friend bool operator==(const ShareCounts&, const ShareCounts&) = default;
};

[[nodiscard]] ShareCounts CountShares(const WorkerAgent& agent);

/// Fields of one log line.
struct ShareReport {
  std::string m_serving;  ///< "IMAGE LATENCY/TARGETms load LOAD" by run.
  std::string m_filling;  ///< "IMAGE PERCENT% USED/FULLm" by run, in thousandths of a processor.
  std::string m_pairs;    ///< "SERVING<FILLING GROWTH" by pair of images on the worker.

  friend bool operator==(const ShareReport&, const ShareReport&) = default;
};

[[nodiscard]] ShareReport DescribeShares(const WorkerAgent& agent, Time now);

}  // namespace ebonypin::core::fleet
