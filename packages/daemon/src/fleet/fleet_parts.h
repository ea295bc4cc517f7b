/// Parts that the fleet roles share: counters, the platform and the watch of the coordinator.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "ebonypin/config/settings.h"
#include "ebonypin/core/fleet/records.h"
#include "ebonypin/daemon/metrics.h"
#include "ebonypin/platform/users_platform.h"
#include "ebonypin/wire/rpc.h"
#include "topic_watch.h"

namespace ebonypin::daemon {

/// Returns "JOB.OCCURRENCE.STEP.INDEX", the name of a task in logs.
[[nodiscard]] std::string TaskText(const core::fleet::TaskRef& ref);

/// Returns the name of `status` in logs and metrics.
[[nodiscard]] std::string_view FrontStatusName(platform::JobApiStatus status) noexcept;

/// Calls by status and their latencies. All members may be used from any thread.
class FleetCounters {
 public:
  void NoteCall(platform::JobApiStatus status, core::Duration took);

  /// Sets a value of the process; names that end in "_total" are counters.
  void Set(const std::string& name, double value);

  /// Returns the metrics of the process, with those of its RPC.
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

/// Starts the RPC of a fleet role; `serve` runs on `events`. Throws std::exception when the address
/// cannot be used.
[[nodiscard]] std::unique_ptr<wire::Rpc> StartRpc(
    const config::Settings& settings, const std::shared_ptr<EventThread>& events,
    std::function<void(const core::Message&, wire::ReplyFunction)> serve);

/// Starts to serve the metrics; returns null when the settings name no address for them.
[[nodiscard]] std::unique_ptr<MetricsServer> StartMetrics(const config::Settings& settings,
                                                          const FleetCounters& counters,
                                                          const wire::Rpc& rpc);

/// Returns the platform. Throws std::runtime_error when the program was built without one.
[[nodiscard]] const platform::PlatformPlugin& RequirePlatform();

/// Follows the records of coordinators; `on_record` runs on `events`.
[[nodiscard]] std::shared_ptr<TopicWatch> WatchCoordinator(
    std::shared_ptr<EventThread> events, platform::KeyedStore& store, const std::string& topic,
    core::Duration wait, std::function<void(const core::fleet::CoordinatorRecord&)> on_record);

}  // namespace ebonypin::daemon
