#include "run_checks.h"

#include <cpprest/http_client.h>
#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace ebonypin::daemon {
namespace {

std::string Describe(const ObservedRun& run) {
  return fmt::format("run {} at {} from {} us to {} us, {}", run.m_run, run.m_worker, run.m_started,
                     run.m_ended ? std::to_string(*run.m_ended) : "now",
                     run.m_how.empty() ? "at work" : run.m_how);
}

}  // namespace

std::vector<ObservedRun> ReadRuns(const std::string& worker, const std::string& address) {
  web::http::client::http_client client("http://" + address);
  const auto rows = client.request(web::http::methods::GET, "/sim/runs").get().extract_json().get();
  std::vector<ObservedRun> runs;
  for (const auto& row : rows.as_array()) {
    ObservedRun run{.m_task = row.at("Task").as_string(),
                    .m_run = row.at("Run").as_number().to_uint64(),
                    .m_worker = worker,
                    .m_started = row.at("StartedUs").as_number().to_int64(),
                    .m_how = row.at("How").as_string(),
                    .m_acknowledged = row.at("Acknowledged").as_bool()};
    if (row.has_field("EndedUs")) run.m_ended = row.at("EndedUs").as_number().to_int64();
    runs.push_back(std::move(run));
  }
  return runs;
}

std::vector<std::string> FindRunsTwice(std::vector<ObservedRun> runs) {
  std::sort(runs.begin(), runs.end(), [](const auto& a, const auto& b) {
    return std::tie(a.m_task, a.m_started) < std::tie(b.m_task, b.m_started);
  });
  std::vector<std::string> found;
  for (std::size_t later = 1; later < runs.size(); ++later) {
    const auto& run = runs[later];
    for (std::size_t i = later; i-- > 0 && runs[i].m_task == run.m_task;) {
      const auto& earlier = runs[i];
      const auto ended = earlier.m_ended.value_or(std::numeric_limits<std::int64_t>::max());
      const bool overlaps = run.m_started < ended;
      const bool was_done = earlier.m_how == "done" && earlier.m_acknowledged;
      if (!overlaps && !was_done) continue;
      found.push_back(fmt::format("{}: {}: {}; {}", run.m_task,
                                  overlaps ? "two runs at once" : "a start after its end",
                                  Describe(earlier), Describe(run)));
    }
  }
  return found;
}

}  // namespace ebonypin::daemon
