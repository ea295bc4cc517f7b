/// Options of `ebonypinctl`, independent of command-line parsing.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "ebonypin/core/error.h"
#include "ebonypin/core/resources.h"
#include "ebonypin/core/time.h"

namespace ebonypin::ctl {

/// Exit codes; docs/operators.md explains them.
enum ExitCode : int {
  kExitOk = 0,
  kExitUsage = 1,     ///< Unknown command or flag, or missing argument; gflags uses this code too.
  kExitBadInput = 2,  ///< A file or value was rejected before anything was sent.
  kExitNotRun = 3,    ///< An entry refused; nothing was run or changed.
  kExitConflict = 4,  ///< Another change came first.
  kExitUnknown = 5,   ///< The work may have run, or the change may have taken effect.
  kExitNoEntry = 6,   ///< No entry could be reached; nothing was sent.
  kExitJobEnded = 7,  ///< The job or request ended, but did not succeed.
};

struct Options {
  std::vector<std::string> m_entries;  ///< Base URLs, tried in this order.
  bool m_json = false;
  core::Duration m_timeout = std::chrono::seconds{10};
  std::string m_operator;
  std::optional<std::uint64_t> m_base_revision;
  bool m_wait = false;
  bool m_follow = false;
  std::uint64_t m_cursor = 0;
  std::uint64_t m_count = 0;  ///< Updates or changes to print before exiting; 0: no limit.
  std::uint64_t m_limit = 100;

  // Options of requests and jobs.
  std::string m_class;
  std::string m_id;
  std::string m_key;
  std::string m_payload;
  std::optional<core::Duration> m_deadline;
  std::optional<core::Duration> m_run;
  core::Resources m_size;
  bool m_non_idempotent = false;
};

/// Returns the comma-separated base URLs in `text`. Fails with kBadSetting when one of them does
/// not have the form http://ip:port.
[[nodiscard]] core::Result<std::vector<std::string>> ParseEntries(const std::string& text);

/// Returns the options from the command line and the environment. Fails with kBadSetting and a
/// message that names the flag.
[[nodiscard]] core::Result<Options> OptionsFromFlags();

/// Returns the names of the flags that the command line sets, except those of gflags itself.
[[nodiscard]] std::vector<std::string> SetFlags();

/// Returns the help text of flag `name`, or an empty string for an unknown flag.
[[nodiscard]] std::string FlagHelp(const std::string& name);

}  // namespace ebonypin::ctl
