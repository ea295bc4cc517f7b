#include "ebonypin/faults/schedule.h"

#include <ostream>

namespace ebonypin::faults {
namespace {

constexpr std::array<std::string_view, kFaultKinds> kFaultNames = {
    "crash entry", "crash agent",    "crash instance", "restart worker", "pause entry",
    "pause agent", "message loss",   "message delay",  "duplication",    "silent connection",
    "log down",    "log slow",       "answer lost",    "log cut off",    "retention over",
    "clock drift", "operators race", "stop entry",     "stop agent",     "domain cut off",
    "drain worker"};

constexpr std::array<std::string_view, kDefects.size() + 1> kDefectNames = {
    "none",           "no fence",
    "no read-back",   "early restart",
    "epoch ignored",  "duplicate batch applied",
    "config replay",  "wrong answer",
    "false not sent", "early acknowledgement",
    "lease ignored",  "overcommit",
    "cancel unread",  "drain ignored",
    "cut on stop",    "authority forever",
    "repeated run",   "accept unread"};

}  // namespace

std::string_view FaultName(const FaultKind kind) noexcept {
  return kFaultNames[static_cast<std::size_t>(kind)];
}

std::string_view DefectName(const Defect defect) noexcept {
  return kDefectNames[static_cast<std::size_t>(defect)];
}

std::ostream& operator<<(std::ostream& out, const Fault& fault) {
  return out << FaultName(fault.m_kind) << " of " << fault.m_target << " at " << fault.m_at_ms
             << " ms for " << fault.m_length_ms << " ms, strength " << fault.m_strength;
}

std::ostream& operator<<(std::ostream& out, const Schedule& schedule) {
  out << "seed " << schedule.m_seed;
  for (const Fault& fault : schedule.m_faults) out << "\n  " << fault;
  return out;
}

}  // namespace ebonypin::faults
