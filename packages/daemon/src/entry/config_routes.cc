#include "api_routes.h"
#include "json_codec.h"

namespace ebonypin::daemon {
namespace {

using core::AnswerKind;
using core::ErrorKind;
using web::json::value;

constexpr std::uint64_t kMaxRevision = 1ULL << 53U;

core::Error UnknownClass(const std::string& name) {
  return {.m_kind = ErrorKind::kUnknownClass,
          .m_message = "no class '" + name + "'; GET /v1/classes lists them"};
}

/// Returns the required query parameter `name`.
std::string QueryName(const ApiCall& call, const std::string& name) {
  const auto found = call.m_query.find(name);
  if (found == call.m_query.end() || found->second.empty() ||
      found->second.size() > kMaxNameBytes) {
    throw std::invalid_argument("'" + name + "' must be a string of 1 to " +
                                std::to_string(kMaxNameBytes) + " bytes in the query");
  }
  return found->second;
}

/// Returns the answer to a change of `subject`, a text of the form of AuditEntry::m_subject.
ApiAnswer ChangeAnswer(const std::string& subject, const ChangeResult& result) {
  if (result.m_error) {
    return result.m_unknown ? UnknownOutcome(*result.m_error) : Refusal(*result.m_error);
  }
  if (!result.m_change) {
    return UnknownOutcome({.m_kind = ErrorKind::kTimeout,
                           .m_message = "log records were lost before the change was read back; "
                                        "read the class to see whether it took effect"});
  }
  const auto& change = *result.m_change;
  if (change.m_subject != subject) {
    return Refusal({.m_kind = ErrorKind::kInvalidRequest,
                    .m_message = "the change_id was already used for a change of " +
                                 change.m_subject + "; choose a new one for each change"});
  }
  if (change.m_outcome == core::ChangeOutcome::kRevisionConflict) {
    auto answer = Refusal({.m_kind = ErrorKind::kRevisionConflict,
                           .m_message = "the class was changed in the meantime; read it and repeat "
                                        "the change with its current revision as base_revision"});
    answer.m_body["current_revision"] =
        value::number(result.m_current ? result.m_current->m_revision : 0);
    if (result.m_current) answer.m_body["class"] = ToJson(*result.m_current);
    return answer;
  }
  auto answer = ToApiAnswer({.m_kind = AnswerKind::kDone});
  answer.m_body.erase("result");
  answer.m_body["offset"] = value::number(change.m_offset);
  if (change.m_new) answer.m_body["class"] = ToJson(*change.m_new);
  return answer;
}

void ServeClasses(const EntryParts& parts, const Respond& respond) {
  const auto view = parts.m_config.View();
  value classes = value::array(view.m_classes.size());
  std::size_t i = 0;
  for (const auto& [name, spec] : view.m_classes) classes[i++] = ToJson(spec);
  value json = value::object();
  json["config_offset"] = value::number(view.m_offset);
  json["classes"] = std::move(classes);
  respond({.m_body = std::move(json)});
}

void ServeClass(const EntryParts& parts, const ApiCall& call, const Respond& respond) {
  const auto spec = parts.m_config.Find({call.m_path_parameters[0]});
  if (!spec) return respond(Refusal(UnknownClass(call.m_path_parameters[0])));
  value json = value::object();
  json["config_offset"] = value::number(parts.m_config.Offset());
  json["class"] = ToJson(*spec);
  respond({.m_body = std::move(json)});
}

void ServePut(const EntryParts& parts, const ApiCall& call, const Respond& respond) {
  const core::ClassName name{call.m_path_parameters[0]};
  if (name.m_value.size() > kMaxNameBytes || !call.m_body.has_object_field("spec")) {
    throw std::invalid_argument("a change needs 'spec' and a name of at most " +
                                std::to_string(kMaxNameBytes) + " bytes");
  }
  core::ClassPut record{.m_spec = ReadClassSpec(call.m_body.at("spec"), name),
                        .m_base_revision = ReadNumber(call.m_body, "base_revision", kMaxRevision),
                        .m_operator = ReadName(call.m_body, "operator"),
                        .m_change_id = ReadName(call.m_body, "change_id"),
                        .m_wall = WallNow()};
  parts.m_config.Change(std::move(record), [name, respond](const ChangeResult& result) {
    respond(ChangeAnswer("class " + name.m_value, result));
  });
}

void ServeRemove(const EntryParts& parts, const ApiCall& call, const Respond& respond) {
  const core::ClassName name{call.m_path_parameters[0]};
  core::ClassRemoved record{.m_name = name,
                            .m_base_revision = QueryNumber(call, "base_revision", 0, kMaxRevision),
                            .m_operator = QueryName(call, "operator"),
                            .m_change_id = QueryName(call, "change_id"),
                            .m_wall = WallNow()};
  parts.m_config.Change(std::move(record), [name, respond](const ChangeResult& result) {
    respond(ChangeAnswer("class " + name.m_value, result));
  });
}

void ServeDrain(const EntryParts& parts, const ApiCall& call, const Respond& respond) {
  const auto id = call.m_path_parameters[0];
  const bool draining = ReadBool(call.m_body, "draining", true);
  core::WorkerDrain record{.m_agent = {id},
                           .m_draining = draining,
                           .m_operator = ReadName(call.m_body, "operator"),
                           .m_change_id = ReadName(call.m_body, "change_id"),
                           .m_wall = WallNow()};
  parts.m_config.Change(std::move(record), [id, draining, respond](const ChangeResult& result) {
    auto answer = ChangeAnswer("worker " + id, result);
    if (answer.m_status == web::http::status_codes::OK) {
      answer.m_body["id"] = value::string(id);
      answer.m_body["draining"] = value::boolean(draining);
    }
    respond(answer);
  });
}

}  // namespace

void AddConfigRoutes(const EntryParts& parts) {
  using web::http::methods;
  const auto add = [&](const web::http::method& method, const std::string& path, auto serve) {
    parts.m_http.Add(method, path, [parts, serve](const ApiCall& call, const Respond& respond) {
      serve(parts, call, respond);
    });
  };
  add(methods::GET, "/v1/classes",
      [](const EntryParts& entry, const ApiCall&, const Respond& respond) {
        ServeClasses(entry, respond);
      });
  add(methods::GET, "/v1/classes/{name}", ServeClass);
  add(methods::PUT, "/v1/classes/{name}", ServePut);
  add(methods::DEL, "/v1/classes/{name}", ServeRemove);
  add(methods::PUT, "/v1/instances/{id}/drain", ServeDrain);
}

}  // namespace ebonypin::daemon
