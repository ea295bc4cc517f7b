/// Numbered log events. Operators search and alert by number; docs/events.md explains each one.
///
/// To add an event, add one line to the constants below and one row to docs/events.md; a test
/// checks that both lists agree. A number is never reused or given another meaning.
///
///     LogEvent(kProcessStarted, {{"role", "entry"}, {"rpc", "127.0.0.1:7101"}});
///     // [2026-01-02 03:04:05.678] [info] E100 process started role=entry rpc=127.0.0.1:7101
#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace ebonypin::daemon {

/// Severity of an event. "error" needs an operator's attention, "warn" reports a handled failure.
enum class EventLevel : std::uint8_t { kDebug, kInfo, kWarn, kError };

/// Kind of event. Details of an occurrence are passed as fields.
struct Event {
  std::uint32_t m_number = 0;
  EventLevel m_level = EventLevel::kInfo;
  std::string_view m_message;  ///< Fixed text, without values.

  friend bool operator==(const Event&, const Event&) = default;
};

/// Detail of one occurrence, written as key=value.
struct EventField {
  std::string m_key;
  std::string m_value;

  template <typename T>
  EventField(const std::string_view key, const T& value)
      : m_key(key), m_value(fmt::format("{}", value)) {}
};

/// Adds an event to AllEvents() and returns it.
[[nodiscard]] Event DefineEvent(std::uint32_t number, EventLevel level, std::string_view message);

