/// Role of an entry, which accepts callers' work and operators' changes over HTTP and passes work
/// to agents.
#include <atomic>
#include <memory>
#include <stdexcept>
#include <thread>
#include <utility>

#include "../address.h"
#include "../listener_limits.h"
#include "../listener_report.h"
#include "../rpc_metrics.h"
#include "api_routes.h"
#include "ebonypin/daemon/events.h"
#include "ebonypin/daemon/metrics.h"
#include "ebonypin/daemon/role.h"
#include "entry_metrics.h"
#include "owner_service.h"

namespace ebonypin::daemon {
namespace {

using namespace std::chrono_literals;

constexpr core::Duration kTickInterval = 1s;
constexpr core::Duration kAliveInterval = 30s;
constexpr core::Duration kOwnerInterval = 100ms;
/// Time between informing the load balancer of a planned stop and refusing new work, so that calls
/// already on their way are still served.
constexpr core::Duration kLeaveNotice = 2s;
/// Longest time that a stop waits until its last answers have been written.
constexpr core::Duration kLastAnswersTime = 500ms;

bool IsNaive(const config::Settings& settings) { return settings.m_policy == "naive"; }

/// The naive policy picks one agent at random.
core::PlacementOptions PlacementOptionsOf(const config::Settings& settings) {
  core::PlacementOptions options{.m_own_domain = {settings.m_domain}};
  if (IsNaive(settings)) options.m_probes = 1;
  return options;
}

core::DispatchOptions DispatchOptionsOf(const config::Settings& settings) {
  return {.m_placement = PlacementOptionsOf(settings),
          .m_hedge = !IsNaive(settings),
          .m_admission = !IsNaive(settings)};
}

class EntryRole final : public Role {
 public:
  explicit EntryRole(config::Settings settings)
      : m_settings(std::move(settings)),
        m_self{.m_entry = {m_settings.m_id},
               .m_incarnation = NewIncarnation(),
               .m_rpc_address = m_settings.m_rpc_address,
               .m_http_address = m_settings.m_http_address},
        m_log(platform::NewHttpLogService(m_settings.m_log_url, m_settings.m_log_timeout)),
        m_http(m_settings.m_http_address, ApiLimits(m_settings, kMaxBodyBytes)),
        m_config([this] { OnConfigChange(); }),
        m_jobs(m_timers, {.m_entry = m_self.m_entry, .m_incarnation = m_self.m_incarnation},
               {.m_on_events =
                    [this](const core::JobTable& table, const std::vector<core::JobEvent>& events) {
                      m_owner.OnEvents(table, events);
                    },
                .m_on_reset = [this] { m_owner.OnReset(); }}),
        m_watches(m_timers),
        m_requests(m_timers, MakeCaller(), DispatchOptionsOf(m_settings), !IsNaive(m_settings),
                   m_self.m_incarnation),
        m_members({.m_self = m_self, .m_seeds = m_settings.m_seeds}, MakeCaller(), m_config, m_jobs,
                  m_requests),
        m_owner(m_events,
                {.m_owner = {.m_entry = m_self.m_entry, .m_incarnation = m_self.m_incarnation},
                 .m_placement = PlacementOptionsOf(m_settings),
                 .m_retention = m_settings.m_log_retention,
                 .m_eject = !IsNaive(m_settings),
                 .m_seed = m_self.m_incarnation},
                MakeCaller(), m_config, m_jobs, m_members) {}

  ~EntryRole() override {
    // Handlers use the members that are destroyed below. The listener itself is closed last, so
    // that calls get the answer of a stopped entry to the end.
    Stop();
    m_metrics.reset();
    m_stopping = true;
    m_timers.Stop();
    m_events.Stop();
    // Ends operations that wait for the log while their answers can still be sent.
    m_region_log.reset();
    m_config_log.reset();
    m_rpc.reset();
  }

