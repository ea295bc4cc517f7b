/// JSON of the worker stand-in's HTTP interface.
#pragma once

#include <cpprest/json.h>

#include "worker_sim.h"

namespace ebonypin::standin {

/// Returns the id in a call's body. Throws web::json::json_exception when it is missing.
[[nodiscard]] SimId IdOf(const web::json::value& body);

/// Returns the task as listed: id, agent's spec, whether it runs, and its end.
[[nodiscard]] web::json::value TaskToJson(const SimId& id, const SimTask& task);

/// Returns the event, with the end of its task when it is over.
[[nodiscard]] web::json::value EventToJson(const WorkerSim& sim, const SimEvent& event);

[[nodiscard]] web::json::value ResourcesToJson(const core::Resources& resources);

[[nodiscard]] web::json::value HistoryToJson(const WorkerSim& sim);

/// Changes the faults that `body` names and returns all.
web::json::value ApplyFaults(WorkerSim& sim, const web::json::value& body);

}  // namespace ebonypin::standin
