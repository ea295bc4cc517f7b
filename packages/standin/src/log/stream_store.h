/// Streams of the log stand-in: entries with offsets, limited by age and count.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace ebonypin::standin {

/// Offsets start at 1.
struct StreamEntry {
  std::uint64_t m_offset = 0;
  std::int64_t m_wall_ms = 0;
  std::string m_data;  ///< As the appender sent it (base64).
};

struct Stream {
  std::uint64_t m_next = 1;
  std::deque<StreamEntry> m_entries;
};

struct Retention {
  std::int64_t m_max_age_ms = 0;    ///< 0: no limit.
  std::uint64_t m_max_entries = 0;  ///< Of each stream; 0: no limit.
};

struct StreamRead {
  std::uint64_t m_first = 0;  ///< Oldest kept offset, or the next one when nothing is kept.
  std::uint64_t m_next = 0;
  std::vector<StreamEntry> m_entries;
};

/// Appends `data` and returns its offset.
std::uint64_t Append(Stream& stream, std::int64_t wall_ms, std::string data);

/// Uses up an offset without keeping an entry, like a service that loses an acknowledged write.
std::uint64_t AppendAndLose(Stream& stream) noexcept;

/// Drops what retention does not keep.
void Trim(Stream& stream, const Retention& retention, std::int64_t wall_ms);

/// Drops the oldest `count` entries.
void DropOldest(Stream& stream, std::uint64_t count);

/// Returns at most `max` entries from `from`.
[[nodiscard]] StreamRead Read(const Stream& stream, std::uint64_t from, std::uint64_t max);

}  // namespace ebonypin::standin
