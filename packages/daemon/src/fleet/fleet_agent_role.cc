/// Agent role for jobs of steps: carries out the coordinator's orders on its worker.
#include <algorithm>
#include <atomic>
#include <chrono>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "../http_threads.h"
#include "../listener_limits.h"
#include "../listener_report.h"
#include "../rpc_metrics.h"
#include "boot_clock.h"
#include "ebonypin/core/fleet/share_report.h"
#include "ebonypin/core/fleet/worker_agent.h"
#include "ebonypin/daemon/events.h"
#include "ebonypin/daemon/role.h"
#include "ebonypin/wire/limits.h"
#include "fleet_parts.h"

namespace ebonypin::daemon {
namespace {

using core::fleet::RunAnswer;
using core::fleet::RunCall;
using core::fleet::RunCallKind;
using namespace std::chrono_literals;

/// A few HTTP threads are enough, since callbacks only post to the event thread.
constexpr std::size_t kHttpThreads = 2;
/// A new coordinator also announces itself to the agents, so the watch may react slowly.
constexpr auto kCoordinatorPollWait = 5000ms;
/// Longest interval between reports. It is a tenth of the 5 s grant, so that several reports may be
/// lost before the grant ends.
constexpr auto kReportInterval = 500ms;
/// Shortest interval between reports, so that the changes of a burst share one report.
constexpr auto kReportDelay = 8ms;
constexpr auto kReportDeadline = 700ms;
constexpr auto kReportRetryDelay = 120ms;
constexpr auto kTickInterval = 100ms;
/// Interval at which metrics are updated, and so the maximum age of a scraped value.
constexpr auto kMetricsInterval = 1s;

std::string_view KindName(const RunCallKind kind) noexcept {
  switch (kind) {
    case RunCallKind::kStart:
      return "start";
    case RunCallKind::kStop:
      return "stop";
    case RunCallKind::kPace:
      return "pace";
  }
  return "";
}

std::string_view AnswerName(const RunAnswer answer) noexcept {
  switch (answer) {
    case RunAnswer::kOk:
      return "ok";
    case RunAnswer::kRefused:
      return "refused";
    case RunAnswer::kBusy:
      return "busy";
    case RunAnswer::kLate:
      return "late";
    case RunAnswer::kFenced:
      return "fenced";
    case RunAnswer::kNotSent:
      return "not_sent";
    case RunAnswer::kNoAnswer:
      return "no_answer";
    case RunAnswer::kOtherWorker:
      return "other_worker";
  }
  return "";
}

std::string_view OutcomeName(const core::fleet::RunOutcome outcome) noexcept {
  using core::fleet::RunOutcome;
  switch (outcome) {
    case RunOutcome::kDone:
      return "done";
    case RunOutcome::kFailed:
      return "failed";
    case RunOutcome::kStopped:
      return "stopped";
    case RunOutcome::kLapsed:
      return "lapsed";
    case RunOutcome::kBroken:
      return "broken";
    case RunOutcome::kAlone:
      return "alone";
  }
  return "";
}

class FleetAgentRole final : public Role {
 public:
  explicit FleetAgentRole(config::Settings settings)
      : m_settings(std::move(settings)), m_platform(RequirePlatform()) {}

  ~FleetAgentRole() override {
    // Everything that calls into the agent is stopped, in this order, before the agent is
    // destroyed.
    m_metrics_server = nullptr;
    m_events->Stop();
    m_control = nullptr;  // The event thread reads its counters.
    m_rpc = nullptr;
  }

  void Start() override {
    LimitHttpThreads(kHttpThreads);
    m_agent.m_id = {m_settings.m_id};
    m_agent.m_rpc_address = m_settings.m_rpc_address;
    m_agent.m_options.m_longest_lease = m_settings.m_longest_lease;
    // The fence exceeds that of an earlier agent of this worker unless the wall clock was set back.
    // In that case the worker refuses it as outdated, and the agent raises it.
    m_agent.m_fence = static_cast<std::uint64_t>(WallNow()) << 10U;
    m_started = BootNow();
    Begin(m_agent, m_started);
    m_store = m_platform.m_store(m_settings.m_store_url);
    m_worker = m_platform.m_worker(m_settings.m_worker_url);
    m_rpc = StartRpc(m_settings, m_events,
                     [this](const core::Message& message, wire::ReplyFunction reply) {
                       ServeMessage(message, std::move(reply));
                     });
    m_control = m_platform.m_control(m_settings.m_control_address, Handlers(),
                                     SideLimits(m_settings, kMaxHeartbeatBytes));
    m_coordinator_watch = WatchCoordinator(
        m_events, *m_store, m_platform.m_coordinator_topic, kCoordinatorPollWait,
        [this](const auto& record) { HandleCoordinator(record); },
        [this] { HandleCoordinator(std::nullopt); });
    m_events->Every(kTickInterval, [this] { OnTick(); });
    m_events->Every(kMetricsInterval, [this] { UpdateMetrics(); });
    m_metrics_server = StartMetrics(m_settings, m_fleet_metrics, *m_rpc);
  }

