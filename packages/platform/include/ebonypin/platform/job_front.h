/// Listeners for the job API, for readiness probes and for heartbeats of a worker.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "ebonypin/core/fleet/messages.h"
#include "ebonypin/core/fleet/queue_table.h"
#include "ebonypin/http/server.h"

namespace ebonypin::platform {

enum class JobApiMethod : std::uint8_t { kSubmit, kRead, kCancel };

/// Call to the job API. The body, and with it `m_job`, must not be used when `m_error` is set.
struct JobApiCall {
  JobApiMethod m_method = JobApiMethod::kRead;
  std::string m_host;
  std::string m_path;
  std::size_t m_body_bytes = 0;
  core::fleet::JobSpec m_job;   ///< For kSubmit: payload, steps and schedule only.
  std::string m_error;          ///< Why the body cannot be read; empty when it can.
  core::Duration m_deadline{};  ///< For how long the caller waits; zero when not given.
};

enum class JobApiStatus : std::uint8_t {
  kAccepted,
  kState,
  kPending,
  kCancelled,
  kNoSuchQueue,
  kNoSuchJob,
  kInvalid,
  kTooLarge,
  kRefused,     ///< The call was rejected; the job does not run.
  kOverloaded,  ///< Like kRefused, because too many calls are in progress.
  kUnknown,     ///< The call may or may not have taken effect.
};

struct JobApiResponse {
  JobApiStatus m_status = JobApiStatus::kRefused;
  core::fleet::JobPhase m_phase = core::fleet::JobPhase::kQueued;
  std::uint64_t m_pending = 0;
  core::Duration m_retry_after{};  ///< Zero when not sent.
  bool m_ends_connection = false;  ///< The caller is asked to use another connection.
  std::string m_reason;
};

/// Called once when an answer has been written to its connection, or with the reason why it could
/// not be written.
using JobApiSent = std::function<void(const std::string& error)>;
using JobApiRespond = std::function<void(const JobApiResponse&, JobApiSent)>;
using JobApiHandler = std::function<void(JobApiCall, JobApiRespond)>;

/// Heartbeat that a worker sends to its agent.
struct WorkerHeartbeat {
  core::fleet::WorkerInfo m_worker;
  std::uint64_t m_sequence = 0;
};

/// Handlers of the worker's messages to its agent: heartbeats, notices that the worker leaves, and
/// malformed messages. They run on the thread of the listener.
struct ControlHandlers {
  std::function<void(const WorkerHeartbeat&)> m_on_heartbeat;
  std::function<void(const core::fleet::WorkerId&)> m_on_leave;
  std::function<void(const std::string& reason)> m_on_malformed;
};

/// Open listener, closed by its destructor, which waits for the handlers that are running. Later
/// ones are not called.
class Listener {
 public:
  Listener() = default;
  virtual ~Listener() = default;
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  /// Applies from the next request of each connection on.
  virtual void SetLimits(const http::ServerLimits& limits) = 0;
  [[nodiscard]] virtual http::ServerCounters Counters() const = 0;
};

}  // namespace ebonypin::platform
