#include <map>
#include <set>

#include "checker_parts.h"

namespace ebonypin::faults {

void CheckAnswers(const History& history, Verdict& verdict) {
  std::map<std::string, Event> asked;
  std::map<std::string, std::string> accepted;       // Request of each job's accept record.
  std::map<std::string, std::string> accepted_keys;  // Job of each key, by answer.
  std::set<std::string> in_log;                      // Requests with an accept record.
  std::set<std::string> not_run;
  std::map<std::string, int> runs;
  std::set<std::string> finished;
  const JudgedLog log = JudgeLog(history);
  for (const Event& event : history) {
    switch (event.m_kind) {
      case EventKind::kAsked:
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
          Report(verdict, "I6", "request " + event.m_request + " ran twice" + At(event));
        break;
      case EventKind::kRunEnd:
        if (event.m_text == "done") finished.insert(event.m_request);
        break;
      case EventKind::kAnswered: {
        ++verdict.m_operations;
        if (event.m_text == "not_run") {
          not_run.insert(event.m_request);
        } else if (event.m_text == "done") {
          if (event.m_result != "result of " + event.m_request)
            Report(verdict, "I4",
                   "request " + event.m_request + " got '" + event.m_result + "'" + At(event));
          if (!finished.contains(event.m_request))
            Report(verdict, "I4",
                   "request " + event.m_request + " was answered before it ended" + At(event));
        } else if (event.m_text == "accepted") {
          const auto job = log.m_jobs.find(event.m_job);
          if (!accepted.contains(event.m_job) || job == log.m_jobs.end())
            Report(verdict, "answer",
                   "request " + event.m_request + " was accepted as job " + event.m_job +
                       " that is not in the log" + At(event));
          else if (job->second.m_key != asked[event.m_request].m_key)
            Report(verdict, "I4",
                   "request " + event.m_request + " got the job of another key" + At(event));
          const std::string& key = asked[event.m_request].m_key;
          if (!key.empty() && accepted_keys.emplace(key, event.m_job).first->second != event.m_job)
            Report(verdict, "answer", "key " + key + " was accepted as two jobs" + At(event));
        }
        break;
      }
      default:
        break;
    }
  }
  for (const std::string& request : not_run) {
    if (runs.contains(request) || in_log.contains(request))
      Report(verdict, "I5", "request " + request + " was answered as not run, but was taken");
  }
}

void CheckJobs(const History& history, Verdict& verdict) {
  const JudgedLog log = JudgeLog(history);
  std::map<std::string, std::set<std::string>> ends;  // Of tasks at workers, by job.
  std::map<std::string, std::int64_t> last_active;    // Of exclusive jobs.
  std::map<std::string, std::int64_t> active_since;
  for (const Event& event : history) {
    const auto judged = log.m_jobs.find(event.m_job);
    switch (event.m_kind) {
      case EventKind::kTaskEnd:
        ends[event.m_job].insert(event.m_text);
        break;
      case EventKind::kTaskActive:
        if (event.m_exclusive && judged != log.m_jobs.end() && judged->second.m_closed &&
            judged->second.m_outcome == "cancelled" && event.m_at_us > judged->second.m_closed_us)
          Report(verdict, "answer", "cancelled job " + event.m_job + " ran" + At(event));
        break;
      case EventKind::kStatus: {
        ++verdict.m_operations;
        if (judged == log.m_jobs.end()) {
          Report(verdict, "answer", "status of unknown job " + event.m_job + At(event));
          break;
        }
        const JudgedJob& job = judged->second;
        if (event.m_text == "open") {
          break;
        }
        if (!job.m_closed || event.m_text != job.m_outcome || event.m_at_us < job.m_closed_us)
          Report(verdict, "answer",
                 event.m_place + " told job " + event.m_job + " as " + event.m_text +
                     ", but it is " + (job.m_closed ? job.m_outcome : "open") + At(event));
        if (event.m_text == "succeeded" && event.m_result != "result of " + job.m_request)
          Report(verdict, "I4", "job " + event.m_job + " got '" + event.m_result + "'" + At(event));
        if (event.m_text == "succeeded" && !ends[event.m_job].contains("ended"))
          Report(verdict, "answer", "job " + event.m_job + " succeeded without an end" + At(event));
        if (event.m_text == "unknown" && !job.m_non_idempotent)
          Report(verdict, "answer", "idempotent job " + event.m_job + " was given up" + At(event));
        break;
      }
      case EventKind::kCancelAnswered:
        ++verdict.m_operations;
        if (event.m_text == "cancelled" &&
            (judged == log.m_jobs.end() || !judged->second.m_closed ||
             judged->second.m_outcome != "cancelled" || event.m_at_us < judged->second.m_closed_us))
          Report(verdict, "answer",
                 "job " + event.m_job + " was told cancelled, but is not" + At(event));
        break;
      default:
        break;
    }
  }
  for (const auto& [id, job] : log.m_jobs) {
    ++verdict.m_operations;
    if (!job.m_closed) Report(verdict, "lost", "accepted job " + id + " never ended");
  }
}

}  // namespace ebonypin::faults
