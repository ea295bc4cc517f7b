/// Table of classes and drains, built by applying the config stream in order, with its audit trail.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "ebonypin/core/records.h"

namespace ebonypin::core {

/// Changes kept in memory for `GET /v1/audit`: four days at 4,500 changes a day. Older changes are
/// only in the log.
inline constexpr std::size_t kAuditEntries = 20'000;

/// Outcome of an operator's change.
enum class ChangeOutcome : std::uint8_t {
  kInForce,
  kRevisionConflict,  ///< The base revision is not the current one.
  kRepeated,          ///< A change with this id was applied before; see its audit entry.
};

/// One change as read from the log, whether it took effect or not.
struct AuditEntry {
  LogOffset m_offset = 0;
  WallMillis m_wall = 0;
  std::string m_operator;
  std::string m_change_id;
  std::string m_subject;           ///< "class NAME" or "worker ID".
  std::optional<ClassSpec> m_old;  ///< Set for classes only.
  std::optional<ClassSpec> m_new;  ///< Absent when the class was removed.
  bool m_old_draining = false;     ///< Set for workers only.
  bool m_new_draining = false;
  ChangeOutcome m_outcome = ChangeOutcome::kInForce;
  std::uint64_t m_current_revision = 0;  ///< Revision of the class after this record; 0: no class.
  friend bool operator==(const AuditEntry&, const AuditEntry&) = default;
};

/// A configuration with the log offset of its last change.
struct ConfigView {
  LogOffset m_offset = 0;
  std::map<ClassName, ClassSpec> m_classes;
  std::map<AgentId, LogOffset> m_drained;  ///< Drained agents with the log offset of the drain.
  friend bool operator==(const ConfigView&, const ConfigView&) = default;
};

struct ConfigTable {
  /// Set before the first Apply when reading does not begin at the stream's first record.
  bool m_partial = false;
  LogOffset m_read_offset = 0;  ///< Offset of the last batch applied.
  ConfigView m_log_config;      ///< Built from the log.
  ConfigView m_peer_config;     ///< Received from a peer; in force while its offset is larger.
  std::map<ClassName, std::uint64_t> m_last_revision;  ///< Includes removed classes.
  /// Agents with a drain record in the log; maintained for a partial table only.
  std::set<AgentId> m_drains_seen;
  std::deque<AuditEntry> m_audit;
  std::unordered_set<std::uint64_t> m_change_ids;  ///< Hashes of the change ids.
  std::deque<std::uint64_t> m_change_order;
  std::unordered_set<std::uint64_t> m_batches;
  std::deque<std::uint64_t> m_batch_order;
  LogOffset m_undecodable_offset = 0;  ///< Newest batch that could not be decoded; 0: none.
  std::string m_undecodable_reason;
};

/// Applies the config records of `batch`, read at `offset`, and appends the outcome of each to
/// `changes`.
void Apply(ConfigTable& table, LogOffset offset, const LogBatch& batch,
           std::vector<AuditEntry>& changes);

/// Records that the batch at `offset` cannot be decoded. The configuration in force is unchanged.
void NoteUndecodable(ConfigTable& table, LogOffset offset, std::string reason);

/// Adopts the configuration of a peer when its offset is larger than the offset in force. Returns
/// whether it was adopted.
bool Adopt(ConfigTable& table, LogOffset config_offset, const std::vector<ClassSpec>& classes,
           const std::vector<AgentId>& drained);

/// Returns the configuration in force. Its offset never decreases.
[[nodiscard]] const ConfigView& InForce(const ConfigTable& table) noexcept;

/// Returns the class `name` in force, or nullptr.
[[nodiscard]] const ClassSpec* FindClass(const ConfigTable& table, const ClassName& name) noexcept;

/// Returns whether `agent` is drained by an operator.
[[nodiscard]] bool IsDrained(const ConfigTable& table, const AgentId& agent) noexcept;

/// Returns the audit entry of the first change with `change_id`, or nullptr. Operators use it to
/// look up the outcome of a change whose answer was lost.
[[nodiscard]] const AuditEntry* FindChange(const ConfigTable& table,
                                           const std::string& change_id) noexcept;

/// Returns records that repeat the classes and drains whose records have offsets below `before`.
/// They are appended before the log's retention removes the originals. A repeated class gets the
/// next revision.
[[nodiscard]] std::vector<LogRecord> RewritesBefore(const ConfigTable& table, LogOffset before,
                                                    WallMillis wall);

}  // namespace ebonypin::core
