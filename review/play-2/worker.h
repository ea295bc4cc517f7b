// A worker as PROTOCOL.md describes it. What a task does is said by the function `m_plan`.
#pragma once
#include "http.h"
#include "json.h"

namespace play {

inline std::int64_t WallMs() {
  return std::chrono::duration_cast<Ms>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}

/// What a run does: it ends after `m_length` as `m_how`, after 1 ms at once. Zero length: it goes on
/// until it is stopped.
struct Plan {
  Ms m_length{0};
  std::string m_how = "done";
};

/// Something that a worker did, for the record and the checks.
struct RunEvent {
  Clock::time_point m_at;
  std::string m_worker;
  std::string m_what;  // "start", "end", "noted" or "crash".
  std::string m_task;
  std::int64_t m_run = 0;
  std::string m_how;
};

struct WorkerOptions {
  std::string m_id;
  std::string m_service;
  std::string m_zone = "krk-a";
  std::vector<std::string> m_labels{"a", "r1-1"};
  std::int64_t m_cpu = 16000;
  std::int64_t m_memory = 64000;
  Ms m_heartbeat{1100};
  Ms m_longest_lease{6000};
  Address m_app;
  Address m_control;
};


class Worker {
 public:
  Worker(WorkerOptions options, std::function<void(const RunEvent&)> record)
      : m_options(std::move(options)), m_record(std::move(record)) {}

  std::function<Plan(const std::string& task, std::int64_t run, const std::string& spec)> m_plan;
  /// Is asked for each order (start, stop, hold, pace): a positive time leaves it unanswered and
  /// carries it out that much later; a negative one drops it.
  std::function<Ms(const std::string& path, const Json& body)> m_late;
  /// The fifth entry of a row of Running, by the run's Spec.
  std::function<int(const std::string& spec)> m_figure;
  /// Returns whether the ticket of a start is valid; every ticket is when it is not set.
  std::function<bool(const std::string& task, const std::string& ticket)> m_is_valid;
  /// Answers a call in the worker's place, which then does nothing.
  std::function<std::optional<Response>(const std::string& path)> m_refuse;
  /// Is told each start order that is carried out.
  std::function<void(const Json& body)> m_on_start;
  bool m_saves = false;            ///< Runs save their progress each second and when they are stopped.
  std::atomic<bool> m_cut{false};  ///< Nothing gets through, either way; the worker runs on.
  double m_rate = 1.0;             ///< Of the worker's clock.

  void Begin() {
    {
      const std::lock_guard lock(m_mutex);
      m_up = true;
      NewLife();
    }
    m_server = std::make_unique<Server>(m_options.m_app,
                                        [this](const Request& r) { return Serve(r); });
    m_server->Open();
    if (!m_beats.joinable()) {
      m_beats = std::thread([this] { Beat(); });
      m_ticks = std::thread([this] { Tick(); });
    }
  }

  /// The process ends at once, with everything that runs.
  void Crash() {
    {
      const std::lock_guard lock(m_mutex);
      if (!m_up) return;
      m_up = false;
      for (const auto& [task, run] : m_runs) Note("crash", task, run.m_run, "lost");
      m_runs.clear();
      m_changed.notify_all();
    }
    m_server->Close();
    m_server = nullptr;
  }

  /// Ends a run from outside, as the platform does with the members of a gang.
  void EndTask(const std::string& task, std::int64_t run, const std::string& how) {
    const std::lock_guard lock(m_mutex);
    const auto found = m_runs.find(task);
    if (m_up && found != m_runs.end() && found->second.m_run == run) EndRun(task, how);
  }

  void SetDraining(bool draining) {
    const std::lock_guard lock(m_mutex);
    m_draining = draining;
  }
  bool IsUp() {
    const std::lock_guard lock(m_mutex);
    return m_up;
  }
  bool Runs(const std::string& task) {
    const std::lock_guard lock(m_mutex);
    return m_runs.count(task) > 0;
  }
  std::size_t Running() {
    const std::lock_guard lock(m_mutex);
    return m_runs.size();
  }
  const WorkerOptions& Options() const { return m_options; }

  void Stop() {
    m_stopping = true;
    if (m_beats.joinable()) m_beats.join();
    if (m_ticks.joinable()) m_ticks.join();
    if (m_server) m_server->Close();
  }

 private:
  struct Run {
    std::int64_t m_run = 0;
    Clock::time_point m_started;
    Plan m_plan;
    std::string m_saved;
    std::string m_spec;
  };
  struct End {
    std::int64_t m_number = 0;
    std::string m_task;
    std::int64_t m_run = 0;
    std::string m_how;
    std::string m_saved;
    bool m_lapsed_since = false;
  };

