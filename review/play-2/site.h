// A small deployment on loopback addresses: the project's own programs, started with the commands
// and templates of deploy/system.toml, beside stand-ins of the store, the workers and the clients.
#pragma once
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <random>
#include <sstream>

#include "store.h"
#include "worker.h"

namespace play {

/// Lines of record.txt, with the milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : m_out(path), m_began(Clock::now()) {}
  void Line(const std::string& text) {
    const std::lock_guard lock(m_mutex);
    m_out << std::setw(7) << std::chrono::duration_cast<Ms>(Clock::now() - m_began).count() << " ms  "
          << text << std::endl;
  }

 private:
  std::ofstream m_out;
  const Clock::time_point m_began;
  std::mutex m_mutex;
};

inline std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

/// Fills in the placeholders of a template of settings: {{name}} and {{#name}} .. {{/name}}.
inline std::string Fill(std::string text, const std::map<std::string, std::string>& fields) {
  for (std::size_t at = 0; (at = text.find("{{#", at)) != std::string::npos;) {
    const auto close = text.find("}}", at);
    const auto name = text.substr(at + 3, close - at - 3);
    const auto end_mark = "{{/" + name + "}}";
    const auto end = text.find(end_mark, close);
    const auto found = fields.find(name);
    std::string inner;
    if (found != fields.end()) {
      inner = text.substr(close + 2, end - close - 2);
      for (std::size_t dot = 0; (dot = inner.find("{{.}}")) != std::string::npos;) {
        inner.replace(dot, 5, found->second);
      }
    }
    text.replace(at, end + end_mark.size() - at, inner);
  }
  for (std::size_t at = 0; (at = text.find("{{", at)) != std::string::npos;) {
    const auto close = text.find("}}", at);
    const auto found = fields.find(text.substr(at + 2, close - at - 2));
    text.replace(at, close + 2 - at, found != fields.end() ? found->second : "");
  }
  return text;
}

/// A process of the system on a machine of its own.
struct Machine {
  std::string m_node;
  std::string m_ip;
  std::string m_zone;
  bool m_entry = false;
  std::string m_settings;
  std::string m_log;
  pid_t m_pid = -1;
};

struct SiteOptions {
  int m_entries = 3;
  int m_workers = 5;
  std::string m_service = "order-desk";
  std::string m_first_kind = "a";  // Kind of the first worker; the others are of kind a.
  std::string m_routes;  // JSON; empty: one queue at /proof/ and one at /sync/.
  bool m_advice = false;  // The site has an advice service.
  bool m_machines = true;
  std::int64_t m_hold_max_ms = 6000;
};

