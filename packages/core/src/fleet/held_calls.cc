#include "ebonypin/core/fleet/held_calls.h"

#include <algorithm>
#include <utility>

namespace ebonypin::core::fleet {
namespace {

/// Memory of a held call without its job: its parts here and at the caller of this module.
constexpr std::size_t kCallBytes = 1024;

bool IsWrite(const HeldCall& call) noexcept {
  return call.m_kind == JobCallKind::kSubmit || call.m_kind == JobCallKind::kCancel;
}

HeldCalls::Urgency UrgencyOf(const std::uint64_t number, const HeldCall& call) noexcept {
  return {!IsWrite(call), call.m_priority, call.m_give_up, number};
}

void Remove(HeldCalls& held, const Time now, const std::uint64_t number) {
  const auto found = held.m_calls.find(number);
  const HeldCall& call = found->second;
  const auto waited = now - call.m_arrived;
  held.m_total.m_longest_wait = std::max(held.m_total.m_longest_wait, waited);
  held.m_episode.m_longest_wait = std::max(held.m_episode.m_longest_wait, waited);
  held.m_order.erase(UrgencyOf(number, call));
  held.m_bytes -= kCallBytes;
  if (call.m_kind == JobCallKind::kSubmit) {
    const auto submission = held.m_submissions.find(call.m_job);
    submission->second.m_numbers.erase(number);
    if (submission->second.m_numbers.empty()) {
      held.m_bytes -= submission->second.m_bytes;
      held.m_submissions.erase(submission);
    }
  }
  held.m_calls.erase(found);
}

std::vector<std::uint64_t> GiveUp(HeldCalls& held, const Time now,
                                  std::vector<std::uint64_t> numbers, const GiveUpCause cause) {
  for (const auto number : numbers) Remove(held, now, number);
  if (numbers.empty()) return numbers;
  held.m_total.m_given_up[cause] += numbers.size();
  held.m_episode.m_given_up[cause] += numbers.size();
  return numbers;
}

}  // namespace

Duration HoldTime(const Duration hold, const Duration caller_wait) noexcept {
  return std::min(hold, caller_wait / 2);
}

Duration SpreadRetryAfter(const JobId& job) noexcept {
  return std::chrono::seconds{1 + StableHash(job.m_value) % 2};
}

std::size_t JobBytes(const JobCall& call) noexcept {
  if (call.m_kind != JobCallKind::kSubmit) return 0;
  std::size_t bytes = call.m_job.m_payload.size();
  for (const auto& step : call.m_job.m_steps) {
    bytes += sizeof(step) + step.m_after.size() * sizeof(std::uint32_t) +
             step.m_required_label.size() + step.m_data_rack.size() + step.m_image.m_value.size();
  }
  return bytes;
}

HoldResult Hold(HeldCalls& held, const Time now, HeldCall call) {
  HoldResult result{.m_number = ++held.m_last_number};
  held.m_order.insert(UrgencyOf(result.m_number, call));
  held.m_bytes += kCallBytes;
  if (call.m_kind == JobCallKind::kSubmit) {
    auto& submission = held.m_submissions[call.m_job];
    if (submission.m_numbers.empty()) {
      submission.m_bytes = call.m_bytes;
      held.m_bytes += call.m_bytes;
    }
    submission.m_numbers.insert(result.m_number);
  }
  held.m_calls.emplace(result.m_number, std::move(call));
  while (held.m_calls.size() > held.m_options.m_max_calls ||
         held.m_bytes > held.m_options.m_max_bytes) {
    const auto least_urgent = std::get<std::uint64_t>(*held.m_order.rbegin());
    const auto displaced = GiveUp(held, now, {least_urgent}, GiveUpCause::kDisplaced);
    result.m_displaced.insert(result.m_displaced.end(), displaced.begin(), displaced.end());
  }
  for (auto* const counts : {&held.m_total, &held.m_episode}) {
    ++counts->m_held;
    counts->m_most = std::max(counts->m_most, held.m_calls.size());
  }
  return result;
}

std::vector<std::uint64_t> TakeExpired(HeldCalls& held, const Time now) {
  std::vector<std::uint64_t> expired;
  for (const auto& [number, call] : held.m_calls) {
    if (now >= call.m_give_up) expired.push_back(number);
  }
  return GiveUp(held, now, std::move(expired), GiveUpCause::kExpired);
}

std::vector<std::uint64_t> Release(HeldCalls& held, const Time now, const ReleaseRoom room) {
  std::vector<std::uint64_t> reads;
  std::vector<std::uint64_t> writes;
  std::size_t bytes = 0;
  bool full = false;
  for (const auto& urgency : held.m_order) {
    const auto number = std::get<std::uint64_t>(urgency);
    const HeldCall& call = held.m_calls.at(number);
    if (now >= call.m_give_up) continue;
    if (!IsWrite(call)) {
      reads.push_back(number);
      continue;
    }
    // A write that has no room keeps the less urgent ones waiting, or a large one would starve.
    const bool fits =
        writes.size() < room.m_calls && (writes.empty() || bytes + call.m_bytes <= room.m_bytes);
    full = full || !fits;
    if (full) continue;
    bytes += call.m_bytes;
    writes.push_back(number);
  }
  reads.insert(reads.end(), writes.begin(), writes.end());
  for (const auto number : reads) Remove(held, now, number);
  held.m_total.m_released += reads.size();
  held.m_episode.m_released += reads.size();
  return reads;
}

std::vector<std::uint64_t> TakeCancelled(HeldCalls& held, const Time now, const JobId& job) {
  const auto found = held.m_submissions.find(job);
  if (found == held.m_submissions.end()) return {};
  const auto& numbers = found->second.m_numbers;
  return GiveUp(held, now, {numbers.begin(), numbers.end()}, GiveUpCause::kCancelled);
}

std::vector<std::uint64_t> TakeAll(HeldCalls& held, const Time now) {
  std::vector<std::uint64_t> all;
  for (const auto& [number, call] : held.m_calls) all.push_back(number);
  return GiveUp(held, now, std::move(all), GiveUpCause::kEnded);
}

std::uint64_t GivenUp(const HeldCounts& counts, const GiveUpCause cause) {
  const auto found = counts.m_given_up.find(cause);
  return found == counts.m_given_up.end() ? 0 : found->second;
}

HeldCounts EndEpisode(HeldCalls& held) { return std::exchange(held.m_episode, {}); }

}  // namespace ebonypin::core::fleet
