/// JSON codec of the worker's HTTP interface. The decoding functions throw
/// web::json::json_exception when a field is missing or has the wrong type.
#pragma once

#include <cpprest/json.h>

#include "ebonypin/platform/worker_client.h"

namespace ebonypin::platform {

[[nodiscard]] web::json::value TaskIdToJson(const core::TaskId& task);
[[nodiscard]] core::TaskId TaskIdFromJson(const web::json::value& json);

/// Returns the body of a request that starts a task.
[[nodiscard]] web::json::value StartToJson(const core::StartTask& start, std::uint64_t boot);

[[nodiscard]] core::Resources ResourcesFromJson(const web::json::value& json);

/// Returns one task of the worker's list. Its spec is the one that StartToJson wrote.
[[nodiscard]] core::ListedTask ListedTaskFromJson(const web::json::value& json);

/// Returns the event that describes the state of a listed task: kStarted while it runs, else its
/// end.
[[nodiscard]] core::TaskEvent EventOfListed(const core::ListedTask& task);

[[nodiscard]] core::TaskEvent EventFromJson(const web::json::value& json);

[[nodiscard]] core::TaskEvent StopOutcomeFromJson(const core::TaskId& task,
                                                  const web::json::value& json);

[[nodiscard]] WorkerTasks TasksFromJson(const web::json::value& json);

[[nodiscard]] WorkerEvents EventsFromJson(const web::json::value& json);

}  // namespace ebonypin::platform
