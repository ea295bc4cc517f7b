/// Entry role for jobs of steps: serves callers, and runs the coordinator while it is the leader.
#include <atomic>
#include <future>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

#include "../address.h"
#include "../http_threads.h"
#include "../listener_limits.h"
#include "../listener_report.h"
#include "../rpc_metrics.h"
#include "boot_clock.h"
#include "call_router.h"
#include "ebonypin/core/fleet/held_calls.h"
#include "ebonypin/core/fleet/queue_table.h"
#include "ebonypin/daemon/events.h"
#include "ebonypin/daemon/metrics.h"
#include "ebonypin/daemon/role.h"
#include "ebonypin/platform/users_platform.h"
#include "ebonypin/wire/limits.h"
#include "fleet_parts.h"
#include "topic_watch.h"

namespace ebonypin::daemon {
namespace {

using core::fleet::JobCall;
using core::fleet::JobCallKind;
using core::fleet::JobCallReply;
using core::fleet::JobCallStatus;
using platform::JobApiCall;
using platform::JobApiMethod;
using platform::JobApiResponse;
using platform::JobApiStatus;
using namespace std::chrono_literals;

/// A few HTTP threads are enough, since callbacks only post to the event thread.
constexpr std::size_t kHttpThreads = 2;
/// A new configuration must take effect within 2 s, even when the connection of a read goes silent.
constexpr auto kConfigPollWait = 1000ms;
constexpr auto kCoordinatorPollWait = 2000ms;
/// Shortest time from the start of a drain, when readiness probes begin to fail, to the stop. The
/// load balancer removes an entry after two failed probes, one second apart.
constexpr auto kDrainNotice = 2500ms;
/// Subtracted from a caller's deadline to leave time for the transfer of the answer.
constexpr auto kDeadlineMargin = 250ms;
constexpr auto kDefaultDeadline = 3000ms;
/// Retry-After while no configuration is known; the first one arrives within seconds.
constexpr auto kNoConfigRetryAfter = 1s;
/// Retry-After of an entry that has stopped. Other entries can serve the call at once, but
/// Retry-After has a resolution of one second.
constexpr auto kStoppedRetryAfter = 1s;
constexpr auto kStoppedReason = "this entry has stopped";
/// Longest time that a stop waits for the last answers. The platform kills the process 1 s after
/// the drain limit.
constexpr auto kLastAnswersTime = 800ms;
constexpr auto kLastAnswersPoll = 2ms;
/// Interval at which metrics are updated, and so the maximum age of a scraped value.
constexpr auto kMetricsInterval = 1s;
constexpr std::size_t kJobIdDigits = 16;

bool IsJobId(const std::string& text) noexcept {
  return text.size() == kJobIdDigits &&
         text.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
}

JobApiStatus StatusOfSuccess(const JobCallKind kind) noexcept {
  switch (kind) {
    case JobCallKind::kSubmit:
      return JobApiStatus::kAccepted;
    case JobCallKind::kState:
      return JobApiStatus::kState;
    case JobCallKind::kCancel:
      return JobApiStatus::kCancelled;
    case JobCallKind::kPending:
      return JobApiStatus::kPending;
  }
  return JobApiStatus::kUnknown;
}

/// Returns the limits of the store. Larger records than a message may be could not be decoded.
core::fleet::RecordLimits StoreLimits(const config::Settings& settings) noexcept {
  const std::size_t record = settings.m_store_record_bytes;
  const std::size_t append = settings.m_store_append_bytes;
  return {.m_record_bytes = std::min(record, wire::kMaxMessageBytes / 2),
          .m_append_bytes = std::max(append, record)};
}

/// Returns the answer of an entry that has stopped. Status 503 would tell the caller of a
/// submission that the job never runs, although an earlier call for it may have been accepted.
JobApiResponse StoppedAnswer(const JobApiMethod method) {
  const bool submits = method == JobApiMethod::kSubmit;
  return {.m_status = submits ? JobApiStatus::kUnknown : JobApiStatus::kRefused,
          .m_retry_after = kStoppedRetryAfter,
          .m_ends_connection = true,
          .m_reason = kStoppedReason};
}

JobApiResponse ToFrontAnswer(const JobCallKind kind, const JobCallReply& reply) {
  JobApiResponse answer{.m_phase = reply.m_phase,
                        .m_pending = reply.m_pending,
                        .m_retry_after = reply.m_retry_after,
                        .m_reason = reply.m_reason};
  switch (reply.m_status) {
    case JobCallStatus::kOk:
      answer.m_status = StatusOfSuccess(kind);
      return answer;
    case JobCallStatus::kNoSuchJob:
      answer.m_status = JobApiStatus::kNoSuchJob;
      return answer;
    case JobCallStatus::kRefused:
      answer.m_status = JobApiStatus::kRefused;
      return answer;
    case JobCallStatus::kNotCoordinator:
    case JobCallStatus::kUnknown:
      answer.m_status = JobApiStatus::kUnknown;
      return answer;
  }
  return answer;
}

/// Whether a call that got this answer neither changed a job nor asked the coordinator for a
/// change. Any client can cause such answers at will.
bool HasNoEffect(const JobApiMethod method, const JobApiStatus status,
                 const core::fleet::AnswerBasis basis) noexcept {
  if (method == JobApiMethod::kRead) return true;
  switch (status) {
    case JobApiStatus::kNoSuchQueue:
    case JobApiStatus::kInvalid:
    case JobApiStatus::kTooLarge:
      return true;
    case JobApiStatus::kNoSuchJob:
      // The coordinator was not asked, because the path has no valid id.
      return basis == core::fleet::AnswerBasis::kNotTold;
    default:
      return false;
  }
}

std::string_view BasisName(const core::fleet::AnswerBasis basis) noexcept {
  switch (basis) {
    case core::fleet::AnswerBasis::kNotTold:
      return "not told";
    case core::fleet::AnswerBasis::kMemory:
      return "memory";
    case core::fleet::AnswerBasis::kConfirmed:
      return "confirmed";
    case core::fleet::AnswerBasis::kRecorded:
      return "recorded";
  }
  return "not told";
}

class FleetEntryRole final : public Role {
 public:
  explicit FleetEntryRole(config::Settings settings)
      : m_settings(std::move(settings)), m_platform(RequirePlatform()) {}

