/// Traffic of `make demo`: callers of both deployments, and the judgement of what came of it.
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <iostream>
#include <optional>
#include <sstream>

#include "demo/demo_report.h"
#include "demo/demo_traffic.h"

DEFINE_string(entries, "", "base URLs of the entries, separated by commas");
DEFINE_string(workers, "", "base URLs of the worker stand-ins, separated by commas");
DEFINE_uint32(seconds, 12, "how long to send, in seconds");
DEFINE_uint32(patience, 45, "longest wait for the ends afterwards, in seconds");
DEFINE_uint64(seed, 1, "seed of the traffic");

namespace {

namespace demo = ebonypin::bench::demo;
using demo::Flow;

std::vector<std::string> SplitList(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) parts.push_back(part);
  return parts;
}

/// Classes of examples/krakow.ini and examples/association.ini.
std::vector<Flow> Flows() {
  return {
      {.m_class = "preview", .m_per_second = 40, .m_min_run_ms = 15, .m_max_run_ms = 30},
      {.m_class = "render",
       .m_kind = Flow::Kind::kJob,
       .m_per_second = 3,
       .m_min_run_ms = 200,
       .m_max_run_ms = 600,
       .m_non_idempotent = true},
      {.m_class = "archive_sync",
       .m_kind = Flow::Kind::kJob,
       .m_per_second = 1,
       .m_min_run_ms = 1000,
       .m_max_run_ms = 3000},
      {.m_class = "certificate",
       .m_kind = Flow::Kind::kJob,
       .m_per_second = 8,
       .m_min_run_ms = 30,
       .m_max_run_ms = 60,
       .m_non_idempotent = true},
      {.m_class = "lookup", .m_per_second = 60, .m_min_run_ms = 4, .m_max_run_ms = 10},
      {.m_class = "price_watch", .m_kind = Flow::Kind::kWatch, .m_per_second = 5},
  };
}

/// Returns what all workers ran, or nothing when one does not tell.
std::optional<std::vector<demo::WorkerEvent>> ReadHistory(const std::vector<std::string>& urls) {
  demo::HttpClients workers(urls);
  std::vector<demo::WorkerEvent> history;
  for (std::size_t i = 0; i < urls.size(); ++i) {
    const auto outcome = workers.CallAndWait(i, "GET", "/history", web::json::value::null());
    if (outcome.m_status != 200 || !outcome.m_body.has_array_field("history")) {
      std::cerr << "error: no history from worker " << urls[i] << "; check that it runs\n";
      return std::nullopt;
    }
    for (const auto& event : outcome.m_body.at("history").as_array()) {
      history.push_back({.m_at_us = event.at("at_us").as_number().to_int64(),
                         .m_what = demo::TextOf(event, "what"),
                         .m_id = demo::TextOf(event, "job")});
    }
  }
  return history;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "sends the demo's traffic; usage: ebonypin_demo --entries=URL,... --workers=URL,...\n"
      "exit codes: 0 promises held, 1 promises broken, 2 wrong command line");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const auto entries = SplitList(FLAGS_entries);
  const auto workers = SplitList(FLAGS_workers);
  if (entries.empty() || workers.empty()) {
    std::cerr << "error: pass --entries and --workers; 'make demo' does\n";
    return 2;
  }
  const auto flows = Flows();
  demo::Traffic traffic({.m_entries = entries,
                         .m_flows = flows,
                         .m_length = std::chrono::seconds{FLAGS_seconds},
                         .m_patience = std::chrono::seconds{FLAGS_patience},
                         .m_seed = FLAGS_seed});
  std::uint32_t second = 0;
  traffic.Run([&second](const demo::Progress& progress) {
    std::cout << fmt::format("[{:>3} s] sent {}, ended {}\n", ++second, progress.m_sent,
                             progress.m_ended)
              << std::flush;
  });
  const auto history = ReadHistory(workers);
  if (!history) return 1;
  const auto result = demo::Judge(flows, traffic.Items(), *history);
  std::cout << '\n' << demo::FormatResult(result) << std::flush;
  return result.PromisesHeld() ? 0 : 1;
}
