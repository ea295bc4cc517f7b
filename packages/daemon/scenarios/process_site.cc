#include "process_site.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <stdexcept>
#include <utility>

#include "ebonypin/standin/users_messages.h"

DECLARE_string(run_worker_control);
DECLARE_string(run_worker_id);

namespace ebonypin::daemon {
namespace {

using namespace std::chrono_literals;

/// The drain notice of an entry, 2.5 s, and time for its last answers.
constexpr auto kDrainFlag = "--drain_seconds=3";
/// Outgoing connections leave from 127.0.0.1, so they never take the port of a process that is
/// about to start again.
constexpr auto kListenIp = "127.0.1.1";
constexpr auto kMetricsTimeout = 500ms;
const std::string kFirstJob = "ffffffffffffffff";

void PutConfig(const std::string& store) {
  const std::string usual_host = "127.0.0.1";
  auto config = standin::UsersConfig(1, "/renders/");
  config.replace(config.find(usual_host), usual_host.size(), kListenIp);
  PutConfigText(store, config);
}

}  // namespace

ProcessSite::ProcessSite(const std::size_t entries, const std::size_t agents,
                         std::string log_folder, std::string entry_settings)
    : m_log_folder(std::move(log_folder)), m_entry_settings(std::move(entry_settings)) {
  const auto store = m_store_address = FreeAddress(kListenIp);
  m_store = standin::CreateStandin("store", store);
  m_store->Start();
  PutConfig(store);
  const auto store_address = m_network.Open(StoreName(), store);
  for (std::size_t i = 0; i < entries; ++i) AddEntry(store_address);
  for (std::size_t i = 0; i < agents; ++i) AddAgent(store_address);
  // A finished job with one task for each agent shows that every agent has a grant.
  const bool ready = WaitUntil([&] {
    (void)Submit(0, kFirstJob, "run 1", static_cast<int>(agents));
    return StateOf(entries - 1, kFirstJob) == "done";
  });
  if (!ready) throw std::runtime_error("the site did not come up" + DescribeEnded());
}

ProcessSite::~ProcessSite() {
  // Processes end first, since they call the stand-ins.
  m_entries.clear();
  m_agents.clear();
  m_workers.clear();
}

std::string ProcessSite::EntryName(const std::size_t entry) {
  return fmt::format("entry-{}", entry);
}
std::string ProcessSite::AgentName(const std::size_t agent) {
  return fmt::format("agent-{}", agent);
}

void ProcessSite::AddEntry(const std::string& store) {
  const auto name = EntryName(m_entries.size());
  const auto listen = FreeAddress(kListenIp);
  Member member{
      .m_http = FreeAddress(kListenIp), .m_rpc = listen, .m_metrics = FreeAddress(kListenIp)};
  member.m_settings = fmt::format(
      "[process]\nrole = fleet_entry\nid = {}\ndomain = domain-a\nrpc = {}\nrpc_listen = {}\n"
      "http = {}\nreadiness = {}\nmetrics = {}\n[store]\nurl = http://{}\n{}",
      name, m_network.Open(name, listen), listen, member.m_http, FreeAddress(kListenIp),
      member.m_metrics, store, m_entry_settings);
  StartMember(name, member);
  m_entries.push_back(std::move(member));
}

void ProcessSite::AddAgent(const std::string& store) {
  const auto name = AgentName(m_agents.size());
  const auto listen = FreeAddress(kListenIp);
  const auto control = FreeAddress(kListenIp);
  const auto worker = FreeAddress(kListenIp);
  Member member;
  member.m_settings = fmt::format(
      "[process]\nrole = fleet_agent\nid = {}\ndomain = domain-a\nrpc = {}\nrpc_listen = {}\n"
      "control = {}\n[store]\nurl = http://{}\n[worker]\nurl = http://{}\n",
      name, m_network.Open(name, listen), listen, control, store, worker);
  StartMember(name, member);
  FLAGS_run_worker_control = control;
  FLAGS_run_worker_id = fmt::format("w-{}", m_agents.size());
  m_agents.push_back(std::move(member));
  m_worker_addresses.push_back(worker);
  m_workers.push_back(standin::CreateStandin("run_worker", worker));
  m_workers.back()->Start();
}

void ProcessSite::StartMember(const std::string& name, Member& member) {
  const auto log = fmt::format("{}/{}.log", m_log_folder, name);
  member.m_process =
      std::make_unique<DaemonProcess>(member.m_settings, std::vector<std::string>{kDrainFlag}, log);
  m_network.SetProcess(name, member.m_process->Pid());
}

std::string ProcessSite::DescribeEnded() {
  std::string text;
  for (std::size_t i = 0; i < m_entries.size(); ++i) {
    if (m_entries[i].m_process->HasEnded()) text += "; " + EntryName(i) + " has ended";
  }
  for (std::size_t i = 0; i < m_agents.size(); ++i) {
    if (m_agents[i].m_process->HasEnded()) text += "; " + AgentName(i) + " has ended";
  }
  return text;
}

std::vector<std::size_t> ProcessSite::RestartEnded() {
  std::vector<std::size_t> restarted;
  for (std::size_t i = 0; i < m_entries.size(); ++i) {
    if (!m_entries[i].m_process->HasEnded()) continue;
    StartMember(EntryName(i), m_entries[i]);
    restarted.push_back(i);
  }
  return restarted;
}

HttpResult ProcessSite::Call(const std::size_t entry, const std::string& method,
                             const std::string& path, const std::string& body) const {
  return SendHttp(m_entries[entry].m_http, method, path, body);
}

int ProcessSite::Submit(const std::size_t entry, const std::string& id, const std::string& payload,
                        const int count) const {
  const auto job = standin::UsersJob(payload, count, payload == "last");
  return Call(entry, "POST", "/renders/" + id, job).m_status;
}

std::string ProcessSite::StateOf(const std::size_t entry, const std::string& id) const {
  return Call(entry, "GET", "/renders/" + id).Text(standin::kUsersJobState);
}

std::optional<std::size_t> ProcessSite::Coordinator(const std::vector<std::size_t>& among) const {
  for (const auto entry : among) {
    try {
      web::http::client::http_client_config config;
      config.set_timeout(kMetricsTimeout);
      web::http::client::http_client client("http://" + m_entries[entry].m_metrics, config);
      const auto text =
          client.request(web::http::methods::GET, "/metrics").get().extract_string(true).get();
      if (text.find("ebonypin_fleet_is_coordinator 1") != std::string::npos) return entry;
    } catch (const std::exception&) {
      continue;  // The process is not running; the others are asked.
    }
  }
  return std::nullopt;
}

void ProcessSite::SetStoreFaults(const std::string& json) const {
  (void)SendHttp(m_store_address, "POST", "/faults", json);
}

void ProcessSite::SetWorkerFaults(const std::string& json) const {
  for (const auto& worker : m_worker_addresses) (void)SendHttp(worker, "POST", "/faults", json);
}

int ProcessSite::RefusedAppends() const {
  return SendHttp(m_store_address, "GET", "/sim", {}).m_body.at("refused").as_integer();
}

std::vector<ObservedRun> ProcessSite::Runs() const {
  std::vector<ObservedRun> runs;
  for (std::size_t i = 0; i < m_workers.size(); ++i) {
    const auto found = ReadRuns(fmt::format("w-{}", i), m_worker_addresses[i]);
    runs.insert(runs.end(), found.begin(), found.end());
  }
  return runs;
}

}  // namespace ebonypin::daemon