  /// The runs' leases outlast a restart of the agent, so there is nothing to hand over.
  void BeginDrain() override { m_stopping = true; }

  [[nodiscard]] bool IsDrained() const override { return m_stopping; }

  void Stop() override { m_events->Stop(); }

 private:
  platform::ControlHandlers Handlers() {
    return {.m_on_heartbeat =
                [this](const platform::WorkerHeartbeat& beat) {
                  m_events->Post([this, beat] { HandleHeartbeat(beat); });
                },
            .m_on_leave =
                [](const core::fleet::WorkerId& worker) {
                  LogEvent(kWorkerState, {{"worker", worker.m_value}, {"state", "left"}});
                },
            .m_on_malformed =
                [](const std::string& reason) {
                  LogEvent(kHeartbeatRefused, {{"reason", reason}});
                }};
  }

  void HandleHeartbeat(const platform::WorkerHeartbeat& beat) {
    const bool draining = m_agent.m_worker.m_draining;
    const auto former_born = m_agent.m_worker.m_born;
    const bool is_new_process = OnHeartbeat(m_agent, BootNow(), beat.m_worker, beat.m_sequence);
    LogCrash(former_born);
    if (is_new_process || draining != m_agent.m_worker.m_draining) {
      LogEvent(kWorkerState, {{"worker", beat.m_worker.m_id.m_value},
                              {"born", beat.m_worker.m_born},
                              {"state", beat.m_worker.m_draining ? "draining" : "ready"},
                              {"seq", beat.m_sequence}});
    }
    SendDueCalls();
  }

  void HandleCoordinator(const std::optional<core::fleet::CoordinatorRecord>& record) {
    const bool first = !m_agent.m_coordinator_read;
    OnCoordinatorRead(m_agent, BootNow(), record);
    if (first) LogCoordinatorAwaited(false, m_agent.m_epoch);
    SendDueCalls();
  }

  void LogCoordinatorAwaited(const bool awaited, const core::Epoch epoch) {
    const auto waited =
        std::chrono::duration_cast<std::chrono::milliseconds>(BootNow() - m_started);
    LogEvent(kCoordinatorAwaited,
             {{"awaited", awaited}, {"epoch", epoch}, {"waited_ms", waited.count()}});
  }

  void ServeMessage(const core::Message& message, wire::ReplyFunction reply) {
    if (const auto* const orders = std::get_if<core::fleet::AgentOrders>(&message)) {
      if (!m_agent.m_coordinator_read && !std::exchange(m_refused_coordinator, true)) {
        LogCoordinatorAwaited(true, orders->m_epoch);
      }
      reply(OnOrders(m_agent, BootNow(), *orders));
      return SendDueCalls();
    }
    reply(core::Error{.m_kind = core::ErrorKind::kInvalidRequest,
                      .m_message = "an agent does not accept this message; check the address of "
                                   "the call"});
  }

  void OnTick() {
    const auto now = BootNow();
    core::fleet::Tick(m_agent, now);
    const bool granted = now < m_agent.m_granted_until;
    if (granted != m_granted) {
      m_granted = granted;
      LogEvent(kGrantState, {{"granted", granted},
                             {"epoch", m_agent.m_epoch},
                             {"coordinator", m_agent.m_coordinator},
                             {"runs", m_agent.m_runs.size()}});
    }
    SendDueCalls();
  }

  void UpdateMetrics() {
    const auto control = m_control->Counters();
    m_fleet_metrics.SetListener("control", control);
    m_control_report.Update(control, Now());
    m_rpc_report.Update(ListenerCounters(m_rpc->Counters()), Now());
    m_fleet_metrics.Set("granted", m_granted ? 1.0 : 0.0);
    m_fleet_metrics.Set("worker_reachable", m_agent.m_worker.m_reachable ? 1.0 : 0.0);
    m_fleet_metrics.Set("epoch", static_cast<double>(m_agent.m_epoch));
    m_fleet_metrics.Set("runs", static_cast<double>(m_agent.m_runs.size()));
    m_fleet_metrics.Set("unrecorded_ends", static_cast<double>(m_agent.m_ends.size()));
    m_fleet_metrics.Set("ends_total", static_cast<double>(m_ended_runs));
    m_fleet_metrics.Set("unstopped_runs", static_cast<double>(CountStopping(m_agent)));
    m_fleet_metrics.Set("states_ignored_total", static_cast<double>(m_agent.m_states_ignored));
    const auto shares = core::fleet::CountShares(m_agent);
    AddShareSeconds(shares);
    if (shares.m_partial + shares.m_resting + shares.m_missed > 0) LogShares(shares, BootNow());
  }