  ~FleetEntryRole() override {
    if (!m_stopped) Stop();
    m_metrics_server = nullptr;
    m_events->Stop();
    m_readiness = nullptr;  // The event thread reads its counters.
    m_rpc = nullptr;
  }

  void Start() override {
    LimitHttpThreads(kHttpThreads);
    m_store = m_platform.m_store(m_settings.m_store_url);
    if (!m_settings.m_advice_url.empty()) {
      m_advice = m_platform.m_advice(m_settings.m_advice_url);
    }
    if (!m_settings.m_machines_url.empty()) {
      m_machines = m_platform.m_machines(m_settings.m_machines_url);
    }
    m_rpc = StartRpc(m_settings, m_events,
                     [this](const core::Message& message, wire::ReplyFunction reply) {
                       ServeMessage(message, std::move(reply));
                     });
    CoordinatorServiceOptions options{.m_entry = m_settings.m_id,
                                      .m_rpc_address = m_settings.m_rpc_address,
                                      .m_cpu_millis = m_settings.m_cpu_millis,
                                      .m_incarnation = NewIncarnation(),
                                      .m_jobs_topic = m_platform.m_jobs_topic,
                                      .m_coordinator_topic = m_platform.m_coordinator_topic,
                                      .m_hold = m_settings.m_calls_hold};
    options.m_coordinator.m_record_limits = StoreLimits(m_settings);
    auto& ttl = options.m_leadership.m_ttl;
    ttl = std::max(ttl, m_settings.m_store_shortest_membership);
    m_coordinator = std::make_unique<CoordinatorService>(m_events, *m_store, *m_rpc, m_advice.get(),
                                                         m_machines.get(), std::move(options));
    m_router = std::make_unique<CallRouter>(
        m_events, *m_rpc, *m_coordinator,
        CallRouterOptions{.m_holds = m_settings.m_calls_hold > core::Duration{}});
    WatchConfig();
    m_coordinator_watch =
        WatchCoordinator(m_events, *m_store, m_platform.m_coordinator_topic, kCoordinatorPollWait,
                         [this](const auto& record) {
                           m_coordinator->ObserveCoordinator(record.m_epoch, record.m_rpc_address);
                         });
    m_coordinator->Start();
    m_events->Every(kMetricsInterval, [this] { UpdateMetrics(); });
    m_job_api = m_platform.m_job_api(
        m_settings.m_http_address,
        [this](JobApiCall call, platform::JobApiRespond respond) {
          // Counted before the check of `m_stopped`: AnswerOpenCalls waits for every call that is
          // not refused here.
          ++*m_in_progress;
          if (m_stopped) return RefuseAfterStop(call, respond);
          m_events->Post([this, call = std::move(call), respond = std::move(respond)]() mutable {
            ServeCaller(std::move(call), respond);
          });
        },
        m_api_limits);
    m_readiness = m_platform.m_readiness(
        m_settings.m_readiness_address, [this] { return m_ready && !m_draining; },
        SideLimits(m_settings, kMaxProbeBodyBytes));
    m_events->Post([this] {
      m_listeners_open = true;
      ApplyConfiguredLimits();
    });
    m_metrics_server = StartMetrics(m_settings, m_fleet_metrics, *m_rpc);
  }