  void NewLife() {
    m_born = std::max(WallMs(), m_born + 1);
    m_born_at = Clock::now();
    m_fence = 0;
    m_sequence = 0;
    m_next_end = 1;
    m_runs.clear();
    m_ends.clear();
    m_closed.clear();
    m_deadline = 0;
  }

  std::int64_t NowMs() const {
    const auto since = std::chrono::duration_cast<Ms>(Clock::now() - m_born_at).count();
    return static_cast<std::int64_t>(static_cast<double>(since) * m_rate);
  }

  void Note(const std::string& what, const std::string& task, std::int64_t run,
            const std::string& how) {
    m_record({Clock::now(), m_options.m_id, what, task, run, how});
  }

  void EndRun(const std::string& task, const std::string& how) {
    const auto found = m_runs.find(task);
    const auto run = found->second.m_run;
    const std::string saved = m_saves && how != "done" ? Saved(task, found->second) : "";
    m_runs.erase(found);
    m_closed[task] = std::max(m_closed[task], run);
    m_ends.push_back({m_next_end++, task, run, how, saved});
    Note("end", task, run, how);
    m_changed.notify_all();
  }

  void Advance() {
    const auto now = Clock::now();
    if (NowMs() >= m_deadline) {
      for (auto& end : m_ends) end.m_lapsed_since = true;
    }
    std::vector<std::pair<std::string, std::string>> over;
    for (const auto& [task, run] : m_runs) {
      if (run.m_plan.m_length > Ms{0} && now >= run.m_started + run.m_plan.m_length) {
        over.emplace_back(task, run.m_plan.m_how);
      } else if (NowMs() >= m_deadline) {
        over.emplace_back(task, "lapsed");
      }
    }
    for (const auto& [task, how] : over) EndRun(task, how);
  }

  void Extend(std::int64_t deadline) {
    m_deadline = std::max(
        m_deadline, std::min<std::int64_t>(deadline, NowMs() + m_options.m_longest_lease.count()));
  }

  Json Stamp() const { return Json::Object().Set("ClockMs", NowMs()).Set("born", m_born.load()); }

  std::optional<Response> Serve(const Request& request) {
    const Json body = Json::Parse(request.m_body);
    if (m_cut) return std::nullopt;
    const auto expected = request.m_headers.find("ebonypin-expect-instance");
    if (expected != request.m_headers.end() && expected->second != m_options.m_id) {
      return Response{421, "{}"};
    }
    if (m_refuse) {
      if (auto refusal = m_refuse(request.m_path)) return refusal;
    }
    if (m_late) {
      const Ms late = m_late(request.m_path, body);
      if (late < Ms{0}) return std::nullopt;
      if (late > Ms{0}) {
        std::int64_t born = 0;
        {
          const std::lock_guard lock(m_mutex);
          born = m_born;
        }
        std::thread([this, late, born, path = request.m_path, body] {
          std::this_thread::sleep_for(late);
          std::unique_lock lock(m_mutex);
          // What was not carried out yet ends with the worker's life.
          if (m_up && m_born == born) (void)Do(path, body, lock, true);
        }).detach();
        return std::nullopt;
      }
    }
    std::unique_lock lock(m_mutex);
    if (!m_up) return std::nullopt;
    return Do(request.m_path, body, lock, false);
  }

