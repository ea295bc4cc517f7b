/// Samples of a log stream's offset over time, to find the records that are older than a given age.
#pragma once

#include <deque>
#include <utility>

#include "ebonypin/core/ids.h"
#include "ebonypin/core/time.h"

namespace ebonypin::core {

/// Pairs of a time and the offset read by then, oldest first, at most one per `m_step`.
struct OffsetClock {
  Duration m_step = std::chrono::minutes{1};
  std::deque<std::pair<Time, LogOffset>> m_samples;
};

/// Returns a clock for an entry that read the log up to `offset` when it started. The age of the
/// records up to there is unknown and assumed to be a quarter of `retention`. The former owner
/// rewrote them at an age of half of the retention, so this entry rewrites them at three quarters
/// at the latest.
[[nodiscard]] OffsetClock MakeOffsetClock(LogOffset offset, Duration retention, Time now);

/// Records that the log was read up to `offset` at `now`.
void NoteOffset(OffsetClock& clock, LogOffset offset, Time now);

/// Returns the first offset that is not known to be older than `age`. Records before it are due to
/// be rewritten.
///
/// Example: `OffsetBefore(clock, retention / 2, now)`.
[[nodiscard]] LogOffset OffsetBefore(const OffsetClock& clock, Duration age, Time now);

}  // namespace ebonypin::core
