#include "rpc_metrics.h"

namespace ebonypin::daemon {

http::ServerCounters ListenerCounters(const wire::RpcCounters& counters) {
  return {.m_open = counters.m_open,
          .m_buffered_bytes = counters.m_receiving_bytes,
          .m_closed = {{"connections", counters.m_closed_for_connections},
                       {"buffered", counters.m_closed_for_memory},
                       {"descriptors", counters.m_closed_for_descriptors}}};
}

void AddRpcMetrics(const wire::Rpc& rpc, std::vector<Metric>& out) {
  const auto counters = rpc.Counters();
  out.push_back(
      SingleMetric("ebonypin_rpc_calls_total", "Calls sent to other processes.", counters.m_calls));
  out.push_back(SingleMetric("ebonypin_rpc_timeouts_total",
                             "Calls that were not answered by their deadline.",
                             counters.m_timeouts));
  out.push_back(SingleMetric("ebonypin_rpc_disconnects_total",
                             "Calls that failed because the connection was lost.",
                             counters.m_disconnects));
  out.push_back(SingleMetric("ebonypin_rpc_reconnects_total",
                             "Connections replaced after a timeout.", counters.m_reconnects));
  out.push_back(SingleMetric("ebonypin_rpc_served_total", "Calls served for other processes.",
                             counters.m_served));
  out.push_back(SingleMetric("ebonypin_rpc_accept_failures_total",
                             "Connections that could not be accepted.",
                             counters.m_accept_failures));
  out.push_back(SingleMetric("ebonypin_rpc_connections", "Incoming connections that are open.",
                             counters.m_open));
  out.push_back(SingleMetric("ebonypin_rpc_receiving_bytes",
                             "Memory of incoming messages that are incomplete.",
                             counters.m_receiving_bytes));
  Metric closed{.m_name = "ebonypin_rpc_closed_connections_total",
                .m_help = "Incoming connections closed because of a limit, by reason."};
  for (const auto& [reason, count] : ListenerCounters(counters).m_closed) {
    closed.m_samples.push_back(
        {.m_labels = {{"reason", reason}}, .m_value = static_cast<double>(count)});
  }
  out.push_back(std::move(closed));
  out.push_back(SingleMetric("ebonypin_rpc_sent_bytes_total",
                             "Bytes sent on RPC connections, without TCP and IP headers.",
                             counters.m_bytes_sent));
  out.push_back(SingleMetric("ebonypin_rpc_received_bytes_total",
                             "Bytes received on RPC connections, without TCP and IP headers.",
                             counters.m_bytes_received));
}

}  // namespace ebonypin::daemon
