/// Tells which records of a log stream are older than a given age.
#pragma once

#include <deque>
#include <utility>

#include "ebonypin/core/ids.h"
#include "ebonypin/core/time.h"

namespace ebonypin::core {

/// Samples of the offset read at a time, oldest first, at most one for each `m_step`.
struct OffsetClock {
  Duration m_step = std::chrono::minutes{1};
  std::deque<std::pair<Time, LogOffset>> m_samples;
};

/// Returns a clock for an entry that read the log up to `offset` when it started. Records up to
/// there have an unknown age; they count as a quarter of `retention` old. The former owner rewrote
/// them at half of it, so they are rewritten at three quarters at the latest.
[[nodiscard]] OffsetClock MakeOffsetClock(LogOffset offset, Duration retention, Time now);

/// Notes that the log was read up to `offset`.
void NoteOffset(OffsetClock& clock, LogOffset offset, Time now);

/// Returns the first offset that is not known to be older than `age`. Records before it are to be
/// rewritten. Example: `OffsetBefore(clock, retention / 2, now)`.
[[nodiscard]] LogOffset OffsetBefore(const OffsetClock& clock, Duration age, Time now);

}  // namespace ebonypin::core
