/// In-memory log service with injected faults, for tests.
#pragma once

#include <algorithm>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "ebonypin/platform/log_service.h"

namespace ebonypin::platform {

class FakeLog final : public LogService {
 public:
  core::Result<core::LogOffset> Append(const std::string& stream,
                                       const std::string_view bytes) override {
    const std::lock_guard lock(m_mutex);
    ++m_appends;
    if (m_down) return core::Fail({.m_kind = core::ErrorKind::kLogUnavailable});
    auto& entries = m_streams[stream];
    const auto offset = m_next++;
    entries.push_back({.m_offset = offset, .m_bytes = std::string{bytes}});
    m_changed.notify_all();
    if (m_lose_answers > 0) {
      --m_lose_answers;
      return core::Fail({.m_kind = core::ErrorKind::kTimeout});
    }
    return offset;
  }

  core::Result<LogChunk> Read(const std::string& stream, const LogReadOptions& options) override {
    std::unique_lock lock(m_mutex);
    if (m_down) return core::Fail({.m_kind = core::ErrorKind::kLogUnavailable});
    const auto& entries = m_streams[stream];
    m_changed.wait_for(lock, options.m_wait, [&] { return m_next > options.m_from || m_down; });
    LogChunk chunk{.m_first = m_first, .m_next = m_next};
    for (const auto& entry : entries) {
      if (entry.m_offset >= std::max(options.m_from, m_first) &&
          chunk.m_entries.size() < options.m_max_entries) {
        chunk.m_entries.push_back(entry);
      }
    }
    return chunk;
  }

  void Set(const std::function<void(FakeLog&)>& change) {
    const std::lock_guard lock(m_mutex);
    change(*this);
    m_changed.notify_all();
  }

  // Change these members through Set only.
  bool m_down = false;
  int m_lose_answers = 0;
  core::LogOffset m_first = 1;
  core::LogOffset m_next = 1;
  int m_appends = 0;
  std::map<std::string, std::vector<LogEntry>> m_streams;

 private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
};

}  // namespace ebonypin::platform
