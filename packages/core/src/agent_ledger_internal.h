/// Parts of the agent's ledger that its sources share.
#pragma once

#include "ebonypin/core/agent_ledger.h"

namespace ebonypin::core::agent {

/// Smallest share, in thousandths, that throttled batch work keeps unless it is suspended.
inline constexpr std::uint32_t kMinBatchShare = 100;
inline constexpr std::uint32_t kFullShare = 1000;

/// Time between repeats of a start, stop or throttle that the worker has not confirmed.
inline constexpr Duration kResendInterval = std::chrono::seconds{1};

// Capacity.
[[nodiscard]] bool IsNegative(const Resources& size) noexcept;
[[nodiscard]] Resources BatchCommitted(const AgentLedger& ledger) noexcept;
[[nodiscard]] std::uint32_t BatchSlots(const AgentLedger& ledger) noexcept;
[[nodiscard]] Resources RunsCommitted(const AgentLedger& ledger) noexcept;

/// Returns whether an attempt holds a slot and processors. A parked one does not once the worker
/// has confirmed that it stands still; it keeps its memory and accelerators.
[[nodiscard]] bool HoldsSlot(const LedgerAttempt& attempt) noexcept;

// Slots; see slot_plan.h.
/// Plans how many slots batch work may hold, then parks, resumes and evicts attempts accordingly.
void PlanBatch(AgentLedger& ledger, Time now, AgentActions& out);
/// Returns when the slots must be planned again without another event.
[[nodiscard]] Time NextPlan(const AgentLedger& ledger) noexcept;

// Requests.
void OnRun(AgentLedger& ledger, CallId call, const RunRequest& request, Time now,
           AgentActions& out);
void CancelRun(AgentLedger& ledger, CallId call, const CancelRequest& request, Time now,
               AgentActions& out);
/// Starts queued requests for which there is capacity, least slack first.
void StartQueued(AgentLedger& ledger, Time now, AgentActions& out);
/// Refuses queued requests whose predicted start lies too late.
void RefuseLate(AgentLedger& ledger, Time now, AgentActions& out);

// Jobs.
void OnReserve(AgentLedger& ledger, CallId call, const ReserveRequest& request, Time now,
               AgentActions& out);
void OnStart(AgentLedger& ledger, CallId call, const StartRequest& request, Time now,
             AgentActions& out);
void CancelJob(AgentLedger& ledger, CallId call, const CancelRequest& request, Time now,
               AgentActions& out);
void OnFence(AgentLedger& ledger, CallId call, const FenceRequest& request, Time now,
             AgentActions& out);
/// Returns false when `epoch` is older than the newest seen for the job's shard; otherwise notes
/// it.
[[nodiscard]] bool RaiseEpoch(AgentLedger& ledger, const JobId& job, Epoch epoch) noexcept;
void ExpireReservations(AgentLedger& ledger, Time now);
void ForgetOld(AgentLedger& ledger, Time now);

// Tasks and leases.
/// Tells the worker to stop a task at a checkpoint, or at once when its result counts no more.
/// Does nothing when the task is stopping or cannot take a checkpoint.
void BeginStop(LedgerAttempt& attempt, Time now, AgentActions& out);
/// Stops or leaves to finish what is in progress, and drops reservations.
void BeginHandOver(AgentLedger& ledger, Time now, AgentActions& out);
/// Returns the lease to ask for; zero or less when the task must be left to lapse.
[[nodiscard]] Duration LeaseOf(const LedgerAttempt& attempt, Time now) noexcept;
/// Sends the throttles by which applied shares come to match the wanted ones.
void SyncShares(AgentLedger& ledger, Time now, AgentActions& out);
void TickAttempts(AgentLedger& ledger, Time now, AgentActions& out);

// Reports.
void AddReport(AgentLedger& ledger, TaskReport report, Time now, AgentActions& out);
void SendDueReports(AgentLedger& ledger, Time now, AgentActions& out);

}  // namespace ebonypin::core::agent
