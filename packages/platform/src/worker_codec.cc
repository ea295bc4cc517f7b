#include "worker_codec.h"

#include <map>

namespace ebonypin::platform {
namespace {

using web::json::value;

value ResourcesToJson(const core::Resources& resources) {
  value json = value::object();
  json["cpu_millis"] = value::number(resources.m_cpu_millis);
  json["memory_mb"] = value::number(resources.m_memory_mb);
  json["accelerators"] = value::number(resources.m_accelerators);
  return json;
}

value DurationToJson(const core::Duration duration) {
  return value::number(static_cast<std::int64_t>(duration.count()));
}

core::Duration DurationFromJson(const value& json) {
  return core::Duration{json.as_number().to_int64()};
}

core::TaskEventKind KindFromText(const std::string& text) {
  static const std::map<std::string, core::TaskEventKind> kinds = {
      {"started", core::TaskEventKind::kStarted},
      {"ended", core::TaskEventKind::kEnded},
      {"stopped", core::TaskEventKind::kStopped},
      {"lost", core::TaskEventKind::kLost}};
  const auto found = kinds.find(text);
  if (found == kinds.end()) throw web::json::json_exception("unknown kind of task event");
  return found->second;
}

core::TaskEvent EndFromJson(const value& json) {
  core::TaskEvent event{.m_kind = KindFromText(json.at("kind").as_string()),
                        .m_task = TaskIdFromJson(json)};
  if (json.has_string_field("outcome")) {
    event.m_outcome = json.at("outcome").as_string() == "succeeded" ? core::JobOutcome::kSucceeded
                                                                    : core::JobOutcome::kFailed;
  }
  if (json.has_string_field("result")) event.m_result = json.at("result").as_string();
  if (json.has_string_field("checkpoint")) event.m_checkpoint = json.at("checkpoint").as_string();
  if (json.has_field("run_us")) event.m_run_time = DurationFromJson(json.at("run_us"));
  if (json.has_field("used")) event.m_used = ResourcesFromJson(json.at("used"));
  return event;
}

}  // namespace

value TaskIdToJson(const core::TaskId& task) {
  value json = value::object();
  json["job"] = value::string(task.m_job.m_value);
  json["attempt"] = value::number(task.m_attempt);
  return json;
}

core::TaskId TaskIdFromJson(const value& json) {
  return {.m_job = {json.at("job").as_string()},
          .m_attempt = json.at("attempt").as_number().to_uint32()};
}

value StartToJson(const core::StartTask& start, const std::uint64_t boot) {
  value spec = value::object();
  spec["epoch"] = value::number(start.m_spec.m_epoch);
  spec["class"] = value::string(start.m_spec.m_class.m_value);
  spec["size"] = ResourcesToJson(start.m_spec.m_size);
  spec["expected_run_us"] = DurationToJson(start.m_spec.m_expected_run);
  spec["exclusive"] = value::boolean(start.m_spec.m_exclusive);
  value json = TaskIdToJson(start.m_spec.m_task);
  json["boot"] = value::number(boot);
  json["lease_us"] = DurationToJson(start.m_lease);
  json["checkpoint"] = value::string(start.m_checkpoint);
  json["payload"] = value::string(start.m_payload);
  json["spec"] = spec;
  return json;
}

core::Resources ResourcesFromJson(const value& json) {
  return {.m_cpu_millis = json.at("cpu_millis").as_number().to_int64(),
          .m_memory_mb = json.at("memory_mb").as_number().to_int64(),
          .m_accelerators = json.at("accelerators").as_number().to_int64()};
}

core::ListedTask ListedTaskFromJson(const value& json) {
  const auto& spec = json.at("spec");
  core::ListedTask task{.m_spec = {.m_task = TaskIdFromJson(json),
                                   .m_epoch = spec.at("epoch").as_number().to_uint64(),
                                   .m_class = {spec.at("class").as_string()},
                                   .m_size = ResourcesFromJson(spec.at("size")),
                                   .m_expected_run = DurationFromJson(spec.at("expected_run_us")),
                                   .m_exclusive = spec.at("exclusive").as_bool()},
                        .m_running = json.at("running").as_bool()};
  if (!task.m_running) task.m_end = EndFromJson(json);
  return task;
}

core::TaskEvent EventOfListed(const core::ListedTask& task) {
  if (!task.m_running) return task.m_end;
  return {.m_kind = core::TaskEventKind::kStarted, .m_task = task.m_spec.m_task};
}

core::TaskEvent EventFromJson(const value& json) { return EndFromJson(json); }

core::TaskEvent StopOutcomeFromJson(const core::TaskId& task, const value& json) {
  const auto& state = json.at("state").as_string();
  if (state == "never_started")
    return {.m_kind = core::TaskEventKind::kStartRefused, .m_task = task};
  if (state == "cannot_checkpoint")
    return {.m_kind = core::TaskEventKind::kCheckpointFailed, .m_task = task};
  // The worker has already dropped its record of the task, so its end is not known.
  if (!json.has_field("task")) return {.m_kind = core::TaskEventKind::kLost, .m_task = task};
  return EventOfListed(ListedTaskFromJson(json.at("task")));
}

WorkerTasks TasksFromJson(const value& json) {
  WorkerTasks tasks{.m_position = {.m_boot = json.at("boot").as_number().to_uint64(),
                                   .m_event = json.at("last_event").as_number().to_uint64()}};
  for (const auto& task : json.at("tasks").as_array())
    tasks.m_tasks.push_back(ListedTaskFromJson(task));
  return tasks;
}

WorkerEvents EventsFromJson(const value& json) {
  WorkerEvents events{.m_position = {.m_boot = json.at("boot").as_number().to_uint64(),
                                     .m_event = json.at("last_event").as_number().to_uint64()},
                      .m_gap = json.at("gap").as_bool()};
  for (const auto& event : json.at("events").as_array())
    events.m_events.push_back(EventFromJson(event));
  return events;
}

}  // namespace ebonypin::platform
