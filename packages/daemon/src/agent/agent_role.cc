/// Role of an agent, which commits the capacity of one worker and passes work from entries to it.
#include <memory>
#include <utility>

#include "../address.h"
#include "../http_threads.h"
#include "../listener_limits.h"
#include "agent_driver.h"
#include "agent_metrics.h"
#include "ebonypin/daemon/role.h"

namespace ebonypin::daemon {
namespace {

/// The HTTP library's default of 40 threads suits larger processes. Callbacks of the agent only
/// post to the event thread, so that few threads are enough.
constexpr std::size_t kHttpThreads = 4;

class AgentRole final : public Role {
 public:
  explicit AgentRole(config::Settings settings) : m_settings(std::move(settings)) {}

  ~AgentRole() override {
    // The metrics server, the event thread and the RPC call the driver, so they end before it.
    m_metrics = nullptr;
    m_events->Stop();
    m_rpc = nullptr;
  }

  void Start() override {
    LimitHttpThreads(kHttpThreads);
    const auto address = ParseAddress(m_settings.m_rpc_address, "process.rpc");
    m_driver = std::make_unique<AgentDriver>(
        AgentDriverOptions{.m_agent = {.m_agent = {m_settings.m_id},
                                       .m_incarnation = NewIncarnation(),
                                       .m_domain = {m_settings.m_domain},
                                       .m_rpc_address = m_settings.m_rpc_address,
                                       .m_capacity = m_settings.m_capacity,
                                       .m_slots = m_settings.m_slots},
                           .m_seeds = m_settings.m_seeds},
        m_events,
        platform::MakeHttpWorker(
            {.m_url = m_settings.m_worker_url, .m_max_connections = m_settings.m_connections}));
    auto options = RpcLimits(m_settings);
    options.m_listen_ip = address.m_ip;
    options.m_listen_port = address.m_port;
    options.m_handler = [this](const core::Message& message, wire::ReplyFunction reply) {
      m_driver->Serve(message, std::move(reply));
    };
    m_rpc = std::make_unique<wire::Rpc>(std::move(options));
    m_driver->SetRpc(*m_rpc);
    if (!m_settings.m_metrics_address.empty()) {
      m_metrics = std::make_unique<MetricsServer>(
          m_settings.m_metrics_address, SideLimits(m_settings, kMaxProbeBodyBytes),
          [this] { return ReadAgentMetrics(m_driver->Counters(), m_driver->Load(), *m_rpc); });
    }
    m_driver->Start();
  }

  void BeginDrain() override { m_driver->BeginStop(); }

  [[nodiscard]] bool IsDrained() const override { return m_driver->IsStopped(); }

 private:
  const config::Settings m_settings;
  const std::shared_ptr<EventThread> m_events = std::make_shared<EventThread>();
  std::unique_ptr<AgentDriver> m_driver;
  std::unique_ptr<wire::Rpc> m_rpc;
  std::unique_ptr<MetricsServer> m_metrics;
};

[[maybe_unused]] const bool kRegistered = RegisterRole(
    "agent",
    [](const config::Settings& settings) { return std::make_unique<AgentRole>(settings); });

}  // namespace
}  // namespace ebonypin::daemon
