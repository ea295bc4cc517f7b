/// Runs a deployment of real processes under faults and checks the history of callers and workers.
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
DEFINE_string(folder, "build/chaos",
              "folder for settings and logs of the processes; it is emptied first");
DEFINE_uint64(seed, 1, "seed of the traffic and the faults");
DEFINE_uint32(seconds, 30, "time during which faults are injected, in seconds");
DEFINE_uint32(base_port, 0, "first of 500 ports that are used; 0 derives it from the process id");
DEFINE_bool(faults, true,
            "inject faults; without them, only restart the entries one by one at the end");
DEFINE_uint32(settle_seconds, 60, "time after the faults for accepted jobs to finish, in seconds");

namespace ebonypin::chaos {
namespace {

using namespace std::chrono_literals;

/// Returns the first port: the value of the flag, or one that other runs on this machine are
/// unlikely to use.
std::uint16_t BasePort() {
  constexpr std::uint32_t kFirst = 10'000;
  constexpr std::uint32_t kRanges = 40;
  constexpr std::uint32_t kPorts = 500;
  if (FLAGS_base_port != 0) return static_cast<std::uint16_t>(FLAGS_base_port);
  return static_cast<std::uint16_t>(kFirst +
                                    static_cast<std::uint32_t>(getpid()) % kRanges * kPorts);
}

/// Waits until every entry and every worker stand-in answers. Returns false when one does not
/// answer within 20 s.
bool WaitUntilReady(const Site& site) {
  std::vector<std::string> urls;
  for (std::size_t i = 0; i < site.EntryCount(); ++i)
    urls.push_back(site.EntryUrl(i) + "/v1/status");
  for (std::size_t i = 0; i < site.WorkerCount(); ++i)
    urls.push_back(site.WorkerUrl(i) + "/history");
  const auto deadline = std::chrono::steady_clock::now() + 20s;
  for (const auto& url : urls) {
    while (true) {
      const auto answer = CallJson("GET", url, "", web::json::value::null(), 2s);
      if (answer && answer->m_status == 200) break;
      if (std::chrono::steady_clock::now() > deadline) {
        fmt::print("no answer from {} within 20 s\n", url);
        return false;
      }
      std::this_thread::sleep_for(100ms);
    }
  }
  return true;
}

/// Returns the state of `job` from the first entry that has a record of it.
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

/// Reads every job that a caller or a worker has recorded, once it is closed. Jobs that are not
/// closed after --settle_seconds are counted as unfinished.
void ReadJobs(const std::vector<std::string>& entries, History& history) {
  std::set<std::string> open;
  for (const auto& call : history.m_calls) {
    if (!call.m_job.empty()) open.insert(call.m_job);
  }
  for (const auto& event : history.m_worker_events) {
    if (event.m_what == "start") open.insert(event.m_id);
  }
  const auto deadline =
      std::chrono::steady_clock::now() + std::chrono::seconds{FLAGS_settle_seconds};
  while (!open.empty()) {
    const bool last = std::chrono::steady_clock::now() > deadline;
    for (auto job = open.begin(); job != open.end();) {
      const auto state = ReadJob(entries, *job);
      if (state && (last || state->m_state == "closed")) history.m_jobs.push_back(*state);
      if (last && (!state || state->m_state != "closed")) ++history.m_unfinished_jobs;
      job = last || (state && state->m_state == "closed") ? open.erase(job) : std::next(job);
    }
    std::this_thread::sleep_for(200ms);
  }
}

const char* NameOf(const AnswerStatus status) {
  switch (status) {
    case AnswerStatus::kDone:
      return "done";
    case AnswerStatus::kAccepted:
      return "accepted";
    case AnswerStatus::kNotRun:
      return "not_run";
    case AnswerStatus::kUnknown:
      return "unknown";
    case AnswerStatus::kNoAnswer:
      return "broken";
  }
  return "";
}

void PrintCalls(const History& history) {
  std::map<std::string, std::map<std::string, std::uint64_t>> counts;
  std::map<std::string, std::vector<double>> done;
  for (const auto& call : history.m_calls) {
    ++counts[call.m_class][NameOf(call.m_answer_status)];
    if (call.m_answer_status == AnswerStatus::kDone ||
        call.m_answer_status == AnswerStatus::kAccepted)
      done[call.m_class].push_back(call.m_millis);
  }
  fmt::print("{:<14} {:>7} {:>9} {:>8} {:>8} {:>7} {:>8} {:>8}\n", "class", "done", "accepted",
             "not_run", "unknown", "broken", "p50 ms", "p99 ms");
  for (auto& [name, counts_by_status] : counts) {
    auto& times = done[name];
    std::sort(times.begin(), times.end());
    const auto percentile = [&times](const double fraction) {
      return times.empty() ? 0.0
                           : times[static_cast<std::size_t>(fraction *
                                                            static_cast<double>(times.size() - 1))];
    };
    fmt::print("{:<14} {:>7} {:>9} {:>8} {:>8} {:>7} {:>8.1f} {:>8.1f}\n", name,
               counts_by_status["done"], counts_by_status["accepted"], counts_by_status["not_run"],
               counts_by_status["unknown"], counts_by_status["broken"], percentile(0.5),
               percentile(0.99));
  }
}

void PrintErrors(const History& history) {
  std::map<std::string, std::uint64_t> counts;
  for (const auto& call : history.m_calls) {
    if (!call.m_error.empty())
      ++counts[std::string(NameOf(call.m_answer_status)) + " " + call.m_error];
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
  if (!WaitUntilReady(site) || !CreateClasses(traffic_options)) {
    fmt::print("the site did not come up; see {}\nviolations: 1\n", FLAGS_folder);
    return 1;
  }

  Recorder recorder;
  FaultInjector faults(site, FLAGS_seed);
  {
    Traffic traffic(traffic_options, recorder);
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{FLAGS_seconds};
    while (std::chrono::steady_clock::now() < end) {
      if (FLAGS_faults) {
        faults.InjectNext();
      } else {
        std::this_thread::sleep_for(100ms);
      }
    }
    faults.RestoreAll();
    if (!FLAGS_faults) faults.RollingRestart();
    traffic.Stop();
  }
  auto& history = recorder.Get();
  ReadWorkers(site, history);
  ReadJobs(traffic_options.m_entries, history);
  history.m_worker_events.clear();
  ReadWorkers(site, history);

  const auto verdict = CheckHistory(history, {.m_exclusive_classes = {"render", "certificate"}});
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
      "runs a deployment of real processes under faults; the last line counts violations");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return ebonypin::chaos::Run();
}