  void Start() override {
    if (m_settings.m_log_url.empty()) {
      throw std::runtime_error("an entry needs the log service; set [log] url");
    }
    const auto rpc = ParseAddress(m_settings.m_rpc_address, "process.rpc");
    (void)ParseAddress(m_settings.m_http_address, "process.http");
    auto options = RpcLimits(m_settings);
    options.m_listen_ip = rpc.m_ip;
    options.m_listen_port = rpc.m_port;
    options.m_handler = [this](core::Message message, const wire::ReplyFunction& reply) {
      ServePeer(std::move(message), reply);
    };
    m_rpc = std::make_unique<wire::Rpc>(std::move(options));
    OpenLogs();
    const EntryParts parts{m_settings.m_region, m_settings.m_domain, m_timers,  m_http,
                           *m_region_log,       *m_config_log,       m_config,  m_jobs,
                           m_watches,           m_requests,          m_members, m_owner,
                           m_leaving,           m_draining};
    if (!m_settings.m_metrics_address.empty()) {
      m_metrics = std::make_unique<MetricsServer>(
          m_settings.m_metrics_address, SideLimits(m_settings, kMaxProbeBodyBytes),
          [this, parts] { return ReadEntryMetrics(parts, m_owner, *m_rpc); });
    }
    AddWorkRoutes(parts);
    AddWatchRoutes(parts);
    AddConfigRoutes(parts);
    AddOperationRoutes(parts);
    m_events.Every(kTickInterval, [this] {
      m_owner.Sweep();
      m_members.Tick();
      if (Now() >= m_alive_due && m_region_log->IsReadable()) {
        m_members.AppendAlive();
        m_alive_due = Now() + kAliveInterval;
      }
      const auto live = m_members.Live();
      // One entry is enough. Repeated rewrites have no effect.
      if (live.front().m_entry == m_self.m_entry) m_config.Rewrite(m_settings.m_log_retention);
      LogChanges(m_requests.Sweep());
      m_http_report.Update(m_http.ConnectionCounters(), Now());
      m_rpc_report.Update(ListenerCounters(m_rpc->Counters()), Now());
    });
    m_events.Every(kOwnerInterval, [this] { m_owner.Tick(); });
    // Requests would be refused while no agent is known. Each agent sends a heartbeat within a
    // second.
    std::this_thread::sleep_for(m_settings.m_ready_after);
    m_http.Open();
  }

  void BeginDrain() override {
    m_leaving = true;
    m_watches.EndWaits();
    m_members.Leave();
    m_events.At(Now() + kLeaveNotice, [this] { m_draining = true; });
  }

  void Stop() override {
    m_http.Stop(UnknownOutcome({.m_kind = core::ErrorKind::kDraining,
                                .m_message = "this entry stops; the work may have run: ask "
                                             "another entry"}),
                kLastAnswersTime);
  }

  [[nodiscard]] bool IsDrained() const override {
    return m_draining && m_http.Counters().m_in_progress == 0 && m_region_log->Pending() == 0 &&
           m_config_log->Pending() == 0 &&
           // Without the log no shard can be handed over. Peers claim the shards after 4 s of
           // silence.
           (m_members.HasHandedOver() || !m_region_log->IsReadable());
  }

 private:
  RpcCaller MakeCaller() {
    return [this](std::string address, core::Message request, const core::Duration deadline,
                  wire::CallDone done) {
      if (m_stopping) return;
      m_rpc->Call(std::move(address), std::move(request), deadline, std::move(done));
    };
  }

  [[nodiscard]] platform::LogWriterOptions WriterOptions(const std::string& stream) const {
    return {.m_stream = stream,
            .m_commit = {.m_entry = m_self.m_entry,
                         .m_incarnation = m_self.m_incarnation,
                         .m_max_appends_per_second = m_settings.m_max_appends_per_second}};
  }

  void OpenLogs() {
    const auto region = m_settings.m_region.empty() ? "main" : m_settings.m_region;
    m_region_log = std::make_unique<LogStream>(
        *m_log, m_timers,
        LogStreamOptions{
            .m_writer = WriterOptions("jobs." + region),
            .m_readers = {m_jobs.Reader(), m_watches.Reader(), m_members.Reader(),
                          GapLogger("jobs")},
            .m_on_bad_entry = [](const core::LogOffset offset,
                                 const core::Error& error) { LogBadEntry("jobs", offset, error); },
            .m_on_end = [this](const core::Time read_began) { m_owner.OnLogRead(read_began); }});
    m_config_log = std::make_unique<LogStream>(
        *m_log, m_timers,
        LogStreamOptions{
            .m_writer = WriterOptions("config"),
            .m_readers = {m_config.Reader(), GapLogger("config")},
            .m_on_bad_entry = [this](const core::LogOffset offset, const core::Error& error) {
              LogBadEntry("config", offset, error);
              m_config.OnBadEntry(offset, error);
            }});
    m_jobs.SetStream(m_region_log.get());
    m_members.SetStream(m_region_log.get());
    m_owner.SetStream(m_region_log.get());
    m_config.SetStream(m_config_log.get());
    m_config_log->Start();
    m_region_log->Start();
  }

  /// Runs on the RPC thread. Posts the work to the event thread, to keep the RPC thread free.
  void ServePeer(core::Message message, const wire::ReplyFunction& reply) {
    m_events.Post([this, message = std::move(message), reply] {
      if (const auto* const heartbeat = std::get_if<core::Heartbeat>(&message)) {
        reply(OnAgentHeartbeat(*heartbeat));
      } else if (const auto* const entry = std::get_if<core::EntryHeartbeat>(&message)) {
        reply(m_members.OnHeartbeat(*entry));
      } else if (const auto* const report = std::get_if<core::TaskReport>(&message)) {
        m_owner.OnTaskReport(*report, reply);
      } else {
        reply(core::Error{.m_kind = core::ErrorKind::kBadMessage,
                          .m_message = "an entry does not serve this message; check that the "
                                       "versions of sender and entry match"});
      }
    });
  }

