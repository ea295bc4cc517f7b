/// Classes and drains as the order of the config stream determines them, with their audit trail.
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

/// Changes kept in memory for `GET /v1/audit`: four days at 4,500 changes a day. Older ones are in
/// the log only.
inline constexpr std::size_t kAuditEntries = 20'000;

/// What an operator's change did.
enum class ChangeOutcome : std::uint8_t {
  kInForce,
  kRevisionConflict,  ///< The base revision is not the current one.
  kRepeated,          ///< The change id was applied before; see the first entry.
};

/// One change as read from the log, in force or not.
struct AuditEntry {
  LogOffset m_offset = 0;
  WallMillis m_wall = 0;
  std::string m_operator;
  std::string m_change_id;
  std::string m_subject;           ///< "class NAME" or "worker ID".
  std::optional<ClassSpec> m_old;  ///< Classes only.
  std::optional<ClassSpec> m_new;  ///< Absent when removed.
  bool m_old_draining = false;     ///< Workers only.
  bool m_new_draining = false;
  ChangeOutcome m_outcome = ChangeOutcome::kInForce;
  std::uint64_t m_current_revision = 0;  ///< Of the class after this record; 0 when there is none.
  friend bool operator==(const AuditEntry&, const AuditEntry&) = default;
};

/// A configuration with the offset of the change that put it in force.
struct ConfigView {
  LogOffset m_offset = 0;
  std::map<ClassName, ClassSpec> m_classes;
  std::map<AgentId, LogOffset> m_drained;  ///< With the offset of the drain.
  friend bool operator==(const ConfigView&, const ConfigView&) = default;
};

struct ConfigTable {
  /// Set before the first Apply when the fold does not begin at the stream's first record.
  bool m_partial = false;
  LogOffset m_read_offset = 0;  ///< Last batch applied.
  ConfigView m_folded;          ///< From the log.
  ConfigView m_taught;          ///< From a peer; in force while its offset is larger.
  std::map<ClassName, std::uint64_t> m_last_revision;  ///< Also of removed classes.
  std::set<AgentId> m_drain_mentions;                  ///< Of a partial fold.
  std::deque<AuditEntry> m_audit;
  std::unordered_set<std::uint64_t> m_change_ids;  ///< Hashes.
  std::deque<std::uint64_t> m_change_order;
  std::unordered_set<std::uint64_t> m_batches;
  std::deque<std::uint64_t> m_batch_order;
  LogOffset m_undecodable_offset = 0;  ///< Newest batch that could not be read; 0 for none.
  std::string m_undecodable_reason;
};

/// Folds the config records of `batch`, read at `offset`, and appends what each did to `changes`.
void Apply(ConfigTable& table, LogOffset offset, const LogBatch& batch,
           std::vector<AuditEntry>& changes);

/// Notes that the batch at `offset` cannot be decoded. What is in force stays in force.
void NoteUndecodable(ConfigTable& table, LogOffset offset, std::string reason);

/// Takes over what a peer taught when its config offset is larger than that in force. Returns
/// whether it did.
bool Adopt(ConfigTable& table, LogOffset config_offset, const std::vector<ClassSpec>& classes,
           const std::vector<AgentId>& drained);

/// Returns the configuration in force. Its offset never decreases.
[[nodiscard]] const ConfigView& InForce(const ConfigTable& table) noexcept;

/// Returns the class `name` in force, or nullptr.
[[nodiscard]] const ClassSpec* FindClass(const ConfigTable& table, const ClassName& name) noexcept;

/// Returns whether operators drain `agent`.
[[nodiscard]] bool IsDrained(const ConfigTable& table, const AgentId& agent) noexcept;

/// Returns the entry of the first change with `change_id`, or nullptr. Tells an operator whose
/// answer was lost what became of the change.
[[nodiscard]] const AuditEntry* FindChange(const ConfigTable& table,
                                           const std::string& change_id) noexcept;

/// Returns records that repeat what is in force from offsets before `before`, to be appended before
/// the log's retention ends. A repeated class gets the next revision.
[[nodiscard]] std::vector<LogRecord> RewritesBefore(const ConfigTable& table, LogOffset before,
                                                    WallMillis wall);

}  // namespace ebonypin::core
