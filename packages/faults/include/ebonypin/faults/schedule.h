/// Generated schedules of faults and defects of the harness.
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
  kCrashInstance,  ///< The worker with its agent.
  kRestartWorker,  ///< The worker without its agent.
  kPauseEntry,
  kPauseAgent,
  kLoss,       ///< Messages of one process are lost.
  kDelay,      ///< Messages of one process are delayed and reordered.
  kDuplicate,  ///< Messages are delivered twice.
  kSilent,     ///< Nothing passes between two processes, and no connection breaks.
  kLogDown,
  kLogSlow,
  kAnswerLost,   ///< Appends take effect, but their answers are lost.
  kLogCutOff,    ///< One entry does not reach the log.
  kRetention,    ///< The log keeps only the last 40 s of the run.
  kDrift,        ///< The clock of one process runs up to 0.5 % off, so two differ by up to 1 %.
  kRace,         ///< Two operators change the same class at the same time.
  kStopEntry,    ///< Planned stop.
  kStopAgent,    ///< Planned stop.
  kPartition,    ///< One entry and two workers reach each other, but nothing else.
  kDrainWorker,  ///< By an operator.
};
inline constexpr std::size_t kFaultKinds = 21;

/// Returns the name of `kind` for output.
[[nodiscard]] std::string_view FaultName(FaultKind kind) noexcept;

struct Fault {
  FaultKind m_kind = FaultKind::kLoss;
  std::uint32_t m_target = 0;     ///< Which process; taken modulo their number.
  std::uint32_t m_at_ms = 0;      ///< Begin.
  std::uint32_t m_length_ms = 0;  ///< How long it lasts.
  std::uint32_t m_strength = 0;   ///< 0 to 99.
  friend bool operator==(const Fault&, const Fault&) = default;
};

/// A run is a function of its schedule.
struct Schedule {
  std::uint32_t m_seed = 0;  ///< Of the workload and of the delays.
  std::vector<Fault> m_faults;
};

std::ostream& operator<<(std::ostream& out, const Fault& fault);
std::ostream& operator<<(std::ostream& out, const Schedule& schedule);

/// Deliberate defects of the harness, by which the checker is shown to fail. The scheduler's code
/// has no switch for them.
enum class Defect : std::uint8_t {
  kNone,
  kNoFence,               ///< Fences are answered "never started" without reaching the agent.
  kNoReadBack,            ///< Work starts when its assignment is sent to the log.
  kEarlyRestart,          ///< The owner counts grants and authority as 1 s.
  kEpochIgnored,          ///< Records and messages carry whatever epoch is current.
  kDuplicateBatch,        ///< A repeated append is applied as if it were new.
  kConfigReplay,          ///< An entry teaches old classes under a new offset.
  kWrongAnswer,           ///< A reply carries the result of another request.
  kFalseNotSent,          ///< A call that timed out is reported as not sent.
  kEarlyAcknowledgement,  ///< Reports are acknowledged before they are in the log.
  kLeaseIgnored,          ///< The worker runs tasks on without lease and without grant.
  kOvercommit,            ///< The agent is told twice the worker's capacity.
  kCancelUnread,          ///< A cancellation is answered before it is in the log.
  kDrainIgnored,          ///< The agent is not told that it leaves.
  kCutOnStop,             ///< A planned stop ends the process at once.
  kAuthorityForever,      ///< Failed log reads count as successful.
  kRepeatedRun,           ///< The owner takes every class for idempotent.
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
