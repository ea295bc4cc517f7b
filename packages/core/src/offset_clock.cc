#include "ebonypin/core/offset_clock.h"

#include <algorithm>

namespace ebonypin::core {
namespace {

/// Samples per retention period. The clock keeps the samples of two periods.
constexpr int kSteps = 128;
constexpr std::size_t kMaxSamples = 256;

}  // namespace

OffsetClock MakeOffsetClock(const LogOffset offset, const Duration retention, const Time now) {
  return {.m_step = std::max<Duration>(retention / kSteps, std::chrono::milliseconds{1}),
          .m_samples = {{now - retention / 4, offset}}};
}

void NoteOffset(OffsetClock& clock, const LogOffset offset, const Time now) {
  if (!clock.m_samples.empty() && now - clock.m_samples.back().first < clock.m_step) return;
  clock.m_samples.emplace_back(now, offset);
  if (clock.m_samples.size() > kMaxSamples) clock.m_samples.pop_front();
}

LogOffset OffsetBefore(const OffsetClock& clock, const Duration age, const Time now) {
  const auto newest =
      std::find_if(clock.m_samples.rbegin(), clock.m_samples.rend(),
                   [age, now](const auto& sample) { return now - sample.first >= age; });
  return newest == clock.m_samples.rend() ? 0 : newest->second + 1;
}

}  // namespace ebonypin::core
