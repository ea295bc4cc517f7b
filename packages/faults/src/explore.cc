#include "ebonypin/faults/explore.h"

#include <rapidcheck.h>

#include <sstream>
#include <utility>

#include "ebonypin/faults/checker.h"
#include "ebonypin/faults/world.h"

namespace ebonypin::faults {
namespace {

/// Exclusive limit of the generated faults in one schedule. It allows for no fault, a single one,
/// several at once and the same kind twice.
constexpr int kMaxFaults = 7;
/// Size parameter of rapidcheck's generators; at 100, inRange uses its whole range.
constexpr int kGeneratorSize = 100;
/// Partitions are generated more often, because one matters only if it lasts long and affects
/// running work.
constexpr std::uint32_t kExtraPartitions = 2;
/// Limits the time spent on shrinking.
constexpr int kMaxShrinks = 200;

rc::Gen<Fault> AnyFault() {
  return rc::gen::map(
      rc::gen::tuple(
          rc::gen::inRange<std::uint32_t>(0, kFaultKinds), rc::gen::inRange<std::uint32_t>(0, 12),
          rc::gen::inRange<std::uint32_t>(kFirstFaultMs, kFaultsOverMs - 4'000),
          rc::gen::inRange<std::uint32_t>(200, 57'000), rc::gen::inRange<std::uint32_t>(0, 100)),
      [](const auto& parts) {
        const auto& [kind, target, at, length, strength] = parts;
        return Fault{
            .m_kind = kind < kFaultKinds ? static_cast<FaultKind>(kind) : FaultKind::kPartition,
            .m_target = target,
            .m_at_ms = at,
            .m_length_ms = length,
            .m_strength = strength};
      });
}

/// Generates a fault of `kind` that begins 10 to 20 s after the start of the run and lasts until
/// the end of all faults.
rc::Gen<Fault> LongFault(const FaultKind kind) {
  return rc::gen::map(rc::gen::tuple(rc::gen::inRange<std::uint32_t>(0, 12),
                                     rc::gen::inRange<std::uint32_t>(10'000, 20'000),
                                     rc::gen::inRange<std::uint32_t>(0, 100)),
                      [kind](const auto& parts) {
                        const auto& [target, at, strength] = parts;
                        return Fault{.m_kind = kind,
                                     .m_target = target,
                                     .m_at_ms = at,
                                     .m_length_ms = kFaultsOverMs,
                                     .m_strength = strength};
                      });
}

rc::Gen<Schedule> AnySchedule(const std::optional<FaultKind> always) {
  const auto others = rc::gen::mapcat(rc::gen::inRange(0, kMaxFaults), [](const int count) {
    return rc::gen::container<std::vector<Fault>>(static_cast<std::size_t>(count), AnyFault());
  });
  const auto first = rc::gen::container<std::vector<Fault>>(
      always ? 1 : 0, LongFault(always.value_or(FaultKind::kLoss)));
  return rc::gen::map(rc::gen::tuple(rc::gen::inRange<std::uint32_t>(0, 1'000'000), first, others),
                      [](const auto& parts) {
                        Schedule schedule{.m_seed = std::get<0>(parts),
                                          .m_faults = std::get<1>(parts)};
                        for (const Fault& fault : std::get<2>(parts))
                          schedule.m_faults.push_back(fault);
                        return schedule;
                      });
}

}  // namespace

Exploration Explore(const ExploreOptions& options) {
  Exploration exploration;
  const rc::Gen<Schedule> any = AnySchedule(options.m_always);
  const Defect defect = options.m_defect;
  const auto fails = [defect](const Schedule& schedule) {
    return !Check(Run(schedule, defect)).m_violations.empty();
  };
  for (int round = 0; round < options.m_rounds; ++round) {
    const rc::Shrinkable<Schedule> tried = any(
        rc::Random(options.m_seed * 1'000'003 + static_cast<std::uint64_t>(round)), kGeneratorSize);
    const Schedule schedule = tried.value();
    for (const Fault& fault : schedule.m_faults)
      ++exploration.m_faults[static_cast<std::size_t>(fault.m_kind)];
    ++exploration.m_rounds;
    const Verdict verdict = Check(Run(schedule, defect));
    exploration.m_operations += verdict.m_operations;
    if (verdict.m_violations.empty()) continue;
    int tries = 0;
    const int max_tries = options.m_shrink ? kMaxShrinks : 0;
    const auto smallest = rc::shrinkable::findLocalMin(
        tried, [&](const Schedule& other) { return ++tries <= max_tries && fails(other); });
    std::ostringstream text;
    text << smallest.first;
    exploration.m_schedule = text.str();
    exploration.m_violations = Check(Run(smallest.first, defect)).m_violations;
    break;
  }
  return exploration;
}

}  // namespace ebonypin::faults
