/// Schedules of injected faults, and deliberate defects of the test harness.
#pragma once

#include <array>
#include <cstdint>
#include <iosfwd>
#include <string_view>
#include <vector>

namespace ebonypin::faults {

enum class FaultKind : std::uint8_t {
  kCrashEntry,
  kCrashAgent,
  kCrashInstance,  ///< The worker and its agent.
  kRestartWorker,  ///< The worker only; its agent goes on.
  kPauseEntry,
  kPauseAgent,
  kLoss,       ///< Messages of one process are lost.
  kDelay,      ///< Messages of one process are delayed and reordered.
  kDuplicate,  ///< Messages are delivered twice.
  kSilent,     ///< No message passes between two processes, yet their connection stays open.
  kLogDown,
  kLogSlow,
  kAnswerLost,   ///< Appends take effect, but some of their answers are lost.
  kLogCutOff,    ///< One entry cannot reach the log.
  kRetention,    ///< The log retains records for 40 s only.
  kDrift,        ///< The clock of one process is up to 0.5 % fast or slow; two differ by up to 1 %.
  kRace,         ///< Two operators change the same class at the same time.
  kStopEntry,    ///< Planned stop of an entry.
  kStopAgent,    ///< Planned stop of an agent.
  kPartition,    ///< One entry and two agents reach each other, but no other process nor the log.
  kDrainWorker,  ///< An operator drains a worker.
};
inline constexpr std::size_t kFaultKinds = 21;

[[nodiscard]] std::string_view FaultName(FaultKind kind) noexcept;

struct Fault {
  FaultKind m_kind = FaultKind::kLoss;
  std::uint32_t m_target = 0;  ///< Index of the process, modulo the number of processes.
  std::uint32_t m_at_ms = 0;   ///< Start, in time of the run.
  std::uint32_t m_length_ms = 0;
  std::uint32_t m_strength = 0;  ///< 0 to 99; its meaning depends on the kind.
  friend bool operator==(const Fault&, const Fault&) = default;
};

/// Determines a run: the same schedule always gives the same history.
struct Schedule {
  std::uint32_t m_seed = 0;  ///< Seed of the workload and of the delays.
  std::vector<Fault> m_faults;
};

std::ostream& operator<<(std::ostream& out, const Fault& fault);
std::ostream& operator<<(std::ostream& out, const Schedule& schedule);

/// Deliberate defects that the harness injects to test that the checker detects them. They are
/// implemented in the harness; the scheduler's code has no switch for them.
enum class Defect : std::uint8_t {
  kNone,
  kNoFence,         ///< Fence requests are answered "never started" without reaching the agent.
  kNoReadBack,      ///< Work starts when its assignment is sent to the log, before it is read back.
  kEarlyRestart,    ///< The owner assumes that grants and its authority last 1 s.
  kEpochIgnored,    ///< Job records are applied as if they carried the current epoch.
  kDuplicateBatch,  ///< A repeated append is applied as if it were a new one.
  kConfigReplay,    ///< An entry sends old class settings with a new offset.
  kWrongAnswer,     ///< A reply carries the result of another request.
  kFalseNotSent,    ///< A call that timed out is reported as not sent.
  kEarlyAcknowledgement,  ///< Reports are acknowledged before they are in the log.
  kLeaseIgnored,          ///< The worker keeps running tasks without a lease or grant.
  kOvercommit,            ///< The agent is configured with twice the worker's capacity.
  kCancelUnread,          ///< A cancellation is answered before it is in the log.
  kDrainIgnored,          ///< The agent is not told that it must drain.
  kCutOnStop,             ///< A planned stop ends the process immediately.
  kAuthorityForever,      ///< Failed log reads count as successful, so authority never lapses.
  kRepeatedRun,           ///< The owner treats every class as idempotent.
  kAcceptUnread,          ///< A job is answered as accepted before it is in the log.
};
inline constexpr std::array kDefects = {
    Defect::kNoFence,      Defect::kNoReadBack,     Defect::kEarlyRestart,
    Defect::kEpochIgnored, Defect::kDuplicateBatch, Defect::kConfigReplay,
    Defect::kWrongAnswer,  Defect::kFalseNotSent,   Defect::kEarlyAcknowledgement,
    Defect::kLeaseIgnored, Defect::kOvercommit,     Defect::kCancelUnread,
    Defect::kDrainIgnored, Defect::kCutOnStop,      Defect::kAuthorityForever,
    Defect::kRepeatedRun,  Defect::kAcceptUnread,
};

[[nodiscard]] std::string_view DefectName(Defect defect) noexcept;

}  // namespace ebonypin::faults
