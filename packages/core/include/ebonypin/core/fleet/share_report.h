/// What an agent's log and metrics tell of the shares of filling tasks.
///
/// A serving task over its target, or a filling task at a small share, is explained by three
/// things: the latency of each serving task, the processors that each filling run uses, and what
/// the agent believes of their images.
#pragma once

#include <string>

#include "ebonypin/core/fleet/worker_agent.h"

namespace ebonypin::core::fleet {

/// Runs of a worker, counted by what they are allowed.
struct ShareCounts {
  std::uint32_t m_full = 0;     ///< Filling runs that are not paced.
  std::uint32_t m_partial = 0;  ///< Filling runs at a reduced share.
  std::uint32_t m_resting = 0;  ///< Filling runs at share zero.
  std::uint32_t m_missed = 0;   ///< Serving runs over their target.

  friend bool operator==(const ShareCounts&, const ShareCounts&) = default;
};

[[nodiscard]] ShareCounts CountShares(const WorkerAgent& agent);

/// Texts for one log line.
struct ShareReport {
  std::string m_serving;  ///< "IMAGE LATENCY/TARGETms load LOAD" by run.
  std::string m_filling;  ///< "IMAGE PERCENT% USED/FULLm" by run, in thousandths of a processor.
  std::string m_pairs;    ///< "SERVING<FILLING EXTRA" by pair of images that meet there.

  friend bool operator==(const ShareReport&, const ShareReport&) = default;
};

[[nodiscard]] ShareReport DescribeShares(const WorkerAgent& agent, Time now);

}  // namespace ebonypin::core::fleet
