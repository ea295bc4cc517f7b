#include "log_budget.h"

#include <algorithm>
#include <utility>

namespace ebonypin::daemon {

bool AdmitEvent(LogBudget& budget, const core::Time now, const std::uint32_t event,
                const EventPriority priority) {
  const double elapsed = core::ToMillis(now - budget.m_at) / 1000.0;
  budget.m_tokens =
      std::min(budget.m_options.m_burst,
               budget.m_tokens + std::max(elapsed, 0.0) * budget.m_options.m_per_second);
  budget.m_at = now;
  const double reserved = priority == EventPriority::kRoutine ? budget.m_options.m_reserve : 0.0;
  if (budget.m_tokens < reserved + 1.0) {
    ++budget.m_dropped[event];
    return false;
  }
  budget.m_tokens -= 1.0;
  return true;
}

bool AdmitClientEvent(LogBudget& budget, LogBudget& clients, const core::Time now,
                      const std::uint32_t event, const EventPriority priority) {
  if (AdmitEvent(clients, now, event, EventPriority::kFailure)) {
    return AdmitEvent(budget, now, event, priority);
  }
  clients.m_dropped.clear();
  ++budget.m_dropped[event];
  return false;
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
