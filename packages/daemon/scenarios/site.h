/// A small deployment in one process for scenario tests: the log stand-in, entries and scripted
/// agents, connected over loopback.
#pragma once

#include <cpprest/http_client.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "ebonypin/daemon/role.h"
#include "ebonypin/standin/standin.h"
#include "ebonypin/wire/rpc.h"

namespace ebonypin::daemon {

/// Answer of an entry to an HTTP call.
struct HttpResult {
  int m_status = 0;
  web::json::value m_body;
  std::string m_retry_after;
  std::string m_connection;  ///< Header Connection.

  /// Returns the string field `field` of the body, or "" when it is absent.
  [[nodiscard]] std::string Text(const std::string& field) const;
  /// Returns the kind of the error in the body, or "" when there is no error.
  [[nodiscard]] std::string ErrorKind() const;
};

/// Agent that grants every reservation, starts every job, and returns the payload of a request or
/// job as its result. Work with the payload "hold" ends only when Release is called.
class ScriptedAgent {
 public:
  ScriptedAgent(std::string id, std::vector<std::string> entries);
  ~ScriptedAgent();

  /// Ends all held work.
  void Release();

  /// Returns the number of job attempts that were started.
  [[nodiscard]] int Starts() const;

 private:
  void Serve(const core::Message& message, const wire::ReplyFunction& reply);
  void SendUntilStopped();
  void Report(const core::TaskReport& report, std::size_t entry);

  const std::string m_id;
  const std::vector<std::string> m_entries;
  mutable std::mutex m_mutex;
  bool m_stopping = false;
  int m_starts = 0;
  std::vector<std::function<void()>> m_held;
  std::map<std::string, core::TaskReport> m_reports;  ///< Reports not yet acknowledged, by job.
  std::unique_ptr<wire::Rpc> m_rpc;
  std::thread m_sender;
};

class Site {
 public:
  /// Starts the log, which retains its records for `retention`, and `entries` entries, and waits
  /// until each entry can accept jobs.
  explicit Site(std::size_t entries, core::Duration retention = std::chrono::hours{24});
  ~Site();

  [[nodiscard]] Role& Entry(std::size_t entry) { return *m_entries[entry]; }
  void StopEntry(std::size_t entry) { m_entries[entry].reset(); }
  /// Starts a stopped entry again, at the same addresses.
  void StartEntry(std::size_t entry);
  [[nodiscard]] std::vector<std::string> RpcAddresses() const { return m_rpc; }

  /// Calls entry number `entry`. A status of 0 means that there was no answer.
  HttpResult Call(std::size_t entry, const std::string& method, const std::string& path,
                  const std::string& body = {}) const;

  /// Creates a class on entry 0 and waits until every entry knows it.
  void CreateClass(const std::string& name, const std::string& fields) const;

  /// Sets the faults of the log stand-in.
  void SetFaults(const std::string& json) const;

 private:
  const core::Duration m_retention;
  std::string m_log_address;
  std::vector<std::string> m_http;
  std::vector<std::string> m_rpc;
  std::unique_ptr<standin::Standin> m_log;
  std::vector<std::unique_ptr<Role>> m_entries;
};

/// Calls the HTTP server at `address`. A status of 0 means that there was no answer.
HttpResult SendHttp(const std::string& address, const std::string& method, const std::string& path,
                    const std::string& body);

/// Writes a record into the store stand-in at `store`.
void PutRecord(const std::string& store, const std::string& topic, const std::string& key,
               const std::string& value);

/// Writes the operators' configuration into the store stand-in at `store`.
void PutConfigText(const std::string& store, const std::string& text);

/// Returns a function that sends requests without a body over one connection.
[[nodiscard]] std::function<HttpResult(const std::string& method, const std::string& path)>
OpenHttp(const std::string& address);

/// Returns an address of the loopback interface whose port was free at the time of the call. Never
/// returns an address twice.
std::string FreeAddress(const std::string& ip = "127.0.0.1");

/// Waits until `condition` holds, for at most 20 s. Returns whether it does.
bool WaitUntil(const std::function<bool()>& condition);

}  // namespace ebonypin::daemon
