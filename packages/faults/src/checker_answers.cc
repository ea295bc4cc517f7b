#include <map>
#include <set>

#include "checker_parts.h"

namespace ebonypin::faults {

void CheckAnswers(const History& history, Verdict& verdict) {
  std::map<std::string, Event> asked;
  std::map<std::string, std::string> accepted;  // Request id in the "accepted" record of each job.
  std::map<std::string, std::string> accepted_keys;  // Job that answers gave for each key.
  std::set<std::string> in_log;                      // Requests with an "accepted" record.
  std::set<std::string> not_run;
  std::map<std::string, int> runs;
  std::set<std::string> finished;
  const ReplayedLog log = ReplayJobLog(history);
  for (const Event& event : history) {
    switch (event.m_kind) {
      case EventKind::kRequestSent:
        asked[event.m_request] = event;
        break;
      case EventKind::kLogRecord:
        if (event.m_record == "accepted") {
          accepted.emplace(event.m_job, event.m_request);
          in_log.insert(event.m_request);
        }
        break;
      case EventKind::kRunBegin:
        if (++runs[event.m_request] > 1 && asked[event.m_request].m_non_idempotent)
          AddViolation(verdict, "I6", "request " + event.m_request + " ran twice" + AtTime(event));
        break;
      case EventKind::kRunEnd:
        if (event.m_text == "done") finished.insert(event.m_request);
        break;
      case EventKind::kRequestAnswered: {
        ++verdict.m_operations;
        if (event.m_text == "not_run") {
          not_run.insert(event.m_request);
        } else if (event.m_text == "done") {
          if (event.m_result != "result of " + event.m_request)
            AddViolation(
                verdict, "I4",
                "request " + event.m_request + " got '" + event.m_result + "'" + AtTime(event));
          if (!finished.contains(event.m_request))
            AddViolation(
                verdict, "I4",
                "request " + event.m_request + " was answered before it ended" + AtTime(event));
        } else if (event.m_text == "accepted") {
          const auto job = log.m_jobs.find(event.m_job);
          if (!accepted.contains(event.m_job) || job == log.m_jobs.end())
            AddViolation(verdict, "answer",
                         "request " + event.m_request + " was accepted as job " + event.m_job +
                             " that is not in the log" + AtTime(event));
          else if (job->second.m_key != asked[event.m_request].m_key)
            AddViolation(
                verdict, "I4",
                "request " + event.m_request + " got the job of another key" + AtTime(event));
          const std::string& key = asked[event.m_request].m_key;
          if (!key.empty() && accepted_keys.emplace(key, event.m_job).first->second != event.m_job)
            AddViolation(verdict, "answer",
                         "key " + key + " was accepted as two jobs" + AtTime(event));
        }
        break;
      }
      default:
        break;
    }
  }
  for (const std::string& request : not_run) {
    if (runs.contains(request) || in_log.contains(request))
      AddViolation(verdict, "I5", "request " + request + " was answered as not run, but was taken");
  }
}

void CheckJobs(const History& history, Verdict& verdict) {
  const ReplayedLog log = ReplayJobLog(history);
  std::map<std::string, std::set<std::string>> ends;  // How tasks ended on workers, by job.
  std::map<std::string, std::int64_t> last_active;    // Last activity of exclusive jobs.
  std::map<std::string, std::int64_t> active_since;
  for (const Event& event : history) {
    const auto replayed = log.m_jobs.find(event.m_job);
    switch (event.m_kind) {
      case EventKind::kTaskEnd:
        ends[event.m_job].insert(event.m_text);
        break;
      case EventKind::kTaskActive:
        if (event.m_exclusive && replayed != log.m_jobs.end() && replayed->second.m_closed &&
            replayed->second.m_outcome == "cancelled" &&
            event.m_at_us > replayed->second.m_closed_us)
          AddViolation(verdict, "answer", "cancelled job " + event.m_job + " ran" + AtTime(event));
        break;
      case EventKind::kStatusAnswered: {
        ++verdict.m_operations;
        if (replayed == log.m_jobs.end()) {
          AddViolation(verdict, "answer", "status of unknown job " + event.m_job + AtTime(event));
          break;
        }
        const ReplayedJob& job = replayed->second;
        if (event.m_text == "open") {
          break;
        }
        if (!job.m_closed || event.m_text != job.m_outcome || event.m_at_us < job.m_closed_us)
          AddViolation(verdict, "answer",
                       event.m_source + " told job " + event.m_job + " as " + event.m_text +
                           ", but it is " + (job.m_closed ? job.m_outcome : "open") +
                           AtTime(event));
        if (event.m_text == "succeeded" && event.m_result != "result of " + job.m_request)
          AddViolation(verdict, "I4",
                       "job " + event.m_job + " got '" + event.m_result + "'" + AtTime(event));
        if (event.m_text == "succeeded" && !ends[event.m_job].contains("ended"))
          AddViolation(verdict, "answer",
                       "job " + event.m_job + " succeeded without an end" + AtTime(event));
        if (event.m_text == "unknown" && !job.m_non_idempotent)
          AddViolation(verdict, "answer",
                       "idempotent job " + event.m_job + " was given up" + AtTime(event));
        break;
      }
      case EventKind::kCancelAnswered:
        ++verdict.m_operations;
        if (event.m_text == "cancelled" &&
            (replayed == log.m_jobs.end() || !replayed->second.m_closed ||
             replayed->second.m_outcome != "cancelled" ||
             event.m_at_us < replayed->second.m_closed_us))
          AddViolation(verdict, "answer",
                       "job " + event.m_job + " was told cancelled, but is not" + AtTime(event));
        break;
      default:
        break;
    }
  }
  for (const auto& [id, job] : log.m_jobs) {
    ++verdict.m_operations;
    if (!job.m_closed) AddViolation(verdict, "lost", "accepted job " + id + " never ended");
  }
}

}  // namespace ebonypin::faults
