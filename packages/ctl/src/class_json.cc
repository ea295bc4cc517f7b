#include "class_json.h"

#include <cmath>
#include <optional>
#include <string>

#include "api_client.h"
#include "ebonypin/config/class_file.h"

namespace ebonypin::ctl {
namespace {

using web::json::value;

constexpr double kMicrosPerMilli = 1000.0;

void PutMillis(value& object, const std::string& name, const std::optional<core::Duration>& time) {
  if (time) object[name] = value::number(core::ToMillis(*time));
}

std::optional<double> Number(const value& object, const std::string& name) {
  if (!object.has_number_field(name)) return std::nullopt;
  return object.at(name).as_number().to_double();
}

std::optional<core::Duration> Millis(const value& object, const std::string& name) {
  const auto number = Number(object, name);
  if (!number) return std::nullopt;
  return core::Duration{std::llround(*number * kMicrosPerMilli)};
}

}  // namespace

value ClassToJson(const core::ClassSpec& spec) {
  value target = value::object();
  PutMillis(target, "start_within_ms", spec.m_target.m_start_within);
  PutMillis(target, "finish_within_ms", spec.m_target.m_finish_within);
  PutMillis(target, "latency_ms", spec.m_target.m_latency);
  if (spec.m_target.m_latency) target["percentile"] = value::number(spec.m_target.m_percentile);
  if (spec.m_target.m_throughput) target["throughput"] = value::number(*spec.m_target.m_throughput);
  value json = value::object();
  json["name"] = value::string(spec.m_name.m_value);
  json["team"] = value::string(spec.m_team.m_value);
  json["kind"] = value::string(config::ClassKindName(spec.m_kind));
  json["exclusive"] = value::boolean(spec.m_exclusive);
  json["non_idempotent"] = value::boolean(spec.m_non_idempotent);
  json["target"] = target;
  return json;
}

core::ClassSpec ClassFromJson(const value& json) {
  const auto target = ObjectOf(json, "target");
  core::ClassSpec spec{.m_name = {TextOf(json, "name")},
                       .m_team = {TextOf(json, "team")},
                       .m_exclusive = IsTrue(json, "exclusive"),
                       .m_non_idempotent = IsTrue(json, "non_idempotent"),
                       .m_revision = NumberOf(json, "revision"),
                       .m_accepted_offset = NumberOf(json, "accepted_offset")};
  for (const auto kind :
       {core::ClassKind::kRequest, core::ClassKind::kJob, core::ClassKind::kWatch}) {
    if (config::ClassKindName(kind) == TextOf(json, "kind")) spec.m_kind = kind;
  }
  spec.m_target.m_start_within = Millis(target, "start_within_ms");
  spec.m_target.m_finish_within = Millis(target, "finish_within_ms");
  spec.m_target.m_latency = Millis(target, "latency_ms");
  if (const auto percentile = Number(target, "percentile"))
    spec.m_target.m_percentile = *percentile;
  spec.m_target.m_throughput = Number(target, "throughput");
  return spec;
}

}  // namespace ebonypin::ctl
