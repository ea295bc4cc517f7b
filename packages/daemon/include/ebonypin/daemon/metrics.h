/// Prometheus metrics, read from counters when they are scraped.
///
/// Example:
///
///     MetricsServer metrics("127.0.0.1:9101", {}, [&] {
///       return std::vector<Metric>{{.m_name = "ebonypin_jobs_open", .m_help = "Jobs not closed.",
///                                   .m_samples = {{.m_value = 3}}}};
///     });
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "ebonypin/http/server.h"

namespace ebonypin::daemon {

/// One value of a metric, with its labels.
struct MetricSample {
  std::map<std::string, std::string> m_labels;
  double m_value = 0.0;
};

/// One metric. Names that end in "_total" are counters, others are gauges.
struct Metric {
  std::string m_name;
  std::string m_help;  ///< One line.
  std::vector<MetricSample> m_samples;
};

/// Serves the metrics over HTTP at /metrics, in Prometheus' text format.
class MetricsServer {
 public:
  /// Listens on `address`, "ip:port". `read` returns the metrics of one scrape and is called from
  /// the server's thread. Throws std::runtime_error when the address is in use.
  MetricsServer(const std::string& address, const http::ServerLimits& limits,
                std::function<std::vector<Metric>()> read);
  ~MetricsServer();
  MetricsServer(const MetricsServer&) = delete;
  MetricsServer& operator=(const MetricsServer&) = delete;

 private:
  std::unique_ptr<http::Server> m_server;
};

}  // namespace ebonypin::daemon