class Site {
 public:
  Site(std::string root, std::string folder, SiteOptions options = {})
      : m_root(std::move(root)),
        m_options(std::move(options)),
        m_record(folder + "/record.txt") {
    signal(SIGPIPE, SIG_IGN);
    std::string pattern = std::filesystem::temp_directory_path().string() + "/ebonypin-review-XXXXXX";
    if (mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("no temporary folder");
    m_folder = pattern;
    ChoosePorts();
  }

  ~Site() {
    for (auto& machine : m_machines) Kill(machine, SIGKILL);
    for (auto& worker : m_workers) worker->Stop();
    if (std::getenv("KEEP_LOGS") == nullptr) {
      const auto command = "rm -rf '" + m_folder + "'";
      if (std::system(command.c_str()) != 0) std::cerr << "temporary folder is left\n";
    } else {
      std::cerr << "logs: " << m_folder << '\n';
    }
  }

  void Begin() {
    m_store = std::make_unique<Store>(m_store_address);
    m_store->Open();
    m_cloud = std::make_unique<Server>(m_cloud_address,
                                       [this](const Request& r) { return Machines(r); });
    m_cloud->Open();
    PutConfig(11);
    static const char* const kZones[] = {"krk-a", "krk-b", "krk-c"};
    for (int i = 0; i < m_options.m_entries; ++i) {
      m_machines.push_back({"edge-" + std::to_string(i + 1), EntryIp(i), kZones[i % 3], true, {}, {}});
    }
    for (int i = 0; i < m_options.m_workers; ++i) {
      m_machines.push_back({"side-" + std::to_string(i + 1), SideIp(i), kZones[i % 3], false, {}, {}});
    }
    for (auto& machine : m_machines) Start(machine);
    for (int i = 0; i < m_options.m_workers; ++i) {
      WorkerOptions options;
      options.m_id = "w-" + std::to_string(i + 1);
      options.m_service = m_options.m_service;
      options.m_zone = kZones[i % 3];
      options.m_labels = {i == 0 ? m_options.m_first_kind : "a", "r1-" + std::to_string(i / 3 + 1)};
      options.m_longest_lease = Ms{m_options.m_hold_max_ms};
      options.m_app = {SideIp(i), m_app_port};
      options.m_control = {SideIp(i), m_port + 2};
      m_workers.push_back(std::make_unique<Worker>(
          options, [this](const RunEvent& event) { OnEvent(event); }));
    }
  }

  void BeginWorkers() {
    for (auto& worker : m_workers) worker->Begin();
  }

  /// Waits until a job with a task for each worker has run. Throws when the site does not come up.
  void WaitUntilServes() {
    const auto until = Clock::now() + std::chrono::seconds{25};
    while (Clock::now() < until) {
      const auto id = NewId();
      if (Submit(0, "/proof/", id,
                 Steps("{\"Count\":" + std::to_string(m_options.m_workers) +
                       ",\"Cpu\":9000,\"MemMb\":10,\"EstMs\":300}"),
                 "ready 300") == 200) {
        for (int i = 0; i < 40; ++i) {
          std::this_thread::sleep_for(Ms{100});
          if (State(0, "/proof/", id) == "done") {
            m_record.Line("the site serves");
            return;
          }
        }
      }
      std::this_thread::sleep_for(Ms{200});
    }
    throw std::runtime_error("the site did not come up");
  }

  static std::string Steps(const std::string& steps) { return "[" + steps + "]"; }

  std::string NewId() {
    char buffer[20];
    std::snprintf(buffer, sizeof(buffer), "%016llx",
                  static_cast<unsigned long long>(m_random() & 0xFFFFFFFFFFFFFFFFULL));
    return buffer;
  }

  void PutConfig(int version, const std::string& extra_routes = "") {
    Json config = Json::Object();
    std::string routes = m_options.m_routes;
    if (routes.empty()) {
      routes =
          "[{\"Name\":\"proof-preview\",\"Host\":\"desk.example\",\"PathPrefix\":\"/proof/\","
          "\"TimeoutMs\":3000,\"SloMs\":300,\"Service\":\"" +
          m_options.m_service +
          "\",\"Attempts\":4,\"Stretch\":1.5},"
          "{\"Name\":\"archive-sync\",\"Host\":\"desk.example\",\"PathPrefix\":\"/sync/\","
          "\"TimeoutMs\":3000,\"SloMs\":2500,\"Service\":\"" +
          m_options.m_service + "\",\"Attempts\":3,\"Stretch\":2.2}" + extra_routes + "]";
    }
    config.Set("Version", version)
        .Set("Routes", Json::Parse(routes))
        .Set("Services", Json::Parse("[{\"Name\":\"" + m_options.m_service +
                                     "\",\"EnforcesCapacity\":true}]"))
        .Set("Limits", Json::Object().Set("MaxBodyBytes", 262144));
    m_store->Put("keyed.op", "config", config.Write());
    m_record.Line("operator: configuration " + std::to_string(version) + " is acknowledged");
  }

  Response Ask(int entry, const std::string& method, const std::string& path,
               const std::string& body = "", Ms timeout = Ms{3000}) {
    const Address to{EntryIp(entry), m_port + 3};
    auto answer = Call(to, method, path, body, timeout,
                       {{"Host", "desk.example"},
                        {"Ebonypin-Deadline-Ms", std::to_string(timeout.count())}});
    m_record.Line("client: " + method + " " + path + " at edge-" + std::to_string(entry + 1) +
                  " -> " + std::to_string(answer.m_status) + " " + answer.m_body);
    return answer;
  }
  int Submit(int entry, const std::string& prefix, const std::string& id, const std::string& steps,
             const std::string& spec, const std::string& more = "") {
    return Ask(entry, "POST", prefix + id,
               "{\"Spec\":" + Json::Quote(spec) + ",\"Steps\":" + steps + more + "}")
        .m_status;
  }
  /// Returns the state that is shown; an empty text when there was none.
  std::string State(int entry, const std::string& prefix, const std::string& id) {
    const auto answer = Ask(entry, "GET", prefix + id);
    if (answer.m_status == 410) return "410";
    if (answer.m_status != 200) return {};
    return Json::Parse(answer.m_body).Text("State");
  }

  Worker& WorkerAt(std::size_t i) { return *m_workers.at(i); }
  std::size_t Workers() const { return m_workers.size(); }
  Store& StoreAt() { return *m_store; }
  Record& Log() { return m_record; }
  Machine& MachineAt(const std::string& node) {
    for (auto& machine : m_machines) {
      if (machine.m_node == node) return machine;
    }
    throw std::runtime_error("no machine " + node);
  }

  void Kill(Machine& machine, int signal_number) {
    if (machine.m_pid <= 0) return;
    kill(machine.m_pid, signal_number);
    if (signal_number != SIGKILL) return;
    int status = 0;
    waitpid(machine.m_pid, &status, 0);
    machine.m_pid = -1;
    m_record.Line("killed " + machine.m_node);
  }

  void Start(Machine& machine) {
    std::map<std::string, std::string> fields{
        {"Node", machine.m_node},
        {"Region", "pl-south"},
        {"Zone", machine.m_zone},
        {"Ip", machine.m_ip},
        {"PortRange.0", std::to_string(m_port)},
        {"PortRange.1", std::to_string(m_port + 1)},
        {"Listen.Control", machine.m_ip + ":" + std::to_string(m_port + 2)},
        {"Listen.Front", machine.m_ip + ":" + std::to_string(m_port + 3)},
        {"Listen.Ready", machine.m_ip + ":" + std::to_string(m_port + 4)},
        {"Limits.CpuQuota", "0.25"},
        {"platform.Addr", m_store_address.Text()},
        {"platform.TtlMinMs", "1000"},
        {"Bounds.HoldMaxMs", std::to_string(m_options.m_hold_max_ms)},
        {"app", machine.m_ip + ":" + std::to_string(m_app_port)}};
    if (m_options.m_advice) fields["Advice"] = AdviceAddress().Text();
    if (m_options.m_machines) fields["Cloud.Addr"] = m_cloud_address.Text();
    machine.m_settings = m_folder + "/" + machine.m_node + ".ini";
    machine.m_log = m_folder + "/" + machine.m_node + ".log";
    std::ofstream(machine.m_settings)
        << Fill(ReadFile(m_root + (machine.m_entry ? "/deploy/entry.ini" : "/deploy/agent.ini")),
                fields);
    const std::string program = m_root + "/target/bin/ebonypind";
    const std::string settings = "--settings=" + machine.m_settings;
    const std::string drain = machine.m_entry ? "--drain_seconds=5" : "--drain_seconds=1";
    machine.m_pid = Spawn(program, settings, drain, machine.m_log);
    m_record.Line("started " + machine.m_node);
  }

  /// Starts a program on a thread that lives as long as this process: a child ends with the thread
  /// that has started it.
  pid_t Spawn(const std::string& program, const std::string& settings, const std::string& drain,
              const std::string& log_path) {
    std::unique_lock lock(m_spawner.m_mutex);
    m_spawner.m_job = [&] {
      const pid_t parent = getpid();
      const pid_t pid = fork();
      if (pid != 0) return pid;
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent) _exit(9);
      const int log = open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(log, 1);
      dup2(log, 2);
      if (chdir(m_root.c_str()) != 0) _exit(9);
      execl(program.c_str(), program.c_str(), settings.c_str(), drain.c_str(), nullptr);
      _exit(9);
    };
    m_spawner.m_pid = 0;
    if (!m_spawner.m_runs) {
      m_spawner.m_runs = true;
      std::thread([&spawner = m_spawner] {
        std::unique_lock guard(spawner.m_mutex);
        for (;;) {
          spawner.m_changed.wait(guard, [&spawner] { return spawner.m_job != nullptr; });
          spawner.m_pid = spawner.m_job();
          spawner.m_job = nullptr;
          spawner.m_changed.notify_all();
        }
      }).detach();
    }
    m_spawner.m_changed.notify_all();
    m_spawner.m_changed.wait(lock, [this] { return m_spawner.m_job == nullptr; });
    return m_spawner.m_pid;
  }

