#include "ebonypin/core/ejection.h"

#include <algorithm>

namespace ebonypin::core {
namespace {

/// Recent outcomes kept for the whole fleet.
constexpr double kFleetWindow = 1000.0;

void AddOutcome(double& successes, double& failures, const bool succeeded, const double window) {
  // Older outcomes fade only once the window is full, so that the first few count in full.
  const double keep = successes + failures < window ? 1.0 : 1.0 - 1.0 / window;
  successes = successes * keep + (succeeded ? 1.0 : 0.0);
  failures = failures * keep + (succeeded ? 0.0 : 1.0);
}

bool DomainAllowsOneMore(const FleetView& fleet, const DomainName& domain,
                         const EjectionOptions& options) {
  // The scan of all agents is rare: it runs only for an agent that is about to be ejected.
  double known = 0.0;
  double ejected = 0.0;
  for (const AgentView& agent : fleet.m_agents) {
    if (!agent.m_present || agent.m_domain != domain) continue;
    known += 1.0;
    ejected += agent.m_ejected ? 1.0 : 0.0;
  }
  return ejected + 1.0 <= std::max(1.0, options.m_domain_share * known);
}

bool IsOutlier(const EjectionState& state, const EjectionRecord& record,
               const EjectionOptions& options) {
  const double share = record.m_failures / std::max(1.0, record.m_successes + record.m_failures);
  if (record.m_failures < options.m_min_failures || share < options.m_failure_share) return false;
  const double others_failures = std::max(0.0, state.m_failures - record.m_failures);
  const double others_successes = std::max(0.0, state.m_successes - record.m_successes);
  const double others = others_failures / std::max(1.0, others_failures + others_successes);
  return share >= options.m_outlier_factor * others;
}

void Eject(EjectionRecord& record, FleetView& fleet, const EjectionOptions& options,
           const AgentId& agent, const Time now) {
  const auto doublings = std::min<std::uint32_t>(record.m_ejections, 16);
  record.m_phase = EjectionPhase::kEjected;
  record.m_until =
      now + std::min(options.m_longest_ejection, options.m_first_ejection * (1U << doublings));
  record.m_trial_running = false;
  record.m_trials_passed = 0;
  ++record.m_ejections;
  SetEjected(fleet, agent, true);
}

}  // namespace

EjectionChange RecordOutcome(EjectionState& state, FleetView& fleet, const EjectionOptions& options,
                             const AgentId& agent, const bool succeeded, const Time now) {
  const AgentView* const view = FindAgent(fleet, agent);
  if (view == nullptr) return EjectionChange::kNone;
  EjectionRecord& record = state.m_records[agent];
  if (record.m_incarnation != view->m_incarnation) {
    // A new process starts without the outcomes of the former one.
    record = {.m_incarnation = view->m_incarnation};
    SetEjected(fleet, agent, false);
  }
  if (record.m_phase == EjectionPhase::kServing) {
    AddOutcome(state.m_successes, state.m_failures, succeeded, kFleetWindow);
    AddOutcome(record.m_successes, record.m_failures, succeeded, options.m_window);
    if (succeeded || !IsOutlier(state, record, options) ||
        !DomainAllowsOneMore(fleet, view->m_domain, options)) {
      return EjectionChange::kNone;
    }
    // The fleet's counts describe the workers in service, so those of the ejected worker are
    // subtracted.
    state.m_failures = std::max(0.0, state.m_failures - record.m_failures);
    state.m_successes = std::max(0.0, state.m_successes - record.m_successes);
    Eject(record, fleet, options, agent, now);
    return EjectionChange::kEjected;
  }
  // Outcomes of work that was sent before the ejection are ignored.
  if (record.m_phase == EjectionPhase::kEjected || !record.m_trial_running) {
    return EjectionChange::kNone;
  }
  record.m_trial_running = false;
  if (!succeeded) {
    Eject(record, fleet, options, agent, now);
    return EjectionChange::kEjected;
  }
  SetEjected(fleet, agent, false);
  if (++record.m_trials_passed < options.m_trials) return EjectionChange::kNone;
  record = {.m_incarnation = record.m_incarnation};
  return EjectionChange::kReturned;
}

void RecordSent(EjectionState& state, FleetView& fleet, const EjectionOptions& options,
                const AgentId& agent, const Time now) {
  const auto found = state.m_records.find(agent);
  if (found == state.m_records.end() || found->second.m_phase != EjectionPhase::kTrial) return;
  found->second.m_trial_running = true;
  found->second.m_until = now + options.m_trial_timeout;
  SetEjected(fleet, agent, true);
}

void RecordNotRun(EjectionState& state, FleetView& fleet, const AgentId& agent) {
  const auto found = state.m_records.find(agent);
  if (found == state.m_records.end() || found->second.m_phase != EjectionPhase::kTrial) return;
  found->second.m_trial_running = false;
  SetEjected(fleet, agent, false);
}

std::vector<AgentId> SweepEjection(EjectionState& state, FleetView& fleet, const Time now) {
  std::vector<AgentId> trials;
  std::erase_if(state.m_records,
                [&fleet](const auto& entry) { return FindAgent(fleet, entry.first) == nullptr; });
  for (auto& [agent, record] : state.m_records) {
    const AgentView* const view = FindAgent(fleet, agent);
    if (record.m_incarnation != view->m_incarnation) {
      record = {.m_incarnation = view->m_incarnation};
      SetEjected(fleet, agent, false);
      continue;
    }
    if (record.m_phase == EjectionPhase::kServing || now < record.m_until) continue;
    if (record.m_phase == EjectionPhase::kTrial && !record.m_trial_running) continue;
    record.m_phase = EjectionPhase::kTrial;
    record.m_trial_running = false;
    SetEjected(fleet, agent, false);
    trials.push_back(agent);
  }
  return trials;
}

}  // namespace ebonypin::core
