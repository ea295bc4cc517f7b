#include "log_stream.h"

#include <utility>

namespace ebonypin::daemon {

using namespace std::chrono_literals;

namespace {

constexpr core::LogOffset kFirstOffset = 1;
constexpr core::Duration kFreshPollInterval = 10ms;

}  // namespace

core::Error LogUnreadable() {
  return {.m_kind = core::ErrorKind::kLogUnavailable,
          .m_message = "this entry cannot read the log service; nothing was recorded, retry later",
          .m_retry_after = 1s};
}

LogStream::LogStream(platform::LogService& log, EventThread& events, LogStreamOptions options)
    : m_log(log),
      m_events(events),
      m_options(std::move(options)),
      m_writer(log, m_options.m_writer) {}

void LogStream::Start() {
  m_tail = std::make_unique<platform::LogTail>(
      m_log, platform::LogTailOptions{.m_stream = m_options.m_writer.m_stream,
                                      .m_from = kFirstOffset,
                                      .m_wait = 250ms,
                                      .m_on_batch =
                                          [this](const platform::TailBatch& batch) {
                                            for (const auto& reader : m_options.m_readers)
                                              reader.m_on_batch(batch);
                                            m_writer.OnBatch(batch.m_batch.m_batch_id,
                                                             batch.m_offset);
                                          },
                                      .m_on_gap =
                                          [this](const platform::TailGap&) {
                                            for (const auto& reader : m_options.m_readers)
                                              reader.m_on_gap();
                                          },
                                      .m_on_bad_entry = m_options.m_on_bad_entry,
                                      .m_on_end =
                                          [this](const core::Time read_began) {
                                            m_caught_up = true;
                                            if (m_options.m_on_end) m_options.m_on_end(read_began);
                                          }});
}

void LogStream::Submit(core::LogRecord record, platform::AppendDone done) {
  if (!IsReadable()) {
    done({.m_kind = platform::AppendOutcomeKind::kNotAppended, .m_error = LogUnreadable()});
    return;
  }
  m_writer.Submit(std::move(record), std::move(done));
}

bool LogStream::IsReadable() const { return Age() < kLogReadLimit; }

void LogStream::AwaitFresh(std::function<void(bool)> done) { CheckFresh(Now(), done); }

void LogStream::CheckFresh(const core::Time since, const std::function<void(bool)>& done) {
  const auto status = m_tail->Status();
  if (status.m_caught_up && status.m_last_read >= since) return done(true);
  if (!IsReadable()) return done(false);
  m_events.At(Now() + kFreshPollInterval, [this, since, done] { CheckFresh(since, done); });
}

}  // namespace ebonypin::daemon
