/// Measures the slopes that docs/CAPACITY.md is worked out from and prints one line for each.
#include <fmt/core.h>
#include <gflags/gflags.h>

#include "capacity_heartbeats.h"

DEFINE_uint32(rounds, 60, "heartbeats that each member sends");

int main(int argc, char** argv) {
  gflags::SetUsageMessage("measures the slopes behind docs/CAPACITY.md");
  gflags::ParseCommandLineFlags(&argc, &argv, true);

  fmt::print("heartbeats over RPC on loopback\n");
  fmt::print("{:>8} {:>9} {:>10} {:>12} {:>12} {:>10} {:>9} {:>12}\n", "members", "attempts",
             "exchanges", "entry us/hb", "agent us/hb", "request B", "reply B", "heap B/conn");
  for (const std::uint32_t members : {11U, 100U, 400U}) {
    for (const std::uint32_t attempts : {0U, 20U}) {
      const auto cost = ebonypin::bench::MeasureHeartbeats(members, FLAGS_rounds, attempts);
      fmt::print("{:>8} {:>9} {:>10} {:>12.1f} {:>12.1f} {:>10.0f} {:>9.0f} {:>12.0f}\n",
                 cost.m_members, attempts, cost.m_exchanges, cost.m_entry_cpu_us,
                 cost.m_agent_cpu_us, cost.m_request_bytes, cost.m_reply_bytes,
                 cost.m_entry_heap_bytes);
    }
  }
  return 0;
}
