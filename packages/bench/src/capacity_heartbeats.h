/// Measures the cost of membership on the real RPC code: heartbeats of many agents to one entry.
#pragma once

#include <cstdint>

namespace ebonypin::bench {

/// Costs of one heartbeat exchange.
struct HeartbeatCost {
  std::uint32_t m_members = 0;
  std::uint64_t m_exchanges = 0;
  double m_entry_cpu_us = 0;  ///< Processor time of the entry's RPC thread for each exchange.
  double m_agent_cpu_us = 0;  ///< Processor time of an agent's RPC thread for each exchange.
  double m_sent_bytes = 0;    ///< By the agent for each exchange, without TCP and IP headers.
  double m_received_bytes = 0;
  double m_entry_heap_bytes = 0;  ///< Heap of client and server for each connection.
};

/// Lets `members` agents exchange `rounds` heartbeats each with one entry over loopback; `attempts`
/// are named in each heartbeat and granted in each reply.
[[nodiscard]] HeartbeatCost MeasureHeartbeats(std::uint32_t members, std::uint32_t rounds,
                                              std::uint32_t attempts);

}  // namespace ebonypin::bench
