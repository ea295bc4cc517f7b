/// Entries: leadership as in CoordinatorService.
#include <algorithm>
#include <utility>

#include "simulated_callers.h"
#include "simulation.h"

namespace ebonypin::core::fleet {
namespace {

using namespace std::chrono_literals;

/// Less than most batches of the histories need.
constexpr std::size_t kSmallAppendBytes = 1000;

GrantTimes TimesOf(const SimulatedEntry& entry) {
  const auto& options = entry.m_state.m_options;
  return {.m_authority = entry.m_leadership.m_options.m_authority,
          .m_grant = options.m_grant + options.m_lapse_slack};
}

}  // namespace

void Simulation::ToEntry(const std::size_t e, const std::uint64_t process, const Time time,
                         std::function<void(SimulatedEntry&)> action) {
  m_agenda.At(time, [this, e, process, action = std::move(action)] {
    auto& entry = m_entries[e];
    if (entry.m_process != process || entry.m_down) return;
    if (m_now >= entry.m_stopped_until) return action(entry);
    // A frozen process handles what has arrived when it goes on.
    ToEntry(e, process, entry.m_stopped_until, action);
  });
}

std::optional<std::size_t> Simulation::FindEntry(const std::string& address) const {
  for (std::size_t e = 0; e < m_entries.size(); ++e) {
    if (m_entries[e].m_address == address) return e;
  }
  return std::nullopt;
}

void Simulation::StepEntry(const std::size_t e) {
  auto& entry = m_entries[e];
  if (m_now < entry.m_stopped_until) return;
  entry.m_down = false;
  if (entry.m_reaches_store && m_now >= entry.m_next_record) {
    entry.m_next_record = m_now + m_dice.Between(100ms, 1s);
    Observe(entry, m_store.m_claim.m_epoch, m_store.m_claim.m_rpc_address);
  }
  if (m_now >= entry.m_next_join) Join(e);
  if (entry.m_leadership.m_stage != LeadershipStage::kActive) return;
  if (m_now >= entry.m_next_tick) TickEntry(e);
  RunCycle(e);
}

void Simulation::Join(const std::size_t e) {
  auto& entry = m_entries[e];
  entry.m_next_join = m_now + entry.m_leadership.m_options.m_join_interval;
  if (!entry.m_reaches_store) return;
  const bool holds = m_holder == e;
  if (holds) m_holder_seen = m_now;
  ToEntry(e, entry.m_process, m_now + Lag(), [this, e, holds, sent = m_now](auto& joined) {
    if (OnJoined(joined.m_leadership, sent, holds) == LeadershipStep::kClaim) Claim(e);
  });
}

void Simulation::Claim(const std::size_t e) {
  auto& entry = m_entries[e];
  entry.m_leadership.m_stage = LeadershipStage::kClaiming;
  entry.m_leadership.m_epoch = 0;
  const auto read = m_store.m_claim;
  ToEntry(e, entry.m_process, m_now + m_dice.Between(20ms, 300ms), [this, e, read](auto& claiming) {
    if (claiming.m_leadership.m_stage != LeadershipStage::kClaiming) return;
    // The claim is a conditional append: another claim was made meanwhile.
    const bool changed = !(m_store.m_claim == read);
    if (!claiming.m_reaches_store || changed) return BecomeFollower(claiming);
    auto previous = read;
    const CoordinatorRecord record{.m_epoch = read.m_epoch + 1,
                                   .m_entry = claiming.m_address,
                                   .m_rpc_address = claiming.m_address,
                                   .m_incarnation = claiming.m_process};
    auto& open = claiming.m_open_claim;
    if (open.m_record.m_epoch > 0 && previous == open.m_record) previous = open.m_previous;
    open = {.m_record = record, .m_previous = previous};
    m_store.m_claim = record;
    m_workers.AddTrace("epoch " + std::to_string(record.m_epoch) + " claimed by " +
                       claiming.m_address);
    if (m_dice.Fault(0.03)) return BecomeFollower(claiming);  // Its answer is lost.
    claiming.m_leadership.m_epoch = record.m_epoch;
    ToEntry(e, claiming.m_process, m_now + m_dice.Between(20ms, 300ms),
            [this, e, previous](auto&) { Fence(e, previous); });
  });
}

void Simulation::Fence(const std::size_t e, const CoordinatorRecord& previous) {
  auto& entry = m_entries[e];
  if (entry.m_leadership.m_stage != LeadershipStage::kClaiming) return;
  const auto epoch = entry.m_leadership.m_epoch;
  if (!entry.m_reaches_store || Append(m_store, epoch, 0, {}) != AppendOutcome::kAppended) {
    return BecomeFollower(entry);
  }
  m_workers.OnFence(epoch);
  entry.m_leadership.m_confirmed = m_now;
  entry.m_appends = {};
  const auto evacuated = entry.m_state.m_evacuated_domains;
  entry.m_state = {.m_epoch = epoch, .m_rpc_address = entry.m_address};
  // Every other coordinator cuts what it writes into small appends.
  if (epoch % 2 == 0) entry.m_state.m_options.m_record_limits.m_append_bytes = kSmallAppendBytes;
  SetEvacuations(entry.m_state, evacuated);
  ToEntry(e, entry.m_process, m_now + m_dice.Between(20ms, 400ms),
          [this, e, epoch, previous](auto& recovering) {
            const auto& leadership = recovering.m_leadership;
            if (leadership.m_stage != LeadershipStage::kClaiming) return;
            if (leadership.m_epoch != epoch) return;
            if (!recovering.m_reaches_store) return BecomeFollower(recovering);
            RestoreAll(recovering.m_state, m_now, m_store);
            Activate(e, previous);
          });
}

void Simulation::Activate(const std::size_t e, const CoordinatorRecord& previous) {
  auto& entry = m_entries[e];
  const EarlierEpochs earlier{.m_previous = previous.m_epoch,
                              .m_settled = entry.m_state.m_settled_epoch,
                              .m_previous_ended = previous.m_rpc_address == entry.m_address};
  auto wait = WaitAfterFence(TimesOf(entry), m_now, earlier);
  if (earlier.m_previous_ended) {
    wait = WaitAfterStepDown(TimesOf(entry), m_now, earlier, wait, DescribeLastTerm(entry));
  }
  FinishRestore(entry.m_state, m_now, wait);
  entry.m_leadership.m_stage = LeadershipStage::kActive;
  entry.m_open_claim = {};
  entry.m_next_orders.clear();
  entry.m_announced.clear();
  entry.m_next_list = m_now + 600ms;
  Observe(entry, entry.m_leadership.m_epoch, entry.m_address);
  m_workers.AddTrace("epoch " + std::to_string(entry.m_leadership.m_epoch) + " active at " +
                     entry.m_address + ", settled " + std::to_string(earlier.m_settled) +
                     ", waits " + std::to_string((wait.m_until - m_now) / 1ms) + " ms for " +
                     std::to_string(entry.m_state.m_silent_members.size()) + ", cause " +
                     std::string{WaitCauseName(wait.m_cause)});
  if (wait.m_until - m_now < 15s) m_dice.Count(Event::kWaitShortened);
  if (!earlier.m_previous_ended && previous.m_epoch > 0) AskToStepDown(e, previous, earlier);
  for (auto& [id, view] : entry.m_state.m_agents) SendOrders(e, view, true);
}

void Simulation::AskToStepDown(const std::size_t e, const CoordinatorRecord& previous,
                               const EarlierEpochs& earlier) {
  const auto epoch = m_entries[e].m_leadership.m_epoch;
  const auto former = FindEntry(previous.m_rpc_address);
  if (!former || m_dice.Fault(0.3)) return;
  const auto sent = m_now;
  const auto asker = m_entries[e].m_process;
  ToEntry(*former, m_entries[*former].m_process, m_now + Lag(),
          [this, e, epoch, earlier, sent, asker](auto& asked) {
            Observe(asked, epoch, m_entries[e].m_address);
            const auto reply = DescribeLastTerm(asked);
            ToEntry(e, asker, m_now + Lag(), [this, epoch, earlier, sent, reply](auto& entry) {
              const auto& leadership = entry.m_leadership;
              if (leadership.m_stage != LeadershipStage::kActive) return;
              if (leadership.m_epoch != epoch || m_now - sent > 500ms) return;
              m_dice.Count(Event::kStepDownAnswered);
              auto& wait = entry.m_state.m_silent_wait;
              const auto shorter = WaitAfterStepDown(TimesOf(entry), m_now, earlier, wait, reply);
              if (shorter == wait) return;
              wait = shorter;
              m_dice.Count(Event::kWaitShortened);
              m_workers.AddTrace("epoch " + std::to_string(epoch) + " now waits " +
                                 std::to_string((wait.m_until - m_now) / 1ms) + " ms");
            });
          });
}

StepDownReply Simulation::DescribeLastTerm(const SimulatedEntry& entry) const {
  return {.m_stepped_down = entry.m_leadership.m_stage != LeadershipStage::kActive,
          .m_epoch = entry.m_last_term.m_epoch,
          .m_earlier_grants_left = std::max(entry.m_earlier_grants_until - m_now, Duration{})};
}

void Simulation::BecomeFollower(SimulatedEntry& entry) {
  auto& leadership = entry.m_leadership;
  if (leadership.m_stage == LeadershipStage::kFollower) return;
  m_workers.AddTrace("epoch " + std::to_string(leadership.m_epoch) + " ends at " + entry.m_address);
  if (leadership.m_stage == LeadershipStage::kActive) {
    entry.m_last_term.m_epoch = leadership.m_epoch;
    entry.m_earlier_grants_until = m_now + EarlierGrantsLeft(entry.m_state, m_now);
  }
  leadership.m_stage = LeadershipStage::kFollower;
  leadership.m_released = false;
  entry.m_appends = {};
  if (m_callers != nullptr) m_callers->OnFollower(entry);
  const auto evacuated = entry.m_state.m_evacuated_domains;
  entry.m_state = {};
  SetEvacuations(entry.m_state, evacuated);
}

void Simulation::Observe(SimulatedEntry& entry, const Epoch epoch, const std::string& address) {
  if (IsSupersededBy(entry.m_leadership, epoch)) BecomeFollower(entry);
  if (epoch < entry.m_known.m_epoch || address.empty()) return;
  entry.m_known = {.m_epoch = epoch, .m_rpc_address = address};
}

}  // namespace ebonypin::core::fleet
