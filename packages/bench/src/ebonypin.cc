/// The policy of this project: drives the entry's part of the core with one agent per endpoint.
#include <algorithm>

#include "agent_driver.h"
#include "ebonypin/core/dispatch.h"

namespace ebonypin::bench {
namespace {

constexpr Duration kHeartbeat = std::chrono::seconds{1};
constexpr Duration kTick = std::chrono::milliseconds{100};
/// Group commit of the log: a job's records are read back this much later.
constexpr Duration kAppend = std::chrono::milliseconds{10};
/// An agent that refused a job is not asked again within this time.
constexpr Duration kRefusedFor = std::chrono::milliseconds{100};

/// One entry. Its jobs are those that arrived at it, like the jobs of the shards that it owns.
class EntryDriver {
 public:
  EntryDriver(World& world, std::vector<std::unique_ptr<AgentDriver>>& agents,
              const std::uint32_t domain)
      : m_world(world),
        m_agents(agents),
        m_domain(domain),
        m_models(world.GetScenario().m_classes.size()),
        m_refused_at(world.m_endpoints.size()) {
    m_options.m_placement.m_own_domain = DomainName(domain);
    m_options.m_admission = world.With("admission");
    m_options.m_hedge = world.With("hedge");
    m_options.m_placement.m_domain_penalty = 2 * world.GetScenario().m_link.m_remote;
    if (!world.With("distance")) m_options.m_placement.m_domain_penalty = Duration{0};
    if (!world.With("probes")) m_options.m_placement.m_probes = 1;
    for (std::uint32_t worker = 0; worker < agents.size(); ++worker) SendHeartbeat(worker);
    Tick();
  }

  void Arrive(const std::uint64_t item) {
    const WorkClass& work = m_world.ClassOf(item);
    if (work.m_spec.m_kind == core::ClassKind::kJob) {
      AcceptJob(item);
      return;
    }
    Take(core::OnRequest(m_dispatch, Context(), item,
                         {.m_id = {std::to_string(item)},
                          .m_class = work.m_spec.m_name,
                          .m_size = m_world.Item(item).m_declared,
                          .m_declared_run = m_world.Item(item).m_declared_run},
                         work.m_spec));
  }

  void Cancel(const std::uint64_t item) {
    if (m_world.ClassOf(item).m_spec.m_kind != core::ClassKind::kJob) {
      Take(core::OnCancel(m_dispatch, Context(), item));
      return;
    }
    Job& job = m_jobs[item];
    if (job.m_closed) return;
    job.m_closed = true;
    if (core::CancelWork(m_queue, item)) {
      m_world.Answer(item,
                     job.m_attempt == 0 ? core::AnswerKind::kNotRun : core::AnswerKind::kUnknown,
                     core::ErrorKind::kCancelled);
      return;
    }
    m_world.Answer(item, core::AnswerKind::kUnknown, core::ErrorKind::kCancelled);
    if (job.m_worker) {
      m_world.m_loop.After(Travel(*job.m_worker), [this, item, worker = *job.m_worker] {
        m_agents[worker]->CancelJob(item);
      });
    }
  }

  void OnJobEnd(const std::uint32_t worker, const Task& task, const bool done) {
    m_world.m_loop.After(Travel(worker), [this, task, done] { FinishJob(task, done); });
  }

  void OnEvicted(const std::uint32_t worker, const Task& task) {
    m_world.m_loop.After(Travel(worker), [this, task] { RequeueJob(task); });
  }

 private:
  struct Job {
    core::Attempt m_attempt = 0;
    double m_left_us = -1.0;
    core::Resources m_size;
    bool m_closed = false;
    std::optional<std::uint32_t> m_worker;
  };

  static core::DomainName DomainName(const std::uint32_t domain) {
    return {"domain-" + std::to_string(domain)};
  }
  static core::AgentId AgentName(const std::uint32_t worker) { return {std::to_string(worker)}; }
  static std::uint32_t WorkerOf(const core::AgentId& agent) {
    return static_cast<std::uint32_t>(std::stoul(agent.m_value));
  }

  Duration Travel(const std::uint32_t worker) { return m_world.Travel(worker, m_domain); }

  core::DispatchContext Context() {
    return {m_fleet, m_options, m_world.m_loop.Now(), m_world.m_random,
            m_world.With("ejection") ? &m_ejection : nullptr};
  }

  void SendHeartbeat(const std::uint32_t worker) {
    const core::Heartbeat heartbeat{.m_agent = AgentName(worker),
                                    .m_incarnation = 1,
                                    .m_domain = DomainName(m_world.DomainOf(worker)),
                                    .m_capacity = m_world.m_endpoints[worker]->Options().m_capacity,
                                    .m_slots = m_world.m_endpoints[worker]->Options().m_slots,
                                    .m_load = m_agents[worker]->Load()};
    m_world.m_loop.After(Travel(worker), [this, heartbeat] {
      core::ObserveHeartbeat(m_fleet, heartbeat, m_world.m_loop.Now());
    });
    m_world.m_loop.After(kHeartbeat, [this, worker] { SendHeartbeat(worker); });
    core::SweepEjection(m_ejection, m_fleet, m_world.m_loop.Now());
  }

