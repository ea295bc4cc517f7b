/// Queue ordered by latest start: the item that has to start first is popped first.
///
/// Items are grouped by size. When the first item of a group does not fit, the whole group is
/// skipped, so that items that do not fit neither block other items nor cost more than one check
/// per pop and group. Cancelling removes the item from its group in constant time; a cancelled item
/// is never popped.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "ebonypin/core/class_spec.h"
#include "ebonypin/core/resources.h"
#include "ebonypin/core/time.h"

namespace ebonypin::core {

/// Waiting work.
struct QueueItem {
  std::uint64_t m_id = 0;  ///< Chosen by the driver, unique within the queue.
  Time m_latest_start{};   ///< See LatestStart.
  Resources m_size;
  Duration m_expected_run{};
  friend bool operator==(const QueueItem&, const QueueItem&) = default;
};

/// Order of items: latest start, then arrival.
using QueuePosition = std::pair<Time, std::uint64_t>;
/// Bit widths of the processor and memory amounts, and the number of accelerators.
using QueueGroupKey = std::tuple<int, int, std::int64_t>;
using QueueGroup = std::map<QueuePosition, QueueItem>;

struct QueueLocation {
  std::map<QueueGroupKey, QueueGroup>::iterator m_group;
  QueueGroup::iterator m_item;
};

struct WorkQueue {
  std::map<QueueGroupKey, QueueGroup> m_groups;
  std::unordered_map<std::uint64_t, QueueLocation> m_locations;
  std::uint64_t m_last_sequence = 0;
  Duration m_expected_run{};  ///< Sum of the expected run times of all items.

  WorkQueue() = default;
  // The queue is not copyable, because the iterators of a copy would point into the original.
  WorkQueue(const WorkQueue&) = delete;
  WorkQueue& operator=(const WorkQueue&) = delete;
  WorkQueue(WorkQueue&&) = default;
  WorkQueue& operator=(WorkQueue&&) = default;
  ~WorkQueue() = default;
};

/// Slack of work with neither target nor deadline. It is large, so that such work comes after all
/// work with a target or deadline, in order of arrival.
inline constexpr Duration kNoTargetSlack = std::chrono::hours{24};

/// Returns the latest start that meets the target and the deadline of work that arrived at
/// `arrived` and is expected to run for `expected_run`.
[[nodiscard]] Time LatestStart(const Target& target, std::optional<Duration> deadline,
                               Duration expected_run, Time arrived) noexcept;

/// Adds `item`; returns false when its id is already queued.
bool PushWork(WorkQueue& queue, const QueueItem& item);

/// Removes the item; returns false when it is not queued.
bool CancelWork(WorkQueue& queue, std::uint64_t id);

/// Removes and returns the first item in order that `can_start` accepts. Only the first item of
/// each group is checked.
[[nodiscard]] std::optional<QueueItem> PopWork(
    WorkQueue& queue, const std::function<bool(const QueueItem&)>& can_start);

/// Returns the first item in order without removing it, or nullptr.
[[nodiscard]] const QueueItem* FirstWork(const WorkQueue& queue);

}  // namespace ebonypin::core
