/// Discrete-event simulation of processes, their clocks and the network between them.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "ebonypin/core/messages.h"
#include "ebonypin/faults/history.h"
#include "ebonypin/faults/schedule.h"

namespace ebonypin::faults {

using core::Duration;
using core::Time;
using ReplyFunction = std::function<void(core::Message)>;

/// One process with its own clock. Each start gives it a new incarnation.
struct Process {
  std::string m_name;
  core::Incarnation m_incarnation = 0;
  bool m_up = false;
  Duration m_paused_until{};  ///< In true time.
  double m_rate = 1.0;        ///< Speed of its clock relative to true time.
  Duration m_offset{};        ///< Offset of its clock.
  std::function<void(core::Message, ReplyFunction)> m_handler;
};

struct Sim {
  Duration m_now{};  ///< True time since the start of the run.
  std::mt19937_64 m_random;
  Defect m_defect = Defect::kNone;
  std::vector<Fault> m_faults;
  History m_history;
  std::map<std::string, Process*> m_processes;

  struct ScheduledCall {
    Duration m_at{};
    std::uint64_t m_sequence = 0;
    std::function<void()> m_callback;
    bool operator>(const ScheduledCall& other) const {
      return std::pair{m_at, m_sequence} > std::pair{other.m_at, other.m_sequence};
    }
  };
  std::priority_queue<ScheduledCall, std::vector<ScheduledCall>, std::greater<>> m_scheduled;
  std::uint64_t m_last_sequence = 0;
};

/// Returns a random duration from `low` to `high`.
[[nodiscard]] Duration RandomDuration(Sim& sim, Duration low, Duration high);
/// Returns true with a probability of `percent`.
[[nodiscard]] bool Chance(Sim& sim, std::uint32_t percent);

/// Runs `callback` after `delay` of true time.
void After(Sim& sim, Duration delay, std::function<void()> callback);
/// Runs `callback` after `delay` of true time, once the process is not paused, unless its current
/// incarnation has ended by then.
void AfterInProcess(Sim& sim, Process& process, Duration delay, std::function<void()> callback);

/// As AfterInProcess, for the given incarnation.
void AfterInIncarnation(Sim& sim, Process& process, core::Incarnation incarnation, Duration delay,
                        std::function<void()> callback);

/// Returns the time that the process's clock shows.
[[nodiscard]] Time LocalTime(const Sim& sim, const Process& process);
/// Returns the true duration in which the process's clock advances by `local`.
[[nodiscard]] Duration TrueDuration(const Process& process, Duration local);

/// Returns the first fault of `kind` that is active now and affects `process`, or nullptr. An empty
/// `process` matches every fault of the kind.
[[nodiscard]] const Fault* ActiveFault(const Sim& sim, FaultKind kind, const std::string& process);
/// Returns whether an active partition separates the two processes. The log counts as process
/// "log".
[[nodiscard]] bool IsPartitioned(const Sim& sim, const std::string& a, const std::string& b);
/// Returns the name of the process that `fault` affects.
[[nodiscard]] std::string TargetName(const Fault& fault);

inline const std::vector<std::string> kEntries = {"entry-0", "entry-1", "entry-2"};
inline const std::vector<std::string> kAgents = {"agent-0", "agent-1", "agent-2", "agent-3"};

void Start(Sim& sim, Process& process);
void Stop(Sim& sim, Process& process);

/// Calls `to` over a connection to its current incarnation, and passes the reply or an error to
/// `done` unless the current incarnation of `from` has ended by then.
void Call(Sim& sim, Process& from, const std::string& to, core::Message request, Duration deadline,
          std::function<void(core::Message)> done);

/// Appends an event with the current true time to the history and returns it.
Event& RecordEvent(Sim& sim, EventKind kind, const std::string& source);

}  // namespace ebonypin::faults