  void BeginDrain() override {
    m_drain_end = BootNow() + kDrainNotice;
    m_draining = true;
    m_events->Post([this] { m_coordinator->Leave(); });
  }

  void Stop() override {
    m_stopped = true;
    AnswerOpenCalls();
  }

  [[nodiscard]] bool IsDrained() const override {
    return m_draining && BootNow() >= m_drain_end.load() && *m_in_progress == 0;
  }

 private:
  /// Answers the calls that are in progress here, also those of other entries to the coordinator,
  /// and waits until the answers to callers have been written.
  void AnswerOpenCalls() {
    if (m_router == nullptr) return;  // The start failed before any call was taken.
    if (const auto calls = m_in_progress->load(); calls > 0) {
      LogEvent(kCallsLeftOpen, {{"calls", calls}});
    }
    const auto until = Now() + kLastAnswersTime;
    const auto answered = std::make_shared<std::promise<void>>();
    m_events->Post([this, answered] {
      m_coordinator->Stop();
      m_router->GiveUpAll(kStoppedReason);
      answered->set_value();
    });
    (void)answered->get_future().wait_until(until);
    while (*m_in_progress > 0 && Now() < until) std::this_thread::sleep_for(kLastAnswersPoll);
    if (const auto calls = m_in_progress->load(); calls > 0) {
      LogEvent(kCallsUnanswered, {{"calls", calls}});
    }
  }

  /// The limits of the configuration replace those of the settings.
  void ApplyConfiguredLimits() {
    if (m_listeners_open) m_job_api->SetLimits(WithConfiguration(m_api_limits, m_queues));
  }

  void UpdateListenerMetrics() {
    m_rpc_report.Update(ListenerCounters(m_rpc->Counters()), Now());
    if (!m_listeners_open) return;
    const auto job_api = m_job_api->Counters();
    m_fleet_metrics.SetListener("job_api", job_api);
    m_job_api_report.Update(job_api, Now());
    const auto readiness = m_readiness->Counters();
    m_fleet_metrics.SetListener("readiness", readiness);
    m_readiness_report.Update(readiness, Now());
  }

