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

#include <cpprest/json.h>

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http_call.h"
#include "worker_sim.h"

namespace ebonypin::standin {

class WorkerServer {
 public:
  WorkerServer(std::string listen, SimOptions options);
  ~WorkerServer();
  WorkerServer(const WorkerServer&) = delete;
  WorkerServer& operator=(const WorkerServer&) = delete;

  void Start();

 private:
  using Json = web::json::value;
  struct Answer {
    unsigned m_status = 200;
    Json m_body;
  };
  using Operation = Answer (WorkerServer::*)(const Json& body);
  struct Poll {
    HttpCall m_call;
    std::uint64_t m_after = 0;
    Time m_until;
  };

  void Handle(const HttpCall& call);
  void HandleJson(const HttpCall& call, Operation operation);
  void HandleServe(const HttpCall& call);
  void HandlePoll(const HttpCall& call);
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
  /// Returns whether a fault says that the next answer is not sent.
  bool LosesAnswerLocked();
  void ReplyLocked(const HttpCall& call, const Answer& answer);

  const std::string m_listen;
  const std::uint64_t m_boot;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  WorkerSim m_sim;
  std::map<std::uint64_t, HttpCall> m_serving;
  std::uint64_t m_last_request = 0;
  std::vector<Poll> m_polls;
  bool m_stopping = false;
  std::thread m_thread;
  /// Last, so that it stops before what its handler uses.
  std::unique_ptr<http::Server> m_server;
};

}  // namespace ebonypin::standin