  /// Adds one metrics interval for each run to the seconds that runs spent at each kind of share.
  void AddShareSeconds(const core::fleet::ShareCounts& counts) {
    const auto add = [this](const char* name, double& total, const std::uint32_t runs) {
      total += runs * std::chrono::duration<double>(kMetricsInterval).count();
      m_fleet_metrics.Set(name, total);
    };
    add("filling_full_seconds_total", m_share_seconds.m_full, counts.m_full);
    add("filling_partial_seconds_total", m_share_seconds.m_partial, counts.m_partial);
    add("filling_resting_seconds_total", m_share_seconds.m_resting, counts.m_resting);
    add("serving_missed_seconds_total", m_share_seconds.m_missed, counts.m_missed);
  }

  /// Logs the latencies, loads and image pairs that explain the shares.
  void LogShares(const core::fleet::ShareCounts& counts, const core::Time now) const {
    const auto report = core::fleet::DescribeShares(m_agent, now);
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - m_agent.m_clock_at);
    LogEvent(kWorkerShares, {{"full", counts.m_full},
                             {"partial", counts.m_partial},
                             {"resting", counts.m_resting},
                             {"missed", counts.m_missed},
                             {"serving", report.m_serving},
                             {"filling", report.m_filling},
                             {"pairs", report.m_pairs},
                             {"age_ms", age.count()}});
  }

  platform::CallTarget Target() const {
    return {.m_worker = m_agent.m_worker.m_id, .m_fence = m_agent.m_fence};
  }

  void SendDueCalls() {
    const auto now = BootNow();
    if (const auto hold = NextHold(m_agent, now)) SendHold(*hold, now);
    for (const auto& call : NextCalls(m_agent, now)) {
      if (call.m_kind == RunCallKind::kPace) LogShare(call, now);
      SendCall(call);
    }
    const bool rest = core::fleet::MustRestAll(m_agent.m_missed_since, now);
    if (rest != m_resting) {
      m_resting = rest;
      LogEvent(kFillingTasksPaced, {{"resting", rest}, {"runs", m_agent.m_runs.size()}});
    }
    const bool due = m_agent.m_report_due || now - m_last_report >= kReportInterval;
    if (due && !m_report_in_flight && !m_agent.m_coordinator.empty() && now >= m_next_report) {
      SendReport(now);
    }
  }

  void ScheduleSendDueCalls(const core::Duration delay) {
    m_events->At(Now() + delay, [this] { SendDueCalls(); });
  }

  void SendHold(const core::fleet::HoldCall& hold, const core::Time sent) {
    m_worker->Hold(Target(), hold,
                   [this, events = m_events, sent](const platform::HoldReply& reply) {
                     events->Post([this, sent, reply] {
                       const bool was_reachable = m_agent.m_worker.m_reachable;
                       if (reply.m_fenced) RaiseFence(m_agent);
                       const auto ends = m_agent.m_ends.size();
                       const auto former_born = m_agent.m_worker.m_born;
                       OnHold(m_agent, sent, BootNow(), reply.m_answer);
                       LogCrash(former_born);
                       for (std::size_t i = ends; i < m_agent.m_ends.size(); ++i)
                         LogRunEnd(m_agent.m_ends[i]);
                       if (was_reachable != m_agent.m_worker.m_reachable) {
                         LogEvent(kWorkerState, {{"worker", m_agent.m_worker.m_id.m_value},
                                                 {"state", was_reachable ? "silent" : "answers"},
                                                 {"why", reply.m_reason}});
                       }
                       SendDueCalls();
                       if (m_agent.m_report_due) ScheduleSendDueCalls(kReportDelay);
                     });
                   });
  }

  /// Logs the runs that were lost if the worker's incarnation `born` has crashed.
  void LogCrash(const std::int64_t born) const {
    if (born == m_agent.m_worker.m_born) return;
    constexpr std::size_t kMaxListed = 16;  // Bounds the line; the youngest runs come first.
    std::vector<core::fleet::CrashedRun> runs;
    std::copy_if(m_agent.m_crashed.begin(), m_agent.m_crashed.end(), std::back_inserter(runs),
                 [born](const auto& run) { return run.m_born == born; });
    if (runs.empty()) return;
    std::sort(runs.begin(), runs.end(),
              [](const auto& a, const auto& b) { return a.m_age < b.m_age; });
    std::string text;
    for (std::size_t i = 0; i < std::min(runs.size(), kMaxListed); ++i) {
      text += (i > 0 ? ", " : "") + TaskText(runs[i].m_task) + " run " +
              std::to_string(runs[i].m_run) + " " + std::to_string(runs[i].m_age.count() / 1000) +
              " ms";
    }
    LogEvent(kWorkerCrashed, {{"born", born}, {"count", runs.size()}, {"runs", text}});
  }