  Response Do(const std::string& path, const Json& body, std::unique_lock<std::mutex>& lock,
              bool late) {
    Advance();
    const auto refuse = [&](const char* reason) {
      return Response{409, Stamp().Set("Reason", reason).Write()};
    };
    const auto fence = body.Int("Fence");
    if (fence < m_fence) return refuse("fence");
    m_fence = fence;
    const auto task = body.Text("Task");
    const auto run = body.Int("Run");
    if (path == "/run-start") {
      const auto deadline = body.Int("DeadlineMs");
      if (deadline <= NowMs()) return refuse("late");
      const auto there = m_runs.find(task);
      if (there != m_runs.end() && there->second.m_run == run) {
        Extend(deadline);
        return {200, Stamp().Write()};
      }
      Extend(deadline);
      if (there != m_runs.end() || run <= m_closed[task]) return refuse("old");
      if (m_is_valid && !m_is_valid(task, body.Text("Ticket"))) return refuse("ticket");
      m_runs[task] = {run, Clock::now(), m_plan ? m_plan(task, run, body.Text("Spec")) : Plan{},
                      body.Text("Checkpointed"), body.Text("Spec")};
      if (m_on_start) m_on_start(body);
      Note("start", task, run, late ? "late" : "");
      m_changed.notify_all();
      if (m_runs[task].m_plan.m_length == Ms{1}) EndRun(task, m_runs[task].m_plan.m_how);
      return {200, Stamp().Write()};
    }
    if (path == "/run-stop") {
      const auto there = m_runs.find(task);
      if (there != m_runs.end() && there->second.m_run <= run) EndRun(task, "stopped");
      m_closed[task] = std::max(m_closed[task], run);
      return {200, Stamp().Write()};
    }
    if (path == "/pace") return {200, Stamp().Write()};
    if (path != "/hold") return {404, "{}"};
    if (body.Find("DeadlineMs") != nullptr) Extend(body.Int("DeadlineMs"));
    const auto seen = body.Int("SeenUpto");
    std::erase_if(m_ends, [&](const End& end) {
      if (end.m_number > seen) return false;
      Note(end.m_lapsed_since ? "noted after a lapse" : "noted", end.m_task, end.m_run, end.m_how);
      return true;
    });
    const std::int64_t born = m_born;
    const auto next = m_next_end;
    const auto until = Clock::now() + Ms{body.Int("WaitMs")};
    if (m_ends.empty()) {
      m_changed.wait_until(lock, until,
                           [&] { return !m_up || m_born != born || m_next_end != next; });
    }
    Json running = Json::List();
    for (const auto& [name, entry] : m_runs) {
      running.Add(Json::List()
                      .Add(name)
                      .Add(entry.m_run)
                      .Add(m_saves ? Saved(name, entry) : "")
                      .Add(Percent(entry))
                      .Add(m_figure                        ? m_figure(entry.m_spec)
                           : entry.m_plan.m_length == Ms{0} ? 5
                                                            : 100));
    }
    Json ended = Json::List();
    for (const auto& end : m_ends) {
      if (ended.m_list.size() == 500) break;
      ended.Add(Json::List().Add(end.m_number).Add(end.m_task).Add(end.m_run).Add(end.m_how).Add(
          end.m_saved));
    }
    return {200, Stamp().Set("Running", running).Set("Ended", ended).Write()};
  }

  /// The newest progress of a run; what it resumed from if it has saved none.
  static std::string Saved(const std::string& task, const Run& run) {
    const auto seconds =
        std::chrono::duration_cast<std::chrono::seconds>(Clock::now() - run.m_started).count();
    if (seconds < 1) return run.m_saved;
    return task + "|" + std::to_string(run.m_run) + "|" + std::to_string(seconds);
  }

  static int Percent(const Run& run) {
    const auto at = std::chrono::duration_cast<Ms>(Clock::now() - run.m_started).count();
    if (run.m_plan.m_length == Ms{0}) return at > 200 ? 100 : 50;
    return static_cast<int>(std::min<std::int64_t>(99, 100 * at / run.m_plan.m_length.count()));
  }

  void Tick() {
    while (!m_stopping) {
      std::this_thread::sleep_for(Ms{5});
      const std::lock_guard lock(m_mutex);
      if (m_up) Advance();
    }
  }

  void Beat() {
    while (!m_stopping) {
      std::string body;
      {
        const std::lock_guard lock(m_mutex);
        if (m_up) {
          Json beat = Stamp();
          Json labels = Json::List();
          for (const auto& label : m_options.m_labels) labels.Add(label);
          beat.Set("Service", m_options.m_service)
              .Set("Addr", m_options.m_app.Text())
              .Set("Zone", m_options.m_zone)
              .Set("Version", "v1")
              .Set("Slots", 8)
              .Set("State", m_draining ? "draining" : "ready")
              .Set("ColdLeftMs", 0)
              .Set("Capacity", Json::Object()
                                   .Set("Cpu", m_options.m_cpu)
                                   .Set("MemMb", m_options.m_memory)
                                   .Set("Gpu", 0))
              .Set("Labels", labels)
              .Set("Seq", ++m_sequence);
          body = beat.Write();
        }
      }
      if (!body.empty() && !m_cut) {
        (void)Call(m_options.m_control, "POST", "/instances/" + m_options.m_id + "/heartbeat", body,
                   Ms{1000});
      }
      const auto until = Clock::now() + m_options.m_heartbeat;
      const auto born = m_born.load();
      while (!m_stopping && Clock::now() < until && m_born == born) {
        std::this_thread::sleep_for(Ms{10});
      }
    }
  }

  const WorkerOptions m_options;
  const std::function<void(const RunEvent&)> m_record;
  std::unique_ptr<Server> m_server;
  std::thread m_beats;
  std::thread m_ticks;
  std::atomic<bool> m_stopping{false};
  std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_up = false;
  bool m_draining = false;
  std::atomic<std::int64_t> m_born{0};
  Clock::time_point m_born_at;
  std::int64_t m_fence = 0;
  std::int64_t m_sequence = 0;
  std::int64_t m_next_end = 1;
  std::int64_t m_deadline = 0;
  std::map<std::string, Run> m_runs;
  std::vector<End> m_ends;
  std::map<std::string, std::int64_t> m_closed;
};

}  // namespace play
