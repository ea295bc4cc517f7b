#include "ebonypin/platform/log_writer.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>

namespace ebonypin::platform {
namespace {

core::Time Now() {
  return std::chrono::time_point_cast<core::Duration>(std::chrono::steady_clock::now());
}

}  // namespace

class LogWriter::Impl {
 public:
  Impl(LogService& log, LogWriterOptions options)
      : m_log(log), m_stream(std::move(options.m_stream)) {
    m_state.m_options = std::move(options.m_commit);
    m_appender = std::thread([this] { AppendUntilStopped(); });
    m_expirer = std::thread([this] { ExpireUntilStopped(); });
  }

  ~Impl() {
    {
      const std::lock_guard lock(m_mutex);
      m_stopping = true;
    }
    m_wake.notify_all();
    m_appender.join();
    m_expirer.join();
    std::unique_lock lock(m_mutex);
    auto completions = Expire(m_state, core::Time::max());
    Finish(std::move(completions), lock);
  }

  void Submit(core::LogRecord record, AppendDone done) {
    {
      const std::lock_guard lock(m_mutex);
      const auto ticket = platform::Submit(m_state, Now(), std::move(record));
      if (ticket) {
        m_done.emplace(*ticket, std::move(done));
        m_wake.notify_all();
        return;
      }
    }
    done({.m_kind = AppendOutcomeKind::kNotAppended,
          .m_error =
              core::Error{.m_kind = core::ErrorKind::kLogUnavailable,
                          .m_message = "too many records are queued for the log service; retry "
                                       "later",
                          .m_retry_after = std::chrono::seconds{1}}});
  }

  void OnBatch(const std::string& batch_id, const core::LogOffset offset) {
    std::unique_lock lock(m_mutex);
    auto completions = OnReadBack(m_state, batch_id, offset);
    Finish(std::move(completions), lock);
  }

  [[nodiscard]] bool IsFailing() const {
    const std::lock_guard lock(m_mutex);
    return std::any_of(m_state.m_open.begin(), m_state.m_open.end(),
                       [](const OpenBatch& batch) { return batch.m_failing; });
  }

  [[nodiscard]] std::size_t Pending() const {
    const std::lock_guard lock(m_mutex);
    return m_done.size();
  }

  [[nodiscard]] GroupCommitCounters Counters() const {
    const std::lock_guard lock(m_mutex);
    return m_state.m_counters;
  }

 private:
  /// Calls the callbacks of the completed records with the lock released.
  void Finish(std::vector<AppendCompletion> completions, std::unique_lock<std::mutex>& lock) {
    std::vector<std::pair<AppendDone, AppendOutcome>> calls;
    calls.reserve(completions.size());
    for (auto& completion : completions) {
      const auto found = m_done.find(completion.m_ticket);
      if (found == m_done.end()) continue;
      calls.emplace_back(std::move(found->second), std::move(completion.m_outcome));
      m_done.erase(found);
    }
    lock.unlock();
    for (auto& [done, outcome] : calls) done(outcome);
    lock.lock();
  }

  void AppendUntilStopped() {
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
      const auto append = NextAppend(m_state, Now());
      if (!append) {
        m_wake.wait_until(lock, NextWake(m_state, Now()));
        continue;
      }
      lock.unlock();
      const auto answer = core::Capture([&] { return m_log.Append(m_stream, append->m_bytes); });
      lock.lock();
      // Only kLogUnavailable says for certain that nothing was written. After any other error the
      // write may have taken effect.
      const auto end = answer.Ok() ? AppendAnswer::kOk
                       : answer.m_error->m_kind == core::ErrorKind::kLogUnavailable
                           ? AppendAnswer::kNotWritten
                           : AppendAnswer::kNoAnswer;
      OnAppendAnswer(m_state, Now(), end);
    }
  }

  /// Runs on its own thread, because an append may block the other thread until its deadline.
  void ExpireUntilStopped() {
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
      m_wake.wait_for(lock, std::chrono::milliseconds{100}, [this] { return m_stopping; });
      auto completions = Expire(m_state, Now());
      Finish(std::move(completions), lock);
    }
  }

  LogService& m_log;
  const std::string m_stream;
  mutable std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_stopping = false;
  GroupCommit m_state;
  std::unordered_map<std::uint64_t, AppendDone> m_done;
  std::thread m_appender;
  std::thread m_expirer;
};

LogWriter::LogWriter(LogService& log, LogWriterOptions options)
    : m_impl(std::make_unique<Impl>(log, std::move(options))) {}
LogWriter::~LogWriter() = default;

void LogWriter::Submit(core::LogRecord record, AppendDone done) {
  m_impl->Submit(std::move(record), std::move(done));
}

void LogWriter::OnBatch(const std::string& batch_id, const core::LogOffset offset) {
  m_impl->OnBatch(batch_id, offset);
}

bool LogWriter::IsFailing() const { return m_impl->IsFailing(); }
std::size_t LogWriter::Pending() const { return m_impl->Pending(); }
GroupCommitCounters LogWriter::Counters() const { return m_impl->Counters(); }

}  // namespace ebonypin::platform