  /// Returns whether the process has ended by itself.
  bool HasEnded(Machine& machine) {
    int status = 0;
    if (machine.m_pid <= 0 || waitpid(machine.m_pid, &status, WNOHANG) != machine.m_pid) {
      return false;
    }
    machine.m_pid = -1;
    m_record.Line(machine.m_node + " has ended by itself, status " + std::to_string(status));
    return true;
  }

  std::vector<RunEvent> Events() {
    const std::lock_guard lock(m_events_mutex);
    return m_events;
  }
  std::function<void(const RunEvent&)> m_on_event;  // Called without locks of the site.
  /// Workers that the platform does not list as up.
  std::set<std::string> m_down;
  std::mutex m_down_mutex;

  Address AdviceAddress() const { return {m_cloud_address.m_ip, m_port + 9}; }
  std::string EntryIp(int i) const { return m_net + std::to_string(10 + i); }
  std::string SideIp(int i) const { return m_net + std::to_string(40 + i); }
  int Port() const { return m_port; }

 private:
  void OnEvent(const RunEvent& event) {
    m_record.Line("worker " + event.m_worker + ": " + event.m_what + " " + event.m_task + " run " +
                  std::to_string(event.m_run) + " " + event.m_how);
    {
      const std::lock_guard lock(m_events_mutex);
      m_events.push_back(event);
    }
    if (m_on_event) m_on_event(event);
  }

