#include "site.h"

#include <arpa/inet.h>
#include <gflags/gflags.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <set>
#include <thread>
#include <utility>

#include "ebonypin/platform/users_platform.h"

DECLARE_int64(log_max_age_ms);

namespace ebonypin::daemon {
namespace {

using namespace std::chrono_literals;

}  // namespace

namespace {

web::http::client::http_client Connect(const std::string& address) {
  web::http::client::http_client_config config;
  config.set_timeout(20s);
  return {"http://" + address, config};
}

/// Returns status 0 when there is no answer.
HttpResult Send(web::http::client::http_client& client, const std::string& method,
                const std::string& path, const std::string& body) {
  try {
    web::http::http_request request(method);
    request.set_request_uri(path);
    if (!body.empty()) request.set_body(body, "application/json");
    auto response = client.request(request).get();
    HttpResult result{.m_status = response.status_code()};
    if (response.headers().content_length() > 0) result.m_body = response.extract_json(true).get();
    if (response.headers().has("Retry-After")) {
      result.m_retry_after = response.headers()["Retry-After"];
    }
    if (response.headers().has("Connection")) {
      result.m_connection = response.headers()["Connection"];
    }
    return result;
  } catch (const std::exception&) {
    return {};
  }
}

}  // namespace

HttpResult SendHttp(const std::string& address, const std::string& method, const std::string& path,
                    const std::string& body) {
  auto client = Connect(address);
  return Send(client, method, path, body);
}

void PutRecord(const std::string& store, const std::string& topic, const std::string& key,
               const std::string& value) {
  auto record = web::json::value::object();
  record["topic"] = web::json::value::string(topic);
  record["key"] = web::json::value::string(key);
  record["value"] = web::json::value::string(value);
  auto faults = web::json::value::object();
  faults["put"] = std::move(record);
  (void)SendHttp(store, "POST", "/faults", faults.serialize());
}

void PutConfigText(const std::string& store, const std::string& text) {
  const auto* const platform = platform::GetPlatformPlugin();
  PutRecord(store, platform->m_config_topic, platform->m_config_key, text);
}

std::function<HttpResult(const std::string&, const std::string&)> OpenHttp(
    const std::string& address) {
  return [client = Connect(address)](const std::string& method, const std::string& path) mutable {
    return Send(client, method, path, {});
  };
}

std::string FreeAddress(const std::string& ip) {
  // The kernel may choose the same free port twice.
  static std::mutex mutex;
  static std::set<std::string> given;
  const std::lock_guard lock(mutex);
  for (;;) {
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{.sin_family = AF_INET};
    (void)::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    socklen_t size = sizeof(address);
    (void)::bind(socket, reinterpret_cast<const sockaddr*>(&address), size);
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(socket);
    auto text = ip + ":" + std::to_string(ntohs(address.sin_port));
    if (given.insert(text).second) return text;
  }
}

std::string HttpResult::Text(const std::string& field) const {
  return m_body.is_object() && m_body.has_string_field(field) ? m_body.at(field).as_string() : "";
}

std::string HttpResult::ErrorKind() const {
  return m_body.is_object() && m_body.has_object_field("error")
             ? m_body.at("error").at("kind").as_string()
             : "";
}

bool WaitUntil(const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + 20s;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) return false;
    std::this_thread::sleep_for(10ms);
  }
  return true;
}

ScriptedAgent::ScriptedAgent(std::string id, std::vector<std::string> entries)
    : m_id(std::move(id)), m_entries(std::move(entries)) {
  m_rpc = std::make_unique<wire::Rpc>(wire::RpcOptions{
      .m_listen_ip = "127.0.0.1",
      .m_handler = [this](const core::Message& message, const wire::ReplyFunction& reply) {
        Serve(message, reply);
      }});
  m_sender = std::thread([this] { SendUntilStopped(); });
}

ScriptedAgent::~ScriptedAgent() {
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_sender.join();
  m_rpc.reset();
}

void ScriptedAgent::SendUntilStopped() {
  for (int round = 0;; ++round) {
    std::vector<core::TaskReport> reports;
    {
      const std::lock_guard lock(m_mutex);
      if (m_stopping) return;
      for (const auto& [job, report] : m_reports) reports.push_back(report);
    }
    const auto address = "127.0.0.1:" + std::to_string(m_rpc->Port());
    const core::Heartbeat heartbeat{.m_agent = {m_id},
                                    .m_incarnation = 1,
                                    .m_rpc_address = address,
                                    .m_capacity = {.m_cpu_millis = 8000, .m_memory_mb = 8000},
                                    .m_slots = 8};
    if (round % 10 == 0) {
      for (const auto& entry : m_entries) {
        m_rpc->Call(entry, heartbeat, 1s, [](const wire::CallResult&) {});
      }
    }
    for (const auto& report : reports) {
      for (std::size_t entry = 0; entry < m_entries.size(); ++entry) Report(report, entry);
    }
    std::this_thread::sleep_for(20ms);
  }
}

