/// Outlier ejection: excludes workers whose work fails, and readmits them after successful trials.
///
/// A worker that fails quickly has a low load and attracts work, so it is detected by the outcomes
/// of its work. Only outliers are ejected, because work that fails on all workers is itself at
/// fault. At most a share of the workers of each failure domain is ejected.
#pragma once

#include <unordered_map>
#include <vector>

#include "ebonypin/core/fleet_view.h"
#include "ebonypin/core/time.h"

namespace ebonypin::core {

struct EjectionOptions {
  double m_min_failures = 3.0;    ///< Fewest recent failures for an ejection.
  double m_failure_share = 0.5;   ///< Smallest share of failures among recent outcomes.
  double m_outlier_factor = 3.0;  ///< Smallest ratio to the failure share of the other workers.
  double m_window = 20.0;         ///< Recent outcomes kept per worker.
  double m_domain_share = 0.34;   ///< Largest ejected share of a domain; one is always allowed.
  Duration m_first_ejection = std::chrono::seconds{10};  ///< Doubles with each further ejection.
  Duration m_longest_ejection = std::chrono::minutes{5};
  std::uint32_t m_trials = 3;  ///< Successful trials, one at a time, before readmission.
  /// A trial without an outcome for this long is abandoned, and another may start.
  Duration m_trial_timeout = std::chrono::seconds{30};
};

enum class EjectionPhase : std::uint8_t { kServing, kEjected, kTrial };

/// Recent outcomes and ejection state of one worker. Counts fade, so they are not whole numbers.
struct EjectionRecord {
  Incarnation m_incarnation = 0;
  EjectionPhase m_phase = EjectionPhase::kServing;
  double m_successes = 0.0;
  double m_failures = 0.0;
  std::uint32_t m_ejections = 0;  ///< Ejections since the last readmission.
  Time m_until{};                 ///< End of the ejection, or timeout of the running trial.
  bool m_trial_running = false;
  std::uint32_t m_trials_passed = 0;
};

struct EjectionState {
  std::unordered_map<AgentId, EjectionRecord> m_records;
  double m_successes = 0.0;  ///< Recent successes of all workers that are not ejected.
  double m_failures = 0.0;   ///< Recent failures of all workers that are not ejected.
};

/// Change of a worker's phase.
enum class EjectionChange : std::uint8_t { kNone, kEjected, kReturned };

/// Records the outcome of work that `agent` has started, and ejects or readmits it in `fleet`.
EjectionChange RecordOutcome(EjectionState& state, FleetView& fleet, const EjectionOptions& options,
                             const AgentId& agent, bool succeeded, Time now);

/// Records that work was sent to `agent`. A worker on trial gets no further work until the outcome
/// is known.
void RecordSent(EjectionState& state, FleetView& fleet, const EjectionOptions& options,
                const AgentId& agent, Time now);

/// Records that work sent to `agent` was not run. It counts neither as success nor as failure.
void RecordNotRun(EjectionState& state, FleetView& fleet, const AgentId& agent);

/// Begins the trials that are due and removes the records of workers that left the fleet. Call
/// about once a second. Returns the agents whose trial begins.
std::vector<AgentId> SweepEjection(EjectionState& state, FleetView& fleet, Time now);

}  // namespace ebonypin::core
