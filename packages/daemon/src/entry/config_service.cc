#include "config_service.h"

#include <algorithm>
#include <utility>

#include "ebonypin/wire/limits.h"

namespace ebonypin::daemon {
namespace {

struct ChangeName {
  std::string m_change_id;
  core::ClassName m_class;  ///< Empty for drains.
};

ChangeName NameOf(const core::LogRecord& record) {
  return std::visit(wire::Overloaded{[](const core::ClassPut& r) {
                                       return ChangeName{r.m_change_id, r.m_spec.m_name};
                                     },
                                     [](const core::ClassRemoved& r) {
                                       return ChangeName{r.m_change_id, r.m_name};
                                     },
                                     [](const core::WorkerDrain& r) {
                                       return ChangeName{r.m_change_id, {}};
                                     },
                                     [](const auto&) { return ChangeName{}; }},
                    record);
}

}  // namespace

LogReader ConfigService::Reader() {
  return {.m_on_batch =
              [this](const platform::TailBatch& batch) {
                std::vector<core::AuditEntry> changes;
                {
                  const std::lock_guard lock(m_mutex);
                  core::Apply(m_table, batch.m_offset, batch.m_batch, changes);
                }
                if (!changes.empty()) m_on_change();
              },
          .m_on_gap =
              [this] {
                const std::lock_guard lock(m_mutex);
                // The configuration stays in force until newer records replace it.
                m_table.m_partial = true;
              }};
}

void ConfigService::OnBadEntry(const core::LogOffset offset, const core::Error& error) {
  const std::lock_guard lock(m_mutex);
  core::NoteUndecodable(m_table, offset, error.m_message);
}

void ConfigService::Change(core::LogRecord record, std::function<void(const ChangeResult&)> done) {
  auto name = NameOf(record);
  if (auto known = ResultOf(name.m_change_id, name.m_class); known.m_change) {
    done(known);
    return;
  }
  m_stream->Submit(std::move(record), [this, name = std::move(name), done = std::move(done)](
                                          const platform::AppendOutcome& outcome) {
    if (outcome.m_kind == platform::AppendOutcomeKind::kAppended) {
      done(ResultOf(name.m_change_id, name.m_class));
    } else {
      done({.m_error = outcome.m_error,
            .m_unknown = outcome.m_kind == platform::AppendOutcomeKind::kUnknown});
    }
  });
}

ChangeResult ConfigService::ResultOf(const std::string& change_id,
                                     const core::ClassName& name) const {
  const std::lock_guard lock(m_mutex);
  ChangeResult result;
  if (const auto* const change = core::FindChange(m_table, change_id)) result.m_change = *change;
  if (const auto* const spec = core::FindClass(m_table, name)) result.m_current = *spec;
  return result;
}

std::optional<core::ClassSpec> ConfigService::Find(const core::ClassName& name) const {
  const std::lock_guard lock(m_mutex);
  const auto* const spec = core::FindClass(m_table, name);
  return spec == nullptr ? std::nullopt : std::optional{*spec};
}

core::LogOffset ConfigService::Offset() const {
  const std::lock_guard lock(m_mutex);
  return core::InForce(m_table).m_offset;
}

core::ConfigView ConfigService::View() const {
  const std::lock_guard lock(m_mutex);
  return core::InForce(m_table);
}

bool ConfigService::IsDrained(const core::AgentId& agent) const {
  const std::lock_guard lock(m_mutex);
  return core::IsDrained(m_table, agent);
}

std::vector<core::AuditEntry> ConfigService::Audit(const core::LogOffset before,
                                                   const std::size_t limit) const {
  const std::lock_guard lock(m_mutex);
  std::vector<core::AuditEntry> changes;
  for (auto change = m_table.m_audit.rbegin();
       change != m_table.m_audit.rend() && changes.size() < limit; ++change) {
    if (change->m_offset < before) changes.push_back(*change);
  }
  return changes;
}

void ConfigService::Rewrite(const core::Duration retention) {
  if (!m_stream->IsCaughtUp() || !m_stream->IsReadable()) return;
  std::vector<core::LogRecord> records;
  {
    const std::lock_guard lock(m_mutex);
    const auto offset = m_table.m_read_offset;
    if (!m_offsets) m_offsets = core::MakeOffsetClock(offset, retention, Now());
    core::NoteOffset(*m_offsets, offset, Now());
    const auto before = core::OffsetBefore(*m_offsets, retention / 2, Now());
    records = core::RewritesBefore(m_table, before, WallNow());
  }
  for (auto& record : records) {
    m_stream->Submit(std::move(record), [](const platform::AppendOutcome&) {});
  }
}

void ConfigService::Adopt(const core::EntryHeartbeatReply& reply) {
  bool adopted = false;
  {
    const std::lock_guard lock(m_mutex);
    adopted = core::Adopt(m_table, reply.m_config_offset, reply.m_classes, reply.m_drained_agents);
  }
  if (adopted) m_on_change();
}

}  // namespace ebonypin::daemon
