/// Client of the platform's worker (tasks under leases, resource usage, events) and of the endpoint
/// that runs beside it.
///
/// All calls return immediately and report their outcome exactly once, at the latest after their
/// deadline, on a thread of the HTTP library, which must not be blocked. Example:
///
///     const auto worker = MakeHttpWorker({.m_url = "http://127.0.0.1:7301"});
///     worker->Usage([](const core::Captured<core::UsageReport>& usage) { ... });
///
/// Errors: kTimeout and kDisconnected leave open whether the call had an effect. kNoCapacity means
/// that the call was not sent or, for the endpoint, that it was refused before it ran.
/// kStaleIncarnation means that the worker restarted, kTaskFailed that the endpoint ran the request
/// and failed, and kBadMessage that the answer cannot be read.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "ebonypin/core/agent_ledger.h"
#include "ebonypin/core/error.h"

namespace ebonypin::platform {

/// Receives the outcome of a call.
template <typename T>
using WorkerDone = std::function<void(core::Captured<T>)>;

/// Position in the events of one worker process.
struct WorkerPosition {
  std::uint64_t m_boot = 0;  ///< Changes when the worker restarts.
  std::uint64_t m_event = 0;
  friend bool operator==(const WorkerPosition&, const WorkerPosition&) = default;
};

struct WorkerTasks {
  WorkerPosition m_position;  ///< The list does not include the effects of later events.
  std::vector<core::ListedTask> m_tasks;
};

struct WorkerEvents {
  WorkerPosition m_position;
  bool m_gap = false;  ///< Older events were dropped; list the tasks.
  std::vector<core::TaskEvent> m_events;
};

/// One request for the endpoint.
struct EndpointCall {
  core::RequestId m_request;
  core::ClassName m_class;
  std::string m_payload;
  core::Duration m_deadline{};
};

class Worker {
 public:
  Worker() = default;
  virtual ~Worker() = default;
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  /// Starts a task at the worker process `boot`. The outcome is kStarted, kStartRefused, or the end
  /// of a task that was started before and is over.
  virtual void Start(const core::StartTask& task, std::uint64_t boot,
                     WorkerDone<core::TaskEvent> done) = 0;

  /// Renews leases; the outcome lists the tasks that no longer run.
  virtual void Renew(const std::vector<core::RenewTask>& tasks,
                     WorkerDone<std::vector<core::TaskId>> done) = 0;

  /// Sets the share of a task; the outcome is the share that is now in effect.
  virtual void Throttle(const core::ThrottleTask& throttle, WorkerDone<std::uint32_t> done) = 0;

  /// Takes a checkpoint while the task continues to run; the outcome is the checkpoint's token.
  virtual void Checkpoint(const core::TaskId& task, WorkerDone<std::string> done) = 0;

  /// Stops a task. The outcome is the end of the task, kStartRefused when it never started, or
  /// kCheckpointFailed.
  virtual void Stop(const core::StopTask& stop, WorkerDone<core::TaskEvent> done) = 0;

  /// Makes the worker drop its records of ended tasks.
  virtual void Forget(const std::vector<core::TaskId>& tasks, WorkerDone<core::Unit> done) = 0;

  virtual void List(WorkerDone<WorkerTasks> done) = 0;

  virtual void Usage(WorkerDone<core::UsageReport> done) = 0;

  /// Returns the events after event number `after`, waiting up to `wait` for the first one.
  virtual void PollEvents(std::uint64_t after, core::Duration wait,
                          WorkerDone<WorkerEvents> done) = 0;

  /// Sends a request to the endpoint; the outcome is its complete result. When the endpoint closes
  /// a persistent connection, the HTTP library may send the request a second time, so only
  /// idempotent requests may be sent with this call.
  virtual void Serve(const EndpointCall& call, WorkerDone<std::string> done) = 0;
};

struct HttpWorkerOptions {
  std::string m_url;  ///< Base URL of the worker and its endpoint.
  core::Duration m_deadline =
      std::chrono::seconds{1};           ///< Of each call except Serve and PollEvents.
  std::uint32_t m_max_connections = 64;  ///< Further calls fail immediately with kNoCapacity.
};

/// Returns the HTTP implementation. Throws std::exception when the URL cannot be parsed. Calls in
/// progress may outlive the object and still report their outcome.
[[nodiscard]] std::unique_ptr<Worker> MakeHttpWorker(const HttpWorkerOptions& options);

}  // namespace ebonypin::platform
