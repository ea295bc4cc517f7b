/// HTTP server of the worker stand-in.
///
///     POST /serve              the endpoint; headers X-Request-Id, X-Request-Class
///     GET  /tasks              {"boot","last_event","tasks":[...]}
///     POST /tasks              start:
///     {"boot","job","attempt","lease_us","spec","checkpoint","payload"} POST /tasks/renew
///     {"tasks":[{"job","attempt","lease_us"}]} POST /tasks/throttle
///     {"job","attempt","share","version"} POST /tasks/checkpoint   {"job","attempt"} POST
///     /tasks/stop         {"job","attempt","checkpoint"} POST /tasks/forget
///     {"tasks":[{"job","attempt"}]} GET  /events             ?after=NUMBER&wait_ms=N, long poll
///     GET  /usage              as it was the lag ago
///     GET  /history            every start and end
///     POST /faults             {"fail","silent","slow","lose_answers"}
#pragma once

#include <cpprest/http_listener.h>

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "ebonypin/platform/call_gate.h"
#include "worker_sim.h"

namespace ebonypin::standin {

class WorkerServer {
 public:
  WorkerServer(const std::string& listen, SimOptions options);
  ~WorkerServer();
  WorkerServer(const WorkerServer&) = delete;
  WorkerServer& operator=(const WorkerServer&) = delete;

  void Start();

 private:
  using Request = web::http::http_request;
  using Json = web::json::value;
  struct Answer {
    web::http::status_code m_status = 200;
    Json m_body;
  };
  using Call = Answer (WorkerServer::*)(const Json& body);
  struct Poll {
    Request m_request;
    std::uint64_t m_after = 0;
    Time m_until;
  };

  void Handle(const Request& request);
  void HandleJson(Request request, Call call);
  void HandleServe(Request request);
  void HandlePoll(const Request& request);
  Answer Start(const Json& body);
  Answer Renew(const Json& body);
  Answer Throttle(const Json& body);
  Answer Checkpoint(const Json& body);
  Answer Stop(const Json& body);
  Answer Forget(const Json& body);
  Answer List(const Json& body);
  Answer Usage(const Json& body);

  void Run();
  void AdvanceLocked();
  void AnswerPollsLocked();
  Json EventsLocked(std::uint64_t after) const;
  /// Sends the answer, or keeps the call unanswered when a fault says so.
  void ReplyLocked(const Request& request, const web::http::http_response& response);
  void ReplyLocked(const Request& request, const Answer& answer);

  const std::shared_ptr<platform::CallGate> m_gate = std::make_shared<platform::CallGate>();
  web::http::experimental::listener::http_listener m_listener;
  const std::uint64_t m_boot;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  WorkerSim m_sim;
  std::map<std::uint64_t, Request> m_serving;
  std::uint64_t m_last_request = 0;
  std::vector<Poll> m_polls;
  std::vector<Request> m_unanswered;  ///< Kept open, as a silent process would.
  bool m_stopping = false;
  std::thread m_thread;
};

}  // namespace ebonypin::standin
