#include "sim.h"

#include <algorithm>
#include <memory>

namespace ebonypin::faults {
namespace {

using namespace std::chrono_literals;
using core::Error;
using core::ErrorKind;

bool IsLost(Sim& sim, const std::string& from, const std::string& to) {
  if (IsParted(sim, from, to)) return true;
  for (const std::string& end : {from, to}) {
    const Fault* const loss = Struck(sim, FaultKind::kLoss, end);
    if (loss != nullptr && Chance(sim, 10 + loss->m_strength * 9 / 10)) return true;
  }
  // A silent connection lies between the target and one process chosen by the strength.
  for (const auto& [end, other] : {std::pair{from, to}, std::pair{to, from}}) {
    const Fault* const silent = Struck(sim, FaultKind::kSilent, end);
    if (silent == nullptr) continue;
    const auto& peers = end.starts_with("entry") ? kAgents : kEntries;
    if (peers[silent->m_strength % peers.size()] == other) return true;
  }
  return false;
}

Duration Latency(Sim& sim, const std::string& from, const std::string& to) {
  Duration latency = Between(sim, 1ms, 8ms);
  for (const std::string& end : {from, to}) {
    const Fault* const delay = Struck(sim, FaultKind::kDelay, end);
    if (delay != nullptr) latency += Between(sim, 0ms, 40ms * (delay->m_strength + 1));
  }
  return latency;
}

struct Pending {
  bool m_over = false;
  std::function<void(core::Message)> m_done;
};

void End(const std::shared_ptr<Pending>& pending, core::Message message) {
  if (pending->m_over) return;
  pending->m_over = true;
  pending->m_done(std::move(message));
}

Error Failure(const ErrorKind kind) { return {.m_kind = kind, .m_message = "simulated"}; }

/// Replies by which a defect of the harness deceives the caller.
bool Deceive(Sim& sim, Process& from, const core::Message& request,
             const std::shared_ptr<Pending>& pending) {
  if (sim.m_defect != Defect::kNoFence || !std::holds_alternative<core::FenceRequest>(request))
    return false;
  AfterIn(sim, from, 2ms, [pending] {
    End(pending, core::FenceReply{.m_phase = core::AttemptPhase::kNeverStarted,
                                  .m_incarnation = 0xffff'ffff'ffffULL});
  });
  return true;
}

void Deliver(Sim& sim, Process& from, Process& to, const core::Message& request,
             const std::shared_ptr<Pending>& pending) {
  if (IsLost(sim, from.m_name, to.m_name)) return;
  const core::Incarnation life = to.m_incarnation;
  const core::Incarnation own_life = from.m_incarnation;
  After(sim, Latency(sim, from.m_name, to.m_name),
        [&sim, &from, &to, request, pending, life, own_life] {
          if (!to.m_up || to.m_incarnation != life) {  // The connection broke.
            AfterIn(sim, from, 1ms, [pending] { End(pending, Failure(ErrorKind::kDisconnected)); });
            return;
          }
          AfterIn(sim, to, 0ms, [&sim, &from, &to, request, pending, own_life] {
            to.m_handler(request, [&sim, &from, &to, pending, own_life](core::Message reply) {
              if (IsLost(sim, to.m_name, from.m_name) || from.m_incarnation != own_life) return;
              AfterIn(sim, from, Latency(sim, to.m_name, from.m_name),
                      [pending, reply = std::move(reply)] { End(pending, reply); });
            });
          });
        });
}

}  // namespace

Duration Between(Sim& sim, const Duration low, const Duration high) {
  return Duration{
      std::uniform_int_distribution<std::int64_t>{low.count(), high.count()}(sim.m_random)};
}

bool Chance(Sim& sim, const std::uint32_t percent) { return sim.m_random() % 100 < percent; }

void After(Sim& sim, const Duration delay, std::function<void()> run) {
  sim.m_items.push(
      {.m_at = sim.m_now + delay, .m_order = ++sim.m_last_order, .m_run = std::move(run)});
}

void AfterIn(Sim& sim, Process& process, const Duration delay, std::function<void()> run) {
  InLife(sim, process, process.m_incarnation, delay, std::move(run));
}

void InLife(Sim& sim, Process& process, const core::Incarnation life, const Duration delay,
            std::function<void()> run) {
  After(sim, delay, [&sim, &process, life, run = std::move(run)]() mutable {
    if (!process.m_up || process.m_incarnation != life) return;
    if (process.m_paused_until > sim.m_now) {
      InLife(sim, process, life, process.m_paused_until - sim.m_now, std::move(run));
    } else {
      run();
    }
  });
}

Time Clock(const Sim& sim, const Process& process) {
  return Time{process.m_offset + Duration{static_cast<std::int64_t>(
                                     static_cast<double>(sim.m_now.count()) * process.m_rate)}};
}

Duration TrueLength(const Process& process, const Duration local) {
  return Duration{static_cast<std::int64_t>(static_cast<double>(local.count()) / process.m_rate)};
}

std::string TargetOf(const Fault& fault) {
  switch (fault.m_kind) {
    case FaultKind::kCrashEntry:
    case FaultKind::kPauseEntry:
    case FaultKind::kLogCutOff:
    case FaultKind::kStopEntry:
      return kEntries[fault.m_target % kEntries.size()];
    case FaultKind::kCrashAgent:
    case FaultKind::kCrashInstance:
    case FaultKind::kRestartWorker:
    case FaultKind::kPauseAgent:
    case FaultKind::kStopAgent:
    case FaultKind::kDrainWorker:
      return kAgents[fault.m_target % kAgents.size()];
    default: {
      const std::size_t index = fault.m_target % (kEntries.size() + kAgents.size());
      return index < kEntries.size() ? kEntries[index] : kAgents[index - kEntries.size()];
    }
  }
}

static bool IsActive(const Sim& sim, const Fault& fault) {
  const Duration begin = std::chrono::milliseconds{fault.m_at_ms};
  return sim.m_now >= begin && sim.m_now < begin + std::chrono::milliseconds{fault.m_length_ms};
}

const Fault* Struck(const Sim& sim, const FaultKind kind, const std::string& process) {
  for (const Fault& fault : sim.m_faults) {
    if (fault.m_kind == kind && IsActive(sim, fault) &&
        (process.empty() || TargetOf(fault) == process))
      return &fault;
  }
  return nullptr;
}

bool IsParted(const Sim& sim, const std::string& a, const std::string& b) {
  for (const Fault& fault : sim.m_faults) {
    if (fault.m_kind != FaultKind::kPartition || !IsActive(sim, fault)) continue;
    const std::size_t first = fault.m_target / kEntries.size();
    const auto inside = [&fault, first](const std::string& name) {
      return name == kEntries[fault.m_target % kEntries.size()] ||
             name == kAgents[first % kAgents.size()] ||
             name == kAgents[(first + 1) % kAgents.size()];
    };
    if (inside(a) != inside(b)) return true;
  }
  return false;
}

void Start(Sim& sim, Process& process) {
  process.m_up = true;
  ++process.m_incarnation;
  process.m_paused_until = {};
  Note(sim, EventKind::kProcessStarted, process.m_name);
}

void Stop(Sim& sim, Process& process) {
  if (!process.m_up) return;
  process.m_up = false;
  Note(sim, EventKind::kProcessStopped, process.m_name);
}

void Call(Sim& sim, Process& from, const std::string& to, core::Message request,
          const Duration deadline, std::function<void(core::Message)> done) {
  auto pending = std::make_shared<Pending>();
  pending->m_done = std::move(done);
  if (Deceive(sim, from, request, pending)) return;
  Process& target = *sim.m_processes.at(to);
  if (!target.m_up) {
    AfterIn(sim, from, 1ms, [pending] { End(pending, Failure(ErrorKind::kNoCapacity)); });
    return;
  }
  const auto late =
      sim.m_defect == Defect::kFalseNotSent ? ErrorKind::kNoCapacity : ErrorKind::kTimeout;
  AfterIn(sim, from, TrueLength(from, deadline), [pending, late] { End(pending, Failure(late)); });
  Deliver(sim, from, target, request, pending);
  for (const std::string& end : {from.m_name, to}) {
    const Fault* const twice = Struck(sim, FaultKind::kDuplicate, end);
    if (twice != nullptr && Chance(sim, 20 + twice->m_strength / 2))
      Deliver(sim, from, target, request, pending);
  }
}

Event& Note(Sim& sim, const EventKind kind, const std::string& place) {
  sim.m_history.push_back({.m_kind = kind, .m_at_us = sim.m_now.count(), .m_place = place});
  return sim.m_history.back();
}

}  // namespace ebonypin::faults
