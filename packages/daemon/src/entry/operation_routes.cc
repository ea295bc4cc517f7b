#include "api_routes.h"
#include "json_codec.h"

namespace ebonypin::daemon {
namespace {

using web::json::value;

constexpr std::uint64_t kMaxListed = 1000;
constexpr std::uint64_t kDefaultListed = 100;

std::int64_t Millis(const core::Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

value LogJson(const LogStream& log) {
  const auto status = log.Status();
  value json = value::object();
  json["age_ms"] = status.m_reads == 0 ? value::null() : value::number(Millis(log.Age()));
  json["caught_up"] = value::boolean(status.m_caught_up);
  json["position"] = value::number(status.m_position);
  json["first_kept"] = value::number(status.m_first_kept);
  json["gaps"] = value::number(status.m_gaps);
  json["failures"] = value::number(status.m_failures);
  json["pending"] = value::number(static_cast<std::uint64_t>(log.Pending()));
  return json;
}

value InstanceJson(const core::AgentView& agent) {
  value json = value::object();
  json["id"] = value::string(agent.m_agent.m_value);
  json["incarnation"] = value::number(agent.m_incarnation);
  json["domain"] = value::string(agent.m_domain.m_value);
  json["rpc"] = value::string(agent.m_rpc_address);
  json["capacity"] = ToJson(agent.m_capacity);
  json["committed"] = ToJson(agent.m_load.m_committed);
  json["slots"] = value::number(agent.m_slots);
  json["slots_busy"] = value::number(agent.m_load.m_slots_busy);
  json["queued"] = value::number(agent.m_load.m_queued);
  json["latency_us"] = value::number(agent.m_load.m_latency_us);
  json["in_flight"] = value::number(agent.m_in_flight);
  json["draining"] = value::boolean(agent.m_load.m_draining);
  json["drained"] = value::boolean(agent.m_drained);
  json["suspected"] = value::boolean(agent.m_suspected);
  json["ejected"] = value::boolean(agent.m_ejected);
  json["silent_ms"] = value::number(Millis(Now() - agent.m_last_heard));
  return json;
}

void ServeStatus(const EntryParts& parts, const Respond& respond) {
  const auto self = parts.m_members.Self();
  const auto live = parts.m_members.Live();
  value entries = value::array(live.size());
  for (std::size_t i = 0; i < live.size(); ++i) entries[i] = ToJson(live[i]);
  value shards = value::array(core::kShardCount);
  std::size_t open = 0;
  parts.m_jobs.WithTable([&](const core::JobTable& table) {
    open = core::OpenCount(table);
    for (core::ShardIndex i = 0; i < core::kShardCount; ++i) {
      value shard = value::object();
      shard["shard"] = value::number(i);
      shard["owner"] = value::string(table.m_shards[i].m_owner.m_value);
      shard["epoch"] = value::number(table.m_shards[i].m_epoch);
      shards[i] = std::move(shard);
    }
  });
  value log = value::object();
  log["jobs"] = LogJson(parts.m_region_log);
  log["config"] = LogJson(parts.m_config_log);
  value json = value::object();
  json["entry"] = value::string(self.m_entry.m_value);
  json["incarnation"] = value::number(self.m_incarnation);
  json["region"] = value::string(parts.m_region);
  json["domain"] = value::string(parts.m_domain);
  json["draining"] = value::boolean(parts.m_leaving);
  json["log"] = std::move(log);
  json["config_offset"] = value::number(parts.m_config.Offset());
  json["entries"] = std::move(entries);
  json["shards"] = std::move(shards);
  const auto requests = parts.m_requests.Counters().m_in_flight;
  json["requests_in_flight"] = value::number(static_cast<std::uint64_t>(requests));
  json["jobs_open"] = value::number(static_cast<std::uint64_t>(open));
  const auto instances = parts.m_requests.Agents().size();
  json["instances"] = value::number(static_cast<std::uint64_t>(instances));
  respond({.m_body = std::move(json)});
}

value StuckJson(const core::StuckJob& job) {
  value json = value::object();
  json["job"] = value::string(job.m_job.m_value);
  json["class"] = value::string(job.m_class.m_value);
  json["attempt"] = value::number(job.m_attempt);
  json["instance"] = value::string(job.m_agent.m_value);
  json["reason"] = value::string(job.m_reason);
  return json;
}

void ServeStuck(const EntryParts& parts, const ApiCall& call, const Respond& respond) {
  const auto jobs = parts.m_owner.Stuck(QueryNumber(call, "limit", kDefaultListed, kMaxListed));
  value list = value::array(jobs.size());
  for (std::size_t i = 0; i < jobs.size(); ++i) list[i] = StuckJson(jobs[i]);
  value json = value::object();
  json["jobs"] = std::move(list);
  respond({.m_body = std::move(json)});
}

void ServeInstances(const EntryParts& parts, const Respond& respond) {
  const auto agents = parts.m_requests.Agents();
  value instances = value::array(agents.size());
  for (std::size_t i = 0; i < agents.size(); ++i) instances[i] = InstanceJson(agents[i]);
  value json = value::object();
  json["instances"] = std::move(instances);
  respond({.m_body = std::move(json)});
}

void ServeAudit(const EntryParts& parts, const ApiCall& call, const Respond& respond) {
  constexpr auto kNewest = std::numeric_limits<std::uint64_t>::max();
  const auto changes = parts.m_config.Audit(QueryNumber(call, "before", kNewest, kNewest),
                                            QueryNumber(call, "limit", kDefaultListed, kMaxListed));
  value list = value::array(changes.size());
  for (std::size_t i = 0; i < changes.size(); ++i) list[i] = ToJson(changes[i]);
  value json = value::object();
  json["changes"] = std::move(list);
  respond({.m_body = std::move(json)});
}

}  // namespace

void AddOperationRoutes(const EntryParts& parts) {
  using web::http::methods;
  parts.m_http.Add(methods::GET, "/v1/status", [parts](const ApiCall&, const Respond& respond) {
    ServeStatus(parts, respond);
  });
  parts.m_http.Add(methods::GET, "/v1/instances", [parts](const ApiCall&, const Respond& respond) {
    ServeInstances(parts, respond);
  });
  parts.m_http.Add(methods::GET, "/v1/stuck", [parts](const ApiCall& call, const Respond& respond) {
    ServeStuck(parts, call, respond);
  });
  parts.m_http.Add(methods::GET, "/v1/audit", [parts](const ApiCall& call, const Respond& respond) {
    ServeAudit(parts, call, respond);
  });
}

}  // namespace ebonypin::daemon
