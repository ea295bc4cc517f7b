#include "cancel_play.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <thread>

#include "cancel_checks.h"
#include "ebonypin/standin/users_messages.h"
#include "recorded_calls.h"

namespace ebonypin::daemon {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kDisruptions = 5;
constexpr std::size_t kJobs = 75;
constexpr auto kJobInterval = 160ms;
constexpr auto kPoll = 10ms;
constexpr std::size_t kJobsAtPause = 24;
constexpr auto kRetryInterval = 400ms;
/// Longer than the longest wait after a takeover, 15.6 s, and the tasks after it.
constexpr auto kEndLimit = 45s;

std::string BodyOf(const PlannedJob& job) {
  return standin::UsersJob(job.m_lasts ? "last" : "run 3000", 1, job.m_lasts);
}

std::string_view KindName(const DisruptionKind kind) noexcept {
  switch (kind) {
    case DisruptionKind::kPause:
      return "pause";
    case DisruptionKind::kCut:
      return "cut";
    case DisruptionKind::kStop:
      return "SIGTERM";
    case DisruptionKind::kKill:
      return "SIGKILL";
  }
  return "";
}

/// What is known of a job from the answers.
struct JobView {
  bool m_accepted = false;
  bool m_cancel_sent = false;
  bool m_cancel_acknowledged = false;
  std::string m_state;
};

/// The callers of a play.
class Callers {
 public:
  Callers(const ProcessSite& site, const CancelPlan& plan)
      : m_entries(site.Entries()), m_plan(plan), m_calls(Addresses(site)) {
    for (const auto& job : plan.m_jobs) {
      Schedule(job.m_submit_at, CallKind::kSubmit, job.m_submit_entry, job);
      Schedule(job.m_repeat_at, CallKind::kSubmit, job.m_repeat_entry, job);
      Schedule(job.m_read_at, CallKind::kRead, job.m_read_entry, job);
      if (job.m_cancelled && !job.m_cancelled_at_pause) {
        Schedule(job.m_cancel_at, CallKind::kCancel, job.m_cancel_entry, job);
      }
    }
  }

  /// Sends the planned calls that are due.
  void Step(const Clock::duration now) {
    while (!m_planned.empty() && m_planned.begin()->first <= now) {
      const auto call = m_planned.begin()->second;
      m_planned.erase(m_planned.begin());
      Send(call.m_kind, call.m_entry, *call.m_job);
    }
  }

  /// Calls a paused entry about the jobs that were accepted last.
  void CallPaused(const std::size_t entry, const Clock::duration now) {
    const auto views = Views();
    std::size_t found = 0;
    for (auto job = m_plan.m_jobs.rbegin(); job != m_plan.m_jobs.rend(); ++job) {
      const auto view = views.find(job->m_id);
      if (job->m_submit_at > now || view == views.end() || !view->second.m_accepted) continue;
      if (job->m_cancelled_at_pause && !view->second.m_cancel_sent) {
        Send(CallKind::kCancel, entry, *job);
      } else {
        Send(CallKind::kRead, entry, *job);
        Send(CallKind::kSubmit, entry, *job);
      }
      if (++found == kJobsAtPause) return;
    }
  }

  /// Repeats at all entries what has no final answer yet, cancels what does not end by itself, and
  /// returns one line for each job that has not ended.
  [[nodiscard]] std::vector<std::string> StepToEnd() {
    const auto views = Views();
    std::vector<std::string> open;
    for (const auto& job : m_plan.m_jobs) {
      const auto found = views.find(job.m_id);
      const auto view = found == views.end() ? JobView{} : found->second;
      const bool ends = !job.m_lasts && !job.m_cancelled && view.m_accepted && !view.m_cancel_sent;
      if (ends ? view.m_state == "done" : view.m_cancel_acknowledged) continue;
      open.push_back(fmt::format("job {} has not ended: state '{}', {}", job.m_id, view.m_state,
                                 ends ? "not cancelled" : "cancel not acknowledged"));
      Send(ends ? CallKind::kRead : CallKind::kCancel, ++m_round % m_entries, job);
    }
    return open;
  }

