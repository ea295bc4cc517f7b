#include "ebonypin/daemon/metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <stdexcept>
#include <utility>

namespace ebonypin::daemon {
namespace {

constexpr unsigned kNotFound = 404;
constexpr unsigned kMethodNotAllowed = 405;
constexpr auto kPath = "/metrics";
constexpr auto kTextFormat = "text/plain; version=0.0.4; charset=utf-8";

prometheus::MetricFamily ToFamily(const Metric& metric) {
  const bool counter = metric.m_name.ends_with("_total");
  prometheus::MetricFamily family;
  family.name = metric.m_name;
  family.help = metric.m_help;
  family.type = counter ? prometheus::MetricType::Counter : prometheus::MetricType::Gauge;
  for (const auto& sample : metric.m_samples) {
    prometheus::ClientMetric out;
    for (const auto& [name, value] : sample.m_labels) out.label.push_back({name, value});
    (counter ? out.counter.value : out.gauge.value) = sample.m_value;
    family.metric.push_back(std::move(out));
  }
  return family;
}

http::Response Serve(const http::Request& request,
                     const std::function<std::vector<Metric>()>& read) {
  if (request.m_path != kPath) return {.m_status = kNotFound};
  if (request.m_method != "GET") return {.m_status = kMethodNotAllowed};
  std::vector<prometheus::MetricFamily> families;
  for (const auto& metric : read()) families.push_back(ToFamily(metric));
  return {.m_body = prometheus::TextSerializer().Serialize(families),
          .m_content_type = kTextFormat};
}

std::unique_ptr<http::Server> Open(const std::string& address, const http::ServerLimits& limits,
                                   std::function<std::vector<Metric>()> read) {
  try {
    return std::make_unique<http::Server>(
        address, limits,
        [read = std::move(read)](const http::Request& request, const http::Respond& respond) {
          respond(Serve(request, read), {});
        });
  } catch (const std::exception& exception) {
    throw std::runtime_error("cannot serve metrics at " + address + ": " + exception.what() +
                             "; set [process] metrics to a free address");
  }
}

}  // namespace

MetricsServer::MetricsServer(const std::string& address, const http::ServerLimits& limits,
                             std::function<std::vector<Metric>()> read)
    : m_server(Open(address, limits, std::move(read))) {}
MetricsServer::~MetricsServer() = default;

}  // namespace ebonypin::daemon
