/// Measures the policy on virtual time against its bounds. Exits with 1 when a rule was breached.
#include <fmt/format.h>
#include <gflags/gflags.h>

#include <sstream>

#include "cases.h"

DEFINE_uint64(seed, 1, "seed of the traces and of all random choices");
DEFINE_string(out, "", "CSV file to write; empty for none");
DEFINE_string(cases, "", "run only the cases whose name contains this text");

DEFINE_uint32(throttle_ms, 5, "time until a throttled task has freed its slot");
DEFINE_uint32(entries, 0, "entries that share the agents; 0 for one in each failure domain");
DEFINE_string(without, "", "mechanisms to switch off, separated by commas; see docs/policy.md");

int main(int argc, char** argv) {
  gflags::SetUsageMessage("ebonypin_bench --seed=N --out=FILE [--cases=TEXT] [--without=LIST]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  ebonypin::bench::Report report;
  report.m_throttle_delay = std::chrono::milliseconds{FLAGS_throttle_ms};
  report.m_entries = FLAGS_entries;
  std::istringstream names(FLAGS_without);
  for (std::string name; std::getline(names, name, ',');) report.m_without.insert(name);
  for (const auto& one : ebonypin::bench::Cases()) {
    if (one.m_name.find(FLAGS_cases) != std::string::npos) one.m_run(report, FLAGS_seed);
  }
  ebonypin::bench::PrintReport(report);
  if (!FLAGS_out.empty() && !ebonypin::bench::WriteCsv(report, FLAGS_seed, FLAGS_out)) {
    fmt::print(stderr, "error: cannot write '{}'; choose a folder that exists\n", FLAGS_out);
    return 1;
  }
  return report.m_breaches > 0.0 ? 1 : 0;
}
