/// Plays one trace with one policy on the fakes and records what happened to each item.
#pragma once

#include <memory>
#include <set>
#include <vector>

#include "ebonypin/core/request.h"
#include "fakes/trace.h"

namespace ebonypin::bench {

/// Callers are this far from the entry, one way.
inline constexpr Duration kCallerDelay = std::chrono::milliseconds{3};
/// Usage reports cover one window and arrive this much later.
inline constexpr Duration kUsageWindow = std::chrono::seconds{1};
inline constexpr Duration kUsageLag = std::chrono::seconds{2};
/// Time to write a checkpoint.
inline constexpr Duration kCheckpointTime = std::chrono::seconds{1};

struct ItemOutcome {
  Time m_arrived{};  ///< At the entry.
  std::optional<Time> m_answered;
  core::AnswerKind m_kind = core::AnswerKind::kUnknown;
  core::ErrorKind m_error = core::ErrorKind::kInternal;
  Duration m_wait{};           ///< From arrival to first start, without the way to the worker.
  bool m_behind_long = false;  ///< Long work held slots while it waited.
  std::uint32_t m_starts = 0;
  std::uint32_t m_running = 0;
  bool m_ended = false;  ///< A start has succeeded.
};

struct RunResult {
  std::vector<ItemOutcome> m_items;
  std::uint64_t m_starts = 0;
  std::uint64_t m_failed_starts = 0;
  std::uint64_t m_evictions = 0;
  std::uint64_t m_throttles = 0;
  std::uint64_t m_breaches = 0;
};

/// Names of mechanisms that are switched off, to measure what each of them buys.
using Without = std::set<std::string>;

class World;

/// Policy under measurement.
class Policy {
 public:
  virtual ~Policy() = default;
  virtual void Arrive(std::uint64_t item) = 0;
  virtual void Cancel(std::uint64_t item) = 0;
  virtual void OnUsage(std::uint32_t worker, const std::vector<ClassUsage>& usage) = 0;
};

using MakePolicy = std::unique_ptr<Policy> (*)(World&);

[[nodiscard]] std::unique_ptr<Policy> MakeNaive(World& world);
[[nodiscard]] std::unique_ptr<Policy> MakeEbonypin(World& world);

class World {
 public:
  World(const Scenario& scenario, std::uint64_t seed, Without without = {});

  RunResult Play(MakePolicy make);

  [[nodiscard]] const Scenario& GetScenario() const noexcept { return m_scenario; }
  [[nodiscard]] const TraceItem& Item(std::uint64_t item) const { return m_scenario.m_items[item]; }
  [[nodiscard]] const WorkClass& ClassOf(std::uint64_t item) const {
    return m_scenario.m_classes[Item(item).m_class];
  }
  [[nodiscard]] std::uint32_t DomainOf(std::uint32_t worker) const noexcept {
    return worker % m_scenario.m_domains;
  }
  /// Returns whether the named mechanism is switched on.
  [[nodiscard]] bool With(const std::string& mechanism) const {
    return !m_without.contains(mechanism);
  }
  /// Delay between an entry in `domain` and a worker.
  [[nodiscard]] Duration Travel(std::uint32_t worker, std::uint32_t domain = 0) {
    return LinkDelay(m_scenario.m_link, DomainOf(worker) != domain, m_random);
  }

  /// Starts `item` with `left_us` of work, throttled if asked; `travel` is the way it came.
  void StartItem(std::uint32_t worker, std::uint64_t item, const core::Resources& size,
                 double left_us, Duration travel, bool throttled = false);
  /// Counts the end of a start, for whatever reason.
  void EndItem(std::uint64_t item, bool done);
  /// Answers the caller of `item`; later answers are breaches of "answered once".
  void Answer(std::uint64_t item, core::AnswerKind kind,
              core::ErrorKind error = core::ErrorKind::kInternal);

  EventLoop m_loop;
  std::mt19937_64 m_random;
  std::vector<std::unique_ptr<Endpoint>> m_endpoints;
  RunResult m_result;

 private:
  void ScheduleArrival(std::uint64_t item);
  void ReportUsage();
  void WaveLoad();
  void CountBreaches();

  const Scenario& m_scenario;
  const Without m_without;
  std::unique_ptr<Policy> m_policy;
};

}  // namespace ebonypin::bench