  core::HeartbeatReply OnAgentHeartbeat(const core::Heartbeat& heartbeat) {
    core::HeartbeatReply reply{.m_drain = m_config.IsDrained(heartbeat.m_agent)};
    m_requests.OnHeartbeat(heartbeat, reply.m_drain);
    reply.m_grants = m_owner.OnHeartbeat(heartbeat, reply.m_drain);
    m_members.OnKnownEntries(heartbeat.m_known_entries);
    reply.m_entries = m_members.Live();
    reply.m_config_offset = m_config.Offset();
    if (reply.m_config_offset > heartbeat.m_config_offset) {
      const auto config = m_config.View();
      reply.m_config_offset = config.m_offset;
      for (const auto& [name, spec] : config.m_classes) reply.m_classes.push_back(spec);
    }
    return reply;
  }

  /// Logs an event for each change since the last call.
  void LogChanges(const core::SweepResult& sweep) {
    for (const auto& agent : sweep.m_suspected) {
      LogEvent(kInstanceSuspected, {{"instance", agent.m_value}});
    }
    for (const auto& agent : sweep.m_removed) {
      LogEvent(kInstanceRemoved, {{"instance", agent.m_value}});
    }
    if (sweep.m_isolated && !m_was_isolated) LogEvent(kEntryIsolated);
    m_was_isolated = sweep.m_isolated;
    // The first read of a stream may still be in progress.
    if (Now() - m_started >= kLogReadLimit) {
      LogReadability("jobs", *m_region_log, m_jobs_readable);
      LogReadability("config", *m_config_log, m_config_readable);
    }
    std::string live_entries;
    for (const auto& entry : m_members.Live()) live_entries += entry.m_entry.m_value + ' ';
    if (live_entries != m_live_entries) LogEvent(kEntriesChanged, {{"entries", live_entries}});
    m_live_entries = live_entries;
  }

  static void LogReadability(const std::string_view stream, const LogStream& log, bool& readable) {
    const bool readable_now = log.IsReadable();
    if (readable_now != readable)
      LogEvent(readable_now ? kLogAvailable : kLogUnavailable, {{"stream", stream}});
    readable = readable_now;
  }

  /// Returns a reader that logs an event for each gap.
  static LogReader GapLogger(const std::string& stream) {
    return {.m_on_batch = [](const platform::TailBatch&) {},
            .m_on_gap =
                [stream] {
                  LogEvent(kLogGap, {{"stream", stream}});
                }};
  }

  static void LogBadEntry(const std::string_view stream, const core::LogOffset offset,
                          const core::Error& error) {
    LogEvent(kLogBadEntry, {{"stream", stream}, {"offset", offset}, {"reason", error.m_message}});
  }

  void OnConfigChange() {
    m_events.Post([this] {
      for (const auto& agent : m_requests.Agents()) {
        m_requests.SetDrained(agent.m_agent, m_config.IsDrained(agent.m_agent));
      }
      m_owner.OnConfigChange();
    });
  }

  const config::Settings m_settings;
  const core::EntryInfo m_self;
  std::atomic<bool> m_leaving{false};   ///< A planned stop has begun.
  std::atomic<bool> m_draining{false};  ///< New work is refused.
  std::atomic<bool> m_stopping{false};
  const std::unique_ptr<platform::LogService> m_log;
  EventThread m_timers;  ///< Deadlines of requests and waits.
  EventThread m_events;  ///< Messages of agents and entries, and periodic work.
  HttpServer m_http;
  ConfigService m_config;
  JobService m_jobs;
  WatchService m_watches;
  RequestService m_requests;
  MemberService m_members;
  OwnerService m_owner;
  std::unique_ptr<LogStream> m_region_log;
  std::unique_ptr<LogStream> m_config_log;
  std::unique_ptr<wire::Rpc> m_rpc;
  std::unique_ptr<MetricsServer> m_metrics;
  // Used on the event thread only.
  ListenerReport m_http_report{"http"};
  ListenerReport m_rpc_report{"rpc"};
  const core::Time m_started = Now();
  core::Time m_alive_due;
  bool m_was_isolated = false;
  bool m_jobs_readable = true;
  bool m_config_readable = true;
  std::string m_live_entries;
};

[[maybe_unused]] const bool kRegistered = RegisterRole(
    "entry",
    [](const config::Settings& settings) { return std::make_unique<EntryRole>(settings); });

}  // namespace
}  // namespace ebonypin::daemon
