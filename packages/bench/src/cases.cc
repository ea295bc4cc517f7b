#include "cases.h"

namespace ebonypin::bench {

const std::vector<Case>& Cases() {
  static const std::vector<Case> cases = {
      {"krakow_crest", RunKrakowCrest},       {"assoc_crest", RunAssocCrest},
      {"stragglers", RunStragglers},          {"overload", RunOverload},
      {"noisy_waves", RunNoisyWaves},         {"failing_worker", RunFailingWorker},
      {"impossible_jobs", RunImpossibleJobs}, {"cancel_burst", RunCancelBurst},
      {"misdeclared", RunMisdeclared},        {"fleet", RunFleet}};
  return cases;
}

}  // namespace ebonypin::bench
