#include "agent_metrics.h"

#include "../rpc_metrics.h"

namespace ebonypin::daemon {

std::vector<Metric> ReadAgentMetrics(const core::AgentCounters& counters,
                                     const core::AgentLoad& load, const wire::Rpc& rpc) {
  std::vector<Metric> out = {
      SingleMetric("ebonypin_runs_done_total", "Requests that the endpoint answered.",
                   counters.m_runs_done),
      SingleMetric("ebonypin_runs_refused_total", "Requests refused before they ran.",
                   counters.m_runs_refused),
      SingleMetric("ebonypin_runs_unknown_total", "Requests whose outcome is unknown.",
                   counters.m_runs_unknown),
      SingleMetric("ebonypin_starts_total", "Job attempts started on this worker.",
                   counters.m_starts),
      SingleMetric("ebonypin_starts_refused_total", "Starts refused before they ran.",
                   counters.m_starts_refused),
      SingleMetric("ebonypin_reservations_expired_total", "Reservations that were never started.",
                   counters.m_reservations_expired),
      SingleMetric("ebonypin_suspensions_total", "Exclusive attempts suspended without a grant.",
                   counters.m_suspensions),
      SingleMetric("ebonypin_throttles_total", "Times a batch attempt was throttled.",
                   counters.m_throttles),
      SingleMetric("ebonypin_evictions_total", "Attempts stopped at a checkpoint for other work.",
                   counters.m_evictions),
      SingleMetric("ebonypin_cancelled_total", "Cancelled requests and jobs.",
                   counters.m_cancelled),
      SingleMetric("ebonypin_slots_busy", "Slots in use.", load.m_slots_busy),
      SingleMetric("ebonypin_queued", "Requests that wait for a slot.", load.m_queued),
      SingleMetric("ebonypin_committed_cpu_millis",
                   "Committed processor capacity in thousandths of a processor.",
                   load.m_committed.m_cpu_millis),
      SingleMetric("ebonypin_committed_memory_mb", "Committed memory in mebibytes.",
                   load.m_committed.m_memory_mb)};
  AddRpcMetrics(rpc, out);
  return out;
}

}  // namespace ebonypin::daemon