  void UpdateMetrics() {
    UpdateListenerMetrics();
    const auto& state = m_coordinator->State();
    const auto& counters = state.m_counters;
    m_fleet_metrics.Set("is_coordinator", m_coordinator->IsActive() ? 1.0 : 0.0);
    m_fleet_metrics.Set("epoch", static_cast<double>(m_coordinator->Known().m_epoch));
    m_fleet_metrics.Set("calls_in_progress", static_cast<double>(*m_in_progress));
    m_fleet_metrics.Set("config_version", static_cast<double>(m_queues.m_version));
    m_fleet_metrics.Set("jobs", static_cast<double>(state.m_jobs.size()));
    m_fleet_metrics.Set("silent_members", static_cast<double>(state.m_silent_members.size()));
    for (const auto& [cause, count] : m_coordinator->Waits()) {
      m_fleet_metrics.Set("takeover_waits_" + std::string{WaitCauseName(cause)} + "_total",
                          static_cast<double>(count));
    }
    m_fleet_metrics.Set("evacuated_domains", static_cast<double>(m_evacuations.m_domains.size()));
    m_fleet_metrics.Set("jobs_submitted_total", static_cast<double>(counters.m_submitted));
    m_fleet_metrics.Set("jobs_refused_total", static_cast<double>(counters.m_refused));
    m_fleet_metrics.Set("jobs_done_total", static_cast<double>(counters.m_jobs_done));
    m_fleet_metrics.Set("jobs_late_total", static_cast<double>(counters.m_jobs_late));
    m_fleet_metrics.Set("runs_started_total", static_cast<double>(counters.m_starts));
    m_fleet_metrics.Set("runs_stopped_total", static_cast<double>(counters.m_stops));
    m_fleet_metrics.Set("runs_done_total", static_cast<double>(counters.m_done));
    m_fleet_metrics.Set("runs_failed_total", static_cast<double>(counters.m_failed));
    m_fleet_metrics.Set("runs_lost_total", static_cast<double>(counters.m_lost));
    m_fleet_metrics.Set("advice_answers_total", static_cast<double>(counters.m_advice_answers));
    m_fleet_metrics.Set("advice_failures_total", static_cast<double>(counters.m_advice_failures));
    m_fleet_metrics.Set("advice_calls_open",
                        static_cast<double>(state.m_advice_calls.m_open.size()));
    m_fleet_metrics.Set("steps_without_advice", static_cast<double>(state.m_unadvised_steps));
    SetHoldMetrics(m_fleet_metrics, m_coordinator->Held());
  }

  void WatchConfig() {
    m_config_watch = std::make_shared<TopicWatch>(
        m_events, *m_store,
        TopicWatchOptions{
            .m_topic = m_platform.m_config_topic,
            .m_poll_wait = kConfigPollWait,
            .m_on_record =
                [this](const platform::KeyedRecord& record) { OnOperatorRecord(record); },
            .m_on_all_read =
                [this](const std::set<std::string>& keys) { OnOperatorRecordsRead(keys); },
            .m_on_state =
                [](const bool available, const std::string& reason) {
                  LogEvent(available ? kLogAvailable : kLogUnavailable,
                           {{"topic", "configuration"}, {"reason", reason}});
                }});
    m_config_watch->Start();
  }

  void OnOperatorRecord(const platform::KeyedRecord& record) {
    if (record.m_key == m_platform.m_config_key) return OnConfig(record);
    if (!record.m_key.starts_with(m_platform.m_evacuation_prefix)) return;
    const auto domain = record.m_key.substr(m_platform.m_evacuation_prefix.size());
    if (domain.empty()) {
      LogEvent(kEvacuationRefused,
               {{"key", record.m_key},
                {"reason", "it names no failure domain; write one record for each domain"}});
      return;
    }
    const bool requested = !record.m_value.empty();
    if (!Apply(m_evacuations, domain, requested)) return;
    LogEvent(requested ? kEvacuationBegan : kEvacuationEnded, {{"domain", domain}});
    // While the records are read for the first time, this one alone says nothing of the others.
    if (m_evacuations.m_known) m_coordinator->SetEvacuations(m_evacuations);
  }

  void OnOperatorRecordsRead(const std::set<std::string>& keys) {
    const auto& prefix = m_platform.m_evacuation_prefix;
    std::set<std::string> domains;
    for (auto key = keys.lower_bound(prefix); key != keys.end() && key->starts_with(prefix);
         ++key) {
      domains.insert(key->substr(prefix.size()));
    }
    for (const auto& domain : KeepOnly(m_evacuations, domains)) {
      LogEvent(kEvacuationEnded, {{"domain", domain}});
    }
    m_coordinator->SetEvacuations(m_evacuations);
  }

  void OnConfig(const platform::KeyedRecord& record) {
    if (record.m_value.empty()) return;
    auto table = core::Capture([&] { return m_platform.m_decode_config(record.m_value); });
    if (!table.Ok()) {
      LogEvent(kQueuesNotRead, {{"reason", table.m_error->m_message}});
      return;
    }
    if (!Replace(m_queues, std::move(*table.m_value))) return;
    m_ready = true;
    ApplyConfiguredLimits();
    LogEvent(kQueuesChanged,
             {{"version", m_queues.m_version}, {"queues", m_queues.m_routes.size()}});
  }

