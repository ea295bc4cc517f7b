#include <fmt/format.h>

#include <algorithm>
#include <optional>

#include "class_json.h"
#include "commands.h"
#include "ebonypin/config/class_file.h"
#include "table.h"

namespace ebonypin::ctl {
namespace {

using namespace std::chrono_literals;
using web::json::value;

constexpr core::Duration kPollInterval = 1s;

std::string Number(const value& json, const std::string& name) {
  return std::to_string(NumberOf(json, name));
}

std::string Millis(const value& json, const std::string& name) {
  constexpr double kMicrosPerMilli = 1000.0;
  return fmt::format("{:.1f} ms", static_cast<double>(NumberOf(json, name)) / kMicrosPerMilli);
}

/// Returns the states of an instance, separated by commas, or "ready".
std::string InstanceState(const value& json) {
  std::vector<std::string> states;
  if (IsTrue(json, "suspected")) states.emplace_back("suspected");
  if (IsTrue(json, "ejected")) states.emplace_back("ejected");
  if (IsTrue(json, "drained")) states.emplace_back("drained");
  if (IsTrue(json, "draining")) states.emplace_back("draining");
  return states.empty() ? "ready" : fmt::format("{}", fmt::join(states, ","));
}

/// Returns the committed amount and the capacity as "committed/capacity".
std::string CommittedOfCapacity(const value& json, const std::string& quantity) {
  return fmt::format("{}/{}", NumberOf(ObjectOf(json, "committed"), quantity),
                     NumberOf(ObjectOf(json, "capacity"), quantity));
}

std::string LogLine(const std::string& name, const value& log) {
  return fmt::format("log {:<7} {}, {} ms old, position {}, {} pending, {} failures, {} gaps\n",
                     name + ":", IsTrue(log, "caught_up") ? "caught up" : "behind",
                     NumberOf(log, "age_ms"), NumberOf(log, "position"), NumberOf(log, "pending"),
                     NumberOf(log, "failures"), NumberOf(log, "gaps"));
}

int SetDrain(Context& context, const std::string& id, const bool draining) {
  auto body = value::object();
  body["draining"] = value::boolean(draining);
  body["operator"] = value::string(context.m_options.m_operator);
  body["change_id"] = value::string(context.m_new_id());
  const auto outcome = Send(context, "PUT", "/v1/instances/" + Encode(id) + "/drain", body, true);
  const bool printed = PrintJson(context, outcome);
  if (!outcome.Ok()) return ReportFailure(context, outcome, "instance " + id);
  if (!printed) {
    context.m_out << fmt::format("instance {}: {}\n", id,
                                 draining ? "takes no new work" : "takes work again");
  }
  return kExitOk;
}

/// Waits until instance `id` has no work, and reports how many items are left.
int WaitUntilIdle(Context& context, const std::string& id) {
  std::optional<std::uint64_t> last;
  while (true) {
    const auto outcome = Get(context, "/v1/instances");
    if (!outcome.Ok()) return ReportFailure(context, outcome, "instance " + id);
    const auto instances = ListOf(outcome.m_body, "instances");
    const auto found = std::find_if(instances.begin(), instances.end(),
                                    [&](const value& i) { return TextOf(i, "id") == id; });
    if (found == instances.end()) {
      context.m_err << fmt::format("instance {}: gone\n", id);
      return kExitOk;
    }
    const auto left = NumberOf(*found, "slots_busy") + NumberOf(*found, "queued");
    if (left != last) context.m_err << fmt::format("instance {}: {} running or queued\n", id, left);
    if (left == 0) return kExitOk;
    last = left;
    context.m_sleep(kPollInterval);
  }
}

std::string AuditValue(const value& json, const std::string& name) {
  const auto object = ObjectOf(json, name);
  if (object.size() == 0) return "none";
  if (object.has_field("draining")) return IsTrue(object, "draining") ? "draining" : "in use";
  return config::FormatTarget(ClassFromJson(object).m_target);
}

std::string AuditLine(const value& change) {
  return Printable(
      fmt::format("{}  {}  {}  {}  {} -> {}  {}", NumberOf(change, "offset"),
                  FormatWallTime(static_cast<std::int64_t>(NumberOf(change, "wall_ms"))),
                  TextOf(change, "operator"), TextOf(change, "subject"), AuditValue(change, "old"),
                  AuditValue(change, "new"), TextOf(change, "outcome")));
}

}  // namespace

int Status(Context& context, const Arguments&) {
  const auto outcome = Get(context, "/v1/status");
  const bool printed = PrintJson(context, outcome);
  if (!outcome.Ok()) return ReportFailure(context, outcome, "status");
  if (printed) return kExitOk;
  const auto& body = outcome.m_body;
  const auto logs = ObjectOf(body, "log");
  auto& out = context.m_out;
  out << fmt::format("entry:       {}{}, region {}, domain {}\n", TextOf(body, "entry"),
                     IsTrue(body, "draining") ? " (draining)" : "", TextOf(body, "region"),
                     TextOf(body, "domain"));
  out << LogLine("jobs", ObjectOf(logs, "jobs")) << LogLine("config", ObjectOf(logs, "config"));
  out << fmt::format("work:        {} requests in flight, {} jobs open, {} instances\n",
                     NumberOf(body, "requests_in_flight"), NumberOf(body, "jobs_open"),
                     NumberOf(body, "instances"));
  out << fmt::format("config:      in force up to log offset {}\n",
                     NumberOf(body, "config_offset"));
  std::vector<std::vector<std::string>> rows{{"ENTRY", "HTTP", "RPC", "STATE", "SHARDS"}};
  const auto shards = ListOf(body, "shards");
  for (const auto& entry : ListOf(body, "entries")) {
    const auto owned = std::count_if(shards.begin(), shards.end(), [&](const value& shard) {
      return TextOf(shard, "owner") == TextOf(entry, "entry");
    });
    rows.push_back({TextOf(entry, "entry"), TextOf(entry, "http"), TextOf(entry, "rpc"),
                    IsTrue(entry, "leaving") ? "leaving" : "live", std::to_string(owned)});
  }
  const auto unowned = std::count_if(shards.begin(), shards.end(), [](const value& shard) {
    return TextOf(shard, "owner").empty();
  });
  out << FormatTable(rows);
  if (unowned > 0) out << fmt::format("{} shards have no owner\n", unowned);
  return kExitOk;
}

int Instances(Context& context, const Arguments&) {
  const auto outcome = Get(context, "/v1/instances");
  const bool printed = PrintJson(context, outcome);
  if (!outcome.Ok()) return ReportFailure(context, outcome, "instances");
  if (printed) return kExitOk;
  std::vector<std::vector<std::string>> rows{{"INSTANCE", "DOMAIN", "STATE", "CPU MILLIS",
                                              "MEMORY MB", "ACCELERATORS", "SLOTS", "LATENCY",
                                              "HEARD"}};
  for (const auto& instance : ListOf(outcome.m_body, "instances")) {
    rows.push_back({TextOf(instance, "id"), TextOf(instance, "domain"), InstanceState(instance),
                    CommittedOfCapacity(instance, "cpu_millis"),
                    CommittedOfCapacity(instance, "memory_mb"),
                    CommittedOfCapacity(instance, "accelerators"),
                    Number(instance, "slots_busy") + "/" + Number(instance, "slots"),
                    Millis(instance, "latency_us"), Number(instance, "silent_ms") + " ms ago"});
  }
  context.m_out << FormatTable(rows);
  return kExitOk;
}

int Queues(Context& context, const Arguments&) {
  const auto status = Get(context, "/v1/status");
  if (!status.Ok()) {
    PrintJson(context, status);
    return ReportFailure(context, status, "queues");
  }
  const auto outcome = Get(context, "/v1/instances");
  if (!outcome.Ok()) {
    PrintJson(context, outcome);
    return ReportFailure(context, outcome, "queues");
  }
  std::vector<std::vector<std::string>> rows{
      {"INSTANCE", "STATE", "RUNNING", "QUEUED", "IN FLIGHT FROM THIS ENTRY"}};
  std::vector<value> list;
  std::uint64_t queued = 0;
  for (const auto& instance : ListOf(outcome.m_body, "instances")) {
    queued += NumberOf(instance, "queued");
    rows.push_back({TextOf(instance, "id"), InstanceState(instance),
                    Number(instance, "slots_busy") + "/" + Number(instance, "slots"),
                    Number(instance, "queued"), Number(instance, "in_flight")});
    auto json = value::object();
    json["id"] = value::string(TextOf(instance, "id"));
    for (const std::string name : {"slots", "slots_busy", "queued", "in_flight"})
      json[name] = value::number(NumberOf(instance, name));
    list.push_back(json);
  }
  const auto jobs = NumberOf(status.m_body, "jobs_open");
  const auto requests = NumberOf(status.m_body, "requests_in_flight");
  if (context.m_options.m_json) {
    auto json = value::object();
    json["jobs_open"] = value::number(jobs);
    json["requests_in_flight"] = value::number(requests);
    json["queued"] = value::number(queued);
    json["instances"] = value::array(list);
    context.m_out << json.serialize() << '\n';
    return kExitOk;
  }
  context.m_out << fmt::format("{} jobs open, {} requests in flight, {} queued at instances\n",
                               jobs, requests, queued)
                << FormatTable(rows);
  return kExitOk;
}

int Drain(Context& context, const Arguments& arguments) {
  const int code = SetDrain(context, arguments[0], true);
  if (code != kExitOk || !context.m_options.m_wait) return code;
  return WaitUntilIdle(context, arguments[0]);
}

int Undrain(Context& context, const Arguments& arguments) {
  return SetDrain(context, arguments[0], false);
}

int Audit(Context& context, const Arguments&) {
  const auto& options = context.m_options;
  std::uint64_t last_offset = 0;
  std::uint64_t printed = 0;
  for (bool first = true;; first = false) {
    const auto outcome = Get(context, fmt::format("/v1/audit?limit={}", options.m_limit));
    if (!outcome.Ok()) {
      if (first || !options.m_follow) {
        PrintJson(context, outcome);
        return ReportFailure(context, outcome, "audit");
      }
      // With --follow, the command keeps running while the entries restart.
      context.m_err << "no answer, trying again: " << Printable(outcome.m_error.m_message) << '\n';
    }
    auto changes = ListOf(outcome.m_body, "changes");
    std::reverse(changes.begin(), changes.end());
    for (const auto& change : changes) {
      const auto offset = NumberOf(change, "offset");
      if (!first && offset <= last_offset) continue;
      last_offset = std::max(last_offset, offset);
      context.m_out << (options.m_json ? change.serialize() : AuditLine(change)) << std::endl;
      if (++printed == options.m_count) return kExitOk;
    }
    if (!options.m_follow) return kExitOk;
    context.m_sleep(kPollInterval);
  }
}

}  // namespace ebonypin::ctl
