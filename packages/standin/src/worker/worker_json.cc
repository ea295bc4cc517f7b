#include "worker_json.h"

#include <algorithm>

namespace ebonypin::standin {
namespace {

using web::json::value;

void PutId(value& json, const SimId& id) {
  json["job"] = value::string(id.first);
  json["attempt"] = value::number(id.second);
}

/// Adds how the task ended. A stopped task has the checkpoint at which it stopped.
void PutEnd(value& json, const SimTask& task) {
  json["run_us"] = value::number(
      static_cast<std::int64_t>(std::max(Duration::zero(), task.m_ended - task.m_started).count()));
  json["used"] = ResourcesToJson({.m_cpu_millis = task.m_work.m_cpu_millis});
  if (task.m_state == SimState::kEnded) {
    json["outcome"] = value::string(task.m_failed ? "failed" : "succeeded");
    json["result"] = value::string(task.m_failed ? "the task failed" : task.m_work.m_result);
  }
  if (task.m_state == SimState::kStopped) json["checkpoint"] = value::string(task.m_checkpoint);
}

std::string EndKind(const SimState state) {
  if (state == SimState::kEnded) return "ended";
  return state == SimState::kStopped ? "stopped" : "lost";
}

}  // namespace

SimId IdOf(const value& body) {
  return {body.at("job").as_string(), body.at("attempt").as_number().to_uint32()};
}

value ResourcesToJson(const core::Resources& resources) {
  value json = value::object();
  json["cpu_millis"] = value::number(resources.m_cpu_millis);
  json["memory_mb"] = value::number(resources.m_memory_mb);
  json["accelerators"] = value::number(resources.m_accelerators);
  return json;
}

value TaskToJson(const SimId& id, const SimTask& task) {
  value json = value::object();
  PutId(json, id);
  json["spec"] = value::parse(task.m_spec);
  const bool running = task.m_state == SimState::kRunning;
  json["running"] = value::boolean(running);
  if (!running) {
    json["kind"] = value::string(EndKind(task.m_state));
    PutEnd(json, task);
  }
  return json;
}

value EventToJson(const WorkerSim& sim, const SimEvent& event) {
  value json = value::object();
  json["number"] = value::number(event.m_number);
  json["kind"] = value::string(event.m_kind);
  PutId(json, event.m_task);
  const auto task = sim.m_tasks.find(event.m_task);
  if (event.m_kind != "started" && task != sim.m_tasks.end()) PutEnd(json, task->second);
  return json;
}

value HistoryToJson(const WorkerSim& sim) {
  std::vector<value> items;
  for (const auto& item : sim.m_history) {
    value json = value::object();
    json["at_us"] = value::number(static_cast<std::int64_t>(item.m_at.time_since_epoch().count()));
    json["what"] = value::string(item.m_what);
    PutId(json, item.m_id);
    items.push_back(std::move(json));
  }
  value json = value::object();
  json["history"] = value::array(items);
  return json;
}

value ApplyFaults(WorkerSim& sim, const value& body) {
  auto& faults = sim.m_faults;
  if (body.has_boolean_field("fail")) faults.m_fail = body.at("fail").as_bool();
  if (body.has_boolean_field("silent")) faults.m_silent = body.at("silent").as_bool();
  if (body.has_number_field("slow"))
    faults.m_slow = std::clamp(body.at("slow").as_double(), 0.001, 1e6);
  if (body.has_number_field("lose_answers"))
    faults.m_lose_answers = body.at("lose_answers").as_number().to_uint32();
  value json = value::object();
  json["fail"] = value::boolean(faults.m_fail);
  json["silent"] = value::boolean(faults.m_silent);
  json["slow"] = value::number(faults.m_slow);
  json["lose_answers"] = value::number(faults.m_lose_answers);
  return json;
}

}  // namespace ebonypin::standin
