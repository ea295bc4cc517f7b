#include "sim.h"

#include <algorithm>
#include <memory>

namespace ebonypin::faults {
namespace {

using namespace std::chrono_literals;
using core::Error;
using core::ErrorKind;

bool IsLost(Sim& sim, const std::string& from, const std::string& to) {
  if (IsPartitioned(sim, from, to)) return true;
  for (const std::string& end : {from, to}) {
    const Fault* const loss = ActiveFault(sim, FaultKind::kLoss, end);
    if (loss != nullptr && Chance(sim, 10 + loss->m_strength * 9 / 10)) return true;
  }
  // The strength of a silent-connection fault chooses the other process of the connection.
  for (const auto& [end, other] : {std::pair{from, to}, std::pair{to, from}}) {
    const Fault* const silent = ActiveFault(sim, FaultKind::kSilent, end);
    if (silent == nullptr) continue;
    const auto& peers = end.starts_with("entry") ? kAgents : kEntries;
    if (peers[silent->m_strength % peers.size()] == other) return true;
  }
  return false;
}

Duration Latency(Sim& sim, const std::string& from, const std::string& to) {
  Duration latency = RandomDuration(sim, 1ms, 8ms);
  for (const std::string& end : {from, to}) {
    const Fault* const delay = ActiveFault(sim, FaultKind::kDelay, end);
    if (delay != nullptr) latency += RandomDuration(sim, 0ms, 40ms * (delay->m_strength + 1));
  }
  return latency;
}

struct PendingCall {
  bool m_completed = false;
  std::function<void(core::Message)> m_done;
};

void Complete(const std::shared_ptr<PendingCall>& pending, core::Message message) {
  if (pending->m_completed) return;
  pending->m_completed = true;
  pending->m_done(std::move(message));
}

Error SimulatedError(const ErrorKind kind) { return {.m_kind = kind, .m_message = "simulated"}; }

/// Answers a fence request falsely if Defect::kNoFence is injected; returns whether it did.
bool InjectFalseReply(Sim& sim, Process& from, const core::Message& request,
                      const std::shared_ptr<PendingCall>& pending) {
  if (sim.m_defect != Defect::kNoFence || !std::holds_alternative<core::FenceRequest>(request))
    return false;
  AfterInProcess(sim, from, 2ms, [pending] {
    Complete(pending, core::FenceReply{.m_phase = core::AttemptPhase::kNeverStarted,
                                       .m_incarnation = 0xffff'ffff'ffffULL});
  });
  return true;
}

void Deliver(Sim& sim, Process& from, Process& to, const core::Message& request,
             const std::shared_ptr<PendingCall>& pending) {
  if (IsLost(sim, from.m_name, to.m_name)) return;
  const core::Incarnation incarnation = to.m_incarnation;
  const core::Incarnation caller_incarnation = from.m_incarnation;
  After(sim, Latency(sim, from.m_name, to.m_name),
        [&sim, &from, &to, request, pending, incarnation, caller_incarnation] {
          if (!to.m_up || to.m_incarnation != incarnation) {  // The connection was lost.
            AfterInProcess(sim, from, 1ms, [pending] {
              Complete(pending, SimulatedError(ErrorKind::kDisconnected));
            });
            return;
          }
          AfterInProcess(sim, to, 0ms, [&sim, &from, &to, request, pending, caller_incarnation] {
            to.m_handler(request, [&sim, &from, &to, pending,
                                   caller_incarnation](core::Message reply) {
              if (IsLost(sim, to.m_name, from.m_name) || from.m_incarnation != caller_incarnation)
                return;
              AfterInProcess(sim, from, Latency(sim, to.m_name, from.m_name),
                             [pending, reply = std::move(reply)] { Complete(pending, reply); });
            });
          });
        });
}

}  // namespace

Duration RandomDuration(Sim& sim, const Duration low, const Duration high) {
  return Duration{
      std::uniform_int_distribution<std::int64_t>{low.count(), high.count()}(sim.m_random)};
}

bool Chance(Sim& sim, const std::uint32_t percent) { return sim.m_random() % 100 < percent; }

void After(Sim& sim, const Duration delay, std::function<void()> callback) {
  sim.m_scheduled.push({.m_at = sim.m_now + delay,
                        .m_sequence = ++sim.m_last_sequence,
                        .m_callback = std::move(callback)});
}

void AfterInProcess(Sim& sim, Process& process, const Duration delay,
                    std::function<void()> callback) {
  AfterInIncarnation(sim, process, process.m_incarnation, delay, std::move(callback));
}

void AfterInIncarnation(Sim& sim, Process& process, const core::Incarnation incarnation,
                        const Duration delay, std::function<void()> callback) {
  After(sim, delay, [&sim, &process, incarnation, callback = std::move(callback)]() mutable {
    if (!process.m_up || process.m_incarnation != incarnation) return;
    if (process.m_paused_until > sim.m_now) {
      AfterInIncarnation(sim, process, incarnation, process.m_paused_until - sim.m_now,
                         std::move(callback));
    } else {
      callback();
    }
  });
}

Time LocalTime(const Sim& sim, const Process& process) {
  return Time{process.m_offset + Duration{static_cast<std::int64_t>(
                                     static_cast<double>(sim.m_now.count()) * process.m_rate)}};
}

Duration TrueDuration(const Process& process, const Duration local) {
  return Duration{static_cast<std::int64_t>(static_cast<double>(local.count()) / process.m_rate)};
}

std::string TargetName(const Fault& fault) {
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

const Fault* ActiveFault(const Sim& sim, const FaultKind kind, const std::string& process) {
  for (const Fault& fault : sim.m_faults) {
    if (fault.m_kind == kind && IsActive(sim, fault) &&
        (process.empty() || TargetName(fault) == process))
      return &fault;
  }
  return nullptr;
}

bool IsPartitioned(const Sim& sim, const std::string& a, const std::string& b) {
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
  RecordEvent(sim, EventKind::kProcessStarted, process.m_name);
}

void Stop(Sim& sim, Process& process) {
  if (!process.m_up) return;
  process.m_up = false;
  RecordEvent(sim, EventKind::kProcessStopped, process.m_name);
}

void Call(Sim& sim, Process& from, const std::string& to, core::Message request,
          const Duration deadline, std::function<void(core::Message)> done) {
  auto pending = std::make_shared<PendingCall>();
  pending->m_done = std::move(done);
  if (InjectFalseReply(sim, from, request, pending)) return;
  Process& target = *sim.m_processes.at(to);
  if (!target.m_up) {
    AfterInProcess(sim, from, 1ms,
                   [pending] { Complete(pending, SimulatedError(ErrorKind::kNoCapacity)); });
    return;
  }
  const auto timeout_kind =
      sim.m_defect == Defect::kFalseNotSent ? ErrorKind::kNoCapacity : ErrorKind::kTimeout;
  AfterInProcess(sim, from, TrueDuration(from, deadline),
                 [pending, timeout_kind] { Complete(pending, SimulatedError(timeout_kind)); });
  Deliver(sim, from, target, request, pending);
  for (const std::string& end : {from.m_name, to}) {
    const Fault* const duplicate = ActiveFault(sim, FaultKind::kDuplicate, end);
    if (duplicate != nullptr && Chance(sim, 20 + duplicate->m_strength / 2))
      Deliver(sim, from, target, request, pending);
  }
}

Event& RecordEvent(Sim& sim, const EventKind kind, const std::string& source) {
  sim.m_history.push_back({.m_kind = kind, .m_at_us = sim.m_now.count(), .m_source = source});
  return sim.m_history.back();
}

}  // namespace ebonypin::faults
