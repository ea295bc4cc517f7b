/// Cost of deciding at target size: 6,900 workers, 1,200 starts a second, 110 teams.
#include <algorithm>
#include <chrono>

#include "case_tools.h"
#include "ebonypin/core/admission.h"
#include "ebonypin/core/dispatch.h"
#include "ebonypin/core/work_queue.h"

namespace ebonypin::bench {
namespace {

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

constexpr std::uint32_t kDomains = 15;
constexpr std::uint32_t kTeams = 110;
constexpr std::uint32_t kStartsPerSecond = 1200;
constexpr std::uint32_t kSeconds = 20;

core::Heartbeat HeartbeatOf(const std::uint32_t worker) {
  core::Resources capacity{.m_cpu_millis = 16000, .m_memory_mb = 60000};
  // About 8,300 accelerators in 6,900 workers, and some workers with large memory.
  if (worker % 10 < 3) capacity.m_accelerators = 4;
  if (worker % 10 == 3) capacity.m_memory_mb = 240000;
  return {.m_agent = {"agent-" + std::to_string(worker)},
          .m_incarnation = 1,
          .m_domain = {"domain-" + std::to_string(worker % kDomains)},
          .m_rpc_address = "127.0.0.1:1",
          .m_capacity = capacity,
          .m_slots = 32,
          .m_load = {.m_committed = {.m_cpu_millis = 4000}, .m_slots_busy = 12}};
}

bool IsScarce(const core::AgentView& agent) {
  return agent.m_capacity.m_accelerators > 0 || agent.m_capacity.m_memory_mb > 60000;
}

struct Cost {
  double m_micros = 0.0;     ///< Real time per decision.
  double m_decisions = 0.0;  ///< Decisions that placed work.
  double m_scarce = 0.0;     ///< Those that used accelerators or large memory for small work.
};

/// Real time per decision: half of the starts are requests, half are jobs.
Cost MeasureDecisions(const std::uint32_t workers, const std::uint64_t seed) {
  std::mt19937_64 random{seed};
  core::FleetView fleet;
  core::DispatchState dispatch;
  core::DispatchOptions options;
  options.m_placement.m_own_domain = {"domain-0"};
  core::WorkQueue queue;
  core::QuotaState quotas;
  Time now = kTraceStart;
  for (std::uint32_t worker = 0; worker < workers; ++worker) {
    core::ObserveHeartbeat(fleet, HeartbeatOf(worker), now);
  }
  for (std::uint32_t team = 0; team < kTeams; ++team) {
    core::SetQuota(quotas, {"team-" + std::to_string(team)}, {.m_items = 100'000});
  }
  const core::ClassSpec spec{.m_name = {"lookup"}, .m_target = {.m_start_within = 50ms}};
  const core::Resources size{.m_cpu_millis = 500, .m_memory_mb = 500};
  std::vector<double> micros;
  double decisions = 0.0;
  double scarce = 0.0;
  std::uint64_t number = 0;
  for (std::uint32_t second = 0; second < kSeconds; ++second) {
    std::uint64_t decided = 0;
    const auto begin = std::chrono::steady_clock::now();
    for (std::uint32_t start = 0; start < kStartsPerSecond; ++start) {
      now += Duration{1'000'000 / kStartsPerSecond};
      ++number;
      const core::TeamName team{"team-" + std::to_string(number % kTeams)};
      if (core::TakeQuota(quotas, team, size)) continue;
      if (number % 2 == 0) {
        const core::DispatchContext context{fleet, options, now, random};
        const auto actions = core::OnRequest(
            dispatch, context, number,
            {.m_id = {std::to_string(number)}, .m_class = spec.m_name, .m_size = size}, spec);
        const auto* const run = std::get_if<core::SendRun>(&actions.front());
        if (run == nullptr) continue;
        ++decided;
        scarce += IsScarce(*core::FindAgent(fleet, run->m_agent)) ? 1.0 : 0.0;
        (void)core::OnRunReply(dispatch, context, run->m_agent,
                               {.m_request = run->m_run.m_request,
                                .m_try = run->m_run.m_try,
                                .m_kind = core::AnswerKind::kDone,
                                .m_result_hash = core::StableHash(""),
                                .m_load = {.m_slots_busy = 12}});
      } else {
        core::PushWork(queue, {.m_id = number,
                               .m_latest_start = now + 2200ms,
                               .m_size = size,
                               .m_expected_run = 10s});
        core::Placement placement;
        const auto next = core::PopWork(queue, [&](const core::QueueItem& item) {
          placement = core::PlaceWork(fleet, options.m_placement,
                                      {.m_size = item.m_size, .m_job = true}, random);
          return placement.m_agent.has_value();
        });
        if (!next) continue;
        ++decided;
        scarce += IsScarce(fleet.m_agents[*placement.m_agent]) ? 1.0 : 0.0;
        core::CountSent(fleet, *placement.m_agent, next->m_size);
      }
      core::ReturnQuota(quotas, team, size);
    }
    const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - begin;
    decisions += static_cast<double>(decided);
    micros.push_back(took.count() / static_cast<double>(std::max<std::uint64_t>(decided, 1)));
    // Heartbeats are not decisions, but they refresh the view between seconds.
    for (std::uint32_t worker = 0; worker < workers; ++worker) {
      core::ObserveHeartbeat(fleet, HeartbeatOf(worker), now);
    }
  }
  // The median leaves out seconds disturbed by other processes of the machine.
  return {.m_micros = Percentile(micros, 50.0), .m_decisions = decisions, .m_scarce = scarce};
}

}  // namespace

void RunFleet(Report& report, const std::uint64_t seed) {
  const Scenario scenario{.m_name = "fleet"};
  const Cost small = MeasureDecisions(690, seed);
  const Cost large = MeasureDecisions(6900, seed);
  Add(report, scenario, "workers_690", "decision_us", "us", small.m_micros);
  Add(report, scenario, "workers_690", "decisions", "count", small.m_decisions);
  Add(report, scenario, "ebonypin", "decision_us", "us", large.m_micros);
  Add(report, scenario, "ebonypin", "decisions", "count", large.m_decisions);
  Add(report, scenario, "ebonypin", "scarce_share", "%",
      100.0 * large.m_scarce / large.m_decisions);
  AddAtMost(report, scenario.m_name, "decision_us < 50 us", large.m_micros, 50.0);
  AddAtMost(report, scenario.m_name, "decision_us <= 2 x at 690 workers", large.m_micros,
            2.0 * small.m_micros);
}

}  // namespace ebonypin::bench