void ScriptedAgent::Report(const core::TaskReport& report, const std::size_t entry) {
  m_rpc->Call(m_entries[entry], report, 1s,
              [this, job = report.m_job.m_value](const wire::CallResult& result) {
                const auto* const reply = result.Get<core::TaskReportReply>();
                if (reply == nullptr || !reply->m_acknowledged) return;
                const std::lock_guard lock(m_mutex);
                m_reports.erase(job);
              });
}

void ScriptedAgent::Serve(const core::Message& message, const wire::ReplyFunction& reply) {
  const std::lock_guard lock(m_mutex);
  if (const auto* const run = std::get_if<core::RunRequest>(&message)) {
    const core::RunReply done{.m_request = run->m_request,
                              .m_try = run->m_try,
                              .m_kind = core::AnswerKind::kDone,
                              .m_result = run->m_payload,
                              .m_result_hash = core::StableHash(run->m_payload)};
    if (run->m_payload != "hold") return reply(done);
    m_held.emplace_back([reply, done] { reply(done); });
  } else if (std::holds_alternative<core::ReserveRequest>(message)) {
    reply(core::ReserveReply{.m_granted = true, .m_reservation = 1});
  } else if (const auto* const start = std::get_if<core::StartRequest>(&message)) {
    ++m_starts;
    const core::TaskReport report{.m_agent = {m_id},
                                  .m_incarnation = 1,
                                  .m_job = start->m_job,
                                  .m_attempt = start->m_attempt,
                                  .m_result = start->m_payload};
    if (start->m_payload == "hold") {
      m_held.emplace_back([this, report] { m_reports.emplace(report.m_job.m_value, report); });
    } else {
      m_reports.emplace(report.m_job.m_value, report);
    }
    reply(core::StartReply{.m_started = true});
  } else if (std::holds_alternative<core::FenceRequest>(message)) {
    reply(core::FenceReply{.m_phase = core::AttemptPhase::kRunning, .m_incarnation = 1});
  } else if (std::holds_alternative<core::CancelRequest>(message)) {
    reply(core::CancelReply{.m_stopped = true});
  }
}

void ScriptedAgent::Release() {
  const std::lock_guard lock(m_mutex);
  for (const auto& end : std::exchange(m_held, {})) end();
}

int ScriptedAgent::Starts() const {
  const std::lock_guard lock(m_mutex);
  return m_starts;
}

Site::Site(const std::size_t entries, const core::Duration retention)
    : m_retention(retention), m_log_address(FreeAddress()) {
  FLAGS_log_max_age_ms = std::chrono::duration_cast<std::chrono::milliseconds>(retention).count();
  m_log = standin::CreateStandin("log", m_log_address);
  m_log->Start();
  for (std::size_t i = 0; i < entries; ++i) {
    m_http.push_back(FreeAddress());
    m_rpc.push_back(FreeAddress());
  }
  m_entries.resize(entries);
  for (std::size_t i = 0; i < entries; ++i) StartEntry(i);
  for (std::size_t i = 0; i < entries; ++i) {
    WaitUntil([&] {
      const auto status = Call(i, "GET", "/v1/status");
      if (status.m_status != 200 || status.m_body.at("entries").size() != entries) return false;
      // An entry refuses changes of a topic that it has not read yet.
      const auto& log = status.m_body.at("log");
      return log.at("jobs").at("caught_up").as_bool() && log.at("config").at("caught_up").as_bool();
    });
  }
}

void Site::StartEntry(const std::size_t entry) {
  const config::Settings settings{.m_role = "entry",
                                  .m_id = "entry-" + std::to_string(entry),
                                  .m_region = "test",
                                  .m_domain = "d",
                                  .m_http_address = m_http[entry],
                                  .m_rpc_address = m_rpc[entry],
                                  .m_ready_after = std::chrono::milliseconds{1},
                                  .m_seeds = m_rpc,
                                  .m_log_url = "http://" + m_log_address,
                                  .m_log_retention = m_retention};
  m_entries[entry] = CreateRole("entry", settings);
  m_entries[entry]->Start();
}

Site::~Site() {
  m_entries.clear();
  m_log.reset();
}

HttpResult Site::Call(const std::size_t entry, const std::string& method, const std::string& path,
                      const std::string& body) const {
  return SendHttp(m_http[entry], method, path, body);
}

void Site::CreateClass(const std::string& name, const std::string& fields) const {
  const auto path = "/v1/classes/" + name;
  Call(0, "PUT", path,
       R"({"base_revision":0,"operator":"op","change_id":"create )" + name +
           R"(","spec":{"team":"t",)" + fields + "}}");
  for (std::size_t i = 0; i < m_entries.size(); ++i) {
    WaitUntil([&] { return Call(i, "GET", path).m_status == 200; });
  }
}

void Site::SetFaults(const std::string& json) const {
  SendHttp(m_log_address, "POST", "/faults", json);
}

}  // namespace ebonypin::daemon