  void Tick() {
    PumpJobs();
    m_world.m_loop.After(kTick, [this] { Tick(); });
  }

  // Synchronous requests.

  void Take(const core::DispatchActions& actions) {
    for (const auto& action : actions) {
      std::visit([this](const auto& one) { CarryOut(one); }, action);
    }
  }

  void CarryOut(const core::SendRun& send) {
    const std::uint32_t worker = WorkerOf(send.m_agent);
    const Duration travel = Travel(worker);
    m_world.m_loop.After(travel, [this, send, worker, travel] {
      m_agents[worker]->OnRun(send.m_run, travel, [this, worker](const core::RunReply& reply) {
        m_world.m_loop.After(Travel(worker), [this, worker, reply] {
          Take(core::OnRunReply(m_dispatch, Context(), AgentName(worker), reply));
        });
      });
    });
    m_world.m_loop.After(send.m_timeout, [this, number = send.m_run.m_try] {
      Take(core::OnCallFailed(m_dispatch, Context(), number, core::CallFailure::kTimeout));
    });
  }

  void CarryOut(const core::SendCancel& send) {
    const std::uint32_t worker = WorkerOf(send.m_agent);
    m_world.m_loop.After(Travel(worker), [this, worker, request = send.m_cancel.m_request] {
      m_agents[worker]->OnCancel(request);
    });
  }

  void CarryOut(const core::AnswerCaller& send) {
    m_world.Answer(
        send.m_ticket, send.m_answer.m_kind,
        send.m_answer.m_error ? send.m_answer.m_error->m_kind : core::ErrorKind::kInternal);
  }

  void CarryOut(const core::ScheduleTick& send) {
    m_world.m_loop.At(send.m_at, [this] { Take(core::OnTick(m_dispatch, Context())); });
  }

  // Jobs.

  void AcceptJob(const std::uint64_t item) {
    if (const auto never = core::CheckNeverFits(m_fleet, m_world.Item(item).m_declared)) {
      m_jobs[item].m_closed = true;
      m_world.Answer(item, core::AnswerKind::kNotRun, never->m_kind);
      return;
    }
    m_world.m_loop.After(kAppend, [this, item] {
      if (m_jobs[item].m_closed) return;
      Enqueue(item);
      PumpJobs();
    });
  }

  void Enqueue(const std::uint64_t item) {
    const TraceItem& trace = m_world.Item(item);
    const core::RunTimeModel& model = m_models[trace.m_class];
    const Duration run = core::RunTimeQuantile(model, m_run_options, 0.5, trace.m_declared_run);
    m_jobs[item].m_size = m_world.With("learned_size")
                              ? core::LearnedSize(model, m_run_options, trace.m_declared)
                              : trace.m_declared;
    core::PushWork(m_queue, {.m_id = item,
                             .m_latest_start = core::LatestStart(
                                 m_world.ClassOf(item).m_spec.m_target, std::nullopt, run,
                                 m_world.m_result.m_items[item].m_arrived),
                             .m_size = m_jobs[item].m_size,
                             .m_expected_run = run});
  }

  void PumpJobs() {
    core::PlacementNeed need{.m_job = true};
    for (std::uint32_t worker = 0; worker < m_refused_at.size(); ++worker) {
      if (m_world.m_loop.Now() - m_refused_at[worker] < kRefusedFor) {
        need.m_avoid.push_back(AgentName(worker));
      }
    }
    core::Placement placement;
    const auto can_start = [&](const core::QueueItem& candidate) {
      need.m_size = candidate.m_size;
      placement = core::PlaceWork(m_fleet, m_options.m_placement, need, m_world.m_random);
      return placement.m_agent.has_value();
    };
    while (const auto next = core::PopWork(m_queue, can_start)) {
      core::CountSent(m_fleet, *placement.m_agent, next->m_size);
      core::RecordSent(m_ejection, m_fleet, m_options.m_ejection,
                       m_fleet.m_agents[*placement.m_agent].m_agent, m_world.m_loop.Now());
      SendReserve(next->m_id, WorkerOf(m_fleet.m_agents[*placement.m_agent].m_agent));
    }
  }

  void SendReserve(const std::uint64_t item, const std::uint32_t worker) {
    m_jobs[item].m_worker = worker;
    m_world.m_loop.After(Travel(worker), [this, item, worker] {
      const bool granted = m_agents[worker]->Reserve(item, m_jobs[item].m_size);
      m_world.m_loop.After(Travel(worker),
                           [this, item, worker, granted, load = m_agents[worker]->Load()] {
                             OnReserved(item, worker, granted, load);
                           });
    });
  }

