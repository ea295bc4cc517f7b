/// Advice on the workers that may run a step: what is asked next, and what the answers say.
#include <algorithm>
#include <utility>

#include "coordinator_internal.h"

namespace ebonypin::core::fleet {
namespace {

/// Limit of the advice service on the workers that one call names.
constexpr std::size_t kMaxWorkersPerCall = 100;

bool IsAdvisedStep(const ReadyStep& ready) noexcept {
  return !ready.m_job->m_closed && ready.m_job->m_spec.m_policy.m_advised;
}

/// Workers that the next call about a step may name.
struct Askable {
  std::vector<const WorkerInfo*> m_allowed;  ///< With room: they may run the step.
  std::vector<const WorkerInfo*> m_unknown;  ///< With room, and without advice.
  std::vector<const WorkerInfo*> m_allowed_full;
  std::vector<const WorkerInfo*> m_unknown_full;
};

/// Returns the eligible workers. Those with a valid ticket are left out, except for a gang: its
/// tickets have to be valid at the same time.
Askable FindAskable(const Coordinator& state, const Time now, const ReadyStep& ready) {
  const TaskNeed need = NeedOf(state, ready, 0, TicketUse::kPossible);
  Askable found;
  for (const auto& [id, agent] : state.m_agents) {
    if (!IsEligible(need, agent)) continue;
    const auto& worker = agent.m_worker;
    const auto* const advice = FindAdvice(need.m_step, worker);
    if (advice != nullptr && !advice->m_allowed) continue;
    const bool valid = advice != nullptr && IsTicketValid(*advice, now);
    if (valid && !need.m_spec.m_gang) continue;
    if (HasCapacity(need, agent)) {
      (advice != nullptr ? found.m_allowed : found.m_unknown).push_back(&worker);
    } else {
      (advice != nullptr ? found.m_allowed_full : found.m_unknown_full).push_back(&worker);
    }
  }
  return found;
}

/// Forgets the advice on workers that are gone once it exceeds the number of workers.
void DropGoneWorkers(const Coordinator& state, StepState& step) {
  if (step.m_advice.size() <= state.m_agents.size()) return;
  std::set<WorkerId> workers;
  for (const auto& [id, agent] : state.m_agents) workers.insert(agent.m_worker.m_id);
  std::erase_if(step.m_advice,
                [&](const auto& advice) { return workers.count(advice.first) == 0; });
}

/// Opens a call about the first of `workers`, unless there are none.
void Ask(Coordinator& state, const ReadyStep& ready,
         const std::vector<const WorkerInfo*>& workers) {
  if (workers.empty()) return;
  StepState& step = StepOf(ready);
  DropGoneWorkers(state, step);
  const auto& policy = ready.m_job->m_spec.m_policy;
  AdviceCall call{.m_step = RefOf(ready, 0)};
  for (const auto* const worker : workers) {
    if (call.m_workers.size() == kMaxWorkersPerCall) break;
    call.m_workers.emplace(worker->m_id, worker->m_born);
  }
  call.m_service_time =
      policy.m_advice_call_time +
      policy.m_advice_worker_time * static_cast<std::int64_t>(call.m_workers.size());
  state.m_advice_requests.push_back(Begin(state.m_advice_calls, std::move(call)));
}

void AskAboutStart(Coordinator& state, const Time now, const ReadyStep& ready) {
  if (!CouldStart(state, now, ready, TicketUse::kPossible)) return;
  auto askable = FindAskable(state, now, ready);
  auto& workers = askable.m_allowed;
  // Which workers may run the step does not change, so the others are only asked about when these
  // have too little room.
  if (!CouldStart(state, now, ready, TicketUse::kAllowed)) {
    workers.insert(workers.end(), askable.m_unknown.begin(), askable.m_unknown.end());
  }
  // Full workers are named once, so that the step knows where it may start when they have room.
  if (StepOf(ready).m_advice.empty()) {
    workers.insert(workers.end(), askable.m_unknown_full.begin(), askable.m_unknown_full.end());
  }
  Ask(state, ready, workers);
}

/// Asks about a step that cannot start yet, so that it starts as soon as it can. Workers without
/// advice are named once.
void AskAhead(Coordinator& state, const Time now, const ReadyStep& ready) {
  if (HasTicket(ready, now)) return;
  const auto askable = FindAskable(state, now, ready);
  const bool is_first = StepOf(ready).m_advice.empty();
  auto workers = is_first ? askable.m_unknown : askable.m_allowed;
  const auto& full = is_first ? askable.m_unknown_full : askable.m_allowed_full;
  workers.insert(workers.end(), full.begin(), full.end());
  Ask(state, ready, workers);
}

}  // namespace

bool HasTicket(const ReadyStep& ready, const Time now) {
  if (!ready.m_job->m_spec.m_policy.m_advised) return true;
  const auto& advice = StepOf(ready).m_advice;
  return std::any_of(advice.begin(), advice.end(),
                     [now](const auto& worker) { return IsTicketValid(worker.second, now); });
}

void RequestAdvice(Coordinator& state, const Time now, const std::vector<ReadyStep>& ready) {
  state.m_unadvised_steps = 0;
  std::vector<const ReadyStep*> steps;
  for (const auto& step : ready) {
    if (!IsAdvisedStep(step)) continue;
    if (!HasTicket(step, now)) ++state.m_unadvised_steps;
    if (!IsOpen(state.m_advice_calls, RefOf(step, 0))) steps.push_back(&step);
  }
  if (!MayBegin(state.m_advice_calls, now)) return;
  // A step about which calls fail must not hold up the others.
  std::stable_sort(steps.begin(), steps.end(), [](const ReadyStep* a, const ReadyStep* b) {
    return StepOf(*a).m_advice_failures < StepOf(*b).m_advice_failures;
  });
  for (const auto* const step : steps) {
    AskAboutStart(state, now, *step);
    if (!MayBegin(state.m_advice_calls, now)) return;
  }
  for (const auto* const step : steps) {
    // A step that can start soon waits for one such call at most.
    if (!state.m_advice_calls.m_open.empty()) return;
    AskAhead(state, now, *step);
  }
}

void OnAdvice(Coordinator& state, const Time now, const std::uint64_t number,
              const std::map<WorkerId, std::string>& tickets, const Duration valid) {
  const auto call = End(state.m_advice_calls, now, number, AdviceOutcome::kAnswered);
  if (!call) return;
  ++state.m_counters.m_advice_answers;
  StepState* const step = FindStep(state, call->m_step);
  if (step == nullptr) return;
  step->m_advice_failures = 0;
  step->m_blocked_until = {};
  for (const auto& [worker, born] : call->m_workers) {
    const auto ticket = tickets.find(worker);
    WorkerAdvice& advice = step->m_advice[worker];
    advice = {.m_born = born, .m_allowed = ticket != tickets.end()};
    if (!advice.m_allowed) continue;
    advice.m_ticket = ticket->second;
    // The service issues the ticket when it answers. The other half of the validity is left for the
    // way of the answer and for that of the start.
    advice.m_until = now + valid / 2;
  }
}

void ExpireTicket(Coordinator& state, const TaskRef& ref, const AgentId& agent) {
  StepState* const step = FindStep(state, ref);
  const auto found = state.m_agents.find(agent);
  if (step == nullptr || found == state.m_agents.end()) return;
  const auto advice = step->m_advice.find(found->second.m_worker.m_id);
  if (advice != step->m_advice.end()) advice->second.m_until = {};
}

void OnAdviceFailed(Coordinator& state, const Time now, const std::uint64_t number) {
  const auto call = End(state.m_advice_calls, now, number, AdviceOutcome::kFailed);
  if (!call) return;
  ++state.m_counters.m_advice_failures;
  StepState* const step = FindStep(state, call->m_step);
  if (step != nullptr) ++step->m_advice_failures;
}

}  // namespace ebonypin::core::fleet
