/// Stand-in for a worker of the users' platform, which reports to its agent and runs tasks.
///
/// It serves /run-start, /run-stop, /hold and /pace as the platform's pages describe them, and
///
///     GET  /sim                           -> {"starts": n, "running": n, "born": n,
///                                             "refused_tickets": n}
///     GET  /sim/runs                      -> [{"Task": s, "Run": n, "StartedUs": n, "EndedUs": n,
///                                              "How": s, "Acknowledged": b}], newest runs of this
///                                            life on the steady clock; no EndedUs while at work
///     POST /faults {"silent": true}       nothing is answered and no heartbeat is sent
///                  {"late_starts": n}     the next n starts are not answered and done 1 s later
///                  {"restart": true}      the worker begins a new life under its id
///                  {"draining": true}     heartbeats say so
///                  {"state_bytes": n}     runs and ends list a saved state of n bytes
///                  {"stop_ms": n}         a stop is done, and answered, after n ms
#include <cpprest/http_client.h>
#include <gflags/gflags.h>

#include <mutex>
#include <thread>

#include "advice/ticket.h"
#include "ebonypin/standin/standin.h"
#include "http_call.h"
#include "run_worker_sim.h"

DEFINE_string(run_worker_control, "", "run worker: address of the agent that takes heartbeats");
DEFINE_string(run_worker_id, "w-1", "run worker: id of the worker");
DEFINE_string(run_worker_service, "desk", "run worker: service that the worker belongs to");
DEFINE_int64(run_worker_cpu_millis, 4000, "run worker: processors in thousandths");

namespace ebonypin::standin {
namespace {

using namespace std::chrono_literals;
using web::http::status_codes;
using web::json::value;

constexpr auto kHeartbeatInterval = 300ms;
constexpr auto kTickInterval = 5ms;
constexpr auto kLateBy = 1s;
constexpr std::int64_t kMemoryMb = 64'000;
/// Ends that a hold call lists at a time.
constexpr std::size_t kMaxEnds = 500;

WorkerTime Now() { return std::chrono::steady_clock::now(); }

std::int64_t WallMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

class RunWorkerStandin final : public Standin {
 public:
  explicit RunWorkerStandin(std::string listen)
      : m_listen(std::move(listen)),
        m_control(FLAGS_run_worker_control),
        m_id(FLAGS_run_worker_id),
        m_service(FLAGS_run_worker_service),
        m_cpu_millis(FLAGS_run_worker_cpu_millis) {
    Restart();
  }

  ~RunWorkerStandin() override {
    {
      const std::lock_guard lock(m_mutex);
      m_stopping = true;
    }
    if (m_beats.joinable()) m_beats.join();
    if (m_ticks.joinable()) m_ticks.join();
  }

  void Start() override {
    m_server = StartServer(m_listen, [this](const HttpCall& call) { Serve(call); });
    m_beats = std::thread([this] { SendHeartbeats(); });
    m_ticks = std::thread([this] { Tick(); });
  }

 private:
  struct WaitingHold {
    HttpCall m_call;
    WorkerTime m_until;
    std::uint64_t m_ends = 0;  ///< Number of the next end when it arrived.
  };

  struct SlowStop {
    HttpCall m_call;
    WorkerTime m_due;
    std::int64_t m_born = 0;
    std::string m_task;
    std::uint64_t m_run = 0;
  };

  struct LateStart {
    WorkerTime m_due;
    std::int64_t m_born = 0;
    value m_body;
  };

  void Restart() {
    m_sim = {.m_born = Now(), .m_deadline = Now()};
    m_born_wall = std::max(WallMs(), m_born_wall + 1);
    m_sequence = 0;
  }

  void Serve(const HttpCall& call) {
    const std::lock_guard lock(m_mutex);
    if (call.m_request.m_method != web::http::methods::GET) return Answer(call, JsonOf(call));
    return call.m_request.m_path == "/sim/runs" ? ReplyRuns(call) : ReplyStatus(call);
  }

  void ReplyStatus(const HttpCall& call) {
    value json = value::object();
    json["starts"] = value::number(m_sim.m_starts);
    json["running"] = value::number(static_cast<std::uint64_t>(m_sim.m_runs.size()));
    json["born"] = value::number(m_born_wall);
    json["refused_tickets"] = value::number(m_refused_tickets);
    Respond(call, status_codes::OK, json);
  }

