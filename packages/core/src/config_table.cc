#include "ebonypin/core/config_table.h"

#include <utility>

namespace ebonypin::core {
namespace {

/// Stores the hash of `id` and returns whether it is new. Keeps the last kAuditEntries hashes.
bool RememberId(std::unordered_set<std::uint64_t>& ids, std::deque<std::uint64_t>& order,
                const std::string& id) {
  const std::uint64_t hash = StableHash(id);
  if (!ids.insert(hash).second) return false;
  order.push_back(hash);
  if (order.size() > kAuditEntries) {
    ids.erase(order.front());
    order.pop_front();
  }
  return true;
}

bool IsRepeated(ConfigTable& table, const std::string& change_id) {
  return !change_id.empty() && !RememberId(table.m_change_ids, table.m_change_order, change_id);
}

/// Returns the revision that a change of `name` must be based on; 0 when the class does not exist.
std::uint64_t CurrentRevision(const ConfigTable& table, const ClassName& name) {
  const auto found = table.m_log_config.m_classes.find(name);
  return found == table.m_log_config.m_classes.end() ? 0 : found->second.m_revision;
}

/// Returns whether a change with base revision `base` is based on the current revision. A partial
/// table accepts any base revision for a class whose earlier records are truncated.
bool BaseIsCurrent(const ConfigTable& table, const ClassName& name, const std::uint64_t base) {
  if (table.m_partial && !table.m_last_revision.contains(name)) return true;
  return base == CurrentRevision(table, name);
}

std::optional<ClassSpec> Current(const ConfigTable& table, const ClassName& name) {
  const auto found = table.m_log_config.m_classes.find(name);
  if (found == table.m_log_config.m_classes.end()) return std::nullopt;
  return found->second;
}

void ApplyRecord(ConfigTable& table, const LogOffset offset, const ClassPut& record,
                 AuditEntry& entry) {
  const ClassName& name = record.m_spec.m_name;
  entry.m_wall = record.m_wall;
  entry.m_operator = record.m_operator;
  entry.m_change_id = record.m_change_id;
  entry.m_subject = "class " + name.m_value;
  entry.m_old = Current(table, name);
  entry.m_new = record.m_spec;
  if (IsRepeated(table, record.m_change_id)) {
    entry.m_outcome = ChangeOutcome::kRepeated;
  } else if (!BaseIsCurrent(table, name, record.m_base_revision)) {
    entry.m_outcome = ChangeOutcome::kRevisionConflict;
  } else {
    std::uint64_t& last = table.m_last_revision[name];
    last = std::max(last, record.m_base_revision) + 1;
    ClassSpec spec = record.m_spec;
    spec.m_revision = last;
    spec.m_accepted_offset = offset;
    entry.m_new = spec;
    table.m_log_config.m_classes.insert_or_assign(name, std::move(spec));
    table.m_log_config.m_offset = offset;
  }
  entry.m_current_revision = CurrentRevision(table, name);
}

void ApplyRecord(ConfigTable& table, const LogOffset offset, const ClassRemoved& record,
                 AuditEntry& entry) {
  entry.m_wall = record.m_wall;
  entry.m_operator = record.m_operator;
  entry.m_change_id = record.m_change_id;
  entry.m_subject = "class " + record.m_name.m_value;
  entry.m_old = Current(table, record.m_name);
  if (IsRepeated(table, record.m_change_id)) {
    entry.m_outcome = ChangeOutcome::kRepeated;
  } else if (record.m_base_revision == 0 ||
             !BaseIsCurrent(table, record.m_name, record.m_base_revision)) {
    entry.m_outcome = ChangeOutcome::kRevisionConflict;
  } else {
    std::uint64_t& last = table.m_last_revision[record.m_name];
    last = std::max(last, record.m_base_revision);
    table.m_log_config.m_classes.erase(record.m_name);
    table.m_log_config.m_offset = offset;
  }
  entry.m_current_revision = CurrentRevision(table, record.m_name);
}

void ApplyRecord(ConfigTable& table, const LogOffset offset, const WorkerDrain& record,
                 AuditEntry& entry) {
  entry.m_wall = record.m_wall;
  entry.m_operator = record.m_operator;
  entry.m_change_id = record.m_change_id;
  entry.m_subject = "worker " + record.m_agent.m_value;
  entry.m_old_draining = table.m_log_config.m_drained.contains(record.m_agent);
  entry.m_new_draining = record.m_draining;
  if (IsRepeated(table, record.m_change_id)) {
    entry.m_outcome = ChangeOutcome::kRepeated;
    return;
  }
  if (table.m_partial) table.m_drains_seen.insert(record.m_agent);
  if (record.m_draining) {
    table.m_log_config.m_drained.insert_or_assign(record.m_agent, offset);
  } else {
    table.m_log_config.m_drained.erase(record.m_agent);
  }
  table.m_log_config.m_offset = offset;
}

/// Completes a table that was built from a truncated log with the configuration of a peer. That
/// configuration includes every record up to its offset, so it is used for all classes and drains
/// of which the table has read no record.
void MergePeerConfig(ConfigTable& table) {
  for (const auto& [name, spec] : table.m_peer_config.m_classes) {
    if (!table.m_last_revision.emplace(name, spec.m_revision).second) continue;
    table.m_log_config.m_classes.emplace(name, spec);
  }
  for (const auto& [agent, offset] : table.m_peer_config.m_drained)
    if (!table.m_drains_seen.contains(agent)) table.m_log_config.m_drained.emplace(agent, offset);
}

template <typename T>
concept ConfigRecord = requires(ConfigTable& table, const T& record, AuditEntry& entry) {
  ApplyRecord(table, LogOffset{}, record, entry);
};

}  // namespace

void Apply(ConfigTable& table, const LogOffset offset, const LogBatch& batch,
           std::vector<AuditEntry>& changes) {
  if (offset <= table.m_read_offset) return;
  const LogOffset peer_offset = table.m_peer_config.m_offset;
  if (table.m_partial && table.m_read_offset <= peer_offset && offset > peer_offset)
    MergePeerConfig(table);
  table.m_read_offset = offset;
  if (!RememberId(table.m_batches, table.m_batch_order, batch.m_batch_id)) return;
  for (const LogRecord& record : batch.m_records) {
    std::visit(
        [&]<typename T>(const T& config) {
          if constexpr (ConfigRecord<T>) {
            AuditEntry entry{.m_offset = offset};
            ApplyRecord(table, offset, config, entry);
            changes.push_back(entry);
            table.m_audit.push_back(std::move(entry));
            if (table.m_audit.size() > kAuditEntries) table.m_audit.pop_front();
          }
        },
        record);
  }
}

void NoteUndecodable(ConfigTable& table, const LogOffset offset, std::string reason) {
  if (offset <= table.m_read_offset) return;
  table.m_read_offset = offset;
  table.m_undecodable_offset = offset;
  table.m_undecodable_reason = std::move(reason);
}

bool Adopt(ConfigTable& table, const LogOffset config_offset, const std::vector<ClassSpec>& classes,
           const std::vector<AgentId>& drained) {
  if (config_offset <= InForce(table).m_offset) return false;
  ConfigView peer_config{.m_offset = config_offset};
  for (const ClassSpec& spec : classes) peer_config.m_classes.insert_or_assign(spec.m_name, spec);
  for (const AgentId& agent : drained) peer_config.m_drained.emplace(agent, config_offset);
  table.m_peer_config = std::move(peer_config);
  return true;
}

const ConfigView& InForce(const ConfigTable& table) noexcept {
  return table.m_peer_config.m_offset > table.m_log_config.m_offset ? table.m_peer_config
                                                                    : table.m_log_config;
}

const ClassSpec* FindClass(const ConfigTable& table, const ClassName& name) noexcept {
  const auto& classes = InForce(table).m_classes;
  const auto found = classes.find(name);
  return found == classes.end() ? nullptr : &found->second;
}

bool IsDrained(const ConfigTable& table, const AgentId& agent) noexcept {
  return InForce(table).m_drained.contains(agent);
}

const AuditEntry* FindChange(const ConfigTable& table, const std::string& change_id) noexcept {
  for (const AuditEntry& entry : table.m_audit)
    if (entry.m_change_id == change_id) return &entry;
  return nullptr;
}

std::vector<LogRecord> RewritesBefore(const ConfigTable& table, const LogOffset before,
                                      const WallMillis wall) {
  std::vector<LogRecord> records;
  for (const auto& [name, spec] : table.m_log_config.m_classes) {
    if (spec.m_accepted_offset >= before) continue;
    // All entries that rewrite a revision use the same change id, so that only the first of their
    // records is applied.
    records.emplace_back(
        ClassPut{.m_spec = spec,
                 .m_base_revision = spec.m_revision,
                 .m_operator = "retention",
                 .m_change_id = "retention " + name.m_value + " " + std::to_string(spec.m_revision),
                 .m_wall = wall});
  }
  for (const auto& [agent, offset] : table.m_log_config.m_drained) {
    if (offset >= before) continue;
    records.emplace_back(
        WorkerDrain{.m_agent = agent,
                    .m_draining = true,
                    .m_operator = "retention",
                    .m_change_id = "retention " + agent.m_value + " " + std::to_string(offset),
                    .m_wall = wall});
  }
  return records;
}

}  // namespace ebonypin::core
