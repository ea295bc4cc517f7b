/// Rate limit for the events that a process logs, as a token bucket.
///
/// Without it a burst of calls or a repeated fault writes more lines than anybody can read, and the
/// processor time for them is taken from the work itself.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "ebonypin/core/time.h"

namespace ebonypin::daemon {

struct LogBudgetOptions {
  /// Sustained rate, in events per second; about 30 KB/s.
  double m_per_second = 150.0;
  /// Largest burst, in events. It holds the decisions that the loss of one rack causes.
  double m_burst = 600.0;
  /// Part of the burst, in events, that is reserved for warnings and errors, which explain
  /// failures.
  double m_reserve = 200.0;
};

/// Routine events are dropped before events that report a failure.
enum class EventPriority : std::uint8_t { kRoutine, kFailure };

/// For events that clients cause at will, such as refused requests, together: about 0.5 KB/s.
inline constexpr LogBudgetOptions kClientEvents{
    .m_per_second = 2.0, .m_burst = 100.0, .m_reserve = 0.0};

struct LogBudget {
  LogBudgetOptions m_options;
  double m_tokens = LogBudgetOptions{}.m_burst;
  core::Time m_at;  ///< Time of the last refill.
  /// Events dropped since the last one that was written, by event number.
  std::map<std::uint32_t, std::uint64_t> m_dropped;
};

/// Returns whether an event may be written now; otherwise counts it as dropped.
[[nodiscard]] bool AdmitEvent(LogBudget& budget, core::Time now, std::uint32_t event,
                              EventPriority priority);

/// Does the same for an event that clients cause at will. It needs room in `clients`, too, so that
/// such events neither fill the log nor displace others. Dropped ones are counted in `budget`.
[[nodiscard]] bool AdmitClientEvent(LogBudget& budget, LogBudget& clients, core::Time now,
                                    std::uint32_t event, EventPriority priority);

/// Returns the counts of dropped events, such as "E610:12 E611:3", and resets them.
[[nodiscard]] std::string TakeDropped(LogBudget& budget);

}  // namespace ebonypin::daemon