  void WaitForAnswers() { m_calls.WaitForAnswers(); }
  [[nodiscard]] std::vector<ObservedCall> Calls() const { return m_calls.Calls(); }

 private:
  struct PlannedCall {
    CallKind m_kind = CallKind::kRead;
    std::size_t m_entry = 0;
    const PlannedJob* m_job = nullptr;
  };

  static std::vector<std::string> Addresses(const ProcessSite& site) {
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < site.Entries(); ++i) addresses.push_back(site.HttpAddress(i));
    return addresses;
  }

  void Schedule(const milliseconds at, const CallKind kind, const std::size_t entry,
                const PlannedJob& job) {
    m_planned.emplace(at, PlannedCall{.m_kind = kind, .m_entry = entry, .m_job = &job});
  }

  void Send(const CallKind kind, const std::size_t entry, const PlannedJob& job) {
    if (kind == CallKind::kCancel) m_cancel_sent.insert(job.m_id);
    // A fourth of the calls leave the open connections alone.
    constexpr std::size_t kNewConnectionEvery = 4;
    const bool on_new_connection = ++m_sent % kNewConnectionEvery == 0;
    m_calls.Send(kind, entry, job.m_id, kind == CallKind::kSubmit ? BodyOf(job) : "",
                 on_new_connection);
  }

  [[nodiscard]] std::map<std::string, JobView> Views() const {
    std::map<std::string, JobView> views;
    for (const auto& call : m_calls.Calls()) {
      auto& view = views[call.m_job];
      if (call.m_kind == CallKind::kSubmit && call.m_status == 200) view.m_accepted = true;
      if (call.m_kind == CallKind::kRead && call.m_status == 200) view.m_state = call.m_state;
      if (IsAcknowledgedCancel(call)) view.m_cancel_acknowledged = true;
    }
    for (const auto& id : m_cancel_sent) views[id].m_cancel_sent = true;
    return views;
  }

  const std::size_t m_entries;
  const CancelPlan& m_plan;
  std::multimap<Clock::duration, PlannedCall> m_planned;
  std::set<std::string> m_cancel_sent;
  std::size_t m_sent = 0;
  std::size_t m_round = 0;
  RecordedCalls m_calls;
};

void Append(std::vector<std::string>& to, const std::vector<std::string>& from) {
  to.insert(to.end(), from.begin(), from.end());
}

/// Ends all jobs. Returns those that have not ended in time and the runs that are at work then.
std::vector<std::string> EndJobs(ProcessSite& site, Disruptor& disruptor, Callers& callers) {
  const auto deadline = Clock::now() + kEndLimit;
  std::vector<std::string> faults;
  do {
    (void)disruptor.Step();
    faults = callers.StepToEnd();
    std::this_thread::sleep_for(kRetryInterval);
    if (!faults.empty()) continue;
    for (const auto& run : site.Runs()) {
      if (!run.m_ended) faults.push_back("at work at the end: " + run.m_task);
    }
  } while (!faults.empty() && Clock::now() < deadline);
  return faults;
}

}  // namespace

