/// Classes, drains and their audit trail.
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

/// How a change ended.
struct ChangeResult {
  std::optional<core::AuditEntry> m_change;  ///< As the log's order decided it.
  std::optional<core::ClassSpec> m_current;  ///< Of a class that was changed, as it is now.
  std::optional<core::Error> m_error;        ///< Set when the log's order has not decided it.
  bool m_unknown = false;                    ///< The change may come into force later.
};

/// All members may be used from any thread. Functions passed in are called from any thread.
class ConfigService {
 public:
  /// `on_change` is called after the configuration in force may have changed; must not block.
  explicit ConfigService(std::function<void()> on_change) : m_on_change(std::move(on_change)) {}

  [[nodiscard]] LogReader Reader();
  void OnBadEntry(core::LogOffset offset, const core::Error& error);
  void SetStream(LogStream* stream) { m_stream = stream; }

  /// Appends `record` (ClassPut, ClassRemoved or WorkerDrain) unless its change id is known.
  void Change(core::LogRecord record, std::function<void(const ChangeResult&)> done);

  [[nodiscard]] std::optional<core::ClassSpec> Find(const core::ClassName& name) const;
  [[nodiscard]] core::LogOffset Offset() const;
  [[nodiscard]] core::ConfigView View() const;
  [[nodiscard]] bool IsDrained(const core::AgentId& agent) const;

  /// Returns changes before `before`, newest first.
  [[nodiscard]] std::vector<core::AuditEntry> Audit(core::LogOffset before,
                                                    std::size_t limit) const;

  /// Rewrites what is in force before the log's `retention` drops it. Call it about once a second.
  void Rewrite(core::Duration retention);

  /// Takes over what a peer taught when it is newer.
  void Adopt(const core::EntryHeartbeatReply& reply);

 private:
  [[nodiscard]] ChangeResult ResultOf(const std::string& change_id,
                                      const core::ClassName& name) const;

  const std::function<void()> m_on_change;
  LogStream* m_stream = nullptr;
  mutable std::mutex m_mutex;
  core::ConfigTable m_table;
  std::optional<core::OffsetClock> m_offsets;  ///< From the first read to the end on.
};

}  // namespace ebonypin::daemon
