/// Checks of what ran when, from the times that worker stand-ins keep.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ebonypin::daemon {

/// Run of a task at a worker. Times are microseconds on the machine's steady clock.
struct ObservedRun {
  std::string m_task;
  std::uint64_t m_run = 0;
  std::string m_worker;
  std::int64_t m_started = 0;
  std::optional<std::int64_t> m_ended;  ///< Nothing while the run is at work.
  std::string m_how;
  bool m_acknowledged = false;  ///< Its end was acknowledged and counts.
};

/// Returns the runs that the worker stand-in `worker`, which listens at `address`, has kept.
[[nodiscard]] std::vector<ObservedRun> ReadRuns(const std::string& worker,
                                                const std::string& address);

/// Returns one line for each run that began while another run of its task was at work, or after a
/// run had ended "done" with an end that was acknowledged then or later.
[[nodiscard]] std::vector<std::string> FindRunsTwice(std::vector<ObservedRun> runs);

}  // namespace ebonypin::daemon
