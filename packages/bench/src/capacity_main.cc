/// Measures the slopes that docs/CAPACITY.md is worked out from and prints one line for each.
#include <fmt/core.h>
#include <gflags/gflags.h>

#include "capacity_heartbeats.h"
#include "capacity_state.h"

DEFINE_uint32(rounds, 60, "heartbeats that each member sends");

namespace {

void PrintHeartbeats() {
  fmt::print("heartbeats over RPC on loopback\n");
  fmt::print("{:>8} {:>9} {:>10} {:>12} {:>12} {:>10} {:>9} {:>12}\n", "members", "attempts",
             "exchanges", "entry us/hb", "agent us/hb", "sent B", "recv B", "heap B/conn");
  for (const std::uint32_t members : {11U, 100U, 400U}) {
    for (const std::uint32_t attempts : {0U, 20U}) {
      const auto cost = ebonypin::bench::MeasureHeartbeats(members, FLAGS_rounds, attempts);
      fmt::print("{:>8} {:>9} {:>10} {:>12.1f} {:>12.1f} {:>10.0f} {:>9.0f} {:>12.0f}\n",
                 cost.m_members, attempts, cost.m_exchanges, cost.m_entry_cpu_us,
                 cost.m_agent_cpu_us, cost.m_sent_bytes, cost.m_received_bytes,
                 cost.m_entry_heap_bytes);
    }
  }
}

void PrintJobs() {
  fmt::print("\nopen jobs in the table of an entry, two records each\n");
  fmt::print("{:>8} {:>10} {:>13} {:>12} {:>10}\n", "jobs", "heap B/job", "us/record", "B/record",
             "replay s");
  for (const std::size_t jobs : {1'000U, 10'000U, 100'000U}) {
    const auto cost = ebonypin::bench::MeasureJobTable(jobs);
    fmt::print("{:>8} {:>10.0f} {:>13.2f} {:>12.0f} {:>10.3f}\n", cost.m_jobs, cost.m_heap_bytes,
               cost.m_apply_us, cost.m_record_bytes, cost.m_replay_seconds);
  }
}

void PrintConfig() {
  fmt::print("\nclasses in the table of an entry, one change each\n");
  fmt::print("{:>8} {:>12} {:>13} {:>14}\n", "classes", "heap B/class", "us/change",
             "full reply B");
  for (const std::size_t classes : {10U, 110U, 1'100U}) {
    const auto cost = ebonypin::bench::MeasureConfig(classes);
    fmt::print("{:>8} {:>12.0f} {:>13.2f} {:>14.0f}\n", cost.m_classes, cost.m_heap_bytes,
               cost.m_apply_us, cost.m_full_reply_bytes);
  }
}

void PrintFleet() {
  fmt::print("\nagents in the view of an entry\n");
  fmt::print("{:>8} {:>12} {:>13} {:>10} {:>13}\n", "agents", "heap B/agent", "us/heartbeat",
             "us/sweep", "us/placement");
  for (const std::size_t agents : {11U, 100U, 400U, 690U, 6'900U}) {
    const auto cost = ebonypin::bench::MeasureFleet(agents);
    fmt::print("{:>8} {:>12.0f} {:>13.2f} {:>10.1f} {:>13.2f}\n", cost.m_agents, cost.m_heap_bytes,
               cost.m_heartbeat_us, cost.m_sweep_us, cost.m_placement_us);
  }
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage("measures the slopes behind docs/CAPACITY.md");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  PrintHeartbeats();
  PrintJobs();
  PrintConfig();
  PrintFleet();
  return 0;
}
