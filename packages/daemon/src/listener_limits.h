/// Limits of the HTTP listeners, from the settings and from the operators' configuration.
#pragma once

#include <cstddef>

#include "ebonypin/config/settings.h"
#include "ebonypin/core/fleet/queue_table.h"
#include "ebonypin/http/server.h"
#include "ebonypin/wire/rpc.h"

namespace ebonypin::daemon {

/// Largest body of a job and of a heartbeat, in bytes, unless the settings reduce it.
inline constexpr std::size_t kMaxJobBodyBytes = std::size_t{256} << 10U;
inline constexpr std::size_t kMaxHeartbeatBytes = std::size_t{4} << 20U;
/// Largest body that the configuration may allow.
inline constexpr std::size_t kMaxConfiguredBodyBytes = std::size_t{4} << 20U;
/// Probes have no body.
inline constexpr std::size_t kMaxProbeBodyBytes = std::size_t{4} << 10U;

/// Returns the limits of the API, whose bodies have at most `max_body_bytes`.
[[nodiscard]] http::ServerLimits ApiLimits(const config::Settings& settings,
                                           std::size_t max_body_bytes);

/// Returns the limits of a listener for a few known clients.
[[nodiscard]] http::ServerLimits SideLimits(const config::Settings& settings,
                                            std::size_t max_body_bytes);

/// Returns options with the limits of incoming RPC connections, and nothing else set.
[[nodiscard]] wire::RpcOptions RpcLimits(const config::Settings& settings);

/// Returns `limits` with the values that the configuration gives.
[[nodiscard]] http::ServerLimits WithConfiguration(http::ServerLimits limits,
                                                   const core::fleet::QueueTable& configuration);

}  // namespace ebonypin::daemon
