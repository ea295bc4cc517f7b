/// Coordinator of jobs of steps as a service of an entry: election, recovery, writes and orders.
///
/// All members run on the event thread that is passed in. Callbacks of the store and of the advice
/// service may come after the end of the service; they only post to that thread, which has stopped.
#pragma once

#include <atomic>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "../event_thread.h"
#include "ebonypin/core/fleet/candidacy.h"
#include "ebonypin/core/fleet/coordinator.h"
#include "ebonypin/core/fleet/leadership.h"
#include "ebonypin/platform/advice.h"
#include "ebonypin/platform/keyed_store.h"
#include "ebonypin/wire/rpc.h"

namespace ebonypin::daemon {

using JobCallDone = std::function<void(core::fleet::JobCallReply)>;

struct CoordinatorServiceOptions {
  std::string m_entry;
  std::string m_rpc_address;
  std::uint32_t m_cpu_millis = 0;  ///< Processors of the entry, in thousandths; zero: not known.
  core::Incarnation m_incarnation = 0;
  std::string m_jobs_topic;
  std::string m_coordinator_topic;
  core::fleet::LeadershipOptions m_leadership;
  core::fleet::CoordinatorOptions m_coordinator;
};

/// Coordinator as far as an entry knows it.
struct KnownCoordinator {
  core::Epoch m_epoch = 0;
  std::string m_rpc_address;
};

class CoordinatorService {
 public:
  CoordinatorService(std::shared_ptr<EventThread> events, platform::KeyedStore& store,
                     wire::Rpc& rpc, platform::AdviceService* advice,
                     CoordinatorServiceOptions options);

  void Start();

  /// Gives up the office and the membership, for a planned stop.
  void Leave();

  [[nodiscard]] bool IsActive() const noexcept;
  [[nodiscard]] const KnownCoordinator& Known() const noexcept { return m_known; }
  [[nodiscard]] const core::fleet::Coordinator& State() const noexcept { return m_state; }

  /// Serves a call if this entry is the coordinator; `done` is called once, at the latest after
  /// `deadline`.
  void Call(const core::fleet::JobCall& call, core::Duration deadline, JobCallDone done);

  [[nodiscard]] core::fleet::AgentReportReply OnReport(const core::fleet::AgentReport& report);
  [[nodiscard]] core::fleet::StepDownReply OnStepDown(const core::fleet::StepDown& request);

  /// Takes the news of a coordinator from the store, a peer or an agent.
  void Learn(core::Epoch epoch, const std::string& rpc_address);

 private:
  struct Waiter {
    core::fleet::JobCall m_call;
    core::Time m_deadline;
    JobCallDone m_done;
  };

  [[nodiscard]] core::fleet::Candidate Own() const;
  [[nodiscard]] core::Duration FirstLookDelay() const noexcept;
  void CheckCandidacy();
  void OnMembers(const std::vector<std::string>& members);
  void Join();
  void JoinOnce();
  void LeaveGroup();
  void ConfirmOffice();
  /// Returns the writer of the next append, by which the store refuses a predecessor's.
  [[nodiscard]] platform::StoreWriter Writer() const;
  void Claim();
  void Append(const core::fleet::CoordinatorRecord& record, std::uint64_t at_end,
              const core::fleet::CoordinatorRecord& previous);
  void Fence(const core::fleet::CoordinatorRecord& previous);
  void Recover(const std::string& after, const core::fleet::CoordinatorRecord& previous);
  void Restore(const platform::KeyedRecord& record);
  void Activate(const core::fleet::CoordinatorRecord& previous);
  void Announce();
  void AnnounceTo(const std::string& rpc_address);
  void BackToFollower(const std::string& reason);
  void SchedulePump();
  void Pump();
  void SendOrders(core::fleet::Agent& agent);
  void AskAdvice();
  void Flush();
  void SendBatch();
  void OnAppended(core::Time sent, const platform::AppendReply& reply);
  void ResumeWaiters();
  void LogDecisions();
  void Tick();

  const std::shared_ptr<EventThread> m_events;
  platform::KeyedStore& m_store;
  wire::Rpc& m_rpc;
  platform::AdviceService* const m_advice;
  const CoordinatorServiceOptions m_options;
  core::fleet::Leadership m_leadership;
  core::fleet::Coordinator m_state;
  KnownCoordinator m_known;
  /// Joins on its own thread: a coordinator whose events take long is not taken for dead.
  EventThread m_membership;
  std::atomic<std::uint64_t> m_generation{0};
  std::atomic<bool> m_standing{false};  ///< A member of the group, or about to be one.
  std::atomic<bool> m_leaving{false};
  bool m_pump_scheduled = false;
  core::Time m_next_pump;  ///< Not pumped before.
  std::list<Waiter> m_waiters;
  std::set<core::AgentId> m_sending;                 ///< Agents with a call of orders in flight.
  std::map<core::AgentId, core::Time> m_send_after;  ///< Pause after a failed call.
  // Append in flight or to be repeated.
  bool m_batch_open = false;
  bool m_batch_sent = false;
  core::fleet::WriteBatch m_batch;
  std::vector<platform::KeyedRecord> m_batch_records;
  std::uint64_t m_sequence = 0;
  core::Time m_next_append;
  core::Time m_failing_since;  ///< Epoch: appends succeed.
};

}  // namespace ebonypin::daemon
