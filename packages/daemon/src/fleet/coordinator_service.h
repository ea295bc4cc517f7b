/// Coordinator of jobs of steps, run by an entry: election, recovery, writes and orders.
///
/// All members run on the event thread that is passed in. Callbacks of the store and of the advice
/// service may arrive after the service was destroyed. They only post to that thread, which has
/// stopped by then.
#pragma once

#include <atomic>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "../event_thread.h"
#include "ebonypin/core/fleet/append_queue.h"
#include "ebonypin/core/fleet/call_answers.h"
#include "ebonypin/core/fleet/candidacy.h"
#include "ebonypin/core/fleet/coordinator.h"
#include "ebonypin/core/fleet/evacuation.h"
#include "ebonypin/core/fleet/held_calls.h"
#include "ebonypin/core/fleet/leadership.h"
#include "ebonypin/platform/advice.h"
#include "ebonypin/platform/keyed_store.h"
#include "ebonypin/platform/machine_list.h"
#include "ebonypin/wire/rpc.h"

namespace ebonypin::daemon {

/// Group of the store whose members are the candidates for the leadership.
inline constexpr auto kCoordinatorGroup = "ebonypin.coordinator";

using JobCallDone = std::function<void(core::fleet::JobCallReply)>;

struct CoordinatorServiceOptions {
  std::string m_entry;
  std::string m_rpc_address;
  std::uint32_t m_cpu_millis = 0;  ///< Thousandths of a processor; zero: not known.
  core::Incarnation m_incarnation = 0;
  std::string m_jobs_topic;
  std::string m_coordinator_topic;
  core::fleet::LeadershipOptions m_leadership;
  core::fleet::CoordinatorOptions m_coordinator;
  core::Duration m_hold{};  ///< Longest time for which a call is held; zero: none is held.
};

/// Newest coordinator that this entry has learned of.
struct KnownCoordinator {
  core::Epoch m_epoch = 0;
  std::string m_rpc_address;
};

class CoordinatorService {
 public:
  CoordinatorService(std::shared_ptr<EventThread> events, platform::KeyedStore& store,
                     wire::Rpc& rpc, platform::AdviceService* advice,
                     platform::MachineList* machines, CoordinatorServiceOptions options);

  void Start();

  /// Gives up the group membership, for a planned stop. An active coordinator goes on until its
  /// successor has claimed the next epoch, which takes seconds while the store is slow.
  void Leave();

  /// Ends the leadership at once, for a process that ends. Waiting calls are answered; submissions
  /// that were not sent to the store are withdrawn.
  void Stop();

  [[nodiscard]] bool IsActive() const noexcept;
  [[nodiscard]] const KnownCoordinator& Known() const noexcept { return m_known; }
  [[nodiscard]] const core::fleet::Coordinator& State() const noexcept { return m_state; }
  /// Returns how often members were waited for since the start of the process, by cause.
  [[nodiscard]] const std::map<core::fleet::WaitCause, std::uint64_t>& Waits() const noexcept {
    return m_waits;
  }
  /// Returns the sizes that the store takes, as far as this process knows.
  [[nodiscard]] const core::fleet::RecordLimits& Limits() const noexcept { return m_record_limits; }
  [[nodiscard]] const core::fleet::HeldCalls& Held() const noexcept { return m_held; }

  /// Serves a call if this entry is the coordinator, and answers kNotCoordinator otherwise. `done`
  /// is called once. A call whose change has not been recorded by the first tick after
  /// `deadline` is answered with kUnknown, and so is one whose answer is true only while there is
  /// no later coordinator, when the store does not confirm that in time (see call_answers.h).
  /// If calls are held, `m_wait` of the call replaces `deadline`, which counts if it is zero.
  void Call(const core::fleet::JobCall& call, core::Duration deadline, JobCallDone done);

  [[nodiscard]] core::fleet::AgentReportReply OnReport(const core::fleet::AgentReport& report);
  [[nodiscard]] core::fleet::StepDownReply OnStepDown(const core::fleet::StepDown& request);

  /// Records a coordinator's epoch and address as learned from the store, a peer or an agent, and
  /// steps down if the epoch is later than this entry's own. An empty address is not recorded.
  void ObserveCoordinator(core::Epoch epoch, const std::string& rpc_address);