  void OnReserved(const std::uint64_t item, const std::uint32_t worker, const bool granted,
                  const core::AgentLoad& load) {
    core::CountEnded(m_fleet, AgentName(worker), 1);
    core::ObserveLoad(m_fleet, AgentName(worker), load, m_world.m_loop.Now());
    Job& job = m_jobs[item];
    if (!granted) {
      m_refused_at[worker] = m_world.m_loop.Now();
      core::RecordNotRun(m_ejection, m_fleet, AgentName(worker));
      job.m_worker.reset();
      if (!job.m_closed) Enqueue(item);
      // Another agent may have room now; this one is left out for a while.
      PumpJobs();
      return;
    }
    if (job.m_closed) {
      m_agents[worker]->CancelJob(item);
      return;
    }
    ++job.m_attempt;
    const double left = job.m_left_us >= 0.0
                            ? job.m_left_us
                            : static_cast<double>(m_world.Item(item).m_run.count());
    m_world.m_loop.After(kAppend + Travel(worker), [this, item, worker, left] {
      if (m_jobs[item].m_closed) return;
      m_agents[worker]->StartJob(item, m_jobs[item].m_attempt, left, Duration{0});
    });
  }

  void FinishJob(const Task& task, const bool done) {
    Job& job = m_jobs[task.m_id];
    if (m_world.With("ejection") && job.m_worker) {
      core::RecordOutcome(m_ejection, m_fleet, m_options.m_ejection, AgentName(*job.m_worker), done,
                          m_world.m_loop.Now());
    }
    if (job.m_closed) return;
    job.m_worker.reset();
    if (done) {
      core::LearnRun(m_models[task.m_class], m_run_options, task.m_served, task.m_used);
      job.m_closed = true;
      m_world.Answer(task.m_id, core::AnswerKind::kDone);
    } else if (!m_world.ClassOf(task.m_id).m_spec.m_non_idempotent) {
      Enqueue(task.m_id);
    } else {
      job.m_closed = true;
      m_world.Answer(task.m_id, core::AnswerKind::kUnknown, core::ErrorKind::kTaskFailed);
    }
    PumpJobs();
  }

  void RequeueJob(const Task& task) {
    Job& job = m_jobs[task.m_id];
    if (job.m_closed) return;
    job.m_worker.reset();
    job.m_left_us = task.m_left_us;
    Enqueue(task.m_id);
    PumpJobs();
  }

  World& m_world;
  std::vector<std::unique_ptr<AgentDriver>>& m_agents;
  const std::uint32_t m_domain;
  core::FleetView m_fleet;
  core::DispatchOptions m_options;
  core::DispatchState m_dispatch;
  core::EjectionState m_ejection;
  core::WorkQueue m_queue;
  core::RunTimeOptions m_run_options;
  std::unordered_map<std::uint64_t, Job> m_jobs;
  std::vector<core::RunTimeModel> m_models;
  std::vector<Time> m_refused_at;
};

class EbonypinPolicy final : public Policy {
 public:
  explicit EbonypinPolicy(World& world) {
    const Scenario& scenario = world.GetScenario();
    const std::uint32_t entries = scenario.m_entries > 0 ? scenario.m_entries : scenario.m_domains;
    for (std::uint32_t worker = 0; worker < world.m_endpoints.size(); ++worker) {
      m_agents.push_back(std::make_unique<AgentDriver>(world, worker));
      m_agents.back()->m_on_job_end = [this, worker](const Task& task, const bool done) {
        EntryOf(task.m_id).OnJobEnd(worker, task, done);
      };
      m_agents.back()->m_on_evicted = [this, worker](const Task& task) {
        EntryOf(task.m_id).OnEvicted(worker, task);
      };
    }
    for (std::uint32_t entry = 0; entry < entries; ++entry) {
      m_entries.push_back(
          std::make_unique<EntryDriver>(world, m_agents, entry % scenario.m_domains));
    }
  }

  void Arrive(const std::uint64_t item) override { EntryOf(item).Arrive(item); }
  void Cancel(const std::uint64_t item) override { EntryOf(item).Cancel(item); }
  void OnUsage(const std::uint32_t worker, const std::vector<ClassUsage>& usage) override {
    m_agents[worker]->OnUsage(usage);
  }

 private:
  /// The balancer spreads callers evenly over the entries.
  EntryDriver& EntryOf(const std::uint64_t item) { return *m_entries[item % m_entries.size()]; }

  std::vector<std::unique_ptr<AgentDriver>> m_agents;
  std::vector<std::unique_ptr<EntryDriver>> m_entries;
};

}  // namespace

std::unique_ptr<Policy> MakeEbonypin(World& world) {
  return std::make_unique<EbonypinPolicy>(world);
}

}  // namespace ebonypin::bench
