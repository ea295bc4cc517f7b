#include "log_budget.h"

#include <algorithm>
#include <utility>

namespace ebonypin::daemon {

bool TakeEvent(LogBudget& budget, const core::Time now, const std::uint32_t event,
               const EventWeight weight) {
  const double elapsed = core::ToMillis(now - budget.m_at) / 1000.0;
  budget.m_left = std::min(budget.m_options.m_burst,
                           budget.m_left + std::max(elapsed, 0.0) * budget.m_options.m_per_second);
  budget.m_at = now;
  const double kept = weight == EventWeight::kRoutine ? budget.m_options.m_reserve : 0.0;
  if (budget.m_left < kept + 1.0) {
    ++budget.m_dropped[event];
    return false;
  }
  budget.m_left -= 1.0;
  return true;
}

std::string TakeDropped(LogBudget& budget) {
  std::string text;
  for (const auto& [event, count] : std::exchange(budget.m_dropped, {})) {
    if (!text.empty()) text += ' ';
    text += "E" + std::to_string(event) + ":" + std::to_string(count);
  }
  return text;
}

}  // namespace ebonypin::daemon
