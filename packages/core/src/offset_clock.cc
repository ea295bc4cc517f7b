#include "ebonypin/core/offset_clock.h"

#include <algorithm>

namespace ebonypin::core {

OffsetClock MakeOffsetClock(const LogOffset offset, const Duration retention, const Time now) {
  return {.m_step = std::max<Duration>(retention / 128, std::chrono::milliseconds{1}),
          .m_samples = {{now - retention / 4, offset}}};
}

void NoteOffset(OffsetClock& clock, const LogOffset offset, const Time now) {
  if (clock.m_samples.empty() || now - clock.m_samples.back().first >= clock.m_step)
    clock.m_samples.emplace_back(now, offset);
}

LogOffset OffsetBefore(OffsetClock& clock, const Duration age, const Time now) {
  auto& samples = clock.m_samples;
  // The second sample is old enough too, so the first tells nothing more.
  while (samples.size() > 1 && now - samples[1].first >= age) samples.pop_front();
  if (samples.empty() || now - samples.front().first < age) return 0;
  return samples.front().second + 1;
}

}  // namespace ebonypin::core
