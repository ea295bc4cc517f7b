/// Random choices of a generated history, and how often each kind of event was drawn.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string_view>

#include "ebonypin/core/time.h"

namespace ebonypin::core::fleet {

enum class Event : std::uint8_t {
  kTakeoverPlanned,
  kTakeoverKilled,
  kTakeoverFrozen,
  kTakeoverSameAddress,
  kTakeoverStoreCut,
  kClaimNotActive,
  kPartitionReturned,
  kTakeoverInSeries,
  kStepDownAnswered,
  kWaitShortened,
  kLinkCutOneWay,
  kLinkCutBothWays,
  kAgentStoreCut,
  kAgentRestarted,
  kAgentFrozen,
  kAgentClockStepped,
  kStaleFirstHeartbeat,
  kHeartbeatDelayed,
  kWorkerRestarted,
  kWorkerRenamed,
  kBornSteppedBack,
  kListStale,
  kListShort,
  kListOdd,
  kMemberUnlisted,
  kAppendDelayed,
  kAppendAnswerLost,
  kAppendRepeated,
  kAppendsOverlap,
  kMemberRemoved,
  kCallCarriedOutLate,
  kHoldCarriedOutLate,
  kReportDelayed,
  kOrdersDelayed,
  kGangStarted,
  kServingStarted,
  kServingMoved,
  kFillingStarted,
  kOccurrenceStarted,
  kEvacuated,
  kManyEnds,
  kCancelled,
  kStartAnsweredFalsely,
  kCount
};

[[nodiscard]] std::string_view EventName(Event event) noexcept;

using EventCounts = std::array<std::uint64_t, static_cast<std::size_t>(Event::kCount)>;

/// Prints how often each kind was drawn, zeros included.
void PrintEvents(std::string_view property, std::uint64_t histories, const EventCounts& counts);

/// Random choices from one seed.
class Dice {
 public:
  explicit Dice(const std::uint64_t seed) : m_random(seed) {}

  /// Returns whether a fault happens that has this share; none does after EndFaults.
  bool Fault(const double share) { return !m_faults_over && Chance(share); }

  /// The same, and counts the event.
  bool Fault(const double share, const Event event) {
    if (!Fault(share)) return false;
    Count(event);
    return true;
  }

  bool Chance(const double share) {
    return std::uniform_real_distribution<>{0.0, 1.0}(m_random) < share;
  }

  Duration Between(const Duration least, const Duration most) {
    return Duration{
        std::uniform_int_distribution<std::int64_t>{least.count(), most.count()}(m_random)};
  }

  std::size_t Index(const std::size_t count) {
    return std::uniform_int_distribution<std::size_t>{0, count - 1}(m_random);
  }

  void Count(const Event event) { ++m_counts.at(static_cast<std::size_t>(event)); }
  void EndFaults() { m_faults_over = true; }
  [[nodiscard]] bool FaultsOver() const { return m_faults_over; }
  [[nodiscard]] const EventCounts& Counts() const { return m_counts; }

 private:
  std::mt19937_64 m_random;
  bool m_faults_over = false;
  EventCounts m_counts{};
};

/// What happens later, in the order of time.
class Agenda {
 public:
  void At(const Time time, std::function<void()> action) {
    m_actions.emplace(time, std::move(action));
  }

  void RunUntil(const Time now) {
    while (!m_actions.empty() && m_actions.begin()->first <= now) {
      const auto action = std::move(m_actions.begin()->second);
      m_actions.erase(m_actions.begin());
      action();
    }
  }

 private:
  std::multimap<Time, std::function<void()>> m_actions;
};

}  // namespace ebonypin::core::fleet
