/// The cases of the benchmark. Each adds its figures and bounds to the report.
#pragma once

#include "report.h"

namespace ebonypin::bench {

using RunCase = void (*)(Report& report, std::uint64_t seed);

struct Case {
  std::string m_name;
  RunCase m_run = nullptr;
};

/// All cases, most important first.
[[nodiscard]] const std::vector<Case>& Cases();

void RunKrakowCrest(Report& report, std::uint64_t seed);
void RunAssocCrest(Report& report, std::uint64_t seed);
void RunStragglers(Report& report, std::uint64_t seed);
void RunOverload(Report& report, std::uint64_t seed);
void RunNoisyWaves(Report& report, std::uint64_t seed);
void RunFailingWorker(Report& report, std::uint64_t seed);
void RunImpossibleJobs(Report& report, std::uint64_t seed);
void RunCancelBurst(Report& report, std::uint64_t seed);
void RunMisdeclared(Report& report, std::uint64_t seed);
void RunFleet(Report& report, std::uint64_t seed);

}  // namespace ebonypin::bench
