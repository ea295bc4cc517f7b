#include "context.h"

#include <fmt/format.h>

#include <utility>

#include "table.h"

namespace ebonypin::ctl {

ApiOutcome Get(Context& context, const std::string& path) {
  return context.m_client.Call(
      {.m_path = path, .m_retry_safe = true, .m_timeout = context.m_options.m_timeout});
}

ApiOutcome Send(Context& context, const std::string& method, const std::string& path,
                std::optional<web::json::value> body, const bool retry_safe) {
  return context.m_client.Call({.m_method = method,
                                .m_path = path,
                                .m_body = std::move(body),
                                .m_retry_safe = retry_safe,
                                .m_timeout = context.m_options.m_timeout});
}

bool PrintJson(Context& context, const ApiOutcome& outcome) {
  if (!context.m_options.m_json) return false;
  if (outcome.m_status != 0) {
    context.m_out << outcome.m_body.serialize() << '\n';
    return true;
  }
  auto body = web::json::value::object();
  auto error = web::json::value::object();
  error["kind"] =
      web::json::value::string(std::string{core::ErrorKindName(outcome.m_error.m_kind)});
  error["message"] = web::json::value::string(outcome.m_error.m_message);
  body["answer"] = web::json::value::string(outcome.m_maybe_sent ? "unknown" : "not_run");
  body["error"] = error;
  context.m_out << body.serialize() << '\n';
  return true;
}

int ReportFailure(Context& context, const ApiOutcome& outcome, const std::string& what) {
  auto& err = context.m_err;
  if (outcome.m_status == 0) {
    err << fmt::format("error: {}: {}\n", what, Printable(outcome.m_error.m_message));
    if (outcome.m_maybe_sent) {
      err << "remedy: it may have taken effect; look before you repeat it\n";
      return kExitUnknown;
    }
    err << "remedy: start an entry or name one with --entry=http://ip:port[,http://ip:port]\n";
    return kExitNoEntry;
  }
  const auto error = ObjectOf(outcome.m_body, "error");
  const auto name = TextOf(error, "kind", "internal");
  const auto kind = core::ParseErrorKind(name).value_or(core::ErrorKind::kInternal);
  const bool unknown = TextOf(outcome.m_body, "answer") == "unknown";
  err << fmt::format("error: {}: {} ({}): {}\n", what, unknown ? "outcome unknown" : "not run",
                     Printable(name), Printable(TextOf(error, "message", "no message")));
  err << "remedy: " << Remedy(kind) << '\n';
  if (const auto retry = NumberOf(error, "retry_after_ms"); retry > 0)
    err << fmt::format("retry after: {} ms\n", retry);
  if (unknown) return kExitUnknown;
  return kind == core::ErrorKind::kRevisionConflict ? kExitConflict : kExitNotRun;
}

}  // namespace ebonypin::ctl
