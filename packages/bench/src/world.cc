#include "world.h"

#include <cmath>
#include <numbers>

namespace ebonypin::bench {
namespace {

/// Time after the last arrival for open work to end.
constexpr Duration kDrain = std::chrono::seconds{30};

}  // namespace

World::World(const Scenario& scenario, const std::uint64_t seed, Without without)
    : m_random(seed), m_scenario(scenario), m_without(std::move(without)) {
  for (std::uint32_t worker = 0; worker < scenario.m_workers; ++worker) {
    EndpointOptions options = scenario.m_endpoint;
    options.m_fails_all = scenario.m_failing_worker == worker;
    m_endpoints.push_back(std::make_unique<Endpoint>(m_loop, options, scenario.m_classes.size()));
  }
  m_result.m_items.resize(scenario.m_items.size());
}

RunResult World::Play(const MakePolicy make) {
  m_policy = make(*this);
  if (!m_scenario.m_items.empty()) ScheduleArrival(0);
  m_loop.After(kUsageWindow, [this] { ReportUsage(); });
  if (m_scenario.m_load_waves) WaveLoad();
  m_loop.RunUntil(kTraceStart + m_scenario.m_length + kDrain);
  CountBreaches();
  return std::move(m_result);
}

void World::ScheduleArrival(const std::uint64_t item) {
  m_loop.At(Item(item).m_at + kCallerDelay, [this, item] {
    ItemOutcome& outcome = m_result.m_items[item];
    outcome.m_arrived = m_loop.Now();
    for (const auto& endpoint : m_endpoints) {
      outcome.m_behind_long = outcome.m_behind_long || endpoint->LongHoldsSlot();
    }
    if (Item(item).m_cancel_after) {
      m_loop.After(*Item(item).m_cancel_after, [this, item] { m_policy->Cancel(item); });
    }
    m_policy->Arrive(item);
    if (item + 1 < m_scenario.m_items.size()) ScheduleArrival(item + 1);
  });
}

void World::ReportUsage() {
  for (std::uint32_t worker = 0; worker < m_endpoints.size(); ++worker) {
    m_loop.After(kUsageLag, [this, worker, usage = m_endpoints[worker]->TakeUsage()] {
      m_policy->OnUsage(worker, usage);
    });
  }
  m_loop.After(kUsageWindow, [this] { ReportUsage(); });
}

void World::WaveLoad() {
  constexpr double kPeriod = 40.0;
  const double seconds = static_cast<double>((m_loop.Now() - kTraceStart).count()) / 1e6;
  const double factor = 1.0 + std::sin(2.0 * std::numbers::pi * seconds / kPeriod);
  for (const auto& endpoint : m_endpoints) endpoint->SetLoadFactor(factor);
  m_loop.After(std::chrono::seconds{1}, [this] { WaveLoad(); });
}

void World::StartItem(const std::uint32_t worker, const std::uint64_t item,
                      const core::Resources& size, const double left_us, const Duration travel,
                      const bool throttled) {
  ItemOutcome& outcome = m_result.m_items[item];
  const WorkClass& work = ClassOf(item);
  Endpoint& endpoint = *m_endpoints[worker];
  if (outcome.m_starts == 0) {
    outcome.m_wait =
        std::chrono::duration_cast<Duration>(m_loop.Now() - outcome.m_arrived) - travel;
    outcome.m_behind_long = outcome.m_behind_long || endpoint.LongHoldsSlot();
  }
  // Exclusive work in two places, or work that may run once started after its end.
  if (work.m_spec.m_exclusive && outcome.m_running > 0) ++m_result.m_breaches;
  if (work.m_spec.m_non_idempotent && outcome.m_ended) ++m_result.m_breaches;
  ++outcome.m_starts;
  ++outcome.m_running;
  ++m_result.m_starts;
  endpoint.Start({.m_id = item,
                  .m_class = Item(item).m_class,
                  .m_short = work.m_short,
                  .m_size = size,
                  .m_used = Item(item).m_used,
                  .m_left_us = left_us,
                  .m_throttled = throttled,
                  .m_holds_slot = !throttled,
                  .m_throttled_at = m_loop.Now()});
}

void World::EndItem(const std::uint64_t item, const bool done) {
  ItemOutcome& outcome = m_result.m_items[item];
  if (outcome.m_running > 0) --outcome.m_running;
  outcome.m_ended = outcome.m_ended || done;
}

void World::Answer(const std::uint64_t item, const core::AnswerKind kind,
                   const core::ErrorKind error) {
  ItemOutcome& outcome = m_result.m_items[item];
  if (outcome.m_answered) {
    ++m_result.m_breaches;
    return;
  }
  outcome.m_answered = m_loop.Now() + kCallerDelay;
  outcome.m_kind = kind;
  outcome.m_error = error;
}

void World::CountBreaches() {
  for (const auto& endpoint : m_endpoints) {
    m_result.m_breaches += endpoint->m_breaches;
    m_result.m_failed_starts += endpoint->m_failures;
  }
  for (const ItemOutcome& outcome : m_result.m_items) {
    const bool not_run = outcome.m_answered && outcome.m_kind == core::AnswerKind::kNotRun;
    if (not_run && outcome.m_starts > 0) ++m_result.m_breaches;
  }
}

}  // namespace ebonypin::bench
