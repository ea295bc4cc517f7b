#include "job_service.h"

#include <utility>

namespace ebonypin::daemon {

using core::AnswerKind;

namespace {

/// Keys are unique within a class, so that two teams cannot get each other's jobs.
std::string ScopedKey(const core::WorkRequest& request) {
  return request.m_key.empty() ? std::string{} : request.m_class.m_value + '\n' + request.m_key;
}

std::string CallersKey(const std::string& scoped) {
  const auto separator = scoped.find('\n');
  return separator == std::string::npos ? scoped : scoped.substr(separator + 1);
}

JobView ViewOf(const core::JobState& state) {
  return {.m_job = state.m_job,
          .m_request = state.m_request.m_id,
          .m_class = state.m_request.m_class,
          .m_key = CallersKey(state.m_request.m_key),
          .m_assigned = state.m_assigned,
          .m_cancel_requested = state.m_cancel_requested,
          .m_attempt = state.m_attempt,
          .m_agent = state.m_agent,
          .m_accepted_wall = state.m_accepted_wall,
          .m_accepted_offset = state.m_accepted_offset};
}

JobView ViewOf(const core::JobId& job, const core::ClosedJob& trace) {
  return {.m_job = job,
          .m_request = trace.m_request,
          .m_class = trace.m_class,
          .m_key = CallersKey(trace.m_key),
          .m_closed = true,
          .m_attempt = trace.m_attempt,
          .m_accepted_wall = trace.m_accepted_wall,
          .m_accepted_offset = trace.m_accepted_offset,
          .m_outcome = trace.m_outcome,
          .m_result = trace.m_result,
          .m_result_dropped = trace.m_result_dropped};
}

}  // namespace

JobService::JobService(EventThread& events, JobServiceOptions options, JobTableCallbacks callbacks)
    : m_events(events), m_options(std::move(options)), m_callbacks(std::move(callbacks)) {}

LogReader JobService::Reader() {
  return {.m_on_batch = [this](const platform::TailBatch& batch) { OnBatch(batch); },
          .m_on_gap = [this] { OnGap(); }};
}

void JobService::OnBatch(const platform::TailBatch& batch) {
  std::vector<core::JobEvent> events;
  std::vector<std::pair<Wait, std::optional<JobView>>> ended;
  {
    const std::lock_guard lock(m_mutex);
    core::Apply(m_table, batch.m_offset, batch.m_batch, events);
    for (const auto& event : events) {
      if (event.m_job.IsEmpty()) continue;
      auto [wait, end] = m_waits_of_job.equal_range(event.m_job);
      if (wait == end) continue;
      const auto view = FindLocked(event.m_job);
      if (view && !view->m_closed) continue;
      for (; wait != end; wait = m_waits_of_job.erase(wait)) {
        const auto found = m_waits.find(wait->second);
        ended.emplace_back(std::move(found->second), view);
        m_waits.erase(found);
      }
    }
    if (m_callbacks.m_on_events) m_callbacks.m_on_events(m_table, events);
  }
  for (const auto& [wait, view] : ended) wait.m_done(view);
}

void JobService::OnGap() {
  const std::lock_guard lock(m_mutex);
  // Records in the gap were lost, so the table is built again from the records after it.
  m_table = core::JobTable{.m_partial = true};
  if (m_callbacks.m_on_reset) m_callbacks.m_on_reset();
}

core::JobId JobService::Accept(core::WorkRequest request,
                               std::function<void(const AcceptOutcome&)> done) {
  core::JobAccepted record{.m_entry = m_options.m_entry, .m_wall = WallNow()};
  request.m_key = ScopedKey(request);
  std::optional<core::JobId> existing;
  {
    const std::lock_guard lock(m_mutex);
    if (!request.m_key.empty()) existing = core::FindByKey(m_table, request.m_key);
    record.m_job = {m_options.m_entry.m_value + "-" + std::to_string(m_options.m_incarnation) +
                    "-" + std::to_string(++m_last_job)};
  }
  if (existing) {
    done({.m_kind = AnswerKind::kAccepted, .m_job = *existing});
    return *existing;
  }
  auto key = request.m_key;
  record.m_request = std::move(request);
  auto job = record.m_job;
  m_stream->Submit(std::move(record), [this, job, key = std::move(key), done = std::move(done)](
                                          const platform::AppendOutcome& outcome) {
    switch (outcome.m_kind) {
      case platform::AppendOutcomeKind::kAppended:
        return done(AcceptedAs(job, key));
      case platform::AppendOutcomeKind::kNotAppended:
        return done({.m_kind = AnswerKind::kNotRun, .m_error = outcome.m_error});
      case platform::AppendOutcomeKind::kUnknown:
        return done({.m_kind = AnswerKind::kUnknown, .m_job = job, .m_error = outcome.m_error});
    }
  });
  return job;
}

AcceptOutcome JobService::AcceptedAs(const core::JobId& job, const std::string& key) const {
  const std::lock_guard lock(m_mutex);
  if (FindLocked(job)) return {.m_kind = AnswerKind::kAccepted, .m_job = job};
  if (const auto existing = core::FindByKey(m_table, key); !key.empty() && existing) {
    return {.m_kind = AnswerKind::kAccepted, .m_job = *existing};
  }
  // Reached only when a gap in the log has reset the table since the record was applied.
  return {.m_kind = AnswerKind::kUnknown,
          .m_job = job,
          .m_error = core::Error{
              .m_kind = core::ErrorKind::kTimeout,
              .m_message =
                  "log records were lost before the job was read back; query the job's status"}};
}

void JobService::Cancel(const core::JobId& job, std::function<void(const CancelOutcome&)> done) {
  const auto view = Find(job);
  if (!view || view->m_closed) {
    done({.m_job = view});
    return;
  }
  m_stream->Submit(core::JobCancelled{.m_job = job, .m_entry = m_options.m_entry},
                   [this, job, done = std::move(done)](const platform::AppendOutcome& outcome) {
                     done({.m_job = Find(job),
                           .m_error = outcome.m_error,
                           .m_unknown = outcome.m_kind == platform::AppendOutcomeKind::kUnknown});
                   });
}

std::optional<JobView> JobService::Find(const core::JobId& job) const {
  const std::lock_guard lock(m_mutex);
  return FindLocked(job);
}

std::optional<JobView> JobService::FindLocked(const core::JobId& job) const {
  if (const auto* const open = core::FindOpen(m_table, job)) return ViewOf(*open);
  if (const auto* const closed = core::FindClosed(m_table, job)) return ViewOf(job, *closed);
  return std::nullopt;
}

void JobService::WaitForEnd(const core::JobId& job, const core::Time until,
                            std::function<void(const std::optional<JobView>&)> done) {
  std::optional<JobView> view;
  {
    const std::lock_guard lock(m_mutex);
    view = FindLocked(job);
    if (view && !view->m_closed && until > Now()) {
      const auto id = ++m_last_wait;
      m_waits.emplace(id, Wait{.m_job = job, .m_done = std::move(done)});
      m_waits_of_job.emplace(job, id);
      m_events.At(until, [this, id] { EndWait(id); });
      return;
    }
  }
  done(view);
}

void JobService::EndWait(const std::uint64_t id) {
  Wait wait;
  std::optional<JobView> view;
  {
    const std::lock_guard lock(m_mutex);
    const auto found = m_waits.find(id);
    if (found == m_waits.end()) return;
    wait = std::move(found->second);
    m_waits.erase(found);
    auto [other, end] = m_waits_of_job.equal_range(wait.m_job);
    while (other != end && other->second != id) ++other;
    if (other != end) m_waits_of_job.erase(other);
    view = FindLocked(wait.m_job);
  }
  wait.m_done(view);
}

void JobService::EndWaits() {
  std::vector<std::uint64_t> ids;
  {
    const std::lock_guard lock(m_mutex);
    for (const auto& [id, wait] : m_waits) ids.push_back(id);
  }
  for (const auto id : ids) EndWait(id);
}

void JobService::WithTable(const std::function<void(const core::JobTable&)>& use) const {
  const std::lock_guard lock(m_mutex);
  use(m_table);
}

}  // namespace ebonypin::daemon
