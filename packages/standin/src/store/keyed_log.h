/// Store of the users' platform, held in memory: partitions of records with conditional appends,
/// fenced writers, keyed topics and groups. No I/O; time is an argument.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ebonypin::standin {

using StoreTime = std::chrono::steady_clock::time_point;

struct StoreRecord {
  std::string m_bytes;  ///< In keyed topics: length of the key, the key, the value.
  friend bool operator==(const StoreRecord&, const StoreRecord&) = default;
};

struct AppendCall {
  std::vector<StoreRecord> m_records;
  std::optional<std::uint64_t> m_at;
  std::string m_producer;  ///< Empty: none.
  std::uint64_t m_epoch = 0;
  std::uint64_t m_sequence = 0;
};

struct AppendResult {
  int m_status = 200;  ///< 200, 409 (reason) or 412.
  std::string m_reason;
  std::uint64_t m_offset = 0;
  std::uint64_t m_end = 0;
};

struct KeyedItem {
  std::string m_key;
  std::string m_value;
  std::uint64_t m_offset = 0;
};

/// Limits on what a call appends, in bytes.
struct StoreLimits {
  std::size_t m_record = 262'144;    ///< RecordBytes of the platform's pages.
  std::size_t m_append = 2'097'152;  ///< CallBytes of the platform's pages.
};

/// Returns why the records are refused, or an empty string.
[[nodiscard]] std::string CheckSizes(const std::vector<StoreRecord>& records,
                                     const StoreLimits& limits);

/// One partition.
class KeyedLog {
 public:
  [[nodiscard]] AppendResult Append(const AppendCall& call);

  /// Returns the newest record of each key after `after`, in the order of the keys.
  [[nodiscard]] std::vector<KeyedItem> Newest(const std::string& after, std::size_t limit,
                                              bool& more) const;

  /// Returns the records from `from`; nothing when they were dropped.
  [[nodiscard]] std::optional<std::vector<StoreRecord>> Read(std::uint64_t from,
                                                             std::size_t limit) const;

  /// Drops the history; the newest record of each key stays.
  void DropHistory();

  [[nodiscard]] std::uint64_t End() const noexcept { return m_first + m_records.size(); }
  [[nodiscard]] std::uint64_t First() const noexcept { return m_first; }

 private:
  struct Producer {
    std::uint64_t m_epoch = 0;
    std::optional<std::uint64_t> m_last;
    std::map<std::uint64_t, AppendResult> m_answers;  ///< Of the last five appends.
  };

  void Put(const StoreRecord& record);

  std::uint64_t m_first = 0;
  std::deque<StoreRecord> m_records;
  std::map<std::string, KeyedItem> m_newest;
  std::map<std::string, Producer> m_producers;
};

/// Group that divides `parts` partitions among its members.
class MemberGroup {
 public:
  struct Joined {
    std::uint64_t m_generation = 0;
    std::vector<std::uint32_t> m_parts;
  };

  [[nodiscard]] Joined Join(const std::string& member, std::chrono::milliseconds ttl,
                            std::uint32_t parts, StoreTime now);
  void Leave(const std::string& member, StoreTime now);

  /// Returns the holder of each partition.
  [[nodiscard]] std::map<std::uint32_t, std::string> Owners(StoreTime now);

 private:
  void Expire(StoreTime now);
  void Deal();

  std::uint32_t m_parts = 0;
  std::uint64_t m_generation = 0;
  std::map<std::string, StoreTime> m_members;  ///< Until when each is a member.
  std::map<std::uint32_t, std::string> m_owners;
};

}  // namespace ebonypin::standin