  void ReplyRuns(const HttpCall& call) {
    const auto micros = [](const WorkerTime time) {
      const auto since =
          std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch());
      return value::number(static_cast<std::int64_t>(since.count()));
    };
    std::vector<value> rows;
    for (const auto& times : m_sim.m_times) {
      value row = value::object();
      row["Task"] = value::string(times.m_task);
      row["Run"] = value::number(times.m_run);
      row["StartedUs"] = micros(times.m_started);
      if (times.m_ended) row["EndedUs"] = micros(*times.m_ended);
      row["How"] = value::string(times.m_how);
      row["Acknowledged"] = value::boolean(times.m_acknowledged);
      rows.push_back(std::move(row));
    }
    Respond(call, status_codes::OK, value::array(std::move(rows)));
  }

  void Answer(const HttpCall& call, const value& body) {
    const auto& path = call.m_request.m_path;
    if (path == "/faults") return SetFaults(call, body);
    if (m_silent) return;
    const auto fence = body.at("Fence").as_number().to_uint64();
    if (!TakeFence(m_sim, fence)) return Reply(call, status_codes::Conflict, "fence");
    if (path == "/run-start") {
      if (m_late_starts > 0) {
        --m_late_starts;
        m_late.push_back({.m_due = Now() + kLateBy, .m_born = m_born_wall, .m_body = body});
        return;
      }
      const auto reason = StartOf(body);
      Reply(call, reason.empty() ? status_codes::OK : status_codes::Conflict, reason);
    } else if (path == "/run-stop") {
      m_stops.push_back({.m_call = call,
                         .m_due = Now() + m_stop_time,
                         .m_born = m_born_wall,
                         .m_task = body.at("Task").as_string(),
                         .m_run = body.at("Run").as_number().to_uint64()});
      CarryOutStops();
    } else if (path == "/hold") {
      Hold(call, body);
    } else {
      Reply(call, path == "/pace" ? status_codes::OK : status_codes::NotFound, {});
    }
  }

  std::string StartOf(const value& body) {
    const auto& task = body.at("Task").as_string();
    if (body.has_field("Ticket") &&
        !IsTicketValid(body.at("Ticket").as_string(), task, m_id, Now())) {
      ++m_refused_tickets;
      return "ticket";
    }
    return ebonypin::standin::Start(m_sim, Now(), task, body.at("Run").as_number().to_uint64(),
                                    body.at("Spec").as_string(),
                                    body.at("DeadlineMs").as_number().to_int64());
  }

  void Hold(const HttpCall& call, const value& body) {
    if (body.has_field("DeadlineMs")) {
      Extend(m_sim, Now(), body.at("DeadlineMs").as_number().to_int64());
    }
    Forget(m_sim, body.at("SeenUpto").as_number().to_uint64());
    const std::chrono::milliseconds wait{body.has_field("WaitMs") ? body.at("WaitMs").as_integer()
                                                                  : 0};
    m_holds.push_back({.m_call = call, .m_until = Now() + wait, .m_ends = m_sim.m_next_end});
  }

  void CarryOutStops() {
    const auto now = Now();
    std::erase_if(m_stops, [&](const SlowStop& stop) {
      if (now < stop.m_due) return false;
      if (stop.m_born == m_born_wall) Stop(m_sim, now, stop.m_task, stop.m_run);
      Reply(stop.m_call, status_codes::OK, {});
      return true;
    });
  }

  void SetFaults(const HttpCall& call, const value& json) {
    if (json.has_field("silent")) m_silent = json.at("silent").as_bool();
    if (json.has_field("late_starts")) m_late_starts = json.at("late_starts").as_integer();
    if (json.has_field("draining")) m_draining = json.at("draining").as_bool();
    if (json.has_field("state_bytes")) {
      m_state.assign(json.at("state_bytes").as_number().to_uint64(), 's');
    }
    if (json.has_field("stop_ms")) {
      m_stop_time = std::chrono::milliseconds{json.at("stop_ms").as_integer()};
    }
    if (json.has_field("restart")) Restart();
    RespondText(call, status_codes::OK);
  }

