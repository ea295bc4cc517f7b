#include <cpprest/http_client.h>

#include <utility>

#include "ebonypin/platform/http_body.h"
#include "ebonypin/platform/http_caller.h"
#include "ebonypin/platform/worker_client.h"
#include "worker_codec.h"

namespace ebonypin::platform {
namespace {

using web::http::http_request;
using web::http::status_codes;
using web::json::value;

/// Parses a JSON body as a T; may throw std::exception.
template <typename T>
using Reader = std::function<T(const value&)>;

core::Error Unreadable(const std::string& what) {
  return {.m_kind = core::ErrorKind::kBadMessage,
          .m_message = "cannot read the worker's answer: " + what + "; check its version"};
}

core::Error ErrorOfStatus(const web::http::status_code status) {
  if (status == status_codes::PreconditionFailed) {
    return {.m_kind = core::ErrorKind::kStaleIncarnation,
            .m_message = "the worker restarted; list its tasks"};
  }
  return {.m_kind = core::ErrorKind::kBadMessage,
          .m_message = "the worker refused the call with status " + std::to_string(status) +
                       "; check its version"};
}

template <typename T>
core::Captured<T> Read(const core::Captured<HttpResponse>& answer, const Reader<T>& read) {
  if (!answer.Ok()) return {.m_error = answer.m_error};
  if (answer.m_value->m_status != status_codes::OK)
    return {.m_error = ErrorOfStatus(answer.m_value->m_status)};
  try {
    return {.m_value = read(value::parse(answer.m_value->m_body))};
  } catch (const std::exception& exception) {
    return {.m_error = Unreadable(exception.what())};
  }
}

/// Returns the object {"tasks":[...]}.
value TaskArray(std::vector<value> tasks) {
  value json = value::object();
  json["tasks"] = value::array(std::move(tasks));
  return json;
}

class HttpWorker final : public Worker {
 public:
  explicit HttpWorker(const HttpWorkerOptions& options)
      : m_deadline(options.m_deadline),
        m_caller(std::make_shared<HttpCaller>(options.m_url, options.m_max_connections)) {}

  void Start(const core::StartTask& task, const std::uint64_t boot,
             WorkerDone<core::TaskEvent> done) override {
    const auto id = task.m_spec.m_task;
    m_caller->Call(Post("/tasks", StartToJson(task, boot)), m_deadline,
                   [id, done = std::move(done)](const core::Captured<HttpResponse>& answer) {
                     if (answer.Ok() && answer.m_value->m_status == status_codes::Conflict) {
                       done({.m_value = core::TaskEvent{
                                 .m_kind = core::TaskEventKind::kStartRefused, .m_task = id}});
                       return;
                     }
                     done(Read<core::TaskEvent>(answer, [](const value& json) {
                       return EventOfListed(ListedTaskFromJson(json));
                     }));
                   });
  }

  void Renew(const std::vector<core::RenewTask>& tasks,
             WorkerDone<std::vector<core::TaskId>> done) override {
    std::vector<value> list;
    list.reserve(tasks.size());
    for (const auto& task : tasks) {
      auto json = TaskIdToJson(task.m_task);
      json["lease_us"] = value::number(static_cast<std::int64_t>(task.m_lease.count()));
      list.push_back(std::move(json));
    }
    CallAndRead<std::vector<core::TaskId>>(
        Post("/tasks/renew", TaskArray(std::move(list))),
        [](const value& json) {
          std::vector<core::TaskId> gone;
          for (const auto& task : json.at("gone").as_array()) gone.push_back(TaskIdFromJson(task));
          return gone;
        },
        std::move(done));
  }

  void Throttle(const core::ThrottleTask& throttle, WorkerDone<std::uint32_t> done) override {
    auto json = TaskIdToJson(throttle.m_task);
    json["share"] = value::number(throttle.m_share);
    json["version"] = value::number(throttle.m_version);
    CallAndRead<std::uint32_t>(
        Post("/tasks/throttle", json),
        [](const value& answer) { return answer.at("share").as_number().to_uint32(); },
        std::move(done));
  }

  void Checkpoint(const core::TaskId& task, WorkerDone<std::string> done) override {
    CallAndRead<std::string>(
        Post("/tasks/checkpoint", TaskIdToJson(task)),
        [](const value& answer) { return answer.at("checkpoint").as_string(); }, std::move(done));
  }

