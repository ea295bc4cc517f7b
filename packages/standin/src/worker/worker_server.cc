#include "worker_server.h"

#include <cpprest/http_msg.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <exception>
#include <utility>

#include "worker_json.h"

namespace ebonypin::standin {
namespace {

using web::http::status_codes;
using web::json::value;

constexpr Duration kMaxPoll = std::chrono::seconds{60};

Time Now() { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); }

/// Returns a number that is larger for a later process at the same address.
std::uint64_t NewBoot() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

Duration MicrosOf(const value& json) { return Duration{json.as_number().to_int64()}; }

value ErrorJson(const std::string& message) {
  value json = value::object();
  json["error"] = value::string(message);
  return json;
}

std::uint64_t QueryNumber(const std::map<std::string, std::string>& query, const char* const name) {
  std::uint64_t number = 0;
  const auto found = query.find(name);
  if (found != query.end()) {
    const auto& text = found->second;
    std::from_chars(text.data(), text.data() + text.size(), number);
  }
  return number;
}

}  // namespace

WorkerServer::WorkerServer(std::string listen, SimOptions options)
    : m_listen(std::move(listen)), m_boot(NewBoot()) {
  m_sim.m_options = options;
  m_sim.m_now = Now();
}

WorkerServer::~WorkerServer() {
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
    for (const auto& poll : m_polls) RespondText(poll.m_call, status_codes::ServiceUnavailable);
    for (const auto& [number, call] : m_serving) {
      RespondText(call, status_codes::ServiceUnavailable);
    }
  }
  m_changed.notify_all();
  if (m_thread.joinable()) m_thread.join();
}

void WorkerServer::Start() {
  m_server = StartServer(m_listen, [this](const HttpCall& call) { Handle(call); });
  m_thread = std::thread([this] { Run(); });
}

void WorkerServer::Handle(const HttpCall& call) {
  static const std::map<std::string, Operation> operations = {
      {"POST /tasks", &WorkerServer::Start},
      {"POST /tasks/renew", &WorkerServer::Renew},
      {"POST /tasks/throttle", &WorkerServer::Throttle},
      {"POST /tasks/checkpoint", &WorkerServer::Checkpoint},
      {"POST /tasks/stop", &WorkerServer::Stop},
      {"POST /tasks/forget", &WorkerServer::Forget},
      {"GET /tasks", &WorkerServer::List},
      {"GET /usage", &WorkerServer::Usage}};
  const auto what = call.m_request.m_method + " " + call.m_request.m_path;
  const auto operation = operations.find(what);
  const std::lock_guard lock(m_mutex);
  AdvanceLocked();
  // Tests set faults and read the history also while the worker is silent.
  if (what == "GET /history") {
    Respond(call, status_codes::OK, HistoryToJson(m_sim));
  } else if (what == "POST /faults") {
    Respond(call, status_codes::OK, ApplyFaults(m_sim, JsonOf(call)));
    m_changed.notify_all();
  } else if (m_sim.m_faults.m_silent) {
    return;
  } else if (operation != operations.end()) {
    HandleJson(call, operation->second);
  } else if (what == "GET /events") {
    HandlePoll(call);
  } else if (what == "POST /serve") {
    HandleServe(call);
  } else {
    Respond(call, status_codes::NotFound, ErrorJson("no such route"));
  }
}

void WorkerServer::HandleJson(const HttpCall& call, const Operation operation) {
  Answer answer;
  try {
    const bool has_body = call.m_request.m_method != web::http::methods::GET;
    answer = (this->*operation)(has_body ? JsonOf(call) : value());
  } catch (const std::exception& exception) {
    answer = {.m_status = status_codes::BadRequest, .m_body = ErrorJson(exception.what())};
  }
  ReplyLocked(call, answer);
  AnswerPollsLocked();
  m_changed.notify_all();
}

void WorkerServer::HandleServe(const HttpCall& call) {
  const auto id = call.m_request.m_headers.find("X-Request-Id");
  const auto number = ++m_last_request;
  if (!Serve(m_sim, number, id == call.m_request.m_headers.end() ? "" : id->second,
             call.m_request.m_body)) {
    if (LosesAnswerLocked()) return;
    call.m_respond(
        {.m_status = status_codes::ServiceUnavailable, .m_headers = {{"X-Not-Run", "1"}}}, {});
    return;
  }
  m_serving.emplace(number, call);
  AdvanceLocked();
  m_changed.notify_all();
}

