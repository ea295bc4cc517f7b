#include "call_judge.h"

namespace ebonypin::core::fleet {
namespace {

using namespace std::chrono_literals;

/// Time after the acknowledgement of a cancel within which the last start of the job must lie.
constexpr Duration kCancelEffective = 3s;

}  // namespace

void CallJudge::OnSent(const JobCall& call) {
  auto& told = m_jobs[call.m_job.m_id];
  if (call.m_kind == JobCallKind::kSubmit) ++told.m_submissions;
  if (call.m_kind == JobCallKind::kCancel) told.m_cancel_sent = true;
}

void CallJudge::OnAnswered(const JobCall& call, const Time sent, const JobCallReply& reply) {
  const auto& id = call.m_job.m_id;
  auto& told = m_jobs[id];
  const bool ok = reply.m_status == JobCallStatus::kOk;
  const bool missing = reply.m_status == JobCallStatus::kNoSuchJob;
  const bool refused = reply.m_status == JobCallStatus::kRefused;
  const bool submits = call.m_kind == JobCallKind::kSubmit;
  // A call that was sent before the acceptance may be answered as of its arrival.
  const bool accepted = told.m_accepted && sent > *told.m_accepted;
  if (accepted && !told.m_cancel_sent && missing) Report(id, told, "accepted, then missing");
  if (accepted && !told.m_cancel_sent && refused) Report(id, told, kRefusedRepeat);
  // Only the answer to a read shows the phase to its caller.
  const bool shows_phase = ok && call.m_kind == JobCallKind::kState;
  if (shows_phase && told.m_cancelled && sent > *told.m_cancelled) {
    if (reply.m_phase == JobPhase::kDone && !told.m_ended_before_cancel) {
      Report(id, told, "cancelled, then shown as done");
    }
    const bool open = reply.m_phase == JobPhase::kQueued || reply.m_phase == JobPhase::kRunning;
    if (open && sent > *told.m_cancelled + kMaxAnswerAge) {
      Report(id, told, "cancelled, then shown as open");
    }
  }
  if (submits && ok && !told.m_accepted) told.m_accepted = m_now;
  if (submits && refused) ++told.m_refusals;
  if (call.m_kind == JobCallKind::kCancel && (ok || missing) && !told.m_cancelled) {
    told.m_cancelled = m_now;
    told.m_ended_before_cancel = m_workers.AllDone(id);
  }
}

void CallJudge::Check() {
  for (auto& [id, told] : m_jobs) {
    if (told.m_accepted && m_store.m_jobs.count(id) == 0) Report(id, told, "accepted, not stored");
    if (!told.m_cancelled) continue;
    const auto start = m_workers.LastStart(id);
    if (start && *start > *told.m_cancelled + kCancelEffective) {
      Report(id, told, "cancelled, then started");
    }
    const auto stored = m_store.m_progress.find(ProgressKey(id, 0));
    const bool kept = stored != m_store.m_progress.end() &&
                      (stored->second.m_cancelled || stored->second.m_closed);
    if (!kept) Report(id, told, "cancelled, and the store has it open or has no record");
  }
}

void CallJudge::CheckRefused() {
  for (auto& [id, told] : m_jobs) {
    const bool refused = told.m_submissions > 0 && told.m_refusals == told.m_submissions;
    if (refused && m_workers.LastStart(id)) Report(id, told, "refused, and started");
  }
}

std::set<JobId> CallJudge::Jobs() const {
  std::set<JobId> jobs;
  for (const auto& [id, told] : m_jobs) jobs.insert(id);
  return jobs;
}

void CallJudge::Report(const JobId& id, Told& told, const std::string& rule) {
  if (!told.m_broken.insert(rule).second) return;
  m_workers.AddTrace("broken: " + rule + " " + id.m_value);
  m_workers.AddViolation(rule + ": " + id.m_value);
}

}  // namespace ebonypin::core::fleet
