/// Limit of the events that a process writes.
///
/// Load pattern: a burst of calls or a fault that repeats writes more lines than anybody reads, and
/// their processor time is taken from the work itself.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "ebonypin/core/time.h"

namespace ebonypin::daemon {

struct LogBudgetOptions {
  /// Events a second over a long time; about 30 KB/s.
  double m_per_second = 150.0;
  /// Events at once; one rack's worth of decisions when it is lost.
  double m_burst = 600.0;
  /// Part of the burst that routine events leave to warnings and errors, which explain failures.
  double m_reserve = 200.0;
};

/// Routine events are dropped before the others.
enum class EventWeight : std::uint8_t { kRoutine, kFailure };

struct LogBudget {
  LogBudgetOptions m_options;
  double m_left = LogBudgetOptions{}.m_burst;
  core::Time m_at;
  /// Since the last event that was written, by the number of the event.
  std::map<std::uint32_t, std::uint64_t> m_dropped;
};

/// Returns whether an event may be written now; otherwise counts it as dropped.
[[nodiscard]] bool TakeEvent(LogBudget& budget, core::Time now, std::uint32_t event,
                             EventWeight weight);

/// Returns "E610:12 E611:3", the events that were dropped, and forgets them.
[[nodiscard]] std::string TakeDropped(LogBudget& budget);

}  // namespace ebonypin::daemon
