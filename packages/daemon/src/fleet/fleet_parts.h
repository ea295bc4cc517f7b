/// Code shared by the fleet roles: metrics, RPC, the platform and the coordinator watch.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "ebonypin/config/settings.h"
#include "ebonypin/core/fleet/held_calls.h"
#include "ebonypin/core/fleet/record_size.h"
#include "ebonypin/core/fleet/records.h"
#include "ebonypin/daemon/metrics.h"
#include "ebonypin/http/server.h"
#include "ebonypin/platform/users_platform.h"
#include "ebonypin/wire/rpc.h"
#include "topic_watch.h"

namespace ebonypin::daemon {

/// Returns whether the store takes the record of the submission.
[[nodiscard]] bool IsStorable(const core::fleet::JobSpec& job,
                              const core::fleet::RecordLimits& limits);

/// Returns the name of a task in logs, "JOB.OCCURRENCE.STEP.INDEX".
[[nodiscard]] std::string TaskText(const core::fleet::TaskRef& ref);

/// Returns the name of `status` in logs and metrics.
[[nodiscard]] std::string_view FrontStatusName(platform::JobApiStatus status) noexcept;

/// Metrics of a fleet role: calls by status, call latencies and single values. All members may be
/// used from any thread.
class FleetMetrics {
 public:
  void RecordCall(platform::JobApiStatus status, core::Duration took);

  /// Sets the metric "ebonypin_fleet_" plus `name`; names that end in "_total" are counters.
  void Set(const std::string& name, double value);

  /// Sets the metrics of a listener, whose names begin with `listener`.
  void SetListener(const std::string& listener, const http::ServerCounters& counters);

  /// Returns all metrics of the process, including those of `rpc`.
  [[nodiscard]] std::vector<Metric> Read(const wire::Rpc& rpc) const;

 private:
  /// Upper bounds of the latency histogram, in milliseconds.
  static constexpr std::array<double, 10> kBoundsMs{5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000};

  mutable std::mutex m_mutex;
  std::map<std::string, std::uint64_t> m_calls;
  std::map<std::string, double> m_values;
  std::array<std::uint64_t, kBoundsMs.size()> m_latency{};
  std::uint64_t m_count = 0;
};

/// Sets the metrics of the calls that the coordinator holds.
void SetHoldMetrics(FleetMetrics& metrics, const core::fleet::HeldCalls& held);

/// Starts the RPC endpoint of a fleet role. `serve` runs on `events`. Throws std::exception when
/// the address cannot be used.
[[nodiscard]] std::unique_ptr<wire::Rpc> StartRpc(
    const config::Settings& settings, const std::shared_ptr<EventThread>& events,
    std::function<void(const core::Message&, wire::ReplyFunction)> serve);

/// Starts to serve the metrics. Returns null when the settings have no metrics address.
[[nodiscard]] std::unique_ptr<MetricsServer> StartMetrics(const config::Settings& settings,
                                                          const FleetMetrics& counters,
                                                          const wire::Rpc& rpc);

/// Returns the registered platform. Throws std::runtime_error when the program was built without
/// one.
[[nodiscard]] const platform::PlatformPlugin& RequirePlatform();

/// Follows the coordinator records of `topic` with reads that wait up to `wait`. `on_record` runs
/// on `events`, and so does `on_none`, when a complete read has found no record.
[[nodiscard]] std::shared_ptr<TopicWatch> WatchCoordinator(
    std::shared_ptr<EventThread> events, platform::KeyedStore& store, const std::string& topic,
    core::Duration wait, std::function<void(const core::fleet::CoordinatorRecord&)> on_record,
    std::function<void()> on_none = {});

}  // namespace ebonypin::daemon
