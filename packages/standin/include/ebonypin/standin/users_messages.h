/// Bodies that callers and operators of the users' platform send, for tests.
#pragma once

#include <string>

namespace ebonypin::standin {

/// Returns a configuration with one queue, whose jobs are submitted below `path_prefix`. `advice`
/// gives the figures of the advice service; "null": starts need no ticket.
[[nodiscard]] std::string UsersConfig(int version, const std::string& path_prefix,
                                      const std::string& advice = "null");

/// Returns a job of one step of `count` tasks that do what `payload` says; `lasts` makes them run
/// until the job is cancelled.
[[nodiscard]] std::string UsersJob(const std::string& payload, int count, bool lasts);

/// Field of an answer that holds a job's state.
inline constexpr auto kUsersJobState = "State";

}  // namespace ebonypin::standin
