/// Runs generated fault schedules and prints their coverage and the violations found.
#include <gflags/gflags.h>

#include <cstdio>
#include <string>

#include "ebonypin/faults/explore.h"

DEFINE_uint64(seed, 1, "seed of the schedules");
DEFINE_int32(rounds, 200, "number of schedules to run");

int main(int argc, char** argv) {
  using ebonypin::faults::Explore, ebonypin::faults::Exploration, ebonypin::faults::FaultKind,
      ebonypin::faults::FaultName, ebonypin::faults::kFaultKinds;
  gflags::SetUsageMessage("runs generated fault schedules against the decision core");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const Exploration found = Explore({.m_seed = FLAGS_seed, .m_rounds = FLAGS_rounds});
  std::printf("seed: %llu\nrounds: %zu\n", static_cast<unsigned long long>(FLAGS_seed),
              found.m_rounds);
  for (std::size_t i = 0; i < kFaultKinds; ++i)
    std::printf("fault %s: %zu\n", std::string(FaultName(static_cast<FaultKind>(i))).c_str(),
                found.m_faults[i]);
  std::printf("operations checked: %zu\n", found.m_operations);
  if (!found.m_schedule.empty())
    std::printf("smallest failing schedule: %s\n", found.m_schedule.c_str());
  for (const std::string& violation : found.m_violations)
    std::printf("violation: %s\n", violation.c_str());
  std::printf("violations: %zu\n", found.m_violations.size());
  return found.m_violations.empty() ? 0 : 1;
}