  std::optional<Response> Machines(const Request& request) {
    if (request.m_path != "/machines") return Response{404, "{}"};
    Json list = Json::List();
    const std::lock_guard lock(m_down_mutex);
    for (const auto& worker : m_workers) {
      const auto& o = worker->Options();
      list.Add(Json::Object()
                   .Set("Machine", "m-" + o.m_id)
                   .Set("Pool", o.m_service)
                   .Set("State", m_down.count(o.m_id) > 0 ? "down" : "up")
                   .Set("Zone", o.m_zone)
                   .Set("Id", o.m_id));
    }
    return Response{200, Json::Object().Set("Machines", list).Write()};
  }

  void ChoosePorts() {
    for (int tries = 0; tries < 100; ++tries) {
      m_net = "127." + std::to_string(20 + m_random() % 200) + "." +
              std::to_string(1 + m_random() % 250) + ".";
      m_port = 20000 + static_cast<int>(m_random() % 10000);
      m_app_port = m_port + 6;
      m_store_address = {m_net + "2", m_port + 7};
      m_cloud_address = {m_net + "3", m_port + 8};
      bool free = true;
      for (const int last : {2, 3, 10, 11, 12, 40, 41, 42}) {
        for (int port = m_port; port < m_port + 10 && free; ++port) {
          const int fd = socket(AF_INET, SOCK_STREAM, 0);
          const auto at = Resolve({m_net + std::to_string(last), port});
          free = bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) == 0;
          close(fd);
        }
      }
      if (free) return;
    }
    throw std::runtime_error("no free ports");
  }

  const std::string m_root;
  const SiteOptions m_options;
  std::mt19937_64 m_random{std::random_device{}()};
  Record m_record;
  std::string m_folder;
  std::string m_net;
  int m_port = 0;
  int m_app_port = 0;
  Address m_store_address;
  Address m_cloud_address;
  std::unique_ptr<Store> m_store;
  std::unique_ptr<Server> m_cloud;
  std::vector<Machine> m_machines;
  std::vector<std::unique_ptr<Worker>> m_workers;
  std::mutex m_events_mutex;
  std::vector<RunEvent> m_events;
  struct Spawner {
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::function<pid_t()> m_job;
    bool m_runs = false;
    pid_t m_pid = 0;
  };
  Spawner& m_spawner = *new Spawner;  // Never destroyed: its thread waits until the end.
};

/// Runs a case: 0 when the rule held, 1 when it was broken, 2 when the case could not run.
template <typename F>
int RunCase(int argc, char** argv, F play) {
  if (argc < 3) {
    std::cerr << "usage: CASE ROOT FOLDER\n";
    return 2;
  }
  const char* const text = std::getenv("TROUBLE");
  const bool trouble = text == nullptr || std::string(text) != "0";
  try {
    const std::string broken = play(std::string(argv[1]), std::string(argv[2]), trouble);
    std::cout << (broken.empty() ? "held" : "broken: " + broken) << '\n';
    return broken.empty() ? 0 : 1;
  } catch (const std::exception& e) {
    std::cerr << "the case could not run: " << e.what() << '\n';
    return 2;
  }
}

}  // namespace play
