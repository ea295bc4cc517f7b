/// Ejects workers that fail what they start, and takes them back after trial work.
///
/// A worker that fails quickly looks free and draws work, so it has to be recognised by outcomes.
/// Only outliers are ejected: when work fails everywhere, the work is at fault. In each failure
/// domain only a share of the workers is ejected.
#pragma once

#include <unordered_map>
#include <vector>

#include "ebonypin/core/fleet_view.h"
#include "ebonypin/core/time.h"

namespace ebonypin::core {

struct EjectionOptions {
  double m_min_failures = 3.0;    ///< Recent failures before a worker is judged.
  double m_failure_share = 0.5;   ///< Share of recent outcomes that are failures.
  double m_outlier_factor = 3.0;  ///< Times the failure share of the other workers.
  double m_window = 20.0;         ///< Recent outcomes remembered per worker.
  double m_domain_share = 0.34;   ///< Largest ejected share of a domain; one is always allowed.
  Duration m_first_ejection = std::chrono::seconds{10};  ///< First ejection; doubles each time.
  Duration m_longest_ejection = std::chrono::minutes{5};
  std::uint32_t m_trials = 3;  ///< Successful trials, one at a time, before return.
  /// A trial without an outcome for this long is given up, and another may start.
  Duration m_trial_timeout = std::chrono::seconds{30};
};

enum class EjectionPhase : std::uint8_t { kServing, kEjected, kTrial };

/// Recent outcomes of one worker.
struct EjectionRecord {
  Incarnation m_incarnation = 0;
  EjectionPhase m_phase = EjectionPhase::kServing;
  double m_successes = 0.0;
  double m_failures = 0.0;
  std::uint32_t m_ejections = 0;  ///< Ejections without a return in between.
  Time m_until{};                 ///< End of the ejection, or timeout of the running trial.
  bool m_trial_running = false;
  std::uint32_t m_trials_passed = 0;
};

struct EjectionState {
  std::unordered_map<AgentId, EjectionRecord> m_records;
  double m_successes = 0.0;  ///< Recent outcomes of all workers.
  double m_failures = 0.0;
};

/// What a change of phase was.
enum class EjectionChange : std::uint8_t { kNone, kEjected, kReturned };

/// Learns the outcome of work that `agent` has started, and ejects or returns it in `fleet`.
EjectionChange RecordOutcome(EjectionState& state, FleetView& fleet, const EjectionOptions& options,
                             const AgentId& agent, bool succeeded, Time now);

/// Work was sent to `agent`. A worker on trial gets no more until its outcome is known.
void RecordSent(EjectionState& state, FleetView& fleet, const EjectionOptions& options,
                const AgentId& agent, Time now);

/// Work sent to `agent` was not run, which says nothing about its outcomes.
void RecordNotRun(EjectionState& state, FleetView& fleet, const AgentId& agent);

/// Begins the trials that are due and forgets workers that are gone. Call about once a second.
/// Returns the agents whose trial begins.
std::vector<AgentId> SweepEjection(EjectionState& state, FleetView& fleet, Time now);

}  // namespace ebonypin::core
