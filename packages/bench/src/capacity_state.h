/// Measures what the folded state of an entry costs in memory and processor time.
#pragma once

#include <cstddef>
#include <cstdint>

namespace ebonypin::bench {

/// Cost of holding and replaying open jobs.
struct JobTableCost {
  std::size_t m_jobs = 0;
  double m_heap_bytes = 0;      ///< For each open job, assigned, with a payload of 200 bytes.
  double m_apply_us = 0;        ///< For each record, with decoding.
  double m_record_bytes = 0;    ///< Encoded size of each record.
  double m_replay_seconds = 0;  ///< All records of these jobs.
};

/// Cost of configuration.
struct ConfigCost {
  std::size_t m_classes = 0;
  double m_heap_bytes = 0;        ///< For each class with its audit entry.
  double m_apply_us = 0;          ///< For each change, with decoding.
  double m_full_reply_bytes = 0;  ///< Heartbeat reply that teaches all classes.
};

/// Cost of the view of agents.
struct FleetCost {
  std::size_t m_agents = 0;
  double m_heap_bytes = 0;    ///< For each agent.
  double m_heartbeat_us = 0;  ///< ObserveHeartbeat.
  double m_sweep_us = 0;      ///< One SweepFleet over all agents.
  double m_placement_us = 0;  ///< One PlaceWork.
};

[[nodiscard]] JobTableCost MeasureJobTable(std::size_t jobs);
[[nodiscard]] ConfigCost MeasureConfig(std::size_t classes);
[[nodiscard]] FleetCost MeasureFleet(std::size_t agents);

}  // namespace ebonypin::bench