  value Stamp() const {
    value json = value::object();
    json["ClockMs"] = value::number(ClockMs(m_sim, Now()));
    json["born"] = value::number(m_born_wall);
    return json;
  }

  void Reply(const HttpCall& call, const unsigned status, const std::string& reason) {
    value json = Stamp();
    if (!reason.empty()) json["Reason"] = value::string(reason);
    Respond(call, status, json);
  }

  void ReplyHold(const HttpCall& call) {
    value json = Stamp();
    std::vector<value> running;
    for (const auto& [task, run] : m_sim.m_runs) {
      running.push_back(
          value::array({value::string(task), value::number(run.m_run), value::string(m_state),
                        value::number(Percent(run, Now())), value::number(0)}));
    }
    std::vector<value> ended;
    for (const auto& end : m_sim.m_ends) {
      if (ended.size() == kMaxEnds) break;
      ended.push_back(value::array({value::number(end.m_number), value::string(end.m_task),
                                    value::number(end.m_run), value::string(end.m_how),
                                    value::string(m_state)}));
    }
    json["Running"] = value::array(std::move(running));
    json["Ended"] = value::array(std::move(ended));
    Respond(call, status_codes::OK, json);
  }

  void Tick() {
    for (;;) {
      std::this_thread::sleep_for(kTickInterval);
      const std::lock_guard lock(m_mutex);
      if (m_stopping) return;
      const auto now = Now();
      Advance(m_sim, now);
      CarryOutStops();
      std::erase_if(m_late, [&](const LateStart& late) {
        if (now < late.m_due) return false;
        if (late.m_born == m_born_wall) (void)StartOf(late.m_body);
        return true;
      });
      if (m_silent) continue;
      std::erase_if(m_holds, [&](const WaitingHold& hold) {
        if (now < hold.m_until && m_sim.m_next_end == hold.m_ends) return false;
        ReplyHold(hold.m_call);
        return true;
      });
    }
  }

  void SendHeartbeats() {
    for (;;) {
      value body = value::object();
      {
        const std::lock_guard lock(m_mutex);
        if (m_stopping) return;
        if (!m_silent) body = Heartbeat();
      }
      if (body.size() > 0) Send(body);
      std::this_thread::sleep_for(kHeartbeatInterval);
    }
  }

  value Heartbeat() {
    value json = Stamp();
    value capacity = value::object();
    capacity["Cpu"] = value::number(m_cpu_millis);
    capacity["MemMb"] = value::number(kMemoryMb);
    json["Service"] = value::string(m_service);
    json["Zone"] = value::string("domain-a");
    json["State"] = value::string(m_draining ? "draining" : "ready");
    json["Capacity"] = capacity;
    json["Labels"] = value::array({value::string("a"), value::string("r1")});
    json["Seq"] = value::number(++m_sequence);
    return json;
  }

  void Send(const value& body) const {
    try {
      web::http::client::http_client_config config;
      config.set_timeout(1s);
      web::http::client::http_client client("http://" + m_control, config);
      client.request(web::http::methods::POST, "/instances/" + m_id + "/heartbeat", body).wait();
    } catch (const std::exception&) {
      // The agent is not there yet, or no more; the next heartbeat tells.
    }
  }

  const std::string m_listen;
  const std::string m_control;
  const std::string m_id;
  const std::string m_service;
  const std::int64_t m_cpu_millis;
  std::thread m_beats;
  std::thread m_ticks;
  std::mutex m_mutex;
  bool m_stopping = false;
  bool m_silent = false;
  bool m_draining = false;
  int m_late_starts = 0;
  std::string m_state;
  std::chrono::milliseconds m_stop_time{};
  std::vector<SlowStop> m_stops;
  std::uint64_t m_refused_tickets = 0;
  RunWorkerSim m_sim;
  std::int64_t m_born_wall = 0;
  std::uint64_t m_sequence = 0;
  std::vector<WaitingHold> m_holds;
  std::vector<LateStart> m_late;
  /// Last, so that it stops before what its handler uses.
  std::unique_ptr<http::Server> m_server;
};

[[maybe_unused]] const bool kRegistered = RegisterStandin(
    "run_worker",
    [](const std::string& listen) { return std::make_unique<RunWorkerStandin>(listen); });

}  // namespace
}  // namespace ebonypin::standin