  /// Runs on a listener thread, since the event thread has stopped or is about to stop.
  void RefuseAfterStop(const JobApiCall& call, const platform::JobApiRespond& respond) const {
    const auto answer = StoppedAnswer(call.m_method);
    Send(call.m_path, answer, respond);
    LogEvent(kCallAnswered, {{"path", call.m_path},
                             {"method", static_cast<int>(call.m_method)},
                             {"status", FrontStatusName(answer.m_status)},
                             {"why", answer.m_reason}});
  }

  /// Sends the answer. The call is in progress until the answer has been written.
  void Send(const std::string& path, const JobApiResponse& answer,
            const platform::JobApiRespond& respond) const {
    respond(answer, [path, in_progress = m_in_progress](const std::string& error) {
      if (!error.empty()) LogClientEvent(kAnswerNotSent, {{"path", path}, {"reason", error}});
      --*in_progress;
    });
  }

  void ServeCaller(JobApiCall call, const platform::JobApiRespond& respond) {
    const auto began = BootNow();
    auto answer = [this, began, respond, method = call.m_method, path = call.m_path](
                      JobApiResponse result, const JobCallReply& reply = {}) {
      // The load balancer sends no new connections to a draining entry. Callers on open connections
      // are told to use another one by this flag.
      result.m_ends_connection = m_draining || m_stopped;
      Send(path, result, respond);
      RecordAnswer(method, path, BootNow() - began, result, reply);
    };
    if (m_stopped) return answer(StoppedAnswer(call.m_method));
    if (m_queues.m_version == 0) {
      return answer({.m_status = JobApiStatus::kRefused,
                     .m_retry_after = kNoConfigRetryAfter,
                     .m_reason = "no configuration is known yet"});
    }
    const auto* const route = FindQueue(m_queues, call.m_host, call.m_path);
    if (route == nullptr) {
      return answer({.m_status = JobApiStatus::kNoSuchQueue, .m_reason = "no such queue"});
    }
    const auto id = call.m_path.substr(route->m_path_prefix.size());
    JobCall job{.m_job = std::move(call.m_job)};
    job.m_job.m_policy = route->m_policy;
    job.m_job.m_id = {id};
    if (call.m_method == JobApiMethod::kRead && id.empty()) {
      job.m_kind = JobCallKind::kPending;
    } else if (!IsJobId(id)) {
      const bool submit = call.m_method == JobApiMethod::kSubmit;
      return answer({.m_status = submit ? JobApiStatus::kInvalid : JobApiStatus::kNoSuchJob,
                     .m_reason = "a job's id has 16 hexadecimal digits"});
    } else if (call.m_method == JobApiMethod::kSubmit) {
      job.m_kind = JobCallKind::kSubmit;
      if (m_queues.m_max_body_bytes > 0 && call.m_body_bytes > m_queues.m_max_body_bytes) {
        return answer({.m_status = JobApiStatus::kTooLarge,
                       .m_reason = "the body is larger than MaxBodyBytes of the configuration"});
      }
      const auto error = call.m_error.empty() ? CheckJob(job.m_job) : call.m_error;
      if (!error.empty()) return answer({.m_status = JobApiStatus::kInvalid, .m_reason = error});
      if (!IsStorable(job.m_job, m_coordinator->Limits())) {
        return answer({.m_status = JobApiStatus::kTooLarge,
                       .m_reason = "the job is larger than a record of the store; use fewer steps "
                                   "or shorter names"});
      }
    } else {
      job.m_kind =
          call.m_method == JobApiMethod::kCancel ? JobCallKind::kCancel : JobCallKind::kState;
    }
    const core::Duration wait =
        call.m_deadline > core::Duration{} ? call.m_deadline : core::Duration{kDefaultDeadline};
    const auto kind = job.m_kind;
    job.m_wait = core::fleet::HoldTime(m_settings.m_calls_hold, wait);
    m_router->Call(
        std::move(job), std::max<core::Duration>(wait - kDeadlineMargin, kDeadlineMargin),
        [answer, kind](const JobCallReply& reply) { answer(ToFrontAnswer(kind, reply), reply); });
  }

