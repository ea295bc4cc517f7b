/// Store of keyed records: a compacted log, which retains the newest record of each key
/// indefinitely.
///
/// All calls return immediately and report their outcome exactly once, at the latest after their
/// deadline, on a thread of the HTTP library, which must not be blocked.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "ebonypin/core/error.h"
#include "ebonypin/core/time.h"

namespace ebonypin::platform {

/// Record of a key. An empty value deletes the key.
struct KeyedRecord {
  std::string m_key;
  std::string m_value;
  friend bool operator==(const KeyedRecord&, const KeyedRecord&) = default;
};

/// Writer whose appends are fenced: the store rejects an epoch below the highest one seen, and
/// answers a repeated sequence number as it answered the first time.
struct StoreWriter {
  std::string m_name;
  std::uint64_t m_epoch = 0;
  std::uint64_t m_sequence = 0;
};

struct AppendOptions {
  std::optional<StoreWriter> m_writer;
  std::optional<std::uint64_t> m_expected_end;  ///< Append only if the topic ends at this offset.
  core::Duration m_deadline = std::chrono::milliseconds{800};
};

enum class AppendStatus : std::uint8_t {
  kAppended,
  kNotAppended,    ///< The records are not in the topic and will not appear there.
  kUnknown,        ///< No answer; the append may have taken effect or may do so later.
  kFenced,         ///< The store has seen a larger epoch.
  kOutOfSequence,  ///< The store expects another sequence number.
  kEndMismatch,    ///< The topic does not end at the expected offset.
  kRefused,        ///< Not appended, and the same append will never be: it is too large or invalid.
};

struct AppendReply {
  AppendStatus m_status = AppendStatus::kUnknown;
  std::uint64_t m_end = 0;  ///< End of the topic, for kAppended and kEndMismatch.
  std::string m_reason;     ///< For logs.
};

struct NewestPage {
  std::vector<KeyedRecord> m_records;  ///< Ordered by key.
  bool m_more = false;                 ///< The next page begins after `m_last_key`.
  std::string m_last_key;
  std::uint64_t m_end = 0;
  std::size_t m_unreadable = 0;  ///< Records left out because they cannot be read.
};

struct RecordPage {
  std::vector<KeyedRecord> m_records;  ///< In the order of their offsets.
  std::uint64_t m_next = 0;            ///< Offset from which to read next.
  bool m_gap = false;                  ///< Records were dropped; call ReadNewest.
};

struct GroupReply {
  std::uint64_t m_generation = 0;
  bool m_holds_first = false;  ///< The member is assigned the topic's first partition.
};

template <typename T>
using StoreDone = std::function<void(core::Captured<T>)>;

/// Client of the store. Its calls fail with kLogUnavailable when nothing was done, with kTimeout or
/// kDisconnected when there was no answer, and with kBadMessage when the answer cannot be read.
class KeyedStore {
 public:
  KeyedStore() = default;
  virtual ~KeyedStore() = default;
  KeyedStore(const KeyedStore&) = delete;
  KeyedStore& operator=(const KeyedStore&) = delete;

  /// Appends all records or none. A call without records only sets the writer's epoch.
  virtual void Append(const std::string& topic, const std::vector<KeyedRecord>& records,
                      const AppendOptions& options, std::function<void(AppendReply)> done) = 0;

  /// Reads the newest record of each key that sorts after `after`. Successive pages are not a
  /// consistent snapshot.
  virtual void ReadNewest(const std::string& topic, const std::string& after,
                          StoreDone<NewestPage> done) = 0;

  /// Reads the records from offset `from`, waiting up to `wait` for the first one.
  virtual void Read(const std::string& topic, std::uint64_t from, core::Duration wait,
                    StoreDone<RecordPage> done) = 0;

  /// Joins the group among whose members the partitions of `topic` are divided, or renews a
  /// membership. It lapses after `ttl`.
  virtual void Join(const std::string& group, const std::string& member, const std::string& topic,
                    core::Duration ttl, std::uint64_t generation, StoreDone<GroupReply> done) = 0;

  virtual void Leave(const std::string& group, const std::string& member,
                     std::uint64_t generation) = 0;

  /// Lists the members to which partitions are assigned.
  virtual void Members(const std::string& group, StoreDone<std::vector<std::string>> done) = 0;
};

}  // namespace ebonypin::platform
