/// Virtual time, processes and the network between them.
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

/// One process with its own clock. Each life has its own incarnation.
struct Process {
  std::string m_name;
  core::Incarnation m_incarnation = 0;
  bool m_up = false;
  Duration m_paused_until{};  ///< True time.
  double m_rate = 1.0;        ///< Of its clock.
  Duration m_offset{};        ///< Of its clock.
  std::function<void(core::Message, ReplyFunction)> m_handler;
};

struct Sim {
  Duration m_now{};  ///< True time.
  std::mt19937_64 m_random;
  Defect m_defect = Defect::kNone;
  std::vector<Fault> m_faults;
  History m_history;
  std::map<std::string, Process*> m_processes;

  struct Item {
    Duration m_at{};
    std::uint64_t m_order = 0;
    std::function<void()> m_run;
    bool operator>(const Item& other) const {
      return std::pair{m_at, m_order} > std::pair{other.m_at, other.m_order};
    }
  };
  std::priority_queue<Item, std::vector<Item>, std::greater<>> m_items;
  std::uint64_t m_last_order = 0;
};

/// Returns a random duration from `low` to `high`.
[[nodiscard]] Duration Between(Sim& sim, Duration low, Duration high);
/// Returns true in `percent` of all calls.
[[nodiscard]] bool Chance(Sim& sim, std::uint32_t percent);

/// Runs `run` after `delay` of true time.
void After(Sim& sim, Duration delay, std::function<void()> run);
/// Runs `run` in the same life of the process, when it is not paused.
void AfterIn(Sim& sim, Process& process, Duration delay, std::function<void()> run);

/// Runs `run` in the life `life` of the process, when it is not paused.
void InLife(Sim& sim, Process& process, core::Incarnation life, Duration delay,
            std::function<void()> run);

/// Returns the process's clock.
[[nodiscard]] Time Clock(const Sim& sim, const Process& process);
/// Returns the true length of `local` on the process's clock.
[[nodiscard]] Duration TrueLength(const Process& process, Duration local);

/// Returns the fault of `kind` that strikes `process` now, or nullptr.
[[nodiscard]] const Fault* Struck(const Sim& sim, FaultKind kind, const std::string& process);
/// Returns whether a partition lies between the two processes. The log is the process "log".
[[nodiscard]] bool IsParted(const Sim& sim, const std::string& a, const std::string& b);
/// Returns the name of the process that a fault names.
[[nodiscard]] std::string TargetOf(const Fault& fault);

inline const std::vector<std::string> kEntries = {"entry-0", "entry-1", "entry-2"};
inline const std::vector<std::string> kAgents = {"agent-0", "agent-1", "agent-2", "agent-3"};

void Start(Sim& sim, Process& process);
void Stop(Sim& sim, Process& process);

/// Calls `to` over a connection to its present life and passes the outcome to `done` in the present
/// life of `from`.
void Call(Sim& sim, Process& from, const std::string& to, core::Message request, Duration deadline,
          std::function<void(core::Message)> done);

/// Adds an event at the present time and returns it.
Event& Note(Sim& sim, EventKind kind, const std::string& place);

}  // namespace ebonypin::faults
