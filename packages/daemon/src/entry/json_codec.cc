#include "json_codec.h"

#include <cmath>
#include <limits>
#include <stdexcept>

#include "ebonypin/config/class_file.h"

namespace ebonypin::daemon {
namespace {

using namespace std::chrono_literals;
using web::json::value;

constexpr std::uint64_t kMaxMillis = 366ULL * 24 * 3600 * 1000;
constexpr std::uint64_t kMaxQuantity = 1ULL << 40U;
constexpr double kMaxThroughput = 1e9;

value Millis(const core::Duration duration) {
  return value::number(static_cast<std::int64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()));
}

core::Duration ReadMillis(const value& json, const std::string& field) {
  return std::chrono::milliseconds{static_cast<std::int64_t>(ReadNumber(json, field, kMaxMillis))};
}

std::optional<core::Duration> ReadOptionalMillis(const value& json, const std::string& field) {
  if (!json.has_field(field)) return std::nullopt;
  const auto duration = ReadMillis(json, field);
  if (duration <= 0ms) throw std::invalid_argument("'" + field + "' must be above 0");
  return duration;
}

/// Returns a number above 0 and at most `max`.
double ReadPositive(const value& json, const std::string& field, const double max) {
  const auto& member = json.at(field);
  if (!member.is_number()) throw std::invalid_argument("'" + field + "' must be a number");
  const double number = member.as_double();
  if (!std::isfinite(number) || number <= 0 || number > max) {
    throw std::invalid_argument("'" + field + "' must be above 0 and at most " +
                                std::to_string(max));
  }
  return number;
}

core::Resources ReadResources(const value& json) {
  if (!json.has_field("size")) return {};
  const auto& size = json.at("size");
  if (!size.is_object()) throw std::invalid_argument("'size' must be an object");
  const auto quantity = [&](const std::string& field) {
    return static_cast<std::int64_t>(ReadNumber(size, field, kMaxQuantity));
  };
  return {.m_cpu_millis = quantity("cpu_millis"),
          .m_memory_mb = quantity("memory_mb"),
          .m_accelerators = quantity("accelerators")};
}

core::Target ReadTarget(const value& json) {
  core::Target target;
  if (!json.has_field("target")) return target;
  const auto& in = json.at("target");
  if (!in.is_object()) throw std::invalid_argument("'target' must be an object");
  target.m_start_within = ReadOptionalMillis(in, "start_within_ms");
  target.m_finish_within = ReadOptionalMillis(in, "finish_within_ms");
  target.m_latency = ReadOptionalMillis(in, "latency_ms");
  if (in.has_field("percentile")) {
    target.m_percentile = ReadPositive(in, "percentile", 100.0);
    if (target.m_percentile >= 100.0) {
      throw std::invalid_argument("'percentile' must be below 100");
    }
  }
  if (in.has_field("throughput")) {
    target.m_throughput = ReadPositive(in, "throughput", kMaxThroughput);
  }
  return target;
}

core::ClassKind ReadKind(const value& json) {
  const auto name = ReadName(json, "kind");
  for (const auto kind :
       {core::ClassKind::kRequest, core::ClassKind::kJob, core::ClassKind::kWatch}) {
    if (name == config::ClassKindName(kind)) return kind;
  }
  throw std::invalid_argument("'kind' must be request, job or watch");
}

std::string OutcomeName(const core::ChangeOutcome outcome) {
  switch (outcome) {
    case core::ChangeOutcome::kInForce:
      return "in_force";
    case core::ChangeOutcome::kRevisionConflict:
      return "revision_conflict";
    case core::ChangeOutcome::kRepeated:
      return "repeated";
  }
  return "in_force";
}

value DrainingJson(const bool draining) {
  value json = value::object();
  json["draining"] = value::boolean(draining);
  return json;
}

}  // namespace

std::string AnswerKindName(const core::AnswerKind kind) {
  switch (kind) {
    case core::AnswerKind::kDone:
      return "done";
    case core::AnswerKind::kAccepted:
      return "accepted";
    case core::AnswerKind::kNotRun:
      return "not_run";
    case core::AnswerKind::kUnknown:
      break;
  }
  return "unknown";
}

std::string OutcomeName(const core::JobOutcome outcome) {
  switch (outcome) {
    case core::JobOutcome::kSucceeded:
      return "succeeded";
    case core::JobOutcome::kFailed:
      return "failed";
    case core::JobOutcome::kCancelled:
      return "cancelled";
    case core::JobOutcome::kNeverFits:
      return "never_fits";
    case core::JobOutcome::kUnknown:
      break;
  }
  return "unknown";
}

value ToJson(const core::Error& error) {
  value json = value::object();
  json["kind"] = value::string(std::string{core::ErrorKindName(error.m_kind)});
  json["message"] = value::string(error.m_message);
  if (error.m_retry_after > 0ms) json["retry_after_ms"] = Millis(error.m_retry_after);
  return json;
}