void WorkerServer::HandlePoll(const HttpCall& call) {
  const auto query = QueryOf(call);
  const auto wait = std::chrono::milliseconds{
      static_cast<std::int64_t>(std::min<std::uint64_t>(QueryNumber(query, "wait_ms"), 60'000))};
  m_polls.push_back({.m_call = call,
                     .m_after = QueryNumber(query, "after"),
                     .m_until = m_sim.m_now + std::min<Duration>(wait, kMaxPoll)});
  AnswerPollsLocked();
  m_changed.notify_all();
}

WorkerServer::Answer WorkerServer::Start(const Json& body) {
  const auto id = IdOf(body);
  if (body.at("boot").as_number().to_uint64() != m_boot)
    return {.m_status = status_codes::PreconditionFailed,
            .m_body = ErrorJson("the worker restarted; list its tasks")};
  const SimTask task{.m_work = ParseWork(body.at("payload").as_string()),
                     .m_spec = body.at("spec").serialize()};
  const auto started =
      StartTask(m_sim, id, task, body.at("checkpoint").as_string(), MicrosOf(body.at("lease_us")));
  if (started == SimStart::kRefused)
    return {.m_status = status_codes::Conflict, .m_body = ErrorJson("the task is over")};
  return {.m_body = TaskToJson(id, m_sim.m_tasks.at(id))};
}

WorkerServer::Answer WorkerServer::Renew(const Json& body) {
  std::vector<value> gone;
  for (const auto& task : body.at("tasks").as_array())
    if (!RenewTask(m_sim, IdOf(task), MicrosOf(task.at("lease_us")))) gone.push_back(task);
  Answer answer{.m_body = value::object()};
  answer.m_body["gone"] = value::array(gone);
  return answer;
}

WorkerServer::Answer WorkerServer::Throttle(const Json& body) {
  const auto share = ThrottleTask(m_sim, IdOf(body), body.at("share").as_number().to_uint32(),
                                  body.at("version").as_number().to_uint64());
  Answer answer{.m_body = value::object()};
  answer.m_body["share"] = value::number(share);
  return answer;
}

WorkerServer::Answer WorkerServer::Checkpoint(const Json& body) {
  const auto token = CheckpointTask(m_sim, IdOf(body));
  if (!token)
    return {.m_status = status_codes::Conflict, .m_body = ErrorJson("no checkpoint is possible")};
  Answer answer{.m_body = value::object()};
  answer.m_body["checkpoint"] = value::string(*token);
  return answer;
}

WorkerServer::Answer WorkerServer::Stop(const Json& body) {
  const auto id = IdOf(body);
  Answer answer{.m_body = value::object()};
  switch (StopTask(m_sim, id, body.at("checkpoint").as_bool())) {
    case SimStop::kNeverStarted:
      answer.m_body["state"] = value::string("never_started");
      break;
    case SimStop::kCannotCheckpoint:
      answer.m_body["state"] = value::string("cannot_checkpoint");
      break;
    default:
      answer.m_body["state"] = value::string("over");
      if (const auto task = m_sim.m_tasks.find(id); task != m_sim.m_tasks.end())
        answer.m_body["task"] = TaskToJson(id, task->second);
      break;
  }
  return answer;
}

WorkerServer::Answer WorkerServer::Forget(const Json& body) {
  for (const auto& task : body.at("tasks").as_array()) ForgetTask(m_sim, IdOf(task));
  return {.m_body = value::object()};
}

WorkerServer::Answer WorkerServer::List(const Json& /*body*/) {
  std::vector<value> tasks;
  for (const auto& [id, task] : m_sim.m_tasks) tasks.push_back(TaskToJson(id, task));
  Answer answer{.m_body = value::object()};
  answer.m_body["boot"] = value::number(m_boot);
  answer.m_body["last_event"] = value::number(m_sim.m_last_event);
  answer.m_body["tasks"] = value::array(tasks);
  return answer;
}

WorkerServer::Answer WorkerServer::Usage(const Json& /*body*/) {
  Answer answer{.m_body = ResourcesToJson(LaggedUsage(m_sim))};
  answer.m_body["lag_us"] =
      value::number(static_cast<std::int64_t>(m_sim.m_options.m_usage_lag.count()));
  return answer;
}

void WorkerServer::Run() {
  std::unique_lock lock(m_mutex);
  while (!m_stopping) {
    auto next = NextChange(m_sim).value_or(Now() + kMaxPoll);
    for (const auto& poll : m_polls) next = std::min(next, poll.m_until);
    m_changed.wait_until(lock, next);
    if (m_stopping) return;
    AdvanceLocked();
    AnswerPollsLocked();
  }
}

void WorkerServer::AdvanceLocked() {
  for (auto& served : Advance(m_sim, Now())) {
    const auto found = m_serving.find(served.m_number);
    if (found == m_serving.end()) continue;
    if (!LosesAnswerLocked()) {
      RespondText(found->second, served.m_failed ? status_codes::InternalError : status_codes::OK,
                  served.m_failed ? "the work failed" : std::move(served.m_result));
    }
    m_serving.erase(found);
  }
}

void WorkerServer::AnswerPollsLocked() {
  if (m_sim.m_faults.m_silent) return;
  std::erase_if(m_polls, [this](const Poll& poll) {
    // A number from before a restart is answered at once, so that the caller notices the restart.
    if (m_sim.m_last_event == poll.m_after && m_sim.m_now < poll.m_until) return false;
    ReplyLocked(poll.m_call, {.m_body = EventsLocked(poll.m_after)});
    return true;
  });
}

value WorkerServer::EventsLocked(const std::uint64_t after) const {
  std::vector<value> events;
  for (const auto& event : m_sim.m_events)
    if (event.m_number > after) events.push_back(EventToJson(m_sim, event));
  value json = value::object();
  json["boot"] = value::number(m_boot);
  json["last_event"] = value::number(m_sim.m_last_event);
  // Older events may have been dropped; the caller then lists the tasks.
  json["gap"] =
      value::boolean(!m_sim.m_events.empty() && m_sim.m_events.front().m_number > after + 1);
  json["events"] = value::array(events);
  return json;
}

bool WorkerServer::LosesAnswerLocked() {
  auto& faults = m_sim.m_faults;
  if (faults.m_silent) return true;
  if (faults.m_lose_answers == 0) return false;
  --faults.m_lose_answers;
  return true;
}

void WorkerServer::ReplyLocked(const HttpCall& call, const Answer& answer) {
  if (!LosesAnswerLocked()) Respond(call, answer.m_status, answer.m_body);
}

}  // namespace ebonypin::standin