  /// Sets the evacuations in force. Nothing is started before they are known.
  void SetEvacuations(const core::fleet::Evacuations& evacuations);

 private:
  /// Answer from memory that waits until the store has confirmed the epoch.
  struct HeldAnswer {
    core::fleet::JobCallReply m_reply;
    core::Time m_needed;  ///< See NeededConfirmation.
    core::Time m_arrived;
  };

  /// Call whose answer waits until its change is recorded, or until the epoch is confirmed.
  struct Waiter {
    std::shared_ptr<const core::fleet::JobCall> m_call;
    core::Time m_arrived;
    core::Time m_deadline;
    JobCallDone m_done;
    std::optional<HeldAnswer> m_held;
  };

  /// Claim that has not become active.
  struct OpenClaim {
    core::fleet::CoordinatorRecord m_record;
    core::fleet::CoordinatorRecord m_previous;
  };

  /// Term of leadership that has ended.
  struct EndedTerm {
    core::Epoch m_epoch = 0;
    core::Time m_earlier_grants_until;  ///< All grants of earlier epochs have ended by this time.
  };

  /// Workers that the platform lists as live.
  struct LiveWorkers {
    core::Time m_asked;
    std::set<core::fleet::WorkerId> m_workers;
  };

  /// Serves a call, or holds it if the store is silent. A call that is `released` from the hold is
  /// not held again before the store has been silent again.
  void Serve(Waiter waiter, bool released);
  /// Answers the calls whose deadline has passed.
  void ExpireWaiters(core::Time now);

  // Calls that are held while the store is unavailable; coordinator_hold.cc.
  [[nodiscard]] bool HoldsCalls() const noexcept;
  void StartHold();
  /// Returns how long the call waits at most.
  [[nodiscard]] core::Duration WaitOf(const core::fleet::JobCall& call,
                                      core::Duration deadline) const noexcept;
  [[nodiscard]] core::fleet::JobCallReply GivenUpReply(const core::JobId& job) const;
  void HoldCall(Waiter waiter);
  void GiveUpHeld(const std::vector<std::uint64_t>& numbers, core::fleet::JobCallStatus status);
  void DropHeldSubmissions(const core::fleet::JobCall& cancel);
  /// Moves the calls into the hold that wait for a confirmation or for an append that is not open.
  void HoldWaiters();
  void UpdateHold();
  /// Serves held calls after the store has responded, and as many writes as one append carries.
  void ReleaseHeld();
  /// Answers all held calls with kNotCoordinator.
  void EndHold();
  void EndHoldEpisode();

