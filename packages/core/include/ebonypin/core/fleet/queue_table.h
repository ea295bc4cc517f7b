/// Queues of the current configuration, and their selection by the host and path of a call.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "ebonypin/core/fleet/job.h"

namespace ebonypin::core::fleet {

/// Queue with the host and path prefix that select it.
struct QueueRoute {
  std::string m_host;
  std::string m_path_prefix;  ///< Ends with a slash.
  QueuePolicy m_policy;
  Duration m_timeout{};  ///< Time limit of a caller's call.

  friend bool operator==(const QueueRoute&, const QueueRoute&) = default;
};

/// Configuration of queues. Version 0 means that no configuration is known.
struct QueueTable {
  std::uint64_t m_version = 0;
  std::vector<QueueRoute> m_routes;
  // Limits of callers' requests; zero when the configuration does not give them.
  std::uint64_t m_max_head_bytes = 0;
  std::uint64_t m_max_body_bytes = 0;
  Duration m_head_timeout{};
  Duration m_idle_timeout{};

  friend bool operator==(const QueueTable&, const QueueTable&) = default;
};

/// Replaces `table` by `next` if `next` has a larger version. Returns whether it was replaced.
/// Older versions are ignored because reads of the store may be answered out of order.
bool Replace(QueueTable& table, QueueTable next);

/// Returns the route of `host` with the longest prefix of `path`, or null.
[[nodiscard]] const QueueRoute* FindQueue(const QueueTable& table, std::string_view host,
                                          std::string_view path) noexcept;

/// Returns why the scheduler cannot handle `job`, which may be a record of another writer, or an
/// empty string if it can.
[[nodiscard]] std::string CheckSteps(const JobSpec& job);

/// Returns why `job` cannot be accepted, or an empty string if it can.
[[nodiscard]] std::string CheckJob(const JobSpec& job);

}  // namespace ebonypin::core::fleet
