#include "fleet_site.h"

#include <gflags/gflags.h>

#include <stdexcept>
#include <utility>

#include "ebonypin/config/settings.h"
#include "ebonypin/platform/users_platform.h"
#include "ebonypin/standin/users_messages.h"

DECLARE_string(run_worker_control);
DECLARE_string(run_worker_id);

namespace ebonypin::daemon {
namespace {

std::string GetText(const std::string& address, const std::string& path) {
  try {
    web::http::client::http_client client("http://" + address);
    return client.request(web::http::methods::GET, path).get().extract_string(true).get();
  } catch (const std::exception&) {
    return {};  // The process is not running; the caller tries the others.
  }
}

int SumOf(const std::vector<std::string>& texts, const std::string& field) {
  int sum = 0;
  for (const auto& text : texts) sum += web::json::value::parse(text).at(field).as_integer();
  return sum;
}

}  // namespace

FleetSite::FleetSite(const std::size_t entries, const std::size_t agents, const bool with_config,
                     const core::Duration hold)
    : m_hold(hold), m_store_address(FreeAddress()), m_advice_address(FreeAddress()) {
  m_store = standin::CreateStandin("store", m_store_address);
  m_store->Start();
  m_advice = standin::CreateStandin("advice", m_advice_address);
  m_advice->Start();
  if (with_config) PutConfig(1, "/renders/");
  m_entries.resize(entries);
  m_agents.resize(agents);
  for (std::size_t i = 0; i < entries; ++i) {
    m_entry_addresses.push_back({FreeAddress(), FreeAddress(), FreeAddress(), FreeAddress()});
    StartEntry(i);
  }
  for (std::size_t i = 0; i < agents; ++i) {
    m_agent_addresses.push_back({FreeAddress(), FreeAddress(), FreeAddress()});
    StartAgent(i);
    FLAGS_run_worker_control = m_agent_addresses[i].m_control;
    FLAGS_run_worker_id = "w-" + std::to_string(i);
    m_workers.push_back(standin::CreateStandin("run_worker", m_agent_addresses[i].m_worker));
    m_workers[i]->Start();
  }
  if (!with_config) return;
  // A finished job with one task for each agent shows that every agent has a grant.
  const bool ready = WaitUntil([&] {
    (void)Submit(0, "ffffffffffffffff", "run 1", static_cast<int>(agents));
    return StateOf(entries - 1, "ffffffffffffffff") == "done";
  });
  if (!ready) throw std::runtime_error("the site did not come up");
}

FleetSite::~FleetSite() {
  // Roles are destroyed first, since they answer calls of the stand-ins.
  m_entries.clear();
  m_agents.clear();
  m_workers.clear();
}

void FleetSite::StartEntry(const std::size_t entry) {
  const auto& at = m_entry_addresses[entry];
  config::Settings settings{.m_role = "fleet_entry",
                            .m_id = "entry-" + std::to_string(entry),
                            .m_domain = "domain-a",
                            .m_http_address = at.m_http,
                            .m_rpc_address = at.m_rpc,
                            .m_metrics_address = at.m_metrics,
                            .m_readiness_address = at.m_readiness,
                            .m_store_url = "http://" + m_store_address,
                            .m_advice_url = "http://" + m_advice_address,
                            .m_calls_hold = m_hold};
  m_entries[entry] = CreateRole(settings.m_role, settings);
  m_entries[entry]->Start();
}

void FleetSite::StartAgent(const std::size_t agent) {
  const auto& at = m_agent_addresses[agent];
  config::Settings settings{.m_role = "fleet_agent",
                            .m_id = "agent-" + std::to_string(agent),
                            .m_domain = "domain-a",
                            .m_rpc_address = at.m_rpc,
                            .m_control_address = at.m_control,
                            .m_store_url = "http://" + m_store_address,
                            .m_worker_url = "http://" + at.m_worker};
  m_agents[agent] = CreateRole(settings.m_role, settings);
  m_agents[agent]->Start();
}

HttpResult FleetSite::Call(const std::size_t entry, const std::string& method,
                           const std::string& path, const std::string& body) const {
  return SendHttp(m_entry_addresses[entry].m_http, method, path, body);
}

std::function<HttpResult(const std::string&, const std::string&)> FleetSite::OpenConnection(
    const std::size_t entry) const {
  return OpenHttp(m_entry_addresses[entry].m_http);
}

HttpResult FleetSite::Submit(const std::size_t entry, const std::string& id,
                             const std::string& payload, const int count) const {
  return Call(entry, "POST", "/renders/" + id,
              standin::UsersJob(payload, count, payload == "last"));
}

std::string FleetSite::StateOf(const std::size_t entry, const std::string& id) const {
  return Call(entry, "GET", "/renders/" + id).Text(standin::kUsersJobState);
}

int FleetSite::WorkerCount(const std::string& counter) const {
  std::vector<std::string> texts;
  for (const auto& at : m_agent_addresses) texts.push_back(GetText(at.m_worker, "/sim"));
  return SumOf(texts, counter);
}

int FleetSite::Starts() const { return WorkerCount("starts"); }

int FleetSite::Running() const { return WorkerCount("running"); }

int FleetSite::RefusedTickets() const { return WorkerCount("refused_tickets"); }

void FleetSite::SetStoreFaults(const std::string& json) const {
  (void)SendHttp(m_store_address, "POST", "/faults", json);
}

int FleetSite::RefusedAppends() const {
  return SumOf({GetText(m_store_address, "/sim")}, "refused");
}

void FleetSite::SetWorkerFaults(const std::size_t worker, const std::string& json) const {
  (void)SendHttp(m_agent_addresses[worker].m_worker, "POST", "/faults", json);
}

HttpResult FleetSite::SendHeartbeat(const std::size_t agent, const std::string& id,
                                    const std::string& body) const {
  return SendHttp(m_agent_addresses[agent].m_control, "POST", "/instances/" + id + "/heartbeat",
                  body);
}

void FleetSite::PutRecord(const std::string& topic, const std::string& key,
                          const std::string& value) const {
  daemon::PutRecord(m_store_address, topic, key, value);
}

void FleetSite::PutConfig(const int version, const std::string& prefix,
                          const std::string& advice) const {
  PutRecord(platform::GetPlatformPlugin()->m_config_topic,
            platform::GetPlatformPlugin()->m_config_key,
            standin::UsersConfig(version, prefix, advice));
}

void FleetSite::SetAdviceSilent(const bool silent) const {
  (void)SendHttp(m_advice_address, "POST", "/faults",
                 silent ? R"({"silent":true})" : R"({"silent":false})");
}

int FleetSite::AdviceCount(const std::string& counter) const {
  return SumOf({GetText(m_advice_address, "/sim")}, counter);
}

void FleetSite::SetEvacuation(const std::string& domain, const bool requested) const {
  PutRecord(platform::GetPlatformPlugin()->m_config_topic,
            platform::GetPlatformPlugin()->m_evacuation_prefix + domain, requested ? "{}" : "");
}

bool FleetSite::WaitForEvacuations(const std::size_t entry, const std::size_t count) const {
  const auto line = "ebonypin_fleet_evacuated_domains " + std::to_string(count);
  return WaitUntil([&] {
    return GetText(m_entry_addresses[entry].m_metrics, "/metrics").find(line) != std::string::npos;
  });
}

std::size_t FleetSite::Coordinator() const {
  std::size_t found = m_entries.size();
  (void)WaitUntil([&] {
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
      if (m_entries[i] == nullptr) continue;
      const auto text = GetText(m_entry_addresses[i].m_metrics, "/metrics");
      if (text.find("ebonypin_fleet_is_coordinator 1") != std::string::npos) found = i;
    }
    return found < m_entries.size();
  });
  return found;
}

}  // namespace ebonypin::daemon
