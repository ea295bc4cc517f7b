/// Open calls to the advice service.
///
/// The service handles the calls of a machine one at a time, in the order of their arrival. A call
/// that waits there can be neither withdrawn nor overtaken by a more urgent one, and it takes its
/// turn even after its caller has given it up. So only a few calls are open, steps wait at the
/// coordinator, and the step to ask about next is chosen when a call ends.
///
/// Example:
///
///     AdviceCalls calls;
///     if (MayBegin(calls, now)) Send(Begin(calls, {.m_step = step, .m_service_time = 160ms}));
///     const auto call = End(calls, now, number, AdviceOutcome::kAnswered);
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "ebonypin/core/fleet/job.h"

namespace ebonypin::core::fleet {

struct AdviceCallOptions {
  /// Limit on open calls: one that the service handles and one that follows without a pause.
  std::size_t m_max_open = 2;
  /// Time after which a call is given up, in addition to the time that the service needs for the
  /// open calls.
  Duration m_patience = std::chrono::seconds{3};
  /// Longest time after which a call is given up, whatever the service is said to need.
  Duration m_max_deadline = std::chrono::seconds{60};
  /// Pause after a call that failed. Bounds the calls to a service that refuses them.
  Duration m_retry_delay = std::chrono::milliseconds{250};
};

struct AdviceCall {
  TaskRef m_step;  ///< The index is not used.
  /// Workers that are asked about, each with the start of its life (`WorkerInfo::m_born`).
  std::map<WorkerId, std::int64_t> m_workers;
  Duration m_service_time{};  ///< Time that the service needs for the call.

  friend bool operator==(const AdviceCall&, const AdviceCall&) = default;
};

struct AdviceCalls {
  AdviceCallOptions m_options;
  std::map<std::uint64_t, AdviceCall> m_open;  ///< By number.
  std::uint64_t m_last_number = 0;
  bool m_failing = false;  ///< The call that ended last has failed.
  Time m_not_before;       ///< Earliest time of the next call.
};

/// Call to the advice service that is to be sent now.
struct AdviceRequest {
  std::uint64_t m_number = 0;
  TaskRef m_step;  ///< The index is not used.
  std::vector<WorkerId> m_workers;
  Duration m_deadline{};  ///< From the sending.

  friend bool operator==(const AdviceRequest&, const AdviceRequest&) = default;
};

enum class AdviceOutcome : std::uint8_t {
  kAnswered,
  kFailed,  ///< Refused, or no answer in time.
};

/// Returns whether another call may be opened. While calls fail, only one at a time is opened, so
/// that few calls that were given up wait in the service.
[[nodiscard]] bool MayBegin(const AdviceCalls& calls, Time now) noexcept;

/// Returns whether a call about the step of the task is open.
[[nodiscard]] bool IsOpen(const AdviceCalls& calls, const TaskRef& ref) noexcept;

/// Opens a call.
[[nodiscard]] AdviceRequest Begin(AdviceCalls& calls, AdviceCall call);

/// Ends a call and returns it, or nothing when it is not open.
[[nodiscard]] std::optional<AdviceCall> End(AdviceCalls& calls, Time now, std::uint64_t number,
                                            AdviceOutcome outcome);

}  // namespace ebonypin::core::fleet
