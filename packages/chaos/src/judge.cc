#include "judge.h"

#include <algorithm>
#include <map>
#include <set>

namespace ebonypin::chaos {
namespace {

/// Time during which one attempt ran on one worker, on the clock of the worker events.
struct RunInterval {
  std::string m_worker;
  std::uint32_t m_attempt = 0;
  std::int64_t m_from = 0;
  std::int64_t m_to = INT64_MAX;
  bool m_completed = false;
};

using RunsByJob = std::map<std::string, std::vector<RunInterval>>;

bool IsRunEnd(const std::string& what) { return what == "end" || what == "stop" || what == "lost"; }

RunsByJob CollectRuns(const std::vector<WorkerEvent>& events) {
  auto ordered = events;
  std::stable_sort(ordered.begin(), ordered.end(),
                   [](const auto& a, const auto& b) { return a.m_at_us < b.m_at_us; });
  RunsByJob runs;
  for (const auto& event : ordered) {
    auto& job_runs = runs[event.m_id];
    if (event.m_what == "start") {
      job_runs.push_back(
          {.m_worker = event.m_worker, .m_attempt = event.m_attempt, .m_from = event.m_at_us});
    } else if (IsRunEnd(event.m_what)) {
      for (auto& run : job_runs) {
        if (run.m_worker != event.m_worker || run.m_attempt != event.m_attempt ||
            run.m_to != INT64_MAX)
          continue;
        run.m_to = event.m_at_us;
        run.m_completed = event.m_what == "end";
      }
    }
  }
  return runs;
}

class HistoryChecker {
 public:
  HistoryChecker(const History& history, const CheckOptions& options)
      : m_history(history), m_options(options), m_runs(CollectRuns(history.m_worker_events)) {
    for (const auto& job : history.m_jobs) m_job_class[job.m_job] = job.m_class;
  }

  Verdict Run() {
    CheckAnswers();
    CheckNotRun();
    CheckJobs();
    CheckKeys();
    CheckRuns();
    CheckWatchers();
    CheckRevisions();
    return std::move(m_verdict);
  }

 private:
  void Check(const bool holds, const std::string& rule, const std::string& detail) {
    ++m_verdict.m_checked;
    if (!holds) m_verdict.m_violations.push_back({.m_rule = rule, .m_detail = detail});
  }

  /// I4: each caller gets the complete answer to its own request.
  void CheckAnswers() {
    for (const auto& call : m_history.m_calls) {
      if (call.m_answer_status == AnswerStatus::kNoAnswer) continue;
      Check(call.m_answer_id == call.m_id, "answer to the wrong request",
            call.m_id + " got " + call.m_answer_id);
      if (call.m_answer_status == AnswerStatus::kDone) {
        Check(call.m_result == call.m_expected, "wrong or partial result",
              call.m_id + ": '" + call.m_result + "' instead of '" + call.m_expected + "'");
      }
    }
  }

  /// I5: work that was answered with `not_run` did not run.
  void CheckNotRun() {
    std::set<std::string> ran;
    for (const auto& event : m_history.m_worker_events) {
      if (event.m_what == "serve" || event.m_what == "start") ran.insert(event.m_id);
    }
    std::map<std::string, std::string> job_of_request;
    for (const auto& job : m_history.m_jobs) job_of_request[job.m_request] = job.m_job;
    for (const auto& call : m_history.m_calls) {
      if (call.m_answer_status != AnswerStatus::kNotRun || call.m_error == "cancelled" ||
          call.m_error == "task_failed")
        continue;
      const auto job = job_of_request.find(call.m_id);
      const bool run =
          ran.contains(call.m_id) || (job != job_of_request.end() && ran.contains(job->second));
      Check(!run, "not_run, but it ran", call.m_id);
    }
  }

