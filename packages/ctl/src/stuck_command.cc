#include <fmt/format.h>

#include <algorithm>

#include "commands.h"
#include "table.h"

namespace ebonypin::ctl {
namespace {

using web::json::value;

// Same time as the silence after which an agent is suspected; a log last read longer ago counts as
// behind.
constexpr std::uint64_t kStaleAfterMillis = 3000;

struct Finding {
  std::string m_what;
  std::string m_effect;
  std::string m_remedy;
};

void CheckLog(const std::string& name, const value& log, std::vector<Finding>& findings) {
  if (!IsTrue(log, "caught_up") || NumberOf(log, "age_ms") > kStaleAfterMillis) {
    findings.push_back({fmt::format("{} log last read {} ms ago", name, NumberOf(log, "age_ms")),
                        "new jobs and changes are refused, ends of jobs are held back",
                        "check the log service and the network to it"});
  }
  if (NumberOf(log, "gaps") > 0) {
    findings.push_back({fmt::format("{} log has {} gaps", name, NumberOf(log, "gaps")),
                        "records were dropped before this entry read them",
                        "lengthen the retention of the log service"});
  }
}

void CheckShards(const value& status, std::vector<Finding>& findings) {
  const auto shards = ListOf(status, "shards");
  const auto unowned = std::count_if(shards.begin(), shards.end(), [](const value& shard) {
    return TextOf(shard, "owner").empty();
  });
  if (unowned == 0) return;
  findings.push_back({fmt::format("{} of {} shards have no owner", unowned, shards.size()),
                      "their jobs wait until an entry claims them",
                      "nothing for 10 s after a start or loss of an entry; then check the log"});
}

/// Returns whether `instance` accepts new work.
bool IsReady(const value& instance) {
  return !IsTrue(instance, "suspected") && !IsTrue(instance, "ejected") &&
         !IsTrue(instance, "drained") && !IsTrue(instance, "draining");
}

void CheckInstances(const std::vector<value>& instances, std::vector<Finding>& findings) {
  for (const auto& instance : instances) {
    const auto id = TextOf(instance, "id");
    const auto work = NumberOf(instance, "slots_busy") + NumberOf(instance, "queued");
    if (IsTrue(instance, "suspected")) {
      findings.push_back(
          {fmt::format("instance {} silent for {} ms", id, NumberOf(instance, "silent_ms")),
           fmt::format("its {} running or queued items wait or are moved", work),
           "replace the instance if it stays silent"});
    } else if (IsTrue(instance, "ejected")) {
      findings.push_back({fmt::format("instance {} ejected for its failures", id),
                          "it gets trial work only", "look at the worker's own log"});
    } else if (!IsReady(instance) && work > 0) {
      findings.push_back({fmt::format("instance {} drains", id),
                          fmt::format("{} running or queued items end first", work),
                          "wait, or see 'ebonypinctl drain --wait'"});
    }
  }
  if (std::none_of(instances.begin(), instances.end(), IsReady)) {
    findings.push_back({"no instance takes work", "all work waits or is refused",
                        "start an agent, or undrain an instance"});
  }
}

/// Collects the stuck jobs from every live entry, since each entry knows only the jobs of its own
/// shards.
void CheckJobs(Context& context, const value& status, std::vector<Finding>& findings) {
  for (const auto& entry : ListOf(status, "entries")) {
    ApiClient client({"http://" + TextOf(entry, "http")});
    const auto stuck = client.Call(
        {.m_path = "/v1/stuck", .m_retry_safe = true, .m_timeout = context.m_options.m_timeout});
    if (!stuck.Ok()) {
      findings.push_back({fmt::format("entry {} does not answer", TextOf(entry, "entry")),
                          "the jobs of its shards are not listed here", "ask again in 10 s"});
      continue;
    }
    for (const auto& job : ListOf(stuck.m_body, "jobs")) {
      const auto instance = TextOf(job, "instance");
      findings.push_back(
          {fmt::format("job {} of class {}{}", TextOf(job, "job"), TextOf(job, "class"),
                       instance.empty() ? "" : " on instance " + instance),
           TextOf(job, "reason"), "see docs/operators.md, or cancel it with 'job cancel'"});
    }
  }
}

}  // namespace

int Stuck(Context& context, const Arguments&) {
  const auto status = Get(context, "/v1/status");
  if (!status.Ok()) {
    PrintJson(context, status);
    return ReportFailure(context, status, "stuck");
  }
  const auto instances = Get(context, "/v1/instances");
  if (!instances.Ok()) {
    PrintJson(context, instances);
    return ReportFailure(context, instances, "stuck");
  }
  std::vector<Finding> findings;
  const auto logs = ObjectOf(status.m_body, "log");
  CheckLog("jobs", ObjectOf(logs, "jobs"), findings);
  CheckLog("config", ObjectOf(logs, "config"), findings);
  CheckShards(status.m_body, findings);
  CheckInstances(ListOf(instances.m_body, "instances"), findings);
  CheckJobs(context, status.m_body, findings);
  if (context.m_options.m_json) {
    std::vector<value> list;
    for (const auto& finding : findings) {
      auto json = value::object();
      json["what"] = value::string(finding.m_what);
      json["effect"] = value::string(finding.m_effect);
      json["remedy"] = value::string(finding.m_remedy);
      list.push_back(json);
    }
    auto json = value::object();
    json["findings"] = value::array(list);
    context.m_out << json.serialize() << '\n';
    return kExitOk;
  }
  if (findings.empty()) {
    context.m_out << "nothing holds work back\n";
    return kExitOk;
  }
  std::vector<std::vector<std::string>> rows{{"WHAT", "EFFECT", "REMEDY"}};
  for (const auto& finding : findings)
    rows.push_back({finding.m_what, finding.m_effect, finding.m_remedy});
  context.m_out << FormatTable(rows);
  return kExitOk;
}

}  // namespace ebonypin::ctl