  void RecordAnswer(const JobApiMethod method, const std::string& path, const core::Duration took,
                    const JobApiResponse& result, const JobCallReply& reply) {
    m_fleet_metrics.RecordCall(result.m_status, took);
    // Reads are frequent and change nothing, so only failed ones are logged.
    const bool read_succeeded =
        method == JobApiMethod::kRead &&
        (result.m_status == JobApiStatus::kState || result.m_status == JobApiStatus::kPending);
    if (read_succeeded) return;
    const auto log =
        HasNoEffect(method, result.m_status, reply.m_basis) ? LogClientEvent : LogEvent;
    log(kCallAnswered, {{"path", path},
                        {"method", static_cast<int>(method)},
                        {"status", FrontStatusName(result.m_status)},
                        {"ms", core::ToMillis(took)},
                        {"config", m_queues.m_version},
                        {"epoch", m_coordinator->Known().m_epoch},
                        {"answered_epoch", reply.m_epoch},
                        {"basis", BasisName(reply.m_basis)},
                        {"why", result.m_reason}});
  }

  void ServeMessage(const core::Message& message, wire::ReplyFunction reply) {
    std::visit(
        wire::Overloaded{
            [&](const core::fleet::AgentReport& report) { reply(m_coordinator->OnReport(report)); },
            [&](const core::fleet::StepDown& request) {
              reply(m_coordinator->OnStepDown(request));
            },
            [&](const core::fleet::AgentOrders& announcement) {
              m_coordinator->ObserveCoordinator(announcement.m_epoch, announcement.m_coordinator);
              reply(core::fleet::AgentOrdersReply{.m_accepted = true,
                                                  .m_epoch = m_coordinator->Known().m_epoch});
            },
            [&](const JobCall& call) {
              m_coordinator->Call(call, CallRouterOptions{}.m_attempt_timeout,
                                  [reply](JobCallReply answer) { reply(std::move(answer)); });
            },
            [&](const auto&) {
              reply(core::Error{.m_kind = core::ErrorKind::kInvalidRequest,
                                .m_message = "an entry does not accept this message; check the "
                                             "address of the call"});
            }},
        message);
  }

  const config::Settings m_settings;
  const platform::PlatformPlugin& m_platform;
  const std::shared_ptr<EventThread> m_events = std::make_shared<EventThread>();
  const http::ServerLimits m_api_limits = ApiLimits(m_settings, kMaxJobBodyBytes);
  /// Calls without a written answer. Shared with the listener, which may write the last answers
  /// after the role is destroyed.
  const std::shared_ptr<std::atomic<std::int64_t>> m_in_progress =
      std::make_shared<std::atomic<std::int64_t>>(0);
  std::atomic<bool> m_stopped{false};  ///< The role is being destroyed; calls are refused.
  FleetMetrics m_fleet_metrics;
  /// Destroyed after all members below, so that calls get the answer of a stopped entry to the end.
  std::unique_ptr<platform::Listener> m_job_api;
  std::unique_ptr<platform::KeyedStore> m_store;
  std::unique_ptr<platform::AdviceService> m_advice;
  std::unique_ptr<platform::MachineList> m_machines;
  std::unique_ptr<wire::Rpc> m_rpc;
  std::unique_ptr<CoordinatorService> m_coordinator;
  std::unique_ptr<CallRouter> m_router;
  std::shared_ptr<TopicWatch> m_config_watch;
  std::shared_ptr<TopicWatch> m_coordinator_watch;
  std::unique_ptr<platform::Listener> m_readiness;
  std::unique_ptr<MetricsServer> m_metrics_server;
  // Used on the event thread only.
  bool m_listeners_open = false;
  ListenerReport m_job_api_report{"job_api"};
  ListenerReport m_readiness_report{"readiness"};
  ListenerReport m_rpc_report{"rpc"};
  core::fleet::QueueTable m_queues;
  core::fleet::Evacuations m_evacuations;
  std::atomic<bool> m_ready{false};
  std::atomic<bool> m_draining{false};
  std::atomic<core::Time> m_drain_end{};
};

[[maybe_unused]] const bool kRegistered = RegisterRole(
    "fleet_entry",
    [](const config::Settings& settings) { return std::make_unique<FleetEntryRole>(settings); });

}  // namespace
}  // namespace ebonypin::daemon