  /// No accepted job is lost, and each job returns its own result.
  void CheckJobs() {
    std::map<std::string, const FinalJob*> jobs;
    for (const auto& job : m_history.m_jobs) jobs[job.m_job] = &job;
    for (const auto& call : m_history.m_calls) {
      if (call.m_answer_status != AnswerStatus::kAccepted || call.m_job.empty()) continue;
      const auto found = jobs.find(call.m_job);
      Check(found != jobs.end(), "accepted job lost", call.m_job);
      if (found == jobs.end()) continue;
      const auto& job = *found->second;
      Check(job.m_state == "closed", "accepted job not closed at the end", call.m_job);
      if (job.m_outcome != "succeeded") {
        Check(job.m_outcome == "unknown" && call.m_non_idempotent, "accepted job did not succeed",
              call.m_job + " " + job.m_outcome);
        continue;
      }
      Check(job.m_result == call.m_expected, "wrong result of a job",
            call.m_job + ": " + job.m_result);
    }
  }

  /// An idempotency key maps to one job, whichever entries were called.
  void CheckKeys() {
    std::map<std::string, std::string> job_of_key;
    for (const auto& call : m_history.m_calls) {
      if (call.m_key.empty() || call.m_job.empty()) continue;
      const auto [found, inserted] =
          job_of_key.emplace(call.m_class + "/" + call.m_key, call.m_job);
      Check(inserted || found->second == call.m_job, "one key, two jobs",
            call.m_key + ": " + found->second + " and " + call.m_job);
    }
  }

  bool IsExclusive(const std::string& job) const {
    const auto found = m_job_class.find(job);
    return found != m_job_class.end() &&
           std::find(m_options.m_exclusive_classes.begin(), m_options.m_exclusive_classes.end(),
                     found->second) != m_options.m_exclusive_classes.end();
  }

  /// I2, I3, I6: an exclusive job never runs in two places at once and completes at most once, and
  /// non-idempotent requests run as jobs only.
  void CheckRuns() {
    for (const auto& [job, runs] : m_runs) {
      if (!IsExclusive(job)) continue;
      const auto completed =
          std::count_if(runs.begin(), runs.end(), [](const auto& run) { return run.m_completed; });
      Check(completed <= 1, "ran to its end more than once", job);
      for (std::size_t i = 0; i < runs.size(); ++i) {
        for (std::size_t j = i + 1; j < runs.size(); ++j) {
          const bool disjoint = runs[i].m_to <= runs[j].m_from || runs[j].m_to <= runs[i].m_from;
          Check(disjoint, "ran in two places at once",
                job + " at " + runs[i].m_worker + " and " + runs[j].m_worker);
        }
      }
    }
    for (const auto& call : m_history.m_calls) {
      // A request of a non-idempotent class that goes to the endpoint directly bypasses the job
      // path.
      if (!call.m_non_idempotent) continue;
      Check(!m_runs.contains(call.m_id), "non-idempotent request ran outside the job path",
            call.m_id);
    }
  }

  /// Watch updates are neither dropped nor duplicated.
  void CheckWatchers() {
    for (const auto& [watcher, items] : m_history.m_watchers) {
      std::set<std::string> seen;
      std::uint64_t last = 0;
      for (const auto& item : items) {
        Check(item.m_sequence > last, "watch sequence goes back or repeats",
              watcher + " at " + std::to_string(item.m_sequence));
        last = item.m_sequence;
        Check(seen.insert(item.m_update).second, "watch update twice",
              watcher + " " + item.m_update);
        Check(item.m_value == "value of " + item.m_update, "wrong value of an update", watcher);
      }
      for (const auto& update : m_history.m_posted_updates) {
        Check(seen.contains(update), "watch update dropped", watcher + " " + update);
      }
    }
  }

  /// I9: a configuration that is in force never reverts at any entry.
  void CheckRevisions() {
    for (const auto& [entry, revisions] : m_history.m_revisions) {
      Check(std::is_sorted(revisions.begin(), revisions.end()), "configuration reverted", entry);
    }
  }

  const History& m_history;
  const CheckOptions& m_options;
  const RunsByJob m_runs;
  std::map<std::string, std::string> m_job_class;
  Verdict m_verdict;
};

}  // namespace

Verdict CheckHistory(const History& history, const CheckOptions& options) {
  return HistoryChecker(history, options).Run();
}

}  // namespace ebonypin::chaos