value ToJson(const core::Resources& resources) {
  value json = value::object();
  json["cpu_millis"] = value::number(resources.m_cpu_millis);
  json["memory_mb"] = value::number(resources.m_memory_mb);
  json["accelerators"] = value::number(resources.m_accelerators);
  return json;
}

value ToJson(const core::ClassSpec& spec) {
  value target = value::object();
  const auto& in = spec.m_target;
  if (in.m_start_within) target["start_within_ms"] = Millis(*in.m_start_within);
  if (in.m_finish_within) target["finish_within_ms"] = Millis(*in.m_finish_within);
  if (in.m_latency) {
    target["latency_ms"] = Millis(*in.m_latency);
    target["percentile"] = value::number(in.m_percentile);
  }
  if (in.m_throughput) target["throughput"] = value::number(*in.m_throughput);
  value json = value::object();
  json["name"] = value::string(spec.m_name.m_value);
  json["team"] = value::string(spec.m_team.m_value);
  json["kind"] = value::string(config::ClassKindName(spec.m_kind));
  json["exclusive"] = value::boolean(spec.m_exclusive);
  json["non_idempotent"] = value::boolean(spec.m_non_idempotent);
  json["target"] = std::move(target);
  json["revision"] = value::number(spec.m_revision);
  json["accepted_offset"] = value::number(spec.m_accepted_offset);
  return json;
}

value ToJson(const core::EntryInfo& entry) {
  value json = value::object();
  json["entry"] = value::string(entry.m_entry.m_value);
  json["incarnation"] = value::number(entry.m_incarnation);
  json["rpc"] = value::string(entry.m_rpc_address);
  json["http"] = value::string(entry.m_http_address);
  json["leaving"] = value::boolean(entry.m_leaving);
  return json;
}

value ToJson(const core::AuditEntry& change) {
  const bool is_class = change.m_subject.starts_with("class ");
  value json = value::object();
  json["offset"] = value::number(change.m_offset);
  json["wall_ms"] = value::number(change.m_wall);
  json["operator"] = value::string(change.m_operator);
  json["change_id"] = value::string(change.m_change_id);
  json["subject"] = value::string(change.m_subject);
  if (is_class) {
    if (change.m_old) json["old"] = ToJson(*change.m_old);
    if (change.m_new) json["new"] = ToJson(*change.m_new);
    json["current_revision"] = value::number(change.m_current_revision);
  } else {
    json["old"] = DrainingJson(change.m_old_draining);
    json["new"] = DrainingJson(change.m_new_draining);
  }
  json["outcome"] = value::string(OutcomeName(change.m_outcome));
  return json;
}

std::string ReadString(const value& json, const std::string& field) {
  if (!json.has_field(field)) return {};
  if (!json.at(field).is_string()) throw std::invalid_argument("'" + field + "' must be a string");
  return json.at(field).as_string();
}

std::string ReadName(const value& json, const std::string& field) {
  auto text = ReadString(json, field);
  if (text.empty() || text.size() > kMaxNameBytes) {
    throw std::invalid_argument("'" + field + "' must be a string of 1 to " +
                                std::to_string(kMaxNameBytes) + " bytes");
  }
  return text;
}

bool ReadBool(const value& json, const std::string& field, const bool default_value) {
  if (!json.has_field(field)) return default_value;
  if (!json.at(field).is_boolean()) {
    throw std::invalid_argument("'" + field + "' must be true or false");
  }
  return json.at(field).as_bool();
}

std::uint64_t ReadNumber(const value& json, const std::string& field, const std::uint64_t max) {
  if (!json.has_field(field)) return 0;
  const auto& member = json.at(field);
  if (!member.is_number() || !member.as_number().is_uint64() ||
      member.as_number().to_uint64() > max) {
    throw std::invalid_argument("'" + field + "' must be a whole number from 0 to " +
                                std::to_string(max));
  }
  return member.as_number().to_uint64();
}

core::WorkRequest ReadWorkRequest(const value& json) {
  auto key = ReadString(json, "key");
  if (key.size() > kMaxNameBytes) {
    throw std::invalid_argument("'key' must have at most " + std::to_string(kMaxNameBytes) +
                                " bytes");
  }
  return {.m_id = {ReadName(json, "id")},
          .m_class = {ReadName(json, "class")},
          .m_key = std::move(key),
          .m_deadline = ReadOptionalMillis(json, "deadline_ms"),
          .m_size = ReadResources(json),
          .m_declared_run = ReadMillis(json, "run_ms"),
          .m_non_idempotent = ReadBool(json, "non_idempotent", false),
          .m_payload = ReadString(json, "payload")};
}

core::ClassSpec ReadClassSpec(const value& json, const core::ClassName& name) {
  if (json.has_field("name") && ReadName(json, "name") != name.m_value) {
    throw std::invalid_argument("'name' differs from the name in the path");
  }
  return {.m_name = name,
          .m_team = {ReadName(json, "team")},
          .m_kind = ReadKind(json),
          .m_exclusive = ReadBool(json, "exclusive", false),
          .m_non_idempotent = ReadBool(json, "non_idempotent", false),
          .m_target = ReadTarget(json)};
}

}  // namespace ebonypin::daemon
