#include "ebonypin/daemon/metrics.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <prometheus/collectable.h>
#include <prometheus/exposer.h>
#include <prometheus/metric_family.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <stdexcept>
#include <thread>
#include <utility>

#include "address.h"

namespace ebonypin::daemon {
namespace {

/// Time for which a connection that wakes a listener stays open.
constexpr auto kWakeTime = std::chrono::milliseconds{5};

/// Connects to the address for a moment, which wakes the thread that accepts connections there.
void Wake(const Address& address) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  sockaddr_in target{.sin_family = AF_INET, .sin_port = htons(address.m_port)};
  if (::inet_pton(AF_INET, address.m_ip.c_str(), &target.sin_addr) == 1) {
    (void)::connect(socket, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
  }
  std::this_thread::sleep_for(kWakeTime);
  ::close(socket);
}

}  // namespace

/// Converts metrics to Prometheus families on each scrape.
class MetricsServer::Reader final : public prometheus::Collectable {
 public:
  explicit Reader(std::function<std::vector<Metric>()> read) : m_read(std::move(read)) {}

  [[nodiscard]] std::vector<prometheus::MetricFamily> Collect() const override {
    std::vector<prometheus::MetricFamily> families;
    for (const auto& metric : m_read()) {
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
      families.push_back(std::move(family));
    }
    return families;
  }

 private:
  const std::function<std::vector<Metric>()> m_read;
};

class MetricsServer::Impl {
 public:
  Impl(const std::string& address, std::function<std::vector<Metric>()> read)
      : m_address(ParseAddress(address, "process.metrics")),
        m_reader(std::make_shared<Reader>(std::move(read))),
        m_exposer(Open(address)) {
    m_exposer->RegisterCollectable(m_reader);
  }

  /// The thread of the HTTP library that accepts connections notices the stop when its poll
  /// returns: with a new connection, or after up to 2 s.
  ~Impl() {
    std::atomic<bool> stopped{false};
    std::thread wake([&] {
      while (!stopped) Wake(m_address);
    });
    m_exposer = nullptr;
    stopped = true;
    wake.join();
  }

 private:
  static std::unique_ptr<prometheus::Exposer> Open(const std::string& address) {
    try {
      return std::make_unique<prometheus::Exposer>(address, 1);
    } catch (const std::exception& exception) {
      throw std::runtime_error("cannot serve metrics at " + address + ": " + exception.what() +
                               "; set [process] metrics to a free address");
    }
  }

  const Address m_address;
  const std::shared_ptr<Reader> m_reader;
  std::unique_ptr<prometheus::Exposer> m_exposer;
};

MetricsServer::MetricsServer(const std::string& address, std::function<std::vector<Metric>()> read)
    : m_impl(std::make_unique<Impl>(address, std::move(read))) {}
MetricsServer::~MetricsServer() = default;

}  // namespace ebonypin::daemon
