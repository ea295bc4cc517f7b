#include "ebonypin/core/fleet/advice_calls.h"

#include <algorithm>
#include <utility>

namespace ebonypin::core::fleet {

bool MayBegin(const AdviceCalls& calls, const Time now) noexcept {
  if (now < calls.m_not_before) return false;
  return calls.m_open.size() < (calls.m_failing ? 1 : calls.m_options.m_max_open);
}

bool IsOpen(const AdviceCalls& calls, const TaskRef& ref) noexcept {
  return std::any_of(calls.m_open.begin(), calls.m_open.end(), [&](const auto& open) {
    const TaskRef& step = open.second.m_step;
    return step.m_job == ref.m_job && step.m_occurrence == ref.m_occurrence &&
           step.m_step == ref.m_step;
  });
}

AdviceRequest Begin(AdviceCalls& calls, AdviceCall call) {
  AdviceRequest request{.m_number = ++calls.m_last_number, .m_step = call.m_step};
  for (const auto& [worker, born] : call.m_workers) request.m_workers.push_back(worker);
  calls.m_open.emplace(request.m_number, std::move(call));
  request.m_deadline = calls.m_options.m_patience;
  for (const auto& [number, open] : calls.m_open) request.m_deadline += open.m_service_time;
  request.m_deadline = std::min(request.m_deadline, calls.m_options.m_max_deadline);
  return request;
}

std::optional<AdviceCall> End(AdviceCalls& calls, const Time now, const std::uint64_t number,
                              const AdviceOutcome outcome) {
  auto found = calls.m_open.extract(number);
  if (found.empty()) return std::nullopt;
  calls.m_failing = outcome == AdviceOutcome::kFailed;
  if (calls.m_failing) calls.m_not_before = now + calls.m_options.m_retry_delay;
  return std::move(found.mapped());
}

}  // namespace ebonypin::core::fleet
