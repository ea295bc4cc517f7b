#include <cpprest/http_msg.h>
#include <fmt/format.h>

#include "class_json.h"
#include "commands.h"
#include "ebonypin/config/class_file.h"
#include "table.h"

namespace ebonypin::ctl {
namespace {

using core::ClassSpec;
using web::json::value;

std::string ClassPath(const std::string& name) { return "/v1/classes/" + Encode(name); }

/// Returns `spec` without the fields that the system sets.
ClassSpec WithoutServerFields(ClassSpec spec) {
  spec.m_revision = 0;
  spec.m_accepted_offset = 0;
  return spec;
}

bool IsNotFound(const ApiOutcome& outcome) {
  return outcome.m_status == web::http::status_codes::NotFound;
}

/// Reports a failed change. After a revision conflict it also shows the current value of the class.
int ReportConflict(Context& context, const ApiOutcome& outcome, const std::string& name) {
  const auto code = ReportFailure(context, outcome, "class " + name);
  const auto current = ObjectOf(outcome.m_body, "class");
  if (code != kExitConflict) return code;
  if (current.size() == 0) {
    context.m_err << fmt::format("current: class {} does not exist\n", Printable(name));
    return code;
  }
  context.m_err << fmt::format("current: revision {}\n{}",
                               NumberOf(outcome.m_body, "current_revision"),
                               Printable(config::FormatClass(ClassFromJson(current))));
  return code;
}

std::optional<std::vector<ClassSpec>> ReadFile(Context& context, const std::string& path) {
  const auto classes = core::Capture([&] { return config::LoadClasses(path); });
  if (classes.Ok()) return *classes.m_value;
  context.m_err << classes.m_error->m_message << '\n';
  return std::nullopt;
}

int ApplyOne(Context& context, const ClassSpec& spec) {
  const auto& name = spec.m_name.m_value;
  auto base_revision = context.m_options.m_base_revision;
  if (!base_revision) {
    const auto current = Get(context, ClassPath(name));
    if (!current.Ok() && !IsNotFound(current)) {
      PrintJson(context, current);
      return ReportFailure(context, current, "class " + name);
    }
    const auto current_spec = ClassFromJson(ObjectOf(current.m_body, "class"));
    if (current.Ok() && WithoutServerFields(current_spec) == spec) {
      if (!PrintJson(context, current))
        context.m_out << fmt::format("class {}: unchanged, revision {}\n", name,
                                     current_spec.m_revision);
      return kExitOk;
    }
    base_revision = current_spec.m_revision;
  }
  auto body = value::object();
  body["base_revision"] = value::number(*base_revision);
  body["operator"] = value::string(context.m_options.m_operator);
  body["change_id"] = value::string(context.m_new_id());
  body["spec"] = ClassToJson(spec);
  // A retry is safe, since a repeated change id gets the response to its first use.
  const auto outcome = Send(context, "PUT", ClassPath(name), body, true);
  const bool printed = PrintJson(context, outcome);
  if (!outcome.Ok()) return ReportConflict(context, outcome, name);
  if (!printed) {
    const auto revision = NumberOf(ObjectOf(outcome.m_body, "class"), "revision");
    context.m_out << fmt::format("class {}: {}, revision {}\n", name,
                                 *base_revision == 0 ? "created" : "changed", revision);
  }
  return kExitOk;
}

}  // namespace

int ClassApply(Context& context, const Arguments& arguments) {
  const auto classes = ReadFile(context, arguments[0]);
  if (!classes) return kExitBadInput;
  for (std::size_t i = 0; i < classes->size(); ++i) {
    const int code = ApplyOne(context, (*classes)[i]);
    if (code == kExitOk) continue;
    if (i + 1 < classes->size()) {
      context.m_err << fmt::format(
          "{} of {} classes in the file were not applied; apply it again\n", classes->size() - i,
          classes->size());
    }
    return code;
  }
  return kExitOk;
}

int ClassCheck(Context& context, const Arguments& arguments) {
  const auto classes = ReadFile(context, arguments[0]);
  if (!classes) return kExitBadInput;
  if (context.m_options.m_json) {
    std::vector<value> list;
    for (const auto& spec : *classes) list.push_back(ClassToJson(spec));
    auto json = value::object();
    json["classes"] = value::array(list);
    context.m_out << json.serialize() << '\n';
    return kExitOk;
  }
  context.m_out << fmt::format("{}: {} classes are valid\n", arguments[0], classes->size());
  return kExitOk;
}

int ClassList(Context& context, const Arguments&) {
  const auto outcome = Get(context, "/v1/classes");
  const bool printed = PrintJson(context, outcome);
  if (!outcome.Ok()) return ReportFailure(context, outcome, "classes");
  if (printed) return kExitOk;
  std::vector<std::vector<std::string>> rows{
      {"CLASS", "TEAM", "KIND", "EXCLUSIVE", "NON-IDEMPOTENT", "TARGET", "REVISION"}};
  for (const auto& json : ListOf(outcome.m_body, "classes")) {
    const auto spec = ClassFromJson(json);
    rows.push_back({spec.m_name.m_value, spec.m_team.m_value, config::ClassKindName(spec.m_kind),
                    spec.m_exclusive ? "yes" : "no", spec.m_non_idempotent ? "yes" : "no",
                    config::FormatTarget(spec.m_target), std::to_string(spec.m_revision)});
  }
  context.m_out << FormatTable(rows);
  return kExitOk;
}

int ClassShow(Context& context, const Arguments& arguments) {
  const auto outcome = Get(context, ClassPath(arguments[0]));
  const bool printed = PrintJson(context, outcome);
  if (!outcome.Ok()) return ReportFailure(context, outcome, "class " + arguments[0]);
  if (printed) return kExitOk;
  const auto spec = ClassFromJson(ObjectOf(outcome.m_body, "class"));
  context.m_out << fmt::format("# revision {}, in force since log offset {}\n{}", spec.m_revision,
                               spec.m_accepted_offset, Printable(config::FormatClass(spec)));
  return kExitOk;
}

int ClassRemove(Context& context, const Arguments& arguments) {
  const auto& name = arguments[0];
  auto base_revision = context.m_options.m_base_revision;
  if (!base_revision) {
    const auto current = Get(context, ClassPath(name));
    if (!current.Ok()) {
      PrintJson(context, current);
      return ReportFailure(context, current, "class " + name);
    }
    base_revision = NumberOf(ObjectOf(current.m_body, "class"), "revision");
  }
  const auto path =
      fmt::format("{}?base_revision={}&operator={}&change_id={}", ClassPath(name), *base_revision,
                  Encode(context.m_options.m_operator), Encode(context.m_new_id()));
  const auto outcome = Send(context, "DELETE", path, std::nullopt, true);
  const bool printed = PrintJson(context, outcome);
  if (!outcome.Ok()) return ReportConflict(context, outcome, name);
  if (!printed) context.m_out << fmt::format("class {}: removed\n", name);
  return kExitOk;
}

}  // namespace ebonypin::ctl