  [[nodiscard]] core::fleet::Candidate OwnCandidate() const;
  [[nodiscard]] core::Duration FirstCandidacyCheckDelay() const noexcept;
  void CheckCandidacy();
  void OnMembers(const std::vector<std::string>& members);
  void Join();
  void JoinOnce();
  void LeaveGroup();
  void ConfirmLeadership();
  /// Asks the store for the confirmation that answers wait for, unless an open append will bring
  /// one. Called again when that append is answered.
  void ConfirmHeldAnswers();
  void SendConfirmation();
  /// Notes that the store accepted an append of this epoch that was sent at `sent`, and ends the
  /// grants that waited for it.
  void OnConfirmed(core::Time sent);
  /// Returns the writer identity of the next append. The store refuses appends of earlier epochs.
  [[nodiscard]] platform::StoreWriter Writer(std::uint64_t sequence) const;
  void Claim();
  /// Returns whether this claim is the one in progress. An answer of the store may arrive after its
  /// claim has failed and another one has begun.
  [[nodiscard]] bool IsClaiming(std::uint64_t claim) const noexcept;
  /// Returns the newest claim among the records of the topic. The epoch of one that cannot be read
  /// is replaced by the floor of epochs.
  core::fleet::CoordinatorRecord PreviousClaim(const std::vector<platform::KeyedRecord>& records);
  /// Raises the floor of epochs above all epochs used so far.
  void RaiseEpochFloor();
  void Append(const core::fleet::CoordinatorRecord& record, std::uint64_t at_end,
              const core::fleet::CoordinatorRecord& previous);
  void Fence(const core::fleet::CoordinatorRecord& previous);
  void Recover(const std::string& after, const core::fleet::CoordinatorRecord& previous);
  void Restore(const platform::KeyedRecord& record);
  void Activate(const core::fleet::CoordinatorRecord& previous);
  void AskToStepDown(const core::fleet::CoordinatorRecord& previous,
                     const core::fleet::EarlierEpochs& earlier);
  void OnSteppedDown(const core::fleet::EarlierEpochs& earlier,
                     const core::fleet::StepDownReply& reply);
  [[nodiscard]] core::fleet::GrantTimes Times() const noexcept;
  /// Describes the last term of this process, whose grants and those before it may not have ended.
  [[nodiscard]] core::fleet::StepDownReply DescribeLastTerm() const;
  void Announce();
  void AnnounceTo(const std::string& rpc_address);
  /// Reads the list of machines at intervals until no member is silent.
  void CheckSilentMembers();
  /// Adds the page and those after it to `found`, and applies it after the last one.
  void ReadMachines(const std::string& page, const std::shared_ptr<LiveWorkers>& found);
  void BecomeFollower(const std::string& reason);
  void ScheduleCycle();
  void RunCycle();
  void SendOrders(core::fleet::Agent& agent);
  void SendAdviceRequests();
  void OnAdviceAnswer(const core::fleet::AdviceRequest& request, core::Time sent,
                      const core::Captured<platform::Advice>& advice);
  void Flush();
  void SendAppend(const core::fleet::OpenAppend& append);
  void OnAppended(std::uint64_t sequence, const platform::AppendReply& reply);
  /// Steps down after an append that the store will never take. The next term, of this process or
  /// of another, reads what is stored and writes what is missing in smaller records.
  void OnAppendRefused(std::uint64_t sequence, const std::string& reason);
  [[nodiscard]] bool IsStoreSilent(core::Time now) const noexcept;
  [[nodiscard]] core::fleet::JobCallReply StoreSilentReply() const;
  /// Arranges for GiveUpWaiters to be called when a call to the store that begins now is overdue.
  void ScheduleGiveUp();
  /// Answers the submissions that wait for an overdue append and are not part of it, and the held
  /// answers that are not confirmed in time.
  void GiveUpWaiters();
  void ResumeWaiters();
  void LogDecisions();
  void Tick();

  const std::shared_ptr<EventThread> m_events;
  platform::KeyedStore& m_store;
  wire::Rpc& m_rpc;
  platform::AdviceService* const m_advice;
  platform::MachineList* const m_machines;
  const CoordinatorServiceOptions m_options;
  core::fleet::Leadership m_leadership;
  core::fleet::Coordinator m_state;
  core::fleet::Evacuations m_evacuations;
  KnownCoordinator m_known;
  core::Epoch m_epoch_floor = 0;  ///< The next claim uses a later epoch.
  std::uint64_t m_claims = 0;     ///< Number of claims begun; the newest one may be in progress.
  std::optional<OpenClaim> m_open_claim;
  EndedTerm m_last_term;
  std::map<core::fleet::WaitCause, std::uint64_t> m_waits;
  /// Renews the group membership on a thread of its own, so that a coordinator with long-running
  /// events does not lose its membership.
  EventThread m_membership_thread;
  std::atomic<std::uint64_t> m_generation{0};
  std::atomic<bool> m_is_candidate{false};  ///< Member of the group, or about to join it.
  std::atomic<bool> m_leaving{false};
  bool m_cycle_scheduled = false;
  core::Time m_next_cycle;  ///< Earliest time of the next cycle.
  std::list<Waiter> m_waiters;
  core::fleet::HeldCalls m_held;
  std::map<std::uint64_t, Waiter> m_held_waiters;     ///< By the number in `m_held`.
  bool m_holding = false;                             ///< The beginning of an episode was logged.
  std::set<core::AgentId> m_orders_in_flight;         ///< Agents with an orders call in flight.
  std::map<core::AgentId, core::Time> m_next_orders;  ///< Earliest retry of a failed orders call.
  core::Time m_confirmation_due;  ///< Of the timer for held answers; Time{}: none.
  core::fleet::AppendQueue m_appends;
  core::fleet::RecordLimits m_record_limits;  ///< Of the next term; see OnAppendRefused.
  core::fleet::Confirmations m_confirmations;
};

}  // namespace ebonypin::daemon
