/// Stand-in for the advice service of the users' platform.
///
/// It handles one call at a time, in the order of arrival, for a fixed time and a time for each
/// worker named, and refuses calls while 32 are waiting. Every worker may run every step. A ticket
/// names its step, its worker and the end of its validity, which the worker stand-in checks.
///
///     POST /advise                        as the platform's pages describe it
///     GET  /sim                           -> {"answered": n, "refused": n}
///     POST /faults {"silent": true}       calls wait until {"silent": false}
#include <cpprest/http_msg.h>
#include <gflags/gflags.h>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

#include "ebonypin/standin/standin.h"
#include "http_call.h"
#include "ticket.h"

DEFINE_int64(advice_decide_ms, 100, "advice: time for a call");
DEFINE_int64(advice_period_ms, 10, "advice: time for each worker that a call names");
DEFINE_int64(advice_valid_ms, 3000, "advice: validity of a ticket, from the answer");

namespace ebonypin::standin {
namespace {

using web::http::status_codes;
using web::json::value;

constexpr std::size_t kMaxWaiting = 32;

class AdviceStandin final : public Standin {
 public:
  explicit AdviceStandin(std::string listen) : m_listen(std::move(listen)) {}

  ~AdviceStandin() override {
    {
      const std::lock_guard lock(m_mutex);
      m_stopping = true;
    }
    m_changed.notify_all();
    if (m_handler.joinable()) m_handler.join();
  }

  void Start() override {
    m_server = StartServer(m_listen, [this](const HttpCall& call) { Serve(call); });
    m_handler = std::thread([this] { HandleCalls(); });
  }

 private:
  struct AdviceCall {
    HttpCall m_call;
    value m_body;
  };

  void Serve(const HttpCall& call) {
    if (call.m_request.m_method == web::http::methods::GET) {
      const std::lock_guard lock(m_mutex);
      value json = value::object();
      json["answered"] = value::number(m_answered);
      json["refused"] = value::number(m_refused);
      Respond(call, status_codes::OK, json);
      return;
    }
    Take(call, JsonOf(call));
  }

  void Take(const HttpCall& call, const value& body) {
    const std::lock_guard lock(m_mutex);
    if (call.m_request.m_path == "/faults") {
      m_silent = body.at("silent").as_bool();
      RespondText(call, status_codes::OK);
    } else if (m_calls.size() >= kMaxWaiting) {
      ++m_refused;
      RespondText(call, status_codes::TooManyRequests);
    } else {
      (void)body.at("Workers").as_array();
      m_calls.push_back({.m_call = call, .m_body = body});
    }
    m_changed.notify_all();
  }

  void HandleCalls() {
    std::unique_lock lock(m_mutex);
    while (true) {
      m_changed.wait(lock, [this] { return m_stopping || (!m_silent && !m_calls.empty()); });
      if (m_stopping) return;
      const auto workers = static_cast<std::int64_t>(m_calls.front().m_body.at("Workers").size());
      const std::chrono::milliseconds time{FLAGS_advice_decide_ms +
                                           FLAGS_advice_period_ms * workers};
      if (m_changed.wait_for(lock, time, [this] { return m_stopping; })) return;
      Answer(m_calls.front());
      m_calls.pop_front();
      ++m_answered;
    }
  }

  static void Answer(const AdviceCall& call) {
    const auto until =
        std::chrono::steady_clock::now() + std::chrono::milliseconds{FLAGS_advice_valid_ms};
    std::vector<value> good;
    for (const auto& worker : call.m_body.at("Workers").as_array()) {
      const auto ticket = MakeTicket(call.m_body.at("Step").as_string(), worker.as_string(), until);
      good.push_back(value::array({worker, value::string(ticket)}));
    }
    value json = value::object();
    json["Good"] = value::array(std::move(good));
    json["ValidMs"] = value::number(FLAGS_advice_valid_ms);
    Respond(call.m_call, status_codes::OK, json);
  }

  const std::string m_listen;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::deque<AdviceCall> m_calls;  ///< Waiting and in progress.
  std::uint64_t m_answered = 0;
  std::uint64_t m_refused = 0;
  bool m_silent = false;
  bool m_stopping = false;
  std::thread m_handler;
  /// Last, so that it stops before what its handler uses.
  std::unique_ptr<http::Server> m_server;
};

const bool kRegistered = RegisterStandin(
    "advice", [](const std::string& listen) { return std::make_unique<AdviceStandin>(listen); });

}  // namespace
}  // namespace ebonypin::standin
