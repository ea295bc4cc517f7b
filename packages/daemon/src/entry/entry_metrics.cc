#include "entry_metrics.h"

#include <algorithm>
#include <utility>

#include "../rpc_metrics.h"

namespace ebonypin::daemon {
namespace {

/// Returns a metric with one sample for each log stream.
template <typename F>
Metric LogMetric(const EntryParts& parts, std::string name, std::string help, F&& value) {
  Metric metric{.m_name = std::move(name), .m_help = std::move(help)};
  const std::pair<const char*, const LogStream&> streams[] = {{"jobs", parts.m_region_log},
                                                              {"config", parts.m_config_log}};
  for (const auto& [stream, log] : streams) {
    metric.m_samples.push_back(
        {.m_labels = {{"stream", stream}}, .m_value = static_cast<double>(value(log))});
  }
  return metric;
}

double Seconds(const core::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

void AddHttpMetrics(const EntryParts& parts, std::vector<Metric>& out) {
  const auto& http = parts.m_http.Counters();
  out.push_back(
      SingleMetric("ebonypin_http_calls_total", "Calls of the HTTP API.", http.m_calls.load()));
  out.push_back(SingleMetric("ebonypin_http_refused_total",
                             "Calls answered as not run or not found.", http.m_refused.load()));
  out.push_back(SingleMetric("ebonypin_http_unknown_total",
                             "Calls answered with an unknown outcome.", http.m_unknown.load()));
  out.push_back(SingleMetric("ebonypin_http_in_progress", "Calls that are not answered yet.",
                             http.m_in_progress.load()));
}

void AddConnectionMetrics(const EntryParts& parts, std::vector<Metric>& out) {
  const auto connections = parts.m_http.ConnectionCounters();
  out.push_back(SingleMetric("ebonypin_http_connections", "Open connections of the HTTP API.",
                             connections.m_open));
  out.push_back(SingleMetric("ebonypin_http_connections_total",
                             "Connections that the HTTP API accepted.", connections.m_accepted));
  out.push_back(SingleMetric("ebonypin_http_buffered_bytes",
                             "Heads, bodies and requests in progress, in bytes.",
                             connections.m_buffered_bytes));
  Metric closed{.m_name = "ebonypin_http_closed_total",
                .m_help = "Connections closed by a limit, by reason."};
  for (const auto& [reason, count] : connections.m_closed) {
    closed.m_samples.push_back(
        {.m_labels = {{"reason", reason}}, .m_value = static_cast<double>(count)});
  }
  out.push_back(std::move(closed));
}

void AddDispatchMetrics(const EntryParts& parts, std::vector<Metric>& out) {
  const auto counters = parts.m_requests.Counters();
  const auto& dispatch = counters.m_dispatch;
  out.push_back(SingleMetric("ebonypin_requests_in_flight",
                             "Synchronous requests that are not answered yet.",
                             counters.m_in_flight));
  out.push_back(
      SingleMetric("ebonypin_dispatch_tries_total", "Requests sent to agents.", dispatch.m_tries));
  out.push_back(SingleMetric("ebonypin_dispatch_retries_total",
                             "Tries after a refusal or a failure.", dispatch.m_retries));
  out.push_back(SingleMetric("ebonypin_dispatch_hedges_total",
                             "Second tries sent while the first one is running.",
                             dispatch.m_hedges));
  out.push_back(SingleMetric("ebonypin_dispatch_late_replies_total",
                             "Replies of agents that came after the request was answered.",
                             dispatch.m_late_replies));
  out.push_back(SingleMetric("ebonypin_dispatch_damaged_replies_total",
                             "Replies of agents that did not match the request or their hash.",
                             dispatch.m_damaged_replies));
}

void AddLogMetrics(const EntryParts& parts, std::vector<Metric>& out) {
  out.push_back(LogMetric(parts, "ebonypin_log_age_seconds",
                          "Time since the start of the last successful read of the log.",
                          [](const LogStream& log) { return Seconds(log.Age()); }));
  out.push_back(LogMetric(parts, "ebonypin_log_read_failures_total",
                          "Reads of the log that failed.",
                          [](const LogStream& log) { return log.Status().m_failures; }));
  out.push_back(LogMetric(parts, "ebonypin_log_gaps_total",
                          "Gaps in the log where retention removed records before they were read.",
                          [](const LogStream& log) { return log.Status().m_gaps; }));
  out.push_back(LogMetric(parts, "ebonypin_log_bad_entries_total",
                          "Entries of the log that could not be decoded.",
                          [](const LogStream& log) { return log.Status().m_bad_entries; }));
  out.push_back(LogMetric(parts, "ebonypin_log_appends_total", "Appends sent to the log.",
                          [](const LogStream& log) { return log.Counters().m_appends; }));
  out.push_back(LogMetric(parts, "ebonypin_log_records_total",
                          "Records in the batches sent to the log.",
                          [](const LogStream& log) { return log.Counters().m_records; }));
  out.push_back(LogMetric(parts, "ebonypin_log_repeats_total",
                          "Appends repeated under the same batch id.",
                          [](const LogStream& log) { return log.Counters().m_repeats; }));
  out.push_back(LogMetric(parts, "ebonypin_log_answers_lost_total",
                          "Appends for which no answer arrived.",
                          [](const LogStream& log) { return log.Counters().m_answers_lost; }));
  out.push_back(LogMetric(parts, "ebonypin_log_refused_total",
                          "Records refused because too many waited for the log.",
                          [](const LogStream& log) { return log.Counters().m_refused; }));
  out.push_back(LogMetric(parts, "ebonypin_log_pending", "Records whose append is not finished.",
                          [](const LogStream& log) { return log.Pending(); }));
}

void AddJobMetrics(const EntryParts& parts, const OwnerService& owner, std::vector<Metric>& out) {
  std::size_t open = 0;
  std::size_t shards = 0;
  const auto self = parts.m_members.Self().m_entry;
  parts.m_jobs.WithTable([&](const core::JobTable& table) {
    open = core::OpenCount(table);
    shards = static_cast<std::size_t>(
        std::count_if(table.m_shards.begin(), table.m_shards.end(),
                      [&](const core::ShardState& shard) { return shard.m_owner == self; }));
  });
  const auto counters = owner.Counters();
  out.push_back(
      SingleMetric("ebonypin_jobs_open", "Jobs of the region that are not closed.", open));
  out.push_back(
      SingleMetric("ebonypin_jobs_owned", "Open jobs that this entry runs.", counters.m_owned));
  out.push_back(SingleMetric("ebonypin_jobs_starting", "Owned jobs between reservation and start.",
                             counters.m_starting));
  out.push_back(SingleMetric("ebonypin_jobs_unresolved",
                             "Owned non-idempotent attempts whose end is not known.",
                             counters.m_unresolved));
  out.push_back(
      SingleMetric("ebonypin_shards_owned", "Shards of jobs that this entry owns.", shards));
}

}  // namespace

std::vector<Metric> ReadEntryMetrics(const EntryParts& parts, const OwnerService& owner,
                                     const wire::Rpc& rpc) {
  std::vector<Metric> out;
  AddHttpMetrics(parts, out);
  AddConnectionMetrics(parts, out);
  AddDispatchMetrics(parts, out);
  AddLogMetrics(parts, out);
  AddJobMetrics(parts, owner, out);
  out.push_back(SingleMetric("ebonypin_instances", "Agents that this entry hears from.",
                             parts.m_requests.Agents().size()));
  out.push_back(SingleMetric("ebonypin_entries_live", "Live entries of the region.",
                             parts.m_members.Live().size()));
  out.push_back(SingleMetric("ebonypin_config_offset", "Offset of the configuration in force.",
                             parts.m_config.Offset()));
  AddRpcMetrics(rpc, out);
  return out;
}

}  // namespace ebonypin::daemon
