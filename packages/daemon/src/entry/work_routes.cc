#include <atomic>
#include <memory>

#include "api_routes.h"
#include "json_codec.h"

namespace ebonypin::daemon {
namespace {

using namespace std::chrono_literals;
using core::AnswerKind;
using core::ErrorKind;
using web::http::status_codes;
using web::json::value;

constexpr core::Duration kDefaultDeadline = 10s;
constexpr std::uint64_t kMaxWaitMs = 30'000;

core::Error Draining() {
  return {.m_kind = ErrorKind::kDraining,
          .m_message = "this entry is shutting down; send the request to another entry",
          .m_retry_after = 1s};
}

core::Error UnknownJob(const core::JobId& job) {
  return {.m_kind = ErrorKind::kNotFound,
          .m_message = "no job '" + job.m_value + "' is known; check the id"};
}

/// Sets `spec` to the class of `request`, or returns why the request is refused.
std::optional<core::Error> Check(const EntryParts& parts, const core::WorkRequest& request,
                                 core::ClassSpec& spec) {
  if (parts.m_draining) return Draining();
  const auto found = parts.m_config.Find(request.m_class);
  if (!found && parts.m_config.Offset() == 0 && !parts.m_config_log.IsCaughtUp()) {
    // A new entry knows no classes until it has read the log or heard from a peer.
    return core::Error{.m_kind = ErrorKind::kLogUnavailable,
                       .m_message = "this entry has not read the classes yet; retry later",
                       .m_retry_after = 1s};
  }
  if (!found) {
    return core::Error{.m_kind = ErrorKind::kUnknownClass,
                       .m_message = "no class '" + request.m_class.m_value +
                                    "'; an operator creates it with PUT /v1/classes/NAME"};
  }
  if (found->m_kind == core::ClassKind::kWatch) {
    return core::Error{
        .m_kind = ErrorKind::kInvalidRequest,
        .m_message = "class '" + request.m_class.m_value + "' is of kind watch; use /v1/watches"};
  }
  spec = *found;
  return parts.m_requests.CheckNeverFits(request.m_size);
}

/// Returns the answer to a request whose job was in the state `view` when the job ended or the
/// request's deadline passed.
core::Answer AnswerOf(const JobView& view, const core::RequestId& request) {
  core::Answer answer{.m_kind = AnswerKind::kDone, .m_request = request, .m_job = view.m_job};
  const auto fail = [&](const AnswerKind kind, const ErrorKind error, std::string message) {
    answer.m_kind = kind;
    answer.m_error = core::Error{.m_kind = error, .m_message = std::move(message)};
  };
  if (!view.m_closed) {
    fail(AnswerKind::kUnknown, ErrorKind::kTimeout,
         "the deadline has passed and the job continues; query its status");
    return answer;
  }
  switch (view.m_outcome) {
    case core::JobOutcome::kSucceeded:
      answer.m_result = view.m_result;
      break;
    case core::JobOutcome::kFailed:
      fail(AnswerKind::kDone, ErrorKind::kTaskFailed, "the work ran and failed: " + view.m_result);
      break;
    case core::JobOutcome::kCancelled:
      fail(view.m_attempt == 0 ? AnswerKind::kNotRun : AnswerKind::kUnknown, ErrorKind::kCancelled,
           "the job was cancelled; send it again with another key if it is still wanted");
      break;
    case core::JobOutcome::kNeverFits:
      fail(AnswerKind::kNotRun, ErrorKind::kNeverFits,
           "no worker is large enough: " + view.m_result);
      break;
    case core::JobOutcome::kUnknown:
      fail(AnswerKind::kUnknown, ErrorKind::kDisconnected,
           "the work was started and its outcome cannot be determined; check its effect before "
           "sending it again");
      break;
  }
  return answer;
}

value JobJson(const JobView& view) {
  value json = value::object();
  json["job"] = value::string(view.m_job.m_value);
  json["id"] = value::string(view.m_request.m_value);
  json["class"] = value::string(view.m_class.m_value);
  if (!view.m_key.empty()) json["key"] = value::string(view.m_key);
  json["state"] = value::string(view.m_closed ? "closed" : view.m_assigned ? "assigned" : "queued");
  json["cancel_requested"] = value::boolean(view.m_cancel_requested);
  json["attempt"] = value::number(view.m_attempt);
  if (!view.m_agent.IsEmpty()) json["instance"] = value::string(view.m_agent.m_value);
  json["accepted_wall_ms"] = value::number(view.m_accepted_wall);
  json["accepted_offset"] = value::number(view.m_accepted_offset);
  if (view.m_closed) {
    json["outcome"] = value::string(OutcomeName(view.m_outcome));
    json["result"] = value::string(view.m_result);
    if (view.m_result_dropped) json["result_dropped"] = value::boolean(true);
  }
  return json;
}

/// Returns a function that passes its first answer to `respond` and ignores later ones.
Respond AnswerOnce(const Respond& respond) {
  return [respond, answered = std::make_shared<std::atomic_flag>()](const ApiAnswer& answer) {
    if (!answered->test_and_set()) respond(answer);
  };
}

void RunAsJob(const EntryParts& parts, core::WorkRequest request, const core::Time arrived,
              const Respond& respond) {
  const auto until = arrived + request.m_deadline.value_or(kDefaultDeadline);
  const auto id = request.m_id;
  const auto answer_once = AnswerOnce(respond);
  const auto recorded = [&jobs = parts.m_jobs, id, until,
                         answer_once](const AcceptOutcome& outcome) {
    if (outcome.m_kind != AnswerKind::kAccepted) {
      answer_once(ToApiAnswer({.m_kind = outcome.m_kind,
                               .m_request = id,
                               .m_job = outcome.m_job,
                               .m_error = outcome.m_error}));
      return;
    }
    jobs.WaitForEnd(outcome.m_job, until,
                    [id, job = outcome.m_job, answer_once](const std::optional<JobView>& view) {
                      answer_once(ToApiAnswer(AnswerOf(view.value_or(JobView{.m_job = job}), id)));
                    });
  };
  const auto job = parts.m_jobs.Accept(std::move(request), recorded);
  // The log may not answer before the caller's deadline.
  parts.m_events.At(until, [id, job, answer_once] {
    answer_once(
        ToApiAnswer({.m_kind = AnswerKind::kUnknown,
                     .m_request = id,
                     .m_job = job,
                     .m_error = core::Error{
                         .m_kind = ErrorKind::kTimeout,
                         .m_message = "the deadline has passed and the job may continue; query "
                                      "its status"}}));
  });
}

void ServeRequest(const EntryParts& parts, const ApiCall& call, const Respond& respond) {
  auto request = ReadWorkRequest(call.m_body);
  core::ClassSpec spec;
  if (const auto error = Check(parts, request, spec)) {
    return respond(
        ToApiAnswer({.m_kind = AnswerKind::kNotRun, .m_request = request.m_id, .m_error = *error}));
  }
  if (spec.m_kind != core::ClassKind::kRequest) {
    return respond(
        ToApiAnswer({.m_kind = AnswerKind::kNotRun,
                     .m_request = request.m_id,
                     .m_error = core::Error{.m_kind = ErrorKind::kInvalidRequest,
                                            .m_message = "class '" + request.m_class.m_value +
                                                         "' is of kind job; use POST /v1/jobs"}}));
  }
  if (spec.m_non_idempotent || request.m_non_idempotent) {
    request.m_non_idempotent = true;
    return RunAsJob(parts, std::move(request), call.m_arrived, respond);
  }
  parts.m_requests.Run(request, spec,
                       [respond](const core::Answer& answer) { respond(ToApiAnswer(answer)); });
}

void ServeJob(const EntryParts& parts, const ApiCall& call, const Respond& respond) {
  auto request = ReadWorkRequest(call.m_body);
  const auto id = request.m_id;
  core::ClassSpec spec;
  if (const auto error = Check(parts, request, spec)) {
    return respond(
        ToApiAnswer({.m_kind = AnswerKind::kNotRun, .m_request = id, .m_error = *error}));
  }
  request.m_non_idempotent = request.m_non_idempotent || spec.m_non_idempotent;
  parts.m_jobs.Accept(std::move(request), [id, respond](const AcceptOutcome& outcome) {
    respond(ToApiAnswer({.m_kind = outcome.m_kind,
                         .m_request = id,
                         .m_job = outcome.m_job,
                         .m_error = outcome.m_error}));
  });
}

/// Calls `use` when `job` is known. When it is not, first reads the log to its current end, since
/// another entry may just have accepted the job. Answers with an error when the job is still
/// unknown.
void WithJob(const EntryParts& parts, const core::JobId& job, const Respond& respond,
             const std::function<void()>& use) {
  if (parts.m_jobs.Find(job)) return use();
  parts.m_region_log.AwaitFresh([&jobs = parts.m_jobs, job, respond, use](const bool fresh) {
    if (jobs.Find(job)) return use();
    respond(Refusal(fresh ? UnknownJob(job) : LogUnreadable()));
  });
}

void ServeStatus(const EntryParts& parts, const ApiCall& call, const Respond& respond) {
  const core::JobId job{call.m_path_parameters[0]};
  const auto wait = QueryNumber(call, "wait_ms", 0, kMaxWaitMs);
  const auto until = call.m_arrived + std::chrono::milliseconds{wait};
  WithJob(parts, job, respond, [&jobs = parts.m_jobs, job, until, respond] {
    jobs.WaitForEnd(job, until, [job, respond](const std::optional<JobView>& view) {
      respond(view ? ApiAnswer{.m_body = JobJson(*view)} : Refusal(UnknownJob(job)));
    });
  });
}

ApiAnswer CancelAnswer(const core::JobId& job, const CancelOutcome& outcome) {
  if (outcome.m_error) {
    return outcome.m_unknown ? UnknownOutcome(*outcome.m_error) : Refusal(*outcome.m_error);
  }
  if (!outcome.m_job) return Refusal(UnknownJob(job));
  const bool closed = outcome.m_job->m_closed;
  auto answer =
      ToApiAnswer({.m_kind = closed ? AnswerKind::kDone : AnswerKind::kAccepted, .m_job = job});
  const auto view = JobJson(*outcome.m_job);
  for (const auto& [field, member] : view.as_object()) answer.m_body[field] = member;
  return answer;
}

void ServeCancel(const EntryParts& parts, const ApiCall& call, const Respond& respond) {
  const core::JobId job{call.m_path_parameters[0]};
  WithJob(parts, job, respond, [&jobs = parts.m_jobs, job, respond] {
    jobs.Cancel(
        job, [job, respond](const CancelOutcome& outcome) { respond(CancelAnswer(job, outcome)); });
  });
}

}  // namespace

void AddWorkRoutes(const EntryParts& parts) {
  using web::http::methods;
  const auto add = [&](const web::http::method& method, const std::string& path, auto serve) {
    parts.m_http.Add(method, path, [parts, serve](const ApiCall& call, const Respond& respond) {
      serve(parts, call, respond);
    });
  };
  add(methods::POST, "/v1/requests", ServeRequest);
  add(methods::POST, "/v1/jobs", ServeJob);
  add(methods::GET, "/v1/jobs/{id}", ServeStatus);
  add(methods::DEL, "/v1/jobs/{id}", ServeCancel);
}

}  // namespace ebonypin::daemon
