/// Metrics of the RPC connections, exported by every role.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "ebonypin/daemon/metrics.h"
#include "ebonypin/http/server.h"
#include "ebonypin/wire/rpc.h"

namespace ebonypin::daemon {

/// Returns a metric with one sample without labels.
template <typename T>
[[nodiscard]] Metric SingleMetric(std::string name, std::string help, const T value) {
  return {.m_name = std::move(name),
          .m_help = std::move(help),
          .m_samples = {{.m_value = static_cast<double>(value)}}};
}

/// Returns the counters of incoming connections as those of a listener, with the same reasons.
[[nodiscard]] http::ServerCounters ListenerCounters(const wire::RpcCounters& counters);

/// Appends the counters of calls, failures and bytes of `rpc` to `out`.
void AddRpcMetrics(const wire::Rpc& rpc, std::vector<Metric>& out);

}  // namespace ebonypin::daemon
