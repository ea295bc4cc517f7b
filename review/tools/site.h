// Stand-ins for a small deployment on loopback: the store, the list of machines, workers and
// clients. The entries and agents are the project's own program, as separate processes.
//
// The stand-ins behave as PROTOCOL.md says. A case switches single disruptions on.
#pragma once

#include <cpprest/json.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Json = web::json::value;

// Milliseconds since the start of the program, on the steady clock.
std::int64_t NowMs();
void SleepMs(std::int64_t ms);
// Returns whether the case runs with its disruption (the variable TROUBLE is not 0).
bool Trouble();

// ---- HTTP ----

struct Request {
  std::string method, path, body;
  std::map<std::string, std::string> query, headers;  // Names of headers in lower case.
};

struct Response {
  int status = 200;
  std::string body;
  std::string type = "application/json";
  bool reset = false;  // The connection is reset without an answer.
};

// Serves HTTP/1.1 with open connections kept, one thread for each connection.
class Server {
 public:
  using Handler = std::function<Response(const Request&)>;
  Server(int port, Handler handler);
  ~Server();
  int Port() const { return m_port; }
  // Resets all connections and refuses new ones until Open is called.
  void Close();
  void Open();

 private:
  void Accept(int listener);
  void Serve(int socket);
  Handler m_handler;
  int m_port = 0;
  int m_listener = -1;
  std::mutex m_mutex;
  std::set<int> m_sockets;
  std::vector<std::thread> m_threads;
};

// Sends one request on a connection of its own. Status 0: no answer.
Response Call(int port, const std::string& method, const std::string& path, const std::string& host,
              const std::string& body, std::int64_t timeout_ms);

// Returns `count` ports that are free now.
std::vector<int> FreePorts(int count);

// ---- Store and list of machines ----

class Store {
 public:
  explicit Store(int port);
  // Writes a record as the operator does.
  void Put(const std::string& topic, const std::string& key, const std::string& value);
  std::function<Json()> machines;           // Body of GET /machines.
  std::function<Json(const Json&)> advise;  // Body of the answer to POST /advise.

 private:
  struct Topic {
    std::vector<std::string> records;
    std::map<std::string, std::pair<std::string, std::uint64_t>> newest;
    struct Producer {
      std::uint64_t epoch = 0;
      std::optional<std::uint64_t> last;
      std::map<std::uint64_t, std::string> answers;
    };
    std::map<std::string, Producer> producers;
  };
  struct Group {
    std::map<std::string, std::int64_t> until;
    std::map<int, std::string> owners;
    std::uint64_t generation = 0;
  };
  Response Handle(const Request& request);
  Response Append(const Request& request);
  Response Read(const Request& request);
  Response Newest(const Request& request);
  Response Join(const Request& request, bool leave);
  Response Owners(const Request& request);
  static void Add(Topic& topic, const std::string& record);
  static void Deal(Group& group);
  static void Expire(Group& group);
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Topic> m_topics;
  std::map<std::string, Group> m_groups;
  std::unique_ptr<Server> m_server;
};

// ---- Workers ----

// One run of a task at a worker.
struct RunRecord {
  std::string task;
  std::uint64_t run = 0;
  std::string worker;
  std::int64_t life = 0;
  std::int64_t started = 0;
  std::int64_t ended = -1;  // -1: still at work.
  std::string how;          // Also "crashed": ended with its worker.
};

// What a worker does with a run-start that it could carry out.
enum class StartFault { kNone, kBusy, kDoneAndReset };

// A worker. The payload of a task says what it does: "run MS" ends as done after that time,
// "last" runs until it is stopped, "last MS HOW" ends so after that time.
class Worker {
 public:
  Worker(std::string id, std::string service, int port, int control_port, int number);
  ~Worker();
  void Start();
  // Crashes: connections are reset, and what runs is gone. Comes back with Restart under its id.
  void Crash();
  void Restart();
  void Drain() { m_draining = true; }
  bool Up() const { return m_up; }
  const std::string& Id() const { return m_id; }
  const std::string& Service() const { return m_service; }
  int Index() const { return m_number; }
  // Decides for each run-start what goes wrong.
  std::function<StartFault()> start_fault;
  // Starts of tasks of these jobs need the ticket of this life of the worker.
  std::set<std::string> ticketed_jobs;
  std::string Ticket() const;
  // Runs of all workers, in the order of their starts, and other lines for the record.
  static std::vector<RunRecord> Runs();

 private:
  struct Run {
    std::uint64_t run = 0;
    std::int64_t started = 0, length = 0;
    std::string how;
    bool lasts = false;
    std::size_t record = 0;
  };
  struct End {
    std::uint64_t number = 0, run = 0;
    std::string task, how;
  };
  Response Handle(const Request& request);
  Response StartRun(const Json& body);
  Response Hold(std::unique_lock<std::mutex>& lock, const Json& body);
  Json Stamp() const;
  Response Answer(int status, const std::string& reason) const;
  void Begin();
  void Advance();
  void Finish(const std::string& task, const std::string& how);
  void Beat();
  const std::string m_id, m_service;
  const int m_control_port, m_number;
  std::atomic<bool> m_up{false}, m_draining{false}, m_stop{false};
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::int64_t m_born = 0, m_born_wall = 0, m_deadline = 0;
  std::uint64_t m_fence = 0, m_next_end = 1, m_sequence = 0;
  std::map<std::string, Run> m_runs;
  std::map<std::string, std::uint64_t> m_closed;
  std::vector<End> m_ends;
  std::unique_ptr<Server> m_server;
  std::thread m_beats;
};

// ---- The record ----

// Adds a line to the record and prints nothing.
void Note(const std::string& line);

// ---- The deployment ----

struct SiteOptions {
  int entries = 3;
  std::vector<std::string> services{"desk"};  // Service of each worker.
  // Returns whether a worker may run the steps of queues with advice.
  std::function<bool(const std::string& worker)> is_good;
  std::int64_t advice_valid_ms = 0;
};

struct Queue {
  std::string name, prefix, service;
  int priority = 0, attempts = 4;
  std::int64_t advice_valid_ms = 0;  // Above 0: the queue has advice.
};

// Entries, agents, workers and the store. Ends all processes when it is destroyed.
class Site {
 public:
  explicit Site(const SiteOptions& options);
  ~Site();
  // Writes a configuration with these queues, as the operator does.
  void Configure(const std::vector<Queue>& queues);
  // Waits until all entries are ready and a probe job has run; false when that takes too long.
  bool WaitUntilServing(const std::string& prefix);
  std::vector<std::unique_ptr<Worker>>& Workers() { return m_workers; }
  // Submits a job as a client does: asks again with the same id at another entry after no answer,
  // 502 and 504, and after 429 and 503. Returns the last status.
  int Submit(const std::string& prefix, const std::string& id, const std::string& body);
  // Returns the state of the job as shown by some entry; empty: no entry told it in time.
  std::string StateOf(const std::string& prefix, const std::string& id);
  int Cancel(const std::string& prefix, const std::string& id);
  std::string NextId();

 private:
  void Launch(const std::string& name, const std::string& settings, int drain_s);
  std::string m_folder;
  std::vector<int> m_fronts, m_readies;
  std::unique_ptr<Store> m_store;
  std::vector<std::unique_ptr<Worker>> m_workers;
  std::vector<int> m_pids;
  std::uint64_t m_version = 0, m_next_id = 1, m_next_entry = 0;
  std::mutex m_mutex;
};

// Writes the record to record.txt in the folder and returns the exit code: 1 broken, 0 held.
int Conclude(const std::string& folder, const std::vector<std::string>& breaks);

}  // namespace review