CancelPlan DrawCancelPlan(const std::uint64_t seed, const std::size_t entries) {
  std::mt19937_64 random(seed);
  const auto draw = [&](const int from, const int to) {
    return std::uniform_int_distribution<int>{from, to}(random);
  };
  const auto draw_entry = [&] {
    return static_cast<std::size_t>(draw(0, static_cast<int>(entries) - 1));
  };
  CancelPlan plan{.m_seed = seed};
  auto at = milliseconds{draw(1500, 2500)};
  for (std::size_t i = 0; i < kDisruptions; ++i) {
    // Half of them are pauses, after which an entry does not know that it was superseded.
    const int kind = draw(0, 5);
    plan.m_disruptions.push_back({.m_kind = static_cast<DisruptionKind>(std::max(kind - 2, 0)),
                                  .m_of_coordinator = draw(0, 2) > 0,
                                  .m_entry = draw_entry(),
                                  .m_at = at,
                                  .m_length = milliseconds{draw(1200, 4000)}});
    at += milliseconds{draw(300, 3500)};
  }
  for (std::size_t i = 0; i < kJobs; ++i) {
    PlannedJob job{.m_id = fmt::format("ca9ce1{:04x}{:06x}", seed & 0xffffU, i)};
    const auto submit = kJobInterval * static_cast<int>(i) + milliseconds{draw(500, 600)};
    job.m_cancelled = draw(0, 1) == 1;
    job.m_cancelled_at_pause = draw(0, 1) == 1 && job.m_cancelled;
    // Few lasting jobs stay, so that the workers have room for all others.
    job.m_lasts = draw(0, 9) < (job.m_cancelled ? 6 : 1);
    job.m_submit_at = submit;
    job.m_submit_entry = draw_entry();
    const int manner = draw(0, 9);  // One in ten before the submission, and one at the same time.
    job.m_cancel_at = submit + milliseconds{manner == 0   ? draw(-300, -1)
                                            : manner == 1 ? 0
                                                          : draw(100, 3000)};
    job.m_cancel_entry = draw_entry();
    if (manner <= 1 && job.m_cancel_entry == job.m_submit_entry) {
      job.m_cancel_entry = (job.m_submit_entry + 1) % entries;
    }
    job.m_repeat_at = submit + milliseconds{draw(100, 3000)};
    job.m_repeat_entry = draw_entry();
    job.m_read_at = submit + milliseconds{draw(100, 3000)};
    job.m_read_entry = draw_entry();
    plan.m_jobs.push_back(std::move(job));
  }
  return plan;
}

std::string Describe(const CancelPlan& plan) {
  return fmt::format("seed {}: {} jobs", plan.m_seed, plan.m_jobs.size()) +
         Describe(plan.m_disruptions);
}

std::string Describe(const std::vector<Disruption>& disruptions) {
  std::string text;
  for (const auto& disruption : disruptions) {
    text += fmt::format(", {} of {} at {} ms", KindName(disruption.m_kind),
                        disruption.m_of_coordinator ? "the coordinator"
                                                    : ProcessSite::EntryName(disruption.m_entry),
                        disruption.m_at.count());
    if (disruption.m_kind == DisruptionKind::kPause || disruption.m_kind == DisruptionKind::kCut) {
      text += fmt::format(" for {} ms", disruption.m_length.count());
    }
  }
  return text;
}

CancelPlayResult Play(ProcessSite& site, const CancelPlan& plan) {
  const auto began = Clock::now();
  Disruptor disruptor(site, plan.m_disruptions, began);
  Callers callers(site, plan);
  const auto calls_end = plan.m_jobs.back().m_submit_at + 3s;  // The last calls about the last job.
  while (!disruptor.IsOver() || Clock::now() - began < calls_end) {
    const auto now = Clock::now() - began;
    if (now > kEndLimit) return {.m_faults = {"the disruptions did not end in time"}};
    callers.Step(now);
    if (const auto entry = disruptor.Step()) callers.CallPaused(*entry, now);
    std::this_thread::sleep_for(kPoll);
  }
  CancelPlayResult result{.m_faults = EndJobs(site, disruptor, callers)};
  callers.WaitForAnswers();
  const auto calls = callers.Calls();
  const auto runs = site.Runs();
  Append(result.m_faults, FindRunsAfterCancel(calls, runs, disruptor.Times()));
  Append(result.m_faults, FindLostJobs(calls));
  const auto refused = FindRefusedRepeats(calls);
  Append(result.m_faults, refused.m_faults);
  Append(result.m_faults, FindRunsTwice(runs));
  result.m_calls = calls.size();
  result.m_starts = runs.size();
  result.m_cancels =
      static_cast<std::size_t>(std::count_if(calls.begin(), calls.end(), IsAcknowledgedCancel));
  result.m_refused_by_entry_alone = refused.m_by_entry_alone;
  return result;
}

}  // namespace ebonypin::daemon
