/// JSON of the worker's HTTP interface. Functions that read throw web::json::json_exception when a
/// field is missing or has another type.
#pragma once

#include <cpprest/json.h>

#include "ebonypin/platform/worker_client.h"

namespace ebonypin::platform {

[[nodiscard]] web::json::value TaskIdToJson(const core::TaskId& task);
[[nodiscard]] core::TaskId TaskIdFromJson(const web::json::value& json);

/// Returns the body of a start.
[[nodiscard]] web::json::value StartToJson(const core::StartTask& start, std::uint64_t boot);

[[nodiscard]] core::Resources ResourcesFromJson(const web::json::value& json);

/// Returns a task of the list. Its spec is the one that StartToJson wrote.
[[nodiscard]] core::ListedTask ListedTaskFromJson(const web::json::value& json);

/// Returns what the listed task shows: kStarted while it runs, else its end.
[[nodiscard]] core::TaskEvent EventOfListed(const core::ListedTask& task);

[[nodiscard]] core::TaskEvent EventFromJson(const web::json::value& json);

[[nodiscard]] core::TaskEvent StopOutcomeFromJson(const core::TaskId& task,
                                                  const web::json::value& json);

[[nodiscard]] WorkerTasks TasksFromJson(const web::json::value& json);

[[nodiscard]] WorkerEvents EventsFromJson(const web::json::value& json);

}  // namespace ebonypin::platform
