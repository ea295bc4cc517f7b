#include <fmt/format.h>

#include <algorithm>

#include "commands.h"
#include "table.h"

namespace ebonypin::ctl {
namespace {

using namespace std::chrono_literals;
using web::json::value;

constexpr core::Duration kLongPollTimeout = 10s;
constexpr core::Duration kRetryInterval = 1s;
// Same as the entry's default for requests without a deadline; see docs/http_api.md.
constexpr core::Duration kDefaultRequestDeadline = 10s;

std::string JobPath(const std::string& job) { return "/v1/jobs/" + Encode(job); }

value WorkBody(Context& context, const std::string& key) {
  const auto& options = context.m_options;
  auto body = value::object();
  body["id"] = value::string(options.m_id.empty() ? context.m_new_id() : options.m_id);
  body["class"] = value::string(options.m_class);
  if (!key.empty()) body["key"] = value::string(key);
  if (options.m_deadline) body["deadline_ms"] = value::number(core::ToMillis(*options.m_deadline));
  if (options.m_run) body["run_ms"] = value::number(core::ToMillis(*options.m_run));
  if (options.m_size != core::Resources{}) {
    auto size = value::object();
    size["cpu_millis"] = value::number(options.m_size.m_cpu_millis);
    size["memory_mb"] = value::number(options.m_size.m_memory_mb);
    size["accelerators"] = value::number(options.m_size.m_accelerators);
    body["size"] = size;
  }
  if (options.m_non_idempotent) body["non_idempotent"] = value::boolean(true);
  body["payload"] = value::string(options.m_payload);
  return body;
}

bool HasClass(Context& context) {
  if (!context.m_options.m_class.empty()) return true;
  context.m_err << "error: no class; pass --class=NAME, see 'ebonypinctl class list'\n";
  return false;
}

std::string JobLine(const value& job) {
  std::string line = fmt::format("job {}: {}", TextOf(job, "job"), TextOf(job, "state"));
  if (const auto outcome = TextOf(job, "outcome"); !outcome.empty()) line += ", " + outcome;
  if (const auto attempt = NumberOf(job, "attempt"); attempt > 0)
    line += fmt::format(", attempt {}", attempt);
  if (const auto instance = TextOf(job, "instance"); !instance.empty()) line += " on " + instance;
  if (IsTrue(job, "cancel_requested") && TextOf(job, "state") != "closed")
    line += ", cancel requested";
  return Printable(line);
}

bool IsClosed(const value& job) { return TextOf(job, "state") == "closed"; }

/// Polls `job` until it is closed and reports each change of its state.
ApiOutcome WaitUntilClosed(Context& context, const std::string& job) {
  std::string last_line;
  // Polling goes on while the entries restart, for at most the timeout of one call.
  auto retry_time_left = context.m_options.m_timeout;
  while (true) {
    auto outcome = context.m_client.Call(
        {.m_path = fmt::format("{}?wait_ms={:.0f}", JobPath(job), core::ToMillis(kLongPollTimeout)),
         .m_retry_safe = true,
         .m_timeout = context.m_options.m_timeout + kLongPollTimeout});
    const bool is_lost = outcome.m_status == 0 && retry_time_left > 0s;
    if (!outcome.Ok() && !is_lost) return outcome;
    if (is_lost) {
      retry_time_left -= kRetryInterval;
      context.m_err << "no answer, asking again\n";
      context.m_sleep(kRetryInterval);
      continue;
    }
    retry_time_left = context.m_options.m_timeout;
    const auto line = JobLine(outcome.m_body);
    if (line != last_line) context.m_err << line << std::endl;
    last_line = line;
    if (IsClosed(outcome.m_body)) return outcome;
  }
}

/// Prints the result of a closed job, or the reason why there is no result.
int ReportResult(Context& context, const ApiOutcome& outcome, const std::string& job) {
  const bool printed = PrintJson(context, outcome);
  if (!outcome.Ok()) return ReportFailure(context, outcome, "job " + job);
  if (!IsClosed(outcome.m_body)) {
    context.m_err << JobLine(outcome.m_body)
                  << "\nerror: it has not ended; pass --wait or ask again later\n";
    return kExitNotRun;
  }
  const auto job_outcome = TextOf(outcome.m_body, "outcome");
  const bool is_dropped = IsTrue(outcome.m_body, "result_dropped");
  if (!printed && !is_dropped) {
    const auto result = TextOf(outcome.m_body, "result");
    context.m_out << result << (result.empty() || result.back() == '\n' ? "" : "\n");
  }
  if (is_dropped)
    context.m_err << "error: the entry no longer keeps this result; the log still holds it\n";
  if (job_outcome == "succeeded") return is_dropped ? kExitNotRun : kExitOk;
  context.m_err << fmt::format("job {}: {}\n", Printable(job), Printable(job_outcome));
  if (job_outcome == "unknown") {
    context.m_err << "remedy: the work may have run once; check its effect before you submit it "
                     "again\n";
    return kExitUnknown;
  }
  return kExitJobEnded;
}

}  // namespace

int Request(Context& context, const Arguments&) {
  if (!HasClass(context)) return kExitUsage;
  const auto& options = context.m_options;
  const auto outcome = context.m_client.Call(
      {.m_method = "POST",
       .m_path = "/v1/requests",
       .m_body = WorkBody(context, options.m_key),
       // Even for an idempotent class, only the caller can decide whether to run the work again.
       .m_retry_safe = false,
       .m_timeout = options.m_timeout + options.m_deadline.value_or(kDefaultRequestDeadline)});
  const bool printed = PrintJson(context, outcome);
  if (!outcome.Ok()) {
    const int code = ReportFailure(context, outcome, "request");
    if (const auto job = TextOf(outcome.m_body, "job"); !job.empty())
      context.m_err << "job: " << Printable(job) << " (ask with 'ebonypinctl job result')\n";
    return code;
  }
  if (outcome.m_body.has_field("error")) {
    const auto error = ObjectOf(outcome.m_body, "error");
    context.m_err << "error: request: the work ran and failed: "
                  << Printable(TextOf(error, "message")) << '\n';
    return kExitJobEnded;
  }
  if (!printed) {
    const auto result = TextOf(outcome.m_body, "result");
    context.m_out << result << (result.empty() || result.back() == '\n' ? "" : "\n");
  }
  return kExitOk;
}

int JobSubmit(Context& context, const Arguments&) {
  if (!HasClass(context)) return kExitUsage;
  // With an idempotency key, a repeated submission returns the first job, so that failing over to
  // the next entry is safe.
  const auto key = context.m_options.m_key.empty() ? context.m_new_id() : context.m_options.m_key;
  const auto outcome = Send(context, "POST", "/v1/jobs", WorkBody(context, key), true);
  const auto job = TextOf(outcome.m_body, "job");
  if (!outcome.Ok()) {
    PrintJson(context, outcome);
    const int code = ReportFailure(context, outcome, "job");
    if (code == kExitUnknown)
      context.m_err << fmt::format("key: {} (submit again with --key={} to get the same job)\n",
                                   key, key);
    return code;
  }
  if (context.m_options.m_wait) {
    context.m_err << fmt::format("job {}: accepted\n", Printable(job));
    return ReportResult(context, WaitUntilClosed(context, job), job);
  }
  if (!PrintJson(context, outcome)) context.m_out << job << '\n';
  return kExitOk;
}

int JobStatus(Context& context, const Arguments& arguments) {
  const auto outcome = context.m_options.m_wait ? WaitUntilClosed(context, arguments[0])
                                                : Get(context, JobPath(arguments[0]));
  const bool printed = PrintJson(context, outcome);
  if (!outcome.Ok()) return ReportFailure(context, outcome, "job " + arguments[0]);
  if (!printed) context.m_out << JobLine(outcome.m_body) << '\n';
  return kExitOk;
}

int JobResult(Context& context, const Arguments& arguments) {
  const auto outcome = context.m_options.m_wait ? WaitUntilClosed(context, arguments[0])
                                                : Get(context, JobPath(arguments[0]));
  return ReportResult(context, outcome, arguments[0]);
}

int JobCancel(Context& context, const Arguments& arguments) {
  const auto outcome = Send(context, "DELETE", JobPath(arguments[0]), std::nullopt, true);
  const bool printed = PrintJson(context, outcome);
  if (!outcome.Ok()) return ReportFailure(context, outcome, "job " + arguments[0]);
  if (printed) return kExitOk;
  if (TextOf(outcome.m_body, "answer") == "accepted") {
    context.m_out << fmt::format("job {}: cancel requested, its attempt is being stopped\n",
                                 arguments[0]);
  } else {
    context.m_out << fmt::format("job {}: {}\n", arguments[0],
                                 Printable(TextOf(outcome.m_body, "outcome", "cancelled")));
  }
  return kExitOk;
}

int Watch(Context& context, const Arguments& arguments) {
  const auto& options = context.m_options;
  auto cursor = options.m_cursor;
  std::uint64_t printed = 0;
  for (bool first = true;; first = false) {
    const auto path = fmt::format("/v1/watches/{}?cursor={}&wait_ms={:.0f}", Encode(arguments[0]),
                                  cursor, core::ToMillis(kLongPollTimeout));
    const auto outcome = context.m_client.Call(
        {.m_path = path, .m_retry_safe = true, .m_timeout = options.m_timeout + kLongPollTimeout});
    if (!outcome.Ok()) {
      // Polling again from the cursor misses no update, so the watch continues while the entries
      // restart.
      if (!first && outcome.m_status == 0) {
        context.m_err << "no answer, asking again from cursor " << cursor << '\n';
        context.m_sleep(kRetryInterval);
        continue;
      }
      PrintJson(context, outcome);
      return ReportFailure(context, outcome, "watch " + arguments[0]);
    }
    if (IsTrue(outcome.m_body, "gap")) {
      context.m_err << fmt::format("warning: updates after cursor {} are no longer kept\n", cursor);
    }
    for (const auto& update : ListOf(outcome.m_body, "updates")) {
      const auto sequence = NumberOf(update, "sequence");
      if (options.m_json) {
        context.m_out << update.serialize() << std::endl;
      } else {
        context.m_out << Printable(fmt::format("{}  {}  {}", sequence, TextOf(update, "update_id"),
                                               TextOf(update, "value")))
                      << std::endl;
      }
      if (++printed == options.m_count) return kExitOk;
    }
    cursor = std::max(cursor, NumberOf(outcome.m_body, "cursor"));
  }
}

}  // namespace ebonypin::ctl
