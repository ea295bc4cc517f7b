/// Configuration of the region: classes, drains of workers, and the audit trail of their changes.
#pragma once

#include <functional>
#include <mutex>
#include <optional>
#include <vector>

#include "ebonypin/core/config_table.h"
#include "ebonypin/core/messages.h"
#include "ebonypin/core/offset_clock.h"
#include "log_stream.h"

namespace ebonypin::daemon {

/// Outcome of a change.
struct ChangeResult {
  std::optional<core::AuditEntry> m_change;  ///< As decided by the order of the log.
  std::optional<core::ClassSpec> m_current;  ///< Current state of the changed class.
  std::optional<core::Error> m_error;  ///< Set when the record was not read back from the log.
  bool m_unknown = false;              ///< The change may still take effect.
};

/// All members may be used from any thread. Functions passed in are called from any thread.
class ConfigService {
 public:
  /// `on_change` is called when the configuration in force may have changed. It must not block.
  explicit ConfigService(std::function<void()> on_change) : m_on_change(std::move(on_change)) {}

  [[nodiscard]] LogReader Reader();
  void OnBadEntry(core::LogOffset offset, const core::Error& error);
  void SetStream(LogStream* stream) { m_stream = stream; }

  /// Appends `record` (ClassPut, ClassRemoved or WorkerDrain). When its change id is already known,
  /// `done` gets the outcome of the earlier change instead.
  void Change(core::LogRecord record, std::function<void(const ChangeResult&)> done);

  [[nodiscard]] std::optional<core::ClassSpec> Find(const core::ClassName& name) const;
  [[nodiscard]] core::LogOffset Offset() const;
  [[nodiscard]] core::ConfigView View() const;
  [[nodiscard]] bool IsDrained(const core::AgentId& agent) const;

  /// Returns changes before `before`, newest first.
  [[nodiscard]] std::vector<core::AuditEntry> Audit(core::LogOffset before,
                                                    std::size_t limit) const;

  /// Appends the records in force again before the log's `retention` removes them. Call it about
  /// once a second.
  void Rewrite(core::Duration retention);

  /// Adopts a peer's configuration when it is newer.
  void Adopt(const core::EntryHeartbeatReply& reply);

 private:
  [[nodiscard]] ChangeResult ResultOf(const std::string& change_id,
                                      const core::ClassName& name) const;

  const std::function<void()> m_on_change;
  LogStream* m_stream = nullptr;
  mutable std::mutex m_mutex;
  core::ConfigTable m_table;
  std::optional<core::OffsetClock> m_offsets;  ///< Set once the log has been read to its end.
};

}  // namespace ebonypin::daemon
