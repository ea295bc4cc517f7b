/// Runs a site of real processes under faults and judges what callers and workers saw.
#include <fmt/core.h>
#include <gflags/gflags.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <map>
#include <set>
#include <thread>

#include "faults.h"
#include "http.h"
#include "judge.h"
#include "site.h"
#include "traffic.h"

DEFINE_string(bin, "build/bin", "folder with ebonypind and ebonypin_standin");
DEFINE_string(folder, "build/chaos", "folder for settings and logs of the processes");
DEFINE_uint64(seed, 1, "seed of traffic and faults");
DEFINE_uint32(seconds, 30, "time during which faults are played, in seconds");
DEFINE_uint32(base_port, 0, "first of 500 ports that are used; 0 derives it from the process id");
DEFINE_bool(faults, true, "play faults; without, only the rolling restart at the end");
DEFINE_uint32(settle_seconds, 60, "time after the faults for accepted jobs to finish, in seconds");

namespace ebonypin::chaos {
namespace {

using namespace std::chrono_literals;

/// Returns the first port: as the flag says, or one that other runs on this machine are unlikely to
/// use.
std::uint16_t BasePort() {
  constexpr std::uint32_t kFirst = 10'000;
  constexpr std::uint32_t kRanges = 40;
  constexpr std::uint32_t kPorts = 500;
  if (FLAGS_base_port != 0) return static_cast<std::uint16_t>(FLAGS_base_port);
  return static_cast<std::uint16_t>(kFirst +
                                    static_cast<std::uint32_t>(getpid()) % kRanges * kPorts);
}

/// Waits until every entry and every worker stand-in answers; returns false after 20 s.
bool AwaitSite(const Site& site) {
  std::vector<std::string> urls;
  for (std::size_t i = 0; i < site.EntryCount(); ++i)
    urls.push_back(site.EntryUrl(i) + "/v1/status");
  for (std::size_t i = 0; i < site.WorkerCount(); ++i)
    urls.push_back(site.WorkerUrl(i) + "/history");
  const auto give_up = std::chrono::steady_clock::now() + 20s;
  for (const auto& url : urls) {
    while (true) {
      const auto answer = CallJson("GET", url, "", web::json::value::null(), 2s);
      if (answer && answer->m_status == 200) break;
      if (std::chrono::steady_clock::now() > give_up) {
        fmt::print("no answer from {}\n", url);
        return false;
      }
      std::this_thread::sleep_for(100ms);
    }
  }
  return true;
}

/// Returns the state of `job` from the first entry that knows it.
std::optional<FinalJob> ReadJob(const std::vector<std::string>& entries, const std::string& job) {
  for (const auto& entry : entries) {
    const auto answer = CallJson("GET", entry, "/v1/jobs/" + job, web::json::value::null(), 3s);
    if (!answer || answer->m_status != 200) continue;
    return FinalJob{.m_job = job,
                    .m_request = TextOf(answer->m_body, "id"),
                    .m_class = TextOf(answer->m_body, "class"),
                    .m_state = TextOf(answer->m_body, "state"),
                    .m_outcome = TextOf(answer->m_body, "outcome"),
                    .m_result = TextOf(answer->m_body, "result")};
  }
  return std::nullopt;
}

void ReadWorkers(const Site& site, History& history) {
  for (std::size_t i = 0; i < site.WorkerCount(); ++i) {
    const auto answer =
        CallJson("GET", site.WorkerUrl(i), "/history", web::json::value::null(), 5s);
    if (!answer) continue;
    for (const auto& item : answer->m_body.at("history").as_array()) {
      history.m_worker_events.push_back({.m_worker = "worker-" + std::to_string(i),
                                         .m_at_us = item.at("at_us").as_number().to_int64(),
                                         .m_what = item.at("what").as_string(),
                                         .m_id = item.at("job").as_string(),
                                         .m_attempt = item.at("attempt").as_number().to_uint32()});
    }
  }
}

/// Waits until every accepted job is closed, then reads all jobs that a caller or a worker knows.
void ReadJobs(const std::vector<std::string>& entries, History& history) {
  std::set<std::string> open;
  for (const auto& call : history.m_calls) {
    if (!call.m_job.empty()) open.insert(call.m_job);
  }
  for (const auto& event : history.m_worker_events) {
    if (event.m_what == "start") open.insert(event.m_id);
  }
  const auto give_up =
      std::chrono::steady_clock::now() + std::chrono::seconds{FLAGS_settle_seconds};
  while (!open.empty()) {
    const bool last = std::chrono::steady_clock::now() > give_up;
    for (auto job = open.begin(); job != open.end();) {
      const auto state = ReadJob(entries, *job);
      if (state && (last || state->m_state == "closed")) history.m_jobs.push_back(*state);
      if (last && (!state || state->m_state != "closed")) ++history.m_unfinished_jobs;
      job = last || (state && state->m_state == "closed") ? open.erase(job) : std::next(job);
    }
    std::this_thread::sleep_for(200ms);
  }
}

const char* NameOf(const Told told) {
  switch (told) {
    case Told::kDone:
      return "done";
    case Told::kAccepted:
      return "accepted";
    case Told::kNotRun:
      return "not_run";
    case Told::kUnknown:
      return "unknown";
    case Told::kBroken:
      return "broken";
  }
  return "";
}

void PrintCalls(const History& history) {
  std::map<std::string, std::map<std::string, std::uint64_t>> counts;
  std::map<std::string, std::vector<double>> done;
  for (const auto& call : history.m_calls) {
    ++counts[call.m_class][NameOf(call.m_told)];
    if (call.m_told == Told::kDone || call.m_told == Told::kAccepted)
      done[call.m_class].push_back(call.m_millis);
  }
  fmt::print("{:<14} {:>7} {:>9} {:>8} {:>8} {:>7} {:>8} {:>8}\n", "class", "done", "accepted",
             "not_run", "unknown", "broken", "p50 ms", "p99 ms");
  for (auto& [name, of_class] : counts) {
    auto& times = done[name];
    std::sort(times.begin(), times.end());
    const auto at = [&times](const double share) {
      return times.empty()
                 ? 0.0
                 : times[static_cast<std::size_t>(share * static_cast<double>(times.size() - 1))];
    };
    fmt::print("{:<14} {:>7} {:>9} {:>8} {:>8} {:>7} {:>8.1f} {:>8.1f}\n", name, of_class["done"],
               of_class["accepted"], of_class["not_run"], of_class["unknown"], of_class["broken"],
               at(0.5), at(0.99));
  }
}

void PrintErrors(const History& history) {
  std::map<std::string, std::uint64_t> counts;
  for (const auto& call : history.m_calls) {
    if (!call.m_error.empty()) ++counts[std::string(NameOf(call.m_told)) + " " + call.m_error];
  }
  for (const auto& [error, count] : counts) fmt::print("error: {} x {}\n", error, count);
}

int Run() {
  std::filesystem::remove_all(FLAGS_folder);
  std::filesystem::create_directories(FLAGS_folder);

  Site site({.m_bin = FLAGS_bin, .m_folder = FLAGS_folder, .m_base_port = BasePort()});
  site.StartAll();
  TrafficOptions traffic_options{.m_seed = FLAGS_seed};
  for (std::size_t i = 0; i < site.EntryCount(); ++i)
    traffic_options.m_entries.push_back(site.EntryUrl(i));
  if (!AwaitSite(site) || !CreateClasses(traffic_options)) {
    fmt::print("the site did not come up; see {}\nviolations: 1\n", FLAGS_folder);
    return 1;
  }

  Recorder recorder;
  FaultPlayer faults(site, FLAGS_seed);
  {
    Traffic traffic(traffic_options, recorder);
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{FLAGS_seconds};
    while (std::chrono::steady_clock::now() < end) {
      if (FLAGS_faults) {
        faults.Step();
      } else {
        std::this_thread::sleep_for(100ms);
      }
    }
    faults.Heal();
    if (!FLAGS_faults) faults.RollingRestart();
    traffic.Stop();
  }
  auto& history = recorder.Get();
  ReadWorkers(site, history);
  ReadJobs(traffic_options.m_entries, history);
  history.m_worker_events.clear();
  ReadWorkers(site, history);

  const auto verdict = Judge(history, {.m_exclusive_classes = {"render", "certificate"}});
  PrintCalls(history);
  PrintErrors(history);
  for (const auto& [fault, count] : faults.Counts()) fmt::print("fault: {} x {}\n", fault, count);
  fmt::print("operations checked: {}, worker events: {}, jobs: {}, unfinished: {}\n",
             verdict.m_checked, history.m_worker_events.size(), history.m_jobs.size(),
             history.m_unfinished_jobs);
  for (const auto& violation : verdict.m_violations) {
    fmt::print("violation: {}: {}\n", violation.m_rule, violation.m_detail);
  }
  fmt::print("violations: {}\n", verdict.m_violations.size());
  return verdict.m_violations.empty() ? 0 : 1;
}

}  // namespace
}  // namespace ebonypin::chaos

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "runs a site of real processes under faults; the last line counts violations");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return ebonypin::chaos::Run();
}
