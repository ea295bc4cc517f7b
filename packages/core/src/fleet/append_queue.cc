#include "ebonypin/core/fleet/append_queue.h"

#include <algorithm>
#include <utility>

namespace ebonypin::core::fleet {

bool MayBegin(const AppendQueue& queue, const Time now) noexcept {
  const auto& options = queue.m_options;
  if (now < queue.m_not_before) return false;
  if (queue.m_open.empty()) return true;
  if (!queue.m_first_taken) return false;
  if (queue.m_failing_since != Time{} || queue.m_open.size() >= options.m_max_open) return false;
  return queue.m_open.front().m_in_flight &&
         now - queue.m_open.back().m_began >= options.m_overlap_after;
}

const OpenAppend& Begin(AppendQueue& queue, const Time now, WriteBatch batch) {
  queue.m_not_before = now + queue.m_options.m_interval;
  return queue.m_open.emplace_back(OpenAppend{.m_sequence = ++queue.m_last_sequence,
                                              .m_batch = std::move(batch),
                                              .m_began = now,
                                              .m_in_flight = true,
                                              .m_was_oldest = queue.m_open.empty()});
}

bool TakeEmpty(AppendQueue& queue, WriteBatch batch) {
  if (queue.m_open.empty()) return true;
  auto& ends = queue.m_open.back().m_batch.m_ends;
  ends.insert(ends.end(), batch.m_ends.begin(), batch.m_ends.end());
  return false;
}

const OpenAppend* NextRepeat(AppendQueue& queue, const Time now) noexcept {
  if (queue.m_open.empty() || now < queue.m_not_before) return nullptr;
  auto& oldest = queue.m_open.front();
  if (oldest.m_in_flight) return nullptr;
  oldest.m_in_flight = true;
  oldest.m_was_oldest = true;
  return &oldest;
}

AppendResult OnOutcome(AppendQueue& queue, const Time now, const std::uint64_t sequence,
                       const AppendOutcome outcome) {
  AppendResult result;
  const auto found =
      std::find_if(queue.m_open.begin(), queue.m_open.end(),
                   [sequence](const OpenAppend& open) { return open.m_sequence == sequence; });
  if (found == queue.m_open.end()) return result;
  found->m_in_flight = false;
  switch (outcome) {
    case AppendOutcome::kAppended:
      result.m_confirmed = found->m_began;
      queue.m_first_taken = true;
      queue.m_failing_since = {};
      while (!queue.m_open.empty() && queue.m_open.front().m_sequence <= sequence) {
        result.m_written.push_back(std::move(queue.m_open.front().m_batch));
        queue.m_open.pop_front();
      }
      return result;
    case AppendOutcome::kOutOfSequence:
      // Unless it was sent as the oldest one, it overtook an earlier append and is repeated after
      // that one, whose answer may have overtaken this one.
      result.m_superseded = found->m_was_oldest;
      return result;
    case AppendOutcome::kFenced:
      result.m_superseded = true;
      return result;
    case AppendOutcome::kRefused:
      result.m_refused = true;
      return result;
    case AppendOutcome::kNotAppended:
    case AppendOutcome::kUnknown:
      if (queue.m_failing_since == Time{}) queue.m_failing_since = now;
      queue.m_not_before = std::max(queue.m_not_before, now + queue.m_options.m_retry_delay);
      result.m_failed = true;
      return result;
  }
  return result;
}

Time OldestBegan(const AppendQueue& queue) noexcept {
  return queue.m_open.empty() ? Time{} : queue.m_open.front().m_began;
}

}  // namespace ebonypin::core::fleet
