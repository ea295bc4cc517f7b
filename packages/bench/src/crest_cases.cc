/// Load swings tenfold within seconds while long work runs.
#include "case_tools.h"

namespace ebonypin::bench {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

Scenario Krakow(const std::uint64_t seed) {
  std::mt19937_64 random{seed};
  Scenario scenario{.m_name = "krakow_crest", .m_length = 240s};
  scenario.m_classes = {PreviewClass(),
                        {.m_spec = {.m_name = {"render"},
                                    .m_kind = core::ClassKind::kJob,
                                    .m_exclusive = true,
                                    .m_non_idempotent = true,
                                    .m_target = {.m_finish_within = 300s}},
                         .m_size = {.m_cpu_millis = 2000, .m_memory_mb = 5000},
                         .m_median_run = 15s,
                         .m_run_sigma = 0.6},
                        {.m_spec = {.m_name = {"archive_sync"}, .m_kind = core::ClassKind::kJob},
                         .m_size = {.m_cpu_millis = 1000, .m_memory_mb = 4000},
                         .m_median_run = 40s,
                         .m_run_sigma = 0.5}};
  const Crests crests = MakeCrests(scenario.m_length, 25s, random);
  AddArrivals(scenario, 0, 50.0, &crests, random);
  AddBursts(scenario, 1, 10s, 18, random);
  AddArrivals(scenario, 2, 0.2, nullptr, random);
  SortByTime(scenario);
  return scenario;
}

Scenario Association(const std::uint64_t seed) {
  std::mt19937_64 random{seed};
  Scenario scenario{.m_name = "assoc_crest", .m_length = 120s, .m_domains = 4};
  scenario.m_link.m_remote = 4ms;
  scenario.m_classes = {{.m_spec = {.m_name = {"lookup"},
                                    .m_kind = core::ClassKind::kRequest,
                                    .m_target = {.m_start_within = 50ms, .m_latency = 150ms}},
                         .m_short = true,
                         .m_size = {.m_cpu_millis = 1000, .m_memory_mb = 500},
                         .m_median_run = 15ms},
                        {.m_spec = {.m_name = {"certificate"},
                                    .m_kind = core::ClassKind::kJob,
                                    .m_exclusive = true,
                                    .m_non_idempotent = true,
                                    .m_target = {.m_finish_within = 60s, .m_throughput = 10.0}},
                         .m_size = {.m_cpu_millis = 1500, .m_memory_mb = 2000},
                         .m_median_run = 2500ms},
                        {.m_spec = {.m_name = {"price_watch"}, .m_kind = core::ClassKind::kRequest},
                         .m_short = true,
                         .m_size = {.m_cpu_millis = 500, .m_memory_mb = 200},
                         .m_median_run = 5ms}};
  const Crests crests = MakeCrests(scenario.m_length, 20s, random);
  AddArrivals(scenario, 0, 250.0, &crests, random);
  AddBursts(scenario, 1, 5s, 60, random);
  AddArrivals(scenario, 2, 50.0, nullptr, random);
  SortByTime(scenario);
  return scenario;
}

}  // namespace

void RunKrakowCrest(Report& report, const std::uint64_t seed) {
  const Scenario whole = Krakow(seed);
  constexpr std::uint32_t kPreview = 0b001;
  constexpr std::uint32_t kBatch = 0b110;
  const auto measure = [&](const Scenario& scenario, const std::string& policy,
                           const MakePolicy make) {
    const RunResult result = PlayAndCount(report, scenario, policy, make, seed);
    AddLatency(report, scenario, policy, "preview", result, 0);
    AddHol(report, scenario, policy, result);
    Add(report, scenario, policy, "batch_rate", "1/s", DoneRate(scenario, result, kBatch));
  };
  measure(whole, "naive", MakeNaive);
  measure(whole, "ebonypin", MakeEbonypin);
  const Scenario previews = Only(whole, kPreview);
  const RunResult alone = PlayAndCount(report, previews, "alone", MakeEbonypin, seed);
  AddLatency(report, previews, "alone", "preview", alone, 0);
  const Scenario batch = Only(whole, kBatch);
  const RunResult batch_alone = PlayAndCount(report, batch, "alone", MakeEbonypin, seed);
  Add(report, batch, "alone", "batch_rate", "1/s", DoneRate(batch, batch_alone, kBatch));
  const std::string& name = whole.m_name;
  const auto value = [&](const char* policy, const char* metric) {
    return ValueOf(report, name, policy, metric);
  };
  AddAtMost(report, name, "preview_p99 <= 1.25 x alone", value("ebonypin", "preview_p99"),
            1.25 * value("alone", "preview_p99"));
  AddAtMost(report, name, "preview_p99 <= 0.25 x naive", value("ebonypin", "preview_p99"),
            0.25 * value("naive", "preview_p99"));
  AddAtMost(report, name, "hol_p99 <= 10 ms", value("ebonypin", "hol_p99"), 10.0);
  AddAtLeast(report, name, "hol_p99 of naive >= 10 x", value("naive", "hol_p99"),
             10.0 * value("ebonypin", "hol_p99"));
  AddAtLeast(report, name, "batch_rate >= 0.90 x alone", value("ebonypin", "batch_rate"),
             0.90 * value("alone", "batch_rate"));
}

void RunAssocCrest(Report& report, const std::uint64_t seed) {
  const Scenario whole = Association(seed);
  constexpr std::uint32_t kLookup = 0b001;
  constexpr std::uint32_t kCertificate = 0b010;
  const auto measure = [&](const std::string& policy, const MakePolicy make) {
    const RunResult result = PlayAndCount(report, whole, policy, make, seed);
    AddLatency(report, whole, policy, "lookup", result, 0);
    AddHol(report, whole, policy, result);
    Add(report, whole, policy, "certificate_rate", "1/s", DoneRate(whole, result, kCertificate));
  };
  measure("naive", MakeNaive);
  measure("ebonypin", MakeEbonypin);
  const Scenario lookups = Only(whole, kLookup);
  const RunResult alone = PlayAndCount(report, lookups, "alone", MakeEbonypin, seed);
  AddLatency(report, lookups, "alone", "lookup", alone, 0);
  const Scenario certificates = Only(whole, kCertificate);
  const RunResult batch_alone = PlayAndCount(report, certificates, "alone", MakeEbonypin, seed);
  Add(report, certificates, "alone", "certificate_rate", "1/s",
      DoneRate(certificates, batch_alone, kCertificate));
  const std::string& name = whole.m_name;
  const auto value = [&](const char* policy, const char* metric) {
    return ValueOf(report, name, policy, metric);
  };
  AddAtLeast(report, name, "certificate_rate >= 0.95 x alone",
             value("ebonypin", "certificate_rate"), 0.95 * value("alone", "certificate_rate"));
  AddAtMost(report, name, "lookup_p99 <= 1.25 x alone", value("ebonypin", "lookup_p99"),
            1.25 * value("alone", "lookup_p99"));
  AddAtMost(report, name, "lookup_p99 <= 0.25 x naive", value("ebonypin", "lookup_p99"),
            0.25 * value("naive", "lookup_p99"));
}

}  // namespace ebonypin::bench
