#include "stream_store.h"

#include <algorithm>
#include <utility>

namespace ebonypin::standin {

std::uint64_t Append(Stream& stream, const std::int64_t wall_ms, std::string data) {
  const auto offset = stream.m_next++;
  stream.m_entries.push_back({.m_offset = offset, .m_wall_ms = wall_ms, .m_data = std::move(data)});
  return offset;
}

std::uint64_t AppendAndLose(Stream& stream) noexcept { return stream.m_next++; }

void Trim(Stream& stream, const Retention& retention, const std::int64_t wall_ms) {
  auto& entries = stream.m_entries;
  while (retention.m_max_entries > 0 && entries.size() > retention.m_max_entries) {
    entries.pop_front();
  }
  while (retention.m_max_age_ms > 0 && !entries.empty() &&
         wall_ms - entries.front().m_wall_ms > retention.m_max_age_ms) {
    entries.pop_front();
  }
}

void DropOldest(Stream& stream, const std::uint64_t count) {
  const auto dropped = std::min<std::uint64_t>(count, stream.m_entries.size());
  stream.m_entries.erase(stream.m_entries.begin(),
                         stream.m_entries.begin() + static_cast<std::ptrdiff_t>(dropped));
}

StreamRead Read(const Stream& stream, const std::uint64_t from, const std::uint64_t max) {
  const auto& entries = stream.m_entries;
  StreamRead read{.m_first = entries.empty() ? stream.m_next : entries.front().m_offset,
                  .m_next = stream.m_next};
  auto entry = std::lower_bound(
      entries.begin(), entries.end(), from,
      [](const StreamEntry& e, const std::uint64_t offset) { return e.m_offset < offset; });
  for (; entry != entries.end() && read.m_entries.size() < max; ++entry) {
    read.m_entries.push_back(*entry);
  }
  return read;
}

}  // namespace ebonypin::standin