// One event per line, so that parallel changes merge without conflicts.
// clang-format off
// 100 to 199: process.
inline const Event kProcessStarted = DefineEvent(100, EventLevel::kInfo, "process started");
inline const Event kDrainStarted = DefineEvent(101, EventLevel::kInfo, "drain started");
inline const Event kProcessStopped = DefineEvent(102, EventLevel::kInfo, "process stopped");
inline const Event kDrainTimedOut = DefineEvent(103, EventLevel::kWarn, "drain timed out with work in progress");
inline const Event kStartFailed = DefineEvent(104, EventLevel::kError, "start failed");
inline const Event kSettingsReloaded = DefineEvent(105, EventLevel::kInfo, "settings read again");
inline const Event kSettingsRefused = DefineEvent(106, EventLevel::kError, "changed settings refused");
inline const Event kEventsDropped = DefineEvent(107, EventLevel::kWarn, "events dropped");
// 200 to 299: entry.
inline const Event kShardClaimed = DefineEvent(200, EventLevel::kInfo, "shard claimed");
inline const Event kShardReleased = DefineEvent(201, EventLevel::kInfo, "shard released");
// 300 to 399: agent.
inline const Event kWorkerListed = DefineEvent(300, EventLevel::kInfo, "worker listed its tasks");
inline const Event kWorkerSilent = DefineEvent(301, EventLevel::kWarn, "worker does not answer");
inline const Event kWorkerRestarted = DefineEvent(302, EventLevel::kWarn, "worker restarted");
inline const Event kTasksSuspended = DefineEvent(303, EventLevel::kWarn, "exclusive tasks suspended without grant");
inline const Event kWorkerDrained = DefineEvent(304, EventLevel::kInfo, "worker drained by operators");
inline const Event kWorkerUndrained = DefineEvent(305, EventLevel::kInfo, "drain of the worker ended");
// 400 to 499: log service.
inline const Event kLogUnavailable = DefineEvent(400, EventLevel::kWarn, "log unavailable");
inline const Event kLogAvailable = DefineEvent(401, EventLevel::kInfo, "log available");
inline const Event kLogGap = DefineEvent(402, EventLevel::kWarn, "log records lost to retention");
inline const Event kLogBadEntry = DefineEvent(403, EventLevel::kError, "log entry not decoded");
// 500 to 599: membership.
inline const Event kEntriesChanged = DefineEvent(500, EventLevel::kInfo, "live entries changed");
inline const Event kInstanceJoined = DefineEvent(501, EventLevel::kInfo, "instance joined");
inline const Event kInstanceSuspected = DefineEvent(502, EventLevel::kWarn, "instance suspected");
inline const Event kInstanceRemoved = DefineEvent(503, EventLevel::kWarn, "instance removed");
inline const Event kEntryIsolated = DefineEvent(504, EventLevel::kError, "entry isolated");
// 600 to 699: jobs made of steps.
inline const Event kCoordinatorActive = DefineEvent(600, EventLevel::kInfo, "coordinator active");
inline const Event kLeadershipEnded = DefineEvent(601, EventLevel::kWarn, "coordinator office ended");
inline const Event kCoordinatorKnown = DefineEvent(602, EventLevel::kInfo, "coordinator known");
inline const Event kQueuesChanged = DefineEvent(603, EventLevel::kInfo, "queues changed");
inline const Event kQueuesNotRead = DefineEvent(604, EventLevel::kError, "queues not read");
inline const Event kRecordNotDecoded = DefineEvent(605, EventLevel::kError, "stored record not decoded");
inline const Event kStoreCallFailed = DefineEvent(606, EventLevel::kWarn, "store call failed");
inline const Event kAdviceFailed = DefineEvent(607, EventLevel::kWarn, "advice failed");
inline const Event kCandidacyChanged = DefineEvent(608, EventLevel::kInfo, "candidacy changed");
inline const Event kMachinesNotRead = DefineEvent(609, EventLevel::kWarn, "list of machines not read");
inline const Event kRunDecision = DefineEvent(610, EventLevel::kInfo, "run decision");
inline const Event kCallAnswered = DefineEvent(611, EventLevel::kInfo, "call answered");
inline const Event kWorkerCallAnswered = DefineEvent(612, EventLevel::kInfo, "worker call answered");
inline const Event kRunEnded = DefineEvent(613, EventLevel::kInfo, "run ended");
inline const Event kRunFailure = DefineEvent(614, EventLevel::kWarn, "run or worker failed");
inline const Event kCallsLeftOpen = DefineEvent(615, EventLevel::kWarn, "calls open at the stop");
inline const Event kAnswerNotSent = DefineEvent(616, EventLevel::kWarn, "answer not sent");
inline const Event kCallsUnanswered = DefineEvent(617, EventLevel::kError, "calls without an answer at the end");
inline const Event kSilentWaitShortened = DefineEvent(618, EventLevel::kInfo, "wait for silent members shortened");
inline const Event kWorkerState = DefineEvent(620, EventLevel::kInfo, "worker state changed");
inline const Event kHeartbeatRefused = DefineEvent(621, EventLevel::kWarn, "heartbeat refused");
inline const Event kGrantState = DefineEvent(622, EventLevel::kInfo, "grant state changed");
inline const Event kFillingTasksPaced = DefineEvent(623, EventLevel::kInfo, "filling tasks paced");
inline const Event kShareChanged = DefineEvent(624, EventLevel::kInfo, "run share changed");
inline const Event kWorkerShares = DefineEvent(625, EventLevel::kInfo, "worker shares");
inline const Event kWorkerCrashed = DefineEvent(626, EventLevel::kWarn, "worker crashed");
inline const Event kCoordinatorAwaited = DefineEvent(627, EventLevel::kInfo, "coordinator record awaited");
inline const Event kAdviceReceived = DefineEvent(628, EventLevel::kInfo, "advice received");
inline const Event kEvacuationBegan = DefineEvent(630, EventLevel::kInfo, "evacuation of a failure domain began");
inline const Event kEvacuationEnded = DefineEvent(631, EventLevel::kInfo, "evacuation of a failure domain ended");
inline const Event kEvacuationRefused = DefineEvent(632, EventLevel::kWarn, "evacuation record refused");
inline const Event kConnectionsClosed = DefineEvent(633, EventLevel::kWarn, "connections closed by limits");
inline const Event kHoldBegan = DefineEvent(640, EventLevel::kWarn, "calls held for the store");
inline const Event kHoldEnded = DefineEvent(641, EventLevel::kInfo, "no more calls held");
inline const Event kAppendRefused = DefineEvent(642, EventLevel::kError, "append refused for good");
// clang-format on

/// Returns every defined event, ordered by number.
[[nodiscard]] std::vector<Event> AllEvents();

/// Returns the name of `level` as in docs/events.md: "debug", "info", "warn" or "error".
[[nodiscard]] std::string_view EventLevelName(EventLevel level) noexcept;

/// Returns the text of an event: "E<number> <message> key=value ...". Values that contain spaces,
/// quotes, '=' or control characters are quoted and escaped, so that one event stays one line.
[[nodiscard]] std::string FormatEvent(const Event& event,
                                      std::initializer_list<EventField> fields = {});

/// Writes an event to the default spdlog logger at the event's level.
void LogEvent(const Event& event, std::initializer_list<EventField> fields = {});

/// Does the same for an event that clients of an open listener can cause at will, at a lower rate.
/// E107 counts those that are not written.
void LogClientEvent(const Event& event, std::initializer_list<EventField> fields = {});

/// Writes events of at least `level` ("debug", "info", "warn", "error") to standard output from a
/// background thread. When the reader of standard output stalls, the oldest queued events are lost
/// and no caller blocks. An unknown level is treated as "info".
void ConfigureLogging(std::string_view level);

/// Waits until the queued events have been written, at most a tenth of a second.
void FlushLog();

/// Changes the lowest level that is logged. An unknown level is treated as "info".
void SetLogLevel(std::string_view level);

}  // namespace ebonypin::daemon
