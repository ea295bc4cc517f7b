/// Functions and constants shared by the sources of the agent's ledger.
#pragma once

#include "ebonypin/core/agent_ledger.h"

namespace ebonypin::core::agent {

/// Smallest share of throttled batch work that is not suspended, in thousandths.
inline constexpr std::uint32_t kMinBatchShare = 100;
inline constexpr std::uint32_t kFullShare = 1000;

/// Time between repeats of a start, stop or throttle that the worker has not confirmed.
inline constexpr Duration kResendInterval = std::chrono::seconds{1};

// Capacity.
[[nodiscard]] bool IsNegative(const Resources& size) noexcept;
[[nodiscard]] Resources BatchCommitted(const AgentLedger& ledger) noexcept;
[[nodiscard]] std::uint32_t BatchSlots(const AgentLedger& ledger) noexcept;
[[nodiscard]] Resources RunsCommitted(const AgentLedger& ledger) noexcept;

/// Returns whether an attempt holds a slot and processors. A preempted attempt does not once the
/// worker has confirmed its suspension; it keeps its memory and accelerators.
[[nodiscard]] bool HoldsSlot(const LedgerAttempt& attempt) noexcept;

// Slots; see slot_plan.h.
/// Plans how many slots batch work may hold, then preempts, resumes and evicts attempts
/// accordingly.
void PlanBatch(AgentLedger& ledger, Time now, AgentActions& out);
/// Returns when the slots must be planned again if no event causes it earlier.
[[nodiscard]] Time NextPlan(const AgentLedger& ledger) noexcept;

// Requests.
void OnRun(AgentLedger& ledger, CallId call, const RunRequest& request, Time now,
           AgentActions& out);
void CancelRun(AgentLedger& ledger, CallId call, const CancelRequest& request, Time now,
               AgentActions& out);
/// Starts queued requests that fit the free capacity, least slack first.
void StartQueued(AgentLedger& ledger, Time now, AgentActions& out);
/// Refuses queued requests whose predicted start is too late.
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
/// Returns false when `epoch` is older than the newest one of the job's shard; otherwise records it
/// as the newest.
[[nodiscard]] bool RaiseEpoch(AgentLedger& ledger, const JobId& job, Epoch epoch) noexcept;
void ExpireReservations(AgentLedger& ledger, Time now);
void ForgetOld(AgentLedger& ledger, Time now);

// Tasks and leases.
/// Tells the worker to stop a task: at a checkpoint, or at once when its result is ignored. Does
/// nothing when the task is stopping already, or when it cannot take a checkpoint and its result
/// counts.
void BeginStop(LedgerAttempt& attempt, Time now, AgentActions& out);
/// Drops reservations and stops attempts, except those expected to end within the grace period.
void BeginHandOver(AgentLedger& ledger, Time now, AgentActions& out);
/// Returns the lease to request; zero or less when the task's lease must be left to expire.
[[nodiscard]] Duration LeaseOf(const LedgerAttempt& attempt, Time now) noexcept;
/// Sends the throttles that bring the applied shares to the wanted ones.
void SyncShares(AgentLedger& ledger, Time now, AgentActions& out);
void TickAttempts(AgentLedger& ledger, Time now, AgentActions& out);

// Reports.
void AddReport(AgentLedger& ledger, TaskReport report, Time now, AgentActions& out);
void SendDueReports(AgentLedger& ledger, Time now, AgentActions& out);

}  // namespace ebonypin::core::agent
