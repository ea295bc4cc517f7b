#include "owner_service.h"

#include <utility>

#include "ebonypin/daemon/events.h"
#include "ebonypin/wire/limits.h"

namespace ebonypin::daemon {
namespace {

/// Quantile of past run times that placement and slack take as the expected run time.
constexpr double kExpectedRunQuantile = 0.5;

}  // namespace

OwnerService::OwnerService(EventThread& events, OwnerServiceOptions options, RpcCaller call,
                           ConfigService& config, JobService& jobs, MemberService& members)
    : m_events(events),
      m_options(std::move(options)),
      m_call(std::move(call)),
      m_config(config),
      m_jobs(jobs),
      m_members(members),
      m_owner(core::MakeJobOwner(m_options.m_owner)),
      m_random(m_options.m_seed) {
  m_policy.m_place = [this](const core::JobState& job) { return Place(job); };
  m_policy.m_class = [this](const core::ClassName& name) -> const core::ClassSpec* {
    const auto found = m_classes.m_classes.find(name);
    return found == m_classes.m_classes.end() ? nullptr : &found->second;
  };
  m_policy.m_is_live = [this](const core::AgentId& agent) {
    const auto* const view = core::FindAgent(m_fleet, agent);
    return view != nullptr && !view->m_suspected;
  };
  m_policy.m_expected_run = [this](const core::WorkRequest& request) {
    return core::RunTimeQuantile(m_run_times[request.m_class], {}, kExpectedRunQuantile,
                                 request.m_declared_run);
  };
}

core::OwnerPlacement OwnerService::Place(const core::JobState& job) {
  const auto placed = core::PlaceWork(m_fleet, m_options.m_placement,
                                      {.m_size = job.m_request.m_size, .m_job = true}, m_random);
  if (!placed.m_agent) {
    const bool never = placed.m_error.m_kind == core::ErrorKind::kNeverFits;
    return {
        .m_kind = never ? core::OwnerPlacementKind::kNeverFits : core::OwnerPlacementKind::kLater,
        .m_reason = placed.m_error.m_message};
  }
  const auto& agent = m_fleet.m_agents[*placed.m_agent];
  core::OwnerPlacement placement{.m_kind = core::OwnerPlacementKind::kAgent,
                                 .m_agent = agent.m_agent,
                                 .m_incarnation = agent.m_incarnation};
  // Counts the job's size against the agent until its next heartbeat includes the reservation.
  core::CountSent(m_fleet, *placed.m_agent, job.m_request.m_size);
  core::CountEnded(m_fleet, placement.m_agent, placement.m_incarnation);
  if (m_options.m_eject) core::RecordSent(m_ejection, m_fleet, {}, placement.m_agent, Now());
  return placement;
}

core::OwnerContext OwnerService::Context(const core::JobTable& table) const {
  return {.m_table = table, .m_policy = m_policy, .m_now = Now()};
}

void OwnerService::OnEvents(const core::JobTable& table,
                            const std::vector<core::JobEvent>& events) {
  for (const auto& event : events) {
    const bool claimed = event.m_kind == core::JobEventKind::kShardClaimed;
    if (!claimed && event.m_kind != core::JobEventKind::kShardReleased) continue;
    LogEvent(
        claimed ? kShardClaimed : kShardReleased,
        {{"shard", event.m_shard}, {"epoch", event.m_epoch}, {"entry", event.m_entry.m_value}});
  }
  Post(core::OnJobEvents(m_owner, Context(table), events));
}

void OwnerService::OnReset() {
  m_owner = core::MakeJobOwner(m_options.m_owner);
  // Agents send reports again that were not acknowledged.
  m_reports.clear();
}

void OwnerService::OnLogRead(const core::Time read_began) {
  m_jobs.WithTable([&](const core::JobTable& table) {
    core::OnLogRead(m_owner, read_began);
    if (!m_offsets) {
      m_offsets = core::MakeOffsetClock(table.m_offset, m_options.m_retention, Now());
    } else {
      core::NoteOffset(*m_offsets, table.m_offset, Now());
    }
  });
}

std::vector<core::Grant> OwnerService::OnHeartbeat(const core::Heartbeat& heartbeat,
                                                   const bool drained) {
  std::vector<core::Grant> grants;
  m_jobs.WithTable([&](const core::JobTable& table) {
    const auto* const known = core::FindAgent(m_fleet, heartbeat.m_agent);
    if (known == nullptr || known->m_incarnation < heartbeat.m_incarnation) {
      LogEvent(kInstanceJoined, {{"instance", heartbeat.m_agent.m_value},
                                 {"domain", heartbeat.m_domain.m_value},
                                 {"rpc", heartbeat.m_rpc_address}});
    }
    core::ObserveHeartbeat(m_fleet, heartbeat, Now());
    core::SetDrained(m_fleet, heartbeat.m_agent, drained);
    grants = core::OnHeartbeat(m_owner, Context(table), heartbeat);
  });
  return grants;
}

void OwnerService::OnTaskReport(const core::TaskReport& report, wire::ReplyFunction reply) {
  m_jobs.WithTable([&](const core::JobTable& table) {
    if (const auto* const job = core::FindOpen(table, report.m_job);
        job != nullptr && job->m_attempt == report.m_attempt &&
        report.m_phase == core::AttemptPhase::kEnded) {
      core::LearnRun(m_run_times[job->m_request.m_class], {}, report.m_run_time, report.m_used);
    }
    if (m_options.m_eject && report.m_phase == core::AttemptPhase::kEnded) {
      core::RecordOutcome(m_ejection, m_fleet, {}, report.m_agent,
                          report.m_outcome != core::JobOutcome::kFailed, Now());
    }
    const auto call = ++m_last_report;
    m_reports.emplace(call, std::move(reply));
    Post(core::OnTaskReport(m_owner, Context(table), call, report));
  });
}

void OwnerService::OnConfigChange() {
  auto view = m_config.View();
  m_jobs.WithTable([&](const core::JobTable&) {
    for (const auto& agent : m_fleet.m_agents) {
      if (!agent.m_present) continue;
      const auto id = agent.m_agent;
      core::SetDrained(m_fleet, id, view.m_drained.contains(id));
    }
    m_classes = std::move(view);
  });
}

void OwnerService::Sweep() {
  m_jobs.WithTable([&](const core::JobTable& table) {
    const auto swept = core::SweepFleet(m_fleet, {}, Now());
    (void)core::SweepEjection(m_ejection, m_fleet, Now());
    for (const auto& agent : swept.m_removed) {
      Post(core::OnAgentRemoved(m_owner, Context(table), agent));
    }
  });
}

void OwnerService::Tick() {
  m_jobs.WithTable([&](const core::JobTable& table) {
    core::TickInput input;
    // A claim based on an incomplete view of the log could take a shard from a live owner.
    if (m_stream->IsCaughtUp() && m_stream->IsReadable()) input.m_plan = m_members.Plan(table);
    if (m_offsets) {
      const auto retention = m_options.m_retention;
      input.m_rewrite_before = core::OffsetBefore(*m_offsets, retention / 2, Now());
      // Records of shards of other entries are rewritten later, to leave their owners time to do
      // it.
      input.m_rewrite_late_before = core::OffsetBefore(*m_offsets, retention * 5 / 8, Now());
    }
    Post(core::OnTick(m_owner, Context(table), input));
  });
}

void OwnerService::Post(core::OwnerActions actions) {
  if (actions.empty()) return;
  std::vector<PreparedAction> prepared;
  prepared.reserve(actions.size());
  for (auto& action : actions) {
    PreparedAction next;
    if (const auto* const call = std::get_if<core::CallAgent>(&action)) {
      if (const auto* const agent = core::FindAgent(m_fleet, call->m_agent)) {
        next.m_address = agent->m_rpc_address;
      }
    } else if (const auto* const report = std::get_if<core::ReplyToReport>(&action)) {
      if (auto found = m_reports.extract(report->m_call)) next.m_reply = std::move(found.mapped());
    }
    next.m_action = std::move(action);
    prepared.push_back(std::move(next));
  }
  m_events.Post([this, prepared = std::move(prepared)]() mutable {
    for (auto& next : prepared) Perform(next);
  });
}

void OwnerService::Perform(PreparedAction& prepared) {
  std::visit(wire::Overloaded{[&](core::AppendRecord& append) {
                                // The owner learns the outcome from the read-back. It appends a
                                // record again that is not read back.
                                m_stream->Submit(std::move(append.m_record),
                                                 [](const platform::AppendOutcome&) {});
                              },
                              [&](const core::CallAgent& call) { Call(call, prepared.m_address); },
                              [&](core::ReplyToReport& report) {
                                if (!prepared.m_reply) return;
                                for (const auto& entry : m_members.Live()) {
                                  if (entry.m_entry == report.m_reply.m_owner.m_entry) {
                                    report.m_reply.m_owner = entry;
                                  }
                                }
                                prepared.m_reply(std::move(report.m_reply));
                              }},
             prepared.m_action);
}

void OwnerService::Call(const core::CallAgent& call, const std::string& address) {
  if (address.empty()) {
    OnReply(call.m_call,
            core::Error{.m_kind = core::ErrorKind::kNoCapacity,
                        .m_message = "the address of instance '" + call.m_agent.m_value +
                                     "' is not known; wait for its heartbeat"});
    return;
  }
  m_call(address, call.m_request, call.m_deadline,
         [this, id = call.m_call](const wire::CallResult& result) {
           m_events.Post([this, id, reply = result.m_reply] { OnReply(id, reply); });
         });
}

void OwnerService::OnReply(const core::OwnerCallId call, const core::Message& reply) {
  m_jobs.WithTable([&](const core::JobTable& table) {
    Post(core::OnAgentReply(m_owner, Context(table), call, reply));
  });
}

OwnerCounters OwnerService::Counters() const {
  OwnerCounters counters;
  m_jobs.WithTable([&](const core::JobTable&) {
    counters = {.m_owned = m_owner.m_jobs.size(),
                .m_starting = m_owner.m_starting,
                .m_unresolved = core::UnresolvedCount(m_owner)};
  });
  return counters;
}

std::vector<core::StuckJob> OwnerService::Stuck(const std::size_t limit) const {
  std::vector<core::StuckJob> stuck;
  m_jobs.WithTable(
      [&](const core::JobTable& table) { stuck = core::StuckJobs(m_owner, table, limit); });
  return stuck;
}

}  // namespace ebonypin::daemon