  void LogRunEnd(const core::fleet::RunEnded& end) {
    ++m_ended_runs;
    LogEvent(kRunEnded, {{"task", TaskText(end.m_task)},
                         {"run", end.m_run},
                         {"how", OutcomeName(end.m_outcome)},
                         {"number", end.m_number}});
  }

  /// Logs a changed share. Repeated calls for a share that is already confirmed are not logged.
  void LogShare(const RunCall& call, const core::Time now) {
    const auto run = m_agent.m_runs.find(call.m_order.m_task);
    if (run == m_agent.m_runs.end() || run->second.m_paced == call.m_percent) return;
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - m_agent.m_clock_at);
    LogEvent(kShareChanged, {{"task", TaskText(call.m_order.m_task)},
                             {"run", call.m_order.m_run},
                             {"from", run->second.m_paced},
                             {"percent", call.m_percent},
                             {"image", call.m_order.m_image.m_value},
                             {"worst", m_agent.m_worst_ratio},
                             {"age_ms", age.count()}});
  }

  void SendCall(const RunCall& call) {
    m_worker->Call(
        Target(), call,
        [this, events = m_events, call](const RunAnswer answer, const std::string& reason) {
          events->Post([this, call, answer, reason] {
            if (answer != RunAnswer::kOk) {
              LogEvent(kWorkerCallAnswered, {{"call", KindName(call.m_kind)},
                                             {"task", TaskText(call.m_order.m_task)},
                                             {"run", call.m_order.m_run},
                                             {"answer", AnswerName(answer)},
                                             {"why", reason}});
            }
            OnRunAnswer(m_agent, BootNow(), call, answer);
            SendDueCalls();
          });
        });
  }

  void SendReport(const core::Time sent) {
    m_report_in_flight = true;
    m_agent.m_report_due = false;
    m_last_report = sent;
    m_next_report = sent + kReportDelay;
    m_rpc->Call(m_agent.m_coordinator, MakeReport(m_agent, sent), kReportDeadline,
                [this, sent](const wire::CallResult& result) {
                  core::fleet::AgentReportReply reply;
                  const auto* const answered = result.Get<core::fleet::AgentReportReply>();
                  if (answered != nullptr) reply = *answered;
                  m_events->Post([this, sent, reply] {
                    m_report_in_flight = false;
                    OnReportReply(m_agent, sent, reply);
                    if (!reply.m_accepted) {
                      m_next_report = BootNow() + kReportRetryDelay;
                      m_agent.m_report_due = true;
                    }
                    SendDueCalls();
                  });
                });
  }

  const config::Settings m_settings;
  const platform::PlatformPlugin& m_platform;
  const std::shared_ptr<EventThread> m_events = std::make_shared<EventThread>();
  core::fleet::WorkerAgent m_agent;
  std::unique_ptr<platform::KeyedStore> m_store;
  std::unique_ptr<platform::FleetWorkerClient> m_worker;
  std::unique_ptr<wire::Rpc> m_rpc;
  std::unique_ptr<platform::Listener> m_control;
  std::shared_ptr<TopicWatch> m_coordinator_watch;
  std::unique_ptr<MetricsServer> m_metrics_server;
  FleetMetrics m_fleet_metrics;
  ListenerReport m_control_report{"control"};
  ListenerReport m_rpc_report{"rpc"};
  core::Time m_started;
  bool m_refused_coordinator = false;  ///< Before the coordinator's record was read.
  bool m_report_in_flight = false;
  core::Time m_last_report;
  core::Time m_next_report;
  bool m_granted = false;
  bool m_resting = false;
  std::uint64_t m_ended_runs = 0;
  /// Run seconds since the start of this process, by kind of share.
  struct {
    double m_full = 0.0;
    double m_partial = 0.0;
    double m_resting = 0.0;
    double m_missed = 0.0;
  } m_share_seconds;
  std::atomic<bool> m_stopping{false};
};

[[maybe_unused]] const bool kRegistered = RegisterRole(
    "fleet_agent",
    [](const config::Settings& settings) { return std::make_unique<FleetAgentRole>(settings); });

}  // namespace
}  // namespace ebonypin::daemon