  void Stop(const core::StopTask& stop, WorkerDone<core::TaskEvent> done) override {
    auto json = TaskIdToJson(stop.m_task);
    json["checkpoint"] = value::boolean(stop.m_checkpoint);
    CallAndRead<core::TaskEvent>(
        Post("/tasks/stop", json),
        [task = stop.m_task](const value& answer) { return StopOutcomeFromJson(task, answer); },
        std::move(done));
  }

  void Forget(const std::vector<core::TaskId>& tasks, WorkerDone<core::Unit> done) override {
    std::vector<value> list;
    list.reserve(tasks.size());
    for (const auto& task : tasks) list.push_back(TaskIdToJson(task));
    CallAndRead<core::Unit>(
        Post("/tasks/forget", TaskArray(std::move(list))),
        [](const value&) { return core::Unit{}; }, std::move(done));
  }

  void List(WorkerDone<WorkerTasks> done) override {
    CallAndRead<WorkerTasks>(Get("/tasks"), TasksFromJson, std::move(done));
  }

  void Usage(WorkerDone<core::UsageReport> done) override {
    CallAndRead<core::UsageReport>(
        Get("/usage"),
        [](const value& json) {
          return core::UsageReport{
              .m_used = ResourcesFromJson(json),
              .m_lag = core::Duration{json.at("lag_us").as_number().to_int64()}};
        },
        std::move(done));
  }

  void PollEvents(const std::uint64_t after, const core::Duration wait,
                  WorkerDone<WorkerEvents> done) override {
    const auto wait_ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait);
    web::uri_builder uri("/events");
    uri.append_query("after", after).append_query("wait_ms", wait_ms.count());
    m_caller->Call(Get(uri.to_string()), wait + m_deadline,
                   [done = std::move(done)](const core::Captured<HttpResponse>& answer) {
                     done(Read<WorkerEvents>(answer, EventsFromJson));
                   });
  }

  void Serve(const EndpointCall& call, WorkerDone<std::string> done) override {
    http_request request(web::http::methods::POST);
    request.set_request_uri("/serve");
    request.headers().add("X-Request-Id", call.m_request.m_value);
    request.headers().add("X-Request-Class", call.m_class.m_value);
    SetSingleUseBody(request, call.m_payload, "text/plain; charset=utf-8");
    m_caller->Call(request, call.m_deadline,
                   [done = std::move(done)](core::Captured<HttpResponse> answer) {
                     done(ReadServed(std::move(answer)));
                   });
  }

 private:
  static http_request Get(const std::string& uri) {
    http_request request(web::http::methods::GET);
    request.set_request_uri(uri);
    return request;
  }

  static http_request Post(const std::string& uri, const value& body) {
    http_request request(web::http::methods::POST);
    request.set_request_uri(uri);
    SetSingleUseBody(request, body.serialize());
    return request;
  }

  static core::Captured<std::string> ReadServed(core::Captured<HttpResponse> answer) {
    if (!answer.Ok()) return {.m_error = answer.m_error};
    auto& http = *answer.m_value;
    if (http.m_status == status_codes::OK) {
      if (http.m_body.size() > core::kMaxResultBytes) {
        return {.m_error =
                    core::Error{.m_kind = core::ErrorKind::kTooLarge,
                                .m_message = "the result is too large; return at most " +
                                             std::to_string(core::kMaxResultBytes) + " bytes"}};
      }
      return {.m_value = std::move(http.m_body)};
    }
    // Only this header guarantees that the endpoint did not begin the work.
    if (http.m_status == status_codes::ServiceUnavailable && http.m_headers.has("X-Not-Run")) {
      return {.m_error =
                  core::Error{.m_kind = core::ErrorKind::kNoCapacity,
                              .m_message = "the endpoint has no free slot; try another worker"}};
    }
    return {.m_error = core::Error{.m_kind = core::ErrorKind::kTaskFailed,
                                   .m_message = "the endpoint failed with status " +
                                                std::to_string(http.m_status) +
                                                "; retry if the work is idempotent"}};
  }

  template <typename T>
  void CallAndRead(const http_request& request, Reader<T> read, WorkerDone<T> done) {
    m_caller->Call(
        request, m_deadline,
        [read = std::move(read), done = std::move(done)](
            const core::Captured<HttpResponse>& answer) { done(Read<T>(answer, read)); });
  }

  const core::Duration m_deadline;
  const std::shared_ptr<HttpCaller> m_caller;
};

}  // namespace

std::unique_ptr<Worker> MakeHttpWorker(const HttpWorkerOptions& options) {
  return std::make_unique<HttpWorker>(options);
}

}  // namespace ebonypin::platform
