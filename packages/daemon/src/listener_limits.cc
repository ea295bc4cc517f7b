#include "listener_limits.h"

#include <sys/resource.h>

#include <algorithm>

#include "ebonypin/core/listener_share.h"

namespace ebonypin::daemon {
namespace {

constexpr std::uint64_t kMiB = std::uint64_t{1} << 20U;

http::ServerLimits SettingLimits(const config::Settings& settings,
                                 const std::size_t max_body_bytes) {
  const std::size_t set_body_bytes = settings.m_max_body_bytes;
  return {.m_max_head_bytes = settings.m_max_head_bytes,
          .m_max_body_bytes =
              set_body_bytes == 0 ? max_body_bytes : std::min(max_body_bytes, set_body_bytes),
          .m_head_timeout = settings.m_head_timeout,
          .m_idle_timeout = settings.m_idle_timeout,
          .m_body_timeout = settings.m_body_timeout,
          .m_write_timeout = settings.m_write_timeout};
}

std::size_t RequestBytes(const http::ServerLimits& limits) noexcept {
  return limits.m_max_head_bytes + limits.m_max_body_bytes;
}

/// Returns the number of descriptors that the process may use: the setting, or the limit of the
/// process if that is lower.
std::uint32_t Descriptors(const config::Settings& settings) noexcept {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return settings.m_descriptors;
  return static_cast<std::uint32_t>(std::min<rlim_t>(settings.m_descriptors, limit.rlim_cur));
}

}  // namespace

http::ServerLimits ApiLimits(const config::Settings& settings, const std::size_t max_body_bytes) {
  auto limits = SettingLimits(settings, max_body_bytes);
  const auto share = core::ShareOfApi(
      {.m_memory_bytes = settings.m_memory_mb * kMiB, .m_descriptors = Descriptors(settings)},
      RequestBytes(limits));
  limits.m_max_connections =
      settings.m_max_connections == 0 ? share.m_max_connections : settings.m_max_connections;
  limits.m_max_buffered_bytes = settings.m_max_buffered_mb == 0 ? share.m_max_buffered_bytes
                                                                : settings.m_max_buffered_mb * kMiB;
  return limits;
}

http::ServerLimits SideLimits(const config::Settings& settings, const std::size_t max_body_bytes) {
  auto limits = SettingLimits(settings, max_body_bytes);
  const auto share = core::ShareOfSideListener(RequestBytes(limits));
  limits.m_max_connections = share.m_max_connections;
  limits.m_max_buffered_bytes = share.m_max_buffered_bytes;
  if (settings.m_max_connections != 0) {
    limits.m_max_connections =
        std::min<std::size_t>(limits.m_max_connections, settings.m_max_connections);
  }
  if (settings.m_max_buffered_mb != 0) {
    limits.m_max_buffered_bytes =
        std::min<std::size_t>(limits.m_max_buffered_bytes, settings.m_max_buffered_mb * kMiB);
  }
  return limits;
}

wire::RpcOptions RpcLimits(const config::Settings& settings) {
  return {.m_max_connections = settings.m_max_rpc_connections == 0
                                   ? core::MaxRpcConnections(Descriptors(settings))
                                   : settings.m_max_rpc_connections};
}

http::ServerLimits WithConfiguration(http::ServerLimits limits,
                                     const core::fleet::QueueTable& configuration) {
  if (configuration.m_max_head_bytes > 0) limits.m_max_head_bytes = configuration.m_max_head_bytes;
  if (configuration.m_max_body_bytes > 0) {
    limits.m_max_body_bytes =
        std::min<std::size_t>(configuration.m_max_body_bytes, kMaxConfiguredBodyBytes);
  }
  if (configuration.m_head_timeout > core::Duration{}) {
    limits.m_head_timeout = configuration.m_head_timeout;
  }
  if (configuration.m_idle_timeout > core::Duration{}) {
    limits.m_idle_timeout = configuration.m_idle_timeout;
  }
  // One request of the largest size is served in any case.
  limits.m_max_buffered_bytes = std::max(limits.m_max_buffered_bytes, RequestBytes(limits));
  return limits;
}

}  // namespace ebonypin::daemon
