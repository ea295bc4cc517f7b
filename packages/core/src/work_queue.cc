#include "ebonypin/core/work_queue.h"

#include <algorithm>
#include <bit>
#include <vector>

namespace ebonypin::core {
namespace {

int Magnitude(const std::int64_t amount) {
  return amount <= 0 ? 0 : static_cast<int>(std::bit_width(static_cast<std::uint64_t>(amount)));
}

QueueItem Take(WorkQueue& queue, const std::map<QueueGroupKey, QueueGroup>::iterator group,
               const QueueGroup::iterator position) {
  QueueItem item = position->second;
  queue.m_expected_run -= item.m_expected_run;
  group->second.erase(position);
  if (group->second.empty()) queue.m_groups.erase(group);
  return item;
}

}  // namespace

Time LatestStart(const Target& target, const std::optional<Duration> deadline,
                 const Duration expected_run, const Time arrived) noexcept {
  Duration slack = kNoTargetSlack;
  if (target.m_start_within) slack = std::min(slack, *target.m_start_within);
  if (target.m_finish_within) slack = std::min(slack, *target.m_finish_within - expected_run);
  if (target.m_latency) slack = std::min(slack, *target.m_latency - expected_run);
  if (deadline) slack = std::min(slack, *deadline - expected_run);
  return arrived + slack;
}

bool PushWork(WorkQueue& queue, const QueueItem& item) {
  if (queue.m_locations.contains(item.m_id)) return false;
  const QueueGroupKey key{Magnitude(item.m_size.m_cpu_millis), Magnitude(item.m_size.m_memory_mb),
                          item.m_size.m_accelerators};
  const auto group = queue.m_groups.try_emplace(key).first;
  const QueuePosition position{item.m_latest_start, ++queue.m_last_sequence};
  const auto inserted = group->second.emplace(position, item).first;
  queue.m_locations.emplace(item.m_id, QueueLocation{.m_group = group, .m_item = inserted});
  queue.m_expected_run += item.m_expected_run;
  return true;
}

bool CancelWork(WorkQueue& queue, const std::uint64_t id) {
  const auto found = queue.m_locations.find(id);
  if (found == queue.m_locations.end()) return false;
  Take(queue, found->second.m_group, found->second.m_item);
  queue.m_locations.erase(found);
  return true;
}

std::optional<QueueItem> PopWork(WorkQueue& queue,
                                 const std::function<bool(const QueueItem&)>& can_start) {
  using GroupPosition = std::map<QueueGroupKey, QueueGroup>::iterator;
  std::vector<GroupPosition> groups;
  groups.reserve(queue.m_groups.size());
  for (auto group = queue.m_groups.begin(); group != queue.m_groups.end(); ++group) {
    groups.push_back(group);
  }
  std::sort(groups.begin(), groups.end(), [](const GroupPosition a, const GroupPosition b) {
    return a->second.begin()->first < b->second.begin()->first;
  });
  for (const GroupPosition group : groups) {
    const auto first = group->second.begin();
    if (!can_start(first->second)) continue;
    queue.m_locations.erase(first->second.m_id);
    return Take(queue, group, first);
  }
  return std::nullopt;
}

const QueueItem* FirstWork(const WorkQueue& queue) {
  const QueueItem* first = nullptr;
  QueuePosition position;
  for (const auto& [key, group] : queue.m_groups) {
    if (first == nullptr || group.begin()->first < position) {
      position = group.begin()->first;
      first = &group.begin()->second;
    }
  }
  return first;
}

}  // namespace ebonypin::core
