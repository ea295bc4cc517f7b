/// Listeners for callers of jobs, for readiness probes and for heartbeats of a worker.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "ebonypin/core/fleet/messages.h"
#include "ebonypin/core/fleet/queue_table.h"

namespace ebonypin::platform {

enum class FrontMethod : std::uint8_t { kSubmit, kRead, kCancel };

/// Call of a caller. Nothing of it is trusted before `m_error` was looked at.
struct FrontCall {
  FrontMethod m_method = FrontMethod::kRead;
  std::string m_host;
  std::string m_path;
  std::size_t m_body_bytes = 0;
  core::fleet::JobSpec m_job;   ///< kSubmit: payload, steps and schedule only.
  std::string m_error;          ///< Why the body cannot be read; empty: it can.
  core::Duration m_deadline{};  ///< For how long the caller waits; zero: not said.
};

enum class FrontStatus : std::uint8_t {
  kAccepted,
  kState,
  kPending,
  kCancelled,
  kNoSuchQueue,
  kNoSuchJob,
  kInvalid,
  kTooLarge,
  kRefused,     ///< The job does not run.
  kOverloaded,  ///< The same, because too much is in progress.
  kUnknown,     ///< The call may have had its effect.
};

struct FrontAnswer {
  FrontStatus m_status = FrontStatus::kRefused;
  core::fleet::JobPhase m_phase = core::fleet::JobPhase::kQueued;
  std::uint64_t m_pending = 0;
  core::Duration m_retry_after{};  ///< Zero: not sent.
  bool m_ends_connection = false;  ///< The caller is asked to use another connection.
  std::string m_reason;
};

using FrontRespond = std::function<void(const FrontAnswer&)>;
using FrontHandler = std::function<void(FrontCall, FrontRespond)>;

/// Heartbeat of the worker beside an agent.
struct WorkerHeartbeat {
  core::fleet::WorkerInfo m_worker;
  std::uint64_t m_sequence = 0;
};

/// Takes a heartbeat, or the news that the worker leaves. Runs on a thread of the HTTP library.
struct ControlHandlers {
  std::function<void(const WorkerHeartbeat&)> m_on_heartbeat;
  std::function<void(const core::fleet::WorkerId&)> m_on_leave;
  std::function<void(const std::string& reason)> m_on_malformed;
};

/// Open listener; closes when destroyed.
class Listener {
 public:
  Listener() = default;
  virtual ~Listener() = default;
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
};

}  // namespace ebonypin::platform
