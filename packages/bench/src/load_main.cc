/// Load generator: latency and rate of an entry, beside the endpoint called directly.
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <iostream>

#include "load.h"

DEFINE_string(entry, "127.0.0.1:7001", "ip:port of an entry's HTTP API");
DEFINE_string(endpoint, "", "ip:port of an endpoint, called directly in turn with the entry");
DEFINE_string(path, "/v1/requests", "path of the entry: /v1/requests or /v1/jobs");
DEFINE_string(work_class, "lookup", "class of the work");
DEFINE_string(payload, "", "payload of each request");
DEFINE_uint32(concurrency, 1, "calls at a time, each on its own connection");
DEFINE_uint64(count, 20000, "most calls of each target");
DEFINE_double(seconds, 10, "longest time for each target");
DEFINE_uint32(rounds, 10, "turns into which the run of each target is divided");

namespace {

using ebonypin::bench::LoadResult;

void Print(const std::string& name, const LoadResult& result) {
  std::string statuses;
  for (const auto& [status, count] : result.m_statuses) {
    statuses += fmt::format(" {}:{}", status, count);
  }
  std::cout << fmt::format(
      "{:<10} calls {:>8}  rate/s {:>9.1f}  p50_us {:>9.0f}  p99_us {:>9.0f}  p999_us {:>9.0f}  "
      "status{}\n",
      name, result.Good(), result.Rate(), ebonypin::bench::LatencyQuantile(result.m_latency, 0.5),
      ebonypin::bench::LatencyQuantile(result.m_latency, 0.99),
      ebonypin::bench::LatencyQuantile(result.m_latency, 0.999), statuses);
}

}  // namespace

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "measures latency and rate; usage: ebonypin_load --entry=IP:PORT [--endpoint=IP:PORT]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_rounds == 0 || FLAGS_concurrency == 0 || FLAGS_seconds <= 0) {
    std::cerr << "error: --rounds, --concurrency and --seconds must be above 0\n";
    return 2;
  }
  const ebonypin::bench::LoadTarget entry{
      .m_address = FLAGS_entry, .m_path = FLAGS_path, .m_body = [](const std::uint64_t n) {
        return fmt::format(R"({{"id":"load-{}","class":"{}","payload":"{}"}})", n, FLAGS_work_class,
                           FLAGS_payload);
      }};
  const ebonypin::bench::LoadTarget endpoint{
      .m_address = FLAGS_endpoint,
      .m_path = "/serve",
      .m_body = [](const std::uint64_t) { return FLAGS_payload; },
      .m_content_type = "text/plain"};
  const ebonypin::bench::LoadBounds bounds{
      .m_count = std::max<std::uint64_t>(1, FLAGS_count / FLAGS_rounds),
      .m_time =
          std::chrono::milliseconds{static_cast<std::int64_t>(FLAGS_seconds * 1000 / FLAGS_rounds)},
      .m_concurrency = FLAGS_concurrency};
  LoadResult by_entry;
  LoadResult direct;
  // Targets take turns, so that noise of the machine falls on both.
  for (std::uint64_t round = 0; round < FLAGS_rounds; ++round) {
    const auto first = round * bounds.m_count;
    if (!FLAGS_endpoint.empty()) {
      ebonypin::bench::AddTo(direct, ebonypin::bench::RunLoad(endpoint, bounds, first));
    }
    ebonypin::bench::AddTo(by_entry, ebonypin::bench::RunLoad(entry, bounds, first));
  }
  if (!FLAGS_endpoint.empty()) Print("endpoint", direct);
  Print("entry", by_entry);
  if (direct.Good() > 0 && by_entry.Good() > 0) {
    for (const double share : {0.5, 0.99}) {
      const auto with = ebonypin::bench::LatencyQuantile(by_entry.m_latency, share);
      const auto without = ebonypin::bench::LatencyQuantile(direct.m_latency, share);
      std::cout << fmt::format("added p{:g} {:.0f} us, ratio {:.2f}\n", share * 100, with - without,
                               with / without);
    }
  }
  return by_entry.Good() > 0 ? 0 : 1;
}
